package distribution_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/contract"
	"toucantiller.dev/control/api"
	"toucantiller.dev/distribution"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/failuredomain"
	"toucantiller.dev/instance"
	"toucantiller.dev/link"
	"toucantiller.dev/uptime"
)

// runSynctest runs a test in a synctest bubble. At the end it waits until the probes of
// closed connections have stopped.
func runSynctest(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		t.Cleanup(func() { time.Sleep(10 * time.Second) })
		f(t)
	})
}

// serve serves a service at an address until the test ends.
func serve(t testing.TB, network link.Network, name, addr string, service any) {
	t.Helper()
	server := link.NewServer()
	assert.NilError(t, server.Register(name, service))
	listener, err := network.Listen(addr)
	assert.NilError(t, err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		server.Close()
	})
}

// fakeLeader replaces the control leader: it serves a holder and issues a beacon every
// BeaconInterval.
type fakeLeader struct {
	holder    *distribution.Holder
	network   *link.Memory
	directory *api.Directory
	seq       uint64
	// fullViews counts Subscribe calls that got the whole configuration.
	fullViews atomic.Int64
}

// Subscribe serves the leader's holder, without the limit of MaxFanOut.
func (l *fakeLeader) Subscribe(in *api.Subscribe, out *api.View) error {
	*out = l.holder.Wait(in, nil)
	if out.Config != nil {
		l.fullViews.Add(1)
	}
	return nil
}

func startLeader(t *testing.T, addrs ...string) *fakeLeader {
	t.Helper()
	l := &fakeLeader{holder: distribution.NewHolder(nil), network: link.NewMemory(), directory: &api.Directory{Revision: 1}}
	for _, addr := range addrs {
		serve(t, l.network, "Control", addr, l)
	}
	go func() {
		for t.Context().Err() == nil {
			l.seq++
			beacon := api.Beacon{Revision: l.holder.Revision(), Term: 1, Seq: l.seq}
			_, _ = l.holder.Accept(&api.View{Beacon: beacon}, uptime.Now())
			time.Sleep(distribution.BeaconInterval)
		}
	}()
	return l
}

// publish puts a revision in force at the leader; odd revisions drain lagos-a.
func (l *fakeLeader) publish(t testing.TB, revision uint64) {
	t.Helper()
	_, err := l.holder.Accept(&api.View{Config: config(revision), Directory: l.directory}, uptime.Now())
	assert.NilError(t, err)
}

func config(revision uint64) *contract.Parts {
	state := failuredomain.StateActive
	if revision%2 == 1 {
		state = failuredomain.StateDrained
	}
	return &contract.Parts{
		Revision:   revision,
		ServeStale: time.Minute,
		Domains:    map[failuredomain.ID]failuredomain.Domain{"lagos-a": {ID: "lagos-a", State: state}},
	}
}

// node is a process with a Subscriber and a Service.
type node struct {
	self       instance.Instance
	holder     *distribution.Holder
	subscriber *distribution.Subscriber
	stop       context.CancelFunc
}

// start runs a process with the given addresses of control.
func (l *fakeLeader) start(t *testing.T, id string, control ...string) *node {
	t.Helper()
	n := &node{self: agent(id), holder: distribution.NewHolder(nil)}
	n.subscriber = distribution.NewSubscriber(distribution.SubscriberOptions{Network: l.network, Holder: n.holder, Self: n.self, Control: control})
	serve(t, l.network, distribution.ServiceName, id, distribution.NewService(n.holder))
	ctx, cancel := context.WithCancel(t.Context())
	n.stop = cancel
	t.Cleanup(cancel)
	go n.subscriber.Run(ctx)
	return n
}

func agent(id string) instance.Instance {
	return instance.Instance{ID: instance.ID(id), Role: instance.RoleAgent, Domain: "lagos-a", LinkAddress: id}
}

func directoryOf(revision uint64, ids ...string) *api.Directory {
	d := &api.Directory{Revision: revision}
	for _, id := range ids {
		d.Endpoints = append(d.Endpoints, endpoint.Endpoint{ID: instance.ID(id), Domain: "lagos-a", Address: id + ":dispatch", LinkAddress: id, Incarnation: 1})
	}
	return d
}

func drained(h *distribution.Holder) bool {
	c := h.Config()
	return c != nil && !c.Domains["lagos-a"].AcceptsWork()
}
