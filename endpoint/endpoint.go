// Package endpoint describes endpoints, which are model engines or plain services, each
// behind one agent.
package endpoint

import (
	"strings"
	"time"

	"toucantiller.dev/failuredomain"
	"toucantiller.dev/instance"
)

// ID names an endpoint; it is the instance ID of its agent, unless the endpoint announces
// itself to control.
type ID = instance.ID

// Endpoint is the announcement of an endpoint to control, made by its agent or by itself.
type Endpoint struct {
	ID          ID                   `msgpack:"id" json:"id"`
	Incarnation instance.Incarnation `msgpack:"incarnation" json:"incarnation"`
	Service     string               `msgpack:"service" json:"service"`
	Version     string               `msgpack:"version" json:"version"`
	Domain      failuredomain.ID     `msgpack:"domain" json:"domain"`
	// Address is where the agent accepts dispatches: "ip:port", or a result of HostedAddress.
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
	// Cold is set while the endpoint reports a cold start.
	Cold bool `msgpack:"cold" json:"cold,omitempty"`
	// Slots is the number of requests that the endpoint runs at once; 0 means not known.
	Slots int `msgpack:"slots" json:"slots,omitempty"`
	// Unattended is set while the endpoint needs an agent and no agent may act for it. It gets
	// no work during that time.
	Unattended bool `msgpack:"unattended,omitempty" json:"unattended,omitempty"`
}

// SelfAnnounced reports whether the endpoint announces itself to control.
func (e *Endpoint) SelfAnnounced() bool { return e.Target != "" }

// Watched reports whether gateways subscribe to the load of the endpoint's agent. They do so
// for a self-announced endpoint with an agent, because that agent does not register.
func (e *Endpoint) Watched() bool { return e.SelfAnnounced() && e.Address != "" }

// HostedAddress returns the address of an agent that another process runs for the endpoint
// at target: "host/target", where host is the process's agent address, as "ip:port".
func HostedAddress(host, target string) string { return host + "/" + target }

// SplitAddress splits the address of an agent into the address to dial, as "ip:port", and
// the path prefix of its interface: "/target" for a hosted agent, otherwise empty.
func SplitAddress(address string) (dial, path string) {
	dial, target, hosted := strings.Cut(address, "/")
	if !hosted {
		return address, ""
	}
	return dial, "/" + target
}

// Load is an agent's report on its endpoint. Dispatch frames carry it as an array (see
// EncodeMsgpack), since each agent reports to each gateway and field names would take most of the
// bytes.
type Load struct {
	// Limit is the number of requests that the endpoint can run at once at present.
	Limit int `msgpack:"limit" json:"limit"`
	// Running and Queued count requests in the engine and in the agent's queue.
	Running int `msgpack:"running" json:"running"`
	Queued  int `msgpack:"queued" json:"queued"`
	// QueuedTokens is the number of prompt tokens in the agent's queue.
	QueuedTokens int `msgpack:"queued_tokens" json:"queued_tokens"`
	// RunningTokens is the number of prompt and answer tokens of running requests.
	RunningTokens int `msgpack:"running_tokens" json:"running_tokens"`
	// PrefillRate and DecodeRate are estimated speeds in tokens per second; 0 means not
	// known yet.
	PrefillRate float64 `msgpack:"prefill_rate" json:"prefill_rate"`
	DecodeRate  float64 `msgpack:"decode_rate" json:"decode_rate"`
	// SpeedAge is the time between the last start or end of an answer and the report.
	SpeedAge time.Duration `msgpack:"speed_age,omitempty" json:"speed_age,omitempty"`
	// Floor is the admission floor: tiers with a rank above it are refused.
	// A negative value means no floor.
	Floor int `msgpack:"floor" json:"floor"`
	// Exact is set where Limit is the number of requests that the endpoint is known to run at
	// once. Requests beyond it should wait at gateways, which send each to the first endpoint
	// with a free slot.
	Exact bool `msgpack:"exact,omitempty" json:"exact,omitempty"`
	// Full is set while the endpoint cannot accept more requests for a reason other than Limit.
	Full bool `msgpack:"full,omitempty" json:"full,omitempty"`
	// Cold is set while the agent ramps up its limit after a cold start.
	Cold bool `msgpack:"cold" json:"cold"`
	// Leaving is set once the agent has begun to drain.
	Leaving bool `msgpack:"leaving" json:"leaving"`
	// Age is how old the report was when it was sent.
	Age time.Duration `msgpack:"age" json:"age"`
	// Slowdown is how long work takes on the endpoint's machine now, in hundredths of the time
	// that the rates contain; 0 if the endpoint does not say.
	Slowdown uint16 `msgpack:"slowdown" json:"slowdown,omitempty"`
}
