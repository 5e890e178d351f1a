package agent

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"toucantiller.dev/dispatch"
	"toucantiller.dev/endpoint"
)

// counter is a monotonic counter.
type counter struct{ metric.Int64Counter }

func (c counter) add(n int64, opt ...metric.AddOption) {
	c.Add(context.Background(), n, opt...)
}

// metrics counts the outcomes of dispatches.
type metrics struct {
	completed      counter
	refusals       counter
	losses         counter
	wasted         counter
	resumed        counter
	cancelFailures counter
	ordersRefused  counter
}

// newMetrics registers the metrics; load is read when they are collected.
func newMetrics(m metric.Meter, load func() endpoint.Load) (*metrics, error) {
	if m == nil {
		m = noop.NewMeterProvider().Meter("agent")
	}
	if err := registerLoad(m, load); err != nil {
		return nil, err
	}
	var out metrics
	for _, c := range []struct {
		counter    *counter
		name, unit string
		about      string
	}{
		{&out.completed, "toucan.agent.dispatches.completed", "{dispatch}", "Dispatches whose whole answer was passed on."},
		{&out.refusals, "toucan.agent.dispatches.refused", "{dispatch}", "Dispatches that did not run, by code."},
		{&out.losses, "toucan.agent.dispatches.lost", "{dispatch}", "Dispatches that ran and did not end, by code."},
		{&out.wasted, "toucan.agent.prefill.wasted", "{token}", "Prompt tokens given to the engine for answers that did not end."},
		{&out.resumed, "toucan.agent.answers.resumed", "{answer}", "Answers reopened at the engine."},
		{&out.cancelFailures, "toucan.agent.cancels.failed", "{request}", "Requests that the engine did not confirm as cancelled."},
		{&out.ordersRefused, "toucan.agent.orders.refused", "{order}", "Orders with a stale fencing token."},
	} {
		i, err := m.Int64Counter(c.name, metric.WithUnit(c.unit), metric.WithDescription(c.about))
		if err != nil {
			return nil, err
		}
		c.counter.Int64Counter = i
	}
	return &out, nil
}

func registerLoad(m metric.Meter, load func() endpoint.Load) error {
	for _, g := range []struct {
		name, unit, about string
		value             func(endpoint.Load) int
	}{
		{"toucan.agent.limit", "{request}", "Requests that the endpoint can bear.", func(l endpoint.Load) int { return l.Limit }},
		{"toucan.agent.requests.running", "{request}", "Requests in the engine.", func(l endpoint.Load) int { return l.Running }},
		{"toucan.agent.requests.queued", "{request}", "Requests in the agent's queue.", func(l endpoint.Load) int { return l.Queued }},
		{"toucan.agent.slowdown", "%", "How long work takes on the endpoint's machine now, in hundredths of its mean; 0 if it is as usual or not stated.", func(l endpoint.Load) int { return int(l.Slowdown) }},
	} {
		observe := func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(int64(g.value(load())))
			return nil
		}
		if _, err := m.Int64ObservableGauge(g.name, metric.WithUnit(g.unit), metric.WithDescription(g.about), metric.WithInt64Callback(observe)); err != nil {
			return err
		}
	}
	return nil
}

func (m *metrics) countRefused(code dispatch.Code) { m.refusals.add(1, withCode(code)) }

func (m *metrics) countLost(code dispatch.Code) { m.losses.add(1, withCode(code)) }

func withCode(code dispatch.Code) metric.AddOption {
	return metric.WithAttributes(attribute.String("code", string(code)))
}
