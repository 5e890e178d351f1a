// Package dispatch defines the messages between gateways and agents: the
// identity of a dispatch, the headers that describe it and the frames of its
// answer.
package dispatch

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"toucantiller.dev/account"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/instance"
)

// Paths of the agent's dispatch interface.
const (
	PathDispatch = "/dispatch"
	PathSeal     = "/seal"
	PathFloor    = "/floor"
	PathLoad     = "/load"
)

// Timing of the dispatch protocol.
const (
	HeartbeatInterval = 500 * time.Millisecond
	// SilenceTimeout is how long a gateway waits for the next frame.
	SilenceTimeout = 1500 * time.Millisecond
	// SealRetention is how long an agent remembers an identity. It exceeds the time for
	// which a probed connection can delay a message.
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
	return fmt.Sprintf("%s/%d/%x", id.Request, id.Attempt, uint64(id.Gateway))
}

// Header describes a dispatch. It travels as HTTP headers, the caller's body
// follows unchanged.
type Header struct {
	ID ID
	// Agent is the incarnation the dispatch is meant for; another one refuses it.
	Agent    instance.Incarnation
	Service  string
	Version  string
	Route    string
	Account  string
	Method   string
	Path     string
	Tier     account.Tier
	Revision uint64
	// Timeout is the time left until the caller's deadline.
	Timeout time.Duration
	// PromptTokens and AnswerTokens are estimates.
	PromptTokens int
	AnswerTokens int
	// Claim is the idempotency claim, empty for unclaimed requests. The agent keeps the
	// answer of a claimed request until the claim is completed.
	Claim string
	// Link is where the gateway serves net/rpc, as "ip:port"; an agent with an older
	// configuration fetches the newer one there.
	Link string
}

// Names of the HTTP headers that carry a Header.
const (
	headerRequest  = "Toucan-Request"
	headerAttempt  = "Toucan-Attempt"
	headerGateway  = "Toucan-Gateway"
	headerAgent    = "Toucan-Agent"
	headerService  = "Toucan-Service"
	headerVersion  = "Toucan-Version"
	headerRoute    = "Toucan-Route"
	headerAccount  = "Toucan-Account"
	headerMethod   = "Toucan-Method"
	headerPath     = "Toucan-Path"
	headerTier     = "Toucan-Tier"
	headerRevision = "Toucan-Revision"
	headerTimeout  = "Toucan-Timeout-Us"
	headerPrompt   = "Toucan-Prompt-Tokens"
	headerAnswer   = "Toucan-Answer-Tokens"
	headerClaim    = "Toucan-Claim"
	headerLink     = "Toucan-Link"
)

// Write sets the HTTP headers.
func (h *Header) Write(to http.Header) {
	to.Set(headerRequest, h.ID.Request)
	to.Set(headerAttempt, strconv.Itoa(h.ID.Attempt))
	to.Set(headerGateway, strconv.FormatUint(uint64(h.ID.Gateway), 16))
	to.Set(headerAgent, strconv.FormatUint(uint64(h.Agent), 16))
	to.Set(headerService, h.Service)
	to.Set(headerVersion, h.Version)
	to.Set(headerRoute, h.Route)
	to.Set(headerAccount, h.Account)
	to.Set(headerMethod, h.Method)
	to.Set(headerPath, h.Path)
	to.Set(headerTier, strconv.Itoa(int(h.Tier)))
	to.Set(headerRevision, strconv.FormatUint(h.Revision, 10))
	to.Set(headerTimeout, strconv.FormatInt(h.Timeout.Microseconds(), 10))
	to.Set(headerPrompt, strconv.Itoa(h.PromptTokens))
	to.Set(headerAnswer, strconv.Itoa(h.AnswerTokens))
	if h.Link != "" {
		to.Set(headerLink, h.Link)
	}
	if h.Claim != "" {
		to.Set(headerClaim, h.Claim)
	}
}

// ReadHeader parses the HTTP headers of a dispatch.
func ReadHeader(from http.Header) (*Header, error) {
	p := headerParser{from: from}
	h := &Header{
		ID: ID{
			Request: from.Get(headerRequest),
			Attempt: p.integer(headerAttempt),
			Gateway: instance.Incarnation(p.unsigned(headerGateway, 16)),
		},
		Agent:        instance.Incarnation(p.unsigned(headerAgent, 16)),
		Service:      from.Get(headerService),
		Version:      from.Get(headerVersion),
		Route:        from.Get(headerRoute),
		Account:      from.Get(headerAccount),
		Method:       from.Get(headerMethod),
		Path:         from.Get(headerPath),
		Tier:         account.Tier(p.integer(headerTier)),
		Revision:     p.unsigned(headerRevision, 10),
		Timeout:      time.Duration(p.integer(headerTimeout)) * time.Microsecond,
		PromptTokens: p.integer(headerPrompt),
		AnswerTokens: p.integer(headerAnswer),
		Claim:        from.Get(headerClaim),
		Link:         from.Get(headerLink),
	}
	if h.ID.Request == "" {
		p.fail(headerRequest, "")
	}
	return h, p.err
}

type headerParser struct {
	from http.Header
	err  error
}

func (p *headerParser) integer(name string) int {
	n, err := strconv.Atoi(p.from.Get(name))
	if err != nil || n < 0 {
		p.fail(name, p.from.Get(name))
	}
	return n
}

func (p *headerParser) unsigned(name string, base int) uint64 {
	n, err := strconv.ParseUint(p.from.Get(name), base, 64)
	if err != nil {
		p.fail(name, p.from.Get(name))
	}
	return n
}

func (p *headerParser) fail(name, value string) {
	if p.err == nil {
		p.err = fmt.Errorf("dispatch header %s: bad value %q", name, value)
	}
}

// Accepted is the payload of the first frame.
type Accepted struct {
	Revision uint64        `msgpack:"revision"`
	Load     endpoint.Load `msgpack:"load"`
}

// Heartbeat is sent while nothing else is.
type Heartbeat struct {
	Revision uint64        `msgpack:"revision"`
	Load     endpoint.Load `msgpack:"load"`
}

// Started carries the engine's status and headers; the dispatch is committed.
type Started struct {
	Status int         `msgpack:"status"`
	Header http.Header `msgpack:"header"`
}

// End closes an answer. Length is the total of the data bytes.
type End struct {
	Length int64         `msgpack:"length"`
	Load   endpoint.Load `msgpack:"load"`
	// PromptTokens and AnswerTokens are what the engine processed.
	PromptTokens int `msgpack:"prompt_tokens"`
	AnswerTokens int `msgpack:"answer_tokens"`
}

// Refused says that the dispatch did not run and never will.
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
	CodeStaleConfig      Code = "stale_config"
)

// SealState is the outcome of a seal.
type SealState string

// Outcomes of a seal.
const (
	// SealSealed proves that the dispatch never ran and never will.
	SealSealed SealState = "sealed"
	// SealCommitted says that the dispatch was given to the engine.
	SealCommitted SealState = "committed"
	// SealDone says that a stored answer follows.
	SealDone SealState = "done"
)

// SealRequest asks an agent to settle a dispatch.
type SealRequest struct {
	ID    ID                   `msgpack:"id"`
	Agent instance.Incarnation `msgpack:"agent"`
}

// SealReply answers a SealRequest.
type SealReply struct {
	State SealState `msgpack:"state"`
	// Incarnation is the agent's; one that differs from SealRequest.Agent proves nothing
	// about what the earlier incarnation committed.
	Incarnation instance.Incarnation `msgpack:"incarnation"`
	Answer      *StoredAnswer        `msgpack:"answer"`
}

// StoredAnswer is a complete answer kept for a claimed request.
type StoredAnswer struct {
	Status int         `msgpack:"status"`
	Header http.Header `msgpack:"header"`
	Body   []byte      `msgpack:"body"`
}
