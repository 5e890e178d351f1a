package fake

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"toucantiller.dev/endpoint"
)

// ErrConnectionLost is the read error at a simulated connection failure of Resumable.
var ErrConnectionLost = errors.New("connection to the engine lost")

// Resumable is a fake endpoint engine that supports resuming and cancelling answers. The connection
// fails after every BreakEvery bytes of an answer.
type Resumable struct {
	// Text is the answer to every request.
	Text string
	// BreakEvery is the number of bytes between connection failures; 0 means none.
	BreakEvery int
	// RefuseResume makes Resume return endpoint.ErrUnsupported.
	RefuseResume bool

	mu        sync.Mutex
	runs      map[string]int
	resumes   int
	cancelled []string
	tokens    []uint64
}

// Runs returns the number of submitted requests.
func (e *Resumable) Runs() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, runs := range e.runs {
		n += runs
	}
	return n
}

// Resumes returns the number of answers resumed.
func (e *Resumable) Resumes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.resumes
}

// Tokens returns the fencing tokens of the orders that arrived.
func (e *Resumable) Tokens() []uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]uint64(nil), e.tokens...)
}

// Submit records the request and answers with Text.
func (e *Resumable) Submit(_ context.Context, r *endpoint.Request) (*endpoint.Answer, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.runs == nil {
		e.runs = make(map[string]int)
	}
	e.runs[r.ID]++
	return e.answer(0), nil
}

// Resume returns the rest of an answer from offset. It fails with endpoint.ErrUnsupported if
// Refuse is set or the request was never submitted.
func (e *Resumable) Resume(_ context.Context, id string, offset int64) (*endpoint.Answer, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.RefuseResume || e.runs[id] == 0 {
		return nil, endpoint.ErrUnsupported
	}
	e.resumes++
	return e.answer(int(offset)), nil
}

func (e *Resumable) answer(offset int) *endpoint.Answer {
	rest := e.Text[offset:]
	var body io.Reader = strings.NewReader(rest)
	if e.BreakEvery > 0 && len(rest) > e.BreakEvery {
		body = io.MultiReader(strings.NewReader(rest[:e.BreakEvery]), lostConnection{})
	}
	header := http.Header{"Content-Type": {"text/event-stream"}, "X-Offset": {strconv.Itoa(offset)}}
	return &endpoint.Answer{Status: http.StatusOK, Header: header, Body: io.NopCloser(body)}
}

type lostConnection struct{}

func (lostConnection) Read([]byte) (int, error) { return 0, ErrConnectionLost }

// Cancel records the identity of the cancelled request.
func (e *Resumable) Cancel(_ context.Context, id string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelled = append(e.cancelled, id)
	return nil
}

// Load returns endpoint.ErrUnsupported.
func (e *Resumable) Load(context.Context) (running, waiting int, at time.Time, err error) {
	return 0, 0, time.Time{}, endpoint.ErrUnsupported
}

// CacheEvents returns endpoint.ErrUnsupported.
func (e *Resumable) CacheEvents(context.Context, uint64) ([]endpoint.CacheEvent, error) {
	return nil, endpoint.ErrUnsupported
}

// Order accepts every order and records its fencing token without checking it.
func (e *Resumable) Order(_ context.Context, o endpoint.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tokens = append(e.tokens, o.Token)
	return nil
}

// ExportKV returns endpoint.ErrUnsupported.
func (e *Resumable) ExportKV(context.Context, string) ([]byte, error) {
	return nil, endpoint.ErrUnsupported
}

// ImportKV returns endpoint.ErrUnsupported.
func (e *Resumable) ImportKV(context.Context, string, []byte) error { return endpoint.ErrUnsupported }
