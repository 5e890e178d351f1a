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

// entry is what the ledger knows of one dispatch. Invariant: an entry leaves
// stateQueued exactly once, either to stateCommitted or to stateSealed. What is sealed
// never reaches the engine; only Unsent turns a committed entry into a sealed one.
type entry struct {
	state  entryState
	answer *dispatch.StoredAnswer
}

// ending records when an entry reached its last state.
type ending struct {
	id dispatch.ID
	at time.Time
}

// Ledger records every dispatch identity that this incarnation of the agent has seen.
// It is the only place where a dispatch is committed. Entries are dropped
// dispatch.SealRetention after they ended.
type Ledger struct {
	mu      sync.Mutex
	entries map[dispatch.ID]entry
	// endings is in order of time, so that dropping costs the same however many entries
	// are kept.
	endings []ending
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{entries: make(map[dispatch.ID]entry)} }

// Admit enters a new identity as queued. It returns false for one already known.
func (l *Ledger) Admit(id dispatch.ID, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop(now)
	if _, known := l.entries[id]; known {
		return false
	}
	l.entries[id] = entry{state: stateQueued}
	return true
}

// Commit moves a queued dispatch to committed. It must be called directly before the
// first byte goes to the engine; false means it was sealed and must not run.
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

// Seal makes sure that a dispatch that has not been committed never runs, and says how
// the dispatch stands. An unknown identity is sealed too, for it may still arrive.
func (l *Ledger) Seal(id dispatch.ID, now time.Time) dispatch.SealReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[id]
	switch e.state {
	case stateQueued:
		l.end(id, entry{state: stateSealed}, now)
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

// Unsent turns a committed dispatch whose request provably never reached the engine
// into a sealed one.
func (l *Ledger) Unsent(id dispatch.ID, now time.Time) {
	l.leaveCommitted(id, entry{state: stateSealed}, now)
}

// Finish records the end of a committed dispatch, with its answer when it is claimed.
func (l *Ledger) Finish(id dispatch.ID, answer *dispatch.StoredAnswer, now time.Time) {
	l.leaveCommitted(id, entry{state: stateDone, answer: answer}, now)
}

// Confirm drops the stored answer of a dispatch whose claim holds it.
func (l *Ledger) Confirm(id dispatch.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[id]; e.state == stateDone {
		l.entries[id] = entry{state: stateDone}
	}
}

func (l *Ledger) leaveCommitted(id dispatch.ID, to entry, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.entries[id].state == stateCommitted {
		l.end(id, to, now)
	}
}

func (l *Ledger) end(id dispatch.ID, to entry, now time.Time) {
	l.entries[id] = to
	l.endings = append(l.endings, ending{id: id, at: now})
}

// drop forgets the entries whose retention is over.
func (l *Ledger) drop(now time.Time) {
	n := 0
	for n < len(l.endings) && now.Sub(l.endings[n].at) > dispatch.SealRetention {
		delete(l.entries, l.endings[n].id)
		n++
	}
	l.endings = l.endings[n:]
}
