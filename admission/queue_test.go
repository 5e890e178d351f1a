package admission

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"toucantiller.dev/account"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const testTiers = 3

// naiveQueue is a reference implementation: one slice, sorted by tier and arrival.
type naiveQueue struct {
	items    []*Item
	capacity int
}

func (q *naiveQueue) push(it *Item, now time.Time) (evicted *Item, ok bool) {
	if !it.Deadline.IsZero() && now.Add(it.MinServiceTime).After(it.Deadline) {
		return nil, false
	}
	if len(q.items) == q.capacity {
		last := q.items[len(q.items)-1]
		if last.Tier <= it.Tier {
			return nil, false
		}
		evicted = last
		q.items = q.items[:len(q.items)-1]
	}
	q.items = append(q.items, it)
	slices.SortStableFunc(q.items, func(a, b *Item) int { return cmp.Compare(a.Tier, b.Tier) })
	return evicted, true
}

func (q *naiveQueue) pop(now time.Time) *Item {
	for len(q.items) > 0 {
		it := q.items[0]
		q.items = q.items[1:]
		if it.Deadline.IsZero() || !now.Add(it.MinServiceTime).After(it.Deadline) {
			return it
		}
	}
	return nil
}

// TestQueueMatchesNaiveQueue guards against any order, eviction or refusal that
// differs from the rules: tiers first, then arrival; the latest item of the
// lowest tier is evicted; an item past its deadline is neither accepted nor served.
func TestQueueMatchesNaiveQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 8).Draw(t, "capacity")
		q := NewQueue(QueueOptions{Capacity: capacity, Tiers: testTiers})
		naive := &naiveQueue{capacity: capacity}
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "push") {
				it := &Item{
					Tier:           account.Tier(rapid.IntRange(0, testTiers-1).Draw(t, "tier")),
					Deadline:       now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "deadline")) * time.Millisecond),
					MinServiceTime: time.Duration(rapid.IntRange(0, 100).Draw(t, "least")) * time.Millisecond,
				}
				evicted, refusal := q.Push(it, now)
				wantEvicted, ok := naive.push(it, now)
				assert.Equal(t, refusal == nil, ok)
				assert.Equal(t, len(evicted) == 1, wantEvicted != nil)
				if wantEvicted != nil {
					assert.Assert(t, evicted[0].Item == wantEvicted)
				}
				checkRefusal(t, it, refusal, now)
			} else {
				got, dropped := q.Pop(now)
				assert.Assert(t, got == naive.pop(now))
				for _, d := range dropped {
					checkRefusal(t, d.Item, d.Refusal, now)
				}
			}
			assert.Equal(t, q.Len(), len(naive.items))
		}
	})
}

// checkRefusal checks that exactly the items past their deadline are refused for it, and that
// RetryAfter is within its bounds.
func checkRefusal(t *rapid.T, it *Item, r *Refusal, now time.Time) {
	if r == nil {
		return
	}
	assert.Assert(t, r.RetryAfter >= MinRetryAfter && r.RetryAfter <= MaxRetryAfter)
	late := now.Add(it.MinServiceTime).After(it.Deadline)
	assert.Equal(t, r.Reason == ReasonDeadline, late)
}

// TestFairShares guards against an account that gets more than its weight by sending
// more or larger requests: over any time in which all wait, served work per weight
// differs by less than a few requests.
func TestFairShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue(QueueOptions{Capacity: 1 << 20, Tiers: testTiers})
		names := []string{"a", "b", "c", "d"}[:rapid.IntRange(2, 4).Draw(t, "accounts")]
		weight, served, largest := map[string]float64{}, map[string]float64{}, 0
		for _, name := range names {
			weight[name] = float64(rapid.IntRange(1, 5).Draw(t, "weight"))
			size := rapid.IntRange(1, 5000).Draw(t, "size")
			largest = max(largest, size)
			for range 1 + 200_000/size {
				cost := 1 + rapid.IntRange(size/2, size).Draw(t, "cost")
				_, refusal := q.Push(&Item{Account: name, Weight: weight[name], Cost: cost}, start)
				assert.Assert(t, refusal == nil)
				if q.Len() > 3000 {
					break
				}
			}
		}
		budget := 20_000.0
		for budget > 0 {
			it, _ := q.Pop(start)
			if it == nil || len(q.tiers[0].ring) < len(names) {
				return
			}
			budget -= it.cost()
			served[it.Account] += it.cost()
		}
		for _, a := range names {
			for _, b := range names {
				gap := served[a]/weight[a] - served[b]/weight[b]
				bound := 2*quantum + 2*float64(largest+1)
				assert.Assert(t, gap <= bound, "%s got %.0f, %s got %.0f per weight", a, served[a]/weight[a], b, served[b]/weight[b])
			}
		}
	})
}

// TestFairEviction guards against one account that fills the queue and so locks out
// the others of its tier.
func TestFairEviction(t *testing.T) {
	q := NewServiceQueue(ServiceOptions{QueueOptions: QueueOptions{Capacity: 10, Tiers: 1, FairEviction: true}})
	for range 10 {
		_, refusal := q.Push(&Item{Account: "large"}, start)
		assert.Assert(t, refusal == nil)
	}
	evicted, refusal := q.Push(&Item{Account: "small"}, start)
	assert.Assert(t, refusal == nil)
	assert.Equal(t, evicted[0].Item.Account, "large")
	_, refusal = q.Push(&Item{Account: "large"}, start)
	assert.Equal(t, refusal.Reason, ReasonQueueFull)
}

// TestQueueTimeIsBounded guards against a request that waits longer than its tier
// allows, and against one that is dropped earlier.
func TestQueueTimeIsBounded(t *testing.T) {
	q := NewQueue(QueueOptions{Tiers: 2, MaxQueueTime: []time.Duration{time.Second, 0}})
	_, _ = q.Push(&Item{Tier: 0}, start)
	_, _ = q.Push(&Item{Tier: 1}, start)
	assert.Equal(t, len(q.Expire(start.Add(time.Second-1))), 0)
	dropped := q.Expire(start.Add(time.Second))
	assert.Equal(t, len(dropped), 1)
	assert.Equal(t, dropped[0].Refusal.Reason, ReasonQueueTime)
	assert.Equal(t, q.Len(), 1)
	assert.Equal(t, q.HandBack()[0].Refusal.Reason, ReasonHandedBack)
}

// TestRemoveIsExact guards against a caller that left and is still served, and
// against counting it twice.
func TestRemoveIsExact(t *testing.T) {
	q := NewQueue(QueueOptions{Tiers: 1})
	a, b := &Item{Account: "x", Cost: 5}, &Item{Account: "x", Cost: 7}
	_, _ = q.Push(a, start)
	_, _ = q.Push(b, start)
	assert.Assert(t, q.Remove(a))
	assert.Assert(t, !q.Remove(a))
	assert.Equal(t, q.Tokens(), 7)
	it, _ := q.Pop(start)
	assert.Assert(t, it == b)
	assert.Assert(t, !q.Remove(b))
}
