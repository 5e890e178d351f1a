package gateway

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"toucantiller.dev/admission"
	"toucantiller.dev/dispatch"
	"toucantiller.dev/schedule"
	"toucantiller.dev/timeline"
)

// maxAttempts bounds the attempts for one request.
const maxAttempts = 8

// serve runs the call and passes the caller its answer or a problem.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, c *call) {
	began := time.Now()
	// A new configuration may change the account limits.
	g.currentRouting()
	pass, refused := g.accounts.Enter(c.account.Name, c.tier, began)
	if refused != nil {
		g.refuse(w, c, began, refused)
		return
	}
	defer pass.Leave()
	if p := g.quarantineProblem(c); p != nil {
		g.refuseProblem(w, c, began, p)
		return
	}
	if refused = g.spendTokens(r.Context(), c); refused != nil {
		g.refuse(w, c, began, refused)
		return
	}
	if q := g.queue(c); q != nil {
		q.budget.addRequest()
	}
	g.opt.Timeline.Record(timeline.Event{Kind: "request.received", Request: c.id, Revision: c.config.Revision})
	out := newAnswerWriter(w, r, c)
	defer func() { g.metrics.duration.record(time.Since(began)) }()
	p := g.execute(r.Context(), c, out)
	g.logRequest(c, out.status, began, p)
	g.observeAcceptance(c, p)
	if p == nil {
		g.metrics.completed.increment()
		g.opt.Timeline.Record(timeline.Event{Kind: "request.done", Request: c.id})
		return
	}
	if p.Execution == ExecutionNotRun {
		g.refund(c, began)
	}
	g.metrics.recordProblem(p)
	g.opt.Timeline.Record(timeline.Event{Kind: "request.problem", Request: c.id, Detail: p.Code + " " + string(p.Execution)})
	if p.Execution == ExecutionNotRun && !out.headerSent {
		g.closeWhenShort(w)
	}
	out.fail(p)
}

// refuse answers a call that exceeds a limit of its account.
func (g *Gateway) refuse(w http.ResponseWriter, c *call, began time.Time, refused *admission.Refusal) {
	g.metrics.recordShed(refused)
	g.refuseProblem(w, c, began, refusalProblem(refused))
}

// refuseProblem answers a call that is refused before it waits for an endpoint.
func (g *Gateway) refuseProblem(w http.ResponseWriter, c *call, began time.Time, p *Problem) {
	g.logRequest(c, 0, began, p)
	g.closeWhenShort(w)
	c.writeProblem(w, p)
}

func (g *Gateway) execute(ctx context.Context, c *call, out *answerWriter) *Problem {
	if c.needsClaim() {
		return g.executeClaimed(ctx, c, out)
	}
	r := g.executeAttempts(ctx, c, out, nil)
	if r.problem != nil {
		return r.problem
	}
	if r.stored != nil {
		return out.deliver(r.stored)
	}
	return out.finish()
}

// executeAttempts dispatches the call to one endpoint after another until one has run it or
// none is left. If the call has a claim, the claim is moved to each dispatch before it is sent.
func (g *Gateway) executeAttempts(ctx context.Context, c *call, out *answerWriter, claim *claim) attemptResult {
	var last attemptResult
	for attempts := 0; attempts < maxAttempts; attempts++ {
		r, again := g.tryOnce(ctx, c, out, claim)
		if out.mayRepeat(&r) && g.spendRetry(c) {
			last = out.saveFailedAnswer(r)
			continue
		}
		if r.problem == nil || !r.notRun {
			return r
		}
		if last.stored != nil {
			// The retry found no endpoint, so the first endpoint's answer is used.
			return last
		}
		if again && refusedForLoad(r.code) {
			// The queue decides what is shed, by tier and over all endpoints. Counting these
			// attempts would shed this request before requests of lower tiers.
			g.metrics.requeued.increment()
			last, attempts = r, attempts-1
			continue
		}
		if r.code == "" && last.problem != nil {
			// No further endpoint is available: the last refusal is the more useful reason, and
			// the queue knows when there may be room.
			last.problem.RetryAfter = cmp.Or(r.problem.RetryAfter, last.problem.RetryAfter)
			return last
		}
		last = r
		if !again || !g.mayRetry(c, r) {
			return last
		}
	}
	return last
}

// tryOnce reserves a place at an endpoint, claims the dispatch and sends it. again is false if
// trying another endpoint cannot help.
func (g *Gateway) tryOnce(ctx context.Context, c *call, out *answerWriter, claim *claim) (r attemptResult, again bool) {
	if time.Until(c.deadline) <= 0 {
		return attemptResult{problem: deadlineProblem(), notRun: true}, false
	}
	if stopEnds(ctx) {
		return attemptResult{problem: handedBackProblem(), notRun: true}, false
	}
	q := g.queue(c)
	if q == nil {
		return attemptResult{problem: noEndpointProblem(c, schedule.ReasonUnknownService), notRun: true}, false
	}
	began := time.Now()
	d, p := q.acquire(ctx, c)
	c.waited += time.Since(began)
	if p != nil {
		return attemptResult{problem: p, notRun: true}, false
	}
	a := g.newAttempt(c, out, d)
	defer g.release(a)
	// The part may have been found while the call waited.
	if p := g.quarantineProblem(c); p != nil {
		return attemptResult{problem: p, notRun: true}, false
	}
	if claim != nil {
		if r, held := claim.acquire(ctx, a); !held {
			return r, false
		}
	}
	r = a.run(ctx)
	c.recordAttempt(a, d, r)
	if r.notRun {
		c.exclude(a, r.code)
	} else {
		c.runs++
		c.excluded = append(c.excluded, a.endpoint.ID)
	}
	return r, true
}

// mayRetry reports whether another attempt is allowed after one that provably did not run. Work
// handed back by an endpoint that leaves has cost nothing, so it is not charged to the retry
// budget. That one agent cannot meet the deadline does not mean that faster ones cannot.
func (g *Gateway) mayRetry(c *call, r attemptResult) bool {
	if r.code == dispatch.CodeCancelled || r.code == "" {
		return false
	}
	if handedBack(r.code) {
		g.metrics.handedBack.increment()
		return true
	}
	return g.spendRetry(c)
}

// spendRetry takes one retry from the retry budget of the call's service.
func (g *Gateway) spendRetry(c *call) bool {
	q := g.queue(c)
	if q == nil || !q.budget.takeRetry() {
		g.metrics.retriesExhausted.increment()
		return false
	}
	g.metrics.retries.increment()
	return true
}

// refusedForLoad reports whether an agent refused a request for lack of capacity.
func refusedForLoad(code dispatch.Code) bool {
	return code == dispatch.CodeQueueFull || code == dispatch.CodeEvicted
}

func handedBack(code dispatch.Code) bool {
	switch code {
	case dispatch.CodeDraining, dispatch.CodeDomainDrained, dispatch.CodeWrongIncarnation, dispatch.CodeWrongVersion, dispatch.CodeUnreachable,
		dispatch.CodePaused, dispatch.CodeEngineLeaving:
		return true
	}
	return false
}

// exclude keeps the call from an endpoint that refused it, unless it refused for lack of
// capacity; the call may wait for that endpoint again.
func (c *call) exclude(a *attempt, code dispatch.Code) {
	if refusedForLoad(code) {
		return
	}
	c.excluded = append(c.excluded, a.endpoint.ID)
}
