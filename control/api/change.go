package api

import (
	"time"

	"toucantiller.dev/failuredomain"
)

// Outcome is the result of an operator's change.
type Outcome string

// Outcomes of changes.
const (
	OutcomeAccepted Outcome = "accepted"
	OutcomeRefused  Outcome = "refused"
	// OutcomePending is recorded for a ChangeReplicas that was verified and is not executed
	// yet. It is never sent to a client.
	OutcomePending Outcome = "pending"
)

// Operation identifies a change. A resend with the same ID and content gets the first
// outcome; the ID with other content is refused.
type Operation struct {
	ID       string
	Operator string
	// At is when the operator signed; a change is refused once OperationValidity has passed.
	At time.Time
	// Signature is the operator's ed25519 signature over SigningBytes.
	Signature []byte
}

// ChangeReply answers every operator change.
type ChangeReply struct {
	Outcome Outcome
	// Reason is set for OutcomeRefused and says why, with the conflicting operator, version
	// or state where there is one.
	Reason string
	// Detail says what an accepted ChangeReplicas did.
	Detail string
	// Revision is the configuration revision after the change was applied or refused.
	Revision uint64
	// Leader is set when the called replica is not the leader; call that address.
	Leader string
}

// ApplyBundle is "Control.ApplyBundle": puts a bundle in force.
type ApplyBundle struct {
	Operation Operation
	// Content is the bundle as YAML, exactly as signed.
	Content []byte
	// Signatures are the sign-offs over Content.
	Signatures []Signature
}

// Signature is one sign-off over a bundle's exact content.
type Signature struct {
	Operator  string    `json:"operator"`
	At        time.Time `json:"at"`
	Signature []byte    `json:"signature"`
}

// SetDomain is "Control.SetDomain": drains or restores a failure domain.
type SetDomain struct {
	Operation Operation
	Domain    failuredomain.ID
	State     failuredomain.State
}

// AbortMove is "Control.AbortMove": takes back the move of a service.
type AbortMove struct {
	Operation Operation
	Service   string
	Reason    string
}

// ReplicasAction is an action on the members of the control group.
type ReplicasAction string

// Actions of ChangeReplicas.
const (
	ReplicasAdd    ReplicasAction = "add"
	ReplicasRemove ReplicasAction = "remove"
)

// ChangeReplicas is "Control.ChangeReplicas": adds the replica at an address to the
// control group, or removes it. A replica whose disk was lost is added again at the same
// address, which removes the member that it was before.
type ChangeReplicas struct {
	Operation Operation
	Action    ReplicasAction
	Address   string
}

// Replica is a member of the control group.
type Replica struct {
	Address string
	// ID identifies the data folder of the replica; its log lines carry the same ID.
	ID uint64
	// Voter is false for a learner, which receives the log but does not vote.
	Voter bool
}
