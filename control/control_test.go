package control_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/control"
	"toucantiller.dev/control/api"
	"toucantiller.dev/link"
	"toucantiller.dev/membership"
)

// Guards against an accepted drain that does not reach a process, or is reported in
// force before every process confirmed it.
func TestDrainReachesEveryProcess(t *testing.T) {
	bubble(t, func(t *testing.T) {
		network := link.NewMemory()
		newControl(t, network, control.Options{})
		time.Sleep(time.Second)
		client := control.NewClient(network, []string{"control-0"})
		defer client.Close()
		apply(t, client.ApplyBundle, signedBundle("op-1", bundleText(1, "")))
		var all []*process
		for i := range 4 {
			all = append(all, startProcess(t, network, agent(i), []string{"control-0"}))
		}
		time.Sleep(3 * time.Second)
		reply := apply(t, client.SetDomain, drain("op-2", "lagos-a"))
		status, err := client.Status(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(status.Processes), 4)
		time.Sleep(time.Second)
		for _, p := range all {
			assert.Equal(t, p.holder.Revision(), reply.Revision)
			assert.Assert(t, !p.holder.Config().Domains["lagos-a"].AcceptsWork())
		}
		status, err = client.Status(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, status.InForce)
	})
}

// Guards against a leader change that expels processes, reverts the revision, loses a
// change or gives a resend another outcome.
func TestLeaderChangeKeepsEverything(t *testing.T) {
	bubble(t, func(t *testing.T) {
		g := startGroup(t, nil)
		client := control.NewClient(g.network, replicas)
		defer client.Close()
		apply(t, client.ApplyBundle, signedBundle("op-1", bundleText(1, "")))
		var all []*process
		for i := range 4 {
			all = append(all, startProcess(t, g.network, agent(i), replicas))
		}
		time.Sleep(3 * time.Second)
		change := drain("op-2", "lagos-a")
		first := apply(t, client.SetDomain, change)
		leases := make([]uint64, len(all))
		for i, p := range all {
			leases[i] = p.announcer.Lease()
		}
		token, err := client.NextToken(t.Context())
		assert.NilError(t, err)

		old := g.leader(t, client)
		g.network.SetFault(old, link.FaultPartition)
		g.stop(t, old)
		time.Sleep(20 * time.Second)

		status, err := client.Status(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, status.Leader != old)
		assert.Equal(t, status.Revision, first.Revision)
		assert.Equal(t, len(status.Processes), 4)
		assert.Assert(t, status.InForce)
		for i, p := range all {
			assert.Equal(t, p.announcer.Lease(), leases[i], "a leader change expelled %s", p.self.ID)
			assert.Assert(t, p.holder.UnprovenAllowed(time.Now()))
		}
		assert.DeepEqual(t, apply(t, client.SetDomain, change), first)
		later, err := client.NextToken(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, later > token)
	})
}

// Guards against a leader without a quorum that still serves the configuration, makes
// processes look fresh or accepts a change.
func TestLeaderWithoutQuorumServesNothing(t *testing.T) {
	bubble(t, func(t *testing.T) {
		g := startGroup(t, nil)
		client := control.NewClient(g.network, replicas)
		defer client.Close()
		apply(t, client.ApplyBundle, signedBundle("op-1", bundleText(1, "")))
		p := startProcess(t, g.network, agent(0), replicas)
		time.Sleep(3 * time.Second)
		assert.Assert(t, p.holder.UnprovenAllowed(time.Now()))
		leader := g.leader(t, client)
		for _, addr := range replicas {
			if addr != leader {
				g.stop(t, addr)
			}
		}
		time.Sleep(3 * time.Second)
		assert.Assert(t, !p.holder.UnprovenAllowed(time.Now()))
		assert.Assert(t, p.holder.MayServe(time.Now()))
		_, err := client.Subscribe(t.Context(), &api.Subscribe{})
		assert.ErrorContains(t, err, "call Control.Subscribe")
		_, err = client.SetDomain(t.Context(), drain("op-2", "lagos-a"))
		assert.ErrorContains(t, err, "call Control.SetDomain")
	})
}

// Guards against "in force" while a process that went silent may still take work on old
// settings, and against one that left on purpose holding it up.
func TestSilentProcessHoldsUpInForce(t *testing.T) {
	bubble(t, func(t *testing.T) {
		network := link.NewMemory()
		newControl(t, network, control.Options{})
		time.Sleep(time.Second)
		c := control.NewClient(network, []string{"control-0"})
		defer c.Close()
		apply(t, c.ApplyBundle, signedBundle("op-1", bundleText(1, "serve_stale: 2m\n")))
		silent := startProcess(t, network, agent(0), []string{"control-0"})
		leaving := startProcess(t, network, agent(1), []string{"control-0"})
		time.Sleep(3 * time.Second)
		silent.cancel()
		assert.NilError(t, leaving.announcer.Leave(t.Context()))
		apply(t, c.SetDomain, drain("op-2", "lagos-a"))
		inForce := func() bool {
			status, err := c.Status(t.Context())
			assert.NilError(t, err)
			return status.InForce
		}
		time.Sleep(time.Minute)
		status, err := c.Status(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(status.Endpoints), 0)
		assert.Equal(t, len(status.Processes), 1)
		assert.Assert(t, status.Processes[0].Lost && !status.InForce)
		time.Sleep(2 * time.Minute)
		assert.Assert(t, inForce())
	})
}

// Guards against a thousand agents that return at once flooding the log, starving each
// other or costing those already in their leases.
func TestCrowdIsAdmittedAtBoundedRate(t *testing.T) {
	bubble(t, func(t *testing.T) {
		network := link.NewMemory()
		newControl(t, network, control.Options{RegistrationsPerSecond: 100, RegistrationBurst: 10})
		time.Sleep(time.Second)
		apply(t, control.NewClient(network, []string{"control-0"}).ApplyBundle, signedBundle("op-1", bundleText(1, "")))
		early := startProcess(t, network, agent(0), []string{"control-0"})
		time.Sleep(time.Second)
		first := early.announcer.Lease()
		client := control.NewClient(network, []string{"control-0"})
		defer client.Close()
		var crowd []*membership.Announcer
		for i := range 1000 {
			self := agent(i + 1)
			a := membership.NewAnnouncer(membership.Options{Control: client, Configuration: early.holder, Self: self})
			crowd = append(crowd, a)
			go a.Run(t.Context())
		}
		registered := func() (n int) {
			for _, a := range crowd {
				if a.Lease() != 0 {
					n++
				}
			}
			return n
		}
		time.Sleep(5 * time.Second)
		half := registered()
		assert.Assert(t, half > 400 && half < 600, "%d registered after 5 s at 100/s", half)
		time.Sleep(7 * time.Second)
		assert.Equal(t, registered(), 1000)
		time.Sleep(20 * time.Second)
		assert.Equal(t, registered(), 1000)
		assert.Equal(t, early.announcer.Lease(), first)
	})
}
