package gateway

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucantiller.dev/contract"
	"toucantiller.dev/control/api"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/schedule"
)

// routing is an immutable view of the endpoints and queues for requests. It is replaced as a
// whole when the configuration or the directory changes.
type routing struct {
	config    *contract.Config
	directory *api.Directory
	snapshot  *schedule.Snapshot
	queues    map[string]*serviceQueue
}

func (r *routing) builtFrom(c *contract.Config, d *api.Directory) bool {
	return r != nil && r.config == c && r.directory == d
}

// currentRouting returns the routing for the present view. After a change one request rebuilds
// it, while the others continue with the previous one.
func (g *Gateway) currentRouting() *routing {
	config, directory := g.opt.View.Config(), g.opt.View.Directory()
	r := g.routing.Load()
	if r.builtFrom(config, directory) {
		return r
	}
	if r != nil && !g.rebuildMu.TryLock() {
		return r
	}
	if r == nil {
		g.rebuildMu.Lock()
	}
	defer g.rebuildMu.Unlock()
	if r = g.routing.Load(); r.builtFrom(config, directory) {
		return r
	}
	next := g.buildRouting(r, config, directory)
	g.routing.Store(next)
	for _, q := range next.queues {
		q.placeWaiting()
	}
	return next
}

func (g *Gateway) buildRouting(old *routing, config *contract.Config, directory *api.Directory) *routing {
	now := time.Now()
	in := schedule.SnapshotInput{Profile: schedule.ProfileWithout(g.opt.Without), Gateway: g.opt.Instance.ID, Domain: g.opt.Instance.Domain, Config: config}
	if directory != nil {
		in.Endpoints = g.usableEndpoints(directory.Endpoints)
	}
	next := &routing{config: config, directory: directory, queues: make(map[string]*serviceQueue)}
	if old != nil {
		in.Previous = old.snapshot
		next.queues = old.queues
	}
	next.snapshot = schedule.NewSnapshot(in)
	g.wallets.update(config.Accounts, tokenShare(directory), g.budgetNow(now))
	if old == nil || old.config != config {
		g.accounts.Update(config.Accounts, now)
		next.queues = g.buildQueues(next.queues, config)
		g.forgetRoutes(config, next.queues)
	}
	g.dropPeers(in.Endpoints)
	g.watchAgents(next.snapshot)
	return next
}

// forgetRoutes drops the statistics of routes that the configuration no longer has.
func (g *Gateway) forgetRoutes(c *contract.Config, queues map[string]*serviceQueue) {
	known := make(map[string]bool)
	if c.Ingress != nil {
		for i := range c.Ingress.Routes {
			known[c.Ingress.Routes[i].Name] = true
		}
	}
	g.waits.retainRoutes(known)
	for _, q := range queues {
		q.acceptance.retainRoutes(known)
	}
}

func (g *Gateway) buildQueues(old map[string]*serviceQueue, config *contract.Config) map[string]*serviceQueue {
	out := make(map[string]*serviceQueue, len(config.Services))
	for _, s := range config.Services {
		q := old[s.Name]
		if q == nil {
			q = newServiceQueue(g, s.Name)
		}
		q.configure(s, config)
		out[s.Name] = q
	}
	return out
}

// usableEndpoints returns the endpoints without odd ones, which an earlier version or a peer may
// have registered. It logs those, each set of them once; rebuildMu must be held.
func (g *Gateway) usableEndpoints(endpoints []endpoint.Endpoint) []endpoint.Endpoint {
	usable := make([]endpoint.Endpoint, 0, len(endpoints))
	var first error
	var odd strings.Builder
	for i := range endpoints {
		e := &endpoints[i]
		err := e.Check()
		if err == nil {
			usable = append(usable, *e)
			continue
		}
		first = cmp.Or(first, err)
		odd.WriteString(string(e.ID) + " ")
	}
	if all := odd.String(); all != g.oddEndpoints {
		g.oddEndpoints = all
		if all != "" {
			_ = g.opt.Logger.Log("msg", "endpoints left out", "count", len(endpoints)-len(usable), "endpoints", fmt.Sprintf("%.256q", all), "err", first)
		}
	}
	return usable
}

// dropPeers closes the links to agents that are no longer registered.
func (g *Gateway) dropPeers(endpoints []endpoint.Endpoint) {
	known := make(map[string]bool, len(endpoints))
	for i := range endpoints {
		known[endpoints[i].Address] = true
	}
	g.dropEngines(endpoints)
	g.peers.Range(func(address, p any) bool {
		if !known[address.(string)] {
			g.peers.Delete(address)
			p.(*peer).close()
		}
		return true
	})
}

var rngPool = sync.Pool{New: func() any { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }} //nolint:gosec // load balancing needs no secrecy

// pickEndpoint chooses an endpoint and counts the request there.
func (g *Gateway) pickEndpoint(route *routing, c *call) schedule.Decision {
	now := time.Now()
	r := schedule.Request{
		Service: c.service.Name, Shares: c.service.Versions,
		UnprovenAllowed: g.opt.View.UnprovenAllowed(now),
		Hash:            c.hash, Tier: c.tier, PromptTokens: c.promptTokens, AnswerTokens: c.answerTokens,
		Prefixes: c.prefixes, Excluded: c.excluded, Reserve: c.rating.reserve,
	}
	if c.ingress != nil {
		r.FinishWithin = c.deadline.Sub(now)
		if !c.objective.IsZero() {
			r.StartWithin = c.objective.Sub(now)
		}
	}
	rng := rngPool.Get().(*rand.Rand)
	defer rngPool.Put(rng)
	if route.config != c.config {
		// The version shares may have changed since the call arrived.
		if s, ok := route.config.ServiceByName(c.service.Name); ok {
			r.Shares = s.Versions
		}
	}
	d := route.snapshot.Pick(&r, now, rng)
	if d.Candidate != nil {
		d.Candidate.AddOutstanding(c.promptTokens, c.answerTokens)
	}
	return d
}

// prefixSizes are the lengths of the prompt prefixes used for cache affinity, in bytes.
var prefixSizes = [...]int{1 << 10, 4 << 10, 16 << 10, 64 << 10}

func promptPrefixes(body []byte) []schedule.Prefix {
	var out []schedule.Prefix
	for _, n := range prefixSizes {
		if len(body) < n {
			break
		}
		out = append(out, schedule.Prefix{Hash: xxhash.Sum64(body[:n]), Tokens: n / bytesPerToken})
	}
	return out
}
