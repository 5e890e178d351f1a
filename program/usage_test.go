package program

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	kitlog "github.com/go-kit/log"
	"go.opentelemetry.io/otel/metric/noop"
	"gotest.tools/v3/assert"

	"toucantiller.dev/control/api"
	"toucantiller.dev/instance"
	"toucantiller.dev/uptime"
	"toucantiller.dev/usage"
)

// usageLeader is a control leader that counts the reports it gets.
type usageLeader struct {
	collector *usage.Collector
	reports   int
	// failures is the number of reports that will fail.
	failures int
	last     usage.Report
}

func (l *usageLeader) report(_ context.Context, in *api.ReportUsage) (*api.UsageReply, error) {
	l.reports++
	if l.failures > 0 {
		l.failures--
		return nil, errors.New("no leader")
	}
	l.last = in.Report
	return &api.UsageReply{Reply: l.collector.Report(&in.Report, uptime.Now(), time.Now(), 0)}, nil
}

func newTestReporter(t *testing.T, l *usageLeader, log *bytes.Buffer) *usageReporter {
	r, err := newUsageReporter(instance.Instance{ID: "g", Incarnation: 1}, 5*time.Second, l.report, noop.Meter{}, kitlog.NewLogfmtLogger(log))
	assert.NilError(t, err)
	return r
}

// Guards against counts that a stopping gateway takes with it: the report fails, or a new leader
// has none of the earlier ones.
func TestLastReportReachesANewLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		l := &usageLeader{collector: usage.NewCollector(5 * time.Second)}
		r := newTestReporter(t, l, &log)
		ctx, cancel := context.WithCancel(t.Context())
		go r.run(ctx)
		time.Sleep(10*time.Second + time.Millisecond)
		r.counter.Begin("mill", uptime.Now())
		time.Sleep(usage.ReportInterval)
		cancel()
		synctest.Wait()
		assert.Equal(t, strings.Count(log.String(), "agreed time learned"), 1, log.String())
		l.collector, l.failures = usage.NewCollector(5*time.Second), 1
		r.finish(t.Context())
		assert.Assert(t, l.last.Final)
		assert.Equal(t, len(l.last.Windows), 1)
		assert.Equal(t, l.last.Windows[0].Counts["mill"], uint64(1))
	})
}

// Guards against reports twice a second to a leader that counts no usage.
func TestReportsAreRareWhereNothingIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		l := &usageLeader{collector: usage.NewCollector(0)}
		r := newTestReporter(t, l, &log)
		ctx, cancel := context.WithCancel(t.Context())
		go r.run(ctx)
		time.Sleep(time.Minute)
		cancel()
		synctest.Wait()
		assert.Assert(t, l.reports <= 7, "%d reports", l.reports)
		assert.Equal(t, strings.Count(log.String(), "counted=false"), 1, log.String())
	})
}

// Guards against a clock that jumps and is not logged, and against a line for each report.
func TestJumpOfTheClockIsLoggedOnce(t *testing.T) {
	var log bytes.Buffer
	r := newTestReporter(t, &usageLeader{collector: usage.NewCollector(5 * time.Second)}, &log)
	wall := time.Now()
	reply := &usage.Reply{Session: 1, Length: 5 * time.Second, Agreed: wall.UnixNano()}
	at := uptime.Now()
	assert.Assert(t, r.counter.Replied(r.counter.Report(at, wall), reply, at, at))
	for _, jump := range []time.Duration{0, 0, 2 * time.Second, 2 * time.Second, 0} {
		r.logChanges(true, at, wall.Add(jump))
	}
	assert.Equal(t, strings.Count(log.String(), "clock jumped"), 2, log.String())
	assert.Equal(t, strings.Count(log.String(), "\n"), 3, log.String())
}

// Guards against windows that cannot be counted, and counting that an empty setting turns on.
func TestUsageWindowSetting(t *testing.T) {
	for text, want := range map[string]time.Duration{"": 0, "0": 0, "5": 5 * time.Second, "0.1": -1, "4000": -1} {
		var seconds OptionalFloat
		assert.NilError(t, seconds.UnmarshalText([]byte(text)))
		got, err := usageWindowOf(seconds)
		assert.Equal(t, err != nil, want < 0, "%q: %v", text, err)
		if want >= 0 {
			assert.Equal(t, got, want, text)
		}
	}
	r, err := newUsageReporter(instance.Instance{}, 0, nil, noop.Meter{}, nil)
	assert.NilError(t, err)
	g := &Gateway{usage: r}
	assert.Assert(t, g.usageCounter() == nil, "the gateway counts although it is off")
}
