package agent

import (
	"errors"
	"net/http"
	"time"

	"toucantiller.dev/dispatch"
	"toucantiller.dev/intake"
)

// bodiesRetryAfter is the time for which a gateway sends no dispatch to an agent that has no
// memory for another body.
const bodiesRetryAfter = 100 * time.Millisecond

// heldFor returns what to hold for the body of a request before it is read.
func (a *Agent) heldFor(r *http.Request) int64 {
	if r.ContentLength < 0 {
		return a.opt.MaxBody
	}
	return min(r.ContentLength, a.opt.MaxBody)
}

// refuseBody refuses a dispatch without reading its body, and seals it.
func (a *Agent) refuseBody(w http.ResponseWriter, r *http.Request, h *dispatch.Header) {
	intake.Relieve(r.Context())
	s := newStream(w, a, h.ID)
	defer s.close()
	if code := a.admit(h); code != "" {
		s.writeRefused(refusal{code: code})
		return
	}
	a.ledger.Seal(h.ID, a.now())
	s.writeRefused(refusal{code: dispatch.CodePaused, detail: "no memory for the body", retryAfter: bodiesRetryAfter})
}

// unheldMessage is the size in bytes of messages that are read without room for bodies, so that
// dispatches can be settled while that is taken.
const unheldMessage = 4 << 10

var errMessagesFull = errors.New("no memory for the message; it was not read")

// holdMessage holds the size of a message of a gateway; one of unknown size counts as the longest.
func (a *Agent) holdMessage(r *http.Request) (held int64, ok bool) {
	size := r.ContentLength
	if size < 0 || size > dispatch.MaxFrame {
		size = dispatch.MaxFrame
	}
	if size <= unheldMessage {
		return 0, true
	}
	if !a.opt.Bodies.Hold(size) {
		return 0, false
	}
	return size, true
}
