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

// announced is an endpoint that says it has an agent.
func announced(id string) endpoint.Endpoint {
	return endpoint.Endpoint{
		ID: endpoint.ID(id), Incarnation: 1, Service: "lm", Version: "v1", Domain: "lagos-a",
		Target: id + ":80", Address: id + ":7", Slots: 2,
	}
}

func hostProcess(id string) instance.Instance {
	return instance.Instance{ID: instance.ID(id), Role: instance.RoleGateway, Incarnation: 1, LinkAddress: id, AgentAddress: id + ":9"}
}

// beat announces an endpoint from time to time until the test ends.
func beat(t *testing.T, s *control.Server, e endpoint.Endpoint) {
	go func() {
		for seq := uint64(1); t.Context().Err() == nil; seq++ {
			_ = s.Heartbeat(control.Heartbeat{Endpoint: e, Seq: seq}) // refused until the leader stands
			time.Sleep(200 * time.Millisecond)
		}
	}()
}

// attendant returns what gateways learn of an endpoint.
func attendant(s *control.Server, id string) endpoint.Endpoint {
	if d := s.Holder().Directory(); d != nil {
		for _, e := range d.Endpoints {
			if string(e.ID) == id {
				return e
			}
		}
	}
	return endpoint.Endpoint{}
}

func listenAgent(t *testing.T, network link.Network, address string) (stop func()) {
	a, err := agents.New(agents.Options{
		Endpoint: endpoint.Endpoint{ID: "side", Incarnation: 3}, View: noView{}, Network: network,
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

// Guards against endpoints without an agent beside them that nobody serves, a host that is
// lost with the agents it ran, a new endpoint that waits for a change of agents, and an
// agent that appears later and is not used.
func TestMissingAgentsAreHosted(t *testing.T) {
	bubble(t, func(t *testing.T) {
		network := link.NewMemory()
		s := newControl(t, network, control.Options{})
		beat(t, s, announced("e1"))
		stopAgent := listenAgent(t, network, "e2:7")
		beat(t, s, announced("e2"))
		one := startProcess(t, network, hostProcess("h1"), []string{"control-0"})
		time.Sleep(time.Second)
		assert.Equal(t, attendant(s, "e1").Address, "e1:7", "an agent that may be starting is passed over")
		time.Sleep(time.Second)
		assert.Assert(t, attendant(s, "e1").Unattended, "two agents could act at once")
		time.Sleep(5 * time.Second)
		assert.Equal(t, attendant(s, "e1").Address, "h1:9/e1:80")
		assert.Equal(t, attendant(s, "e2").Address, "e2:7", "an agent that is there is passed over")

		beat(t, s, announced("e3"))
		for range 15 {
			time.Sleep(100 * time.Millisecond)
			assert.Assert(t, attendant(s, "e3").Address != "e3:7", "gateways learn of an agent that does not exist")
		}
		assert.Equal(t, attendant(s, "e3").Address, "h1:9/e3:80")

		// The lease of a process that is cut off ends after 8 s; it may act for a while then.
		startProcess(t, network, hostProcess("h2"), []string{"control-0"})
		one.cancel()
		time.Sleep(20 * time.Second)
		assert.Equal(t, attendant(s, "e1").Address, "h2:9/e1:80")

		listenAgent(t, network, "e1:7")
		time.Sleep(30 * time.Second)
		assert.Equal(t, attendant(s, "e1").Address, "e1:7")

		stopAgent()
		time.Sleep(40 * time.Second)
		assert.Equal(t, attendant(s, "e2").Address, "h2:9/e2:80")
	})
}

// noView is what an agent knows that does not follow control.
type noView struct{}

func (noView) Config() *contract.Config { return nil }
func (noView) Saw(uint64, string)       {}
