package gateway

import (
	"net/http"
	"strconv"
	"time"

	"toucantiller.dev/contract"
	"toucantiller.dev/dispatch"
	"toucantiller.dev/endpoint"
)

// maxBufferedAnswer bounds the size in bytes of an answer that is buffered until it is
// complete.
const maxBufferedAnswer = 1 << 20

// answerWriter passes one answer to the caller. Event streams are passed on as they arrive.
// Other answers are buffered up to maxBufferedAnswer, so that one that breaks off becomes a
// problem document. Claimed answers are always buffered, because they must be stored before the
// caller gets them.
type answerWriter struct {
	w       http.ResponseWriter
	flusher http.Flusher
	call    *call
	// status and header are those of the engine's answer.
	status    int
	header    http.Header
	streaming bool
	// headerSent is set once a part of the answer has been passed to the caller.
	headerSent bool
	buffer     []byte
	tooLarge   bool
	// writeFailed is set when a write to the caller has failed.
	writeFailed bool
	// untilClose is set for callers in HTTP/1.0, to whom the end of the connection ends an answer.
	untilClose bool
}

func newAnswerWriter(w http.ResponseWriter, r *http.Request, c *call) *answerWriter {
	f, _ := w.(http.Flusher)
	return &answerWriter{w: w, flusher: f, call: c, untilClose: !r.ProtoAtLeast(1, 1)}
}

// start records the status and headers of the engine's answer.
func (o *answerWriter) start(e *endpoint.Endpoint, status int, header http.Header) {
	if !o.call.verbatim() {
		setTwoHeaders(o.w.Header(), headerEndpoint, string(e.ID), headerVersion, e.Version)
	}
	o.status = status
	o.header = header
	o.streaming = !o.call.needsClaim() && dispatch.IsEventStream(header)
}

func (o *answerWriter) writeData(p []byte) {
	if o.streaming || o.headerSent {
		o.sendHeader()
		o.write(p)
		return
	}
	if len(o.buffer)+len(p) <= o.bufferLimit() {
		before := cap(o.buffer)
		o.buffer = append(o.buffer, p...)
		o.call.memory.hold(int64(cap(o.buffer) - before))
		return
	}
	if o.call.needsClaim() {
		o.tooLarge = true
		return
	}
	o.sendHeader()
	o.write(o.buffer)
	o.buffer = nil
	o.write(p)
}

func (o *answerWriter) bufferLimit() int {
	if o.call.needsClaim() {
		return dispatch.MaxStoredAnswer
	}
	return maxBufferedAnswer
}

func (o *answerWriter) sendHeader() {
	if o.headerSent {
		return
	}
	o.headerSent = true
	// The connection of a caller that stops reading is closed at the deadline.
	_ = http.NewResponseController(o.w).SetWriteDeadline(o.call.deadline)
	copyHeader(o.w.Header(), o.header)
	o.w.WriteHeader(o.status)
}

func (o *answerWriter) write(p []byte) {
	if _, err := o.w.Write(p); err != nil {
		o.writeFailed = true
	}
}

// flush sends what has been written to the caller.
func (o *answerWriter) flush() {
	if o.headerSent && o.flusher != nil {
		o.flusher.Flush()
	}
}

// stored returns the complete answer that was buffered.
func (o *answerWriter) stored() *dispatch.StoredAnswer {
	if o.tooLarge {
		return &dispatch.StoredAnswer{Status: o.status, TooLarge: true}
	}
	return &dispatch.StoredAnswer{Status: o.status, Header: o.header, Body: o.buffer}
}

// deliver passes a complete answer to the caller, or returns the problem that replaces it.
func (o *answerWriter) deliver(a *dispatch.StoredAnswer) *Problem {
	if a.TooLarge {
		return newProblem(http.StatusBadGateway, "answer_too_large", ExecutionFailed, "the answer could not be stored for its Idempotency-Key: it exceeds %d bytes, or memory for answers was short", dispatch.MaxStoredAnswer)
	}
	if a.Status >= http.StatusInternalServerError && o.call.service.Kind == contract.KindModel && !o.call.verbatim() {
		return newProblem(http.StatusBadGateway, "engine_failed", ExecutionFailed, "the engine answered %d", a.Status)
	}
	copyHeader(o.w.Header(), a.Header)
	if o.call.method != http.MethodHead && a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		o.w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	o.headerSent = true
	o.status = a.Status
	o.w.WriteHeader(a.Status)
	o.write(a.Body)
	return nil
}

// finish completes an answer whose bytes have all arrived.
func (o *answerWriter) finish() *Problem {
	if !o.headerSent && !o.streaming {
		return o.deliver(o.stored())
	}
	o.sendHeader()
	o.flush()
	o.clearDeadline()
	return nil
}

func (o *answerWriter) clearDeadline() {
	_ = http.NewResponseController(o.w).SetWriteDeadline(time.Time{})
}

// fail ends the answer with a problem. If a part was already passed on, an event stream gets an
// error event; any other answer is aborted, so that it cannot look complete.
func (o *answerWriter) fail(p *Problem) {
	if !o.headerSent {
		o.call.writeProblem(o.w, p)
		return
	}
	if o.streaming && !o.writeFailed && !o.call.verbatim() {
		// The blank line terminates an event that was cut, so that the error is a separate
		// event.
		o.write([]byte("\n\nevent: error\ndata: " + string(p.document()) + "\n\n"))
		o.flush()
		o.clearDeadline()
		return
	}
	if o.untilClose {
		o.resetConnection()
	}
	panic(http.ErrAbortHandler)
}

// resetConnection ends the caller's connection with a reset, which no caller takes for the end of an
// answer.
func (o *answerWriter) resetConnection() {
	conn, _, err := http.NewResponseController(o.w).Hijack()
	if err != nil {
		return // HTTP/2 frames its answers
	}
	if c, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = c.SetLinger(0) // fails only if the connection is closed
	}
	_ = conn.Close()
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}

// setTwoHeaders sets two headers, whose names are in canonical form, with one allocation.
func setTwoHeaders(h http.Header, name, value, otherName, otherValue string) {
	values := []string{value, otherValue}
	h[name] = values[:1:1]
	h[otherName] = values[1:]
}
