// Package endpoint describes endpoints: a model engine or a plain service
// behind one agent.
package endpoint

import (
	"strings"
	"time"

	"toucantiller.dev/failuredomain"
	"toucantiller.dev/instance"
)

// ID names an endpoint; it is the instance ID of its agent.
type ID = instance.ID

// Endpoint is what an agent announces.
type Endpoint struct {
	ID          ID                   `msgpack:"id" json:"id"`
	Incarnation instance.Incarnation `msgpack:"incarnation" json:"incarnation"`
	Service     string               `msgpack:"service" json:"service"`
	Version     string               `msgpack:"version" json:"version"`
	Domain      failuredomain.ID     `msgpack:"domain" json:"domain"`
	// Address is where the agent takes dispatches: "ip:port", or as HostedAddress returns it.
	// It is empty for an endpoint without an agent, which gateways call at Target.
	Address string `msgpack:"address" json:"address"`
	// LinkAddress is where the agent serves net/rpc, as "ip:port".
	LinkAddress string `msgpack:"link_address" json:"link_address"`
	// AdminAddress is the agent's admin listener, as "ip:port".
	AdminAddress string `msgpack:"admin_address" json:"admin_address"`
	// Leaving is set once the agent has begun to drain.
	Leaving bool `msgpack:"leaving" json:"leaving"`
	// Target is the address of the endpoint itself, as "ip:port". It is set for endpoints
	// that announce themselves; ID and Incarnation are then the endpoint's and not those of
	// its agent.
	Target string `msgpack:"target" json:"target,omitempty"`
	// Cold is set while the endpoint says that it is cold after its start.
	Cold bool `msgpack:"cold" json:"cold,omitempty"`
	// Slots is the number of requests that the endpoint runs at once; 0 means not known.
	Slots int `msgpack:"slots" json:"slots,omitempty"`
	// Unattended is set while the endpoint needs an agent and none may act for it. It gets no
	// work then.
	Unattended bool `msgpack:"unattended,omitempty" json:"unattended,omitempty"`
}

// SelfAnnounced reports whether the endpoint announces itself to control.
func (e *Endpoint) SelfAnnounced() bool { return e.Target != "" }

// Watched reports whether gateways follow the load of the endpoint's agent: it announces
// itself, so its agent does not register, and it has an agent.
func (e *Endpoint) Watched() bool { return e.SelfAnnounced() && e.Address != "" }

// HostedAddress returns the address of the agent that another process, with the agent
// address host, runs for the endpoint at target: "ip:port/target".
func HostedAddress(host, target string) string { return host + "/" + target }

// SplitAddress splits the address of an agent into where it is dialled, as "ip:port", and
// the path before those of its interface: "/target" for a hosted agent, else empty.
func SplitAddress(address string) (dial, path string) {
	dial, target, hosted := strings.Cut(address, "/")
	if !hosted {
		return address, ""
	}
	return dial, "/" + target
}

// Load is an agent's report on its endpoint. It travels on dispatch frames.
type Load struct {
	// Each agent reports to each gateway, so names of fields would be most of the bytes.
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

	// Limit is the number of requests the endpoint can bear at present.
	Limit int `msgpack:"limit" json:"limit"`
	// Running and Queued count requests in the engine and in the agent's queue.
	Running int `msgpack:"running" json:"running"`
	Queued  int `msgpack:"queued" json:"queued"`
	// QueuedTokens is the prompt tokens waiting in the queue.
	QueuedTokens int `msgpack:"queued_tokens" json:"queued_tokens"`
	// RunningTokens is the prompt and answer tokens of running requests.
	RunningTokens int `msgpack:"running_tokens" json:"running_tokens"`
	// PrefillRate and DecodeRate are learned speeds in tokens per second; 0 means
	// not known yet.
	PrefillRate float64 `msgpack:"prefill_rate" json:"prefill_rate"`
	DecodeRate  float64 `msgpack:"decode_rate" json:"decode_rate"`
	// SpeedAge is the time from the last answer that began or ended to the report.
	SpeedAge time.Duration `msgpack:"speed_age,omitempty" json:"speed_age,omitempty"`
	// Floor is the admission floor: tiers with a rank above it are refused.
	// A negative value means no floor.
	Floor int `msgpack:"floor" json:"floor"`
	// Exact is set where Limit is what the endpoint is known to run at once. Requests beyond
	// it wait better at gateways, which place each at the first endpoint with room.
	Exact bool `msgpack:"exact,omitempty" json:"exact,omitempty"`
	// Full is set while the endpoint can take nothing more for another reason than its limit.
	Full bool `msgpack:"full,omitempty" json:"full,omitempty"`
	// Cold is set while the agent ramps its limit.
	Cold bool `msgpack:"cold" json:"cold"`
	// Leaving is set once the agent has begun to drain.
	Leaving bool `msgpack:"leaving" json:"leaving"`
	// Age is how old the report was when it was sent.
	Age time.Duration `msgpack:"age" json:"age"`
}
