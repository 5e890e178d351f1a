package gateway

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"toucantiller.dev/account"
	"toucantiller.dev/contract"
	"toucantiller.dev/dispatch"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/quarantine"
	"toucantiller.dev/schedule"
)

// Names of the caller's headers.
const (
	headerRequestID   = "X-Request-Id"
	headerIdempotency = "Idempotency-Key"
	headerTier        = "X-Request-Tier"
	headerTimeout     = "X-Request-Timeout-Ms"
	headerEndpoint    = "X-Endpoint-Id"
	headerVersion     = "X-Endpoint-Version"
	headerRevision    = "X-Config-Revision"
)

const (
	maxRequestID = 128 // bytes
	maxKey       = 255 // bytes
	maxPath      = 8 << 10
	maxTimeout   = time.Hour
	// bytesPerToken is the mean length of a token in prompts.
	bytesPerToken = 4
)

// call is one caller's request after its checks.
type call struct {
	config       *contract.Config
	account      *account.Account
	service      *contract.Service
	route        contract.Route
	id           string
	method       string
	path         string
	body         []byte
	tier         account.Tier
	deadline     time.Time
	stream       bool
	promptTokens int
	answerTokens int
	// maxAnswerTokens is the bound on the answer that the caller stated, 0 if it stated none.
	maxAnswerTokens int
	key             string
	// memory accounts for the call; nil if nothing does.
	memory *RequestMemory
	// passedHeaders holds the caller's headers that are passed to the engine.
	passedHeaders http.Header
	// hash selects the version and stays the same for all attempts.
	hash     uint64
	prefixes []schedule.Prefix
	// sharedParts are the parts of the prompt that other requests may have too.
	sharedParts []quarantine.Part
	// host is the caller's Host header, for the engine.
	host string
	// ingress is the route of a call that is routed by host and path; nil for the gateway's own
	// interface.
	ingress *contract.IngressRoute
	// problemWriter writes a problem in the format of the caller's interface.
	problemWriter func(w http.ResponseWriter, p *Problem)
	// cost is the number of tokens charged to the account's budget.
	cost int
	// arrived is when a call that is routed by host and path was read; zero for others.
	arrived time.Time
	// objective is when the answer should begin; zero without an objective.
	objective time.Time
	// startBy is when the caller disconnects if the answer has not begun; zero if it does not.
	startBy time.Time
	// rating is valid if rated is set, from the first placement on.
	rating rating
	rated  bool
	// waited is the time in the queue over all attempts.
	waited time.Duration
	// lastAttempt describes the last attempt, for the request log.
	lastAttempt attemptRecord
	// runs counts the endpoints that may have run the call.
	runs int
	// excluded lists the endpoints that are not tried again.
	excluded []endpoint.ID
}

// verbatim reports whether the endpoint's status, headers and body reach the caller unchanged.
func (c *call) verbatim() bool { return c.ingress != nil }

// needsClaim reports whether the call needs an idempotency claim.
func (c *call) needsClaim() bool { return c.key != "" && !c.route.Idempotent && c.ingress == nil }

// Handler returns the gateway's own interface for callers.
func (g *Gateway) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/models", g.serveModels).Methods(http.MethodGet)
	r.HandleFunc(pathChat, g.serveModel).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", g.serveModel).Methods(http.MethodPost)
	r.PathPrefix("/services/{service}/").HandlerFunc(g.servePlain)
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		newProblem(http.StatusNotFound, "unknown_path", ExecutionNotRun, "no such path: %s", r.URL.Path).write(w)
	})
	r.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		newProblem(http.StatusMethodNotAllowed, "method_not_allowed", ExecutionNotRun, "%s is not allowed here", r.Method).write(w)
	})
	return g.closeConnectionsWhenStopping(r)
}

// servingConfig returns the configuration to judge a request by, nil if the gateway may not accept
// it. The permission is read first: it covers the configuration of that moment and any newer
// one, but not one that was read before.
func (g *Gateway) servingConfig(now time.Time) *contract.Config {
	if !g.opt.View.MayServe(now) {
		return nil
	}
	return g.opt.View.Config()
}

// beginCall checks what all calls have in common: configuration, identity and account.
func (g *Gateway) beginCall(w http.ResponseWriter, r *http.Request) (*call, *Problem) {
	config := g.servingConfig(time.Now())
	if config == nil {
		p := newProblem(http.StatusServiceUnavailable, "no_configuration", ExecutionNotRun, "no current configuration at this gateway")
		p.RetryAfter = time.Second
		return nil, p
	}
	c := &call{
		config: config, id: r.Header.Get(headerRequestID), method: r.Method, key: r.Header.Get(headerIdempotency),
		passedHeaders: dispatch.SelectHeaders(r.Header, dispatch.PassedHeaders), hash: rand.Uint64(), //nolint:gosec // load balancing needs no secrecy
	}
	if c.id == "" {
		c.id = g.idPrefix + strconv.FormatUint(g.sequence.Add(1), 10)
	}
	if !printable(c.id, maxRequestID) {
		return nil, newProblem(http.StatusBadRequest, "bad_header", ExecutionNotRun, "%s must be at most %d printable ASCII characters", headerRequestID, maxRequestID)
	}
	if !printable(c.key, maxKey) {
		return nil, newProblem(http.StatusBadRequest, "bad_header", ExecutionNotRun, "%s must be at most %d printable ASCII characters", headerIdempotency, maxKey)
	}
	setTwoHeaders(w.Header(), headerRequestID, c.id, headerRevision, strconv.FormatUint(config.Revision, 10))
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return nil, newProblem(http.StatusUnauthorized, "missing_key", ExecutionNotRun, "Authorization must be a Bearer key")
	}
	if c.account, ok = config.AccountByKey(key); !ok {
		return nil, newProblem(http.StatusUnauthorized, "unknown_key", ExecutionNotRun, "the key belongs to no client account")
	}
	return c, nil
}

// printable reports whether s has at most limit bytes, all of them visible ASCII.
func printable(s string, limit int) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return len(s) <= limit
}

// checkService checks what depends on the service: access, tier and timeout.
func (c *call) checkService(r *http.Request, s *contract.Service) *Problem {
	c.service = s
	if !c.account.MayCall(s.Name) {
		return newProblem(http.StatusForbidden, "service_forbidden", ExecutionNotRun, "account %s may not call %s", c.account.Name, s.Name)
	}
	if p := c.readTier(r); p != nil {
		return p
	}
	return c.readTimeout(r)
}

func (c *call) readTier(r *http.Request) *Problem {
	c.tier = c.account.Tier
	name := r.Header.Get(headerTier)
	if name == "" {
		return nil
	}
	for rank, t := range c.config.Tiers {
		if t.Name != name {
			continue
		}
		if account.Tier(rank) < c.account.Tier {
			return newProblem(http.StatusForbidden, "tier_forbidden", ExecutionNotRun, "account %s may not use tier %s", c.account.Name, name)
		}
		c.tier = account.Tier(rank)
		return nil
	}
	return newProblem(http.StatusBadRequest, "bad_header", ExecutionNotRun, "%s: no tier %q", headerTier, name)
}

func (c *call) readTimeout(r *http.Request) *Problem {
	timeout := c.service.Timeout
	if v := r.Header.Get(headerTimeout); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil || ms <= 0 || ms > maxTimeout.Milliseconds() {
			return newProblem(http.StatusBadRequest, "bad_header", ExecutionNotRun, "%s must be 1 to %d", headerTimeout, maxTimeout.Milliseconds())
		}
		timeout = time.Duration(ms) * time.Millisecond
	}
	c.deadline = time.Now().Add(timeout)
	return nil
}

func (c *call) readBody(w http.ResponseWriter, r *http.Request, limit int64) *Problem {
	body, p := c.memory.ReadBody(w, r, limit)
	if p != nil {
		return p
	}
	c.body = body
	c.promptTokens = len(body) / bytesPerToken
	return nil
}

// modelRequest holds the fields of an OpenAI request that the gateway reads.
type modelRequest struct {
	Model               string `json:"model"`
	Stream              bool   `json:"stream"`
	MaxTokens           int    `json:"max_tokens"`
	MaxCompletionTokens int    `json:"max_completion_tokens"`
	// Messages are those of a chat; the gateway does not read their content.
	Messages []json.RawMessage `json:"messages"`
}

// pathChat is the path for chats, which need messages.
const pathChat = "/v1/chat/completions"

// invalidReason returns why no engine can answer the request on a path, empty if one can.
func (m *modelRequest) invalidReason(path string) string {
	switch {
	case path == pathChat && len(m.Messages) == 0:
		return "a chat needs at least one of messages"
	case m.MaxTokens < 0:
		return "max_tokens is below 0"
	case m.MaxCompletionTokens < 0:
		return "max_completion_tokens is below 0"
	}
	return ""
}

// readCall reads and checks a call; it answers a refused one and returns nil.
// The account of the call that it returns must be released.
func (g *Gateway) readCall(w http.ResponseWriter, r *http.Request, read func(*call, http.ResponseWriter, *http.Request) *Problem) *call {
	var c *call
	m, p := g.AdmitRequest(w, r)
	if p == nil {
		c, p = g.beginCall(w, r)
	}
	if p == nil {
		c.memory = m
		p = read(c, w, r)
	}
	if p == nil {
		p = g.refuseBeyondStop(c)
	}
	if p != nil {
		m.Release()
		g.RefuseUndecoded(w, p, func(w http.ResponseWriter, p *Problem) { p.write(w) })
		return nil
	}
	return c
}

func (g *Gateway) serveModel(w http.ResponseWriter, r *http.Request) {
	c := g.readCall(w, r, (*call).readModel)
	if c == nil {
		return
	}
	defer c.memory.Release()
	c.path = r.URL.Path
	c.route = c.service.RouteFor(c.method, c.path)
	c.answerTokens = g.estimateAnswerTokens(c)
	c.prefixes = promptPrefixes(c.body)
	g.serve(w, r, c)
}

func (c *call) readModel(w http.ResponseWriter, r *http.Request) *Problem {
	if p := c.readBody(w, r, c.maxModelBody()); p != nil {
		return p
	}
	var m modelRequest
	if err := json.Unmarshal(c.body, &m); err != nil {
		return newProblem(http.StatusBadRequest, "bad_json", ExecutionNotRun, "the body is not valid JSON: %v", err)
	}
	s, ok := c.config.ServiceByModel(m.Model)
	if !ok {
		return newProblem(http.StatusNotFound, "unknown_model", ExecutionNotRun, "no model %q", m.Model)
	}
	c.stream = m.Stream
	c.answerTokens = max(m.MaxTokens, m.MaxCompletionTokens)
	if int64(len(c.body)) > s.MaxBody {
		return newProblem(http.StatusRequestEntityTooLarge, "body_too_large", ExecutionNotRun, "the body exceeds %d bytes", s.MaxBody)
	}
	if p := c.checkService(r, s); p != nil {
		return p
	}
	if reason := m.invalidReason(r.URL.Path); reason != "" {
		return newProblem(http.StatusBadRequest, "bad_request", ExecutionNotRun, "%s", reason)
	}
	return nil
}

// estimateAnswerTokens returns the expected number of answer tokens, at most the caller's
// maximum.
func (g *Gateway) estimateAnswerTokens(c *call) int {
	n := g.estimator.Estimate(c.route.Name, c.account.Name)
	if c.answerTokens > 0 {
		n = min(n, c.answerTokens)
	}
	return n
}

// maxModelBody returns the largest body size that any model service accepts.
func (c *call) maxModelBody() int64 {
	var limit int64
	for _, s := range c.config.Services {
		if s.Kind == contract.KindModel {
			limit = max(limit, s.MaxBody)
		}
	}
	return limit
}

func (g *Gateway) servePlain(w http.ResponseWriter, r *http.Request) {
	c := g.readCall(w, r, (*call).readPlain)
	if c == nil {
		return
	}
	defer c.memory.Release()
	g.serve(w, r, c)
}

func (c *call) readPlain(w http.ResponseWriter, r *http.Request) *Problem {
	name := mux.Vars(r)["service"]
	s, ok := c.config.ServiceByName(name)
	if !ok || s.Kind != contract.KindPlain {
		return newProblem(http.StatusNotFound, "unknown_service", ExecutionNotRun, "no service %q", name)
	}
	if p := c.checkService(r, s); p != nil {
		return p
	}
	c.route = s.RouteFor(r.Method, strings.TrimPrefix(r.URL.Path, "/services/"+name))
	c.path = strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+url.PathEscape(name))
	if r.URL.RawQuery != "" {
		c.path += "?" + r.URL.RawQuery
	}
	if !strings.HasPrefix(c.path, "/") || !printable(c.path, maxPath) {
		return newProblem(http.StatusBadRequest, "bad_path", ExecutionNotRun, "the path must be at most %d printable ASCII characters", maxPath)
	}
	return c.readBody(w, r, s.MaxBody)
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (g *Gateway) serveModels(w http.ResponseWriter, r *http.Request) {
	c, p := g.beginCall(w, r)
	if p != nil {
		g.metrics.recordProblem(p)
		p.write(w)
		return
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, s := range c.config.Services {
		if !c.account.MayCall(s.Name) {
			continue
		}
		for _, m := range s.Models {
			list.Data = append(list.Data, modelEntry{ID: m, Object: "model", OwnedBy: s.Name})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}
