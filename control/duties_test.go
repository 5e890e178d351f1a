package control_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/control"
	"toucantiller.dev/control/api"
	"toucantiller.dev/instance"
	"toucantiller.dev/link"
	"toucantiller.dev/uptime"
	"toucantiller.dev/usage"
)

// Settings of the duties in tests.
const (
	dutyLease   = 3 * time.Second
	usageWindow = 5 * time.Second
	usageLate   = 10 * time.Second
)

// randomWindows is a source whose counts differ at each call, as those of two leaders may.
type randomWindows struct{ first int64 }

func (w randomWindows) Now(uptime.Instant) (time.Time, bool) { return time.Now(), true }

func (w randomWindows) Due(_ uptime.Instant, first int64, _ []instance.ID) []usage.Window {
	var out []usage.Window
	for n := max(w.first, first); n < windowAt(time.Now().Add(-time.Second)); n++ {
		out = append(out, usage.Window{Number: n, Counts: usage.Counts{"mill": rand.Uint64N(1e9)}, Processes: 1})
	}
	return out
}

func windowAt(t time.Time) int64 { return t.UnixNano() / int64(usageWindow) }

// reportCall is a call that the fake platform took.
type reportCall struct {
	at      time.Time
	holder  instance.ID
	token   uint64
	window  int64
	content string
}

// fakePlatform takes reports. answer, if set, decides what becomes of a call.
type fakePlatform struct {
	mu     sync.Mutex
	calls  []reportCall
	answer func(ctx context.Context, call int) (taken bool, err error)
	tries  int
}

func (p *fakePlatform) SendUsage(ctx context.Context, r *control.UsageReport) error {
	if r.Left() <= 0 {
		return errors.New("over")
	}
	p.mu.Lock()
	p.tries++
	answer, try := p.answer, p.tries
	p.mu.Unlock()
	taken, err := true, error(nil)
	if answer != nil {
		taken, err = answer(ctx, try)
	}
	if taken {
		content, _ := json.Marshal(r.Counts)
		p.mu.Lock()
		p.calls = append(p.calls, reportCall{at: time.Now(), holder: r.Holder, token: r.Token, window: r.Window, content: string(content)})
		p.mu.Unlock()
	}
	return err
}

func (p *fakePlatform) set(answer func(ctx context.Context, call int) (bool, error)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answer = answer
}

func (p *fakePlatform) taken() []reportCall {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]reportCall(nil), p.calls...)
}

// check checks that no two holders acted at a time, that each window has one content, and that
// every window of a range was taken in time.
func (p *fakePlatform) check(t *testing.T, from, to int64) {
	t.Helper()
	calls := p.taken()
	contents, inTime := map[int64]string{}, map[int64]bool{}
	for i, c := range calls {
		if i > 0 && c.holder != calls[i-1].holder {
			assert.Assert(t, c.token > calls[i-1].token, "%+v follows %+v", c, calls[i-1])
			assert.Assert(t, c.at.Sub(calls[i-1].at) > dutyLease/2, "%+v follows %+v", c, calls[i-1])
		}
		if known, ok := contents[c.window]; ok {
			assert.Equal(t, known, c.content, "window %d", c.window)
		}
		contents[c.window] = c.content
		end := time.Unix(0, (c.window+1)*int64(usageWindow))
		inTime[c.window] = inTime[c.window] || c.at.Sub(end) <= usageLate
	}
	for n := from; n < to; n++ {
		assert.Assert(t, inTime[n], "window %d of %d to %d was not reported in time", n, from, to)
	}
}

// startDutyGroup starts a group with duties, whose first window is the present one.
func startDutyGroup(t *testing.T, p *fakePlatform) (g *group, first int64) {
	t.Helper()
	first = windowAt(time.Now())
	g = &group{duties: func(addr string) control.DutyOptions {
		return control.DutyOptions{
			UsageWindow: usageWindow, UsageLate: usageLate, Lease: dutyLease, CallsPerSecond: 50,
			Holder: instance.ID("machine-of-" + addr), Sender: p, Windows: randomWindows{first: first},
		}
	}}
	return startGroupWith(t, g), first
}

// Guards against two contents of a window, holders that act at a time, or windows that are missed
// when the leader is cut off, and against an earlier leader that acts on when it is back.
func TestReportsKeepTheirContentOverChangesOfLeader(t *testing.T) {
	runInSynctest(t, func(t *testing.T) {
		p := &fakePlatform{}
		g, first := startDutyGroup(t, p)
		c := control.NewClient(g.network, replicas)
		defer c.Close()
		// Half of the answers are lost, so that most windows are sent more than once.
		p.set(func(_ context.Context, call int) (bool, error) {
			if call%2 == 1 {
				return true, errors.New("the answer is lost")
			}
			return true, nil
		})
		for range 4 {
			time.Sleep(11 * time.Second)
			leader := g.leader(t, c)
			g.network.SetFault(leader, link.FaultPartition)
			time.Sleep(5 * time.Second)
			g.network.SetFault(leader, link.FaultNone)
		}
		time.Sleep(15 * time.Second)
		p.check(t, first, windowAt(time.Now().Add(-usageLate)))
		holders := map[instance.ID]bool{}
		for _, call := range p.taken() {
			holders[call.holder] = true
		}
		assert.Assert(t, len(holders) > 1, "the duty never changed its holder")
	})
}

// Guards against windows that are missed or flood a platform that is slow, busy or down for less
// than the time to report, and against calls that go on beyond the holder's right to make them.
func TestReportsOutlastAPlatformInTrouble(t *testing.T) {
	down := func(context.Context, int) (bool, error) { return false, errors.New("refused") }
	busy := func(context.Context, int) (bool, error) {
		return false, &control.ReportBusyError{RetryAfter: time.Second}
	}
	slow := func(ctx context.Context, _ int) (bool, error) {
		began := time.Now()
		<-ctx.Done()
		if took := time.Since(began); took > dutyLease/2 {
			panic("a call went on for " + took.String())
		}
		return true, ctx.Err()
	}
	for _, trouble := range []func(context.Context, int) (bool, error){down, busy, slow} {
		runInSynctest(t, func(t *testing.T) {
			p := &fakePlatform{}
			_, first := startDutyGroup(t, p)
			time.Sleep(10 * time.Second)
			p.set(trouble)
			p.mu.Lock()
			before := p.tries
			p.mu.Unlock()
			time.Sleep(6 * time.Second)
			p.mu.Lock()
			tries := p.tries - before
			p.mu.Unlock()
			assert.Assert(t, tries > 1 && tries < 12, "%d calls in 6 s", tries)
			p.set(nil)
			time.Sleep(20 * time.Second)
			p.check(t, first, windowAt(time.Now().Add(-usageLate)))
		})
	}
}

// Guards against a leader that goes on without a quorum, as after a freeze, while another one may
// hold the duty.
func TestHolderWithoutQuorumReportsNothing(t *testing.T) {
	runInSynctest(t, func(t *testing.T) {
		p, log := &fakePlatform{}, &faultyLog{}
		first := windowAt(time.Now())
		newControl(t, link.NewMemory(), control.Options{OpenLog: log.open("control-0"), Duties: control.DutyOptions{
			UsageWindow: usageWindow, UsageLate: usageLate, Lease: dutyLease, CallsPerSecond: 50,
			Holder: "machine", Sender: p, Windows: randomWindows{first: first},
		}})
		time.Sleep(3 * usageWindow)
		assert.Assert(t, len(p.taken()) > 0)
		log.quorumLost.Store(true)
		time.Sleep(dutyLease / 2)
		before := len(p.taken())
		time.Sleep(3 * usageWindow)
		assert.Equal(t, len(p.taken()), before, "reported without a quorum")
		log.quorumLost.Store(false)
		time.Sleep(usageWindow)
		assert.Assert(t, len(p.taken()) > before)
	})
}

// Guards against windows that wait for ever for a platform that is down, and operators who don't
// see what becomes of reports.
func TestLateReportsAreGivenUp(t *testing.T) {
	runInSynctest(t, func(t *testing.T) {
		p := &fakePlatform{answer: func(context.Context, int) (bool, error) { return false, errors.New("down") }}
		g, first := startDutyGroup(t, p)
		c := control.NewClient(g.network, replicas)
		defer c.Close()
		time.Sleep(30 * time.Second)
		status, err := c.Duties(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(status.Duties), 1)
		d := status.Duties[0]
		assert.Equal(t, string(d.Holder), "machine-of-"+g.leader(t, c))
		assert.Equal(t, d.Token, uint64(d.Since.UnixMilli()), "the first token") //nolint:gosec // after 1970
		assert.Assert(t, d.Left > 0 && d.Left <= dutyLease/2 && d.Wait == 0)
		assert.Assert(t, len(status.Usage.Unsent) > 0 && len(status.Usage.Unsent) <= 3, "%+v", status.Usage)
		assert.Equal(t, status.Usage.Ended.Outcome, "given up")
		assert.Equal(t, status.Usage.Attempt.Err, "down")
		p.set(nil)
		time.Sleep(20 * time.Second)
		status, err = c.Duties(t.Context())
		assert.NilError(t, err)
		assert.DeepEqual(t, status.Usage.Unsent, []api.UsageWindow(nil))
		assert.Equal(t, status.Usage.Ended.Outcome, "accepted")
		p.check(t, first+6, windowAt(time.Now().Add(-usageLate)))
	})
}

// Guards against counts that are lost or doubled on their way from gateways to the platform, over
// a change of leader.
func TestCountsOfGatewaysReachThePlatform(t *testing.T) {
	runInSynctest(t, func(t *testing.T) {
		p := &fakePlatform{}
		g := startGroupWith(t, &group{duties: func(addr string) control.DutyOptions {
			return control.DutyOptions{
				UsageWindow: usageWindow, UsageLate: usageLate, Lease: dutyLease, CallsPerSecond: 50,
				Holder: instance.ID("machine-of-" + addr), Sender: p,
			}
		}})
		c := control.NewClient(g.network, replicas)
		defer c.Close()
		counters := []*usage.Counter{
			usage.NewCounter("g1", 1, usageWindow, uptime.Now()),
			usage.NewCounter("g2", 2, usageWindow, uptime.Now()),
		}
		began := map[int64]uint64{}
		run := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(usage.ReportInterval) {
				for _, counter := range counters {
					counter.Begin("mill", uptime.Now())
					began[windowAt(time.Now())]++
					assert.Assert(t, reportUsage(t, c, counter))
				}
			}
		}
		run(23 * time.Second)
		first := windowAt(time.Now())
		old := g.leader(t, c)
		g.network.SetFault(old, link.FaultPartition)
		run(20 * time.Second)
		g.network.SetFault(old, link.FaultNone)
		run(20 * time.Second)
		last := windowAt(time.Now().Add(-usageLate))
		p.check(t, first-2, last)
		for _, call := range p.taken() {
			if call.window >= first-2 && call.window < last {
				assert.Equal(t, call.content, fmt.Sprintf(`{"mill":%d}`, began[call.window]), "window %d", call.window)
			}
		}
	})
}
