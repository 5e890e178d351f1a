// Package budget enforces the token limits of client accounts across all gateways. The control
// leader holds one Pool; each gateway draws from it into a Wallet. Both are pure state
// machines that take the time as an argument.
package budget

import (
	"sync"
	"time"

	"toucantiller.dev/instance"
)

// Limit is a token limit of an account: tokens a second after a burst. A Rate of 0 means
// no limit.
type Limit struct{ Rate, Burst float64 }

const (
	// initialShare and initialSlack are the share of the burst and the part of the tolerance's slack
	// of which a new pool starts with the larger one, at most a full bucket. A new leader does not
	// know what the previous one has just granted; the slack covers it.
	initialShare = 0.1
	initialSlack = 0.45
)

// waitMargin is added to waits, so that the tokens are available when one ends.
const waitMargin = time.Millisecond

// Tolerance is what all gateways together may admit beyond a limit: a share of the
// limit (Overrun), and a number of tokens in any window of the length that the deployment
// states (Slack). Requests refused although they are within the tolerance are refused
// needlessly.
type Tolerance struct {
	Overrun float64
	Slack   float64
}

const (
	// grantedOverrun and grantedSlack are the parts of the tolerance that the pool grants. The rest
	// covers tokens that wallets draw before they spend them, and gateways that cannot reach
	// the pool.
	grantedOverrun = 0.5
	grantedSlack   = 0.3
)

// widen returns the limit plus the part of the tolerance that the pool grants.
func (t Tolerance) widen(limit Limit) Limit {
	factor := 1 + grantedOverrun*t.Overrun
	return Limit{Rate: factor * limit.Rate, Burst: factor*limit.Burst + grantedSlack*t.Slack}
}

// initialBalance returns the balance with which a new pool starts, for a limit that has been widened.
func (t Tolerance) initialBalance(limit Limit) float64 {
	return min(max(initialShare*limit.Burst, initialSlack*t.Slack), limit.Burst)
}

// Pool is the budget of all accounts. It is safe for concurrent use.
type Pool struct {
	tolerance Tolerance

	mu       sync.Mutex
	accounts map[string]*bucket
}

// bucket is one account's tokens. The balance does not exceed the limit's burst; a large
// request can make it negative.
type bucket struct {
	balance float64
	at      time.Time
	history history
	// returned holds the highest number of a return of each gateway.
	returned map[instance.ID]uint64
}

// NewPool returns an empty pool.
func NewPool(t Tolerance) *Pool { return &Pool{tolerance: t, accounts: make(map[string]*bucket)} }

// Draw asks for tokens of an account whose limit is the one given. While the balance is
// positive it grants at least least, even if that overdraws the balance: large requests would
// otherwise be refused whenever small ones keep the balance low. Beyond that it grants
// up to want from the balance. Otherwise it grants nothing, and wait is the time until it will.
func (p *Pool) Draw(account string, limit Limit, want, least float64, now time.Time) (granted float64, wait time.Duration) {
	limit = p.tolerance.widen(limit)
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.refilled(account, limit, now)
	if b.balance <= 0 {
		return 0, time.Duration(-b.balance/limit.Rate*float64(time.Second)) + waitMargin
	}
	granted = max(least, min(want, b.balance))
	b.balance -= granted
	return granted, 0
}

// Return takes back tokens that were drawn for requests that did not run, as if they had never been
// drawn: a bucket that would have overflowed with them gains only what it could have held. Tokens
// that an earlier pool granted are not taken back, and those of an ID that came before neither.
func (p *Pool) Return(account string, limit Limit, id ReturnID, returned []Returned, now time.Time) {
	limit = p.tolerance.widen(limit)
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.refilled(account, limit, now)
	if id.Number <= b.returned[id.Gateway] {
		return
	}
	b.returned[id.Gateway] = id.Number
	for _, r := range returned {
		b.balance += b.history.restore(r.Tokens, limit.Burst, now.Add(-r.Age))
	}
}

// refilled returns the bucket of an account as of now. The lock is held.
func (p *Pool) refilled(account string, limit Limit, now time.Time) *bucket {
	b := p.accounts[account]
	if b == nil {
		balance := p.tolerance.initialBalance(limit)
		b = &bucket{balance: balance, at: now, history: newHistory(balance, now), returned: make(map[instance.ID]uint64)}
		p.accounts[account] = b
	}
	b.refill(limit, now)
	b.history.record(b.balance, now)
	return b
}

// refill refills the bucket up to the limit, which may have changed.
func (b *bucket) refill(limit Limit, now time.Time) {
	elapsed := max(0, now.Sub(b.at).Seconds())
	b.balance = min(b.balance+limit.Rate*elapsed, limit.Burst)
	b.at = now
}
