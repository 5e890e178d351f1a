package gateway

import (
	"time"

	"toucantiller.dev/endpoint"
	"toucantiller.dev/schedule"
)

// attemptRecord is what the log says of an attempt.
type attemptRecord struct {
	endpoint endpoint.ID
	// limit and others are what the gateway believed of the endpoint's load; age is how old
	// that was.
	limit, others int
	age           time.Duration
	// firstToken and total are the times from the dispatch to the first byte and to the end.
	firstToken, total time.Duration
	code              string
}

// recordAttempt keeps what decided an attempt and how it ended.
func (c *call) recordAttempt(a *attempt, d schedule.Decision, r result) {
	now := time.Now()
	rec := attemptRecord{endpoint: a.endpoint.ID, total: now.Sub(a.began), code: string(r.code)}
	if load, made, ok := d.Candidate.Load(); ok {
		rec.limit, rec.others = load.Limit, load.Running+load.Queued
		if !made.IsZero() {
			rec.age = now.Sub(made)
		}
	}
	if !a.first.IsZero() {
		rec.firstToken = a.first.Sub(a.began)
	}
	c.last = rec
}

// logRefused writes the line of a request that was refused before it had a route, an account
// or a service.
func (g *Gateway) logRefused(in *Arrival, began time.Time, p *Problem) {
	document := uint64(0)
	if c := g.opt.View.Config(); c != nil && c.Ingress != nil {
		document = c.Ingress.Version
	}
	_ = g.opt.Logger.Log("msg", "request", "request", in.ID, "outcome", p.Code, "status", p.Status, "execution", string(p.Execution),
		"host", in.Host, "path", in.Path, "document", document, "total_ms", time.Since(began).Milliseconds(), "detail", p.Detail)
}

// logRequest writes the line of a request that has ended. status is that of the endpoint's
// answer; p is nil for one whose answer was passed on whole.
func (g *Gateway) logRequest(c *call, status int, began time.Time, p *Problem) {
	if c.ingress == nil {
		return // the product's own interface has the time line
	}
	outcome, execution := "answered", "ran"
	if p != nil {
		outcome, status, execution = p.Code, p.Status, string(p.Execution)
	}
	r := &c.last
	_ = g.opt.Logger.Log("msg", "request", "request", c.id, "outcome", outcome, "status", status, "execution", execution,
		"route", c.ingress.Name, "service", c.service.Name, "account", c.account.Name, "tier", int(c.tier),
		"prompt", c.promptTokens, "answer", c.answerTokens, "reserve", c.rating.reserve, "document", c.config.Ingress.Version,
		"total_ms", time.Since(began).Milliseconds(), "waited_ms", c.waited.Milliseconds(), "ran_on", c.runs,
		"endpoint", r.endpoint, "endpoint_load", r.others, "endpoint_limit", r.limit, "load_age_ms", r.age.Milliseconds(),
		"first_ms", r.firstToken.Milliseconds(), "endpoint_ms", r.total.Milliseconds(), "last_refusal", r.code)
}
