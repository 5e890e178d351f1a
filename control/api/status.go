package api

import (
	"time"

	"toucantiller.dev/contract"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/failuredomain"
	"toucantiller.dev/instance"
)

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
	// Document is the document in force, without its content, which may hold keys; nil where
	// bundles are used.
	Document *contract.Document
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
