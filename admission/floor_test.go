package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"toucantiller.dev/account"
)

// TestFloorStepsDown guards against a floor that stays, and against one that ends
// for all tiers at once, so that a gateway that still applies it sheds a tier while
// another admits lower ones.
func TestFloorStepsDown(t *testing.T) {
	q := NewQueue(QueueOptions{Tiers: 4})
	assert.Equal(t, q.Floor(start), NoFloor)
	q.RaiseFloor(0, start)
	for i, want := range []int{0, 1, 2, NoFloor, NoFloor} {
		at := start.Add(time.Duration(i) * FloorTTL)
		assert.Equal(t, q.Floor(at), want, "after %d s", i)
		for tier := range account.Tier(4) {
			_, refusal := q.Push(&Item{Tier: tier}, at)
			refused := want != NoFloor && int(tier) > want
			assert.Equal(t, refusal != nil, refused, "tier %d after %d s", tier, i)
			if refused {
				assert.Equal(t, refusal.Reason, ReasonBelowFloor)
				assert.Equal(t, refusal.RetryAfter, time.Duration(int(tier)-want)*FloorTTL)
			}
		}
	}
	q.RaiseFloor(2, start.Add(10*time.Second))
	q.RaiseFloor(1, start.Add(10*time.Second))
	q.RaiseFloor(2, start.Add(10*time.Second+FloorTTL/2))
	assert.Equal(t, q.Floor(start.Add(11*time.Second)), 2)
}

// TestNoTierIsShedBeforeALowerOne guards the priority guarantee at one gateway: whatever the
// load, a tier that is not the lowest is shed only ShedDelay after the agents were
// asked for a floor at that tier, while that floor still holds, and only after the
// tiers below went the same way.
func TestNoTierIsShedBeforeALowerOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewServiceQueue(ServiceOptions{
			QueueOptions: QueueOptions{Capacity: 4, Tiers: testTiers, FairEviction: rapid.Bool().Draw(t, "fair"), MaxQueueTime: []time.Duration{time.Second, time.Second, time.Second}},
			Reserve:      1 << 20,
		})
		raised := map[int]time.Time{} // when the floor first reached the tier
		last := start.Add(-time.Hour)
		now := start
		check := func(list []Dropped) {
			for _, d := range list {
				checkShed(t, q, d.Item.Tier, raised, last, now)
			}
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 120).Draw(t, "ms")) * time.Millisecond)
			switch op := rapid.IntRange(0, 9).Draw(t, "op"); {
			case op < 6:
				it := &Item{Tier: account.Tier(rapid.IntRange(0, testTiers-1).Draw(t, "tier")), Account: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account")}
				evicted, refusal := q.Push(it, now)
				check(evicted)
				if refusal != nil {
					checkShed(t, q, it.Tier, raised, last, now)
				}
			case op < 7:
				_, dropped := q.Pop(now)
				check(dropped)
			default:
				check(q.Expire(now))
			}
			if tier, ok := q.FloorRequest(now); ok {
				if now.Sub(last) >= FloorTTL {
					clear(raised)
				}
				last = now
				for above := range raised {
					if above < int(tier) {
						delete(raised, above)
					}
				}
				if _, known := raised[int(tier)]; !known {
					raised[int(tier)] = now
				}
			}
		}
		assert.Equal(t, q.EarlySheds(), 0)
	})
}

func checkShed(t *rapid.T, q *ServiceQueue, tier account.Tier, raised map[int]time.Time, last, now time.Time) {
	for lower := int(tier) + 1; lower < testTiers; lower++ {
		for _, f := range tierFlows(q, lower) {
			assert.Assert(t, f.head == nil, "tier %d shed while tier %d waits", tier, lower)
		}
	}
	if int(tier) == testTiers-1 {
		return
	}
	if f := q.Floor(now); f != NoFloor && int(tier) > f {
		return
	}
	at, ok := raised[int(tier)]
	assert.Assert(t, ok, "tier %d shed without a floor", tier)
	assert.Assert(t, now.Sub(at) >= ShedDelay, "tier %d shed %s after its floor", tier, now.Sub(at))
	assert.Assert(t, now.Sub(last) < FloorTTL, "tier %d shed on an expired floor", tier)
}

func tierFlows(q *ServiceQueue, tier int) []*flow {
	if tier >= len(q.tiers) {
		return nil
	}
	return q.tiers[tier].ring
}

// TestObservedFloorRefuses guards against a gateway that goes on accepting tiers that
// another gateway has excluded by a floor at the agents.
func TestObservedFloorRefuses(t *testing.T) {
	q := NewServiceQueue(ServiceOptions{QueueOptions: QueueOptions{Tiers: 3}})
	_, _ = q.Push(&Item{Tier: 2}, start)
	q.ObserveFloor(NoFloor, start)
	assert.Equal(t, len(q.Expire(start)), 0)
	q.ObserveFloor(1, start)
	dropped := q.Expire(start)
	assert.Equal(t, dropped[0].Refusal.Reason, ReasonBelowFloor)
	_, refusal := q.Push(&Item{Tier: 2}, start)
	assert.Equal(t, refusal.Reason, ReasonBelowFloor)
	_, refusal = q.Push(&Item{Tier: 1}, start)
	assert.Assert(t, refusal == nil)
}

// TestAccountLimits guards against an account that exceeds its rate or concurrency,
// against one that is held below them, and against limits that a change of the
// configuration resets.
func TestAccountLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := &account.Account{
			Name:              "dues",
			RequestsPerSecond: float64(rapid.IntRange(1, 20).Draw(t, "rate")),
			Burst:             rapid.IntRange(1, 10).Draw(t, "burst"),
			MaxConcurrent:     rapid.IntRange(1, 5).Draw(t, "concurrent"),
		}
		var limits AccountLimits
		limits.Update([]*account.Account{a}, start)
		var open []Pass
		tokens, now := float64(a.Burst), start
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			wait := time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			now = now.Add(wait)
			tokens = min(float64(a.Burst), tokens+wait.Seconds()*a.RequestsPerSecond)
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0:
				if len(open) > 0 {
					open[0].Leave()
					open = open[1:]
				}
				continue
			case 1:
				limits.Update([]*account.Account{a}, now)
			}
			pass, refusal := limits.Enter("dues", 0, now)
			switch {
			case len(open) >= a.MaxConcurrent:
				assert.Equal(t, refusal.Reason, ReasonAccountConcurrency)
			case tokens < 1-1e-6:
				assert.Equal(t, refusal.Reason, ReasonAccountRate)
				assert.Assert(t, refusal.RetryAfter > 0)
			case tokens >= 1+1e-6:
				assert.Assert(t, refusal == nil, "refused with %f tokens", tokens)
			}
			if refusal == nil {
				open = append(open, pass)
				tokens--
			}
		}
	})
	var limits AccountLimits
	_, refusal := limits.Enter("unknown", 0, start)
	assert.Assert(t, refusal == nil)
}
