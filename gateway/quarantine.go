package gateway

import (
	"bytes"
	"net/http"
	"time"

	"toucantiller.dev/dispatch"
	"toucantiller.dev/quarantine"
)

// quarantineRetryAfter is the Retry-After of a request that is held back.
const quarantineRetryAfter = time.Minute

// quarantineProblem returns the refusal of a call whose prompt has a part under which endpoints
// end, nil for other calls.
func (g *Gateway) quarantineProblem(c *call) *Problem {
	if g.opt.Quarantine == nil || len(c.sharedParts) == 0 {
		return nil
	}
	part, held := g.opt.Quarantine.Holds(c.sharedParts, time.Now())
	if !held {
		return nil
	}
	p := newProblem(http.StatusServiceUnavailable, "quarantined_prompt", ExecutionNotRun, "endpoints end under requests with part %s of the prompt", part)
	p.RetryAfter = quarantineRetryAfter
	return p
}

// endOfEvent ends an event of a stream.
var endOfEvent = []byte("\n\n")

// recordAnswerData notes that the answer has begun once p completes an event of a stream: an
// endpoint that ends under a request may have written the start of an answer.
func (a *attempt) recordAnswerData(p []byte) {
	if a.answered || a.out.streaming && !bytes.Contains(p, endOfEvent) {
		return
	}
	a.answered = true
	if q := a.gateway.opt.Quarantine; q != nil && a.out.status < http.StatusInternalServerError {
		q.Answered(a.call.sharedParts, time.Now())
	}
}

// recordEndpointLost notes a request that was lost with its endpoint before its answer had begun.
func (a *attempt) recordEndpointLost(code dispatch.Code) {
	q := a.gateway.opt.Quarantine
	if q == nil || a.answered || code != dispatch.CodeEngineLost {
		return
	}
	q.Lost(quarantine.Endpoint{ID: a.endpoint.ID, Incarnation: a.endpoint.Incarnation}, a.call.sharedParts, time.Now())
}
