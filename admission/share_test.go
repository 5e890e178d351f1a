package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// served counts the items served for each account.
type served map[string]int

// surge replays 20 s of an overload at one server that does one second of work a second: eight
// accounts send two requests of work seconds a second, and the first one times as many. Requests of
// an account with low worth are worth a tenth.
func surge(share bool, work float64, times int, lowWorth string) served {
	q := NewQueue(QueueOptions{Capacity: 4096, Tiers: 1, ByWorth: true, ShareByAccount: share})
	out := served{}
	free := start
	for ms := range 20_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for i := range 8 {
			account := fmt.Sprintf("account-%d", i)
			every := 500
			if i == 0 {
				every /= times
			}
			if ms%every != (i*61)%every {
				continue
			}
			worth := 1.0
			if account == lowWorth {
				worth = 0.1
			}
			_, _ = q.Push(&Item{Account: account, Worth: worth, Work: work, Objective: now.Add(500 * time.Millisecond), Deadline: now.Add(3 * time.Second)}, now)
		}
		q.Expire(now)
		for !free.After(now) && q.Len() > 0 {
			it, _ := q.Pop(now)
			if it == nil {
				break
			}
			out[it.Account]++
			free = now.Add(time.Duration(it.Work * float64(time.Second)))
		}
	}
	return out
}

// Load: one account of eight sends six times its usual, all within their limits, and together they
// need half as much again as there is. Guards against the others paying for the surge.
func TestSurgeIsPaidByItsAccount(t *testing.T) {
	with, without := surge(true, 0.06, 6, ""), surge(false, 0.06, 6, "")
	asked := 20_000 / 500
	for i := 1; i < 8; i++ {
		name := fmt.Sprintf("account-%d", i)
		assert.Assert(t, with[name] >= asked*8/10, "%s: %v", name, with)
	}
	others := func(s served) (n int) {
		for name, m := range s {
			if name != "account-0" {
				n += m
			}
		}
		return n
	}
	assert.Assert(t, others(with) > others(without), "with %v, without %v", with, without)
	assert.Assert(t, with["account-0"] > asked, "the surging account gets what the others leave: %v", with)
}

// Load: all eight accounts ask for twice the room, and the requests of one are worth a tenth.
// Guards against starving it, and against serving less in all.
func TestNoAccountStarves(t *testing.T) {
	with, without := surge(true, 0.1, 3, "account-3"), surge(false, 0.1, 3, "account-3")
	mean, total, totalWithout := 0, 0, 0
	for _, n := range with {
		total += n
	}
	for _, n := range without {
		totalWithout += n
	}
	mean = total / 8
	assert.Assert(t, with["account-3"] >= mean/4, "%v", with)
	assert.Assert(t, without["account-3"] < mean/4, "the load does not show it: %v", without)
	assert.Assert(t, total >= totalWithout*95/100, "with %d, without %d", total, totalWithout)
}

// Guards against shares that ignore weights.
func TestSharesGoByWeight(t *testing.T) {
	var s accountShares
	flows := []*flow{{account: "a", weight: 3}, {account: "b", weight: 1}}
	s.add("a", 3, 3, start)
	s.add("b", 1, 1, start)
	s.update(flows, start)
	assert.Equal(t, flows[0].factor, 1.0)
	assert.Equal(t, flows[1].factor, 1.0)
	s.add("b", 1, 2, start)
	s.update(flows, start.Add(shareInterval))
	assert.Assert(t, flows[0].factor > 1 && flows[1].factor < 1, "%v %v", flows[0].factor, flows[1].factor)
}

// Guards against entries that stay for accounts that are gone.
func TestIdleAccountsAreForgotten(t *testing.T) {
	var s accountShares
	for i := range 100 {
		s.add(fmt.Sprint(i), 1, 0.1, start)
	}
	s.update([]*flow{{account: "a", weight: 1}}, start.Add(10*shareTimeConstant))
	assert.Equal(t, len(s.byName), 1)
}

// Load: as in TestSurgeIsPaidByItsAccount.
// Guards against shares that leave the server idle: a forecast that compares factors of different
// times refuses what could have been served.
func TestSharesLeaveNoRoomUnused(t *testing.T) {
	run := func(share bool) (total int) {
		for _, n := range surge(share, 0.06, 6, "") {
			total += n
		}
		return total
	}
	with, without := run(true), run(false)
	assert.Assert(t, with >= without*99/100, "with %d, without %d", with, without)
}
