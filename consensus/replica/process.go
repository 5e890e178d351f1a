package replica

import (
	"toucantiller.dev/consensus"
	"toucantiller.dev/wal"
)

// process carries out the core's batches until there is none left.
func (r *Replica) process() {
	for r.err == nil {
		ready, ok := r.core.Ready()
		if !ok {
			break
		}
		r.sendAll(ready.Early)
		if err := r.storage.save(&ready); err != nil {
			r.fail(err)
			return
		}
		r.sendAll(ready.Messages)
		r.install(ready.Snapshot)
		r.apply(ready.Committed)
		r.core.Advance(ready)
		r.serveReads(ready.Reads)
	}
	if r.err == nil {
		r.snapshot()
	}
	if r.core.Status().Role != consensus.Leader {
		r.failCalls(ErrLeadershipLost)
	}
	r.publish()
}

func (r *Replica) sendAll(messages []consensus.Message) {
	for i := range messages {
		m := messages[i]
		if address := r.addressOf(m.To); address != "" {
			r.cfg.Transport.Send(address, Packet{From: r.cfg.Address, Message: &m})
		}
	}
}

// install replaces the state machine's state. Waiting calls cannot be answered from a
// snapshot.
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
			w.reply <- outcome{err: r.callError(consensus.ErrNotLeader)}
		}
	}
}

func (r *Replica) serveReads(reads []consensus.Read) {
	for _, read := range reads {
		if reply, ok := r.reads[read.Token]; ok {
			delete(r.reads, read.Token)
			reply <- outcome{}
		}
	}
}

// failCalls answers every waiting call.
func (r *Replica) failCalls(cause error) {
	if len(r.waiters) == 0 && len(r.reads) == 0 {
		return
	}
	leader := r.addressOf(r.core.Status().Leader)
	for index, w := range r.waiters {
		delete(r.waiters, index)
		w.reply <- outcome{err: &UnknownOutcomeError{Leader: leader, Err: cause}}
	}
	for token, reply := range r.reads {
		delete(r.reads, token)
		reply <- outcome{err: &NotLeaderError{Leader: leader}}
	}
}

// written is a snapshot of this replica that was written in the background.
type written struct {
	snapshot *consensus.Snapshot
	encoded  *wal.Snapshot
	err      error
}

// snapshot starts to replace the log by a snapshot once it is long enough. Its file is
// written in the background, since commits must not wait for a large one.
func (r *Replica) snapshot() {
	s := r.core.Status()
	if r.writing || s.Group == 0 || s.Applied < s.Snapshot+r.cfg.SnapshotThreshold {
		return
	}
	data, err := r.cfg.StateMachine.Snapshot()
	if err != nil {
		r.fail(err)
		return
	}
	w := written{snapshot: r.core.SnapshotAt(data)}
	if w.encoded, err = encodeSnapshot(w.snapshot); err != nil {
		r.fail(err)
		return
	}
	r.writing = true
	r.cfg.background(func() {
		w.err = r.storage.log.WriteSnapshot(w.encoded)
		r.written <- w
	})
}

// takeWritten cuts the log at a snapshot that is durable, unless a leader's later snapshot
// replaced it meanwhile.
func (r *Replica) takeWritten(w written) {
	r.writing = false
	if w.err != nil {
		r.fail(w.err)
		return
	}
	if w.snapshot.Index <= r.core.Status().Snapshot {
		return
	}
	if err := r.storage.log.AdoptSnapshot(w.encoded, true); err != nil {
		r.fail(err)
		return
	}
	r.core.Compact(w.snapshot)
}

// publish updates Status and reports changes.
func (r *Replica) publish() {
	s := r.core.Status()
	now := Status{
		ID: s.ID, Term: s.Term, Leader: r.addressOf(s.Leader),
		IsLeader: s.Role == consensus.Leader, Commit: s.Commit, Applied: s.Applied,
		Members: r.core.Members(), Joined: s.Group != 0, SnapshotIndex: s.Snapshot,
		Founders: r.core.Founders(),
	}
	was := r.status.Swap(&now)
	changed := was == nil || was.Term != now.Term || was.Leader != now.Leader ||
		was.IsLeader != now.IsLeader || was.Joined != now.Joined
	if !changed {
		return
	}
	_ = r.cfg.Logger.Log("event", "replica.role", "id", now.ID, "role", s.Role, "term", now.Term,
		"leader", now.Leader, "joined", now.Joined)
	if r.cfg.OnChange != nil {
		r.cfg.OnChange(now)
	}
}
