package dispatch

import (
	"net/http"
	"time"

	"toucantiller.dev/account"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/instance"
)

// Accepted is the payload of the first frame.
type Accepted struct {
	Revision uint64        `msgpack:"revision"`
	Load     endpoint.Load `msgpack:"load"`
}

// Heartbeat is the payload of frames that are sent while no other frame is due, and of
// reports of the agent's load.
type Heartbeat struct {
	_msgpack struct{}      `msgpack:",as_array"` //nolint:unused // read by msgpack
	Revision uint64        `msgpack:"revision"`
	Load     endpoint.Load `msgpack:"load"`
	// Incarnation is the agent's incarnation; it is set in replies to PathLoad.
	Incarnation instance.Incarnation `msgpack:"incarnation,omitempty"`
}

// Started carries the engine's status and headers. It says that the dispatch is committed.
type Started struct {
	Status int         `msgpack:"status"`
	Header http.Header `msgpack:"header"`
}

// End marks the end of an answer. Length is its total size in bytes.
type End struct {
	Length int64         `msgpack:"length"`
	Load   endpoint.Load `msgpack:"load"`
	// PromptTokens and AnswerTokens count the tokens that the engine processed.
	PromptTokens int `msgpack:"prompt_tokens"`
	AnswerTokens int `msgpack:"answer_tokens"`
}

// Refused says that the dispatch did not run and never will run.
type Refused struct {
	Code       Code          `msgpack:"code"`
	Detail     string        `msgpack:"detail"`
	Revision   uint64        `msgpack:"revision"`
	Load       endpoint.Load `msgpack:"load"`
	RetryAfter time.Duration `msgpack:"retry_after"`
}

// Lost says that the dispatch was committed and its outcome is unknown or failed.
type Lost struct {
	Code   Code          `msgpack:"code"`
	Detail string        `msgpack:"detail"`
	Load   endpoint.Load `msgpack:"load"`
}

// Code is the reason of a refusal or loss.
type Code string

// Codes of refusals and losses.
const (
	CodeQueueFull        Code = "queue_full"
	CodeEvicted          Code = "evicted"
	CodeBelowFloor       Code = "below_floor"
	CodeDeadline         Code = "deadline"
	CodeDraining         Code = "draining"
	CodeWrongIncarnation Code = "wrong_incarnation"
	CodeWrongVersion     Code = "wrong_version"
	CodeDomainDrained    Code = "domain_drained"
	CodeSealed           Code = "sealed"
	CodeDuplicate        Code = "duplicate"
	CodeCancelled        Code = "cancelled"
	CodeEngineRefused    Code = "engine_refused"
	CodeEngineLost       Code = "engine_lost"
	// CodeUnreachable: no connection to the agent could be opened.
	CodeUnreachable Code = "unreachable"
	// CodeEngineFull: the engine, not the agent, refused the request before it ran.
	CodeEngineFull Code = "engine_full"
	// CodeEngineLeaving: the engine has said that it leaves and was not sent the request.
	CodeEngineLeaving Code = "engine_leaving"
	// CodePaused: the engine has asked for no request for a while, or the agent has no memory for
	// the body. The engine was sent nothing.
	CodePaused      Code = "paused"
	CodeStaleConfig Code = "stale_config"
	// CodeQueueTime: the request waited in the queue for the maximum time of its tier.
	CodeQueueTime Code = "queue_time"
)

// SealState is the outcome of a seal.
type SealState string

// Outcomes of a seal.
const (
	// SealSealed proves that the dispatch never ran and never will run.
	SealSealed SealState = "sealed"
	// SealCommitted says that the dispatch was submitted to the engine. It may still run or
	// have ended without a stored answer.
	SealCommitted SealState = "committed"
	// SealDone says that the reply contains the stored answer.
	SealDone SealState = "done"
)

// SealRequest asks an agent to seal a dispatch, or to report its outcome if it has been
// committed.
type SealRequest struct {
	ID    ID                   `msgpack:"id"`
	Agent instance.Incarnation `msgpack:"agent"`
	// Confirm says that the answer is stored in the claim; the agent drops its copy.
	Confirm bool `msgpack:"confirm"`
}

// FloorRequest asks an agent to raise its admission floor.
type FloorRequest struct {
	// Tier is the lowest tier, which has the highest number, that is still admitted.
	Tier account.Tier `msgpack:"tier"`
}

// WantRequest describes the requests that wait at a gateway. The agent offers free slots to
// the gateway in the reports of its watch.
type WantRequest struct {
	Gateway instance.Incarnation `msgpack:"gateway"`
	Waiting Waiting              `msgpack:"waiting"`
}

// OrderRequest carries an endpoint.Order to the engine behind an agent.
type OrderRequest struct {
	Token   uint64 `msgpack:"token"`
	Action  string `msgpack:"action"`
	Subject string `msgpack:"subject"`
}

// OrderReply answers an OrderRequest.
type OrderReply struct {
	Done bool `msgpack:"done"`
	// Highest is the highest fencing token that the agent has seen.
	Highest uint64 `msgpack:"highest"`
	Detail  string `msgpack:"detail"`
}

// SealReply answers a SealRequest.
type SealReply struct {
	State SealState `msgpack:"state"`
	// Incarnation is the agent's incarnation. If it differs from SealRequest.Agent, the reply
	// proves nothing about what the earlier incarnation committed.
	Incarnation instance.Incarnation `msgpack:"incarnation"`
	Answer      *StoredAnswer        `msgpack:"answer"`
	// Ended is set when a committed dispatch no longer runs and no answer is stored.
	Ended bool `msgpack:"ended"`
}

// StoredAnswer is a complete answer kept for a claimed request.
type StoredAnswer struct {
	Status int         `msgpack:"status"`
	Header http.Header `msgpack:"header"`
	Body   []byte      `msgpack:"body"`
	// TooLarge is set when the answer exceeded MaxStoredAnswer; Body is empty then.
	TooLarge bool `msgpack:"too_large"`
}

// storedAnswerCost is what a stored answer holds beside its body and headers, in bytes.
const storedAnswerCost = 256

// MemoryBytes returns the memory that the answer holds, in bytes; 0 for nil.
func (a *StoredAnswer) MemoryBytes() int64 {
	if a == nil {
		return 0
	}
	return int64(storedAnswerCost + a.ContentBytes() + cap(a.Body) - len(a.Body))
}

// ContentBytes returns the size of the headers and the body, in bytes; 0 for nil. It is the same
// wherever the answer was decoded.
func (a *StoredAnswer) ContentBytes() int {
	if a == nil {
		return 0
	}
	n := len(a.Body)
	for name, values := range a.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// MaxStoredAnswer bounds the body of a stored answer, in bytes.
const MaxStoredAnswer = MaxFrame / 2

// RefusalCode returns the code of a request that the engine refused, or that was not sent to it
// because it wants none.
func RefusalCode(r *endpoint.RefusedError) Code {
	switch {
	case r.Misdirected:
		return CodeEngineRefused
	case r.Leaving:
		return CodeEngineLeaving
	case r.Status == 0:
		return CodePaused
	}
	return CodeEngineFull
}
