package gateway

import (
	"net/http"
	"time"

	"toucantiller.dev/contract"
	"toucantiller.dev/control/api"
	"toucantiller.dev/dispatch"
	"toucantiller.dev/timeline"
)

// recordSuccess records an attempt whose whole answer has arrived.
func (a *attempt) recordSuccess(m *dispatch.End) {
	tokens := m.AnswerTokens
	if tokens > 0 {
		a.gateway.estimator.Observe(a.call.route.Name, a.call.account.Name, tokens)
	}
	o := a.newObservation()
	o.Failed = a.out.status >= http.StatusInternalServerError
	o.AnswerTokens = tokens
	if m.PromptTokens > 0 {
		o.PromptTokens = m.PromptTokens
	}
	if a.out.streaming && tokens > 1 && a.call.service.Kind == contract.KindModel {
		o.BetweenTokens = a.lastByte.Sub(a.firstByte) / time.Duration(tokens-1)
	}
	a.reportObservation(o)
}

// recordFailure records an attempt that ran and did not complete. byEndpoint is false if the
// deadline passed, which may be due to the caller.
func (a *attempt) recordFailure(byEndpoint bool) {
	o := a.newObservation()
	o.Failed = byEndpoint
	a.reportObservation(o)
}

func (a *attempt) newObservation() api.Observation {
	first := a.firstByte
	if first.IsZero() {
		first = time.Now()
	}
	return api.Observation{
		Service: a.call.service.Name, Version: a.endpoint.Version, Route: a.call.route.Name,
		Endpoint: a.endpoint.ID, Domain: a.endpoint.Domain,
		Cold: a.decision.Cold, Load: a.utilization,
		PromptTokens: a.call.promptTokens, FirstToken: first.Sub(a.began),
	}
}

func (a *attempt) reportObservation(o api.Observation) {
	if failing, changed := a.candidate.RecordAnswer(o.Failed, time.Now()); changed {
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
