// Package gateway implements the process that callers reach: it accepts calls, authenticates
// the client account, admits, picks an endpoint and streams the answer back.
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
	"toucantiller.dev/intake"
	"toucantiller.dev/link"
	"toucantiller.dev/memory"
	"toucantiller.dev/policy"
	"toucantiller.dev/quarantine"
	"toucantiller.dev/schedule"
	"toucantiller.dev/timeline"
)

// View is the gateway's view of the deployment.
type View interface {
	// Config returns the configuration in force; nil before the first one arrived.
	Config() *contract.Config
	// Directory returns the registered endpoints.
	Directory() *api.Directory
	// UnprovenAllowed reports whether the configuration is fresh enough to give an
	// unproven version its share.
	UnprovenAllowed(now time.Time) bool
	// MayServe reports whether new work may be accepted under the present configuration.
	MayServe(now time.Time) bool
	// ObserveRevision is called with a configuration revision that a peer has.
	ObserveRevision(revision uint64, peer string)
}

// Claims makes idempotency claims durable.
type Claims interface {
	Claim(ctx context.Context, c api.Claim) (api.ClaimReply, error)
	CompleteClaim(ctx context.Context, c api.CompleteClaim) error
}

// EvidenceSink receives observations for comparing versions.
type EvidenceSink interface {
	Observe(o api.Observation)
}

// Options configures a gateway.
type Options struct {
	Instance instance.Instance
	View     View
	Claims   Claims
	Evidence EvidenceSink
	Network  link.Network
	Logger   log.Logger
	Timeline *timeline.Recorder
	Meter    metric.Meter
	// Budgets grants tokens of accounts with a token limit; nil if no account has one.
	Budgets Budgets
	// BudgetLease is the time for which the gateway asks for shares of the accounts' token limits on
	// lease; 0 for none.
	BudgetLease time.Duration
	// NewEngine returns the client of an endpoint without an agent, at "ip:port".
	// maxConnections bounds its open connections; 0 means no bound. It may be nil if all
	// endpoints have agents.
	NewEngine func(target string, maxConnections int) endpoint.Engine
	// Handler returns the interface for callers; nil means Gateway.Handler.
	Handler func(*Gateway) http.Handler
	// StopDelay is how long Stop continues to accept calls. By then a balancer that has seen
	// /readyz fail sends no more. Closing the listener earlier would reset the connections that
	// it has not accepted yet, and an idle connection may be about to carry a new call.
	StopDelay time.Duration
	// Quarantine watches for parts of prompts under which endpoints end; nil means that none are
	// held back.
	Quarantine *quarantine.Watcher
	// Usage counts the requests that begin to run; nil means that none are counted.
	Usage Usage
	// MemoryBudget bounds the memory held for callers; 0 means no bound.
	MemoryBudget memory.Budget
	// Without is the set of policies that are switched off.
	Without policy.Off
	// ShareByAccount shares the room of a service among the accounts that wait for it, by weight or,
	// where none is set, by token limit.
	ShareByAccount bool
	// FollowLoad makes placement follow the load that endpoints without an agent state in their
	// answers, also where they do not say how long work takes on their machine.
	FollowLoad bool
}

// Gateway serves callers.
type Gateway struct {
	opt      Options
	server   *http.Server
	stopping atomic.Bool
	// awaitingConfiguration counts the requests that wait for the first configuration.
	awaitingConfiguration atomic.Int64
	// stopDeadline is when a stopping gateway ends the requests still open; nil before it
	// stops, or if it waits for them without a bound.
	stopDeadline atomic.Pointer[time.Time]
	peers        sync.Map // address -> *peer
	idle         *idleLinks
	callers      *callerConnections
	memory       *memoryAccount
	// memoryLogged is when short memory was logged last, in Unix nanoseconds.
	memoryLogged atomic.Int64
	sequence     atomic.Uint64
	idPrefix     string // of request IDs made here
	metrics      *metrics
	routing      atomic.Pointer[routing]
	rebuildMu    sync.Mutex
	// oddEndpoints names the endpoints that are left out at present; guarded by rebuildMu.
	oddEndpoints             string
	accounts                 admission.AccountLimits
	wallets                  wallets
	leases                   *budgetLeases // nil without leases
	watches                  watches
	meanSizes, meanDensities runningMeans
	waits                    statedWaits
	estimator                schedule.AnswerEstimator
	engines                  sync.Map // target -> endpoint.Engine
	claims                   sync.Map // account and key -> runningClaim, of calls in progress

	tasks       sync.WaitGroup
	taskSlots   chan struct{}
	taskCtx     context.Context
	cancelTasks context.CancelFunc
	// answerCtx is the parent of all requests' contexts. A stop cancels it with errStopEnds.
	answerCtx  context.Context
	endAnswers context.CancelCauseFunc
}

// maxTasks bounds the background tasks of a gateway.
const maxTasks = 4096

// callerReadHeaderTimeout bounds the time in which a caller sends the head of a request.
const callerReadHeaderTimeout = 10 * time.Second

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
	g.taskCtx, g.cancelTasks = context.WithCancel(context.Background())
	g.answerCtx, g.endAnswers = context.WithCancelCause(context.Background())
	if err := g.newLeases(opt.Meter); err != nil {
		return nil, eris.Wrap(err, "creating gateway metrics")
	}
	handler := g.Handler()
	if opt.Handler != nil {
		handler = opt.Handler(g)
	}
	g.memory = &memoryAccount{budget: opt.MemoryBudget}
	if err := registerMemory(opt.Meter, g.memory); err != nil {
		return nil, eris.Wrap(err, "creating gateway metrics")
	}
	if err := registerLearned(opt.Meter, g.learned); err != nil {
		return nil, eris.Wrap(err, "creating gateway metrics")
	}
	g.callers = newCallerConnections(g.callerIdleTimeout, g.memory)
	g.callers.evicted = g.recordEviction
	g.memory.short = g.callers.scheduleEviction
	// The server has no IdleTimeout, which could not change with the configuration.
	g.server = &http.Server{
		Handler: intake.Handler(handler), ReadHeaderTimeout: callerReadHeaderTimeout, MaxHeaderBytes: link.MaxRequestHead,
		ConnState: func(c net.Conn, s http.ConnState) {
			intake.Observe(c, s)
			g.callers.observe(c, s)
		},
		ConnContext: intake.ConnContext,
		BaseContext: func(net.Listener) context.Context { return g.answerCtx },
	}
	g.server.ErrorLog = stdlog.New(log.NewStdlibAdapter(opt.Logger), "", 0)
	return g, nil
}

// Serve serves callers on the listener until Stop.
func (g *Gateway) Serve(l net.Listener) error {
	g.keepLeases()
	if err := g.server.Serve(newBoundedListener(l, g.memory)); err != nil && !eris.Is(err, http.ErrServerClosed) {
		return eris.Wrapf(err, "serving callers on %s", l.Addr())
	}
	return nil
}

// Stop accepts calls for Options.StopDelay, with answers that close their connections, and
// refuses those whose deadline is too late. It then closes the listener and waits for open
// requests, and for the outcomes of claims to be stored. Requests that are still open shortly
// before ctx ends are answered with problems.
func (g *Gateway) Stop(ctx context.Context) error {
	g.setStopDeadline(ctx)
	if !g.stopping.Swap(true) {
		_ = g.opt.Logger.Log("msg", "stopping", "gateway", g.opt.Instance.ID)
		g.waitStopDelay(ctx)
		g.handBack()
	}
	err := g.shutdown(ctx)
	g.cancelTasks()
	g.tasks.Wait()
	g.peers.Range(func(_, p any) bool {
		p.(*peer).close()
		return true
	})
	return err
}

// handBack refuses the requests that still wait for an endpoint. They would start so late that
// the stop could cut them off, and another gateway can take them.
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

// closeConnectionsWhenStopping makes a stopping gateway close each connection after its answer,
// so that callers open the next one to another gateway.
func (g *Gateway) closeConnectionsWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// background runs a task outside the request path. It drops the task when too many run: tasks
// are repairs that another process can make too. It reports whether the task was started. A task
// must not refer to its call, whose body and answer are counted only until the call ends.
func (g *Gateway) background(task func(ctx context.Context)) bool {
	select {
	case g.taskSlots <- struct{}{}:
	default:
		g.metrics.tasksDropped.increment()
		return false
	}
	g.tasks.Go(func() {
		defer func() { <-g.taskSlots }()
		task(g.taskCtx)
	})
	return true
}
