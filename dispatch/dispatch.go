// Package dispatch defines the protocol between gateways and agents: the identity of a
// dispatch, the headers that describe it, the frames of its answer and the messages of the
// agent's other paths.
package dispatch

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucantiller.dev/instance"
)

// Paths of the agent's dispatch interface.
const (
	PathDispatch = "/dispatch"
	PathSeal     = "/seal"
	PathFloor    = "/floor"
	PathLoad     = "/load"
	PathOrder    = "/order"
	// PathWatch is answered with a stream of Heartbeats: one soon after each change of the
	// load, and at least one every WatchInterval.
	PathWatch = "/watch"
	// PathWant takes a WantRequest, which tells the agent what requests wait at a gateway for
	// its slots.
	PathWant = "/want"
)

// HeaderGateway is the HTTP header of a watch request that carries the gateway's incarnation
// in hexadecimal.
const HeaderGateway = "Toucan-Gateway"

// HeaderReadsSlowdown is set in a watch request of a gateway that reads endpoint.Load.Slowdown. One of
// an earlier version refuses a load report that has it.
const HeaderReadsSlowdown = "Toucan-Reads-Slowdown"

// Timing of the dispatch protocol.
const (
	HeartbeatInterval = 500 * time.Millisecond
	// WatchInterval is the longest time between two Heartbeats of a watch.
	WatchInterval = 500 * time.Millisecond
	// SilenceTimeout is how long a gateway waits for the next frame of an answer.
	SilenceTimeout = 1500 * time.Millisecond
	// SealRetention is how long an agent keeps the identity of a dispatch. It exceeds the
	// time for which a connection with liveness probes can delay a message.
	SealRetention = 10 * time.Minute
)

// ID is the identity of a dispatch.
type ID struct {
	Request string               `msgpack:"request" json:"request"`
	Attempt int                  `msgpack:"attempt" json:"attempt"`
	Gateway instance.Incarnation `msgpack:"gateway" json:"gateway"`
}

// String returns "request/attempt/gateway".
func (id ID) String() string {
	return id.Request + "/" + strconv.Itoa(id.Attempt) + "/" + strconv.FormatUint(uint64(id.Gateway), 16)
}

// Sum returns a checksum of the identity, which every frame of its answer carries.
func (id ID) Sum() uint64 { return xxhash.Sum64String(id.String()) }
