package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"toucantiller.dev/account"
	"toucantiller.dev/admission"
	"toucantiller.dev/budget"
	"toucantiller.dev/control/api"
)

// Budgets grants this gateway tokens from the accounts' budgets.
type Budgets interface {
	DrawBudget(ctx context.Context, in *api.DrawBudget) (*api.BudgetGrant, error)
	RenewBudget(ctx context.Context, in *api.RenewBudget) (*api.BudgetLease, error)
}

// drawTimeout bounds one draw. A request waits for it, and a gateway that cannot reach the
// leader spends its own share instead.
const drawTimeout = 80 * time.Millisecond

// wallets holds the wallet of each account with a token limit. The map is copied on write.
type wallets struct {
	byName atomic.Pointer[map[string]*budget.Wallet]

	// mu is held while the map, the grant or away changes, so that all wallets have the same grant.
	mu sync.Mutex
	// grant is the lease that the wallets have, asked for at asked; nil before the first one.
	grant *budget.Grant
	asked time.Time
	// away is set while the leader cannot be reached, if leases are in use.
	away bool
}

// update applies the accounts' limits. Wallets of accounts that remain keep their tokens.
func (s *wallets) update(accounts []*account.Account, share float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := make(map[string]*budget.Wallet, len(accounts))
	for _, a := range accounts {
		if a.TokensPerSecond <= 0 {
			continue
		}
		w := s.get(a.Name)
		isNew := w == nil
		if isNew {
			w = &budget.Wallet{}
		}
		w.Configure(budget.Limit{Rate: a.TokensPerSecond, Burst: a.TokenBurst}, share, now)
		if isNew {
			s.lease(a.Name, w, now)
		}
		next[a.Name] = w
	}
	s.byName.Store(&next)
}

// get returns the wallet of an account, nil if it has no token limit.
func (s *wallets) get(name string) *budget.Wallet {
	if m := s.byName.Load(); m != nil {
		return (*m)[name]
	}
	return nil
}

// refund returns the cost of a call that did not run and was charged at spent.
func (g *Gateway) refund(c *call, spent time.Time) {
	if w := g.wallets.get(c.account.Name); w != nil {
		w.Refund(float64(c.cost), g.budgetNow(time.Now()).Add(-time.Since(spent)))
	}
}

// spendTokens charges the call's cost to the account's budget, or refuses the call.
func (g *Gateway) spendTokens(ctx context.Context, c *call) *admission.Refusal {
	w := g.wallets.get(c.account.Name)
	if w == nil || c.cost <= 0 {
		return nil
	}
	cost := float64(c.cost)
	if g.leases != nil {
		return g.leases.spend(ctx, c, w)
	}
	ok, draw, want, wait := w.Take(cost, time.Now())
	if draw && g.opt.Budgets != nil {
		wait = g.drawTokens(ctx, w, c, want)
		if wait == 0 {
			ok, _, _, wait = w.Take(cost, time.Now())
		}
	}
	if ok {
		return nil
	}
	return refuseRate(c, wait)
}

func refuseRate(c *call, wait time.Duration) *admission.Refusal {
	return &admission.Refusal{Reason: admission.ReasonAccountRate, Tier: c.tier, RetryAfter: max(wait, admission.MinRetryAfter)}
}

// drawTokens requests tokens. It returns the time until the account may have enough, or 0 if
// tokens were granted or the gateway spends its own share.
func (g *Gateway) drawTokens(ctx context.Context, w *budget.Wallet, c *call, want float64) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	now := time.Now()
	grant, err := g.opt.Budgets.DrawBudget(ctx, &api.DrawBudget{
		Gateway: g.opt.Instance.ID, Account: c.account.Name, Want: want, Least: float64(c.cost), Returned: w.Returns(now), ReturnID: returnID(now),
	})
	if err != nil {
		_ = g.opt.Logger.Log("msg", "budget not drawn", "request", c.id, "account", c.account.Name, "waited", time.Since(now), "err", err)
		w.RecordDrawFailure(time.Now())
		return 0
	}
	w.Credit(grant.Tokens, time.Now())
	return grant.Wait
}
