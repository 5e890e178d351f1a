package budget

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// prefetchTime is the time for which a wallet draws tokens in advance at its present rate of
	// spending. It saves calls and withholds few tokens from other gateways.
	prefetchTime = 200 * time.Millisecond
	// spendingTimeConstant is the time constant of the mean rate of spending.
	spendingTimeConstant = time.Second
	// offlineShare is the part of its fixed share of the limit that a gateway spends while it cannot draw.
	// Gateways that can draw have the whole limit meanwhile; with this part, all gateways
	// together stay within limit and tolerance while three of eight are cut off and a new
	// leader starts.
	offlineShare = 0.1
	// retryInterval is how long a gateway that could not draw waits before it tries again.
	retryInterval = 200 * time.Millisecond
)

// Wallet is one gateway's tokens of one account. It is safe for concurrent use.
type Wallet struct {
	mu      sync.Mutex
	limit   Limit
	balance float64
	// spending is the mean of the tokens spent a second.
	spending float64
	at       time.Time
	// offline is set while the gateway cannot draw; failedAt is the time of the last failure.
	offline  bool
	failedAt time.Time
	// share is the gateway's part of the limit under a fixed split, in (0,1]; offlineShare of
	// it is what the gateway spends while it cannot draw.
	share float64
	// returned lists refunded tokens by the time at which they were spent, oldest first.
	returned []refund
	// leasing is set once the gateway has had a lease. lease.Share is 0 when it has ended.
	leasing bool
	lease   Lease
	// asked is the mean of the tokens a second that callers asked for.
	asked float64
	// cost is the mean cost of the last requests.
	cost float64
	// told is the value of asked that the leader was last told.
	told float64
	// trimmed is when what the wallet may not keep went back last; credited is when it last drew.
	trimmed, credited time.Time
}

// refund is a number of tokens that go back to the pool and were spent within historySlot from
// spent on.
type refund struct {
	spent  time.Time
	tokens float64
}

// Configure sets the account's limit and the gateway's part of it under a fixed split, in (0,1].
func (w *Wallet) Configure(limit Limit, share float64, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.limit, w.share = limit, share
	w.balance = min(w.balance, limit.Burst)
}

// Take spends the cost of a request. When ok is false, draw says whether to draw want
// tokens first; otherwise the request exceeds the limit for now, and wait is the time
// until it may fit.
func (w *Wallet) Take(cost float64, now time.Time) (ok, draw bool, want float64, wait time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.limit.Rate <= 0 {
		return true, false, 0, 0
	}
	w.advance(now)
	if w.leasing {
		w.asked += cost / askedTimeConstant.Seconds()
		w.noteCost(cost)
		return w.takeLeased(cost, w.offline)
	}
	if w.balance >= cost || w.offline && w.balance > 0 {
		w.balance -= cost
		w.spending += cost / spendingTimeConstant.Seconds()
		return true, false, 0, 0
	}
	if !w.offline || now.Sub(w.failedAt) >= retryInterval {
		return false, true, cost - w.balance + w.spending*prefetchTime.Seconds(), 0
	}
	return false, false, 0, time.Duration((1 - w.balance) / w.offlineRate() * float64(time.Second))
}

// Credit adds drawn tokens; the gateway can draw again.
func (w *Wallet) Credit(tokens float64, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.offline = false
	if tokens > 0 {
		w.credited = now
	}
	w.balance += tokens
}

// RecordDrawFailure records that the gateway could not draw.
func (w *Wallet) RecordDrawFailure(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.offline = true
	w.failedAt = now
}

// Refund returns the cost of a request that did not run and was charged at spent. The tokens go back
// to the pool with the next draw: the wallet does not spend them itself, since the pool has granted
// others for the time meanwhile.
func (w *Wallet) Refund(cost float64, spent time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.giveBack(cost, spent)
}

// giveBack notes tokens that go back to the pool as if they had not been granted at a time.
func (w *Wallet) giveBack(cost float64, spent time.Time) {
	at, _ := slices.BinarySearchFunc(w.returned, spent, func(r refund, spent time.Time) int { return r.spent.Compare(spent) })
	if at > 0 && spent.Sub(w.returned[at-1].spent) < historySlot {
		w.returned[at-1].tokens += cost
		return
	}
	w.returned = slices.Insert(w.returned, at, refund{spent: spent, tokens: cost})
	if len(w.returned) > historySlots {
		w.returned = slices.Delete(w.returned, 0, 1)
	}
}

// Returns takes the tokens that go back to the pool with a draw. If the draw fails, they are lost.
func (w *Wallet) Returns(now time.Time) []Returned {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.trim(now)
	out := make([]Returned, 0, len(w.returned))
	for _, r := range w.returned {
		out = append(out, Returned{Tokens: r.tokens, Age: now.Sub(r.spent)})
	}
	w.returned = nil
	return out
}

func (w *Wallet) offlineRate() float64 { return max(1, offlineShare*w.share*w.limit.Rate) }

// advance decays the mean rate of spending and, while the gateway cannot draw, refills the
// balance.
func (w *Wallet) advance(now time.Time) {
	elapsed := max(0, now.Sub(w.at).Seconds())
	w.spending *= math.Exp(-elapsed / spendingTimeConstant.Seconds())
	w.asked *= math.Exp(-elapsed / askedTimeConstant.Seconds())
	elapsed -= w.accrueLease(elapsed, now)
	if w.offline {
		top := max(w.balance, offlineShare*w.share*w.limit.Burst)
		w.balance = min(w.balance+w.offlineRate()*elapsed, top)
	}
	w.at = now
}
