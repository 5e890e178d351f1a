package control_test

import (
	"context"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/control"
	"toucantiller.dev/control/api"
	"toucantiller.dev/link"
)

// replicaLink is the network as one replica sees it. While it is cut, nothing passes in either
// direction.
type replicaLink struct {
	*link.Memory
	address string
	mu      sync.Mutex
	cut     bool
	dialed  []net.Conn
}

func (l *replicaLink) Dial(ctx context.Context, address string) (net.Conn, error) {
	l.mu.Lock()
	cut := l.cut
	l.mu.Unlock()
	if cut {
		return nil, link.ErrRefused
	}
	c, err := l.Memory.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dialed = append(l.dialed, c)
	return c, nil
}

func (l *replicaLink) setCut(cut bool) {
	// Dials fail at once: a client holds a mutex while it dials, and the time of a synctest bubble
	// stands still while another goroutine waits for that mutex.
	l.SetFault(l.address, link.FaultNone)
	if cut {
		l.SetFault(l.address, link.FaultSilence)
		l.SetFault(l.address, link.FaultRefuse)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	for _, c := range l.dialed {
		_ = c.Close()
	}
	l.dialed = nil
}

// Guards against a group that leaves out a frozen voter for good when a replica joins in its
// place, so that it has a voter too few after a planned stop and ends with one more lost disk.
func TestFrozenVoterComesBackAfterItsReplacement(t *testing.T) {
	for i := range replicas {
		runInSynctest(t, func(t *testing.T) {
			g := startSelfRepairingGroup(t)
			frozen, replaced, lost := replicas[i], replicas[(i+1)%3], replicas[(i+2)%3]
			g.applyDocument(t, 1)
			g.links[frozen].setCut(true)
			time.Sleep(2500 * time.Millisecond)
			g.join(t, "control-3")
			time.Sleep(4500 * time.Millisecond)
			g.links[frozen].setCut(false)
			time.Sleep(6 * time.Second)
			g.applyDocument(t, 2)
			g.stop(t, replaced)
			time.Sleep(6 * time.Second)
			g.applyDocument(t, 3)
			g.stop(t, lost)
			time.Sleep(time.Second)
			g.join(t, lost)
			time.Sleep(6 * time.Second)
			assert.Equal(t, g.documentVersion(t), uint64(3))
			want := []string{frozen, lost, "control-3"}
			slices.Sort(want)
			assert.DeepEqual(t, g.voters(t), want)
		})
	}
}

// Guards against a frozen voter that is removed in favour of a replica that cannot be added, so
// that the group ends with one lost disk although the frozen one is back.
func TestUnreachableReplicaTakesNoPlace(t *testing.T) {
	runInSynctest(t, func(t *testing.T) {
		g := startSelfRepairingGroup(t)
		g.applyDocument(t, 1)
		c := control.NewClient(g.network, replicas)
		defer c.Close()
		leader := g.leader(t, c)
		frozen, lost := g.follower(t, c), leader
		g.links[frozen].setCut(true)
		time.Sleep(2 * time.Second)
		asking := link.NewClient(g.network, leader)
		defer asking.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
		defer cancel()
		err := asking.Call(ctx, control.ServiceName+".JoinReplica", &api.JoinReplica{Address: "control-9"}, &api.JoinReply{})
		assert.ErrorContains(t, err, "does not answer")
		g.links[frozen].setCut(false)
		g.stop(t, lost)
		time.Sleep(time.Second)
		g.join(t, lost)
		time.Sleep(6 * time.Second)
		assert.Equal(t, g.documentVersion(t), uint64(1))
		assert.DeepEqual(t, g.voters(t), replicas)
	})
}

// Guards against a replica that joins again with the state of its former identity, so that it
// applies the commands to it once more and issues other leases when it leads.
func TestRejoinedReplicaStartsFromAnEmptyState(t *testing.T) {
	runInSynctest(t, func(t *testing.T) {
		g := startSelfRepairingGroup(t)
		c := control.NewClient(g.network, slices.Concat(replicas, []string{"control-3"}))
		defer c.Close()
		register := func(i int) uint64 {
			r, err := c.Register(t.Context(), &api.Register{Instance: agentInstance(i)})
			assert.NilError(t, err)
			return r.Lease
		}
		for i := range 3 {
			_, err := c.KeepAlive(t.Context(), &api.KeepAlive{Lease: register(i), Leaving: true})
			assert.NilError(t, err)
		}
		frozen := g.follower(t, c)
		g.links[frozen].setCut(true)
		time.Sleep(2 * time.Second)
		g.join(t, "control-3")
		time.Sleep(4 * time.Second)
		g.links[frozen].setCut(false)
		time.Sleep(6 * time.Second)
		for range 20 {
			leader := g.leader(t, c)
			if leader == frozen {
				break
			}
			g.links[leader].setCut(true)
			time.Sleep(2 * time.Second)
			g.links[leader].setCut(false)
			time.Sleep(6 * time.Second)
		}
		assert.Equal(t, g.leader(t, c), frozen)
		assert.Equal(t, register(3), uint64(4))
	})
}
