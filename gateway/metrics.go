package gateway

import (
	"context"

	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
)

// metrics counts the outcomes of calls.
type metrics struct {
	completed metric.Int64Counter
	problems  metric.Int64Counter
}

func newMetrics(m metric.Meter) (*metrics, error) {
	if m == nil {
		m = noop.NewMeterProvider().Meter("gateway")
	}
	var out metrics
	var err error
	if out.completed, err = m.Int64Counter("toucan.gateway.requests.completed"); err != nil {
		return nil, err
	}
	out.problems, err = m.Int64Counter("toucan.gateway.requests.problems")
	return &out, err
}

func (m *metrics) count(c metric.Int64Counter) { c.Add(context.Background(), 1) }
