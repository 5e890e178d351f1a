package state

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/control/api"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/instance"
)

// Guards against a lost host that is treated like one that left while it may still act: its
// agents would be given to another process at once.
func TestLostHostIsRemembered(t *testing.T) {
	s := New()
	at := time.Unix(1000, 0).UTC()
	host := instance.Instance{ID: "h", Incarnation: 1, AgentAddress: "h:9"}
	r := s.apply(&Command{At: at, Register: &api.Register{Instance: host}})
	e := &endpoint.Endpoint{ID: "e", Incarnation: 1, Service: "lm", Target: "e:80", Address: "e:7"}
	s.apply(&Command{At: at, Register: &api.Register{Instance: instance.Instance{ID: "e", Incarnation: 1}, Endpoint: e}})
	s.apply(&Command{At: at, SetHostings: &SetHostings{Hostings: map[string]Hosting{"e:80": {Host: "h"}}}})
	assert.Equal(t, s.Directory().Endpoints[0].Address, "h:9/e:80")
	s.apply(&Command{At: at, EndLeases: &EndLeases{Leases: []EndLease{{Lease: r.Register.Lease}}}})
	assert.Assert(t, s.Directory().Endpoints[0].Unattended)
	s.apply(&Command{At: at.Add(s.ServeStale() + time.Second), Maintain: &Maintain{}})
	_, lost := s.LostSince("h")
	assert.Assert(t, lost)
	s.apply(&Command{At: at.Add(time.Minute), Maintain: &Maintain{}})
	_, lost = s.LostSince("h")
	assert.Assert(t, !lost)
	s.apply(&Command{At: at, EndEndpoint: &EndEndpoint{ID: "e"}})
	s.apply(&Command{At: at, Maintain: &Maintain{}})
	assert.Equal(t, len(s.data.Hostings), 0)
}
