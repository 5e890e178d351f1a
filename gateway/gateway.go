// Package gateway is the process at the entry: it accepts calls, authenticates the
// client account, admits, picks an endpoint and streams the answer back.
package gateway

import (
	"context"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/metric"

	"toucantiller.dev/admission"
	"toucantiller.dev/contract"
	"toucantiller.dev/control/api"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/instance"
	"toucantiller.dev/link"
	"toucantiller.dev/schedule"
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
	// Budgets is where the token limits of accounts are drawn from; nil where accounts have
	// none.
	Budgets Budgets
	// NewEngine returns the client of an endpoint without an agent, at "ip:port".
	// maxConnections bounds its open connections; 0 means no bound. It may be nil where all
	// endpoints have agents.
	NewEngine func(target string, maxConnections int) endpoint.Engine
	// Handler returns the interface for callers; nil means the product's own.
	Handler func(*Gateway) http.Handler
	// StopDelay is how long Stop goes on accepting calls. A balancer that has seen /readyz
	// fail sends no more by then; a listener that is closed earlier resets the connections
	// that it has not accepted yet, and an idle connection may just carry a new call.
	StopDelay time.Duration
}

// Gateway serves callers.
type Gateway struct {
	opt     Options
	server  *http.Server
	leaving atomic.Bool
	// awaiting counts the requests that wait for the first configuration.
	awaiting atomic.Int64
	// stopBy is when a stopping gateway cuts what is still open; nil before it stops.
	stopBy           atomic.Pointer[time.Time]
	peers            sync.Map // address -> *peer
	idle             *idleLinks
	sequence         atomic.Uint64
	idPrefix         string // of request IDs made here
	metrics          *metrics
	routing          atomic.Pointer[routing]
	rebuild          sync.Mutex
	accounts         admission.AccountLimits
	wallets          wallets
	watches          watches
	sizes, densities means
	waits            statedWaits
	estimator        schedule.AnswerEstimator
	engines          sync.Map // target -> endpoint.Engine
	claims           sync.Map // account and key -> runningClaim, of calls in progress

	tasks     sync.WaitGroup
	taskSlots chan struct{}
	taskCtx   context.Context
	endTasks  context.CancelFunc
}

// maxTasks bounds the background tasks of a gateway.
const maxTasks = 4096

// Bounds on callers' connections.
const (
	callerReadHeader = 10 * time.Second
	callerIdle       = 2 * time.Minute
)

// New returns a gateway that is not yet serving.
func New(opt Options) (*Gateway, error) {
	if opt.Logger == nil {
		opt.Logger = log.NewNopLogger()
	}
	m, err := newMetrics(opt.Meter)
	if err != nil {
		return nil, eris.Wrap(err, "creating gateway metrics")
	}
	g := &Gateway{opt: opt, metrics: m, taskSlots: make(chan struct{}, maxTasks)}
	g.idle = newIdleLinks(&g.peers)
	g.idPrefix = fmt.Sprintf("%s-%x-", opt.Instance.ID, uint64(opt.Instance.Incarnation))
	g.taskCtx, g.endTasks = context.WithCancel(context.Background())
	handler := g.Handler()
	if opt.Handler != nil {
		handler = opt.Handler(g)
	}
	g.server = &http.Server{Handler: handler, ReadHeaderTimeout: callerReadHeader, IdleTimeout: callerIdle}
	g.server.ErrorLog = stdlog.New(log.NewStdlibAdapter(opt.Logger), "", 0)
	return g, nil
}

// Serve serves callers on the listener until Stop.
func (g *Gateway) Serve(l net.Listener) error {
	if err := g.server.Serve(l); err != nil && !eris.Is(err, http.ErrServerClosed) {
		return eris.Wrapf(err, "serving callers on %s", l.Addr())
	}
	return nil
}

// Stop accepts calls for Options.StopDelay, with answers that close their connections. It
// then closes the listener and waits until ctx ends for open requests, and for the
// outcomes of claims to be stored. It cuts no request before ctx ends.
func (g *Gateway) Stop(ctx context.Context) error {
	if by, ok := ctx.Deadline(); ok {
		g.stopBy.Store(&by)
	}
	if !g.leaving.Swap(true) {
		_ = g.opt.Logger.Log("msg", "stopping", "gateway", g.opt.Instance.ID)
		g.waitStopDelay(ctx)
		g.handBack()
	}
	err := g.server.Shutdown(ctx)
	g.endTasks()
	g.tasks.Wait()
	g.peers.Range(func(_, p any) bool {
		p.(*peer).close()
		return true
	})
	return err
}

// handBack refuses what still waits for an endpoint. It would begin so late that the stop
// could cut it, and another gateway can take it.
func (g *Gateway) handBack() {
	if r := g.routing.Load(); r != nil {
		for _, q := range r.queues {
			q.close()
		}
	}
}

func (g *Gateway) waitStopDelay(ctx context.Context) {
	delay := time.NewTimer(g.opt.StopDelay)
	defer delay.Stop()
	select {
	case <-delay.C:
	case <-ctx.Done():
	}
}

// closeWhenLeaving makes answers of a stopping gateway end their connections, so that
// callers open the next one elsewhere.
func (g *Gateway) closeWhenLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// background runs a task beside the request path. It drops the task when too many run:
// what tasks do is a repair that another process can make too.
func (g *Gateway) background(task func(ctx context.Context)) {
	select {
	case g.taskSlots <- struct{}{}:
	default:
		g.metrics.tasksDropped.one()
		return
	}
	g.tasks.Go(func() {
		defer func() { <-g.taskSlots }()
		task(g.taskCtx)
	})
}
