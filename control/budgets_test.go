package control_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/budget"
	"toucantiller.dev/control"
	"toucantiller.dev/control/api"
	"toucantiller.dev/instance"
	"toucantiller.dev/link"
)

const budgetLease = 6 * time.Second

func registerGateway(t *testing.T, c *control.Client, id instance.ID, incarnation instance.Incarnation) uint64 {
	t.Helper()
	out, err := c.Register(t.Context(), &api.Register{Instance: instance.Instance{ID: id, Incarnation: incarnation, Role: instance.RoleGateway}})
	assert.NilError(t, err)
	return out.Lease
}

// renew renews the lease of a gateway that asks for tokens of account a0.
func renew(t *testing.T, c *control.Client, id instance.ID, incarnation instance.Incarnation, asked float64, held budget.Held) *api.BudgetLease {
	t.Helper()
	in := &api.RenewBudget{ReturnID: uint64(time.Now().UnixNano())} //nolint:gosec // after 1970
	in.Gateway, in.Incarnation, in.Duration, in.Held = id, incarnation, time.Minute, held
	in.Asked = map[string]float64{"a0": asked}
	out, err := c.RenewBudget(t.Context(), in)
	assert.NilError(t, err)
	return out
}

// heldNow is what a gateway holds with a grant that it has just got.
func heldNow(l *api.BudgetLease) budget.Held {
	return budget.Held{Term: l.Term, Seq: l.Seq, Left: l.Duration, Shares: l.Shares}
}

// Guards against leases to processes that are not registered, whose leases the next leader would not
// know of, and against leases that outlive a registration.
func TestBudgetLeasesGoToRegisteredGateways(t *testing.T) {
	runInSynctest(t, func(t *testing.T) {
		network := link.NewMemory()
		s := newControl(t, network, control.Options{BudgetLease: budgetLease})
		c := control.NewClient(network, []string{s.Addr()})
		defer c.Close()
		time.Sleep(time.Second)
		assert.NilError(t, s.ApplyDocument(limitedDocument(1)))
		assert.Equal(t, renew(t, c, "g1", 1, 0, budget.Held{}).Duration, time.Duration(0))
		registerGateway(t, c, "g1", 2)
		registerGateway(t, c, "g2", 1)
		assert.Equal(t, renew(t, c, "g1", 1, 0, budget.Held{}).Duration, time.Duration(0), "an earlier incarnation")
		out := renew(t, c, "g1", 2, 0, budget.Held{})
		assert.Equal(t, out.Duration, budgetLease)
		assert.Equal(t, out.Shares.Of("a0"), 0.45, "half of what is leasable")
		time.Sleep(6 * time.Second)
		assert.Assert(t, renew(t, c, "g1", 2, 0, budget.Held{}).Duration <= 2*time.Second, "no keepalive for 6 s of 8")
	})
}

// Guards against control replicas without the setting that grant leases.
func TestNoBudgetLeasesWithoutTheSetting(t *testing.T) {
	runInSynctest(t, func(t *testing.T) {
		network := link.NewMemory()
		s := newControl(t, network, control.Options{})
		c := control.NewClient(network, []string{s.Addr()})
		defer c.Close()
		time.Sleep(time.Second)
		registerGateway(t, c, "g1", 1)
		assert.Equal(t, renew(t, c, "g1", 1, 0, budget.Held{}).Duration, time.Duration(0))
	})
}

// Guards against a new leader that leases what a silent gateway may still hold of the one before, that
// withholds it from a gateway that holds it, or withholds it for longer than needed.
func TestNewLeaderKeepsBudgetLeases(t *testing.T) {
	runInSynctest(t, func(t *testing.T) {
		g := startGroupWith(t, &group{budgetLease: budgetLease})
		c := control.NewClient(g.network, replicas)
		defer c.Close()
		number := registerGateway(t, c, "g1", 1)
		registerGateway(t, c, "g2", 1)
		first := renew(t, c, "g1", 1, 0, budget.Held{})
		silent := renew(t, c, "g2", 1, 0, budget.Held{})
		assert.Equal(t, first.Shares.Of("a0")+silent.Shares.Of("a0"), 0.9)

		g.stop(t, g.leader(t, c))
		time.Sleep(1500 * time.Millisecond)
		registerGateway(t, c, "g3", 1)
		second := renew(t, c, "g1", 1, 1000, heldNow(first))
		assert.Assert(t, second.Term > first.Term)
		assert.Equal(t, second.Shares.Of("a0"), 0.45, "what it holds")
		assert.Equal(t, renew(t, c, "g3", 1, 1000, budget.Held{}).Shares.Of("a0"), 0.0, "g2 may hold the rest")

		// The lease of g2 has ended, and so have those that an earlier leader could have granted.
		for range 8 {
			time.Sleep(time.Second)
			_, err := c.KeepAlive(t.Context(), &api.KeepAlive{Lease: number, Instance: "g1"})
			assert.NilError(t, err)
			second = renew(t, c, "g1", 1, 1000, heldNow(second))
		}
		assert.Assert(t, second.Shares.Of("a0") > 0.6, "%v", second.Shares)
	})
}

// Guards against leases that are withheld for long after a restart of all processes.
func TestBudgetLeasesAfterAllRestarted(t *testing.T) {
	runInSynctest(t, func(t *testing.T) {
		g := startGroupWith(t, &group{budgetLease: budgetLease})
		c := control.NewClient(g.network, replicas)
		defer c.Close()
		registerGateway(t, c, "g1", 1)
		renew(t, c, "g1", 1, 0, budget.Held{})
		g.stop(t, g.leader(t, c))
		time.Sleep(1500 * time.Millisecond)
		registerGateway(t, c, "g1", 2)
		assert.Equal(t, renew(t, c, "g1", 2, 0, budget.Held{}).Shares.Of("a0"), 0.9)
	})
}
