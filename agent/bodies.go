package agent

import (
	"net/http"
	"time"

	"toucantiller.dev/dispatch"
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
func (a *Agent) refuseBody(w http.ResponseWriter, h *dispatch.Header) {
	s := newStream(w, a, h.ID)
	defer s.close()
	if code := a.admit(h); code != "" {
		s.writeRefused(refusal{code: code})
		return
	}
	a.ledger.Seal(h.ID, a.now())
	s.writeRefused(refusal{code: dispatch.CodePaused, detail: "no memory for the body", retryAfter: bodiesRetryAfter})
}
