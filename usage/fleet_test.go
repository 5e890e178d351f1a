package usage

import (
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"toucantiller.dev/instance"
	"toucantiller.dev/uptime"
)

const (
	testLength = 5 * time.Second
	testStep   = 50 * time.Millisecond
	// testStart is the true time of a fleet's beginning, in nanoseconds since 1970.
	testStart = int64(1_700_000_001_000_000_000)
)

// testProcess is one incarnation of a gateway.
type testProcess struct {
	counter *Counter
	id      instance.ID
	// jump is how far its wall clock is ahead of true time.
	jump     time.Duration
	begun    map[int64]Counts
	replay   *Report
	failures int
	gone     bool
}

// fleet is a set of gateways, a control leader and the log, in fake time.
type fleet struct {
	t           rapid.TB
	now         time.Duration
	processes   []*testProcess
	collector   *Collector
	incarnation instance.Incarnation
	// leaderJump is how far the leader's wall clock is ahead.
	leaderJump time.Duration
	fixed      []Window
	first      int64
	roundTrip  time.Duration
	// gaps is set if windows may be left out.
	gaps bool
}

func newFleet(t rapid.TB, processes int) *fleet {
	f := &fleet{t: t, collector: NewCollector(testLength)}
	for i := range processes {
		f.start(instance.ID(rune('a' + i)))
	}
	return f
}

func (f *fleet) start(id instance.ID) *testProcess {
	f.incarnation++
	p := &testProcess{id: id, counter: NewCounter(id, f.incarnation, testLength, f.at()), begun: make(map[int64]Counts)}
	f.processes = append(f.processes, p)
	return p
}

// at returns the present moment on the clock that never jumps.
func (f *fleet) at() uptime.Instant {
	none := func() (time.Duration, bool) { return 0, false }
	return uptime.At(time.Unix(0, 1), none).Add(f.now)
}

func (f *fleet) trueTime() time.Time { return time.Unix(0, testStart).Add(f.now) }

func (f *fleet) wall(jump time.Duration) time.Time { return f.trueTime().Add(jump) }

// inWindow returns how far the present is into its window.
func (f *fleet) inWindow() time.Duration {
	return time.Duration((testStart + int64(f.now)) % int64(testLength))
}

// begin starts a request, away from the boundaries where a bucket of 100 ms may be off.
func (f *fleet) begin(p *testProcess, account string) {
	if in := f.inWindow(); in < unassignedLength || in > testLength-unassignedLength {
		return
	}
	n := windowAt(f.trueTime().UnixNano(), testLength)
	if p.begun[n] == nil {
		p.begun[n] = make(Counts)
	}
	p.begun[n][account]++
	p.counter.Begin(account, f.at())
}

// deliver passes a report to the leader.
func (f *fleet) deliver(r *Report) Reply {
	return f.collector.Report(r, f.at(), f.wall(f.leaderJump), f.first)
}

// report sends a report of a process; it arrives after half of the round trip.
func (f *fleet) report(p *testProcess) {
	r, sent := p.counter.Report(f.at(), f.wall(p.jump)), f.at()
	f.now += f.roundTrip / 2
	reply := f.deliver(r)
	f.now += f.roundTrip - f.roundTrip/2
	assert.Assert(f.t, p.counter.Replied(r, &reply, sent, f.at()))
}

func (f *fleet) live() (out []*testProcess) {
	for _, p := range f.processes {
		if !p.gone {
			out = append(out, p)
		}
	}
	return out
}

func (f *fleet) expected() (out []instance.ID) {
	for _, p := range f.live() {
		out = append(out, p.id)
	}
	return out
}

// fix writes the windows that are due to the log.
func (f *fleet) fix() {
	for _, w := range f.collector.Due(f.at(), f.first, f.expected()) {
		if f.first != 0 && !f.gaps {
			assert.Equal(f.t, w.Number, f.first, "the numbers have a gap")
		}
		f.fixed = append(f.fixed, w)
		f.first = w.Number + 1
	}
}

// run lets time pass with reports every ReportInterval.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += ReportInterval
		for _, p := range f.live() {
			f.report(p)
		}
		f.fix()
	}
}

// truth returns what began in a window.
func (f *fleet) truth(number int64) Counts {
	out := make(Counts)
	for _, p := range f.processes {
		for account, n := range p.begun[number] {
			out[account] += n
		}
	}
	return out
}

// errorOf returns how far agreed time is ahead of true time.
func (f *fleet) errorOf(now time.Time) time.Duration { return now.Sub(f.trueTime()) }

// agreedError returns the largest error of any agreed time, which all must have.
func (f *fleet) agreedError() time.Duration {
	now, known := f.collector.Now(f.at())
	assert.Assert(f.t, known)
	worst := f.errorOf(now).Abs()
	for _, p := range f.live() {
		now, known := p.counter.Now(f.at())
		assert.Assert(f.t, known)
		worst = max(worst, f.errorOf(now).Abs())
	}
	return worst
}

// replaceLeader elects a leader that knows nothing. What only the old one knew of processes that
// are gone is lost.
func (f *fleet) replaceLeader() {
	f.collector = NewCollector(testLength)
	for _, p := range f.processes {
		for n := range p.begun {
			if p.gone && (f.first == 0 || n >= f.first) {
				delete(p.begun, n)
			}
		}
	}
}
