// Package budget keeps the token limits of client accounts over all gateways. The control
// leader holds one Pool; each gateway draws from it into a Wallet. Both are pure state
// machines: times are arguments.
package budget

import (
	"sync"
	"time"
)

// Limit is a token limit of an account: tokens a second after a burst. A Rate of 0 means
// no limit.
type Limit struct{ Rate, Burst float64 }

// firstShare is the share of the burst with which a pool begins. What an earlier leader
// granted a moment ago is not known.
const firstShare = 0.1

// roundUp is added to waits, so that the tokens are there when one ends.
const roundUp = time.Millisecond

// Tolerance is what all gateways together may admit beyond a limit: a share of it, and
// tokens in any window for which a deployment states them. What is refused within it is lost
// to the account for nothing.
type Tolerance struct {
	Overrun float64
	Slack   float64
}

const (
	// usedOverrun and usedSlack are the parts of the tolerance that the pool grants. The rest
	// covers tokens that wallets drew earlier than they spend them, and gateways that spend
	// alone.
	usedOverrun = 0.5
	usedSlack   = 0.3
)

// widen returns the limit with the used part of the tolerance.
func (t Tolerance) widen(limit Limit) Limit {
	factor := 1 + usedOverrun*t.Overrun
	return Limit{Rate: factor * limit.Rate, Burst: factor*limit.Burst + usedSlack*t.Slack}
}

// Pool is the budget of all accounts. It is safe for concurrent use.
type Pool struct {
	tolerance Tolerance

	mu       sync.Mutex
	accounts map[string]*bucket
}

// bucket is one account's tokens. The balance may not exceed the limit's burst; it is below 0
// after a large request.
type bucket struct {
	balance float64
	at      time.Time
}

// NewPool returns an empty pool.
func NewPool(t Tolerance) *Pool { return &Pool{tolerance: t, accounts: make(map[string]*bucket)} }

// Draw asks for tokens of an account whose limit is the one given. While the balance is
// positive it grants at least least, even if that overdraws the balance: large requests would
// otherwise be refused whenever small ones keep the balance low. It grants what is there of
// want beyond that. Otherwise it grants nothing, and wait is the time until it will.
func (p *Pool) Draw(account string, limit Limit, want, least float64, now time.Time) (granted float64, wait time.Duration) {
	limit = p.tolerance.widen(limit)
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.accounts[account]
	if b == nil {
		b = &bucket{balance: firstShare * limit.Burst, at: now}
		p.accounts[account] = b
	}
	b.advance(limit, now)
	if b.balance <= 0 {
		return 0, time.Duration(-b.balance/limit.Rate*float64(time.Second)) + roundUp
	}
	granted = max(least, min(want, b.balance))
	b.balance -= granted
	return granted, 0
}

// advance refills the bucket up to the limit, which may have changed.
func (b *bucket) advance(limit Limit, now time.Time) {
	elapsed := max(0, now.Sub(b.at).Seconds())
	b.balance = min(b.balance+limit.Rate*elapsed, limit.Burst)
	b.at = now
}
