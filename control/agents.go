package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/go-kit/log/level"

	"toucantiller.dev/control/hosting"
	"toucantiller.dev/control/state"
	"toucantiller.dev/dispatch"
	"toucantiller.dev/instance"
	"toucantiller.dev/link"
)

const (
	// placementInterval is the time between decisions on where agents run.
	placementInterval = 250 * time.Millisecond
	// probeRetryInterval is the time between two probes of an endpoint until its agent is found
	// or hosted; minSettledProbeInterval is the least mean time between probes after that.
	probeRetryInterval      = 300 * time.Millisecond
	minSettledProbeInterval = 8 * time.Second
	// settledProbesPerSecond bounds the rate of probes of all endpoints whose agent was found.
	settledProbesPerSecond = 10
	// probeTimeout bounds one probe.
	probeTimeout = time.Second
	// maxConcurrentProbes bounds the probes in flight, and with probeTimeout their rate.
	maxConcurrentProbes = 32
)

// agentProbes holds the leader's probes for agents beside endpoints.
type agentProbes struct {
	mu         sync.Mutex
	byEndpoint map[probeKey]*agentProbe
	// running counts the probes in flight.
	running int
}

// probeKey identifies one incarnation of an endpoint: findings about an earlier incarnation
// at the same target do not apply to it.
type probeKey struct {
	target      string
	incarnation instance.Incarnation
}

// agentProbe holds the findings about one endpoint's agent and the time of the next probe.
type agentProbe struct {
	hosting.ProbeHistory
	due      time.Time
	inFlight bool
}

// placeAgents probes for agents beside endpoints while the replica leads, and assigns those
// that are missing to other processes.
func (s *Server) placeAgents() {
	ticker := time.NewTicker(placementInterval)
	defer ticker.Stop()
	probes := &agentProbes{byEndpoint: make(map[probeKey]*agentProbe)}
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
		if s.checkServing() != nil {
			probes.reset()
			continue
		}
		s.logFailure("place agents", s.updatePlacement(probes, time.Now()))
	}
}

func (p *agentProbes) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.byEndpoint)
}

// updatePlacement starts the probes that are due and commits the placement changes that follow
// from the findings so far.
func (s *Server) updatePlacement(probes *agentProbes, now time.Time) error {
	placements, fleet := s.agentPlacements()
	changes := hosting.Decide(now, s.probeAgents(probes, placements, now), fleet)
	if len(changes) == 0 {
		return nil
	}
	in := &state.SetHostings{Hostings: make(map[string]state.Hosting, len(changes))}
	for target, c := range changes {
		in.Hostings[target] = state.Hosting{Beside: c.State == hosting.Beside, Host: c.Host}
	}
	if _, err := s.propose(&state.Command{SetHostings: in}); err != nil {
		return err
	}
	s.logPlacementChanges(changes)
	return nil
}

// agentPlacements returns the endpoints that announced themselves with an agent, and the
// processes that may run agents.
func (s *Server) agentPlacements() (placements []state.AgentPlacement, fleet hosting.Fleet) {
	lost := make(map[instance.ID]time.Time)
	s.machine.read(func(st *state.State) {
		placements = st.AgentPlacements()
		fleet.Hosts = st.Hosts()
		fleet.ServeStale = st.ServeStale()
		for _, c := range placements {
			if c.Hosting == nil {
				continue
			}
			if at, ok := st.LostSince(c.Hosting.Host); ok {
				lost[c.Hosting.Host] = at
			}
		}
	})
	fleet.LostAt = func(id instance.ID) (time.Time, bool) {
		at, ok := lost[id]
		return at, ok
	}
	return placements, fleet
}

// logPlacementChanges logs a line for each agent that was hosted or withdrawn, and one line
// with the number of agents found beside their endpoints.
func (s *Server) logPlacementChanges(changes map[string]hosting.Change) {
	beside := 0
	for target, c := range changes {
		switch c.State {
		case hosting.Beside:
			beside++
		case hosting.Hosted:
			_ = level.Info(s.opts.Logger).Log("msg", "agent hosted", "target", target, "host", c.Host)
		default:
			_ = level.Info(s.opts.Logger).Log("msg", "agent withdrawn", "target", target)
		}
	}
	if beside > 0 {
		_ = level.Info(s.opts.Logger).Log("msg", "agents found", "endpoints", beside)
	}
}

// probeAgents starts the probes that are due and returns the agents with the findings so far.
func (s *Server) probeAgents(probes *agentProbes, placements []state.AgentPlacement, now time.Time) []hosting.Agent {
	probes.mu.Lock()
	defer probes.mu.Unlock()
	known := make(map[probeKey]*agentProbe, len(placements))
	out := make([]hosting.Agent, 0, len(placements))
	for _, c := range placements {
		key := probeKey{c.Endpoint.Target, c.Endpoint.Incarnation}
		p := probes.byEndpoint[key]
		if p == nil {
			p = &agentProbe{}
		}
		known[key] = p
		agent := hosting.Agent{Target: c.Endpoint.Target, Domain: c.Endpoint.Domain, State: hostingState(c.Hosting)}
		if agent.State == hosting.Hosted {
			agent.Host = c.Hosting.Host
		}
		p.trackWithdrawal(agent.State, now)
		if !p.inFlight && !now.Before(p.due) && probes.running < maxConcurrentProbes {
			probes.running++
			p.inFlight = true
			s.runInBackground(func() { s.probeAgent(probes, p, c.Endpoint.Address) })
		}
		agent.Probes = p.ProbeHistory
		out = append(out, agent)
	}
	probes.byEndpoint = known
	return out
}

// trackWithdrawal records when this leader first saw that the endpoint's agent was withdrawn.
func (p *agentProbe) trackWithdrawal(st hosting.State, now time.Time) {
	switch {
	case st != hosting.Withdrawn:
		p.WithdrawnSince = time.Time{}
	case p.WithdrawnSince.IsZero():
		p.WithdrawnSince = now
	}
}

func hostingState(h *state.Hosting) hosting.State {
	switch {
	case h == nil:
		return hosting.Assumed
	case h.Beside:
		return hosting.Beside
	case h.Host != "":
		return hosting.Hosted
	case h.Unpublished:
		return hosting.Unpublished
	}
	return hosting.Withdrawn
}

// probeAgent probes once for an agent at an address.
func (s *Server) probeAgent(probes *agentProbes, p *agentProbe, address string) {
	found := findAgent(s.ctx, s.opts.Network, address)
	now := time.Now()
	probes.mu.Lock()
	defer probes.mu.Unlock()
	probes.running--
	p.inFlight = false
	settled := found == hosting.Present || found == p.Last && !p.AbsentSince.IsZero() && now.Sub(p.AbsentSince) > hosting.RestartGrace
	p.Observe(found, now)
	p.due = now.Add(probeRetryInterval)
	if settled {
		mean := settledProbeInterval(len(probes.byEndpoint))
		p.due = now.Add(mean/2 + rand.N(mean))
	}
}

// settledProbeInterval returns the mean time between two probes of one endpoint whose agent
// was found, given the number of endpoints.
func settledProbeInterval(endpoints int) time.Duration {
	return max(minSettledProbeInterval, time.Duration(endpoints)*time.Second/settledProbesPerSecond)
}

// findAgent requests a load report, which only an agent serves.
func findAgent(ctx context.Context, network link.Network, address string) hosting.Finding {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	client := link.NewHTTPClient(network, address)
	defer client.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+dispatch.PathLoad, http.NoBody)
	if err != nil {
		return hosting.Absent // a gateway could not call this address either
	}
	resp, err := client.Do(req)
	if err != nil {
		return findingFromError(err)
	}
	defer resp.Body.Close()
	var report dispatch.Heartbeat
	err = dispatch.ReadMessage(resp.Body, &report)
	if ctx.Err() != nil {
		return hosting.Unknown
	}
	if err != nil || resp.StatusCode != http.StatusOK || report.Incarnation == 0 {
		return hosting.Absent
	}
	return hosting.Present
}

// findingFromError distinguishes a refused connection from one without an answer.
func findingFromError(err error) hosting.Finding {
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, link.ErrRefused) {
		return hosting.Absent
	}
	return hosting.Unknown
}
