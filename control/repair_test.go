package control_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"toucantiller.dev/contract"
	"toucantiller.dev/control"
	"toucantiller.dev/control/api"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/instance"
	"toucantiller.dev/link"
)

func startSelfRepairingGroup(t *testing.T) *group {
	t.Helper()
	g := startGroupWith(t, &group{selfRepair: true})
	g.founders = nil
	return g
}

// join starts a replica with an empty data folder that asks to join the group.
func (g *group) join(t *testing.T, addr string) {
	t.Helper()
	g.joinAs(t, addr, false)
}

func (g *group) joinAs(t *testing.T, addr string, founding bool) {
	t.Helper()
	g.folders[addr] = t.TempDir()
	// The seeds are the replicas that are running.
	seeds := slices.Sorted(maps.Keys(g.servers))
	g.start(t, addr)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go g.servers[addr].Join(ctx, seeds, founding)
}

func document(version uint64) *contract.Document {
	return &contract.Document{
		Version: version, Content: fmt.Appendf(nil, "document %d", version), Services: []*contract.Service{{Name: "lm"}},
	}
}

// applyDocument sends a document to whichever replica leads.
func (g *group) applyDocument(t *testing.T, version uint64) {
	t.Helper()
	for range 100 {
		for _, s := range g.servers {
			if s.ApplyDocument(document(version)) == nil {
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatalf("document %d was not accepted", version)
}

// documentVersion reads the document's version from whichever replica leads.
func (g *group) documentVersion(t *testing.T) uint64 {
	t.Helper()
	for range 100 {
		for _, s := range g.servers {
			if d, err := s.Document(t.Context()); err == nil && d != nil {
				return d.Version
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatal("no replica could read the document")
	return 0
}

// Guards against a group that needs an operator after the loss of a disk, one that loses an
// acknowledged document when a second disk is lost right after the repair, and a replica
// with an empty log that counts towards the quorum.
func TestGroupRepairsLostDisks(t *testing.T) {
	runInSynctest(t, func(t *testing.T) {
		g := startSelfRepairingGroup(t)
		c := control.NewClient(g.network, replicas)
		defer c.Close()
		for version := range uint64(6) {
			g.applyDocument(t, version+1)
			lost := replicas[int(version)%len(replicas)]
			g.stop(t, lost)
			g.join(t, lost)
			time.Sleep(4 * time.Second)
			assert.Equal(t, g.documentVersion(t), version+1)
			list := members(t, c)
			assert.Equal(t, len(list), 3)
			for _, m := range list {
				assert.Assert(t, m.Voter, "%s does not vote", m.Address)
			}
		}
	})
}

// Guards against a group that keeps a permanently lost replica as a voter, and a process that
// cannot find control after all its seeds were replaced.
func TestGroupReplacesAllMembers(t *testing.T) {
	runInSynctest(t, func(t *testing.T) {
		g := startSelfRepairingGroup(t)
		g.applyDocument(t, 1)
		gateway := startProcess(t, g.network, instance.Instance{ID: "gateway-0", Role: instance.RoleGateway, Domain: "lagos-a", Incarnation: 1, LinkAddress: "gateway-0"}, replicas)
		time.Sleep(2 * time.Second)
		for i, old := range replicas {
			next := fmt.Sprintf("control-%d", i+3)
			if i%2 == 0 {
				g.stop(t, old)
				g.join(t, next)
			} else { // add the new replica before the old one stops
				g.join(t, next)
				time.Sleep(4 * time.Second)
				g.stop(t, old)
			}
			time.Sleep(8 * time.Second)
		}
		g.applyDocument(t, 2)
		time.Sleep(8 * time.Second)
		assert.Equal(t, gateway.holder.Config().Bundle.Version, uint64(2))
		c := control.NewClient(g.network, []string{"control-3", "control-4", "control-5"})
		defer c.Close()
		var addresses []string
		for _, m := range members(t, c) {
			addresses = append(addresses, m.Address)
		}
		slices.Sort(addresses)
		assert.DeepEqual(t, addresses, []string{"control-3", "control-4", "control-5"})
	})
}

// Guards against writing unchanged heartbeats to the log, a late heartbeat that registers an
// ended endpoint again, and an endpoint that stays registered without heartbeats.
func TestHeartbeats(t *testing.T) {
	runInSynctest(t, func(t *testing.T) {
		s := newControl(t, link.NewMemory(), control.Options{})
		time.Sleep(time.Second)
		heartbeat := control.Heartbeat{Endpoint: endpoint.Endpoint{ID: "e", Incarnation: 5, Service: "lm", Version: "v1", Domain: "a", Target: "1.2.3.4:5"}, Seq: 1}
		countEndpoints := func() int {
			time.Sleep(time.Second)
			if d := s.Holder().Directory(); d != nil {
				return len(d.Endpoints)
			}
			return 0
		}
		assert.NilError(t, s.Heartbeat(heartbeat))
		assert.Equal(t, countEndpoints(), 1)
		revision := s.Holder().Directory().Revision
		for range 20 {
			heartbeat.Seq++
			assert.NilError(t, s.Heartbeat(heartbeat))
			assert.Equal(t, countEndpoints(), 1)
		}
		assert.Equal(t, s.Holder().Directory().Revision, revision, "an unchanged heartbeat changed the directory")

		late := heartbeat
		late.Seq = 3
		late.Endpoint.Leaving = true
		assert.NilError(t, s.Heartbeat(late))
		countEndpoints()
		assert.Assert(t, !s.Holder().Directory().Endpoints[0].Leaving, "a late heartbeat was applied")

		assert.NilError(t, s.EndEndpoint("e", 5))
		assert.Equal(t, countEndpoints(), 0)
		heartbeat.Seq++
		assert.NilError(t, s.Heartbeat(heartbeat))
		assert.Equal(t, countEndpoints(), 0, "a late heartbeat registered the ended endpoint")

		heartbeat.Endpoint.Incarnation, heartbeat.Seq = 6, 1
		assert.NilError(t, s.Heartbeat(heartbeat))
		assert.Equal(t, countEndpoints(), 1)
		time.Sleep(12 * time.Second)
		assert.Equal(t, countEndpoints(), 0, "an endpoint without heartbeats stays registered")

		var invalid *control.InvalidOrderError
		assert.Assert(t, errors.As(s.Heartbeat(control.Heartbeat{}), &invalid))
		assert.Assert(t, errors.As(s.ApplyDocument(&contract.Document{}), &invalid))
	})
}

// Guards against tokens granted by a replica that does not lead or has lost its quorum.
func TestBudgetsComeFromTheLeader(t *testing.T) {
	runInSynctest(t, func(t *testing.T) {
		g := startSelfRepairingGroup(t)
		c := control.NewClient(g.network, replicas)
		defer c.Close()
		_, err := c.DrawBudget(t.Context(), &api.DrawBudget{Account: "mills", Want: 1, Least: 1})
		assert.ErrorContains(t, err, "no token limit")
	})
}

// startEnlargedGroup returns a group of three founders and three replicas that joined as
// founding replicas although the settings do not name them.
func startEnlargedGroup(t *testing.T) (g *group, all []string) {
	t.Helper()
	g = startSelfRepairingGroup(t)
	all = slices.Concat(replicas, []string{"control-3", "control-4", "control-5"})
	for _, addr := range all[3:] {
		g.joinAs(t, addr, true)
	}
	time.Sleep(4 * time.Second)
	return g, all
}

func (g *group) voters(t *testing.T) []string {
	t.Helper()
	c := control.NewClient(g.network, slices.Sorted(maps.Keys(g.servers)))
	defer c.Close()
	var out []string
	for _, m := range members(t, c) {
		if m.Voter {
			out = append(out, m.Address)
		}
	}
	slices.Sort(out)
	return out
}

// Guards against a group that keeps only the three replicas named in the settings, and so
// loses an acknowledged document with two disks, and against removing silent voters while the
// group is not larger than its target size.
func TestGroupGrowsAtFirstStart(t *testing.T) {
	runInSynctest(t, func(t *testing.T) {
		g, all := startEnlargedGroup(t)
		assert.DeepEqual(t, g.voters(t), all)
		for version := range uint64(3) {
			g.applyDocument(t, version+1)
			lost := []string{all[2*version], all[2*version+1]}
			for _, addr := range lost {
				g.stop(t, addr)
			}
			time.Sleep(5 * time.Second)
			assert.Equal(t, g.documentVersion(t), version+1)
			g.start(t, lost[0]) // it was down for longer than surplusVoterTimeout
			g.join(t, lost[1])
			time.Sleep(6 * time.Second)
			assert.Equal(t, g.documentVersion(t), version+1)
			assert.DeepEqual(t, g.voters(t), all)
		}
	})
}

// Guards against a group that grows with each planned replacement, so that the stopped voters
// count in the quorum.
func TestGrownGroupKeepsItsSize(t *testing.T) {
	runInSynctest(t, func(t *testing.T) {
		g, all := startEnlargedGroup(t)
		for i := range 3 {
			g.join(t, fmt.Sprintf("control-%d", i+6)) // add the new replica before the old one stops
			time.Sleep(4 * time.Second)
			g.stop(t, all[i])
			time.Sleep(8 * time.Second)
		}
		assert.DeepEqual(t, g.voters(t), []string{"control-3", "control-4", "control-5", "control-6", "control-7", "control-8"})
	})
}

// Guards against a relay that accepts changes, redirects its callers to a lost leader, or no
// longer finds the leader after its seeds were replaced.
func TestRelaySendsCallersToTheLeader(t *testing.T) {
	runInSynctest(t, func(t *testing.T) {
		g := startSelfRepairingGroup(t)
		relay := newControl(t, g.network, control.Options{
			Self:    instance.Instance{ID: "relay-0", Role: instance.RoleControl, LinkAddress: "relay-0"},
			OpenLog: control.RelayLog(control.RelayOptions{Seeds: replicas, Network: g.network, Logger: log.NewNopLogger()}),
		})
		time.Sleep(2 * time.Second)
		c := control.NewClient(g.network, replicas)
		defer c.Close()
		for i, old := range replicas {
			leader := g.leader(t, c)
			var notLeader *control.NotLeaderError
			assert.Assert(t, errors.As(relay.ApplyDocument(document(1)), &notLeader))
			assert.Equal(t, notLeader.Leader, leader)
			assert.Equal(t, relay.Leader(), leader)
			g.join(t, fmt.Sprintf("control-%d", i+3))
			time.Sleep(4 * time.Second)
			g.stop(t, old)
			time.Sleep(8 * time.Second)
			c.SetAddresses(slices.Sorted(maps.Keys(g.servers)))
		}
		assert.Equal(t, len(g.voters(t)), 3)
		// A process whose seeds are relays finds control.
		relayClient := control.NewClient(g.network, []string{"relay-0"})
		defer relayClient.Close()
		assert.Equal(t, g.leader(t, relayClient), g.leader(t, c))
		gateway := startProcess(t, g.network, instance.Instance{ID: "gateway-0", Role: instance.RoleGateway, Domain: "lagos-a", Incarnation: 1, LinkAddress: "gateway-0"}, []string{"relay-0"})
		g.applyDocument(t, 2)
		time.Sleep(3 * time.Second)
		assert.Equal(t, gateway.holder.Config().Bundle.Version, uint64(2))
	})
}

// Guards against processes that find no leader after a restart of all processes when the
// settings name only relays, because the seeds were replaced earlier. The deployment then
// stays without service.
func TestRelaysFindTheLeaderAfterARestartOfAll(t *testing.T) {
	runInSynctest(t, func(t *testing.T) {
		g := startSelfRepairingGroup(t)
		g.applyDocument(t, 1)
		for _, addr := range replicas {
			g.stop(t, addr)
		}
		seeds := []string{"relay-0", "relay-1"}
		g.seeds.Store(&seeds)
		var relays []*control.Server
		for _, addr := range seeds {
			relays = append(relays, newControl(t, g.network, control.Options{
				Self:    instance.Instance{ID: instance.ID(addr), Role: instance.RoleControl, LinkAddress: addr},
				OpenLog: control.RelayLog(control.RelayOptions{Seeds: seeds, Network: g.network, Logger: log.NewNopLogger()}),
			}))
		}
		time.Sleep(2 * time.Second)
		for _, addr := range replicas {
			g.start(t, addr)
		}
		time.Sleep(4 * time.Second)
		c := control.NewClient(g.network, seeds)
		defer c.Close()
		leader := g.leader(t, c)
		for _, r := range relays {
			assert.Equal(t, r.Leader(), leader)
		}
		// The seeds are replaced, while the replicas run, by a relay that knows no replica.
		replaced := []string{"relay-2"}
		g.seeds.Store(&replaced)
		late := newControl(t, g.network, control.Options{
			Self:    instance.Instance{ID: "relay-2", Role: instance.RoleControl, LinkAddress: "relay-2"},
			OpenLog: control.RelayLog(control.RelayOptions{Seeds: replaced, Network: g.network, Logger: log.NewNopLogger()}),
		})
		time.Sleep(2 * time.Second)
		assert.Equal(t, late.Leader(), leader)
	})
}
