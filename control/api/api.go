// Package api defines the messages that control replicas exchange with gateways,
// agents and operators over net/rpc. The service is named "Control"; the comment of
// each request type names its method.
package api

import (
	"time"

	"toucantiller.dev/account"
	"toucantiller.dev/contract"
	"toucantiller.dev/dispatch"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/failuredomain"
	"toucantiller.dev/instance"
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

// DrawBudget is "Control.DrawBudget": a gateway draws tokens from the budget of an account.
type DrawBudget struct {
	Gateway instance.ID
	Account string
	// Want is the number of tokens asked for; a grant below Least is of no use to the gateway.
	Want, Least float64
}

// BudgetGrant answers a DrawBudget.
type BudgetGrant struct {
	Leader string
	Tokens float64
	// Wait is the time until a draw of Least tokens may be granted, if none were granted now.
	Wait time.Duration
}

// JoinReplica is "Control.JoinReplica": a replica without a log asks to be added.
type JoinReplica struct {
	// Address is the link address of the replica.
	Address string
	// Founding is set while the deployment starts for the first time: the replica is added to
	// the group. Otherwise it replaces one that was lost.
	Founding bool
}

// JoinReply answers a JoinReplica.
type JoinReply struct{ Leader string }

// Leadership names the leader. It answers "Control.Leader", and the leader sends it by
// "Control.Announce" to processes without a log that its settings list as control replicas.
type Leadership struct {
	// Leader is the link address of the leader, empty if none is known.
	Leader string
	// Replicas are the link addresses of the control replicas.
	Replicas []string
}

// MoveState is the state of a move.
type MoveState string

// States of a move.
const (
	MoveRunning   MoveState = "running"
	MoveWatching  MoveState = "watching"
	MoveDone      MoveState = "done"
	MoveTakenBack MoveState = "taken back"
)

// Move is the state of one move of a service between two versions, from "Control.Moves".
type Move struct {
	// ID is the configuration revision at which the move started.
	ID      uint64
	Service string
	// From and To are versions of the service.
	From  string
	To    string
	State MoveState
	// Stage counts the raises of Share, from 0.
	Stage int
	// Share is the new version's part of the traffic, from 0 to 1.
	Share    float64
	Started  time.Time
	Deadline time.Time
	// FullAt is when the new version got all traffic; the old one stays warm for Watch after
	// that.
	FullAt time.Time
	Watch  time.Duration
	Ended  time.Time
	// StageSince is when the current stage began.
	StageSince time.Time
	// Cause gives the reason for the current state of the move in one line.
	Cause string
	// Evidence lists the comparisons on which the latest decision is based.
	Evidence []MoveEvidence
}

// MoveEvidence compares the new version with the old one on one route and measure.
type MoveEvidence struct {
	Route   string
	Domain  failuredomain.ID
	Measure string
	// Old and New are the values of the measure, from OldN and NewN answers.
	Old  float64
	New  float64
	OldN int64
	NewN int64
	// LogEvidence is the natural logarithm of the test martingale against the new version.
	LogEvidence float64
}

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

// Subscribe is "Control.Subscribe" and "Distribution.Subscribe": waits until the
// configuration or the directory is newer than what the caller has, or for Wait.
type Subscribe struct {
	Instance  instance.ID
	Revision  uint64
	Directory uint64
	// Term and Seq identify the newest beacon that the caller has; a newer one ends the wait.
	Term uint64
	Seq  uint64
	Wait time.Duration
}

// View carries the configuration, the directory and a beacon to a subscriber. Nil parts are
// unchanged.
type View struct {
	Config    *contract.Config
	Directory *Directory
	// ConfigDelta and DirectoryDelta are sent instead of Config and Directory if the sender
	// knows the content of the caller's revision.
	ConfigDelta    *ConfigDelta
	DirectoryDelta *DirectoryDelta
	Beacon         Beacon
	// Held is how long the sender kept the call waiting. The rest of the call's duration is an
	// upper bound of the transit time, which the receiver adds to the beacon's age.
	Held time.Duration
	// Leader is set when the called control replica is not the leader; call that address.
	Leader string
}

// ConfigDelta changes the configuration of revision From into that of Header.Revision.
type ConfigDelta struct {
	From uint64
	// Header holds every part except accounts, domains and parts that are unchanged.
	Header contract.Config
	// SameBundle and SameTiers are set if these parts are equal to those of From.
	SameBundle bool
	SameTiers  bool
	// SameIngress is set if the routes by host and path are equal to those of From.
	SameIngress bool
	// SameServices is set if the services of From remain, except for those in Services, which
	// replace the service at their index.
	SameServices bool
	Services     map[int]*contract.Service
	// Domains replace those with the same ID or are added.
	Domains        map[failuredomain.ID]failuredomain.Domain
	RemovedDomains []failuredomain.ID
	// Accounts replace those with the same name or are added at the end.
	Accounts        []*account.Account
	RemovedAccounts []string
}

// DirectoryDelta changes the directory of revision From into that of revision To.
type DirectoryDelta struct {
	From             uint64
	To               uint64
	Endpoints        []endpoint.Endpoint
	RemovedEndpoints []endpoint.ID
	Processes        []instance.Instance
	RemovedProcesses []instance.ID
	// Control replaces the list of control replicas.
	Control []string
}

// Beacon proves freshness: at most Age ago, a leader that a quorum had confirmed was at this
// configuration revision. Term and Seq order beacons.
type Beacon struct {
	Revision uint64
	Term     uint64
	Seq      uint64
	Age      time.Duration
}

// Directory lists the registered processes, each list in order of ID.
type Directory struct {
	Revision  uint64
	Endpoints []endpoint.Endpoint
	// Processes lists the processes without an endpoint, such as gateways.
	Processes []instance.Instance
	// Control lists the link addresses of the control replicas, in order; it is empty
	// until a leader has recorded them.
	Control []string
}

// ClaimState is the state of an idempotency claim.
type ClaimState string

// States of a claim, as reported to the gateway that asks.
const (
	// ClaimGranted: the caller of the RPC owns the claim and may dispatch.
	ClaimGranted ClaimState = "granted"
	// ClaimRunning: another gateway owns the claim.
	ClaimRunning ClaimState = "running"
	// ClaimDone: the request was answered; ClaimReply.Answer holds the answer.
	ClaimDone ClaimState = "done"
	// ClaimUnknown: the outcome of the first run cannot be determined.
	ClaimUnknown ClaimState = "unknown"
	// ClaimConflict: the key was used with another body.
	ClaimConflict ClaimState = "conflict"
)

// Claim is "Control.Claim": claims an idempotency key before a dispatch, or moves an owned
// claim to another dispatch.
type Claim struct {
	Account    string
	Key        string
	BodyDigest string
	TTL        time.Duration
	// Owner is the gateway; Target is the endpoint to which it is about to make Dispatch.
	Owner    instance.ID
	Target   endpoint.Endpoint
	Dispatch dispatch.ID
	// Previous is the dispatch that is proven not to have run, when a claim is taken over or
	// moved.
	Previous *dispatch.ID
}

// ClaimReply answers a Claim.
type ClaimReply struct {
	State  ClaimState
	Leader string
	// Owner, OwnerAlive, Target and Dispatch describe a running claim.
	Owner      instance.ID
	OwnerAlive bool
	Target     endpoint.Endpoint
	Dispatch   dispatch.ID
	Answer     *dispatch.StoredAnswer
}

// CompleteClaim is "Control.CompleteClaim": stores the outcome of a claim.
type CompleteClaim struct {
	Account  string
	Key      string
	Dispatch dispatch.ID
	// State is ClaimDone, ClaimUnknown, or ClaimGranted to release a claim whose dispatch is
	// proven not to have run.
	State  ClaimState
	Answer *dispatch.StoredAnswer
}

// CompleteReply answers a CompleteClaim.
type CompleteReply struct{ Leader string }

// Evidence is "Control.ReportEvidence": the observations that a gateway made since its
// last report.
type Evidence struct {
	Gateway      instance.ID
	Seq          uint64
	Observations []Observation
}

// EvidenceReply answers Evidence.
type EvidenceReply struct{ Leader string }

// Observation describes one attempt at a request that ran at an endpoint.
type Observation struct {
	Service  string
	Version  string
	Route    string
	Endpoint endpoint.ID
	Domain   failuredomain.ID
	Failed   bool
	// Cold is set when the endpoint was still raising its limit after a cold start.
	Cold bool
	// Load is the number of requests running at the endpoint divided by its limit, at the time
	// of the dispatch.
	Load         float64
	PromptTokens int
	AnswerTokens int
	FirstToken   time.Duration
	// BetweenTokens is the mean time between tokens; 0 for plain services.
	BetweenTokens time.Duration
}

// Status is "Control.Status": the state of the deployment as one replica sees it. Only the
// leader fills Processes and InForce.
type Status struct {
	Replica string
	// Self is the process of the replica; control replicas hold no lease and are not in
	// Processes.
	Self     instance.Instance
	Leader   string
	Term     uint64
	Revision uint64
	Bundle   contract.BundleRef
	Domains  []failuredomain.Domain
	Moves    []Move
	// Processes lists every process that holds a lease, then those whose lease expired and
	// that may still take work on an old configuration.
	Processes []ProcessStatus
	Endpoints []endpoint.Endpoint
	// Replicas lists the members of the control group in order of address.
	Replicas []Replica
	// InForce is set when every process that holds a lease has confirmed Revision and none
	// whose lease expired can still take work on an old configuration.
	InForce bool
}

// ProcessStatus is one process and the revision it confirmed.
type ProcessStatus struct {
	Instance instance.Instance
	Revision uint64
	// Silent is the time since the last keepalive.
	Silent time.Duration
	// Lost is set when the lease expired without a request to leave.
	Lost bool
}

// MovesReply answers "Control.Moves" with the latest move of each service.
type MovesReply struct {
	Leader string
	Moves  []Move
}

// TokenReply answers "Control.NextToken" with a fencing token above all issued before.
type TokenReply struct {
	Leader string
	Token  uint64
}

// BundleReply answers "Control.Bundle" with the bundle in force, exactly as signed.
type BundleReply struct {
	Leader     string
	Ref        contract.BundleRef
	Content    []byte
	Author     string
	AppliedBy  string
	AppliedAt  time.Time
	Signatures []Signature
}

// DecisionAction is the next action on a move.
type DecisionAction string

// Actions on a move.
const (
	DecisionHold     DecisionAction = "hold"
	DecisionRaise    DecisionAction = "raise"
	DecisionTakeBack DecisionAction = "take back"
	DecisionFinish   DecisionAction = "finish"
)

// Decision is the outcome of one evaluation of a move.
type Decision struct {
	Action DecisionAction
	// Stage and Share are the next stage and its share in (0,1], for DecisionRaise.
	Stage int
	Share float64
	// Cause gives the reason in one line; Evidence lists the comparisons behind it.
	Cause    string
	Evidence []MoveEvidence
}

// Empty is the argument of calls without input. Reserved is unused; it is there as gob does
// not encode a struct without exported fields.
type Empty struct{ Reserved bool }
