// Package host runs agents in one process for endpoints that have none beside them. Which
// endpoints these are follows from their addresses in the directory; package control/hosting
// decides it.
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
	"toucantiller.dev/timeline"
)

// retireTimeout bounds the time for which an agent that acts no more finishes its work.
const retireTimeout = 30 * time.Second

// View is what the host knows about the deployment.
type View interface {
	agent.View
	// MayServe reports whether work may be taken on what the process knows. Control gives an
	// agent to another host only when the one before may not.
	MayServe(now time.Time) bool
}

// Options are the parts of a host.
type Options struct {
	// Self is the process; the agents' addresses begin with Self.AgentAddress.
	Self     instance.Instance
	View     View
	Network  link.Network
	Logger   log.Logger
	Timeline *timeline.Recorder
	// Pace bounds what an endpoint is given in a second.
	Pace agent.Pace
	// NewEngine returns the client of the endpoint at "ip:port".
	NewEngine func(target string) endpoint.Engine
}

// Host runs the agents of endpoints.
type Host struct {
	opt    Options
	server *http.Server
	// none answers for endpoints without an agent here: it refuses each dispatch, and its
	// incarnation is none that a dispatch was meant for.
	none http.Handler

	mu     sync.Mutex
	agents map[string]*hosted // by the endpoint's target
	// stopped is set once no further agent may start.
	stopped  bool
	retiring sync.WaitGroup
}

// hosted is the agent of one endpoint.
type hosted struct {
	agent   *agent.Agent
	handler http.Handler
	engine  endpoint.Engine
}

// New returns a host without agents.
func New(opt Options) (*Host, error) {
	if opt.Logger == nil {
		opt.Logger = log.NewNopLogger()
	}
	h := &Host{opt: opt, agents: make(map[string]*hosted)}
	none, err := h.newAgent("")
	if err != nil {
		return nil, err
	}
	none.agent.Drain()
	h.none = none.handler
	h.server = link.NewHTTPServer(h)
	return h, nil
}

// newAgent returns an agent with an incarnation of its own: its ledger knows nothing of the
// dispatches of an earlier one.
func (h *Host) newAgent(target string) (*hosted, error) {
	engine := h.opt.NewEngine(target)
	a, err := agent.New(agent.Options{
		Endpoint: endpoint.Endpoint{
			ID: h.opt.Self.ID, Incarnation: instance.NewIncarnation(),
			Address: endpoint.HostedAddress(h.opt.Self.AgentAddress, target), LinkAddress: h.opt.Self.LinkAddress,
		},
		Engine: engine, Pace: h.opt.Pace, View: h.opt.View, Network: h.opt.Network,
		Logger: h.opt.Logger, Timeline: h.opt.Timeline, MayAct: h.opt.View.MayServe,
	})
	if err != nil {
		return nil, eris.Wrapf(err, "starting the agent of %s", target)
	}
	return &hosted{agent: a, handler: a.Handler(), engine: engine}, nil
}

// Update starts the agents that the directory gives to this process and retires those that
// it does not.
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

// retire lets an agent that is known no more finish its work. Its gateways read the answers
// over connections that they have open; a later seal finds another incarnation.
func (h *Host) retire(target string, a *hosted) {
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
	handler := h.none
	if a != nil {
		handler = a.handler
	} else if r.Method == http.MethodGet {
		// A report of an agent that does not act would look like one of an idle endpoint.
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

// Drain refuses new dispatches from now on; running ones go on.
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
