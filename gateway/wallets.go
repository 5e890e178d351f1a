package gateway

import (
	"context"
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
}

// drawTimeout bounds one draw. A request waits for it, and a gateway that cannot reach the
// leader spends its own share instead.
const drawTimeout = 80 * time.Millisecond

// wallets holds the wallet of each account with a token limit. The map is copied on write.
type wallets struct {
	byName atomic.Pointer[map[string]*budget.Wallet]
}

// update applies the accounts' limits. Wallets of accounts that remain keep their tokens.
func (s *wallets) update(accounts []*account.Account, share float64, now time.Time) {
	next := make(map[string]*budget.Wallet, len(accounts))
	for _, a := range accounts {
		if a.TokensPerSecond <= 0 {
			continue
		}
		w := s.get(a.Name)
		if w == nil {
			w = &budget.Wallet{}
		}
		w.Configure(budget.Limit{Rate: a.TokensPerSecond, Burst: a.TokenBurst}, share, now)
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
func (s *wallets) refund(c *call, spent time.Time) {
	if w := s.get(c.account.Name); w != nil {
		w.Refund(float64(c.cost), spent)
	}
}

// spendTokens charges the call's cost to the account's budget, or refuses the call.
func (g *Gateway) spendTokens(ctx context.Context, c *call) *admission.Refusal {
	w := g.wallets.get(c.account.Name)
	if w == nil || c.cost <= 0 {
		return nil
	}
	cost := float64(c.cost)
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
	return &admission.Refusal{Reason: admission.ReasonAccountRate, Tier: c.tier, RetryAfter: max(wait, admission.MinRetryAfter)}
}

// drawTokens requests tokens. It returns the time until the account may have enough, or 0 if
// tokens were granted or the gateway spends its own share.
func (g *Gateway) drawTokens(ctx context.Context, w *budget.Wallet, c *call, want float64) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	now := time.Now()
	grant, err := g.opt.Budgets.DrawBudget(ctx, &api.DrawBudget{
		Gateway: g.opt.Instance.ID, Account: c.account.Name, Want: want, Least: float64(c.cost), Returned: w.Returns(now), ReturnID: uint64(now.UnixNano()), //nolint:gosec // after 1970
	})
	if err != nil {
		_ = g.opt.Logger.Log("msg", "budget not drawn", "request", c.id, "account", c.account.Name, "waited", time.Since(now), "err", err)
		w.RecordDrawFailure(time.Now())
		return 0
	}
	w.Credit(grant.Tokens, time.Now())
	return grant.Wait
}
