package program

import (
	"context"
	"fmt"
	"sync"
	"time"

	kitlog "github.com/go-kit/log"
	"go.opentelemetry.io/otel/metric"

	"toucantiller.dev/control/api"
	"toucantiller.dev/instance"
	"toucantiller.dev/uptime"
	"toucantiller.dev/usage"
)

const (
	// usageReportTimeout bounds one report of usage; the next one carries the same counts.
	usageReportTimeout = 2 * time.Second
	// notCountedInterval is the time between reports to a leader that counts no usage.
	notCountedInterval = 10 * time.Second
	// clockJump is the least change of the wall clock against agreed time that is logged.
	clockJump = time.Second
	// maxUsageWindow bounds the length of a window of usage.
	maxUsageWindow = time.Hour
	// finalReports bounds the last reports of a gateway that stops: a new leader needs two.
	finalReports = 3
)

// usageWindowOf returns the length of the windows of usage, 0 if usage is not counted.
func usageWindowOf(seconds OptionalFloat) (time.Duration, error) {
	s := seconds.Or(0)
	if s > maxUsageWindow.Seconds() {
		return 0, &SettingError{Flag: "usage-window", Err: fmt.Errorf("%g s is above %s", s, maxUsageWindow)}
	}
	length := time.Duration(s * float64(time.Second))
	if length > 0 && length < usage.ReportInterval {
		return 0, &SettingError{Flag: "usage-window", Err: fmt.Errorf("%g s is below %s", s, usage.ReportInterval)}
	}
	return length, nil
}

func checkUsageWindow(seconds OptionalFloat) error {
	_, err := usageWindowOf(seconds)
	return err
}

// usageReporter sends what a gateway has counted to control.
type usageReporter struct {
	counter  *usage.Counter
	report   func(ctx context.Context, in *api.ReportUsage) (*api.UsageReply, error)
	logger   kitlog.Logger
	failures metric.Int64Counter

	// mu is held during a report.
	mu sync.Mutex
	// counted, agreed and ahead are what was logged last: whether control counts, whether agreed
	// time is known, and how far the wall clock was ahead of it.
	counted, agreed bool
	ahead           time.Duration
}

// newUsageReporter returns the reporter of a gateway, nil if its windows have length 0.
func newUsageReporter(self instance.Instance, length time.Duration, report func(context.Context, *api.ReportUsage) (*api.UsageReply, error), meter metric.Meter, logger kitlog.Logger) (*usageReporter, error) {
	if length == 0 {
		return nil, nil //nolint:nilnil // nil is the reporter that is off
	}
	r := &usageReporter{
		counter: usage.NewCounter(self.ID, self.Incarnation, length, uptime.Now()),
		report:  report, logger: logger, counted: true,
	}
	return r, r.register(meter)
}

func (r *usageReporter) register(m metric.Meter) (err error) {
	r.failures, err = m.Int64Counter("toucan.gateway.usage.reports.failed", metric.WithUnit("{report}"), metric.WithDescription("Reports of usage that control did not acknowledge; the next one carries the same counts."))
	if err != nil {
		return err
	}
	late := func(_ context.Context, o metric.Int64Observer) error {
		o.Observe(int64(r.counter.Late())) //nolint:gosec // far below the largest int64
		return nil
	}
	_, err = m.Int64ObservableCounter("toucan.gateway.usage.late", metric.WithUnit("{request}"), metric.WithDescription("Requests whose window was fixed before their count was acknowledged."), metric.WithInt64Callback(late))
	return err
}

// run reports until ctx ends.
func (r *usageReporter) run(ctx context.Context) {
	for {
		if sleep(ctx, r.interval()) != nil {
			return
		}
		r.send(ctx, false)
	}
}

// interval returns the time until the next report.
func (r *usageReporter) interval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counted {
		return usage.ReportInterval
	}
	return notCountedInterval
}

// finish sends the last report of a gateway that stops. A leader that is new to the gateway needs
// another one with all that was acknowledged before.
func (r *usageReporter) finish(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, usageReportTimeout)
	defer cancel()
	for range finalReports {
		if ctx.Err() != nil || r.send(ctx, true) {
			return
		}
	}
}

// send sends one report. It reports whether the leader now has all counts of this process, or
// wants none.
func (r *usageReporter) send(ctx context.Context, final bool) (complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, usageReportTimeout)
	defer cancel()
	sentAt := uptime.Now()
	report := r.counter.Report(sentAt, time.Now())
	report.Final = final
	reply, err := r.report(ctx, &api.ReportUsage{Report: *report})
	if err != nil {
		r.failures.Add(ctx, 1)
		return false
	}
	receivedAt := uptime.Now()
	counted := r.counter.Replied(report, &reply.Reply, sentAt, receivedAt)
	r.logChanges(counted, receivedAt, time.Now())
	return !counted || report.Base == reply.Reply.Session
}

// logChanges logs what has changed since the last reply.
func (r *usageReporter) logChanges(counted bool, at uptime.Instant, wall time.Time) {
	if counted != r.counted {
		r.counted = counted
		_ = r.logger.Log("msg", "usage", "counted", counted)
	}
	now, agreed := r.counter.Now(at)
	if !agreed {
		return
	}
	ahead := wall.Sub(now)
	switch {
	case !r.agreed:
		_ = r.logger.Log("msg", "agreed time learned", "clock_ahead_ms", ahead.Milliseconds())
	case (ahead - r.ahead).Abs() > clockJump:
		_ = r.logger.Log("msg", "clock jumped", "clock_ahead_ms", ahead.Milliseconds(), "before_ms", r.ahead.Milliseconds())
	default:
		return
	}
	r.agreed, r.ahead = true, ahead
}

// sleep waits for d, or returns why ctx ended before.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
