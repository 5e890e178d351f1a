// Package gateway is the process at the entry: it accepts calls, authenticates the
// client account, admits, picks an endpoint and streams the answer back.
package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/metric"

	"toucantiller.dev/contract"
	"toucantiller.dev/control/api"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/instance"
	"toucantiller.dev/link"
	"toucantiller.dev/timeline"
)

// View is what the gateway knows about the deployment.
type View interface {
	// Config returns the configuration in force; nil before the first one arrived.
	Config() *contract.Config
	// Directory returns the registered endpoints.
	Directory() *api.Directory
	// UnprovenAllowed reports whether the configuration is fresh enough to give an
	// unproven version its share.
	UnprovenAllowed(now time.Time) bool
	// MayServe reports whether new work may be taken on the configuration at hand.
	MayServe(now time.Time) bool
	// Saw is told of a revision that a peer has.
	Saw(revision uint64, peer string)
}

// Claims makes idempotency claims durable.
type Claims interface {
	Claim(ctx context.Context, c api.Claim) (api.ClaimReply, error)
	CompleteClaim(ctx context.Context, c api.CompleteClaim) error
}

// EvidenceSink takes observations for the judgement of versions.
type EvidenceSink interface {
	Observe(o api.Observation)
}

// Options are the parts of a gateway.
type Options struct {
	Instance instance.Instance
	View     View
	Claims   Claims
	Evidence EvidenceSink
	Network  link.Network
	Logger   log.Logger
	Timeline *timeline.Recorder
	Meter    metric.Meter
}

// Gateway serves callers.
type Gateway struct {
	opt      Options
	server   *http.Server
	leaving  atomic.Bool
	peers    sync.Map // address -> *peer
	sequence atomic.Uint64
	metrics  *metrics
}

// callerReadHeader bounds reading a caller's request header.
const callerReadHeader = 10 * time.Second

// New returns a gateway that is not yet serving.
func New(opt Options) (*Gateway, error) {
	if opt.Logger == nil {
		opt.Logger = log.NewNopLogger()
	}
	m, err := newMetrics(opt.Meter)
	if err != nil {
		return nil, eris.Wrap(err, "creating gateway metrics")
	}
	g := &Gateway{opt: opt, metrics: m}
	g.server = &http.Server{Handler: g.Handler(), ReadHeaderTimeout: callerReadHeader}
	return g, nil
}

// Serve serves callers on the listener until Stop.
func (g *Gateway) Serve(l net.Listener) error {
	if err := g.server.Serve(l); err != nil && !eris.Is(err, http.ErrServerClosed) {
		return eris.Wrapf(err, "serving callers on %s", l.Addr())
	}
	return nil
}

// Stop closes the listener and waits for open requests until ctx ends.
func (g *Gateway) Stop(ctx context.Context) error {
	g.leaving.Store(true)
	return g.server.Shutdown(ctx)
}

// peer is the link to one agent.
type peer struct {
	client      *http.Client
	outstanding atomic.Int64
}

func (g *Gateway) peer(address string) *peer {
	if p, ok := g.peers.Load(address); ok {
		return p.(*peer)
	}
	p, _ := g.peers.LoadOrStore(address, &peer{client: link.NewHTTPClient(g.opt.Network, address)})
	return p.(*peer)
}

// pick chooses an endpoint of the service among those not yet tried: the version by
// its share, then the endpoint with fewer outstanding requests of two drawn at random.
func (g *Gateway) pick(s *contract.Service, tried map[endpoint.ID]bool) (endpoint.Endpoint, bool) {
	version := g.pickVersion(s)
	candidates := g.candidates(s, version, tried)
	if len(candidates) == 0 {
		return endpoint.Endpoint{}, false
	}
	a := candidates[rand.IntN(len(candidates))] //nolint:gosec // load balancing needs no secrecy
	b := candidates[rand.IntN(len(candidates))] //nolint:gosec // load balancing needs no secrecy
	if g.peer(b.Address).outstanding.Load() < g.peer(a.Address).outstanding.Load() {
		return b, true
	}
	return a, true
}

func (g *Gateway) pickVersion(s *contract.Service) string {
	fresh := g.opt.View.UnprovenAllowed(time.Now())
	draw := rand.Float64() //nolint:gosec // load balancing needs no secrecy
	for _, v := range s.Versions {
		if v.Unproven && !fresh {
			continue
		}
		if draw < v.Share {
			return v.Version
		}
		draw -= v.Share
	}
	return s.Versions[0].Version
}

func (g *Gateway) candidates(s *contract.Service, version string, tried map[endpoint.ID]bool) []endpoint.Endpoint {
	config, directory := g.opt.View.Config(), g.opt.View.Directory()
	if directory == nil {
		return nil
	}
	var out []endpoint.Endpoint
	for _, e := range directory.Endpoints {
		if e.Service != s.Name || e.Version != version || e.Leaving || tried[e.ID] {
			continue
		}
		if d, ok := config.Domains[e.Domain]; ok && d.AcceptsWork() {
			out = append(out, e)
		}
	}
	return out
}
