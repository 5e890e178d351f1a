package api

import (
	"time"

	"toucantiller.dev/endpoint"
	"toucantiller.dev/instance"
)

// Register is "Control.Register": announces a process and asks for a lease. Endpoint is
// set for agents.
type Register struct {
	Instance instance.Instance
	Endpoint *endpoint.Endpoint
}

// RegisterReply grants a lease.
type RegisterReply struct {
	Lease  uint64
	TTL    time.Duration
	Leader string
	// RetryAfter is set when the registration was deferred, as registrations are admitted
	// at a bounded rate.
	RetryAfter time.Duration
}

// KeepAlive is "Control.KeepAlive": renews a lease and confirms the revision in force.
type KeepAlive struct {
	Lease    uint64
	Instance instance.ID
	Revision uint64
	// Leaving asks to end the registration.
	Leaving bool
}

// KeepAliveReply says whether the lease still exists.
type KeepAliveReply struct {
	Known  bool
	Leader string
}
