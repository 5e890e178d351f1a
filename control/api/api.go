// Package api defines the messages that control replicas exchange with gateways,
// agents and operators over net/rpc. Service name "Control"; each request type
// names its method.
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

// Outcome tells what became of an operator's change.
type Outcome string

// Outcomes of changes.
const (
	OutcomeAccepted Outcome = "accepted"
	OutcomeRefused  Outcome = "refused"
	// OutcomePending is recorded for a ChangeReplicas that was verified and has not ended
	// yet. No reply carries it.
	OutcomePending Outcome = "pending"
)

// Operation identifies a change: a resend with the same ID and content gets the
// first outcome. Signature is the operator's ed25519 signature over the change.
type Operation struct {
	ID       string
	Operator string
	// At is when the operator signed; a change is refused OperationValidity later.
	At        time.Time
	Signature []byte
}

// ChangeReply answers every operator change.
type ChangeReply struct {
	Outcome Outcome
	// Reason is set for OutcomeRefused and names who or what stands against it.
	Reason string
	// Detail says what an accepted ChangeReplicas did.
	Detail   string
	Revision uint64
	// Leader is set when the called replica is not the leader; call that address.
	Leader string
}

// ApplyBundle is "Control.ApplyBundle": makes a signed bundle the configuration.
type ApplyBundle struct {
	Operation  Operation
	Content    []byte
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

// ReplicasAction is what ChangeReplicas does.
type ReplicasAction string

// Actions on the control group.
const (
	ReplicasAdd    ReplicasAction = "add"
	ReplicasRemove ReplicasAction = "remove"
)

// ChangeReplicas is "Control.ChangeReplicas": adds the replica at an address to the
// control group, or removes it. A replica whose disk was lost is added again at its
// address, which removes its former identity.
type ChangeReplicas struct {
	Operation Operation
	Action    ReplicasAction
	Address   string
}

// Replica is a member of the control group.
type Replica struct {
	Address string
	// ID identifies the data folder of the replica, as in its log lines.
	ID uint64
	// Voter is false for a learner, which receives the log and does not vote.
	Voter bool
}

// DrawBudget is "Control.DrawBudget": a gateway draws tokens of an account.
type DrawBudget struct {
	Gateway instance.ID
	Account string
	// Want is the tokens asked for; a grant below Least is of no use.
	Want, Least float64
}

// BudgetGrant answers a DrawBudget.
type BudgetGrant struct {
	Leader string
	Tokens float64
	// Wait is the time until Least tokens may be there, when they are not.
	Wait time.Duration
}

// JoinReplica is "Control.JoinReplica": a replica without a log asks to be added.
type JoinReplica struct {
	// Address is the link address of the replica.
	Address string
	// Founding is set while the deployment starts for the first time: the group grows by the
	// replica. Otherwise the replica takes the place of one that was lost.
	Founding bool
}

// JoinReply answers a JoinReplica.
type JoinReply struct{ Leader string }

// Leadership is who leads. It answers "Control.Leader", and the leader sends it with
// "Control.Announce" to processes without a log that its settings name as control.
type Leadership struct {
	// Leader is empty where none is known.
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

// Move is the state of one move, from "Control.Moves".
type Move struct {
	// ID is the configuration revision at which the move started.
	ID       uint64
	Service  string
	From     string
	To       string
	State    MoveState
	Stage    int
	Share    float64
	Started  time.Time
	Deadline time.Time
	// FullAt is when the new version got its full share; the old one stays warm for Watch
	// after it.
	FullAt time.Time
	Watch  time.Duration
	Ended  time.Time
	// StageSince is when the present stage began.
	StageSince time.Time
	// Cause says in one line why the move stands as it does.
	Cause string
	// Evidence lists what the decision rests on.
	Evidence []MoveEvidence
}

// MoveEvidence compares the new version with the old on one route and measure.
type MoveEvidence struct {
	Route   string
	Domain  failuredomain.ID
	Measure string
	Old     float64
	New     float64
	OldN    int64
	NewN    int64
	// LogEvidence is the natural logarithm of the test martingale.
	LogEvidence float64
}

// Register is "Control.Register": announces a process; agents carry an endpoint.
type Register struct {
	Instance instance.Instance
	Endpoint *endpoint.Endpoint
}

// RegisterReply grants a lease.
type RegisterReply struct {
	Lease  uint64
	TTL    time.Duration
	Leader string
	// RetryAfter is set when registrations are being admitted at their bounded rate.
	RetryAfter time.Duration
}

// KeepAlive is "Control.KeepAlive": renews a lease and confirms the revision in force.
type KeepAlive struct {
	Lease    uint64
	Instance instance.ID
	Revision uint64
	// Leaving asks that the registration ends.
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
	// Term and Seq name the newest beacon the caller has; a newer one ends the wait.
	Term uint64
	Seq  uint64
	Wait time.Duration
}

// View is what a process knows about the deployment. Nil parts are unchanged.
type View struct {
	Config    *contract.Config
	Directory *Directory
	// ConfigDelta and DirectoryDelta stand in for Config and Directory where the caller's
	// revision is known to the sender.
	ConfigDelta    *ConfigDelta
	DirectoryDelta *DirectoryDelta
	Beacon         Beacon
	// Held is how long the sender kept the call waiting. The rest of the call's duration
	// bounds the transit time, which the receiver adds to the beacon's age.
	Held time.Duration
	// Leader is set when the called control replica is not the leader; call that address.
	Leader string
}

// ConfigDelta changes the configuration of revision From into that of Header.Revision.
type ConfigDelta struct {
	From uint64
	// Header holds every part except the accounts, the domains and what is unchanged.
	Header contract.Config
	// SameBundle and SameTiers say that these parts are those of From.
	SameBundle bool
	SameTiers  bool
	// SameIngress says that the routes by host and path are those of From.
	SameIngress bool
	// SameServices says that the services of From remain, but for those in Services, which
	// replace those at their index.
	SameServices bool
	Services     map[int]*contract.Service
	// Domains replace those of the same ID or are added.
	Domains        map[failuredomain.ID]failuredomain.Domain
	RemovedDomains []failuredomain.ID
	// Accounts replace those of the same name or are added at the end.
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

// Beacon proves freshness: a leader with a quorum issued it Age ago.
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

// States of a claim, as seen by the gateway that asks.
const (
	// ClaimGranted: the caller of the RPC owns the claim and may dispatch.
	ClaimGranted ClaimState = "granted"
	// ClaimRunning: another gateway owns it.
	ClaimRunning ClaimState = "running"
	// ClaimDone: the first answer follows.
	ClaimDone ClaimState = "done"
	// ClaimUnknown: the outcome of the first run cannot be known.
	ClaimUnknown ClaimState = "unknown"
	// ClaimConflict: the key was used with another body.
	ClaimConflict ClaimState = "conflict"
)

// Claim is "Control.Claim": claims a key before dispatch, or moves an owned claim to
// another dispatch.
type Claim struct {
	Account    string
	Key        string
	BodyDigest string
	TTL        time.Duration
	// Owner is the gateway; Target and Dispatch name where it is about to dispatch.
	Owner    instance.ID
	Target   endpoint.Endpoint
	Dispatch dispatch.ID
	// Previous is the dispatch that was proven not run, when a claim is taken over or moved.
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
	State    ClaimState // ClaimDone, ClaimUnknown; ClaimGranted releases a claim proven not run
	Answer   *dispatch.StoredAnswer
}

// CompleteReply answers a CompleteClaim.
type CompleteReply struct{ Leader string }

// Evidence is "Control.ReportEvidence": observations that a gateway made since its
// last report.
type Evidence struct {
	Gateway      instance.ID
	Seq          uint64
	Observations []Observation
}

// EvidenceReply answers Evidence.
type EvidenceReply struct{ Leader string }

// Observation is one answered request.
type Observation struct {
	Service  string
	Version  string
	Route    string
	Endpoint endpoint.ID
	Domain   failuredomain.ID
	Failed   bool
	// Cold is set when the endpoint was ramping its limit.
	Cold bool
	// Load is the requests running at the endpoint over its limit, when dispatched.
	Load         float64
	PromptTokens int
	AnswerTokens int
	FirstToken   time.Duration
	// BetweenTokens is the mean time between tokens; 0 for plain services.
	BetweenTokens time.Duration
}

// Status is "Control.Status": a replica's view for operators.
type Status struct {
	Replica string
	// Self is the replica's process; control replicas hold no lease.
	Self     instance.Instance
	Leader   string
	Term     uint64
	Revision uint64
	Bundle   contract.BundleRef
	Domains  []failuredomain.Domain
	Moves    []Move
	// Processes lists every process that holds a lease, then those whose lease ended in
	// silence and that may still take work on old settings.
	Processes []ProcessStatus
	Endpoints []endpoint.Endpoint
	// Replicas lists the members of the control group in order of address.
	Replicas []Replica
	// InForce is true when every process that holds a lease has confirmed Revision and no
	// silent one can still take work on old settings.
	InForce bool
}

// ProcessStatus is one process and the revision it confirmed.
type ProcessStatus struct {
	Instance instance.Instance
	Revision uint64
	// Silent is the time since the last keepalive.
	Silent time.Duration
	// Lost is set when the lease ended in silence.
	Lost bool
}

// MovesReply answers "Control.Moves": the latest move of each service.
type MovesReply struct {
	Leader string
	Moves  []Move
}

// TokenReply answers "Control.NextToken": a fencing token above every one issued before.
type TokenReply struct {
	Leader string
	Token  uint64
}

// BundleReply answers "Control.Bundle": the bundle in force, exactly as signed.
type BundleReply struct {
	Leader     string
	Ref        contract.BundleRef
	Content    []byte
	Author     string
	AppliedBy  string
	AppliedAt  time.Time
	Signatures []Signature
}

// DecisionAction is what a move does next.
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
	// Cause says in one line why; Evidence lists what it rests on.
	Cause    string
	Evidence []MoveEvidence
}

// Empty is the argument of calls without input. The field is unused; gob does not
// encode a struct without exported fields.
type Empty struct{ Reserved bool }
