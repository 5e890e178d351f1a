// Package host runs, in one process, the agents of endpoints that have no agent of their own.
// The addresses in the directory name these endpoints; package control/hosting assigns them.
package host

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/rotisserie/eris"

	"toucantiller.dev/agent"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/instance"
	"toucantiller.dev/link"
	"toucantiller.dev/memory"
	"toucantiller.dev/timeline"
)

// retireTimeout bounds the time in which a retired agent finishes its dispatches.
const retireTimeout = 30 * time.Second

// View is the host's view of the deployment.
type View interface {
	agent.View
	// MayServe reports whether the process's view of the deployment is fresh enough to accept
	// work. Control assigns an agent to another host only once the former host may not serve.
	MayServe(now time.Time) bool
}

// Options configures a Host.
type Options struct {
	// Self is the process; the agents' addresses begin with Self.AgentAddress.
	Self     instance.Instance
	View     View
	Network  link.Network
	Logger   log.Logger
	Timeline *timeline.Recorder
	// Pace bounds the dispatches that start at an endpoint per second.
	Pace agent.Pace
	// Bodies bounds the bodies that all agents hold together; nil gives each a bound of its own.
	Bodies *memory.Bound
	// NewEngine returns the client of the endpoint at "ip:port".
	NewEngine func(target string) endpoint.Engine
}

// Host runs the agents of endpoints.
type Host struct {
	opt    Options
	server *http.Server
	// noAgent answers for endpoints without an agent here: it refuses each dispatch, and its
	// incarnation matches that of no dispatch.
	noAgent http.Handler

	mu     sync.Mutex
	agents map[string]*hostedAgent // by the endpoint's target
	// stopped is set once no further agent may start.
	stopped  bool
	retiring sync.WaitGroup
}

// hostedAgent is the agent of one endpoint.
type hostedAgent struct {
	agent   *agent.Agent
	handler http.Handler
	engine  endpoint.Engine
}

// New returns a host without agents.
func New(opt Options) (*Host, error) {
	if opt.Logger == nil {
		opt.Logger = log.NewNopLogger()
	}
	h := &Host{opt: opt, agents: make(map[string]*hostedAgent)}
	noAgent, err := h.newAgent("")
	if err != nil {
		return nil, err
	}
	noAgent.agent.Drain()
	h.noAgent = noAgent.handler
	h.server = link.NewHTTPServer(h)
	return h, nil
}

// newAgent returns an agent with a new incarnation, since its ledger does not contain the
// dispatches of an earlier agent of the endpoint.
func (h *Host) newAgent(target string) (*hostedAgent, error) {
	engine := h.opt.NewEngine(target)
	a, err := agent.New(agent.Options{
		Endpoint: endpoint.Endpoint{
			ID: h.opt.Self.ID, Incarnation: instance.NewIncarnation(),
			Address: endpoint.HostedAddress(h.opt.Self.AgentAddress, target), LinkAddress: h.opt.Self.LinkAddress,
		},
		Engine: engine, Pace: h.opt.Pace, Bodies: h.opt.Bodies, View: h.opt.View, Network: h.opt.Network,
		Logger: h.opt.Logger, Timeline: h.opt.Timeline, MayAct: h.opt.View.MayServe,
	})
	if err != nil {
		return nil, eris.Wrapf(err, "starting the agent of %s", target)
	}
	return &hostedAgent{agent: a, handler: a.Handler(), engine: engine}, nil
}

// Update starts the agents that the directory assigns to this process and retires the others.
func (h *Host) Update(endpoints []endpoint.Endpoint) {
	wanted := make(map[string]bool)
	for i := range endpoints {
		if dial, path := endpoint.SplitAddress(endpoints[i].Address); path != "" && dial == h.opt.Self.AgentAddress {
			wanted[endpoints[i].Target] = true
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for target, a := range h.agents {
		if !wanted[target] {
			delete(h.agents, target)
			h.retire(target, a)
		}
	}
	for target := range wanted {
		if h.agents[target] == nil && !h.stopped {
			h.start(target)
		}
	}
}

// start must be called with mu held.
func (h *Host) start(target string) {
	a, err := h.newAgent(target)
	if err != nil {
		_ = h.opt.Logger.Log("msg", "agent not started", "target", target, "err", err)
		return
	}
	h.agents[target] = a
	_ = h.opt.Logger.Log("msg", "agent started here", "target", target)
}

// retire drains an agent that was removed from h.agents and stops it once its dispatches have
// finished. Gateways read the answers over the connections they have open; a later seal
// request reaches an agent of another incarnation.
func (h *Host) retire(target string, a *hostedAgent) {
	a.agent.Drain()
	_ = h.opt.Logger.Log("msg", "agent ends here", "target", target)
	h.retiring.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), retireTimeout)
		defer cancel()
		if err := a.agent.Stop(ctx); err != nil {
			_ = h.opt.Logger.Log("msg", "agent ended with work open", "target", target, "err", err)
		}
		if c, ok := a.engine.(io.Closer); ok {
			_ = c.Close() // only idle connections are closed, which cannot fail
		}
	})
}

// ServeHTTP passes a request for "/target/..." to the agent of that endpoint.
func (h *Host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	target, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	h.mu.Lock()
	a := h.agents[target]
	h.mu.Unlock()
	handler := h.noAgent
	if a != nil {
		handler = a.handler
	} else if r.Method == http.MethodGet {
		// A load report from noAgent would look like that of an idle endpoint.
		http.NotFound(w, r)
		return
	}
	r.URL.Path = "/" + rest
	handler.ServeHTTP(w, r)
}

// Serve serves dispatches on the listener until Stop.
func (h *Host) Serve(l net.Listener) error {
	if err := h.server.Serve(l); err != nil && !eris.Is(err, http.ErrServerClosed) {
		return eris.Wrapf(err, "serving dispatches on %s", l.Addr())
	}
	return nil
}

// Drain makes the agents refuse new dispatches; running ones continue.
func (h *Host) Drain() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped = true
	for _, a := range h.agents {
		a.agent.Drain()
	}
}

// Stop drains and waits for running dispatches until ctx ends.
func (h *Host) Stop(ctx context.Context) error {
	h.Drain()
	h.Update(nil)
	ended := make(chan struct{})
	go func() {
		h.retiring.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
		return errors.Join(eris.Wrap(ctx.Err(), "stopping hosted agents"), h.server.Close())
	}
	return h.server.Close()
}
