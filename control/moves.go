package control

import (
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"toucantiller.dev/control/api"
	"toucantiller.dev/control/state"
	"toucantiller.dev/instance"
	"toucantiller.dev/timeline"
)

// Limits of the move loop.
const (
	// DecideInterval is the time between decisions on a move.
	DecideInterval = 250 * time.Millisecond
	// maxPendingObservations bounds the observations kept between two decisions on a service.
	maxPendingObservations = 1 << 16
)

// evidenceCollector collects the observations of gateways for the moves in progress. It exists
// only in the leader's memory: each new leader starts with an empty collector.
type evidenceCollector struct {
	mu         sync.Mutex
	lastSeq    map[instance.ID]uint64
	pending    map[string][]api.Observation
	deciders   map[uint64]Decider
	holdCauses map[uint64]string
}

func newEvidenceCollector() *evidenceCollector {
	return &evidenceCollector{
		lastSeq:    make(map[instance.ID]uint64),
		pending:    make(map[string][]api.Observation),
		deciders:   make(map[uint64]Decider),
		holdCauses: make(map[uint64]string),
	}
}

// addReport stores a report's observations of services with a move in progress. A report that
// is not newer than the last one of its gateway is ignored. It returns the number of
// observations dropped because maxPendingObservations was reached.
func (c *evidenceCollector) addReport(e *api.Evidence, moving map[string]bool) (dropped int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.Seq <= c.lastSeq[e.Gateway] {
		return 0
	}
	c.lastSeq[e.Gateway] = e.Seq
	for _, o := range e.Observations {
		if !moving[o.Service] {
			continue
		}
		if len(c.pending[o.Service]) >= maxPendingObservations {
			dropped++
			continue
		}
		c.pending[o.Service] = append(c.pending[o.Service], o)
	}
	return dropped
}

// takeObservations returns and clears the observations of a service.
func (c *evidenceCollector) takeObservations(service string) []api.Observation {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.pending[service]
	delete(c.pending, service)
	return out
}

// decider returns the decider of a move, and creates it on the first call.
func (c *evidenceCollector) decider(move api.Move, newDecider func(api.Move) Decider) Decider {
	c.mu.Lock()
	defer c.mu.Unlock()
	d, ok := c.deciders[move.ID]
	if !ok {
		d = newDecider(move)
		c.deciders[move.ID] = d
	}
	return d
}

// setHoldCause records why a move is held. Causes are not written to the replicated log.
func (c *evidenceCollector) setHoldCause(move uint64, cause string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holdCauses[move] = cause
}

func (c *evidenceCollector) holdCause(move uint64) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holdCauses[move]
}

// removeEnded deletes the deciders and hold causes of moves that are no longer in progress.
func (c *evidenceCollector) removeEnded(running map[uint64]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.deciders {
		if !running[id] {
			delete(c.deciders, id)
			delete(c.holdCauses, id)
		}
	}
}

// decideMoves evaluates the moves in progress while the replica leads.
func (s *Server) decideMoves() {
	if s.opts.NewDecider == nil {
		return
	}
	ticker := time.NewTicker(DecideInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
			s.decideAll(time.Now())
		}
	}
}

func (s *Server) decideAll(now time.Time) {
	s.mu.Lock()
	leading, c := s.leading, s.evidence
	s.mu.Unlock()
	if !leading {
		return
	}
	running := make(map[uint64]bool)
	for _, m := range s.movesInProgress() {
		running[m.ID] = true
		d := c.decider(m, s.opts.NewDecider).Decide(now, m, c.takeObservations(m.Service))
		if d.Action == api.DecisionHold {
			c.setHoldCause(m.ID, d.Cause)
			continue
		}
		s.commitDecision(m, d)
	}
	c.removeEnded(running)
}

// commitDecision commits a decision. It is refused when the move is no longer at the stage that
// the decision saw.
func (s *Server) commitDecision(m api.Move, d api.Decision) {
	command := &state.Command{StageMove: &state.StageMove{Service: m.Service, Move: m.ID, Expected: m.Stage, Decision: d}}
	result, err := s.propose(command)
	if err != nil {
		s.logFailure("stage move", err)
		return
	}
	if result.Refused != "" {
		_ = level.Warn(s.opts.Logger).Log("msg", "stage change refused", "service", m.Service, "reason", result.Refused)
		return
	}
	s.currentEvidence().setHoldCause(m.ID, "")
	count(s.counts.moveStages, 1)
	s.opts.Recorder.Record(timeline.Event{Kind: moveEventKind(d.Action), Move: m.Service, Detail: d.Cause, Revision: s.revision()})
}

func moveEventKind(a api.DecisionAction) timeline.Kind {
	switch a {
	case api.DecisionTakeBack:
		return "move.taken_back"
	case api.DecisionFinish:
		return "move.done"
	}
	return "move.raised"
}

func (s *Server) movesInProgress() []api.Move {
	var moves []api.Move
	s.machine.read(func(st *state.State) { moves = st.Moves() })
	out := moves[:0]
	for _, m := range moves {
		if inProgress(&m) {
			out = append(out, m)
		}
	}
	return out
}

func inProgress(m *api.Move) bool {
	return m.State == api.MoveRunning || m.State == api.MoveWatching
}

// currentEvidence returns the collector of the present leadership.
func (s *Server) currentEvidence() *evidenceCollector {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evidence
}

func (s *Server) revision() (revision uint64) {
	s.machine.read(func(st *state.State) { revision = st.Revision() })
	return revision
}
