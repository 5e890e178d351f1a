package replica

import (
	"context"
	"errors"
	"fmt"
	"time"

	"toucantiller.dev/consensus"
)

// Propose replicates a command and returns the state machine's result once it is
// committed and applied here. A *NotLeaderError means that the command had no effect, an
// *UnknownOutcomeError that it may still be applied. After any other error the command was
// not proposed.
func (r *Replica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if len(command) > MaxCommandBytes {
		return nil, fmt.Errorf("%w: %d bytes, at most %d are allowed", ErrCommandTooLarge, len(command), MaxCommandBytes)
	}
	if !r.proposals.reserve(command) {
		return nil, consensus.ErrBacklogFull
	}
	reply := make(chan outcome, 1)
	select {
	case r.proposals.waiting <- proposal{command: command, reply: reply}:
	case <-ctx.Done():
		r.proposals.release(command)
		return nil, ctx.Err()
	case <-r.done:
		r.proposals.release(command)
		return nil, ErrStopped
	}
	o := r.awaitOutcome(ctx, reply)
	return o.result, o.err
}

// awaitOutcome waits for the outcome of a proposal that is queued. If ctx ends or the replica
// stops first, the outcome is an *UnknownOutcomeError.
func (r *Replica) awaitOutcome(ctx context.Context, reply chan outcome) outcome {
	select {
	case o := <-reply:
		return o
	case <-ctx.Done():
		return outcome{err: &UnknownOutcomeError{Leader: r.Status().Leader, Err: ctx.Err()}}
	case <-r.done:
	}
	select {
	case o := <-reply:
		return o
	default:
		return outcome{err: &UnknownOutcomeError{Leader: r.Status().Leader, Err: ErrStopped}}
	}
}

// ReadBarrier returns nil once everything that was committed before the call is applied
// here and a quorum has confirmed that this replica led during the call. Later reads of the
// state machine see all of it, so that they are linearizable.
func (r *Replica) ReadBarrier(ctx context.Context) error {
	reply := make(chan outcome, 1)
	err := r.runOnCore(ctx, func() {
		r.readToken++
		if err := r.core.ReadIndex(r.readToken); err != nil {
			reply <- outcome{err: r.apiError(err)}
			return
		}
		r.pendingReads[r.readToken] = reply
	})
	if err != nil {
		return err
	}
	select {
	case o := <-reply:
		return o.err
	case <-ctx.Done():
		return ctx.Err()
	case <-r.done:
		return ErrStopped
	}
}

// TransferLeadership transfers the leadership to the most advanced voter. It returns when
// a new leader is known, or with an error when the transfer has failed.
func (r *Replica) TransferLeadership(ctx context.Context) error {
	var coreErr error
	term := uint64(0)
	err := r.runOnCore(ctx, func() {
		coreErr = r.core.TransferLeadership(0)
		if coreErr != nil {
			coreErr = r.apiError(coreErr)
		}
		term = r.core.Status().Term
	})
	if err != nil || coreErr != nil {
		return errors.Join(err, coreErr)
	}
	return r.retryEachTick(ctx, func() (bool, error) {
		s := r.core.Status()
		if s.Term > term {
			return s.Leader != 0, nil
		}
		// A leader that loses its quorum steps down in the same term, which cancels the transfer.
		if s.Role != consensus.Leader || s.Transferee == 0 {
			return false, errors.New("leadership was not taken over within the election timeout")
		}
		return false, nil
	})
}

// AddReplica adds a replica with an empty data folder to the group. The replica joins as a
// learner and is promoted to a voter once it has caught up. Right before the promotion,
// another member at the same address, which is the same replica before it lost its disk,
// is removed. AddReplica returns when the new replica holds everything up to its promotion.
// It may be repeated on a new leader.
func (r *Replica) AddReplica(ctx context.Context, m Member) error {
	if m.ID == 0 {
		id, err := r.lookUp(ctx, m.Address)
		if err != nil {
			return err
		}
		m.ID = id
	}
	promoted := uint64(0)
	return r.retryEachTick(ctx, func() (bool, error) {
		members := r.core.Members()
		now, known := members.Find(m.ID)
		switch {
		case !known:
			_, _, err := r.core.AddLearner(m)
			return false, err
		case now.Learner && !r.core.CaughtUp(m.ID):
			return false, r.requireLeader()
		case now.Learner:
			if old, ok := otherMemberAtAddress(members, now); ok {
				_, _, err := r.core.Remove(old)
				return false, err
			}
			index, _, err := r.core.Promote(m.ID)
			promoted = max(promoted, index)
			return false, err
		default:
			promoted = max(promoted, r.core.MembersIndex())
			done := r.core.Match(m.ID) >= promoted && r.core.Status().Commit >= promoted
			return done, r.requireLeader()
		}
	})
}

// otherMemberAtAddress returns the ID of another member with the address of m.
func otherMemberAtAddress(members consensus.Membership, m Member) (consensus.ID, bool) {
	for _, x := range members {
		if x.Address == m.Address && x.ID != m.ID {
			return x.ID, true
		}
	}
	return 0, false
}

// RemoveReplica removes the member with the ID of m, or with its address if the ID is 0. It
// returns once the removal is committed; removing an unknown member succeeds.
func (r *Replica) RemoveReplica(ctx context.Context, m Member) error {
	return r.retryEachTick(ctx, func() (bool, error) {
		for _, x := range r.core.Members() {
			if x.ID == m.ID || (m.ID == 0 && x.Address == m.Address) {
				_, _, err := r.core.Remove(x.ID)
				return false, err
			}
		}
		return r.core.Status().Commit >= r.core.MembersIndex(), r.requireLeader()
	})
}

func (r *Replica) requireLeader() error {
	if r.core.Status().Role != consensus.Leader {
		return consensus.ErrNotLeader
	}
	return nil
}

// lookUp asks the replica at an address for its ID. It fails with ErrBelongsToGroup if that
// replica has joined a group and is not the known member at the address.
func (r *Replica) lookUp(ctx context.Context, address string) (consensus.ID, error) {
	for {
		reply := make(chan Hello, 1)
		var coreErr error
		var known Member
		err := r.runOnCore(ctx, func() {
			if coreErr = r.requireLeader(); coreErr != nil {
				coreErr = r.apiError(coreErr)
				return
			}
			for _, m := range r.core.Members() {
				if m.Address == address {
					known = m
				}
			}
			r.helloLookups[address] = append(r.helloLookups[address], reply)
			r.sendHello(address, true)
		})
		if coreErr == nil && ctx.Err() != nil {
			return 0, fmt.Errorf("replica %s does not answer: %w", address, ctx.Err())
		}
		if err != nil || coreErr != nil {
			return 0, errors.Join(err, coreErr)
		}
		select {
		case h := <-reply:
			if h.Joined && h.ID != known.ID {
				return 0, fmt.Errorf("add replica %s: %w", address, ErrBelongsToGroup)
			}
			return h.ID, nil
		case <-time.After(helloIntervalTicks * r.cfg.TickInterval):
		case <-ctx.Done():
			return 0, fmt.Errorf("replica %s does not answer: %w", address, ctx.Err())
		case <-r.done:
			return 0, ErrStopped
		}
	}
}

// retryEachTick runs step on the core's goroutine once per tick until it reports that it is done
// or fails. ErrChangePending and ErrNotCaughtUp are temporary and retried.
func (r *Replica) retryEachTick(ctx context.Context, step func() (bool, error)) error {
	ticker := time.NewTicker(r.cfg.TickInterval)
	defer ticker.Stop()
	for {
		var done bool
		var stepErr error
		err := r.runOnCore(ctx, func() {
			done, stepErr = step()
			switch {
			case errors.Is(stepErr, consensus.ErrChangePending), errors.Is(stepErr, consensus.ErrNotCaughtUp):
				stepErr = nil
			case stepErr != nil:
				stepErr = r.apiError(stepErr)
			}
		})
		if err != nil || stepErr != nil || done {
			return errors.Join(err, stepErr)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		case <-r.done:
			return ErrStopped
		}
	}
}

// Stop transfers the leadership if this replica is the leader, then stops the replica and
// releases the data folder. It returns the failure that had already stopped the replica, if
// any.
func (r *Replica) Stop(ctx context.Context) error {
	if s := r.Status(); s.IsLeader && consensus.Membership(s.Members).Voters() > 1 {
		if err := r.TransferLeadership(ctx); err != nil {
			_ = r.cfg.Logger.Log("event", "replica.transfer_failed", "id", s.ID, "err", err)
		}
	}
	r.stopOnce.Do(func() { close(r.stop) })
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return ctx.Err()
	}
}
