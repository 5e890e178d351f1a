// Package state is the replicated state machine of the control replicas. It is
// deterministic: commands carry the leader's wall time, and Apply reads no clock.
package state

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"toucantiller.dev/contract"
	"toucantiller.dev/control/api"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/failuredomain"
	"toucantiller.dev/instance"
)

// Command is one entry of the replicated log: the time and exactly one part that is set. The
// other parts are omitted from the encoding, as their names would take a third of the bytes
// of a claim.
type Command struct {
	// At is the leader's wall time when it proposed the command.
	At time.Time

	ApplyBundle *api.ApplyBundle `msgpack:",omitempty"`
	SetDomain   *api.SetDomain   `msgpack:",omitempty"`
	AbortMove   *api.AbortMove   `msgpack:",omitempty"`
	StageMove   *StageMove       `msgpack:",omitempty"`
	Register    *api.Register    `msgpack:",omitempty"`
	EndLeases   *EndLeases       `msgpack:",omitempty"`
	// Claim and CompleteClaim are found only in logs written before Claims, which batches
	// several of them, was added.
	Claim         *api.Claim         `msgpack:",omitempty"`
	CompleteClaim *api.CompleteClaim `msgpack:",omitempty"`
	Claims        []ClaimStep        `msgpack:",omitempty"`
	Maintain      *Maintain          `msgpack:",omitempty"`
	Lead          *Lead              `msgpack:",omitempty"`
	NextToken     *NextToken         `msgpack:",omitempty"`

	ChangeReplicas *api.ChangeReplicas `msgpack:",omitempty"`
	EndReplicas    *EndReplicas        `msgpack:",omitempty"`

	ApplyDocument *contract.Document `msgpack:",omitempty"`
	SetEvacuated  *SetEvacuated      `msgpack:",omitempty"`
	StartMove     *StartMove         `msgpack:",omitempty"`
	EndEndpoint   *EndEndpoint       `msgpack:",omitempty"`
	SetControl    *SetControl        `msgpack:",omitempty"`
	SetHostings   *SetHostings       `msgpack:",omitempty"`
	SetQuarantine *SetQuarantine     `msgpack:",omitempty"`

	AssignDuty *AssignDuty `msgpack:",omitempty"`
	FixUsage   *FixUsage   `msgpack:",omitempty"`
	EndUsage   *EndUsage   `msgpack:",omitempty"`
}

// SetEvacuated drains a failure domain, or makes it active again.
type SetEvacuated struct {
	Domain    failuredomain.ID
	Evacuated bool
}

// StartMove starts the move of a service of the document to a version.
type StartMove struct {
	Service string
	To      string
	// Within is the time until the deadline; Watch is how long the old version stays warm
	// after the full share.
	Within time.Duration
	Watch  time.Duration
}

// EndEndpoint ends a self-announced endpoint. Later announcements of this incarnation and of
// earlier ones are refused for EndedRetention.
type EndEndpoint struct {
	ID endpoint.ID
	// Incarnation 0 stands for the registered incarnation.
	Incarnation instance.Incarnation
}

// SetControl records the control replicas.
type SetControl struct {
	// Addresses are their link addresses.
	Addresses []string
	// Size is the number of voters that the group is to have. A size below the recorded one
	// is ignored.
	Size int
}

// ClaimStep is a claim or a completion; exactly one is not nil.
type ClaimStep struct {
	Claim    *api.Claim         `msgpack:",omitempty"`
	Complete *api.CompleteClaim `msgpack:",omitempty"`
}

// StageMove applies a decision to a move. It is refused unless the move is at stage Expected,
// so that no stage is applied twice or skipped.
type StageMove struct {
	Service  string
	Move     uint64
	Expected int
	Decision api.Decision
}

// EndLeases ends the leases of processes that leave, and those that were not renewed within
// their time to live.
type EndLeases struct {
	Leases []EndLease
}

// EndLease ends one lease.
type EndLease struct {
	Lease uint64
	// Left is set when the process asked to leave and so takes no further work.
	Left bool
	// Revision is the last revision the process confirmed.
	Revision uint64
}

// Maintain removes expired records and makes domains active that were restoring for
// RestorePeriod.
type Maintain struct{}

// Lead records the start of a leader's term and issues the term's first fencing token. A
// token of a later term is above every token of an earlier one.
type Lead struct{ Term uint64 }

// NextToken issues a fencing token, which is above all that were issued before.
type NextToken struct{}

// EndReplicas records the outcome of a ChangeReplicas, which the leader executes outside the
// state machine.
type EndReplicas struct {
	// Operation is the ID of the operation.
	Operation string
	Reply     api.ChangeReply
}

// Result is the outcome of a command.
type Result struct {
	// Change answers an operator's change, and EndReplicas.
	Change *api.ChangeReply
	// Claims answers each ClaimStep in order; the reply to a completion is nil.
	Claims []*api.ClaimReply
	// Register answers Register.
	Register *Registration
	// Token is the token issued by NextToken or Lead, or the holder's after AssignDuty.
	Token uint64
	// Refused says why a command other than an operator's change had no effect.
	Refused string
}

// Encode returns the command as msgpack.
func (c *Command) Encode() ([]byte, error) { return msgpack.Marshal(c) }

// DecodeResult decodes what Apply returned.
func DecodeResult(b []byte) (*Result, error) {
	r := &Result{}
	return r, msgpack.Unmarshal(b, r)
}

// Registration is a process that holds a lease.
type Registration struct {
	// Lease is the number of the lease; each new lease gets a higher one.
	Lease    uint64
	Instance instance.Instance
	// Endpoint is set for agents and for self-announced endpoints.
	Endpoint *endpoint.Endpoint
}
