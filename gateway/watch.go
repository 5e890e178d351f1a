package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"toucantiller.dev/dispatch"
	"toucantiller.dev/link"
	"toucantiller.dev/policy"
	"toucantiller.dev/schedule"
)

const (
	// watchSilenceTimeout is the time without a report after which a watch is opened again.
	watchSilenceTimeout = 3 * dispatch.WatchInterval
	// maxReport bounds a report of a watch, in bytes. The decoder keeps the parts of a report that
	// it skips, and its stack grows with their nesting.
	maxReport = 64 << 10
	// watchRetryPause is the pause before a watch is opened again.
	watchRetryPause = 150 * time.Millisecond
)

// watches holds the open watches of agents, by the agent's address.
type watches struct {
	mu   sync.Mutex
	stop map[string]context.CancelFunc
}

// watchAgents follows the load of the self-announced endpoints that this gateway considers.
// Their agents report only to gateways that watch them.
func (g *Gateway) watchAgents(s *schedule.Snapshot) {
	g.watches.mu.Lock()
	defer g.watches.mu.Unlock()
	wanted := make(map[string]bool)
	for address := range s.AgentAddresses() {
		wanted[address] = true
		if g.watches.stop[address] == nil {
			g.startWatch(address)
		}
	}
	for address, stop := range g.watches.stop {
		if !wanted[address] {
			stop()
			delete(g.watches.stop, address)
		}
	}
}

func (g *Gateway) startWatch(address string) {
	ctx, cancel := context.WithCancel(g.taskCtx)
	if g.watches.stop == nil {
		g.watches.stop = make(map[string]context.CancelFunc)
	}
	g.watches.stop[address] = cancel
	g.tasks.Go(func() { g.watchAgent(ctx, address) })
}

// watchAgent keeps a watch of one agent open until ctx ends.
func (g *Gateway) watchAgent(ctx context.Context, address string) {
	lost := false
	for ctx.Err() == nil {
		followed, err := g.watchOnce(ctx, address)
		if ctx.Err() != nil {
			return
		}
		p := g.peer(address)
		p.incarnation.Store(0)
		g.suspendEndpoints(address, time.Now().Add(suspendDuration))
		if followed || !lost {
			// Repeated failures are not logged.
			_ = g.opt.Logger.Log("msg", "agent lost", "agent", address, "err", err)
		}
		lost = true
		pause(ctx, watchRetryPause)
	}
}

// watchOnce reads reports from one connection until it breaks off or goes silent. followed is
// set if any report arrived.
func (g *Gateway) watchOnce(ctx context.Context, address string) (followed bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(watchSilenceTimeout, cancel)
	defer watchdog.Stop()
	p := g.peer(address)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+dispatch.PathWatch, nil)
	if err != nil {
		return false, &link.Error{Step: "building watch", Peer: address, Err: err}
	}
	req.Header.Set(dispatch.HeaderGateway, strconv.FormatUint(uint64(g.opt.Instance.Incarnation), 16))
	if g.opt.Without.InForce(policy.EndpointSpeed) {
		req.Header.Set(dispatch.HeaderReadsSlowdown, "1")
	}
	p.use.begin()
	defer p.use.end()
	resp, client, err := p.send(req, dispatch.PathWatch)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false, &link.Error{Step: dispatch.PathWatch, Peer: address, Err: errors.New(resp.Status)}
	}
	report := &io.LimitedReader{R: resp.Body}
	decoder := msgpack.NewDecoder(report)
	for {
		var m dispatch.Heartbeat
		report.N = maxReport
		if err := decoder.Decode(&m); err != nil {
			p.replace(client)
			return followed, &link.Error{Step: "reading watch", Peer: address, Err: err}
		}
		watchdog.Reset(watchSilenceTimeout)
		p.incarnation.Store(uint64(m.Incarnation))
		if !followed {
			followed = true
			g.resumeEndpoints(address)
			_ = g.opt.Logger.Log("msg", "agent followed", "agent", address, "incarnation", uint64(m.Incarnation))
		}
		g.observeAgent(address, &m)
	}
}

// suspendEndpoints keeps the endpoints behind an agent from being picked until a time.
func (g *Gateway) suspendEndpoints(address string, until time.Time) {
	if r := g.routing.Load(); r != nil {
		for _, c := range r.snapshot.CandidatesOfAgent(address) {
			c.Suspend(until)
		}
	}
}

// resumeEndpoints ends the suspension of the endpoints behind an agent that can be reached again.
func (g *Gateway) resumeEndpoints(address string) {
	if r := g.routing.Load(); r != nil {
		for _, c := range r.snapshot.CandidatesOfAgent(address) {
			c.Resume()
		}
	}
}

// observeAgent records a load report and places waiting requests at the agent's endpoints.
func (g *Gateway) observeAgent(address string, m *dispatch.Heartbeat) {
	r := g.routing.Load()
	if r == nil {
		return
	}
	now := time.Now()
	for _, c := range r.snapshot.CandidatesOfAgent(address) {
		c.Observe(m.Load, now)
		if q := r.queues[c.Endpoint.Service]; q != nil {
			q.placeWaiting()
		}
	}
}

const (
	// wantInterval is the time between two rounds in which a gateway tells agents about its
	// waiting requests, agentsPerWantRound the number of agents in a round. All agents that a
	// gateway considers are told within the time for which they remember it.
	wantInterval       = 180 * time.Millisecond
	agentsPerWantRound = 8
)

// sendWantRequests tells the next few agents of a service about the waiting requests, so that
// they offer slots.
func (g *Gateway) sendWantRequests(q *serviceQueue, waiting dispatch.Waiting, now time.Time) {
	if now.Sub(q.lastWantRound) < wantInterval {
		return
	}
	q.lastWantRound = now
	in := &dispatch.WantRequest{Gateway: g.opt.Instance.Incarnation, Waiting: waiting}
	candidates := g.routing.Load().snapshot.Candidates(q.service)
	for range min(agentsPerWantRound, len(candidates)) {
		q.nextCandidate++
		c := candidates[q.nextCandidate%len(candidates)]
		if !c.Endpoint.Watched() {
			continue
		}
		g.background(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			var m dispatch.Heartbeat
			// If the agent cannot be reached, its watch fails too and logs it.
			if g.peer(c.Endpoint.Address).call(ctx, http.MethodPost, dispatch.PathWant, in, &m) == nil {
				g.observeAgent(c.Endpoint.Address, &m)
			}
		})
	}
}
