package replica

import (
	"errors"
	"time"

	"toucantiller.dev/consensus"
	"toucantiller.dev/wal"
)

// processBatches carries out the core's batches until none is left.
func (r *Replica) processBatches() {
	for r.err == nil {
		ready, ok := r.core.Ready()
		if !ok {
			break
		}
		r.sendAll(ready.Early)
		if !r.persist(&ready) {
			break
		}
		r.carryOut(ready)
	}
	if r.blocked != nil {
		r.publish()
		return
	}
	if r.err == nil {
		r.startSnapshotWrite()
	}
	if r.core.Status().Role != consensus.Leader {
		r.failCalls(ErrLeadershipLost)
	}
	r.publish()
}

// carryOut does what may be done with a batch once it is persisted.
func (r *Replica) carryOut(ready consensus.Ready) {
	r.sendAll(ready.Messages)
	r.install(ready.Snapshot)
	r.apply(ready.Committed)
	r.core.Advance(ready)
	r.serveReads(ready.Reads)
}

// slowSaveTicks is the number of ticks after which a save is logged: the shortest election timeout.
const slowSaveTicks = 10

// logSlowSave logs a save that took so long that others may have started an election, since the
// replica sends nothing meanwhile.
func (r *Replica) logSlowSave(took time.Duration, ready *consensus.Ready) {
	if took < slowSaveTicks*r.cfg.TickInterval {
		return
	}
	var bytes int
	for _, e := range ready.Entries {
		bytes += len(e.Data)
	}
	_ = r.cfg.Logger.Log("event", "replica.slow_save", "id", r.storage.id, "took_ms", took.Milliseconds(),
		"entries", len(ready.Entries), "entry_bytes", bytes)
}

func (r *Replica) sendAll(messages []consensus.Message) {
	for i := range messages {
		m := messages[i]
		if address := r.addressOf(m.To); address != "" {
			r.cfg.Transport.Send(address, Packet{From: r.cfg.Address, Message: &m})
		}
	}
}

// install restores the state machine from a snapshot of the leader. Pending calls fail, since
// a snapshot doesn't hold their results.
func (r *Replica) install(s *consensus.Snapshot) {
	if s == nil {
		return
	}
	r.founder = nil
	r.failCalls(ErrLeadershipLost)
	if err := r.restore(s); err != nil {
		r.fail(err)
	}
}

func (r *Replica) apply(entries []consensus.Entry) {
	for _, e := range entries {
		var result []byte
		if e.Kind == consensus.EntryCommand {
			result = r.cfg.StateMachine.Apply(e.Index, e.Data)
		}
		w, ok := r.waiters[e.Index]
		if !ok {
			continue
		}
		delete(r.waiters, e.Index)
		if w.term == e.Term {
			w.reply <- outcome{result: result}
		} else {
			w.reply <- outcome{err: r.apiError(consensus.ErrNotLeader)}
		}
	}
}

func (r *Replica) serveReads(reads []consensus.Read) {
	for _, read := range reads {
		if reply, ok := r.pendingReads[read.Token]; ok {
			delete(r.pendingReads, read.Token)
			reply <- outcome{}
		}
	}
}

// failCalls fails all pending calls: proposals with an *UnknownOutcomeError, since their
// entries may still be committed, and reads with a *NotLeaderError.
func (r *Replica) failCalls(cause error) {
	if len(r.waiters) == 0 && len(r.pendingReads) == 0 {
		return
	}
	leader := r.addressOf(r.core.Status().Leader)
	for index, w := range r.waiters {
		delete(r.waiters, index)
		w.reply <- outcome{err: &UnknownOutcomeError{Leader: leader, Err: cause}}
	}
	for token, reply := range r.pendingReads {
		delete(r.pendingReads, token)
		reply <- outcome{err: &NotLeaderError{Leader: leader}}
	}
}

// snapshotWrite is the result of writing a snapshot of this replica in the background.
type snapshotWrite struct {
	snapshot *consensus.Snapshot
	encoded  *wal.Snapshot
	err      error
}

// snapshotSizeShare is the part of the last snapshot's size that the log reaches before the next
// snapshot, so that a large state is not written for every few commands.
const snapshotSizeShare = 4

// snapshotDue reports whether the entries applied since the last snapshot have reached the
// number or the size at which a snapshot replaces them.
func (r *Replica) snapshotDue() bool {
	s := r.core.Status()
	if s.Group == 0 || s.Applied == s.Snapshot {
		return false
	}
	if r.storage.log.Full() && s.AppliedBytes > uint64(r.core.SnapshotSize()/snapshotSizeShare) {
		return true // to free what the log takes on the disk
	}
	return s.Applied >= s.Snapshot+r.cfg.SnapshotThreshold || s.AppliedBytes >= r.snapshotDueBytes()
}

// snapshotDueBytes returns the size of the applied entries at which a snapshot is due.
func (r *Replica) snapshotDueBytes() uint64 {
	return uint64(max(r.cfg.SnapshotBytes, r.core.SnapshotSize()/snapshotSizeShare))
}

// startSnapshotWrite takes a snapshot if one is due. Its file is written in the background, so
// that commits don't wait for a large file.
func (r *Replica) startSnapshotWrite() {
	if !r.writingSnapshot && r.spaceTicks == 0 && r.snapshotDue() {
		r.writeSnapshot()
	}
}

func (r *Replica) writeSnapshot() {
	if r.storage.log.Full() {
		r.spaceTicks = spaceInterval
	}
	data, err := r.cfg.StateMachine.Snapshot()
	if err != nil {
		r.fail(err)
		return
	}
	w := snapshotWrite{snapshot: r.core.SnapshotAt(data)}
	if w.encoded, err = encodeSnapshot(w.snapshot); err != nil {
		r.fail(err)
		return
	}
	r.writingSnapshot = true
	r.cfg.background(func() {
		w.err = r.storage.log.WriteSnapshot(w.encoded)
		r.snapshotWrites <- w
	})
}

// finishSnapshotWrite compacts the log up to the written snapshot, unless a later snapshot from
// a leader replaced the log in the meantime.
func (r *Replica) finishSnapshotWrite(w snapshotWrite) {
	r.writingSnapshot = false
	if w.err == nil && w.snapshot.Index > r.core.Status().Snapshot {
		w.err = r.storage.log.AdoptSnapshot(w.encoded, true)
		if w.err == nil {
			r.core.Compact(w.snapshot)
		}
	}
	switch {
	case errors.Is(w.err, wal.ErrNoSpace):
		r.giveUpReserve(w.err)
	case w.err != nil:
		r.fail(w.err)
	}
}

// publish updates Status, and logs and reports changes of role, term, leader or membership
// in a group.
func (r *Replica) publish() {
	s := r.core.Status()
	now := Status{
		ID: s.ID, Group: s.Group, Term: s.Term, Leader: r.addressOf(s.Leader),
		IsLeader: s.Role == consensus.Leader, Commit: s.Commit, Applied: s.Applied,
		Members: r.core.Members(), Joined: s.Group != 0, SnapshotIndex: s.Snapshot,
		Founders: r.core.Founders(), Discarded: r.storage.discarded, DiskFull: r.blocked != nil || r.storage.log.Full(),
		SnapshotBytes: r.core.SnapshotSize(), LogBytes: int(s.LogBytes), DiskBytes: r.storage.log.DiskBytes(),
	}
	if r.blocked != nil {
		now.IsLeader, now.Leader = false, ""
	}
	was := r.status.Swap(&now)
	changed := was == nil || was.Term != now.Term || was.Leader != now.Leader ||
		was.IsLeader != now.IsLeader || was.Joined != now.Joined
	if was != nil && was.DiskFull != now.DiskFull {
		_ = r.cfg.Logger.Log("event", "replica.disk_full", "id", now.ID, "full", now.DiskFull, "blocked", r.blocked != nil)
	}
	if !changed {
		return
	}
	_ = r.cfg.Logger.Log("event", "replica.role", "id", now.ID, "role", s.Role, "term", now.Term,
		"leader", now.Leader, "joined", now.Joined)
	if r.cfg.OnChange != nil {
		r.cfg.OnChange(now)
	}
}
