package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"toucantiller.dev/account"
	"toucantiller.dev/contract"
	"toucantiller.dev/control/api"
	"toucantiller.dev/instance"
	"toucantiller.dev/policy"
	"toucantiller.dev/quarantine"
	"toucantiller.dev/schedule"
)

// IngressRequest is a caller's request as decoded by the adapter of another interface. Its
// route is chosen by host and path.
type IngressRequest struct {
	// ID names the caller's attempt; it is unique.
	ID     string
	Host   string
	Method string
	// Path is the path alone; Target is the path and query as the caller sent them.
	Path   string
	Target string
	// Key is the caller's API key, empty if there is none.
	Key string
	// Timeout is how long the caller waits, 0 if it did not say.
	Timeout time.Duration
	// SizesStated is set if the caller stated PromptTokens and MaxAnswerTokens.
	SizesStated     bool
	PromptTokens    int
	MaxAnswerTokens int
	// ExpectedAnswer is the caller's estimate of the answer in tokens, 0 if there is none.
	ExpectedAnswer int
	// Prefixes lists hashed prefixes of the prompt, from the shortest to the longest.
	Prefixes []schedule.Prefix
	// SharedParts lists the parts of the prompt that other requests may have too.
	SharedParts []quarantine.Part
	// Header holds the caller's headers that are passed to the endpoint.
	Header http.Header
	Body   []byte
	// Memory accounts for the request; nil if nothing does.
	Memory *RequestMemory
}

// anonymousAccount is the account of calls on public routes without a key.
var anonymousAccount = &account.Account{Weight: 1}

// minAffinityTokens is the shortest prefix for which a prompt is placed at the endpoint that
// caches it: the prefill of a shorter one takes less time than the wait for a busy endpoint.
const minAffinityTokens = 512

// notServingRetryAfter is the Retry-After of a gateway that cannot serve yet, for example
// because it has no configuration.
const notServingRetryAfter = 300 * time.Millisecond

// ServeIngressRequest runs a request that is routed by host and path. writeProblem writes
// refusals and failures in the adapter's format.
func (g *Gateway) ServeIngressRequest(w http.ResponseWriter, r *http.Request, in *IngressRequest, writeProblem func(http.ResponseWriter, *Problem)) {
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	began := time.Now()
	g.awaitConfiguration(r.Context(), in)
	c, p := g.beginIngressRequest(in)
	if p != nil {
		g.RefuseIngressRequest(w, in, began, p, writeProblem)
		return
	}
	c.problemWriter = writeProblem
	g.serve(w, r, c)
}

// RefuseIngressRequest answers a request that is refused before it has a route, an account or a
// service, and logs it. Only ID, Host and Path of the request need to be set.
func (g *Gateway) RefuseIngressRequest(w http.ResponseWriter, in *IngressRequest, began time.Time, p *Problem, writeProblem func(http.ResponseWriter, *Problem)) {
	g.logRefused(in, began, p)
	g.RefuseUndecoded(w, p, writeProblem)
}

const (
	// maxConfigurationWait is how long a request waits for the first configuration of a gateway
	// that has just started. After a restart of all processes a leader is elected within 0.5 s.
	maxConfigurationWait = 800 * time.Millisecond
	// configurationPoll is the time between two checks for it.
	configurationPoll = 10 * time.Millisecond
	// maxAwaitingConfiguration bounds the number of requests that wait for it.
	maxAwaitingConfiguration = 256
)

// awaitConfiguration holds a request that reached a gateway before its first configuration, for
// at most a quarter of the caller's timeout.
func (g *Gateway) awaitConfiguration(ctx context.Context, in *IngressRequest) {
	if g.opt.View.Config() != nil {
		return
	}
	defer g.awaitingConfiguration.Add(-1)
	if g.awaitingConfiguration.Add(1) > maxAwaitingConfiguration {
		return
	}
	wait := maxConfigurationWait
	if in.Timeout > 0 {
		wait = min(wait, in.Timeout/4)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for g.opt.View.Config() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(configurationPoll):
		}
	}
}

func (g *Gateway) beginIngressRequest(in *IngressRequest) (*call, *Problem) {
	now := time.Now()
	config := g.servingConfig(now)
	if config == nil || config.Ingress == nil {
		return nil, retryProblem("no_configuration", "no current configuration at this gateway")
	}
	route, ok := config.Ingress.Route(in.Host, in.Path)
	if !ok {
		return nil, newProblem(http.StatusNotFound, "unknown_route", ExecutionNotRun, "no route for %s%s", in.Host, in.Path)
	}
	c := &call{
		config: config, ingress: route, id: in.ID, method: in.Method, host: in.Host, path: in.Target, body: in.Body, memory: in.Memory,
		passedHeaders: in.Header, sharedParts: in.SharedParts, hash: rand.Uint64(), //nolint:gosec // load balancing needs no secrecy
		route: contract.Route{Name: route.Name, Idempotent: route.Repeatable()},
	}
	if p := c.findAccount(in.Key); p != nil {
		return nil, p
	}
	if c.service, ok = config.ServiceByName(route.Pick(c.hash)); !ok {
		return nil, newProblem(http.StatusNotFound, "unknown_service", ExecutionNotRun, "route %s has no service", route.Name)
	}
	c.setSizes(in)
	timeout := route.Timeout
	if in.Timeout > 0 {
		timeout = min(timeout, in.Timeout)
	}
	c.arrived, c.deadline = now, now.Add(timeout)
	if p := g.refuseBeyondStop(c); p != nil {
		return nil, p
	}
	if route.Patience > 0 {
		c.startBy = now.Add(route.Patience)
	}
	if route.Objective > 0 {
		// The caller's objective counts from its first attempt.
		elapsed := g.waits.elapsed(route.Name, c.account.Name, in.Timeout)
		if !g.opt.Without.InForce(policy.ReturningCallers) {
			elapsed = 0
		}
		c.objective = now.Add(route.Objective - elapsed)
	}
	return c, nil
}

// findAccount finds the account of the key, which public routes do not need.
func (c *call) findAccount(key string) *Problem {
	c.account = anonymousAccount
	if a, ok := c.config.AccountByKey(key); ok {
		c.account = a
	} else if !c.ingress.Public && len(c.config.Accounts) > 0 {
		return newProblem(http.StatusUnauthorized, "unknown_key", ExecutionNotRun, "the key belongs to no client account")
	}
	c.tier = c.ingress.Tier
	if c.account.OwnTier {
		c.tier = c.account.Tier
	}
	return nil
}

// setSizes records the sizes that the caller stated. The expected answer determines placement;
// the stated maximum is charged to the account's budget.
func (c *call) setSizes(in *IngressRequest) {
	c.promptTokens = in.PromptTokens
	for _, p := range in.Prefixes {
		if p.Tokens >= minAffinityTokens {
			c.prefixes = append(c.prefixes, p)
		}
	}
	c.answerTokens, c.maxAnswerTokens = in.MaxAnswerTokens, in.MaxAnswerTokens
	if in.ExpectedAnswer > 0 {
		c.answerTokens = in.ExpectedAnswer
	}
	c.cost = c.account.PlainTokens
	if in.SizesStated && !c.account.CountRequests {
		c.cost = in.PromptTokens + in.MaxAnswerTokens
	}
}

// writeProblem writes a problem in the format of the caller's interface.
func (c *call) writeProblem(w http.ResponseWriter, p *Problem) {
	if c.problemWriter == nil {
		p.write(w)
		return
	}
	c.problemWriter(w, p)
}

func retryProblem(code, detail string) *Problem {
	p := newProblem(http.StatusServiceUnavailable, code, ExecutionNotRun, "%s", detail)
	p.RetryAfter = notServingRetryAfter
	return p
}

// mayRepeat reports whether a call that ran may run again: its route allows it, no part of the
// answer was passed to the caller, and the endpoint failed or its answer was lost.
func (o *answerWriter) mayRepeat(r *attemptResult) bool {
	c := o.call
	if c.ingress == nil || !c.ingress.Repeatable() || o.headerSent || c.runs == 0 || c.runs >= c.ingress.MaxAttempts {
		return false
	}
	if r.problem != nil {
		return !r.notRun && r.problem.Status == http.StatusBadGateway
	}
	return o.status >= http.StatusInternalServerError
}

// saveFailedAnswer saves the answer of an endpoint that failed and resets the writer for
// another one.
func (o *answerWriter) saveFailedAnswer(r attemptResult) attemptResult {
	if r.problem == nil {
		r.stored = o.stored()
	}
	o.status, o.header, o.buffer, o.streaming = 0, nil, nil, false
	return r
}

// tokenShare is this gateway's share of the accounts' token limits.
func tokenShare(d *api.Directory) float64 {
	gateways := 0
	if d != nil {
		for _, p := range d.Processes {
			if p.Role == instance.RoleGateway {
				gateways++
			}
		}
	}
	return 1 / float64(max(gateways, 1))
}
