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

// Command is one entry of the log: the time and exactly one non-nil part. The names of
// the other parts would be a third of the bytes of a claim.
type Command struct {
	// At is the leader's wall time when it proposed the command.
	At time.Time

	ApplyBundle *api.ApplyBundle `msgpack:",omitempty"`
	SetDomain   *api.SetDomain   `msgpack:",omitempty"`
	AbortMove   *api.AbortMove   `msgpack:",omitempty"`
	StageMove   *StageMove       `msgpack:",omitempty"`
	Register    *api.Register    `msgpack:",omitempty"`
	EndLeases   *EndLeases       `msgpack:",omitempty"`
	// Claim and CompleteClaim are in logs of builds before Claims, which joins many.
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
}

// SetEvacuated takes a failure domain out of service, or back into it.
type SetEvacuated struct {
	Domain    failuredomain.ID
	Evacuated bool
}

// StartMove asks that a service under a document moves to a version.
type StartMove struct {
	Service string
	To      string
	// Within is the time until the deadline; Watch is how long the old version stays warm
	// after the full share.
	Within time.Duration
	Watch  time.Duration
}

// EndEndpoint ends an endpoint that announced itself. Late announcements of this and of
// earlier incarnations are refused.
type EndEndpoint struct {
	ID          endpoint.ID
	Incarnation instance.Incarnation
}

// SetControl records the control replicas.
type SetControl struct {
	// Addresses are their link addresses.
	Addresses []string
	// Size is the number of voters that the group is to have; it never falls.
	Size int
}

// ClaimStep is a claim or a completion; exactly one is not nil.
type ClaimStep struct {
	Claim    *api.Claim         `msgpack:",omitempty"`
	Complete *api.CompleteClaim `msgpack:",omitempty"`
}

// StageMove changes the stage of a move. It is refused unless the move is at
// Expected, so that no stage is taken twice or skipped.
type StageMove struct {
	Service  string
	Move     uint64
	Expected int
	Decision api.Decision
}

// EndLeases ends leases: of processes that leave, or that were silent for a time to live.
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

// Maintain forgets what has expired and makes restored domains active.
type Maintain struct{}

// Lead opens a leader's term.
type Lead struct{ Term uint64 }

// NextToken issues a fencing token.
type NextToken struct{}

// EndReplicas records the outcome of a ChangeReplicas, which the leader carries out
// outside the state machine.
type EndReplicas struct {
	Operation string
	Reply     api.ChangeReply
}

// Result is the outcome of a command.
type Result struct {
	Change *api.ChangeReply
	// Claims answers each ClaimStep; the reply to a completion is nil.
	Claims   []*api.ClaimReply
	Register *Registration
	Token    uint64
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
	Lease    uint64
	Instance instance.Instance
	// Endpoint is set for agents.
	Endpoint *endpoint.Endpoint
}
