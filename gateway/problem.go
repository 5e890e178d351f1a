package gateway

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Execution says what is known about a refused or failed request.
type Execution string

// Values of Execution.
const (
	// ExecutionNotRun: the request did not run and never will.
	ExecutionNotRun Execution = "not_run"
	// ExecutionUnknown: the request may have run.
	ExecutionUnknown Execution = "unknown"
	// ExecutionFailed: the request ran and failed.
	ExecutionFailed Execution = "failed"
)

// statusClientClosed is recorded when the caller disconnected; it is never received.
const statusClientClosed = 499

// Problem is an error answer (RFC 9457).
type Problem struct {
	Status    int       `json:"status"`
	Title     string    `json:"title"`
	Detail    string    `json:"detail,omitempty"`
	Code      string    `json:"code"`
	Execution Execution `json:"execution"`
	// RetryAfter is sent as a header, only with ExecutionNotRun.
	RetryAfter time.Duration `json:"-"`
}

// Error returns code and detail.
func (p *Problem) Error() string { return fmt.Sprintf("%s: %s", p.Code, p.Detail) }

func newProblem(status int, code string, execution Execution, format string, args ...any) *Problem {
	return &Problem{Status: status, Title: http.StatusText(status), Code: code, Execution: execution, Detail: fmt.Sprintf(format, args...)}
}

// openAIError is the error object that OpenAI clients read; it is an extension member
// of the problem document.
type openAIError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

func (p *Problem) document() []byte {
	b, _ := json.Marshal(struct {
		*Problem
		Error openAIError `json:"error"`
	}{p, openAIError{Message: p.Detail, Type: string(p.Execution), Code: p.Code}}) // plain strings always encode
	return b
}

func (p *Problem) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	if p.Execution == ExecutionNotRun && p.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(p.RetryAfter.Seconds()))))
	}
	if p.Execution != ExecutionNotRun || p.RetryAfter == 0 {
		// OpenAI clients repeat on 409 and 5xx unless this header forbids it.
		h.Set("X-Should-Retry", "false")
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(append(p.document(), '\n'))
}
