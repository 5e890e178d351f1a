// Package budget enforces the token limits of client accounts across all gateways. The control
// leader holds one Pool; each gateway draws from it into a Wallet. Both are pure state
// machines that take the time as an argument.
package budget

import (
	"math"
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
	// ledger is nil without leases.
	ledger *ledger
}

// bucket is one account's tokens. The balance does not exceed the limit's burst; a large
// request can make it negative.
type bucket struct {
	balance float64
	at      time.Time
	// limit is the account's limit, widened; its burst is without what leases carry.
	limit Limit
	// burst is the whole widened burst.
	burst float64
	// leased is the share of the limit's rate that was on lease at the last refill.
	leased  float64
	history history
	// returned holds the highest number of a return of each gateway.
	returned map[instance.ID]uint64
}

// NewPool returns an empty pool.
func NewPool(t Tolerance) *Pool { return &Pool{tolerance: t, accounts: make(map[string]*bucket)} }

// NewLeasingPool returns an empty pool that also leases shares of the limits to gateways. Those in the
// fleet may hold leases of earlier leaders.
func NewLeasingPool(t Tolerance, terms LeaseTerms, fleet Fleet, now time.Time) *Pool {
	p := NewPool(t)
	p.ledger = newLedger(terms, fleet, now)
	return p
}

// Renew grants a gateway a lease for at most the longest duration; fleet are the gateways registered now.
// A pool without leases grants none.
func (p *Pool) Renew(r *Renewal, fleet Fleet, longest time.Duration, now time.Time) (Grant, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ledger == nil || min(r.Duration, longest) <= 0 {
		return Grant{}, nil
	}
	for _, b := range p.accounts {
		b.refill(now)
		b.history.record(b.balance, now)
	}
	p.ledger.expire(now)
	p.ledger.forgetUnregistered(fleet)
	out, err := p.ledger.renew(r, fleet, p.spendable, longest, now)
	for account, b := range p.accounts {
		b.leased = p.ledger.reserved(account)
		b.limit.Burst = b.burst * (1 - burstPart(b.leased))
	}
	out.Tolerance = p.tolerance
	return out, err
}

// Leases returns how many gateways hold leases, and how many have let theirs end in this term.
func (p *Pool) Leases() (held int, expired uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ledger == nil {
		return 0, 0
	}
	return len(p.ledger.holders), p.ledger.expired
}

// Draw asks for tokens of an account whose limit is the one given. While the balance is
// positive it grants at least least, even if that overdraws the balance: large requests would
// otherwise be refused whenever small ones keep the balance low. Beyond that it grants
// up to want from the balance. Otherwise it grants nothing, and wait is the time until it will.
func (p *Pool) Draw(account string, limit Limit, want, least float64, now time.Time) (granted float64, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.refilled(account, limit, now)
	if b.balance <= 0 {
		return 0, time.Duration(-b.balance/b.rate()*float64(time.Second)) + waitMargin
	}
	granted = max(least, min(want, b.balance))
	b.balance -= granted
	return granted, 0
}

// Return takes back tokens that were drawn for requests that did not run, as if they had never been
// drawn: a bucket that would have overflowed with them gains only what it could have held. Tokens
// that an earlier pool granted are not taken back, and those of an ID that came before neither.
func (p *Pool) Return(account string, limit Limit, id ReturnID, returned []Returned, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.refilled(account, limit, now)
	if id.Number <= b.returned[id.Gateway] {
		return
	}
	b.returned[id.Gateway] = id.Number
	for _, r := range returned {
		b.balance += b.history.restore(r.Tokens, b.limit.Burst, now.Add(-r.Age))
	}
}

// refilled returns the bucket of an account as of now. The lock is held.
func (p *Pool) refilled(account string, limit Limit, now time.Time) *bucket {
	if p.ledger != nil {
		p.ledger.expire(now)
	}
	widened := p.widen(account, limit)
	b := p.accounts[account]
	if b == nil {
		b = p.newBucket(widened, now)
		p.accounts[account] = b
	}
	b.limit, b.burst = widened, p.tolerance.widenLeased(limit).Burst
	b.refill(now)
	if p.ledger != nil {
		b.leased = p.ledger.reserved(account)
	}
	b.history.record(b.balance, now)
	return b
}

// widen returns the limit of an account's bucket. It keeps the part of the burst that leases do not carry.
func (p *Pool) widen(account string, limit Limit) Limit {
	if p.ledger == nil {
		return p.tolerance.widen(limit)
	}
	limit = p.tolerance.widenLeased(limit)
	limit.Burst *= 1 - burstPart(p.ledger.reserved(account))
	return limit
}

// spendable is the room of a wallet with a lease. That of an account of which nothing was drawn is not known to be
// short.
func (p *Pool) spendable(account string, share, other float64) float64 {
	b := p.accounts[account]
	if b == nil {
		return math.Inf(1)
	}
	return burstPart(share)*b.burst + p.tolerance.overdraft(other)
}

// newBucket returns the bucket of an account, for a limit that has been widened.
func (p *Pool) newBucket(limit Limit, now time.Time) *bucket {
	balance := p.tolerance.initialBalance(limit)
	if p.ledger != nil {
		since := now.Sub(p.ledger.began).Seconds()
		balance = min(leasedInitialSlack*p.tolerance.Slack+(1-leasableShare)*limit.Rate*since, limit.Burst)
	}
	return &bucket{balance: balance, at: now, history: newHistory(balance, now), returned: make(map[instance.ID]uint64)}
}

// rate returns the tokens a second with which the bucket refills.
func (b *bucket) rate() float64 { return (1 - b.leased) * b.limit.Rate }

// refill refills the bucket up to its limit, which may have changed.
func (b *bucket) refill(now time.Time) {
	elapsed := max(0, now.Sub(b.at).Seconds())
	b.balance = min(b.balance+b.rate()*elapsed, b.limit.Burst)
	b.at = now
}
