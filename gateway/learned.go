package gateway

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"toucantiller.dev/schedule"
)

// registerLearned registers the gauges of what answers taught of endpoints without agents.
func registerLearned(m metric.Meter, learned func() []schedule.Learned) error {
	if m == nil {
		return nil
	}
	limit, err := m.Int64ObservableGauge("toucan.gateway.endpoint.limit", metric.WithUnit("{request}"),
		metric.WithDescription("Requests at once that an endpoint without an agent takes well, as far as this gateway has learned."))
	if err != nil {
		return err
	}
	slowness, err := m.Float64ObservableGauge("toucan.gateway.endpoint.slowness", metric.WithUnit("1"),
		metric.WithDescription("Time of work at an endpoint without an agent, as a multiple of that at the fastest of its service."))
	if err != nil {
		return err
	}
	_, err = m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for _, l := range learned() {
			of := metric.WithAttributes(attribute.String("endpoint", string(l.Endpoint)), attribute.String("service", l.Service))
			o.ObserveInt64(limit, int64(l.Limit), of)
			if l.Slowness > 0 {
				o.ObserveFloat64(slowness, l.Slowness, of)
			}
		}
		return nil
	}, limit, slowness)
	return err
}

// learned returns what the answers of endpoints without agents taught.
func (g *Gateway) learned() []schedule.Learned {
	r := g.routing.Load()
	if r == nil {
		return nil
	}
	return r.snapshot.Learned(time.Now())
}
