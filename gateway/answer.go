package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"toucantiller.dev/contract"
	"toucantiller.dev/dispatch"
	"toucantiller.dev/endpoint"
)

// maxBuffered bounds an answer that is held back until it is complete, in bytes.
const maxBuffered = 1 << 20

// answerWriter passes one answer to the caller. Event streams are passed on as they
// arrive; other answers are held back up to maxBuffered, so that one that breaks off
// becomes a problem document. Claimed answers are always held back, since they must be
// stored before the caller sees them.
type answerWriter struct {
	w       http.ResponseWriter
	flusher http.Flusher
	call    *call
	// header and status are the engine's.
	status int
	header http.Header
	live   bool
	// begun is set once the caller has been given a part of the answer.
	begun    bool
	buffer   []byte
	tooLarge bool
	// failedWrite is set when the caller no longer reads.
	failedWrite bool
}

func newAnswerWriter(w http.ResponseWriter, c *call) *answerWriter {
	f, _ := w.(http.Flusher)
	return &answerWriter{w: w, flusher: f, call: c}
}

// start takes in the engine's status and headers.
func (o *answerWriter) start(e *endpoint.Endpoint, status int, header http.Header) {
	if !o.call.verbatim() {
		setPair(o.w.Header(), headerEndpoint, string(e.ID), headerVersion, e.Version)
	}
	o.status = status
	o.header = header
	o.live = !o.call.claimed() && strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
}

func (o *answerWriter) data(p []byte) {
	if o.live || o.begun {
		o.begin()
		o.write(p)
		return
	}
	if len(o.buffer)+len(p) <= o.limit() {
		o.buffer = append(o.buffer, p...)
		return
	}
	if o.call.claimed() {
		o.tooLarge = true
		return
	}
	o.begin()
	o.write(o.buffer)
	o.buffer = nil
	o.write(p)
}

func (o *answerWriter) limit() int {
	if o.call.claimed() {
		return dispatch.MaxStoredAnswer
	}
	return maxBuffered
}

func (o *answerWriter) begin() {
	if o.begun {
		return
	}
	o.begun = true
	// A caller that stops reading is cut at the deadline.
	_ = http.NewResponseController(o.w).SetWriteDeadline(o.call.deadline)
	copyHeader(o.w.Header(), o.header)
	o.w.WriteHeader(o.status)
}

func (o *answerWriter) write(p []byte) {
	if _, err := o.w.Write(p); err != nil {
		o.failedWrite = true
	}
}

// flush sends what has been written to the caller.
func (o *answerWriter) flush() {
	if o.begun && o.flusher != nil {
		o.flusher.Flush()
	}
}

// stored returns the complete answer that was held back.
func (o *answerWriter) stored() *dispatch.StoredAnswer {
	if o.tooLarge {
		return &dispatch.StoredAnswer{Status: o.status, TooLarge: true}
	}
	return &dispatch.StoredAnswer{Status: o.status, Header: o.header, Body: o.buffer}
}

// deliver gives the caller a complete answer, or returns the problem that stands for it.
func (o *answerWriter) deliver(a *dispatch.StoredAnswer) *Problem {
	if a.TooLarge {
		return newProblem(http.StatusBadGateway, "answer_too_large", Failed, "the answer exceeds the %d bytes that are stored for an Idempotency-Key", dispatch.MaxStoredAnswer)
	}
	if a.Status >= http.StatusInternalServerError && o.call.service.Kind == contract.KindModel && !o.call.verbatim() {
		return newProblem(http.StatusBadGateway, "engine_failed", Failed, "the engine answered %d", a.Status)
	}
	copyHeader(o.w.Header(), a.Header)
	if o.call.method != http.MethodHead && a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		o.w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	o.begun = true
	o.status = a.Status
	o.w.WriteHeader(a.Status)
	o.write(a.Body)
	return nil
}

// finish ends an answer of which all bytes have arrived.
func (o *answerWriter) finish() *Problem {
	if !o.begun && !o.live {
		return o.deliver(o.stored())
	}
	o.begin()
	o.flush()
	o.clearDeadline()
	return nil
}

func (o *answerWriter) clearDeadline() {
	_ = http.NewResponseController(o.w).SetWriteDeadline(time.Time{})
}

// fail ends the answer with a problem. After a part was given, an event stream gets an
// error event; another answer is broken off, so that it cannot look complete.
func (o *answerWriter) fail(p *Problem) {
	if !o.begun {
		o.call.writeProblem(o.w, p)
		return
	}
	if o.live && !o.failedWrite && !o.call.verbatim() {
		// The blank line ends an event that was cut, so that the error is one of its own.
		o.write([]byte("\n\nevent: error\ndata: " + string(p.document()) + "\n\n"))
		o.flush()
		o.clearDeadline()
		return
	}
	panic(http.ErrAbortHandler)
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}

// setPair sets two headers, whose names are in canonical form, with one allocation.
func setPair(h http.Header, name, value, otherName, otherValue string) {
	values := []string{value, otherValue}
	h[name] = values[:1:1]
	h[otherName] = values[1:]
}
