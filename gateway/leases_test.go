package gateway

import (
	"bytes"
	"context"
	"errors"
	"net/rpc"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"toucantiller.dev/account"
	"toucantiller.dev/budget"
	"toucantiller.dev/contract"
	"toucantiller.dev/control/api"
	"toucantiller.dev/instance"
)

// leaderStub grants from a pool, or hangs until its callers give up.
type leaderStub struct {
	pool  *budget.Pool
	limit budget.Limit
	fleet budget.Fleet
	hangs atomic.Bool
	// takes is how long a draw takes.
	takes    atomic.Int64
	draws    atomic.Int64
	inFlight atomic.Int64
	most     atomic.Int64
}

func (s *leaderStub) DrawBudget(ctx context.Context, in *api.DrawBudget) (*api.BudgetGrant, error) {
	s.draws.Add(1)
	s.most.Store(max(s.most.Load(), s.inFlight.Add(1)))
	defer s.inFlight.Add(-1)
	if s.hangs.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(time.Duration(s.takes.Load()))
	tokens, wait := s.pool.Draw(in.Account, s.limit, in.Want, in.Least, time.Now())
	return &api.BudgetGrant{Tokens: tokens, Wait: wait}, nil
}

func (s *leaderStub) RenewBudget(ctx context.Context, in *api.RenewBudget) (*api.BudgetLease, error) {
	if s.hangs.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	grant, err := s.pool.Renew(&in.Renewal, s.fleet, in.Duration, time.Now())
	return &api.BudgetLease{Grant: grant}, err
}

// leasing is a gateway with a lease on half of the limit of an account.
type leasing struct {
	*Gateway
	leader  *leaderStub
	account *account.Account
	log     lockedBuffer
}

// lockedBuffer is a log that a test reads while it is written.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func newLeasing(t *testing.T) *leasing {
	limit := budget.Limit{Rate: 10_000, Burst: 10_000}
	terms := budget.LeaseTerms{Term: 1, Duration: 6 * time.Second, Longest: 6 * time.Second, Overlap: time.Second, MessageLife: time.Second}
	l := &leasing{
		leader:  &leaderStub{limit: limit, fleet: budget.Fleet{"g1": 1, "g2": 1}},
		account: &account.Account{Name: "desk", TokensPerSecond: limit.Rate, TokenBurst: limit.Burst},
	}
	l.leader.pool = budget.NewLeasingPool(budget.Tolerance{Overrun: 0.1, Slack: 10_000}, terms, nil, time.Now())
	config := contract.NewConfig(contract.Parts{Revision: 1, Accounts: []*account.Account{l.account}})
	g, err := New(Options{
		Instance: instance.Instance{ID: "g1", Incarnation: 1}, View: fixedView{config}, Budgets: l.leader,
		BudgetLease: 6 * time.Second, Logger: log.NewLogfmtLogger(&l.log),
	})
	assert.NilError(t, err)
	l.Gateway = g
	g.keepLeases()
	t.Cleanup(func() {
		g.cancelTasks()
		g.tasks.Wait()
	})
	time.Sleep(5 * time.Second) // the wallet fills
	return l
}

// charge charges a call of some tokens, and returns whether it was admitted and how long that took.
func (l *leasing) charge(tokens int) (ok bool, took time.Duration) {
	began := time.Now()
	refused := l.spendTokens(context.Background(), &call{account: l.account, cost: tokens, deadline: began.Add(5 * time.Second), objective: began.Add(400 * time.Millisecond)})
	return refused == nil, time.Since(began)
}

// Guards against calls within their account's limit that wait for a leader that hangs, or are refused
// then: the first ones wait for a bounded part of their time, later ones not at all.
func TestCallsAreDecidedWhileTheLeaderHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLeasing(t)
		l.leader.hangs.Store(true)
		var calls sync.WaitGroup
		for range 5 { // more than the wallet holds: the last ones need a draw
			calls.Go(func() {
				ok, took := l.charge(1200)
				assert.Check(t, ok, "refused")
				assert.Check(t, took <= 50*time.Millisecond, "waited %s", took)
			})
		}
		calls.Wait()
		assert.Equal(t, l.leader.draws.Load(), int64(1), "calls of an account share a draw")
		time.Sleep(400 * time.Millisecond)
		for range 8 { // within the lease of 4,725 tokens a second
			time.Sleep(200 * time.Millisecond)
			ok, took := l.charge(800)
			assert.Assert(t, ok && took == 0, "admitted %t after %s", ok, took)
		}
		for range 20 {
			_, took := l.charge(800)
			assert.Equal(t, took, time.Duration(0), "a call that exceeds the limit waits")
		}
		assert.Equal(t, l.leader.draws.Load(), int64(1), "drawn while the leader is known to be away")
		l.leader.hangs.Store(false)
		time.Sleep(time.Second)
		assert.Assert(t, !l.leases.away.Load())
		text := l.log.String()
		assert.Equal(t, strings.Count(text, "budget leader away"), 1, text)
		assert.Equal(t, strings.Count(text, "budget leader back"), 1, text)
	})
}

// Guards against a gateway that goes on spending its lease after it has ended.
func TestLeaseEndsByItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLeasing(t)
		l.leader.hangs.Store(true)
		time.Sleep(6 * time.Second)
		admitted := 0
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			if ok, _ := l.charge(400); ok {
				admitted += 400
			}
		}
		// A tenth of a fixed share for four seconds, and one call in advance.
		assert.Assert(t, admitted <= 4*1000+1000+400, "%d tokens in 4 s", admitted)
		assert.Assert(t, strings.Contains(l.log.String(), "budget lease ended"))
		assert.Equal(t, l.wallets.leasedShare(l.leases.now()), 0.0)
	})
}

// Guards against a draw for each call of an account that waits, and calls that wait for longer than a
// part of their time.
func TestCallsShareADraw(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLeasing(t)
		l.leader.takes.Store(int64(20 * time.Millisecond))
		for i := 0; i < 10; i++ {
			l.charge(1000)
		}
		l.leader.draws.Store(0)
		l.leader.most.Store(0)
		var calls sync.WaitGroup
		for range 30 {
			calls.Go(func() {
				_, took := l.charge(300)
				assert.Check(t, took <= 50*time.Millisecond, "waited %s", took)
			})
		}
		calls.Wait()
		time.Sleep(100 * time.Millisecond)
		assert.Assert(t, l.leader.draws.Load() <= 2, "%d draws", l.leader.draws.Load())
		assert.Equal(t, l.leader.most.Load(), int64(1), "draws in flight")
	})
}

// Guards against a leader that answers with a refusal and is taken for one that is away.
func TestRefusalIsAnAnswer(t *testing.T) {
	assert.Assert(t, !unanswered(context.Background(), rpc.ServerError("the account has no token limit")))
	assert.Assert(t, unanswered(context.Background(), errors.New("connection reset")))
}

// Guards against a draw that fails while a renewal succeeds and that leaves the wallets apart from the state
// of the gateway, or ends the process.
func TestAbsenceAndReturnAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLeasing(t)
		var racing sync.WaitGroup
		for range 4 {
			racing.Go(func() {
				for range 500 {
					l.leases.lose(context.Background(), "draw", errors.New("connection reset"))
				}
			})
			racing.Go(func() {
				for range 500 {
					l.leases.reach()
				}
			})
		}
		racing.Wait()
		l.wallets.mu.Lock()
		defer l.wallets.mu.Unlock()
		assert.Equal(t, l.wallets.away, l.leases.away.Load())
	})
}

// Guards against calls that come back after their objective and for which nothing is drawn.
func TestDrawPatience(t *testing.T) {
	now := time.Now()
	in := func(objective, deadline time.Duration) time.Duration {
		return drawWait(&call{objective: now.Add(objective), deadline: now.Add(deadline)}, now)
	}
	assert.Equal(t, in(400*time.Millisecond, 5*time.Second), 50*time.Millisecond)
	assert.Equal(t, in(-time.Second, 400*time.Millisecond), 50*time.Millisecond)
	assert.Equal(t, in(time.Second, time.Minute), drawTimeout)
	assert.Equal(t, in(time.Millisecond, time.Minute), minDrawWait)
}
