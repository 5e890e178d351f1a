package limit

import (
	"container/heap"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// simulation drives a limiter with a closed loop: whenever the limit allows, the next
// call starts. Calls last base, and proportionally longer when more run than there are slots.
type simulation struct {
	l     *Limiter
	now   time.Time
	open  callHeap
	base  time.Duration
	slots int
	slow  float64
	size  func(n int) int
	n     int
	fails bool
}

type runningCall struct {
	at     time.Time
	ticket Ticket
	sample Sample
}

type callHeap []runningCall

func (e callHeap) Len() int           { return len(e) }
func (e callHeap) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e callHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *callHeap) Push(x any)        { *e = append(*e, x.(runningCall)) }
func (e *callHeap) Pop() any {
	old := *e
	r := old[len(old)-1]
	*e = old[:len(old)-1]
	return r
}

func newSimulation(base time.Duration, slots int) *simulation {
	return &simulation{l: New(Options{}), now: start, base: base, slots: slots, slow: 1, size: func(int) int { return 1 }}
}

// finishNext starts calls up to the limit and finishes the earliest one.
func (b *simulation) finishNext() {
	for b.l.Allows(100) {
		size := b.size(b.n)
		b.n++
		crowd := max(1, float64(len(b.open)+1)/float64(b.slots))
		first := time.Duration(float64(b.base) / 10 * b.slow * crowd)
		total := first + time.Duration(float64(size)*float64(b.base)*b.slow*crowd)
		t := b.l.Start(b.now, 100)
		heap.Push(&b.open, runningCall{b.now.Add(total), t, Sample{first, total, 100, 100 * size, b.fails}})
	}
	r := heap.Pop(&b.open).(runningCall)
	b.now = r.at
	b.l.Finish(r.ticket, r.sample, b.now)
}

func (b *simulation) finishN(n int) {
	for range n {
		b.finishNext()
	}
}

// TestLimitFindsUnknownCapacity guards against a limit that depends on the
// hardware: it must use the slots of fast and slow, small and large endpoints, and
// not load them far beyond.
func TestLimitFindsUnknownCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := time.Duration(rapid.IntRange(20, 5000).Draw(t, "base ms")) * time.Millisecond
		slots := rapid.IntRange(1, 64).Draw(t, "slots")
		b := newSimulation(base, slots)
		assert.Equal(t, b.l.Limit(), 1)
		assert.Assert(t, b.l.Cold())
		peak := 0
		for range 3000 {
			b.finishNext()
			peak = max(peak, b.l.Limit())
		}
		assert.Check(t, b.l.Limit() >= slots, "limit %d of %d slots", b.l.Limit(), slots)
		assert.Check(t, peak <= 3*slots+2, "limit rose to %d of %d slots", peak, slots)
		assert.Check(t, !b.l.Cold())
	})
}

// TestRiseNeedsSuccessPerSlot guards against a limit that rises on time, failures or calls
// that were started at a lower limit: each rise needs a success per slot.
func TestRiseNeedsSuccessPerSlot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(Options{})
		now := start
		var open []Ticket
		successes, before := 0, l.Limit()
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
			switch op := rapid.IntRange(0, 5).Draw(t, "op"); {
			case op <= 1 && l.Allows(50):
				open = append(open, l.Start(now, 50))
			case op <= 3 && len(open) > 0:
				failed := rapid.IntRange(0, 9).Draw(t, "failed") == 0
				l.Finish(open[0], Sample{FirstToken: time.Second / 10, Total: time.Second, PromptTokens: 50, AnswerTokens: 50, Failed: failed}, now)
				open = open[1:]
				if !failed {
					successes++
				}
			case op == 4 && len(open) > 0:
				l.Cancel(open[0], Sample{Total: time.Second / 2}, now)
				open = open[1:]
			default:
				l.LowerOnOverdue(now)
			}
			if l.Limit() > before {
				assert.Check(t, successes >= max(minWindowSuccesses, before), "rise to %d after %d successes", l.Limit(), successes)
			}
			if l.Limit() != before {
				successes, before = 0, l.Limit()
			}
			requests, tokens := l.Outstanding()
			assert.Check(t, cmp.Equal(requests, len(open)))
			assert.Check(t, cmp.Equal(tokens, 50*len(open)))
			assert.Check(t, l.Limit() >= 1 && l.TokenLimit() >= DefaultInitialTokens)
		}
	})
}

// TestSlowdownIsSeenInAFewCalls guards against an endpoint that slows down or turns
// cold without notice and keeps its limit.
func TestSlowdownIsSeenInAFewCalls(t *testing.T) {
	b := newSimulation(time.Second, 16)
	b.finishN(1500)
	high := b.l.Limit()
	assert.Assert(t, high >= 16)
	b.slow = 10
	for range high + 2*recentCalls {
		b.finishNext()
	}
	assert.Check(t, cmp.Equal(b.l.Limit(), 1))
	assert.Check(t, b.l.Cold())
}

// TestPauseIsNotASlowdown guards against the limit of a service with calls of 0.3 ms that
// turns cold whenever a pause delays all calls in flight, and against a real slowdown of
// such a service that is not detected within a second.
func TestPauseIsNotASlowdown(t *testing.T) {
	b := newSimulation(3*time.Millisecond, 16)
	b.size = func(int) int { return 0 }
	b.finishN(100_000)
	assert.Assert(t, b.l.Limit() >= 16)
	for pause := 5 * time.Millisecond; pause <= 30*time.Millisecond; pause += time.Millisecond {
		for i := range b.open {
			r := &b.open[i]
			r.at = r.at.Add(pause)
			r.sample.FirstToken += pause
			r.sample.Total += pause
		}
		b.finishN(5000)
		assert.Check(t, b.l.Limit() >= 16, "limit %d after a pause of %v", b.l.Limit(), pause)
	}
	b.slow = 10
	slowed := b.now
	for b.l.Limit() > 1 && b.now.Sub(slowed) < time.Second {
		b.finishNext()
	}
	assert.Check(t, cmp.Equal(b.l.Limit(), 1))
}

// TestOverdueCallsLowerTheLimit guards against an endpoint that stops
// answering: no call finishes, so only the overdue ones show it.
func TestOverdueCallsLowerTheLimit(t *testing.T) {
	b := newSimulation(100*time.Millisecond, 16)
	b.finishN(1000)
	high := b.l.Limit()
	for b.l.Allows(100) {
		b.l.Start(b.now, 100)
	}
	assert.Check(t, !b.l.LowerOnOverdue(b.now.Add(100*time.Millisecond)))
	stuck := b.now.Add(overdueFactor*b.l.longestCall*3 + time.Second)
	assert.Check(t, b.l.LowerOnOverdue(stuck))
	assert.Check(t, b.l.Limit() < high, "limit %d stays at %d", b.l.Limit(), high)
	for i := range 5 {
		b.l.LowerOnOverdue(stuck.Add(time.Duration(i) * time.Second))
	}
	assert.Check(t, cmp.Equal(b.l.Limit(), 1))
}

// TestLateCallInBurstKeepsLimit guards against a healthy endpoint that turns cold
// because the only call without a first token waited behind a burst of prefills.
func TestLateCallInBurstKeepsLimit(t *testing.T) {
	b := newSimulation(100*time.Millisecond, 16)
	b.finishN(1000)
	high := b.l.Limit()
	for _, r := range b.open {
		b.l.Cancel(r.ticket, Sample{}, b.now)
	}
	late := b.l.Start(b.now, 100)
	for range 8 {
		b.l.FirstToken(b.l.Start(b.now, 100), b.now.Add(50*time.Millisecond))
	}
	b.l.FirstToken(late, b.now.Add(time.Second))
	late = b.l.Start(b.now, 100)
	assert.Check(t, !b.l.LowerOnOverdue(b.now.Add(900*time.Millisecond)))
	assert.Check(t, cmp.Equal(b.l.Limit(), high))
	b.l.Cancel(late, Sample{}, b.now)
}

// TestLimitStaysNearTheLoad guards against a limit that rises on peaks alone, so that
// a burst fills the endpoint with calls that slow each other down.
func TestLimitStaysNearTheLoad(t *testing.T) {
	l := New(Options{})
	now := start
	for range 500 {
		var open []Ticket
		for range min(l.Limit(), 12) {
			open = append(open, l.Start(now, 100))
		}
		for i, ticket := range open {
			now = now.Add(10 * time.Millisecond)
			l.Finish(ticket, Sample{FirstToken: 100 * time.Millisecond, Total: time.Second, PromptTokens: 100, AnswerTokens: 40}, now)
			// One call stays at a time between bursts of twelve.
			if i == len(open)-1 {
				now = now.Add(time.Second)
			}
		}
	}
	assert.Check(t, l.Limit() < 16, "limit %d for bursts of 12", l.Limit())
}

// TestFailuresLowerTheLimit guards against an endpoint whose quick failures look like
// quick answers: three failures in a row turn it cold.
func TestFailuresLowerTheLimit(t *testing.T) {
	b := newSimulation(time.Second, 16)
	b.finishN(1000)
	b.fails = true
	b.finishN(b.l.Limit() + coldFailures)
	assert.Check(t, cmp.Equal(b.l.Limit(), 1))
	assert.Check(t, b.l.Cold())
}

// TestLongCallsAreNotSlow guards against calls 100 times longer being taken for a
// slowdown, and against short ones among them being taken for a recovery.
func TestLongCallsAreNotSlow(t *testing.T) {
	b := newSimulation(time.Second, 32)
	b.size = func(n int) int {
		if n%40 >= 35 {
			return 100
		}
		return 1
	}
	b.finishN(200)
	low := b.l.Limit()
	for range 3000 {
		b.finishNext()
		assert.Assert(t, b.l.Limit() >= low, "limit fell from %d to %d", low, b.l.Limit())
		low = max(low, min(b.l.Limit(), 32))
	}
	assert.Check(t, b.l.Limit() >= 32)
}

// TestRatesAreLearned guards against rates that differ from the endpoint's speeds, from
// which gateways estimate times.
func TestRatesAreLearned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prefill := rapid.Float64Range(200, 50000).Draw(t, "prefill")
		decode := rapid.Float64Range(5, 300).Draw(t, "decode")
		l := New(Options{})
		now := start
		for range 50 {
			p, a := rapid.IntRange(100, 4000).Draw(t, "prompt"), rapid.IntRange(10, 400).Draw(t, "answer")
			first := time.Duration(float64(p) / prefill * 1e9)
			total := first + time.Duration(float64(a)/decode*1e9)
			ticket := l.Start(now, p)
			now = now.Add(total)
			l.Finish(ticket, Sample{first, total, p, a, false}, now)
		}
		gotPrefill, gotDecode := l.Rates()
		assert.Check(t, gotPrefill > 0.9*prefill && gotPrefill < 1.1*prefill, "prefill %f of %f", gotPrefill, prefill)
		assert.Check(t, gotDecode > 0.9*decode && gotDecode < 1.1*decode, "decode %f of %f", gotDecode, decode)
	})
}

// TestRequiredTimeFollowsTheLoad guards against prefill spent on calls that cannot finish in
// time at the pace of a full endpoint, and against an idle endpoint that keeps refusing
// calls because it was slow when it was full.
func TestRequiredTimeFollowsTheLoad(t *testing.T) {
	b := newSimulation(time.Second, 4)
	assert.Equal(t, b.l.RequiredTime(100, 100, 0), time.Duration(0))
	b.finishN(500)
	full := b.l.RequiredTime(100, 100, b.l.Limit())
	assert.Check(t, full > 1600*time.Millisecond, "%v for 1 s of decoding at full load", full)
	for _, r := range b.open {
		b.l.Cancel(r.ticket, Sample{}, b.now)
	}
	idle := b.l.RequiredTime(100, 100, 0)
	assert.Check(t, idle < 700*time.Millisecond, "%v for 1 s of decoding without load", idle)
}

// TestTicketCountsOnce guards against work that is released twice, which would let
// more calls run than the limit allows.
func TestTicketCountsOnce(t *testing.T) {
	l := New(Options{})
	a := l.Start(start, 10)
	l.Finish(a, Sample{Total: time.Second, FirstToken: time.Second}, start.Add(time.Second))
	b := l.Start(start.Add(time.Second), 20)
	l.Finish(a, Sample{}, start.Add(2*time.Second))
	l.Cancel(a, Sample{}, start.Add(2*time.Second))
	requests, tokens := l.Outstanding()
	assert.Equal(t, requests, 1)
	assert.Equal(t, tokens, 20)
	l.Restart()
	assert.Check(t, l.Cold())
	l.Finish(b, Sample{Failed: true}, start.Add(3*time.Second))
	requests, _ = l.Outstanding()
	assert.Equal(t, requests, 0)
}

// TestDeclaredEndpointReportsSpeedUnderLoad guards against speeds learned only from the
// fastest answers of a full endpoint: gateways then underestimate long answers.
func TestDeclaredEndpointReportsSpeedUnderLoad(t *testing.T) {
	const slots, prefill = 4, 20_000.0
	l := New(Options{})
	l.SetDeclaredLimit(slots)
	now := start
	var open []Ticket
	for range slots - 1 {
		open = append(open, l.Start(now, 1000))
	}
	tokens, seconds := 0.0, 0.0
	for i := range 8000 {
		p, a := 500+37*(i%50), 20+17*(i%23)
		decode := 60.0 + 8*float64(i%11) // answers differ in speed with what runs beside them
		first := time.Duration(float64(p) / prefill * 1e9)
		total := first + time.Duration(float64(a)/decode*1e9)
		ticket := l.Start(now, p)
		now = now.Add(total)
		l.Finish(ticket, Sample{first, total, p, a, false}, now)
		tokens += float64(a)
		seconds += float64(a) / decode
	}
	_, got := l.Rates()
	mean := tokens / seconds
	assert.Check(t, got > 0.85*mean && got < 1.15*mean, "decode %f, mean %f", got, mean)
	for _, o := range open {
		l.Cancel(o, Sample{}, now)
	}
}
