package control

import (
	"errors"
	"time"

	"toucantiller.dev/budget"
	"toucantiller.dev/control/api"
	"toucantiller.dev/control/state"
	"toucantiller.dev/instance"
	"toucantiller.dev/lease"
)

// renewals sets the returns with renewals apart from those with draws, which may overtake them.
const renewals instance.ID = "/renewals"

// budgetMessageLife is the time after which a call that was sent no longer arrives: by then its
// connection was found silent and closed.
const budgetMessageLife = 2 * time.Second

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
	pool := v.s.budgetPool()
	now := time.Now()
	if len(in.Returned) > 0 {
		pool.Return(in.Account, limit, budget.ReturnID{Gateway: in.Gateway, Number: in.ReturnID}, in.Returned, now)
	}
	out.Tokens, out.Wait = pool.Draw(in.Account, limit, in.Want, in.Least, now)
	return nil
}

// RenewBudget grants a gateway a lease on shares of all accounts' limits. A process that is not
// registered, or whose registration is about to end, gets none.
func (v *service) RenewBudget(in *api.RenewBudget, out *api.BudgetLease) error {
	if err := v.s.checkServing(); err != nil {
		out.Leader, err = redirect(err)
		return err
	}
	pool, now := v.s.budgetPool(), time.Now()
	for account, returned := range in.Returned {
		if limit, ok := v.s.tokenLimit(account); ok {
			pool.Return(account, limit, budget.ReturnID{Gateway: in.Gateway + renewals, Number: in.ReturnID}, returned, now)
		}
	}
	fleet := v.s.registeredGateways()
	if fleet[in.Gateway] != in.Incarnation {
		return nil
	}
	var err error
	if out.Grant, err = pool.Renew(&in.Renewal, fleet, v.s.registeredFor(in.Gateway, now), now); err != nil {
		return errors.New(UnavailablePrefix + err.Error())
	}
	if out.Duration > 0 {
		count(v.s.counts.budgetLeases, 1)
	}
	return nil
}

// budgetPool returns the pool of the present term.
func (s *Server) budgetPool() *budget.Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budgets
}

// newBudgets returns the pool of a new term. The gateways are those to which leaders of earlier terms may
// have granted leases.
func (s *Server) newBudgets(term uint64, gateways budget.Fleet, now time.Time) *budget.Pool {
	if s.opts.BudgetLease <= 0 {
		return budget.NewPool(s.opts.TokenTolerance)
	}
	terms := budget.LeaseTerms{Term: term, Duration: s.opts.BudgetLease, Longest: lease.TTL, Overlap: maxQuorumAge, MessageLife: budgetMessageLife}
	return budget.NewLeasingPool(s.opts.TokenTolerance, terms, gateways, now)
}

// registeredGateways returns the gateways that are registered.
func (s *Server) registeredGateways() budget.Fleet {
	out := make(budget.Fleet)
	s.machine.read(func(st *state.State) {
		for _, p := range st.Directory().Processes {
			if p.Role == instance.RoleGateway {
				out[p.ID] = p.Incarnation
			}
		}
	})
	return out
}

// registeredFor returns the time until the registration of a process ends without a keepalive.
func (s *Server) registeredFor(id instance.ID, now time.Time) time.Duration {
	var number uint64
	s.machine.read(func(st *state.State) {
		if r := st.Registration(id); r != nil {
			number = r.Lease
		}
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.leases.Get(number)
	if !ok {
		return 0
	}
	return e.Deadline.Sub(now)
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
