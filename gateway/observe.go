package gateway

import (
	"net/http"
	"time"

	"toucantiller.dev/contract"
	"toucantiller.dev/control/api"
	"toucantiller.dev/dispatch"
	"toucantiller.dev/timeline"
)

// succeeded reports an answer whose end has arrived.
func (a *attempt) succeeded(m *dispatch.End) {
	tokens := m.AnswerTokens
	if tokens > 0 {
		a.gateway.estimator.Observe(a.call.route.Name, a.call.account.Name, tokens)
	}
	o := a.observation()
	o.Failed = a.out.status >= http.StatusInternalServerError
	o.AnswerTokens = tokens
	if m.PromptTokens > 0 {
		o.PromptTokens = m.PromptTokens
	}
	if a.out.live && tokens > 1 && a.call.service.Kind == contract.KindModel {
		o.BetweenTokens = a.last.Sub(a.first) / time.Duration(tokens-1)
	}
	a.report(o)
}

// failed reports an attempt that ran and did not end. byEndpoint is false when the
// deadline passed, which may be the caller's doing.
func (a *attempt) failed(byEndpoint bool) {
	o := a.observation()
	o.Failed = byEndpoint
	a.report(o)
}

func (a *attempt) observation() api.Observation {
	first := a.first
	if first.IsZero() {
		first = time.Now()
	}
	return api.Observation{
		Service: a.call.service.Name, Version: a.endpoint.Version, Route: a.call.route.Name,
		Endpoint: a.endpoint.ID, Domain: a.endpoint.Domain,
		Cold: a.decision.Cold, Load: a.load,
		PromptTokens: a.call.promptTokens, FirstToken: first.Sub(a.began),
	}
}

func (a *attempt) report(o api.Observation) {
	if failing, changed := a.candidate.Answered(o.Failed, time.Now()); changed {
		kind := timeline.Kind("endpoint.recovered")
		if failing {
			kind = "endpoint.failing"
		}
		a.gateway.opt.Timeline.Record(timeline.Event{Kind: kind, Request: a.call.id, Endpoint: string(a.endpoint.ID)})
	}
	a.gateway.metrics.firstToken.record(o.FirstToken)
	if a.gateway.opt.Evidence != nil {
		a.gateway.opt.Evidence.Observe(o)
	}
}
