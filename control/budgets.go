package control

import (
	"errors"
	"time"

	"toucantiller.dev/budget"
	"toucantiller.dev/control/api"
	"toucantiller.dev/control/state"
)

var errNoTokenLimit = errors.New("the account has no token limit")

// DrawBudget grants tokens of an account to a gateway.
func (v *service) DrawBudget(in *api.DrawBudget, out *api.BudgetGrant) error {
	if err := v.s.checkServing(); err != nil {
		out.Leader, err = redirect(err)
		return err
	}
	limit, ok := v.s.tokenLimit(in.Account)
	if !ok {
		return errNoTokenLimit
	}
	v.s.mu.Lock()
	pool := v.s.budgets
	v.s.mu.Unlock()
	now := time.Now()
	if len(in.Returned) > 0 {
		pool.Return(in.Account, limit, budget.ReturnID{Gateway: in.Gateway, Number: in.ReturnID}, in.Returned, now)
	}
	out.Tokens, out.Wait = pool.Draw(in.Account, limit, in.Want, in.Least, now)
	return nil
}

func (s *Server) tokenLimit(name string) (budget.Limit, bool) {
	var limit budget.Limit
	s.machine.read(func(st *state.State) {
		c := st.Config()
		if c == nil {
			return
		}
		if a, ok := c.AccountByName(name); ok {
			limit = budget.Limit{Rate: a.TokensPerSecond, Burst: a.TokenBurst}
		}
	})
	return limit, limit.Rate > 0
}
