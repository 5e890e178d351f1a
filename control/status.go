package control

import (
	"context"
	"time"

	"toucantiller.dev/control/api"
	"toucantiller.dev/control/state"
)

// Status returns the replica's view. Only the leader knows keepalive times, so the
// lists of processes and InForce are filled on the leader alone.
func (v *service) Status(_ *api.Empty, out *api.Status) error {
	now := time.Now()
	leading := v.s.checkLeading() == nil
	logStatus := v.s.log.Status()
	out.Replica = string(v.s.opts.Self.ID)
	out.Self = v.s.opts.Self
	out.Leader = logStatus.Leader
	out.Term = logStatus.Term
	if leading {
		if err := v.readBarrier(); err != nil {
			return err
		}
	}
	out.Replicas = v.s.log.Members()
	v.s.mu.Lock()
	defer v.s.mu.Unlock()
	v.s.machine.read(func(st *state.State) {
		out.Revision = st.Revision()
		if b := st.CurrentBundle(); b != nil {
			out.Bundle = b.Ref
		}
		out.Domains = st.Domains()
		out.Moves = v.withHoldCauses(st.Moves())
		out.Endpoints = st.Directory().Endpoints
		if leading {
			out.Processes, out.InForce = v.processes(st, now)
		}
	})
	return nil
}

// processes lists the processes that may take work and reports whether the present
// revision is in force at all of them.
func (v *service) processes(st *state.State, now time.Time) (list []api.ProcessStatus, inForce bool) {
	inForce = true
	for _, r := range st.Registrations() {
		e, ok := v.s.leases.Get(r.Lease)
		p := api.ProcessStatus{Instance: r.Instance, Revision: e.Revision}
		if ok {
			p.Silent = now.Sub(e.Seen)
		}
		inForce = inForce && p.Revision >= st.Revision()
		list = append(list, p)
	}
	wall := now.UTC()
	for _, l := range st.LostProcesses(wall) {
		list = append(list, api.ProcessStatus{Instance: l.Instance, Revision: l.Revision, Silent: wall.Sub(l.At), Lost: true})
		inForce = inForce && l.Revision >= st.Revision()
	}
	return list, inForce
}

// withHoldCauses fills in why moves are held, which only the leader knows.
func (v *service) withHoldCauses(moves []api.Move) []api.Move {
	for i := range moves {
		if !inProgress(&moves[i]) {
			continue // keep the committed cause
		}
		if cause := v.s.evidence.holdCause(moves[i].ID); cause != "" {
			moves[i].Cause = cause
		}
	}
	return moves
}

// Moves returns the latest move of each service.
func (v *service) Moves(_ *api.Empty, out *api.MovesReply) error {
	if err := v.s.checkLeading(); err != nil {
		out.Leader, err = redirect(err)
		return err
	}
	if err := v.readBarrier(); err != nil {
		return err
	}
	v.s.mu.Lock()
	defer v.s.mu.Unlock()
	v.s.machine.read(func(st *state.State) { out.Moves = v.withHoldCauses(st.Moves()) })
	return nil
}

// Bundle returns the bundle in force.
func (v *service) Bundle(_ *api.Empty, out *api.BundleReply) error {
	if err := v.s.checkLeading(); err != nil {
		out.Leader, err = redirect(err)
		return err
	}
	if err := v.readBarrier(); err != nil {
		return err
	}
	v.s.machine.read(func(st *state.State) {
		if b := st.CurrentBundle(); b != nil {
			out.Ref = b.Ref
			out.Content = b.Content
			out.Author = b.Author
			out.AppliedBy = b.AppliedBy
			out.AppliedAt = b.AppliedAt
			out.Signatures = b.Signatures
		}
		if d := st.Document(); d != nil {
			shown := *d
			shown.Content = nil
			out.Document = &shown
		}
	})
	return nil
}

// readBarrier makes a read include every change committed before it.
func (v *service) readBarrier() error {
	ctx, cancel := context.WithTimeout(v.s.ctx, barrierTimeout)
	defer cancel()
	_, err := redirect(v.s.log.ReadBarrier(ctx))
	return err
}
