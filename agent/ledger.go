package agent

import (
	"sync"
	"time"

	"toucantiller.dev/dispatch"
)

// entryState is the state of a dispatch in the ledger.
type entryState int

const (
	stateQueued entryState = iota
	stateCommitted
	stateDone
	stateSealed
)

// entry is what the ledger knows of one dispatch. Invariant: an entry leaves
// stateQueued exactly once, either to stateCommitted or to stateSealed; what is sealed
// never reaches the engine.
type entry struct {
	state  entryState
	ended  time.Time
	answer *dispatch.StoredAnswer
}

// Ledger records every dispatch identity that this incarnation of the agent has seen.
// It is the only place where a dispatch is committed.
type Ledger struct {
	mu      sync.Mutex
	entries map[dispatch.ID]*entry
	swept   time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{entries: make(map[dispatch.ID]*entry)} }

// Admit enters a new identity as queued. It returns false for one already known.
func (l *Ledger) Admit(id dispatch.ID, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(now)
	if _, known := l.entries[id]; known {
		return false
	}
	l.entries[id] = &entry{state: stateQueued}
	return true
}

// Commit moves a queued dispatch to committed. It must be called directly before the
// first byte goes to the engine; false means it was sealed and must not run.
func (l *Ledger) Commit(id dispatch.ID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[id]
	if e == nil || e.state != stateQueued {
		return false
	}
	e.state = stateCommitted
	return true
}

// Seal makes sure that a dispatch that has not been committed never runs, and says how
// the dispatch stands. An unknown identity is sealed too, for it may still arrive.
func (l *Ledger) Seal(id dispatch.ID, now time.Time) (dispatch.SealState, *dispatch.StoredAnswer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[id]
	if e == nil {
		e = &entry{state: stateQueued}
		l.entries[id] = e
	}
	switch e.state {
	case stateQueued:
		e.state = stateSealed
		e.ended = now
		return dispatch.SealSealed, nil
	case stateSealed:
		return dispatch.SealSealed, nil
	case stateDone:
		if e.answer != nil {
			return dispatch.SealDone, e.answer
		}
	}
	return dispatch.SealCommitted, nil
}

// Unsent turns a committed dispatch whose request provably never reached the engine
// into a sealed one.
func (l *Ledger) Unsent(id dispatch.ID, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[id]; e != nil && e.state == stateCommitted {
		e.state = stateSealed
		e.ended = now
	}
}

// Finish records the end of a committed dispatch, with its answer when it is claimed.
func (l *Ledger) Finish(id dispatch.ID, answer *dispatch.StoredAnswer, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[id]; e != nil && e.state == stateCommitted {
		e.state = stateDone
		e.ended = now
		e.answer = answer
	}
}

const sweepInterval = 10 * time.Second

func (l *Ledger) sweep(now time.Time) {
	if now.Sub(l.swept) < sweepInterval {
		return
	}
	l.swept = now
	for id, e := range l.entries {
		if !e.ended.IsZero() && now.Sub(e.ended) > dispatch.SealRetention {
			delete(l.entries, id)
		}
	}
}
