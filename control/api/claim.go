package api

import (
	"time"

	"toucantiller.dev/dispatch"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/instance"
)

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
