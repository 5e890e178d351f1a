package control

import (
	"errors"
	"fmt"
	"time"

	"toucantiller.dev/contract"
	"toucantiller.dev/control/api"
	"toucantiller.dev/control/state"
	"toucantiller.dev/failuredomain"
	"toucantiller.dev/instance"
	"toucantiller.dev/lease"
	"toucantiller.dev/timeline"
)

// UnavailablePrefix starts the errors after which a call may be retried at another replica.
const UnavailablePrefix = "unavailable: "

// service is the net/rpc service "Control". On a replica that does not lead, every
// method answers with the leader's address.
type service struct{ s *Server }

// redirect handles the error of a call that needs the leader: it returns the leader's
// address, or an error that tells the caller to retry. A command that is too large must
// not be retried, since it fails every time.
func redirect(err error) (leader string, out error) {
	var notLeader *NotLeaderError
	if errors.As(err, &notLeader) && notLeader.Leader != "" {
		return notLeader.Leader, nil
	}
	if errors.Is(err, ErrTooLarge) {
		return "", ErrTooLarge
	}
	if err != nil {
		return "", errors.New(UnavailablePrefix + err.Error())
	}
	return "", nil
}

// checkLeading returns an error unless the replica leads and has opened its term.
func (s *Server) checkLeading() error {
	s.mu.Lock()
	leading := s.leading
	s.mu.Unlock()
	status := s.log.Status()
	if !status.Leading {
		return &NotLeaderError{Leader: status.Leader}
	}
	if !leading {
		return errors.New("the leader has not opened its term yet")
	}
	return nil
}

// CheckLeading returns a *NotLeaderError on a replica that does not lead, and another error on a
// leader that serves no calls yet.
func (s *Server) CheckLeading() error { return s.checkLeading() }

// ApplyBundle makes a signed bundle the configuration.
func (v *service) ApplyBundle(in *api.ApplyBundle, out *api.ChangeReply) error {
	if reason := v.validationProblem(in); reason != "" {
		count(v.s.counts.refusals, 1)
		*out = api.ChangeReply{Outcome: api.OutcomeRefused, Reason: reason, Revision: v.s.revision()}
		return nil
	}
	return v.applyChange(&state.Command{ApplyBundle: in}, in, "bundle", out)
}

// validationProblem returns the first problem of a bundle. A resend is not validated again: it
// gets its first outcome, although it may have become invalid since.
func (v *service) validationProblem(in *api.ApplyBundle) string {
	if v.s.checkLeading() != nil {
		return ""
	}
	resent := false
	v.s.machine.read(func(st *state.State) { resent = st.KnowsOperation(in.Operation.ID) })
	problems := contract.Validate(in.Content, time.Now())
	if resent || len(problems) == 0 {
		return ""
	}
	if len(problems) == 1 {
		return problems[0].String()
	}
	return fmt.Sprintf("%s (and %d more problems)", problems[0], len(problems)-1)
}

// SetDomain drains or restores a failure domain.
func (v *service) SetDomain(in *api.SetDomain, out *api.ChangeReply) error {
	return v.applyChange(&state.Command{SetDomain: in}, in, "domain", out)
}

// AbortMove takes back the move of a service.
func (v *service) AbortMove(in *api.AbortMove, out *api.ChangeReply) error {
	return v.applyChange(&state.Command{AbortMove: in}, in, "move", out)
}

func (v *service) applyChange(c *state.Command, change api.Change, object string, out *api.ChangeReply) error {
	if err := v.s.checkLeading(); err != nil {
		out.Leader, err = redirect(err)
		return err
	}
	result, err := v.s.propose(c)
	if err != nil {
		out.Leader, err = redirect(err)
		return err
	}
	if result.Change == nil {
		return errors.New(result.Refused)
	}
	*out = *result.Change
	v.recordChange(change, object, out)
	return nil
}

func (v *service) recordChange(change api.Change, object string, reply *api.ChangeReply) {
	counter := v.s.counts.changes
	if reply.Outcome == api.OutcomeRefused {
		counter = v.s.counts.refusals
	}
	count(counter, 1)
	e := timeline.Event{
		Kind:     timeline.Kind(object + "." + string(reply.Outcome)),
		Revision: reply.Revision,
		Detail:   fmt.Sprintf("operation %s by %s %s", change.Op().ID, change.Op().Operator, reply.Reason),
	}
	accepted := reply.Outcome == api.OutcomeAccepted
	switch c := change.(type) {
	case *api.SetDomain:
		e.Domain = string(c.Domain)
		if accepted {
			e.Kind = domainEvents[c.State]
		}
	case *api.AbortMove:
		e.Move = c.Service
		if accepted {
			e.Kind = "move.aborted"
		}
	case *api.ChangeReplicas:
		e.Detail += c.Address
		if accepted {
			e.Kind = replicaEvents[c.Action]
		}
	case *api.ApplyBundle:
		if accepted {
			e.Kind = "bundle.applied"
		}
	}
	cause := v.s.opts.Recorder.Record(e)
	for _, m := range v.s.movesInProgress() {
		if accepted && m.ID == reply.Revision {
			v.s.opts.Recorder.Record(timeline.Event{Kind: "move.started", Cause: cause, Move: m.Service, Revision: m.ID, Detail: m.From + " to " + m.To})
		}
	}
}

var domainEvents = map[failuredomain.State]timeline.Kind{
	failuredomain.StateDrained:   "domain.drained",
	failuredomain.StateRestoring: "domain.restored",
	failuredomain.StateActive:    "domain.restored",
}

// Register announces a process and grants it a lease.
func (v *service) Register(in *api.Register, out *api.RegisterReply) error {
	if err := v.s.checkLeading(); err != nil {
		out.Leader, err = redirect(err)
		return err
	}
	if wait := v.admissionDelay(in.Instance); wait > 0 {
		count(v.s.counts.deferrals, 1)
		out.RetryAfter = wait
		return nil
	}
	result, err := v.s.propose(&state.Command{Register: in})
	if err != nil {
		out.Leader, err = redirect(err)
		return err
	}
	if result.Register == nil {
		return errors.New(result.Refused)
	}
	v.s.mu.Lock()
	v.s.leases.Grant(result.Register.Lease, time.Now())
	v.s.mu.Unlock()
	count(v.s.counts.registrations, 1)
	out.Lease = result.Register.Lease
	out.TTL = lease.TTL
	return nil
}

// admissionDelay returns how long a registration must wait. Processes that hold a lease with
// the same incarnation need no admission.
func (v *service) admissionDelay(i instance.Instance) time.Duration {
	known := false
	v.s.machine.read(func(st *state.State) { known = st.HoldsLease(i.ID, i.Incarnation) })
	if known {
		return 0
	}
	v.s.mu.Lock()
	defer v.s.mu.Unlock()
	return v.s.admission.Admit(fmt.Sprintf("%s/%x", i.ID, uint64(i.Incarnation)), time.Now())
}

// KeepAlive renews a lease. It writes nothing to the log unless the process leaves.
func (v *service) KeepAlive(in *api.KeepAlive, out *api.KeepAliveReply) error {
	if err := v.s.checkLeading(); err != nil {
		out.Leader, err = redirect(err)
		return err
	}
	if in.Leaving {
		return v.endLease(in, out)
	}
	v.s.mu.Lock()
	defer v.s.mu.Unlock()
	out.Known = v.s.leases.Renew(in.Lease, in.Revision, time.Now())
	return nil
}

// endLease ends the lease of a process that leaves.
func (v *service) endLease(in *api.KeepAlive, out *api.KeepAliveReply) error {
	end := state.EndLease{Lease: in.Lease, Left: true, Revision: in.Revision}
	_, err := v.s.propose(&state.Command{EndLeases: &state.EndLeases{Leases: []state.EndLease{end}}})
	if err != nil {
		out.Leader, err = redirect(err)
		return err
	}
	v.s.mu.Lock()
	v.s.leases.Remove(in.Lease)
	v.s.mu.Unlock()
	return nil
}

// checkServing returns an error unless the replica leads and has confirmed its quorum within
// maxQuorumAge; otherwise another replica may lead already.
func (s *Server) checkServing() error {
	if err := s.checkLeading(); err != nil {
		return err
	}
	if s.holder.Freshness(time.Now()) > maxQuorumAge {
		return errors.New("the quorum is not confirmed")
	}
	return nil
}

// Subscribe serves what the leader has published.
func (v *service) Subscribe(in *api.Subscribe, out *api.View) error {
	if err := v.s.checkServing(); err != nil {
		out.Leader, err = redirect(err)
		return err
	}
	*out = v.s.holder.Wait(in, v.s.ctx.Done())
	return nil
}

// Claim claims an idempotency key.
func (v *service) Claim(in *api.Claim, out *api.ClaimReply) error {
	if err := v.s.checkClaimSpace(in); err != nil {
		out.Leader, err = redirect(err)
		return err
	}
	reply, err := v.s.proposeClaim(state.ClaimStep{Claim: in})
	if err != nil {
		out.Leader, err = redirect(err)
		return err
	}
	*out = *reply
	return nil
}

// CompleteClaim stores the outcome of a claim.
func (v *service) CompleteClaim(in *api.CompleteClaim, out *api.CompleteReply) error {
	_, err := v.s.proposeClaim(state.ClaimStep{Complete: v.s.boundAnswer(in)})
	out.Leader, err = redirect(err)
	return err
}

// NextToken issues a fencing token.
func (v *service) NextToken(_ *api.Empty, out *api.TokenReply) error {
	result, err := v.s.propose(&state.Command{NextToken: &state.NextToken{}})
	if err != nil {
		out.Leader, err = redirect(err)
		return err
	}
	out.Token = result.Token
	return nil
}

// ReportEvidence stores a gateway's observations.
func (v *service) ReportEvidence(in *api.Evidence, out *api.EvidenceReply) error {
	if err := v.s.checkLeading(); err != nil {
		out.Leader, err = redirect(err)
		return err
	}
	moving := make(map[string]bool)
	for _, m := range v.s.movesInProgress() {
		moving[m.Service] = true
	}
	v.s.mu.Lock()
	c := v.s.evidence
	v.s.mu.Unlock()
	count(v.s.counts.observations, len(in.Observations))
	count(v.s.counts.observationsDropped, c.addReport(in, moving))
	return nil
}
