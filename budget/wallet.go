package budget

import (
	"math"
	"sync"
	"time"
)

const (
	// aheadTime is the time for which a wallet draws ahead at the present spending. It saves
	// calls and keeps little from other gateways.
	aheadTime = 200 * time.Millisecond
	// spendingTime is the time over which spending is a mean.
	spendingTime = time.Second
	// aloneShare is the part of a fixed split that a gateway spends while it cannot draw.
	// Gateways that can draw have the whole limit meanwhile, so that all together stay
	// within what is allowed while three of eight are cut off and a new leader begins.
	aloneShare = 0.3
	// retryTime is how long a gateway that could not draw spends alone before it tries again.
	retryTime = 200 * time.Millisecond
)

// Wallet is one gateway's tokens of one account. It is safe for concurrent use.
type Wallet struct {
	mu      sync.Mutex
	limit   Limit
	balance float64
	// spending is the mean of the tokens spent a second.
	spending float64
	at       time.Time
	// alone is set while the gateway cannot draw; triedAt is when it last failed to.
	alone   bool
	triedAt time.Time
	// share is the gateway's part of a fixed split, in (0,1].
	share float64
}

// Configure takes over the account's limit and the gateway's part of a fixed split.
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
	if w.balance >= cost || w.alone && w.balance > 0 {
		w.balance -= cost
		w.spending += cost / spendingTime.Seconds()
		return true, false, 0, 0
	}
	if !w.alone || now.Sub(w.triedAt) >= retryTime {
		return false, true, cost - w.balance + w.spending*aheadTime.Seconds(), 0
	}
	return false, false, 0, time.Duration((1 - w.balance) / w.aloneRate() * float64(time.Second))
}

// Credit adds drawn tokens; the gateway can draw again.
func (w *Wallet) Credit(tokens float64, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.alone = false
	w.balance += tokens
}

// Failed records that the gateway could not draw.
func (w *Wallet) Failed(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.alone = true
	w.triedAt = now
}

// Refund returns the cost of a request that did not run.
func (w *Wallet) Refund(cost float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.balance += cost
}

func (w *Wallet) aloneRate() float64 { return max(1, aloneShare*w.share*w.limit.Rate) }

// advance lets the mean of spending fade and, while alone, refills the balance.
func (w *Wallet) advance(now time.Time) {
	elapsed := max(0, now.Sub(w.at).Seconds())
	w.spending *= math.Exp(-elapsed / spendingTime.Seconds())
	if w.alone {
		top := max(w.balance, aloneShare*w.share*w.limit.Burst)
		w.balance = min(w.balance+w.aloneRate()*elapsed, top)
	}
	w.at = now
}
