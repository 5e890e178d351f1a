package replica

import (
	"context"
	"errors"
	"fmt"
	"time"

	"toucantiller.dev/consensus"
)

// Propose replicates a command and returns the state machine's result once it is
// committed and applied here. A *NotLeaderError means that the command had no effect,
// an *UnknownOutcomeError that it may still be applied.
func (r *Replica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if len(command) > MaxCommandBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrCommandTooLarge, len(command))
	}
	reply := make(chan outcome, 1)
	select {
	case r.proposals <- proposal{command: command, reply: reply}:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-r.done:
		return nil, ErrStopped
	}
	o := r.await(ctx, reply)
	return o.result, o.err
}

// await waits for the answer to a call that the replica has taken.
func (r *Replica) await(ctx context.Context, reply chan outcome) outcome {
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

// ReadBarrier returns once everything that was committed before the call is applied
// here and this replica was the leader during the call. Reads of the state machine that
// follow are linearizable.
func (r *Replica) ReadBarrier(ctx context.Context) error {
	reply := make(chan outcome, 1)
	err := r.call(ctx, func() {
		r.readToken++
		if err := r.core.ReadIndex(r.readToken); err != nil {
			reply <- outcome{err: r.callError(err)}
			return
		}
		r.reads[r.readToken] = reply
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

// TransferLeadership hands the leadership to the most advanced voter and returns when
// another leader is known or the transfer was given up.
func (r *Replica) TransferLeadership(ctx context.Context) error {
	var failed error
	term := uint64(0)
	err := r.call(ctx, func() {
		failed = r.core.TransferLeadership(0)
		if failed != nil {
			failed = r.callError(failed)
		}
		term = r.core.Status().Term
	})
	if err != nil || failed != nil {
		return errors.Join(err, failed)
	}
	return r.repeat(ctx, func() (bool, error) {
		s := r.core.Status()
		if s.Term > term {
			return s.Leader != 0, nil
		}
		// A leader that loses its quorum steps down in the same term, with its transfer undone.
		if s.Role != consensus.Leader || s.Transferee == 0 {
			return false, errors.New("leadership was not taken over within the election timeout")
		}
		return false, nil
	})
}

// AddReplica adds a replica with an empty data folder to the group. It joins as a
// learner, and votes once it has caught up; a member with another identity at the same
// address, which lost its disk, is removed right before. AddReplica returns when the new
// replica holds everything up to its promotion. It may be repeated on a new leader.
func (r *Replica) AddReplica(ctx context.Context, m Member) error {
	if m.ID == 0 {
		id, err := r.lookUp(ctx, m.Address)
		if err != nil {
			return err
		}
		m.ID = id
	}
	hold := uint64(0)
	return r.repeat(ctx, func() (bool, error) {
		members := r.core.Members()
		now, known := members.Find(m.ID)
		switch {
		case !known:
			_, _, err := r.core.AddLearner(m)
			return false, err
		case now.Learner && !r.core.CaughtUp(m.ID):
			return false, r.needLeader()
		case now.Learner:
			if old, ok := sharesAddress(members, now); ok {
				_, _, err := r.core.Remove(old)
				return false, err
			}
			index, _, err := r.core.Promote(m.ID)
			hold = max(hold, index)
			return false, err
		default:
			hold = max(hold, r.core.MembersIndex())
			held := r.core.Match(m.ID) >= hold && r.core.Status().Commit >= hold
			return held, r.needLeader()
		}
	})
}

// sharesAddress returns another member at the same address.
func sharesAddress(members consensus.Membership, m Member) (consensus.ID, bool) {
	for _, x := range members {
		if x.Address == m.Address && x.ID != m.ID {
			return x.ID, true
		}
	}
	return 0, false
}

// RemoveReplica removes a member, by ID or else by address.
func (r *Replica) RemoveReplica(ctx context.Context, m Member) error {
	return r.repeat(ctx, func() (bool, error) {
		for _, x := range r.core.Members() {
			if x.ID == m.ID || (m.ID == 0 && x.Address == m.Address) {
				_, _, err := r.core.Remove(x.ID)
				return false, err
			}
		}
		return r.core.Status().Commit >= r.core.MembersIndex(), r.needLeader()
	})
}

func (r *Replica) needLeader() error {
	if r.core.Status().Role != consensus.Leader {
		return consensus.ErrNotLeader
	}
	return nil
}

// lookUp asks the replica at an address for its identity.
func (r *Replica) lookUp(ctx context.Context, address string) (consensus.ID, error) {
	for {
		reply := make(chan Hello, 1)
		var failed error
		var known Member
		err := r.call(ctx, func() {
			if failed = r.needLeader(); failed != nil {
				failed = r.callError(failed)
				return
			}
			for _, m := range r.core.Members() {
				if m.Address == address {
					known = m
				}
			}
			r.lookups[address] = append(r.lookups[address], reply)
			r.sendHello(address, true)
		})
		if failed == nil && ctx.Err() != nil {
			return 0, fmt.Errorf("replica %s does not answer: %w", address, ctx.Err())
		}
		if err != nil || failed != nil {
			return 0, errors.Join(err, failed)
		}
		select {
		case h := <-reply:
			if h.Joined && h.ID != known.ID {
				return 0, fmt.Errorf("add replica %s: %w", address, ErrBelongsToGroup)
			}
			return h.ID, nil
		case <-time.After(helloTicks * r.cfg.TickInterval):
		case <-ctx.Done():
			return 0, fmt.Errorf("replica %s does not answer: %w", address, ctx.Err())
		case <-r.done:
			return 0, ErrStopped
		}
	}
}

// repeat runs step on the replica's goroutine every tick until it is done or fails.
// Errors that pass by themselves are waited out.
func (r *Replica) repeat(ctx context.Context, step func() (bool, error)) error {
	ticker := time.NewTicker(r.cfg.TickInterval)
	defer ticker.Stop()
	for {
		var done bool
		var failed error
		err := r.call(ctx, func() {
			done, failed = step()
			switch {
			case errors.Is(failed, consensus.ErrChangePending), errors.Is(failed, consensus.ErrNotCaughtUp):
				failed = nil
			case failed != nil:
				failed = r.callError(failed)
			}
		})
		if err != nil || failed != nil || done {
			return errors.Join(err, failed)
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

// Stop transfers the leadership if this replica holds it, then stops and releases the
// data folder. It returns the failure that stopped the replica before, if any.
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
