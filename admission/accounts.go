package admission

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"toucantiller.dev/account"
)

// AccountLimits holds the rate and concurrency limits of all client accounts at
// one gateway. Enter takes no lock shared by different accounts. It is safe for
// concurrent use.
type AccountLimits struct {
	limiters atomic.Pointer[map[string]*accountLimiter]
}

// accountLimiter holds the limits and open requests of one account.
type accountLimiter struct {
	rate *rate.Limiter
	max  atomic.Int64
	open atomic.Int64
}

// Update replaces the configured accounts. Accounts that stay keep their tokens
// and open requests.
func (l *AccountLimits) Update(accounts []*account.Account, now time.Time) {
	next := make(map[string]*accountLimiter, len(accounts))
	var current map[string]*accountLimiter
	if p := l.limiters.Load(); p != nil {
		current = *p
	}
	for _, a := range accounts {
		g := current[a.Name]
		if g == nil {
			g = &accountLimiter{rate: rate.NewLimiter(rateBounds(a))}
		}
		g.configure(a, now)
		next[a.Name] = g
	}
	l.limiters.Store(&next)
}

func (g *accountLimiter) configure(a *account.Account, now time.Time) {
	g.max.Store(int64(a.MaxConcurrent))
	limit, burst := rateBounds(a)
	if g.rate.Limit() != limit || g.rate.Burst() != burst {
		g.rate.SetLimitAt(now, limit)
		g.rate.SetBurstAt(now, burst)
	}
}

func rateBounds(a *account.Account) (rate.Limit, int) {
	if a.RequestsPerSecond <= 0 {
		return rate.Inf, 0
	}
	return rate.Limit(a.RequestsPerSecond), max(a.Burst, 1)
}

// Enter admits one request of an account, or refuses it. An admitted request
// ends with Pass.Leave. Unknown accounts have no limits.
func (l *AccountLimits) Enter(name string, tier account.Tier, now time.Time) (Pass, *Refusal) {
	p := l.limiters.Load()
	if p == nil {
		return Pass{}, nil
	}
	g := (*p)[name]
	if g == nil {
		return Pass{}, nil
	}
	open := g.open.Add(1)
	if bound := g.max.Load(); bound > 0 && open > bound {
		g.open.Add(-1)
		return Pass{}, &Refusal{ReasonAccountConcurrency, tier, time.Second}
	}
	r := g.rate.ReserveN(now, 1)
	if wait := r.DelayFrom(now); wait > 0 {
		r.CancelAt(now)
		g.open.Add(-1)
		return Pass{}, &Refusal{ReasonAccountRate, tier, clampRetry(wait)}
	}
	return Pass{limiter: g}, nil
}

// Pass is the admission of one request by its account's limits.
type Pass struct{ limiter *accountLimiter }

// Leave ends the request. It must be called once.
func (p Pass) Leave() {
	if p.limiter != nil {
		p.limiter.open.Add(-1)
	}
}
