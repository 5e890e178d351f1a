package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func worthQueue() *Queue {
	return NewQueue(QueueOptions{Capacity: 4096, Tiers: 2, ByWorth: true})
}

// Guards against serving accounts in turn instead of items by density, and against serving a
// request past its objective before one that can still meet it.
func TestDensestItemIsServedFirst(t *testing.T) {
	q := worthQueue()
	long := &Item{Worth: 1, Work: 1, Objective: start.Add(time.Second)}
	short := &Item{Worth: 1, Work: 0.1, Objective: start.Add(time.Second)}
	late := &Item{Worth: 1, Work: 0.1, Objective: start.Add(-time.Second)}
	high := &Item{Worth: 0.1, Work: 1, Objective: start.Add(time.Second)}
	long.Tier, short.Tier, late.Tier = 1, 1, 1
	for _, it := range []*Item{long, late, short, high} {
		_, refusal := q.Push(it, start)
		assert.Assert(t, refusal == nil)
	}
	for _, want := range []*Item{high, short, late, long} {
		got, _ := q.Pop(start)
		assert.Assert(t, got == want)
	}
}

// load is a stream of equal requests that arrive at a fixed interval.
type load struct {
	every, objective, deadline time.Duration
	worth, work                float64
}

// burst is a load of five seconds at one gateway of eight, modelled on the peak seconds of a
// scale-out day (a day on which endpoints are added): three kinds of generation requests that
// together need twice what its part of the engines serves.
var burst = []load{
	{every: 130 * time.Millisecond, objective: 800 * time.Millisecond, deadline: 5 * time.Second, worth: 1, work: 0.142},
	{every: 120 * time.Millisecond, objective: 500 * time.Millisecond, deadline: 3 * time.Second, worth: 0.4, work: 0.079},
	{every: 230 * time.Millisecond, objective: 400 * time.Millisecond, deadline: 15 * time.Second, worth: 0.16, work: 0.35},
}

type outcomeOf struct {
	earned, owed float64
	// heldInVain counts refusals after more than half of the time to the deadline.
	heldInVain int
}

// replay serves the loads with one server that does one second of work a second.
func replay(q *Queue, loads []load) outcomeOf {
	var out outcomeOf
	next := make([]time.Duration, len(loads))
	free := start
	for ms := range 10_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for i, l := range loads {
			if now.Sub(start) >= next[i] && now.Sub(start) < 5*time.Second {
				next[i] += l.every
				out.owed += l.worth
				it := &Item{Tier: 1, Account: "a", Worth: l.worth, Work: l.work, Cost: int(1000 * l.work), Objective: now.Add(l.objective), Deadline: now.Add(l.deadline), Value: l}
				_, _ = q.Push(it, now)
			}
		}
		if ms%20 == 0 {
			for _, d := range q.Expire(now) {
				if now.Sub(d.Item.Queued()) > d.Item.Value.(load).deadline/2 {
					out.heldInVain++
				}
			}
		}
		for !free.After(now) {
			it, _ := q.Pop(now)
			if it == nil {
				break
			}
			free = now.Add(time.Duration(it.Work * float64(time.Second)))
			l := it.Value.(load)
			if now.After(it.Objective) {
				l.worth *= lateWorthFactor
			}
			out.earned += l.worth
		}
	}
	return out
}

// Guards against an order that serves every request after its objective when twice as much
// arrives as can be served.
func TestOverloadEarnsMoreByWorth(t *testing.T) {
	byTurns := replay(NewQueue(QueueOptions{Capacity: 4096, Tiers: 2}), burst)
	byWorth := replay(worthQueue(), burst)
	t.Logf("by turns %.2f of %.2f, %d held in vain; by worth %.2f, %d held in vain", byTurns.earned, byTurns.owed, byTurns.heldInVain, byWorth.earned, byWorth.heldInVain)
	assert.Assert(t, byWorth.earned > 1.3*byTurns.earned)
	assert.Assert(t, byWorth.heldInVain <= byTurns.heldInVain)
}

// Guards against a refusal for lack of time while the queue is short.
func TestNothingIsUnservableWithoutOverload(t *testing.T) {
	light := []load{{every: 200 * time.Millisecond, objective: 800 * time.Millisecond, deadline: 5 * time.Second, worth: 1, work: 0.142}}
	out := replay(worthQueue(), light)
	assert.Assert(t, out.earned > 0.999*out.owed, "%.2f of %.2f", out.earned, out.owed)
}

// Guards against a request that is held until its caller leaves: it is refused as soon as
// the work before it takes longer than the caller waits for the first event.
func TestItemThatWouldStartTooLateIsRefusedEarly(t *testing.T) {
	q := worthQueue()
	now := start
	for i := range 100 { // one second of work is served per second
		now = start.Add(time.Duration(i) * 10 * time.Millisecond)
		_, _ = q.Push(&Item{Worth: 1, Work: 0.01}, now)
		_, _ = q.Push(&Item{Worth: 1, Work: 0.01}, now)
		_, _ = q.Pop(now)
	}
	last := &Item{Worth: 0.01, Work: 0.01, StartBy: now.Add(500 * time.Millisecond), Deadline: now.Add(10 * time.Second)}
	_, refusal := q.Push(last, now)
	assert.Assert(t, refusal == nil)
	dropped := q.Expire(now)
	assert.Assert(t, len(dropped) == 1 && dropped[0].Item == last, "%d dropped", len(dropped))
	assert.Assert(t, dropped[0].Refusal.RetryAfter >= 500*time.Millisecond)
}

// Guards against a request that is held until its caller leaves although for some seconds
// denser work has arrived as fast as work is served. With less of it the request must be
// kept until it is served.
func TestItemOvertakenWithoutEndIsRefusedAtOnce(t *testing.T) {
	for _, perPop := range []float64{2, 0.7} {
		q := worthQueue()
		sparse := &Item{Worth: 0.01, Work: 0.01}
		dense := 0.0
		served, held := false, time.Duration(-1)
		for ms := range 4000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			if ms%10 == 0 {
				for dense += perPop; dense >= 1; dense-- {
					_, _ = q.Push(&Item{Worth: 1, Work: 0.01, Deadline: now.Add(time.Second)}, now)
				}
				got, _ := q.Pop(now)
				served = served || got == sparse
			}
			if ms == 2501 {
				sparse.StartBy = now.Add(5 * time.Second)
				_, refusal := q.Push(sparse, now)
				assert.Assert(t, refusal == nil)
			}
			for _, d := range q.Expire(now) {
				if d.Item == sparse {
					held = now.Sub(sparse.queued)
				}
			}
		}
		if overload := perPop > 1; overload {
			assert.Assert(t, held >= 0 && held < 100*time.Millisecond, "held for %s, served %t", held, served)
		} else {
			assert.Assert(t, served, "refused after %s", held)
		}
	}
}

// Guards against a request past its objective that is held for most of its caller's time
// while others overtake it: the caller could still retry where there is room.
func TestRequestPastItsObjectiveIsRefusedHalfway(t *testing.T) {
	q := worthQueue()
	now := start
	waiting := &Item{Worth: 0.01, Work: 0.01, Arrived: now, Objective: now.Add(500 * time.Millisecond), Deadline: now.Add(2 * time.Second)}
	_, refusal := q.Push(waiting, now)
	assert.Assert(t, refusal == nil)
	for ms := range 1500 {
		now = start.Add(time.Duration(ms) * time.Millisecond)
		if ms%10 == 0 { // denser work takes half of the time
			_, _ = q.Push(&Item{Worth: 1, Work: 0.005, Deadline: now.Add(time.Second)}, now)
			_, _ = q.Pop(now)
		}
		dropped := q.Expire(now)
		if ms <= 1000 {
			assert.Assert(t, len(dropped) == 0, "refused after %d ms", ms)
		} else if len(dropped) > 0 {
			assert.Assert(t, dropped[0].Item == waiting)
			return
		}
	}
	t.Fatal("held until the deadline")
}

// Guards against a request that waits for a fast endpoint and keeps those behind it from the free
// slots of slow ones.
func TestItemsBehindASkippedOneAreServed(t *testing.T) {
	q := worthQueue()
	long := &Item{Worth: 4, Work: 1, Deadline: start.Add(time.Second)}
	short := &Item{Worth: 1, Work: 0.5, Deadline: start.Add(time.Second)}
	expired := &Item{Worth: 2, Work: 0.5, Deadline: start.Add(time.Millisecond)}
	for _, it := range []*Item{long, expired, short} {
		_, refusal := q.Push(it, start)
		assert.Assert(t, refusal == nil)
	}
	now := start.Add(10 * time.Millisecond)
	assert.Assert(t, q.NextExcept(nil, now) == long)
	assert.Assert(t, q.NextExcept([]*Item{long}, now) == short)
	assert.Assert(t, q.NextExcept([]*Item{long, short}, now) == nil)
}
