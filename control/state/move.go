package state

import (
	"fmt"
	"slices"
	"strings"

	"toucantiller.dev/contract"
	"toucantiller.dev/control/api"
	"toucantiller.dev/failuredomain"
)

// fullShare is the least share that counts as all traffic; it tolerates rounding errors.
const fullShare = 1 - 1e-9

func inProgress(m *api.Move) bool {
	return m.State == api.MoveRunning || m.State == api.MoveWatching
}

// startMove starts the move that a bundle or a StartMove asks for. It does nothing if the
// service is at the target version already or has a move in progress.
func (s *State) startMove(spec *contract.MoveSpec) {
	if spec == nil || s.data.Versions[spec.Service] == spec.To {
		return
	}
	if m := s.data.Moves[spec.Service]; m != nil && inProgress(m) {
		return
	}
	deadline := spec.Deadline.UTC()
	if spec.Deadline.IsZero() {
		deadline = s.data.Now.Add(spec.Within)
	}
	s.data.Moves[spec.Service] = &api.Move{
		ID:       s.data.Revision,
		Service:  spec.Service,
		From:     spec.From,
		To:       spec.To,
		State:    api.MoveRunning,
		Started:  s.data.Now,
		Deadline: deadline,
		Watch:    spec.Watch,
		Cause:    "started",

		StageSince: s.data.Now,
	}
}

func (s *State) stageMove(c *StageMove) *Result {
	m := s.data.Moves[c.Service]
	if reason := checkStage(m, c); reason != "" {
		return &Result{Refused: reason}
	}
	m.Cause = c.Decision.Cause
	m.Evidence = c.Decision.Evidence
	switch c.Decision.Action {
	case api.DecisionRaise:
		m.Stage = c.Decision.Stage
		m.StageSince = s.data.Now
		m.Share = c.Decision.Share
		if m.Share >= fullShare {
			m.Share = 1
			m.State = api.MoveWatching
			m.FullAt = s.data.Now
		}
	case api.DecisionTakeBack:
		s.endMove(m, api.MoveTakenBack)
	case api.DecisionFinish:
		s.endMove(m, api.MoveDone)
	}
	s.raiseRevision()
	s.compileConfig()
	return &Result{}
}

// checkStage returns why a stage change does not apply, or "".
func checkStage(m *api.Move, c *StageMove) string {
	if m == nil || m.ID != c.Move || !inProgress(m) {
		return fmt.Sprintf("service %s has no move %d in progress", c.Service, c.Move)
	}
	if m.Stage != c.Expected {
		return fmt.Sprintf("the move of %s is at stage %d, not %d", c.Service, m.Stage, c.Expected)
	}
	d := c.Decision
	switch d.Action {
	case api.DecisionRaise:
		if m.State != api.MoveRunning {
			return fmt.Sprintf("the move of %s has its full share", c.Service)
		}
		if d.Stage != m.Stage+1 {
			return fmt.Sprintf("stage %d does not follow stage %d", d.Stage, m.Stage)
		}
		if !(d.Share > m.Share && d.Share <= 1) {
			return fmt.Sprintf("share %g does not lie between %g and 1", d.Share, m.Share)
		}
	case api.DecisionFinish:
		if m.State != api.MoveWatching {
			return fmt.Sprintf("the move of %s does not have its full share", c.Service)
		}
	case api.DecisionTakeBack:
	default:
		return fmt.Sprintf("%q changes no stage", d.Action)
	}
	return ""
}

func (s *State) endMove(m *api.Move, state api.MoveState) {
	m.State = state
	m.Ended = s.data.Now
	if state == api.MoveDone {
		m.Share = 1
		s.data.Versions[m.Service] = m.To
		return
	}
	m.Share = 0
}

func (s *State) abortMove(c *api.AbortMove) api.ChangeReply {
	m := s.data.Moves[c.Service]
	if m == nil || !inProgress(m) {
		return s.refusedReply("service %s has no move in progress", c.Service)
	}
	m.Cause = fmt.Sprintf("aborted by %s: %s", c.Operation.Operator, c.Reason)
	s.endMove(m, api.MoveTakenBack)
	s.raiseRevision()
	s.compileConfig()
	return acceptedReply()
}

func (s *State) setDomain(c *api.SetDomain) api.ChangeReply {
	d, ok := s.data.Domains[c.Domain]
	if !ok {
		return s.refusedReply("failure domain %s is not in the bundle", c.Domain)
	}
	next := c.State
	switch c.State {
	case failuredomain.StateDrained, failuredomain.StateRestoring:
	case failuredomain.StateActive:
		// A drained domain becomes active only after restoring, as its endpoints are cold.
		if d.State == failuredomain.StateDrained {
			next = failuredomain.StateRestoring
		}
	default:
		return s.refusedReply("failure domains have no state %q", c.State)
	}
	if d.State == next || (next == failuredomain.StateRestoring && d.State == failuredomain.StateActive) {
		return acceptedReply()
	}
	s.changeDomain(d, next)
	return acceptedReply()
}

// changeDomain sets the state of a failure domain and compiles the configuration as a new
// revision.
func (s *State) changeDomain(d failuredomain.Domain, next failuredomain.State) {
	d.State = next
	d.ChangedAt = s.data.Now
	s.data.Domains[d.ID] = d
	s.raiseRevision()
	s.compileConfig()
}

func (s *State) activateDomains() {
	changed := false
	for id, d := range s.data.Domains {
		if d.State == failuredomain.StateRestoring && s.data.Now.Sub(d.ChangedAt) >= RestorePeriod {
			d.State = failuredomain.StateActive
			d.ChangedAt = s.data.Now
			s.data.Domains[id] = d
			changed = true
		}
	}
	if changed {
		s.raiseRevision()
		s.compileConfig()
	}
}

func (s *State) raiseRevision() { s.data.Revision++ }

// compileConfig builds the configuration of the current revision from the document, or without
// one from the bundle in force.
func (s *State) compileConfig() {
	if s.data.Document != nil {
		s.config = contract.CompileDocument(contract.DocumentInput{
			Revision: s.data.Revision,
			Document: s.data.Document,
			Domains:  s.copyDomains(),
			Moves:    s.moveShares(),
			Versions: s.copyVersions(),
		})
		return
	}
	if s.bundle == nil {
		return
	}
	s.config = contract.Compile(contract.CompileInput{
		Revision: s.data.Revision,
		Ref:      s.data.Bundles[s.data.Current].Ref,
		Bundle:   s.bundle,
		Domains:  s.copyDomains(),
		Moves:    s.moveShares(),
		Versions: s.copyVersions(),
	})
}

// moveShares returns the shares of the moves in progress, in order of service.
func (s *State) moveShares() []contract.MoveShare {
	var out []contract.MoveShare
	for _, m := range s.data.Moves {
		if inProgress(m) {
			out = append(out, contract.MoveShare{Service: m.Service, From: m.From, To: m.To, Share: m.Share, Unproven: true})
		}
	}
	slices.SortFunc(out, func(a, b contract.MoveShare) int { return strings.Compare(a.Service, b.Service) })
	return out
}
