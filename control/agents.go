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
	"github.com/vmihailenco/msgpack/v5"

	"toucantiller.dev/control/hosting"
	"toucantiller.dev/control/state"
	"toucantiller.dev/dispatch"
	"toucantiller.dev/instance"
	"toucantiller.dev/link"
)

const (
	// placeInterval is the time between decisions about agents.
	placeInterval = 250 * time.Millisecond
	// lookAgain is the time between looks for an agent until one is found or hosted, lookRarely
	// the least mean time between looks after that.
	lookAgain  = 300 * time.Millisecond
	lookRarely = 8 * time.Second
	// rareLooks bounds the looks a second at agents that were found, however many there are.
	rareLooks = 10
	// lookTimeout bounds one look.
	lookTimeout = time.Second
	// looksAtOnce bounds the looks under way, and with lookTimeout their rate.
	looksAtOnce = 32
)

// agentLooks is the leader's knowledge of agents beside endpoints.
type agentLooks struct {
	mu   sync.Mutex
	byID map[lookKey]*agentLook
	// running counts the looks under way.
	running int
}

// lookKey names an incarnation of an endpoint: what was found of the one before it at the
// same target says nothing about it.
type lookKey struct {
	target      string
	incarnation instance.Incarnation
}

type agentLook struct {
	hosting.Look
	due  time.Time
	busy bool
}

// placeAgents looks for agents beside endpoints while the replica leads, and lets other
// processes run those that are missing.
func (s *Server) placeAgents() {
	ticker := time.NewTicker(placeInterval)
	defer ticker.Stop()
	looks := &agentLooks{byID: make(map[lookKey]*agentLook)}
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
		if s.mayServe() != nil {
			looks.reset()
			continue
		}
		s.report("place agents", s.placeOnce(looks, time.Now()))
	}
}

func (l *agentLooks) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.byID)
}

// placeOnce starts the looks that are due and commits the changes that follow from what is
// known.
func (s *Server) placeOnce(looks *agentLooks, now time.Time) error {
	claims, fleet := s.agentClaims()
	changes := hosting.Decide(now, s.look(looks, claims, now), fleet)
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
	s.logPlaced(changes)
	return nil
}

// agentClaims returns the endpoints that announced themselves with an agent, and the
// processes that may run agents.
func (s *Server) agentClaims() (claims []state.AgentClaim, fleet hosting.Fleet) {
	lost := make(map[instance.ID]time.Time)
	s.machine.read(func(st *state.State) {
		claims = st.AgentClaims()
		fleet.Hosts = st.Hosts()
		fleet.ActsFor = st.ServeStale()
		for _, c := range claims {
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
	return claims, fleet
}

// logPlaced writes a line for each agent that moved; those found beside their endpoints
// share one.
func (s *Server) logPlaced(changes map[string]hosting.Change) {
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

// look starts the looks that are due and returns what is known of each claim.
func (s *Server) look(looks *agentLooks, claims []state.AgentClaim, now time.Time) []hosting.Claim {
	looks.mu.Lock()
	defer looks.mu.Unlock()
	known := make(map[lookKey]*agentLook, len(claims))
	out := make([]hosting.Claim, 0, len(claims))
	for _, c := range claims {
		key := lookKey{c.Endpoint.Target, c.Endpoint.Incarnation}
		l := looks.byID[key]
		if l == nil {
			l = &agentLook{}
		}
		known[key] = l
		claim := hosting.Claim{Target: c.Endpoint.Target, Domain: c.Endpoint.Domain, State: stateOf(c.Hosting)}
		if claim.State == hosting.Hosted {
			claim.Host = c.Hosting.Host
		}
		l.withdrawn(claim.State, now)
		if !l.busy && !now.Before(l.due) && looks.running < looksAtOnce {
			looks.running++
			l.busy = true
			s.run(func() { s.lookBeside(looks, l, c.Endpoint.Address) })
		}
		claim.Look = l.Look
		out = append(out, claim)
	}
	looks.byID = known
	return out
}

// withdrawn notes since when no agent may act.
func (l *agentLook) withdrawn(st hosting.State, now time.Time) {
	switch {
	case st != hosting.Withdrawn:
		l.WithdrawnSince = time.Time{}
	case l.WithdrawnSince.IsZero():
		l.WithdrawnSince = now
	}
}

func stateOf(h *state.Hosting) hosting.State {
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

// lookBeside looks once for an agent at an address.
func (s *Server) lookBeside(looks *agentLooks, l *agentLook, address string) {
	found := findAgent(s.ctx, s.opts.Network, address)
	now := time.Now()
	looks.mu.Lock()
	defer looks.mu.Unlock()
	looks.running--
	l.busy = false
	settled := found == hosting.Present || found == l.Last && !l.AbsentSince.IsZero() && now.Sub(l.AbsentSince) > hosting.LostTime
	l.Observe(found, now)
	l.due = now.Add(lookAgain)
	if settled {
		mean := restTime(len(looks.byID))
		l.due = now.Add(mean/2 + rand.N(mean))
	}
}

// restTime returns the mean time between two looks at an endpoint whose agent was found, of a
// number of endpoints.
func restTime(endpoints int) time.Duration {
	return max(lookRarely, time.Duration(endpoints)*time.Second/rareLooks)
}

// findAgent asks for a load report, which only an agent gives.
func findAgent(ctx context.Context, network link.Network, address string) hosting.Finding {
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	client := link.NewHTTPClient(network, address)
	defer client.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+dispatch.PathLoad, http.NoBody)
	if err != nil {
		return hosting.Absent // the address is none that a gateway could call either
	}
	resp, err := client.Do(req)
	if err != nil {
		return findingOf(err)
	}
	defer resp.Body.Close()
	var report dispatch.Heartbeat
	err = msgpack.NewDecoder(http.MaxBytesReader(nil, resp.Body, dispatch.MaxFrame)).Decode(&report)
	if ctx.Err() != nil {
		return hosting.Unknown
	}
	if err != nil || resp.StatusCode != http.StatusOK || report.Incarnation == 0 {
		return hosting.Absent
	}
	return hosting.Present
}

// findingOf tells a connection that was refused from one that got no answer.
func findingOf(err error) hosting.Finding {
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, link.ErrRefused) {
		return hosting.Absent
	}
	return hosting.Unknown
}
