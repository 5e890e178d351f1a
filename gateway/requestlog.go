package gateway

import (
	"time"

	"toucantiller.dev/endpoint"
	"toucantiller.dev/schedule"
)

// attemptRecord holds what the request log reports of an attempt.
type attemptRecord struct {
	endpoint endpoint.ID
	// limit and others are the endpoint's load as last reported to the gateway; age is the age
	// of that report.
	limit, others int
	age           time.Duration
	// firstToken and total are the times from the dispatch to the first byte and to the end.
	firstToken, total time.Duration
	code              string
}

// recordAttempt keeps the reported load behind an attempt and how the attempt ended.
func (c *call) recordAttempt(a *attempt, d schedule.Decision, r attemptResult) {
	now := time.Now()
	rec := attemptRecord{endpoint: a.endpoint.ID, total: now.Sub(a.began), code: string(r.code)}
	if load, made, ok := d.Candidate.Load(); ok {
		rec.limit, rec.others = load.Limit, load.Running+load.Queued
		if !made.IsZero() {
			rec.age = now.Sub(made)
		}
	}
	if !a.firstByte.IsZero() {
		rec.firstToken = a.firstByte.Sub(a.began)
	}
	c.lastAttempt = rec
}

// logRefused logs a request that was refused before it had a route, an account or a service.
func (g *Gateway) logRefused(in *IngressRequest, began time.Time, p *Problem) {
	document := uint64(0)
	if c := g.opt.View.Config(); c != nil && c.Ingress != nil {
		document = c.Ingress.Version
	}
	_ = g.opt.Logger.Log("msg", "request", "request", in.ID, "outcome", p.Code, "status", p.Status, "execution", string(p.Execution),
		"host", in.Host, "path", in.Path, "document", document, "total_ms", time.Since(began).Milliseconds(), "detail", p.Detail)
}

// logRequest logs a request that has ended. status is that of the endpoint's answer; p is nil
// if the whole answer was passed on.
func (g *Gateway) logRequest(c *call, status int, began time.Time, p *Problem) {
	if c.ingress == nil {
		return // calls on the gateway's own interface are in the time line
	}
	outcome, execution, retryAfter := "answered", "ran", time.Duration(0)
	if p != nil {
		outcome, status, execution, retryAfter = p.Code, p.Status, string(p.Execution), p.RetryAfter
	}
	r := &c.lastAttempt
	_ = g.opt.Logger.Log("msg", "request", "request", c.id, "outcome", outcome, "status", status, "execution", execution,
		"route", c.ingress.Name, "service", c.service.Name, "account", c.account.Name, "tier", int(c.tier),
		"prompt", c.promptTokens, "answer", c.answerTokens, "answer_max", c.maxAnswerTokens, "reserve", c.rating.reserve, "document", c.config.Ingress.Version,
		"total_ms", time.Since(began).Milliseconds(), "waited_ms", c.waited.Milliseconds(), "ran_on", c.runs,
		"endpoint", r.endpoint, "endpoint_load", r.others, "endpoint_limit", r.limit, "load_age_ms", r.age.Milliseconds(),
		"first_ms", r.firstToken.Milliseconds(), "endpoint_ms", r.total.Milliseconds(), "last_refusal", r.code,
		"retry_after_ms", retryAfter.Milliseconds())
}
