package gateway

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"toucantiller.dev/admission"
)

// counter is a monotonic counter.
type counter struct{ metric.Int64Counter }

func (c counter) increment(opt ...metric.AddOption) { c.Add(context.Background(), 1, opt...) }

// histogram is a distribution of durations in seconds.
type histogram struct{ metric.Float64Histogram }

func (h histogram) record(d time.Duration) { h.Record(context.Background(), d.Seconds()) }

// metrics counts the outcomes of calls.
type metrics struct {
	completed        counter
	problems         counter
	sheds            counter
	retries          counter
	handedBack       counter
	retriesExhausted counter
	requeued         counter
	linksLost        counter
	floorsRaised     counter
	claimFailures    counter
	tasksDropped     counter
	callersClosed    counter
	usageCounted     counter
	leasesRenewed    counter
	leasesExpired    counter
	refusedAway      counter
	duration         histogram
	firstToken       histogram
}

// durationBounds are the buckets that OpenTelemetry recommends for HTTP durations, with
// more of them for long answers.
var durationBounds = []float64{0.005, 0.01, 0.025, 0.05, 0.075, 0.1, 0.25, 0.4, 0.5, 0.75, 1, 2.5, 5, 7.5, 10, 30, 60}

func newMetrics(m metric.Meter) (*metrics, error) {
	if m == nil {
		m = noop.NewMeterProvider().Meter("gateway")
	}
	var out metrics
	for _, c := range []struct {
		counter           *counter
		name, unit, about string
	}{
		{&out.completed, "toucan.gateway.requests.completed", "{request}", "Requests whose whole answer was passed on."},
		{&out.problems, "toucan.gateway.requests.problems", "{request}", "Requests that ended with a problem, by code and execution."},
		{&out.sheds, "toucan.gateway.requests.shed", "{request}", "Requests refused before dispatch, by reason and tier."},
		{&out.leasesRenewed, "toucan.gateway.budget.leases.renewed", "{lease}", "Leases on shares of the accounts' token limits that were granted or renewed."},
		{&out.leasesExpired, "toucan.gateway.budget.leases.expired", "{lease}", "Leases on shares of the accounts' token limits that ended without a renewal."},
		{&out.refusedAway, "toucan.gateway.budget.refused_away", "{request}", "Requests refused for their account's token limit while the leader was away."},
		{&out.retries, "toucan.gateway.dispatches.retried", "{dispatch}", "Dispatches after a proven not-run, from the retry budget."},
		{&out.handedBack, "toucan.gateway.dispatches.handed_back", "{dispatch}", "Dispatches handed back by an endpoint that leaves and placed elsewhere."},
		{&out.requeued, "toucan.gateway.dispatches.returned", "{dispatch}", "Dispatches that an agent had no room for and that went back to the queue."},
		{&out.retriesExhausted, "toucan.gateway.retry_budget.exhausted", "{request}", "Requests not tried again because the retry budget was used up."},
		{&out.linksLost, "toucan.gateway.links.lost", "{dispatch}", "Dispatches whose connection broke or went silent."},
		{&out.floorsRaised, "toucan.gateway.floor.raised", "{floor}", "Times this gateway raised the admission floor."},
		{&out.claimFailures, "toucan.gateway.claims.failed", "{call}", "Calls to control about claims that failed."},
		{&out.tasksDropped, "toucan.gateway.tasks.dropped", "{task}", "Background tasks dropped because too many ran."},
		{&out.usageCounted, "toucan.gateway.usage.counted", "{request}", "Requests counted as begun for reports of usage."},
		{&out.callersClosed, "toucan.gateway.callers.closed", "{connection}", "Idle connections of callers closed because memory was short."},
	} {
		i, err := m.Int64Counter(c.name, metric.WithUnit(c.unit), metric.WithDescription(c.about))
		if err != nil {
			return nil, err
		}
		c.counter.Int64Counter = i
	}
	return &out, newHistograms(m, &out)
}

func newHistograms(m metric.Meter, out *metrics) error {
	for _, h := range []struct {
		histogram   *histogram
		name, about string
	}{
		{&out.duration, "http.server.request.duration", "Time from the caller's request to the end of its answer."},
		{&out.firstToken, "toucan.gateway.time_to_first_token", "Time from dispatch to the first byte of the engine's answer."},
	} {
		i, err := m.Float64Histogram(h.name, metric.WithUnit("s"), metric.WithDescription(h.about), metric.WithExplicitBucketBoundaries(durationBounds...))
		if err != nil {
			return err
		}
		h.histogram.Float64Histogram = i
	}
	return nil
}

// registerMemory registers the gauges of the memory held for callers.
func registerMemory(m metric.Meter, a *memoryAccount) error {
	if m == nil {
		return nil
	}
	for _, g := range []struct {
		name, about string
		value       func() int64
	}{
		{"toucan.gateway.memory.held", "Memory that the gateway counts as held for its callers.", a.held.Load},
		{"toucan.gateway.memory.budget", "Memory that the gateway may hold for its callers; 0 for no bound.", func() int64 { return int64(a.budget) }},
	} {
		observe := func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(g.value())
			return nil
		}
		if _, err := m.Int64ObservableGauge(g.name, metric.WithUnit("By"), metric.WithDescription(g.about), metric.WithInt64Callback(observe)); err != nil {
			return err
		}
	}
	return nil
}

// registerLeases registers the gauge of what is held on lease of the accounts' limits.
func registerLeases(m metric.Meter, l *budgetLeases) error {
	if m == nil {
		return nil
	}
	observe := func(_ context.Context, o metric.Float64Observer) error {
		o.Observe(l.wallets.leasedShare(l.now()))
		return nil
	}
	_, err := m.Float64ObservableGauge("toucan.gateway.budget.leased_share", metric.WithUnit("1"), metric.WithDescription("Mean share of the accounts' token limits that the gateway has on lease."), metric.WithFloat64Callback(observe))
	return err
}

func (m *metrics) recordProblem(p *Problem) {
	m.problems.increment(metric.WithAttributes(attribute.String("code", p.Code), attribute.String("execution", string(p.Execution))))
}

func (m *metrics) recordShed(r *admission.Refusal) {
	m.sheds.increment(metric.WithAttributes(attribute.String("reason", string(r.Reason)), attribute.Int("tier", int(r.Tier))))
}
