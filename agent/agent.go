// Package agent implements the process that runs beside each endpoint. It owns the endpoint's
// concurrency limit and priority queue, executes each dispatch at most once, drains, and
// forwards operator orders to the engine.
package agent

import (
	"context"
	"errors"
	stdlog "log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/metric"

	"toucantiller.dev/contract"
	"toucantiller.dev/dispatch"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/instance"
	"toucantiller.dev/link"
	"toucantiller.dev/memory"
	"toucantiller.dev/timeline"
)

// View gives the agent access to the deployment state.
type View interface {
	// Config returns the configuration in force; nil until the first one has arrived.
	Config() *contract.Config
	// ObserveRevision reports a configuration revision that a peer has.
	ObserveRevision(revision uint64, peer string)
}

// Options configures an agent.
type Options struct {
	Endpoint endpoint.Endpoint
	Engine   endpoint.Engine
	View     View
	Network  link.Network
	Logger   log.Logger
	Timeline *timeline.Recorder
	Meter    metric.Meter
	// MaxBody bounds a request body, in bytes.
	MaxBody int64
	// MaxAnswers bounds the answers of claimed dispatches that the agent holds, in bytes; 0
	// selects memory.AgentOf without a limit.
	MaxAnswers int64
	// Bodies bounds the bodies of dispatches that the agent holds, from before they are read until
	// their dispatches end, together with the other agents that have the same value; nil selects a
	// bound of its own, memory.AgentOf without a limit.
	Bodies *memory.Bound
	// DataFolder, when set, stores the highest fencing token so that it survives restarts.
	DataFolder string
	// Pace bounds the starts per second at an endpoint that announces itself; the zero value
	// selects DefaultPace.
	Pace Pace
	// Token is the highest fencing token known from the registration.
	Token uint64
	// MayAct reports whether the agent may still start work on the endpoint; nil means always.
	// An agent that does not run beside its endpoint may have been replaced by a successor
	// without learning of it.
	MayAct func(now time.Time) bool
}

// Agent serves dispatches for one endpoint.
type Agent struct {
	opt     Options
	ledger  *Ledger
	gate    *gate
	orders  *orders
	server  *http.Server
	leaving atomic.Bool
	// open counts the dispatches being served, including queued and refused ones.
	open    atomic.Int64
	metrics *metrics
}

const (
	defaultMaxBody = 16 << 20
	// stopInterval is the polling interval for open dispatches while stopping.
	stopInterval = 5 * time.Millisecond
)

var errBodyTooLarge = errors.New("request body too large")

// New returns an agent that does not serve yet.
func New(opt Options) (*Agent, error) {
	if opt.Logger == nil {
		opt.Logger = log.NewNopLogger()
	}
	if opt.MaxBody == 0 {
		opt.MaxBody = defaultMaxBody
	}
	if opt.MaxAnswers == 0 {
		opt.MaxAnswers = memory.AgentOf(0).Answers
	}
	if opt.Bodies == nil {
		opt.Bodies = memory.NewBound(memory.AgentOf(0).Bodies)
	}
	if opt.Pace == (Pace{}) {
		opt.Pace = DefaultPace
	}
	a := &Agent{opt: opt, ledger: NewLedger(opt.MaxAnswers), gate: newGate(opt.Pace)}
	var err error
	if a.metrics, err = newMetrics(opt.Meter, a.Load); err != nil {
		return nil, eris.Wrap(err, "creating agent metrics")
	}
	if a.orders, err = newOrders(opt.DataFolder, opt.Token); err != nil {
		return nil, eris.Wrap(err, "reading the highest fencing token")
	}
	a.server = link.NewHTTPServer(a.Handler())
	a.server.ErrorLog = stdlog.New(log.NewStdlibAdapter(opt.Logger), "", 0)
	return a, nil
}

// Handler returns the HTTP handler of the dispatch interface.
func (a *Agent) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(dispatch.PathDispatch, a.serveDispatch).Methods(http.MethodPost)
	r.HandleFunc(dispatch.PathSeal, a.serveSeal).Methods(http.MethodPost)
	r.HandleFunc(dispatch.PathFloor, a.serveFloor).Methods(http.MethodPost)
	r.HandleFunc(dispatch.PathOrder, a.serveOrder).Methods(http.MethodPost)
	r.HandleFunc(dispatch.PathWant, a.serveWant).Methods(http.MethodPost)
	r.HandleFunc(dispatch.PathWatch, a.serveWatch).Methods(http.MethodGet)
	r.HandleFunc(dispatch.PathLoad, a.serveLoad).Methods(http.MethodGet)
	return r
}

// Serve serves dispatches on the listener until Stop.
func (a *Agent) Serve(l net.Listener) error {
	if err := a.server.Serve(l); err != nil && !eris.Is(err, http.ErrServerClosed) {
		return eris.Wrapf(err, "serving dispatches on %s", l.Addr())
	}
	return nil
}

// Drain refuses new dispatches and hands queued ones back to their gateways; running ones
// continue.
func (a *Agent) Drain() {
	if a.leaving.Swap(true) {
		return
	}
	a.opt.Timeline.Record(timeline.Event{Kind: "endpoint.draining", Endpoint: string(a.opt.Endpoint.ID)})
	_ = a.opt.Logger.Log("msg", "draining", "endpoint", a.opt.Endpoint.ID)
	a.gate.close()
}

// Stop drains and waits for running dispatches until ctx ends. Until then the agent still
// answers new dispatches with refusals and serves seal requests.
func (a *Agent) Stop(ctx context.Context) error {
	a.Drain()
	ticker := time.NewTicker(stopInterval)
	defer ticker.Stop()
	for a.open.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			_ = a.server.Close()
			return eris.Wrapf(ctx.Err(), "stopping with %d dispatches open", a.open.Load())
		}
	}
	err := a.server.Shutdown(ctx)
	if err != nil {
		_ = a.server.Close()
	}
	return err
}

// Load returns the current load report.
func (a *Agent) Load() endpoint.Load {
	l := a.gate.load(a.now())
	l.Leaving = a.leaving.Load()
	return l
}

// loadFor returns the load report for one gateway: slots held for it count as free in its
// report only.
func (a *Agent) loadFor(gateway instance.Incarnation) endpoint.Load {
	l := a.gate.loadFor(gateway, a.now())
	l.Leaving = a.leaving.Load()
	return l
}

// heartbeat wraps a load report in a heartbeat message.
func (a *Agent) heartbeat(l endpoint.Load) *dispatch.Heartbeat {
	return &dispatch.Heartbeat{Revision: a.revision(), Load: l, Incarnation: a.opt.Endpoint.Incarnation}
}

func (a *Agent) revision() uint64 {
	if c := a.opt.View.Config(); c != nil {
		return c.Revision
	}
	return 0
}

func (a *Agent) now() time.Time { return time.Now() }

func (a *Agent) mayAct() bool { return a.opt.MayAct == nil || a.opt.MayAct(a.now()) }
