package usage

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// faultyReport sends a report over a link that loses requests and replies, repeats them and
// delivers old ones. At most three in a row fail.
func (f *fleet) faultyReport(p *testProcess, fault int) {
	if p.replay != nil && fault == 0 {
		f.deliver(p.replay)
		p.replay = nil
	}
	r, at := p.counter.Report(f.at(), f.wall(p.jump)), f.at()
	if fault <= 2 && p.failures < 3 {
		p.failures++
		p.replay = r // the request is lost for now
		if fault == 2 {
			f.deliver(r) // only the reply is lost
		}
		return
	}
	p.failures = 0
	reply := f.deliver(r)
	if fault == 3 {
		f.deliver(r)
	}
	p.counter.Replied(r, &reply, at, f.at())
}

// Guards against counts that are lost, taken twice or put into another window when reports and
// replies are lost, repeated or late, processes restart, leaders change and a third of the clocks
// jump.
func TestCountsAreExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, 7)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)) //nolint:gosec // a test repeats it
		var lastChange time.Duration
		for step := range 1200 {
			f.now += testStep
			f.requestsAndReports(random, step)
			f.disrupt(random, &lastChange)
		}
		for range 400 {
			f.now += testStep
			for _, p := range f.live() {
				f.faultyReport(p, 9)
			}
		}
		f.fix()
		assert.Assert(t, len(f.fixed) >= 9, "%d windows", len(f.fixed))
		for _, w := range f.fixed {
			assert.DeepEqual(t, w.Counts, f.truth(w.Number))
		}
	})
}

func (f *fleet) requestsAndReports(random *rand.Rand, step int) {
	for i, p := range f.live() {
		if random.IntN(8) == 0 {
			f.begin(p, []string{"mill", "loom"}[random.IntN(2)])
		}
		if (step+i)%10 == 0 {
			f.faultyReport(p, random.IntN(10))
		}
	}
	if step%10 == 0 {
		f.fix()
	}
}

// disrupt moves a clock, restarts a process or replaces the leader, at times.
func (f *fleet) disrupt(random *rand.Rand, lastChange *time.Duration) {
	switch random.IntN(200) {
	case 0:
		f.processes[random.IntN(2)].jump = time.Duration(random.IntN(3)-1) * 2 * time.Second
	case 1:
		f.restart(f.live()[2])
	case 2:
		if f.now-*lastChange > 8*time.Second {
			*lastChange = f.now
			f.replaceLeader()
		}
	}
}

// restart ends a process after its last report and starts it again.
func (f *fleet) restart(p *testProcess) {
	if _, known := p.counter.Now(f.at()); !known {
		return // it cannot have told anybody what it counted
	}
	for range 2 {
		f.report(p)
	}
	p.gone = true
	f.start(p.id)
}

// Guards against windows that follow the clocks of a few machines, at the first agreement and
// later, under one leader and the next.
func TestAgreedTimeIgnoresJumps(t *testing.T) {
	for _, jump := range []time.Duration{2 * time.Second, -2 * time.Second} {
		f := newFleet(t, 9)
		f.roundTrip = 4 * time.Millisecond
		jumpThird := func(d time.Duration) {
			for _, p := range f.processes[:3] {
				p.jump = d
			}
		}
		jumpThird(jump)
		f.run(10 * time.Second)
		assert.Assert(t, f.agreedError() < 50*time.Millisecond, "at the start: %s", f.agreedError())
		jumpThird(0)
		f.run(30 * time.Second)
		jumpThird(-jump)
		f.leaderJump = jump
		f.run(30 * time.Second)
		f.processes[0].counter.clock.zero += int64(jump)
		f.replaceLeader()
		f.run(30 * time.Second)
		assert.Assert(t, f.agreedError() < 50*time.Millisecond, "after a new leader: %s", f.agreedError())
	}
}

// Guards against agreed time that jumps with the clocks of a majority, under one leader or with a
// new one.
func TestAgreedTimeNeverJumps(t *testing.T) {
	f := newFleet(t, 9)
	f.run(10 * time.Second)
	for _, p := range f.processes {
		p.jump = 2 * time.Second
	}
	f.leaderJump = 2 * time.Second
	f.run(10 * time.Second)
	f.replaceLeader()
	f.run(10 * time.Second)
	bound := 20*slewPerSecond + time.Millisecond
	assert.Assert(t, f.agreedError() <= bound, "%s", f.agreedError())
	assert.Assert(t, f.agreedError() >= 10*slewPerSecond, "it does not follow: %s", f.agreedError())
}

// Guards against a new leader that takes the time from reports that were repeated for seconds
// until it was elected.
func TestLateReportsDoNotMoveTime(t *testing.T) {
	f := newFleet(t, 9)
	f.run(10 * time.Second)
	var reports []*Report
	for _, p := range f.processes {
		reports = append(reports, p.counter.Report(f.at(), f.wall(0)))
	}
	f.now += 3 * time.Second
	f.replaceLeader()
	for i, p := range f.processes {
		reply := f.deliver(reports[i])
		p.counter.Replied(reports[i], &reply, f.at().Add(-3*time.Second), f.at())
	}
	f.run(5 * time.Second)
	assert.Assert(t, f.agreedError() < 10*time.Millisecond, "%s", f.agreedError())
}

// Guards against taking the time from a slow exchange while a quick one is known, and against an
// exchange of any length.
func TestTheShortestExchangeCounts(t *testing.T) {
	f := newFleet(t, 1)
	p := f.processes[0]
	f.run(10 * time.Second)
	slow := func(p *testProcess, request, reply time.Duration) {
		r, sent := p.counter.Report(f.at(), f.wall(0)), f.at()
		f.now += request
		out := f.deliver(r)
		f.now += reply
		p.counter.Replied(r, &out, sent, f.at())
	}
	slow(p, 0, 200*time.Millisecond)
	assert.Assert(t, f.agreedError() < time.Millisecond, "%s", f.agreedError())
	q := f.start("new")
	slow(q, 0, 3*time.Second)
	_, known := q.counter.Now(f.at())
	assert.Assert(t, !known, "agreed time is off by up to 1.5 s")
	f.run(10 * time.Second)
	assert.Assert(t, f.agreedError() < time.Millisecond, "%s", f.agreedError())
}

// Guards against a window that is fixed before a process has reported it, and against one that
// waits for a lost process beyond Patience.
func TestWindowsWaitForProcesses(t *testing.T) {
	f := newFleet(t, 2)
	f.run(10 * time.Second)
	for f.inWindow() != testLength-ReportInterval {
		f.run(ReportInterval)
	}
	silent := f.processes[1]
	f.begin(silent, "mill")
	f.now += ReportInterval
	end := f.now
	last := f.first
	f.now += lateAddTime
	f.report(f.processes[0])
	assert.Equal(t, len(f.collector.Due(f.at(), last, f.expected()[:1])), 0, "a process that was heard just now is not waited for")
	for f.now < end+Patience-3*ReportInterval {
		f.now += ReportInterval
		f.report(f.processes[0])
		f.fix()
	}
	assert.Equal(t, f.first, last, "fixed without the count of a process that is expected")
	f.run(2 * ReportInterval)
	assert.Equal(t, f.first, last+1)
	assert.DeepEqual(t, f.fixed[len(f.fixed)-1], Window{Number: last, Counts: f.truth(last), Processes: 2})
	f.processes[1].gone = true
	f.processes = append(f.processes, &testProcess{id: "lost", gone: false, counter: NewCounter("lost", 99, testLength, f.at())})
	lost := f.processes[2]
	for f.now < end+testLength+Patience {
		f.now += ReportInterval
		f.report(f.processes[0])
		f.fix()
	}
	assert.Equal(t, f.first, last+2, "waits for %s", lost.id)

	late := &Report{Process: silent.id, Incarnation: 2, Length: testLength, Windows: []WindowCounts{{Number: last, Counts: Counts{"mill": 1}}}}
	f.deliver(late)
	for _, p := range f.collector.processes {
		assert.Equal(t, len(p.windows[last]), 0, "a fixed window is kept")
	}
	f.now += 4 * testLength
	f.fix()
	assert.Equal(t, f.first, last+2, "no process has reported past the window")
}

// Guards against memory that grows while control fixes no window or cannot be reached.
func TestMemoryIsBounded(t *testing.T) {
	for _, asked := range []bool{true, false} {
		testMemoryIsBounded(t, asked)
	}
}

// testMemoryIsBounded runs without a look for windows that are due unless asked is set.
func testMemoryIsBounded(t *testing.T, asked bool) {
	f := newFleet(t, 2)
	look := func() {
		if asked {
			f.collector.Due(f.at(), 0, nil)
		}
	}
	p, cut := f.processes[0], f.processes[1]
	for range 3000 {
		f.now += ReportInterval
		p.counter.Begin("mill", f.at())
		cut.counter.Begin("mill", f.at())
		f.report(p)
		look()
	}
	assert.Assert(t, len(p.counter.windows) <= MaxWindows+1)
	assert.Assert(t, len(cut.counter.unassigned) <= maxUnassigned)
	assert.Assert(t, cut.counter.Late() > 0)
	for _, q := range f.collector.processes {
		assert.Assert(t, len(q.windows) <= MaxWindows+1, "%d", len(q.windows))
	}
	for range 100 {
		q := f.start("passing")
		f.report(q)
		f.report(q)
		f.now += 2 * time.Second
		f.report(p)
		look()
	}
	assert.Assert(t, len(f.collector.processes) <= 40, "%d processes", len(f.collector.processes))
	assert.Assert(t, len(f.collector.readings) <= 10, "%d readings", len(f.collector.readings))
}

// Guards against counting at a leader that does not, or that has windows of another length.
func TestOtherLengthsAreNotCounted(t *testing.T) {
	for _, length := range []time.Duration{0, time.Minute} {
		f := newFleet(t, 1)
		f.collector = NewCollector(length)
		p := f.processes[0]
		p.counter.Begin("mill", f.at())
		r := p.counter.Report(f.at(), f.wall(0))
		reply := f.deliver(r)
		assert.Assert(t, !p.counter.Replied(r, &reply, f.at(), f.at()))
		assert.Equal(t, len(f.collector.processes), 0)
		assert.Assert(t, f.collector.Due(f.at(), 0, nil) == nil)
	}
}

// Guards against a new leader that fixes a window which ended before its time by the reports of
// the first processes that find it.
func TestNewLeaderIsPatient(t *testing.T) {
	f := newFleet(t, 3)
	f.run(10 * time.Second)
	for f.inWindow() != testLength-ReportInterval {
		f.run(ReportInterval)
	}
	last, slow := f.first, f.processes[2]
	f.begin(slow, "mill")
	f.run(ReportInterval)
	f.collector = NewCollector(testLength) // before the window was fixed
	f.now += 2 * time.Second
	for began := f.now; f.now < began+Patience-4*ReportInterval; f.now += ReportInterval {
		f.report(f.processes[0])
		f.report(f.processes[1])
		f.fix()
	}
	assert.Equal(t, f.first, last)
	f.run(2 * ReportInterval)
	assert.Assert(t, f.first > last)
	for _, w := range f.fixed {
		assert.DeepEqual(t, w.Counts, f.truth(w.Number))
	}
}

// Guards against fixing a window again, with other counts, after the log was lost or restored, and
// against fixing windows that nobody holds.
func TestLostLogRepeatsNoWindow(t *testing.T) {
	for _, restored := range []bool{false, true} {
		var next int64
		f := newFleet(t, 3)
		f.run(time.Minute)
		f.run(ReportInterval)
		last := f.first
		f.replaceLeader()
		f.gaps = true
		if restored {
			next = last - 3
		}
		f.first = next
		f.run(20 * time.Second)
		assert.Assert(t, f.first > last, "nothing is fixed any more")
		numbers := make(map[int64]int)
		for _, w := range f.fixed {
			numbers[w.Number]++
			assert.Equal(t, numbers[w.Number], 1, "window %d is fixed again", w.Number)
		}
		f.now += 100 * testLength
		f.run(10 * time.Second)
		assert.Assert(t, len(f.fixed) < 70, "%d windows", len(f.fixed))
	}
}

// Guards against losing what began just before a process that has learned agreed time stops.
func TestLastReportHoldsAll(t *testing.T) {
	f := newFleet(t, 1)
	p := f.processes[0]
	for known := false; !known; _, known = p.counter.Now(f.at()) {
		f.now += ReportInterval
		p.counter.Begin("mill", f.at())
		f.report(p)
	}
	p.counter.Begin("mill", f.at())
	var sum uint64
	for _, w := range p.counter.Report(f.at(), f.wall(0)).Windows {
		sum += w.Counts["mill"]
	}
	assert.Equal(t, sum, uint64(f.now/ReportInterval+1))
}

// Guards against a window that a process has declared closed and that grows: by a request that
// saw the bucket before it was replaced, or after a correction of the clock.
func TestClosedWindowsDoNotGrow(t *testing.T) {
	f := newFleet(t, 1)
	f.run(10 * time.Second)
	p := f.processes[0]
	c := p.counter
	for f.inWindow() != testLength-ReportInterval {
		f.run(ReportInterval)
	}
	old := c.current.Load()
	f.now += ReportInterval
	f.begin(p, "mill")
	r := c.Report(f.at(), f.wall(0))
	assert.Equal(t, r.Through, old.number, "a request may still be added")
	old.add("mill")
	r = c.Report(f.at(), f.wall(0))
	assert.DeepEqual(t, r.Windows, []WindowCounts{{Number: old.number, Counts: Counts{"mill": 1}}})
	f.run(time.Second)
	for f.inWindow() != testLength-ReportInterval {
		f.run(ReportInterval)
	}
	c.clock.zero += int64(2 * ReportInterval)
	c.Begin("mill", f.at())
	r = c.Report(f.at(), f.wall(0))
	assert.Equal(t, r.Windows[0].Number, r.Through)
	f.run(2 * time.Second)
	c.clock.zero -= 3 * int64(testLength)
	f.now += 2 * testLength
	f.begin(p, "mill")
	r = c.Report(f.at(), f.wall(0))
	for _, w := range r.Windows {
		assert.Assert(t, w.Number >= r.Through, "window %d grows, closed are those before %d", w.Number, r.Through)
	}
	assert.Equal(t, c.Late(), uint64(0))
}
