package gateway

import (
	"context"
	"net/http"
	"time"

	"toucantiller.dev/admission"
	"toucantiller.dev/dispatch"
	"toucantiller.dev/schedule"
	"toucantiller.dev/timeline"
)

// maxAttempts bounds the endpoints tried for one request.
const maxAttempts = 8

// serve runs the call and gives the caller its answer or a problem.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, c *call) {
	began := time.Now()
	// A new configuration brings new account limits.
	g.route()
	pass, refused := g.accounts.Enter(c.account.Name, c.tier, began)
	if refused != nil {
		g.refuse(w, c, began, refused)
		return
	}
	defer pass.Leave()
	if refused = g.spend(r.Context(), c); refused != nil {
		g.refuse(w, c, began, refused)
		return
	}
	if q := g.queue(c); q != nil {
		q.budget.request()
	}
	g.opt.Timeline.Record(timeline.Event{Kind: "request.received", Request: c.id, Revision: c.config.Revision})
	out := newAnswerWriter(w, c)
	defer func() { g.metrics.duration.record(time.Since(began)) }()
	p := g.execute(r.Context(), c, out)
	g.logRequest(c, out.status, began, p)
	g.observePressure(c, p)
	if p == nil {
		g.metrics.completed.one()
		g.opt.Timeline.Record(timeline.Event{Kind: "request.done", Request: c.id})
		return
	}
	if p.Execution == NotRun {
		g.wallets.refund(c)
	}
	g.metrics.problem(p)
	g.opt.Timeline.Record(timeline.Event{Kind: "request.problem", Request: c.id, Detail: p.Code + " " + string(p.Execution)})
	out.fail(p)
}

// refuse answers a call that is over a limit of its account.
func (g *Gateway) refuse(w http.ResponseWriter, c *call, began time.Time, refused *admission.Refusal) {
	p := refusalProblem(refused)
	g.metrics.shed(refused)
	g.logRequest(c, 0, began, p)
	c.writeProblem(w, p)
}

func (g *Gateway) execute(ctx context.Context, c *call, out *answerWriter) *Problem {
	if c.claimed() {
		return g.executeClaimed(ctx, c, out)
	}
	r := g.place(ctx, c, out, nil)
	if r.problem != nil {
		return r.problem
	}
	if r.stored != nil {
		return out.deliver(r.stored)
	}
	return out.finish()
}

// place dispatches the call until one endpoint has run it or none is left. A claim, when
// there is one, is moved to each dispatch before it is sent.
func (g *Gateway) place(ctx context.Context, c *call, out *answerWriter, claim *claim) result {
	var last result
	for attempts := 0; attempts < maxAttempts; attempts++ {
		r, again := g.tryOnce(ctx, c, out, claim)
		if out.mayRepeat(&r) && g.repeat(c) {
			last = out.setAside(r)
			continue
		}
		if r.problem == nil || !r.notRun {
			return r
		}
		if last.stored != nil {
			// The repeat found no endpoint, so the first endpoint's answer stands.
			return last
		}
		if again && refusedForLoad(r.code) {
			// The queue decides what is shed, by tier and over all endpoints. A bound on
			// attempts here would shed this request before lower tiers.
			g.metrics.returned.one()
			last, attempts = r, attempts-1
			continue
		}
		if r.code == "" && last.problem != nil {
			// No further endpoint: the reason of the last refusal says more.
			return last
		}
		last = r
		if !again || !g.mayRetry(c, r) {
			return last
		}
	}
	return last
}

// tryOnce takes a place, claims it and dispatches. again is false when another endpoint
// cannot help.
func (g *Gateway) tryOnce(ctx context.Context, c *call, out *answerWriter, claim *claim) (r result, again bool) {
	if time.Until(c.deadline) <= 0 {
		return result{problem: deadlineProblem(), notRun: true}, false
	}
	q := g.queue(c)
	if q == nil {
		return result{problem: noEndpoint(c, schedule.ReasonUnknownService), notRun: true}, false
	}
	began := time.Now()
	d, p := q.acquire(ctx, c)
	c.waited += time.Since(began)
	if p != nil {
		return result{problem: p, notRun: true}, false
	}
	a := g.newAttempt(c, out, d)
	defer g.release(a)
	if claim != nil {
		if r, held := claim.hold(ctx, a); !held {
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

// mayRetry allows another attempt after a proven not-run. Work handed back by an
// endpoint that leaves has cost nothing, so it is not charged to the budget. An agent
// that cannot meet the deadline does not speak for faster ones.
func (g *Gateway) mayRetry(c *call, r result) bool {
	if r.code == dispatch.CodeCancelled || r.code == "" {
		return false
	}
	if handedBack(r.code) {
		g.metrics.replaced.one()
		return true
	}
	return g.repeat(c)
}

// repeat takes one repeat from the retry budget of the call's service.
func (g *Gateway) repeat(c *call) bool {
	q := g.queue(c)
	if q == nil || !q.budget.retry() {
		g.metrics.budgetEmpty.one()
		return false
	}
	g.metrics.retries.one()
	return true
}

// refusedForLoad reports whether an agent had no room for a request.
func refusedForLoad(code dispatch.Code) bool {
	return code == dispatch.CodeQueueFull || code == dispatch.CodeEvicted
}

func handedBack(code dispatch.Code) bool {
	switch code {
	case dispatch.CodeDraining, dispatch.CodeDomainDrained, dispatch.CodeWrongIncarnation, dispatch.CodeWrongVersion, dispatch.CodeUnreachable:
		return true
	}
	return false
}

// exclude keeps the call from an endpoint that refused it, unless the refusal was one of
// load: there it may wait for its turn again.
func (c *call) exclude(a *attempt, code dispatch.Code) {
	if refusedForLoad(code) {
		return
	}
	c.excluded = append(c.excluded, a.endpoint.ID)
}
