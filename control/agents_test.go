package control_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	agents "toucantiller.dev/agent"
	"toucantiller.dev/contract"
	"toucantiller.dev/control"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/instance"
	"toucantiller.dev/link"
	"toucantiller.dev/timeline"
)

// announcedEndpoint returns an endpoint whose announcement names an agent of its own.
func announcedEndpoint(id string) endpoint.Endpoint {
	return endpoint.Endpoint{
		ID: endpoint.ID(id), Incarnation: 1, Service: "lm", Version: "v1", Domain: "lagos-a",
		Target: id + ":80", Address: id + ":7", Slots: 2,
	}
}

func hostInstance(id string) instance.Instance {
	return instance.Instance{ID: instance.ID(id), Role: instance.RoleGateway, Incarnation: 1, LinkAddress: id, AgentAddress: id + ":9"}
}

// sendHeartbeats sends a heartbeat of an endpoint every 200 ms until the test ends.
func sendHeartbeats(t *testing.T, s *control.Server, e endpoint.Endpoint) {
	go func() {
		for seq := uint64(1); t.Context().Err() == nil; seq++ {
			_ = s.Heartbeat(control.Heartbeat{Endpoint: e, Seq: seq}) // refused until the leader has opened its term
			time.Sleep(200 * time.Millisecond)
		}
	}()
}

// publishedEndpoint returns an endpoint as it is published to gateways.
func publishedEndpoint(s *control.Server, id string) endpoint.Endpoint {
	if d := s.Holder().Directory(); d != nil {
		for _, e := range d.Endpoints {
			if string(e.ID) == id {
				return e
			}
		}
	}
	return endpoint.Endpoint{}
}

func serveAgent(t *testing.T, network link.Network, address string) (stop func()) {
	a, err := agents.New(agents.Options{
		Endpoint: endpoint.Endpoint{ID: "side", Incarnation: 3}, View: emptyView{}, Network: network,
		Timeline: timeline.NewRecorder("side", nil, 0),
	})
	assert.NilError(t, err)
	l, err := network.Listen(address)
	assert.NilError(t, err)
	server := link.NewHTTPServer(a.Handler())
	go func() { _ = server.Serve(l) }()
	stop = func() { _ = server.Close() }
	t.Cleanup(stop)
	return stop
}

// Guards against endpoints without an agent that are not assigned to a host, agents that are
// not reassigned when their host is lost, gateways that learn an address without an agent for
// a new endpoint, and an agent that starts later beside its endpoint and is not used.
func TestMissingAgentsAreHosted(t *testing.T) {
	runInSynctest(t, func(t *testing.T) {
		network := link.NewMemory()
		s := newControl(t, network, control.Options{})
		sendHeartbeats(t, s, announcedEndpoint("e1"))
		stopAgent := serveAgent(t, network, "e2:7")
		sendHeartbeats(t, s, announcedEndpoint("e2"))
		firstHost := startProcess(t, network, hostInstance("h1"), []string{"control-0"})
		time.Sleep(time.Second)
		assert.Equal(t, publishedEndpoint(s, "e1").Address, "e1:7", "an agent that may still be starting was replaced")
		time.Sleep(time.Second)
		assert.Assert(t, publishedEndpoint(s, "e1").Unattended, "two agents could act at once")
		time.Sleep(5 * time.Second)
		assert.Equal(t, publishedEndpoint(s, "e1").Address, "h1:9/e1:80")
		assert.Equal(t, publishedEndpoint(s, "e2").Address, "e2:7", "a running agent was replaced")

		sendHeartbeats(t, s, announcedEndpoint("e3"))
		for range 15 {
			time.Sleep(100 * time.Millisecond)
			assert.Assert(t, publishedEndpoint(s, "e3").Address != "e3:7", "gateways learn of an agent that does not exist")
		}
		assert.Equal(t, publishedEndpoint(s, "e3").Address, "h1:9/e3:80")

		// The lease of a lost host expires after 8 s; the host may act for some time after that.
		startProcess(t, network, hostInstance("h2"), []string{"control-0"})
		firstHost.cancel()
		time.Sleep(20 * time.Second)
		assert.Equal(t, publishedEndpoint(s, "e1").Address, "h2:9/e1:80")

		serveAgent(t, network, "e1:7")
		time.Sleep(30 * time.Second)
		assert.Equal(t, publishedEndpoint(s, "e1").Address, "e1:7")

		stopAgent()
		time.Sleep(40 * time.Second)
		assert.Equal(t, publishedEndpoint(s, "e2").Address, "h2:9/e2:80")
	})
}

// emptyView is the view of an agent that receives no configuration from control.
type emptyView struct{}

func (emptyView) Config() *contract.Config       { return nil }
func (emptyView) ObserveRevision(uint64, string) {}
