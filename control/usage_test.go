package control_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/control"
	"toucantiller.dev/control/api"
	"toucantiller.dev/link"
	"toucantiller.dev/uptime"
	"toucantiller.dev/usage"
)

// reportUsage sends one report of a gateway to the leader.
func reportUsage(t *testing.T, c *control.Client, counter *usage.Counter) (counted bool) {
	sent := uptime.Now()
	report := counter.Report(sent, time.Now())
	reply, err := c.ReportUsage(t.Context(), &api.ReportUsage{Report: *report})
	assert.NilError(t, err)
	return counter.Replied(report, &reply.Reply, sent, uptime.Now())
}

// Guards against counts that are lost, or agreed time that is unknown or wrong, after the leader
// was lost.
func TestUsageIsReportedAgainToANewLeader(t *testing.T) {
	runInSynctest(t, func(t *testing.T) {
		const length = 5 * time.Second
		g := startGroupWith(t, &group{duties: func(string) control.DutyOptions {
			return control.DutyOptions{UsageWindow: length}
		}})
		c := control.NewClient(g.network, replicas)
		defer c.Close()
		counters := []*usage.Counter{
			usage.NewCounter("g1", 1, length, uptime.Now()),
			usage.NewCounter("g2", 2, length, uptime.Now()),
		}
		run := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(usage.ReportInterval) {
				for _, counter := range counters {
					assert.Assert(t, reportUsage(t, c, counter))
				}
			}
		}
		run(10 * time.Second)
		first := time.Now().Truncate(length).Add(length)
		time.Sleep(time.Until(first) + time.Second)
		for range 3 {
			counters[0].Begin("mill", uptime.Now())
		}
		counters[1].Begin("loom", uptime.Now())
		run(time.Second)
		old := g.leader(t, c)
		g.network.SetFault(old, link.FaultPartition)
		run(length + usage.Patience)
		collector := g.servers[g.leader(t, c)].Usage()
		now, known := collector.Now(uptime.Now())
		assert.Assert(t, known && time.Since(now).Abs() < 50*time.Millisecond, "%s", time.Since(now))
		number := first.UnixNano() / int64(length)
		windows := collector.Due(uptime.Now(), number, nil)
		assert.Assert(t, len(windows) > 0)
		assert.DeepEqual(t, windows[0], usage.Window{Number: number, Counts: usage.Counts{"mill": 3, "loom": 1}, Processes: 2})
		g.network.SetFault(old, link.FaultNone)
		time.Sleep(3 * time.Second)
	})
}

// Guards against a deployment that counts no usage and pays for it.
func TestNoUsageIsCountedWithoutWindows(t *testing.T) {
	runInSynctest(t, func(t *testing.T) {
		g := startGroup(t, nil)
		c := control.NewClient(g.network, replicas)
		defer c.Close()
		counter := usage.NewCounter("g1", 1, 5*time.Second, uptime.Now())
		counter.Begin("mill", uptime.Now())
		assert.Assert(t, !reportUsage(t, c, counter))
	})
}
