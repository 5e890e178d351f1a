package agent

import (
	"sync"
	"time"

	"toucantiller.dev/dispatch"
)

// entryState is the state of a dispatch in the ledger.
type entryState uint8

const (
	stateQueued entryState = iota
	stateCommitted
	stateDone
	stateSealed
)

// entry is the record of one dispatch. Invariant: an entry leaves stateQueued exactly once,
// either to stateCommitted or to stateSealed. A sealed dispatch never reaches the engine; only
// MarkUnsent turns a committed entry into a sealed one.
type entry struct {
	state  entryState
	answer *dispatch.StoredAnswer
}

// ending records when an entry reached its final state.
type ending struct {
	id dispatch.ID
	at time.Time
}

// Ledger records every dispatch identity that this incarnation of the agent has seen. It is the
// only place where a dispatch is committed. Entries are dropped dispatch.SealRetention after
// they ended.
type Ledger struct {
	mu      sync.Mutex
	entries map[dispatch.ID]entry
	// endings is ordered by time, so that the cost of dropping does not depend on the number of
	// entries.
	endings []ending
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{entries: make(map[dispatch.ID]entry)} }

// Admit adds a new identity as queued. It returns false if the identity is already known.
func (l *Ledger) Admit(id dispatch.ID, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropExpired(now)
	if _, known := l.entries[id]; known {
		return false
	}
	l.entries[id] = entry{state: stateQueued}
	return true
}

// Commit moves a queued dispatch to committed. It must be called directly before the first byte
// is sent to the engine; false means that the dispatch was sealed and must not run.
func (l *Ledger) Commit(id dispatch.ID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, known := l.entries[id]
	if !known || e.state != stateQueued {
		return false
	}
	l.entries[id] = entry{state: stateCommitted}
	return true
}

// Seal ensures that a dispatch that has not been committed never runs, and returns its state.
// An unknown identity is sealed too, because the dispatch may still arrive.
func (l *Ledger) Seal(id dispatch.ID, now time.Time) dispatch.SealReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[id]
	switch e.state {
	case stateQueued:
		l.recordEnd(id, entry{state: stateSealed}, now)
		return dispatch.SealReply{State: dispatch.SealSealed}
	case stateSealed:
		return dispatch.SealReply{State: dispatch.SealSealed}
	case stateDone:
		if e.answer != nil {
			return dispatch.SealReply{State: dispatch.SealDone, Answer: e.answer}
		}
		return dispatch.SealReply{State: dispatch.SealCommitted, Ended: true}
	}
	return dispatch.SealReply{State: dispatch.SealCommitted}
}

// MarkUnsent turns a committed dispatch into a sealed one when its request provably never
// reached the engine.
func (l *Ledger) MarkUnsent(id dispatch.ID, now time.Time) {
	l.endCommitted(id, entry{state: stateSealed}, now)
}

// Finish records the end of a committed dispatch, with its answer when it is claimed.
func (l *Ledger) Finish(id dispatch.ID, answer *dispatch.StoredAnswer, now time.Time) {
	l.endCommitted(id, entry{state: stateDone, answer: answer}, now)
}

// Confirm drops the stored answer of a dispatch after the claim has stored it.
func (l *Ledger) Confirm(id dispatch.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[id]; e.state == stateDone {
		l.entries[id] = entry{state: stateDone}
	}
}

func (l *Ledger) endCommitted(id dispatch.ID, to entry, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.entries[id].state == stateCommitted {
		l.recordEnd(id, to, now)
	}
}

func (l *Ledger) recordEnd(id dispatch.ID, to entry, now time.Time) {
	l.entries[id] = to
	l.endings = append(l.endings, ending{id: id, at: now})
}

// dropExpired removes the entries whose retention has passed.
func (l *Ledger) dropExpired(now time.Time) {
	n := 0
	for n < len(l.endings) && now.Sub(l.endings[n].at) > dispatch.SealRetention {
		delete(l.entries, l.endings[n].id)
		n++
	}
	l.endings = l.endings[n:]
}
