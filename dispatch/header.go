package dispatch

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"toucantiller.dev/account"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/instance"
)

// Header describes a dispatch. It is sent as HTTP headers; the caller's body follows
// unchanged.
type Header struct {
	ID ID
	// Agent is the incarnation of the agent that must handle the dispatch; any other refuses
	// it.
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
	// PromptTokens and AnswerTokens are the gateway's estimates.
	PromptTokens int
	AnswerTokens int
	// Claim is the idempotency claim, empty for unclaimed requests. The agent keeps the
	// answer of a claimed request until the claim is completed.
	Claim string
	// Link is where the gateway serves net/rpc, as "ip:port"; an agent with an older
	// configuration fetches the newer one there.
	Link string
	// Pass holds the caller's headers for the engine; only PassedHeaders are sent unless
	// PassAll is set.
	Pass http.Header
	// PassAll asks the agent to pass all headers of Pass to the engine, and all of the
	// engine's headers to the caller.
	PassAll bool
	// Host is the caller's Host header, empty where the engine does not use it.
	Host string
	// Engine describes the endpoint behind the agent; nil where the agent knows it already.
	Engine *Engine
	// Waiting describes the requests of the service that wait at the gateway. It is sent only
	// where Engine is set.
	Waiting Waiting
	// Reserve is the number of slots that must stay free besides the one for this request.
	// It is sent only where Engine is set.
	Reserve int
}

// Waiting describes the requests of a service that wait at a gateway.
type Waiting struct {
	Requests int `msgpack:"requests"`
	// Tier, Density and Reserve are those of the first request in line: its tier, the value
	// of its answer per unit of work, and the number of slots that it must leave free.
	Tier    account.Tier `msgpack:"tier"`
	Density float64      `msgpack:"density"`
	Reserve int          `msgpack:"reserve,omitempty"`
}

// Engine describes an endpoint that announces itself to control.
type Engine struct {
	// ID is the endpoint that must handle the request; another one at its address must refuse
	// it.
	ID endpoint.ID
	// Incarnation is that of the endpoint; 0 if the gateway does not send it.
	Incarnation instance.Incarnation
	// Slots is the number of requests that it runs at once; 0 means not known.
	Slots int
	// ColdRate is the maximum rate while cold, in requests per second; 0 means no bound.
	ColdRate float64
	// EventTokens is the number of tokens per event of its streams; 0 means one.
	EventTokens int
	// Cold is set while the endpoint reports that it is cold.
	Cold bool
}

// PassedHeaders names the caller's headers that are passed to the engine, in canonical form.
var PassedHeaders = []string{"Accept", "Accept-Language", "Content-Type", "Idempotency-Key", "Traceparent", "Tracestate"}

// passPrefix is the prefix of a passed header's name on the link.
const passPrefix = "toucan-pass-"

// passedHeaderNames are the names of PassedHeaders on the link, in their order.
var passedHeaderNames = passedLinkNames(PassedHeaders)

func passedLinkNames(names []string) []string {
	out := make([]string, len(names))
	for i, name := range names {
		out[i] = passPrefix + strings.ToLower(name)
	}
	return out
}

// AnswerHeaders names the engine's headers that are passed to the caller, in canonical form.
var AnswerHeaders = []string{"Cache-Control", "Content-Disposition", "Content-Language", "Content-Type", "Etag", "Last-Modified", "Location"}

// IsEventStream reports whether the headers of an answer are those of an event stream. Media types
// are compared without case.
func IsEventStream(h http.Header) bool {
	mediaType, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream")
}

// SelectHeaders returns the named headers of h; names and h are in canonical form.
func SelectHeaders(h http.Header, names []string) http.Header {
	out := make(http.Header, len(names))
	for _, name := range names {
		if v := h[name]; len(v) > 0 {
			out[name] = v
		}
	}
	return out
}

// Names of the HTTP headers that carry a Header, in lower case as HTTP/2 sends them: for a
// name in another form net/http allocates a new string per request. The values that differ
// between dispatches share one header, because each header with a new value takes an entry
// of the compression table of HTTP/2.
const (
	headerDispatch    = "toucan-dispatch"
	headerService     = "toucan-service"
	headerVersion     = "toucan-version"
	headerRoute       = "toucan-route"
	headerAccount     = "toucan-account"
	headerMethod      = "toucan-method"
	headerPath        = "toucan-path"
	headerClaim       = "toucan-claim"
	headerLink        = "toucan-link"
	headerHost        = "toucan-host"
	headerEngine      = "toucan-engine"
	headerIncarnation = "toucan-engine-incarnation"
	headerPassAll     = "toucan-pass-all"
	headerWaiting     = "toucan-waiting"
)

// HeaderCount is the capacity to allocate for the HTTP headers that carry a Header.
const HeaderCount = 24

// Write sets the HTTP headers that carry h, with names in lower case.
func (h *Header) Write(to http.Header) {
	// All required values share one backing array, which saves an allocation for each.
	values := []string{h.formatIdentity(), h.Service, h.Version, h.Route, h.Account, h.Method, h.Path}
	for i, name := range requiredHeaders {
		to[name] = values[i : i+1 : i+1]
	}
	if h.Claim != "" {
		to[headerClaim] = []string{h.Claim}
	}
	if h.Link != "" {
		to[headerLink] = []string{h.Link}
	}
	if h.Host != "" {
		to[headerHost] = []string{h.Host}
	}
	if e := h.Engine; e != nil {
		to[headerWaiting] = []string{h.formatWaiting()}
		to[headerIncarnation] = []string{strconv.FormatUint(uint64(e.Incarnation), 16)}
		to[headerEngine] = []string{strconv.FormatBool(e.Cold) + ";" + strconv.Itoa(e.Slots) + ";" + strconv.Itoa(e.EventTokens) + ";" + strconv.FormatFloat(e.ColdRate, 'g', -1, 64) + ";" + string(e.ID)}
	}
	if h.PassAll {
		to[headerPassAll] = []string{"1"}
		for name, v := range h.Pass {
			to[passPrefix+strings.ToLower(name)] = v
		}
		return
	}
	for i, name := range PassedHeaders {
		if v := h.Pass[name]; len(v) > 0 {
			to[passedHeaderNames[i]] = v
		}
	}
}

// requiredHeaders names the headers of every dispatch, in the order used by Write.
var requiredHeaders = [...]string{headerDispatch, headerService, headerVersion, headerRoute, headerAccount, headerMethod, headerPath}

// identityNumberCount is the number of numbers in headerDispatch: attempt, gateway
// incarnation, agent incarnation, tier, revision, timeout in microseconds, prompt tokens and
// answer tokens, in hexadecimal and each followed by ";". The request ID follows them.
const identityNumberCount = 8

// formatIdentity returns the value of headerDispatch.
func (h *Header) formatIdentity() string {
	values := [identityNumberCount]uint64{
		uint64(h.ID.Attempt), uint64(h.ID.Gateway), uint64(h.Agent), uint64(h.Tier), //nolint:gosec // never negative
		h.Revision, uint64(h.Timeout.Microseconds()), uint64(h.PromptTokens), uint64(h.AnswerTokens), //nolint:gosec // never negative
	}
	out := make([]byte, 0, 192)
	for _, v := range values {
		out = strconv.AppendUint(out, v, 16)
		out = append(out, ';')
	}
	return string(append(out, h.ID.Request...))
}

// formatWaiting returns the value of headerWaiting: the numbers of Waiting and Reserve,
// separated by ";".
func (h *Header) formatWaiting() string {
	w := &h.Waiting
	out := strconv.AppendInt(make([]byte, 0, 48), int64(w.Requests), 10)
	for _, n := range [...]int{int(w.Tier), w.Reserve, h.Reserve} {
		out = strconv.AppendInt(append(out, ';'), int64(n), 10)
	}
	return string(strconv.AppendFloat(append(out, ';'), w.Density, 'g', 4, 64))
}

// waitingFields is the number of fields in headerWaiting.
const waitingFields = 5

func (h *Header) parseWaiting(s string) error {
	fields := strings.Split(s, ";")
	if len(fields) != waitingFields {
		return fmt.Errorf("%q has not %d fields", s, waitingFields)
	}
	var numbers [waitingFields - 1]int
	for i := range numbers {
		n, err := strconv.ParseUint(fields[i], 10, 16)
		if err != nil {
			return err
		}
		numbers[i] = int(n)
	}
	density, err := strconv.ParseFloat(fields[waitingFields-1], 64)
	if err != nil {
		return err
	}
	h.Waiting = Waiting{Requests: numbers[0], Tier: account.Tier(numbers[1]), Reserve: numbers[2], Density: density}
	h.Reserve = numbers[3]
	return nil
}

// ReadHeader parses the HTTP headers of a dispatch, with names in canonical form.
func ReadHeader(from http.Header) (*Header, error) {
	h := &Header{
		Service: from.Get(headerService),
		Version: from.Get(headerVersion),
		Route:   from.Get(headerRoute),
		Account: from.Get(headerAccount),
		Method:  from.Get(headerMethod),
		Path:    from.Get(headerPath),
		Claim:   from.Get(headerClaim),
		Link:    from.Get(headerLink),
		Host:    from.Get(headerHost),
		Pass:    make(http.Header),
	}
	if err := h.parseIdentity(from.Get(headerDispatch)); err != nil {
		return nil, fmt.Errorf("dispatch header %s: %w", headerDispatch, err)
	}
	if v := from.Get(headerEngine); v != "" {
		e, err := parseEngine(v)
		if err != nil {
			return nil, fmt.Errorf("dispatch header %s: %w", headerEngine, err)
		}
		if v := from.Get(headerIncarnation); v != "" {
			n, err := strconv.ParseUint(v, 16, 64)
			if err != nil {
				return nil, fmt.Errorf("dispatch header %s: %w", headerIncarnation, err)
			}
			e.Incarnation = instance.Incarnation(n)
		}
		h.Engine = e
		if err = h.parseWaiting(from.Get(headerWaiting)); err != nil {
			return nil, fmt.Errorf("dispatch header %s: %w", headerWaiting, err)
		}
	}
	if h.PassAll = from.Get(headerPassAll) != ""; h.PassAll {
		for name, v := range from {
			if passed, ok := strings.CutPrefix(name, passPrefixCanonical); ok && name != headerPassAllCanonical {
				h.Pass[passed] = v
			}
		}
		return h, nil
	}
	for i, name := range PassedHeaders {
		if v := from.Values(passedHeaderNames[i]); len(v) > 0 {
			h.Pass[name] = v
		}
	}
	return h, nil
}

// Canonical forms of names on the link, as a server of net/http receives them.
var (
	passPrefixCanonical    = http.CanonicalHeaderKey(passPrefix + "x")[:len(passPrefix)]
	headerPassAllCanonical = http.CanonicalHeaderKey(headerPassAll)
)

// parseEngine parses the value of headerEngine: whether the endpoint is cold, its slots,
// tokens per event, cold rate and ID, separated by ";".
func parseEngine(s string) (*Engine, error) {
	cold, rest, _ := strings.Cut(s, ";")
	slots, rest, _ := strings.Cut(rest, ";")
	event, rest, _ := strings.Cut(rest, ";")
	rate, id, more := strings.Cut(rest, ";")
	if !more || id == "" {
		return nil, errors.New("slots, rate and ID expected")
	}
	e := &Engine{ID: endpoint.ID(id)}
	var err error
	if e.Slots, err = strconv.Atoi(slots); err != nil || e.Slots < 0 {
		return nil, fmt.Errorf("slots %q", slots)
	}
	if e.Cold, err = strconv.ParseBool(cold); err != nil {
		return nil, fmt.Errorf("cold %q", cold)
	}
	if e.EventTokens, err = strconv.Atoi(event); err != nil || e.EventTokens < 0 {
		return nil, fmt.Errorf("tokens of an event %q", event)
	}
	if e.ColdRate, err = strconv.ParseFloat(rate, 64); err != nil || !(e.ColdRate >= 0) {
		return nil, fmt.Errorf("rate %q", rate)
	}
	return e, nil
}

// maxIdentityNumber bounds every field that is held in an int or a time.Duration.
const maxIdentityNumber = 1 << 50

func (h *Header) parseIdentity(s string) error {
	var values [identityNumberCount]uint64
	for i := range values {
		field, rest, more := strings.Cut(s, ";")
		if !more {
			return fmt.Errorf("%d numbers and a request ID expected", identityNumberCount)
		}
		v, err := strconv.ParseUint(field, 16, 64)
		if err != nil {
			return err
		}
		values[i] = v
		s = rest
	}
	for _, i := range []int{0, 3, 5, 6, 7} {
		if values[i] > maxIdentityNumber {
			return fmt.Errorf("field %d is out of range", i)
		}
	}
	if s == "" {
		return errors.New("the request ID is missing")
	}
	h.ID.Request = s
	h.ID.Attempt = int(values[0]) //nolint:gosec // bounded by maxIdentityNumber
	h.ID.Gateway = instance.Incarnation(values[1])
	h.Agent = instance.Incarnation(values[2])
	h.Tier = account.Tier(values[3]) //nolint:gosec // bounded by maxIdentityNumber
	h.Revision = values[4]
	h.Timeout = time.Duration(values[5]) * time.Microsecond //nolint:gosec // bounded by maxIdentityNumber
	h.PromptTokens = int(values[6])                         //nolint:gosec // bounded by maxIdentityNumber
	h.AnswerTokens = int(values[7])                         //nolint:gosec // bounded by maxIdentityNumber
	return nil
}
