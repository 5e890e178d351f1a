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

func startSelfRepairing(t *testing.T) *group {
	t.Helper()
	g := startGroupOf(t, &group{selfRepair: true})
	g.founders = nil
	return g
}

// join starts a replica with an empty folder that asks for its place.
func (g *group) join(t *testing.T, addr string) {
	t.Helper()
	g.joinAs(t, addr, false)
}

func (g *group) joinAs(t *testing.T, addr string, founding bool) {
	t.Helper()
	g.folders[addr] = t.TempDir()
	// The deployment names replicas that run at present.
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

// put sends a document to whichever replica leads.
func (g *group) put(t *testing.T, version uint64) {
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

// newest reads the document from whichever replica leads.
func (g *group) newest(t *testing.T) uint64 {
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

// Guards against a group that needs an operator after a disk was lost, one that loses an
// acknowledged document when a second disk is lost right after the repair, and a replica
// with an empty log that counts towards the quorum.
func TestGroupRepairsLostDisks(t *testing.T) {
	bubble(t, func(t *testing.T) {
		g := startSelfRepairing(t)
		c := control.NewClient(g.network, replicas)
		defer c.Close()
		for version := range uint64(6) {
			g.put(t, version+1)
			lost := replicas[int(version)%len(replicas)]
			g.stop(t, lost)
			g.join(t, lost)
			time.Sleep(4 * time.Second)
			assert.Equal(t, g.newest(t), version+1)
			list := members(t, c)
			assert.Equal(t, len(list), 3)
			for _, m := range list {
				assert.Assert(t, m.Voter, "%s does not vote", m.Address)
			}
		}
	})
}

// Guards against a group that keeps the vote of a replica that is gone for good, and a
// process that cannot find control once all its seeds were replaced.
func TestGroupReplacesAllMembers(t *testing.T) {
	bubble(t, func(t *testing.T) {
		g := startSelfRepairing(t)
		g.put(t, 1)
		gateway := startProcess(t, g.network, instance.Instance{ID: "gateway-0", Role: instance.RoleGateway, Domain: "lagos-a", Incarnation: 1, LinkAddress: "gateway-0"}, replicas)
		time.Sleep(2 * time.Second)
		for i, old := range replicas {
			next := fmt.Sprintf("control-%d", i+3)
			if i%2 == 0 {
				g.stop(t, old)
				g.join(t, next)
			} else { // the new one first
				g.join(t, next)
				time.Sleep(4 * time.Second)
				g.stop(t, old)
			}
			time.Sleep(8 * time.Second)
		}
		g.put(t, 2)
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

// Guards against a heartbeat that is written to the log each time, a late one that brings an
// endpoint back, and an endpoint that stays without heartbeats.
func TestHeartbeats(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newControl(t, link.NewMemory(), control.Options{})
		time.Sleep(time.Second)
		beat := control.Heartbeat{Endpoint: endpoint.Endpoint{ID: "e", Incarnation: 5, Service: "lm", Version: "v1", Domain: "a", Target: "1.2.3.4:5"}, Seq: 1}
		known := func() int {
			time.Sleep(time.Second)
			if d := s.Holder().Directory(); d != nil {
				return len(d.Endpoints)
			}
			return 0
		}
		assert.NilError(t, s.Heartbeat(beat))
		assert.Equal(t, known(), 1)
		revision := s.Holder().Directory().Revision
		for range 20 {
			beat.Seq++
			assert.NilError(t, s.Heartbeat(beat))
			assert.Equal(t, known(), 1)
		}
		assert.Equal(t, s.Holder().Directory().Revision, revision, "a heartbeat without news changed the directory")

		late := beat
		late.Seq = 3
		late.Endpoint.Leaving = true
		assert.NilError(t, s.Heartbeat(late))
		known()
		assert.Assert(t, !s.Holder().Directory().Endpoints[0].Leaving, "a late heartbeat was taken")

		assert.NilError(t, s.EndEndpoint("e", 5))
		assert.Equal(t, known(), 0)
		beat.Seq++
		assert.NilError(t, s.Heartbeat(beat))
		assert.Equal(t, known(), 0, "a late heartbeat brought the endpoint back")

		beat.Endpoint.Incarnation, beat.Seq = 6, 1
		assert.NilError(t, s.Heartbeat(beat))
		assert.Equal(t, known(), 1)
		time.Sleep(12 * time.Second)
		assert.Equal(t, known(), 0, "an endpoint without heartbeats stays")

		var invalid *control.Invalid
		assert.Assert(t, errors.As(s.Heartbeat(control.Heartbeat{}), &invalid))
		assert.Assert(t, errors.As(s.ApplyDocument(&contract.Document{}), &invalid))
	})
}

// Guards against tokens that a replica grants that does not lead or has lost its quorum.
func TestBudgetsComeFromTheLeader(t *testing.T) {
	bubble(t, func(t *testing.T) {
		g := startSelfRepairing(t)
		c := control.NewClient(g.network, replicas)
		defer c.Close()
		_, err := c.DrawBudget(t.Context(), &api.DrawBudget{Account: "mills", Want: 1, Least: 1})
		assert.ErrorContains(t, err, "no token limit")
	})
}

// startGrown returns a group of three founders and three replicas that started with them but
// that the settings do not name.
func startGrown(t *testing.T) (g *group, all []string) {
	t.Helper()
	g = startSelfRepairing(t)
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

// Guards against a group that stays at the three replicas that the settings name, and so
// loses an acknowledged document with two disks, and against one that gives up voters of a
// larger group while they are silent.
func TestGroupGrowsAtFirstStart(t *testing.T) {
	bubble(t, func(t *testing.T) {
		g, all := startGrown(t)
		assert.DeepEqual(t, g.voters(t), all)
		for version := range uint64(3) {
			g.put(t, version+1)
			lost := []string{all[2*version], all[2*version+1]}
			for _, addr := range lost {
				g.stop(t, addr)
			}
			time.Sleep(5 * time.Second)
			assert.Equal(t, g.newest(t), version+1)
			g.start(t, lost[0]) // it was down for longer than a surplus voter may be silent
			g.join(t, lost[1])
			time.Sleep(6 * time.Second)
			assert.Equal(t, g.newest(t), version+1)
			assert.DeepEqual(t, g.voters(t), all)
		}
	})
}

// Guards against a group that grows by each planned replacement, whose dead voters then
// count against its quorum.
func TestGrownGroupKeepsItsSize(t *testing.T) {
	bubble(t, func(t *testing.T) {
		g, all := startGrown(t)
		for i := range 3 {
			g.join(t, fmt.Sprintf("control-%d", i+6)) // the new one first
			time.Sleep(4 * time.Second)
			g.stop(t, all[i])
			time.Sleep(8 * time.Second)
		}
		assert.DeepEqual(t, g.voters(t), []string{"control-3", "control-4", "control-5", "control-6", "control-7", "control-8"})
	})
}

// Guards against a process without a disk that takes part in decisions, sends its callers to
// a leader that is gone, or loses the leader when its seeds are replaced.
func TestRelaySendsCallersToTheLeader(t *testing.T) {
	bubble(t, func(t *testing.T) {
		g := startSelfRepairing(t)
		relay := newControl(t, g.network, control.Options{
			Self:    instance.Instance{ID: "relay-0", Role: instance.RoleControl, LinkAddress: "relay-0"},
			OpenLog: control.RelayLog(control.RelayOptions{Seeds: replicas, Network: g.network, Logger: log.NewNopLogger()}),
		})
		time.Sleep(2 * time.Second)
		c := control.NewClient(g.network, replicas)
		defer c.Close()
		for i, old := range replicas {
			leader := g.leader(t, c)
			var notLeader *control.NotLeader
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
		through := control.NewClient(g.network, []string{"relay-0"})
		defer through.Close()
		assert.Equal(t, g.leader(t, through), g.leader(t, c))
		gateway := startProcess(t, g.network, instance.Instance{ID: "gateway-0", Role: instance.RoleGateway, Domain: "lagos-a", Incarnation: 1, LinkAddress: "gateway-0"}, []string{"relay-0"})
		g.put(t, 2)
		time.Sleep(3 * time.Second)
		assert.Equal(t, gateway.holder.Config().Bundle.Version, uint64(2))
	})
}

// Guards against processes that find no leader after all of them were killed, where the
// settings name only relays since the last exchange of seeds. It ended a played day of
// high load without service.
func TestRelaysFindTheLeaderAfterARestartOfAll(t *testing.T) {
	bubble(t, func(t *testing.T) {
		g := startSelfRepairing(t)
		g.put(t, 1)
		for _, addr := range replicas {
			g.stop(t, addr)
		}
		g.seeds = []string{"relay-0", "relay-1"}
		var relays []*control.Server
		for _, addr := range g.seeds {
			relays = append(relays, newControl(t, g.network, control.Options{
				Self:    instance.Instance{ID: instance.ID(addr), Role: instance.RoleControl, LinkAddress: addr},
				OpenLog: control.RelayLog(control.RelayOptions{Seeds: g.seeds, Network: g.network, Logger: log.NewNopLogger()}),
			}))
		}
		time.Sleep(2 * time.Second)
		for _, addr := range replicas {
			g.start(t, addr)
		}
		time.Sleep(4 * time.Second)
		c := control.NewClient(g.network, g.seeds)
		defer c.Close()
		leader := g.leader(t, c)
		for _, r := range relays {
			assert.Equal(t, r.Leader(), leader)
		}
		// The seeds are exchanged while the replicas run, for a relay that knows nothing.
		g.seeds = []string{"relay-2"}
		late := newControl(t, g.network, control.Options{
			Self:    instance.Instance{ID: "relay-2", Role: instance.RoleControl, LinkAddress: "relay-2"},
			OpenLog: control.RelayLog(control.RelayOptions{Seeds: g.seeds, Network: g.network, Logger: log.NewNopLogger()}),
		})
		time.Sleep(2 * time.Second)
		assert.Equal(t, late.Leader(), leader)
	})
}
