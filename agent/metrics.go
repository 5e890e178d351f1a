package agent

import (
	"context"

	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
)

// metrics counts the outcomes of dispatches.
type metrics struct {
	completed metric.Int64Counter
	refused   metric.Int64Counter
	lost      metric.Int64Counter
}

func newMetrics(m metric.Meter) (*metrics, error) {
	if m == nil {
		m = noop.NewMeterProvider().Meter("agent")
	}
	var out metrics
	var err error
	if out.completed, err = m.Int64Counter("toucan.agent.dispatches.completed"); err != nil {
		return nil, err
	}
	if out.refused, err = m.Int64Counter("toucan.agent.dispatches.refused"); err != nil {
		return nil, err
	}
	if out.lost, err = m.Int64Counter("toucan.agent.dispatches.lost"); err != nil {
		return nil, err
	}
	return &out, nil
}

func (m *metrics) count(c metric.Int64Counter) { c.Add(context.Background(), 1) }
