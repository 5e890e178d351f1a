package control_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/control"
	"toucantiller.dev/control/api"
	"toucantiller.dev/dispatch"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/link"
	"toucantiller.dev/membership"
)

// Guards against an accepted drain that does not reach a process, and one that is reported in
// force before every process has confirmed it.
func TestDrainReachesEveryProcess(t *testing.T) {
	runInSynctest(t, func(t *testing.T) {
		network := link.NewMemory()
		newControl(t, network, control.Options{})
		time.Sleep(time.Second)
		client := control.NewClient(network, []string{"control-0"})
		defer client.Close()
		apply(t, client.ApplyBundle, signedBundle("op-1", bundleText(1, "")))
		var all []*process
		for i := range 4 {
			all = append(all, startProcess(t, network, agentInstance(i), []string{"control-0"}))
		}
		time.Sleep(3 * time.Second)
		reply := apply(t, client.SetDomain, signedDrain("op-2", "lagos-a"))
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

// Guards against a leader change that ends the leases of running processes, reverts the
// revision, loses a change or gives a resent change another outcome.
func TestLeaderChangeKeepsEverything(t *testing.T) {
	runInSynctest(t, func(t *testing.T) {
		g := startGroup(t, nil)
		client := control.NewClient(g.network, replicas)
		defer client.Close()
		apply(t, client.ApplyBundle, signedBundle("op-1", bundleText(1, "")))
		var all []*process
		for i := range 4 {
			all = append(all, startProcess(t, g.network, agentInstance(i), replicas))
		}
		time.Sleep(3 * time.Second)
		change := signedDrain("op-2", "lagos-a")
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

// Guards against a leader without a quorum that still serves the configuration, lets processes
// consider their configuration fresh, or accepts a change.
func TestLeaderWithoutQuorumServesNothing(t *testing.T) {
	runInSynctest(t, func(t *testing.T) {
		g := startGroup(t, nil)
		client := control.NewClient(g.network, replicas)
		defer client.Close()
		apply(t, client.ApplyBundle, signedBundle("op-1", bundleText(1, "")))
		p := startProcess(t, g.network, agentInstance(0), replicas)
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
		_, err = client.SetDomain(t.Context(), signedDrain("op-2", "lagos-a"))
		assert.ErrorContains(t, err, "call Control.SetDomain")
	})
}

// Guards against reporting a revision in force while a silent process may still accept work
// with an older one, and against a process that deregistered delaying the report.
func TestSilentProcessHoldsUpInForce(t *testing.T) {
	runInSynctest(t, func(t *testing.T) {
		network := link.NewMemory()
		newControl(t, network, control.Options{})
		time.Sleep(time.Second)
		c := control.NewClient(network, []string{"control-0"})
		defer c.Close()
		apply(t, c.ApplyBundle, signedBundle("op-1", bundleText(1, "serve_stale: 2m\n")))
		silent := startProcess(t, network, agentInstance(0), []string{"control-0"})
		leaving := startProcess(t, network, agentInstance(1), []string{"control-0"})
		time.Sleep(3 * time.Second)
		silent.cancel()
		assert.NilError(t, leaving.announcer.Leave(t.Context()))
		apply(t, c.SetDomain, signedDrain("op-2", "lagos-a"))
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

// Guards against a thousand agents that register at once flooding the log, starving each other
// or making registered agents lose their leases.
func TestMassRegistrationIsRateLimited(t *testing.T) {
	runInSynctest(t, func(t *testing.T) {
		network := link.NewMemory()
		newControl(t, network, control.Options{RegistrationsPerSecond: 100, RegistrationBurst: 10})
		time.Sleep(time.Second)
		apply(t, control.NewClient(network, []string{"control-0"}).ApplyBundle, signedBundle("op-1", bundleText(1, "")))
		early := startProcess(t, network, agentInstance(0), []string{"control-0"})
		time.Sleep(time.Second)
		first := early.announcer.Lease()
		client := control.NewClient(network, []string{"control-0"})
		defer client.Close()
		var announcers []*membership.Announcer
		for i := range 1000 {
			self := agentInstance(i + 1)
			a := membership.NewAnnouncer(membership.Options{Control: client, Configuration: early.holder, Self: self})
			announcers = append(announcers, a)
			go a.Run(t.Context())
		}
		registered := func() (n int) {
			for _, a := range announcers {
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

// Guards against a claim whose answer is too large for the log being sent again and
// again until the call times out.
func TestTooLargeAnswerIsRefusedAtOnce(t *testing.T) {
	runInSynctest(t, func(t *testing.T) {
		g := startGroup(t, nil)
		c := control.NewClient(g.network, replicas)
		defer c.Close()
		start := time.Now()
		answer := &dispatch.StoredAnswer{Body: make([]byte, 5<<20)}
		err := c.CompleteClaim(t.Context(), &api.CompleteClaim{Account: "mill", Key: "k", State: api.ClaimDone, Answer: answer})
		assert.ErrorContains(t, err, control.ErrTooLarge.Error())
		assert.Assert(t, time.Since(start) < time.Second)
	})
}

// Guards against an endpoint that stays in the directory forever because its process died
// before the leader learned that the registration had been committed.
func TestRegistrationWithLostOutcomeExpires(t *testing.T) {
	runInSynctest(t, func(t *testing.T) {
		network := link.NewMemory()
		log := &faultyLog{}
		newControl(t, network, control.Options{OpenLog: log.open("control-0")})
		time.Sleep(time.Second)
		c := control.NewClient(network, []string{"control-0"})
		defer c.Close()
		endpoints := func() int {
			status, err := c.Status(t.Context())
			assert.NilError(t, err)
			return len(status.Endpoints)
		}
		log.loseOutcome.Store(true)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		self := agentInstance(0)
		_, err := c.Register(ctx, &api.Register{Instance: self, Endpoint: &endpoint.Endpoint{ID: self.ID}})
		assert.ErrorContains(t, err, "outcome unknown")
		log.loseOutcome.Store(false)
		assert.Equal(t, endpoints(), 1)
		time.Sleep(30 * time.Second)
		assert.Equal(t, endpoints(), 0)
	})
}

// Guards against a replica that issues beacons or serves views after it lost its quorum and
// before it has noticed.
func TestNoBeaconWithoutConfirmedQuorum(t *testing.T) {
	runInSynctest(t, func(t *testing.T) {
		network := link.NewMemory()
		log := &faultyLog{}
		newControl(t, network, control.Options{OpenLog: log.open("control-0")})
		time.Sleep(time.Second)
		c := control.NewClient(network, []string{"control-0"})
		defer c.Close()
		apply(t, c.ApplyBundle, signedBundle("op-1", bundleText(1, "")))
		p := startProcess(t, network, agentInstance(0), []string{"control-0"})
		time.Sleep(2 * time.Second)
		assert.Assert(t, p.holder.UnprovenAllowed(time.Now()))
		log.quorumLost.Store(true)
		time.Sleep(3 * time.Second)
		assert.Assert(t, !p.holder.UnprovenAllowed(time.Now()))
		_, err := c.Subscribe(t.Context(), &api.Subscribe{})
		assert.ErrorContains(t, err, "quorum is not confirmed")
		log.quorumLost.Store(false)
		time.Sleep(3 * time.Second)
		assert.Assert(t, p.holder.UnprovenAllowed(time.Now()))
	})
}

// Guards against a restart of all replicas that reverts the configuration, loses a claim or
// ends the leases of running processes.
func TestRestartOfAllReplicasKeepsState(t *testing.T) {
	runInSynctest(t, func(t *testing.T) {
		g := startGroup(t, nil)
		c := control.NewClient(g.network, replicas)
		defer c.Close()
		apply(t, c.ApplyBundle, signedBundle("op-1", bundleText(1, "")))
		p := startProcess(t, g.network, agentInstance(0), replicas)
		time.Sleep(3 * time.Second)
		first := p.announcer.Lease()
		drained := apply(t, c.SetDomain, signedDrain("op-2", "lagos-a"))
		claim := &api.Claim{Account: "mill", Key: "k", TTL: time.Hour, Owner: "agent-0", Dispatch: dispatch.ID{Request: "r1", Gateway: 1}}
		reply, err := c.Claim(t.Context(), claim)
		assert.NilError(t, err)
		assert.Equal(t, reply.State, api.ClaimGranted)
		for _, addr := range replicas {
			g.stop(t, addr)
		}
		time.Sleep(30 * time.Second)
		assert.Assert(t, !p.holder.UnprovenAllowed(time.Now()))
		for _, addr := range replicas {
			g.start(t, addr)
		}
		time.Sleep(10 * time.Second)
		status, err := c.Status(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, status.Revision, drained.Revision)
		assert.Assert(t, status.InForce)
		assert.Equal(t, p.announcer.Lease(), first)
		assert.Assert(t, p.holder.UnprovenAllowed(time.Now()))
		claim.Dispatch.Request = "r2"
		reply, err = c.Claim(t.Context(), claim)
		assert.NilError(t, err)
		assert.Equal(t, reply.State, api.ClaimRunning)
		assert.Assert(t, reply.OwnerAlive)
	})
}

// Guards against claims batched into one command being answered before its commit, answered
// with each other's replies, granted twice for one key (P8), or refused because another step
// of the batch is too large for the log.
func TestClaimsShareCommands(t *testing.T) {
	runInSynctest(t, func(t *testing.T) {
		const keys, callers = 50, 3
		var commands, bytes atomic.Int64
		block := make(chan struct{}, 1)
		network := link.NewMemory()
		newControl(t, network, control.Options{OpenLog: func(sm control.StateMachine, server *link.Server) (control.Log, error) {
			l, err := control.MemoryLog("control-0")(sm, server)
			return countingLog{l, &commands, &bytes, block}, err
		}})
		c := control.NewClient(network, []string{"control-0"})
		defer c.Close()
		time.Sleep(time.Second)
		block <- struct{}{}
		commands.Store(0)
		type outcome struct {
			claim *api.Claim
			reply *api.ClaimReply
		}
		outcomes := make(chan outcome, keys*callers)
		for i := range keys * callers {
			key := fmt.Sprint(i % keys)
			claim := &api.Claim{Account: "mill", Key: key, TTL: time.Hour, Dispatch: dispatch.ID{Request: key, Attempt: i}}
			go func() {
				reply, err := c.Claim(t.Context(), claim)
				assert.Check(t, err)
				outcomes <- outcome{claim, reply}
			}()
		}
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, len(outcomes), 0, "a claim was answered before its commit")
		<-block
		granted := map[string]dispatch.ID{}
		var all []outcome
		for range keys * callers {
			o := <-outcomes
			all = append(all, o)
			if o.reply.State == api.ClaimGranted {
				assert.Equal(t, o.reply.Dispatch, o.claim.Dispatch)
				_, twice := granted[o.claim.Key]
				assert.Assert(t, !twice, "key %s was granted twice", o.claim.Key)
				granted[o.claim.Key] = o.claim.Dispatch
			}
		}
		assert.Equal(t, len(granted), keys)
		for _, o := range all {
			assert.Equal(t, o.reply.Dispatch, granted[o.claim.Key])
		}
		assert.Assert(t, commands.Load() < 20, "%d commands", commands.Load())

		block <- struct{}{}
		results := make(chan error, 20)
		for i := range cap(results) {
			time.Sleep(time.Millisecond) // the large step comes last, when maxClaimBatches commands are in flight
			go func() {
				step := &api.CompleteClaim{Answer: &dispatch.StoredAnswer{Body: make([]byte, i/19*5<<20)}}
				results <- c.CompleteClaim(t.Context(), step)
			}()
		}
		time.Sleep(100 * time.Millisecond)
		<-block
		refused := 0
		for range cap(results) {
			if err := <-results; err != nil {
				assert.ErrorContains(t, err, control.ErrTooLarge.Error())
				refused++
			}
		}
		assert.Equal(t, refused, 1)
	})
}
