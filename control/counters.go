package control

import (
	"context"

	"go.opentelemetry.io/otel/metric"
)

// counters are the metrics of a replica.
type counters struct {
	changes             metric.Int64Counter
	refusals            metric.Int64Counter
	registrations       metric.Int64Counter
	deferrals           metric.Int64Counter
	expirations         metric.Int64Counter
	beacons             metric.Int64Counter
	barrierFailures     metric.Int64Counter
	observations        metric.Int64Counter
	observationsDropped metric.Int64Counter
	moveStages          metric.Int64Counter
	claimsRefused       metric.Int64Counter
	usageSent           metric.Int64Counter
	usageAccepted       metric.Int64Counter
	usageBusy           metric.Int64Counter
	usageFailed         metric.Int64Counter
	usageRejected       metric.Int64Counter
	usageGivenUp        metric.Int64Counter
	budgetLeases        metric.Int64Counter
}

func newCounters(m metric.Meter) (*counters, error) {
	c := &counters{}
	for _, d := range []struct {
		to          *metric.Int64Counter
		name, usage string
	}{
		{&c.changes, "control.changes", "operator changes accepted"},
		{&c.refusals, "control.refusals", "operator changes refused"},
		{&c.registrations, "control.registrations", "registrations admitted"},
		{&c.deferrals, "control.registrations_deferred", "registrations told to come back later"},
		{&c.expirations, "control.leases_expired", "leases that ended in silence"},
		{&c.beacons, "control.beacons", "freshness beacons issued"},
		{&c.barrierFailures, "control.quorum_unconfirmed", "beacons not issued for want of a quorum"},
		{&c.observations, "control.observations", "observations received from gateways"},
		{&c.observationsDropped, "control.observations_dropped", "observations dropped at the buffer's bound"},
		{&c.moveStages, "control.move_stages", "stage changes of moves"},
		{&c.budgetLeases, "control.budget_leases.granted", "leases on shares of accounts' limits granted or renewed"},
		{&c.claimsRefused, "control.claims_refused", "claims refused because the claims have their full size"},
		{&c.usageSent, "control.usage_reports", "calls that reported usage"},
		{&c.usageAccepted, "control.usage_accepted", "usage reports accepted"},
		{&c.usageBusy, "control.usage_busy", "usage reports put off by a platform that is busy"},
		{&c.usageFailed, "control.usage_failed", "usage reports that failed and are repeated"},
		{&c.usageRejected, "control.usage_rejected", "usage reports that the platform rejected"},
		{&c.usageGivenUp, "control.usage_given_up", "usage reports not accepted in time"},
	} {
		counter, err := m.Int64Counter(d.name, metric.WithDescription(d.usage))
		if err != nil {
			return nil, err
		}
		*d.to = counter
	}
	return c, nil
}

// observeLog makes the state of the log metrics of the replica.
func observeLog(m metric.Meter, l Log) error {
	bytes, err := m.Int64ObservableGauge("control.log_disk", metric.WithUnit("By"), metric.WithDescription("size of the log on the disk"))
	if err != nil {
		return err
	}
	elections, err := m.Int64ObservableCounter("control.elections", metric.WithDescription("rises of the replica's term since the start"))
	if err != nil {
		return err
	}
	_, err = m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		s := l.Status()
		o.ObserveInt64(bytes, s.DiskBytes)
		o.ObserveInt64(elections, s.Elections)
		return nil
	}, bytes, elections)
	return err
}

// observeBudgets makes the leases on accounts' limits metrics of the replica.
func observeBudgets(m metric.Meter, s *Server) error {
	held, err := m.Int64ObservableGauge("control.budget_leases.held", metric.WithUnit("{gateway}"), metric.WithDescription("gateways with a lease on shares of accounts' limits; only at the leader"))
	if err != nil {
		return err
	}
	expired, err := m.Int64ObservableGauge("control.budget_leases.expired", metric.WithUnit("{lease}"), metric.WithDescription("leases on accounts' limits that ended without a renewal in this term"))
	if err != nil {
		return err
	}
	_, err = m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		if s.isLeading() {
			h, e := s.budgetPool().Leases()
			o.ObserveInt64(held, int64(h))
			o.ObserveInt64(expired, int64(e)) //nolint:gosec // counts leases
		}
		return nil
	}, held, expired)
	return err
}

func count(c metric.Int64Counter, n int) { c.Add(context.Background(), int64(n)) }
