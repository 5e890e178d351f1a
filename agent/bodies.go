package agent

import (
	"net/http"
	"sync/atomic"
	"time"

	"toucantiller.dev/dispatch"
)

// bodiesRetryAfter is the time for which a gateway sends no dispatch to an agent that has no
// memory for another body.
const bodiesRetryAfter = 100 * time.Millisecond

// Bodies bounds the bodies of dispatches that the agents of a process hold, from before they are
// read until their dispatches end. It is safe for concurrent use.
type Bodies struct {
	held atomic.Int64
	max  int64
}

// NewBodies returns a bound in bytes.
func NewBodies(limit int64) *Bodies { return &Bodies{max: limit} }

// hold counts a body. It returns false, and counts nothing, if there is no room. A body that is
// larger than the bound is held alone.
func (b *Bodies) hold(n int64) bool {
	for {
		held := b.held.Load()
		if held > 0 && held+n > b.max {
			return n == 0
		}
		if b.held.CompareAndSwap(held, held+n) {
			return true
		}
	}
}

func (b *Bodies) release(n int64) { b.held.Add(-n) }

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
