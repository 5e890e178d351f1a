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
// they ended, and not before: a copy of the dispatch could run a second time. They are bounded by
// the rate of dispatches and seals times the retention, at some 200 bytes and the identity's
// text each. Answers are bounded in bytes: beyond that, those that ended first are dropped, and
// their dispatches are reported as ended without an answer.
type Ledger struct {
	mu      sync.Mutex
	entries map[dispatch.ID]entry
	// endings is ordered by time, so that the cost of dropping does not depend on the number of
	// entries.
	endings []ending
	// answerless is the number of endings at the front without a stored answer.
	answerless int
	// held is the size of the answers stored and being recorded; maxHeld bounds it. In bytes.
	held, maxHeld int64
}

// NewLedger returns an empty ledger that holds at most maxAnswers bytes of answers.
func NewLedger(maxAnswers int64) *Ledger {
	return &Ledger{entries: make(map[dispatch.ID]entry), maxHeld: maxAnswers}
}

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

// Finish records the end of a committed dispatch, with its answer when it is claimed. An answer
// for which there is no room is not stored.
func (l *Ledger) Finish(id dispatch.ID, answer *dispatch.StoredAnswer, now time.Time) {
	l.endCommitted(id, entry{state: stateDone, answer: answer}, now)
}

// Confirm drops the stored answer of a dispatch after the claim has stored it.
func (l *Ledger) Confirm(id dispatch.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[id]; e.state == stateDone {
		l.dropAnswer(id, e)
	}
}

// holdRecording counts bytes of an answer that is being recorded. Stored answers make room for
// it. It returns false, and counts nothing, if there is no room.
func (l *Ledger) holdRecording(n int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.makeRoom(n) {
		return false
	}
	l.held += n
	return true
}

// releaseRecording ends the count of an answer that was being recorded.
func (l *Ledger) releaseRecording(n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held -= n
}

// makeRoom drops the answers that ended first until n more bytes may be held; it returns false
// if they may not.
func (l *Ledger) makeRoom(n int64) bool {
	for ; l.held+n > l.maxHeld && l.answerless < len(l.endings); l.answerless++ {
		id := l.endings[l.answerless].id
		l.dropAnswer(id, l.entries[id])
	}
	return l.held+n <= l.maxHeld
}

// dropAnswer drops the answer of an entry, if it has one.
func (l *Ledger) dropAnswer(id dispatch.ID, e entry) {
	if e.answer == nil {
		return
	}
	l.held -= e.answer.MemoryBytes()
	l.entries[id] = entry{state: e.state}
}

func (l *Ledger) endCommitted(id dispatch.ID, to entry, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.entries[id].state == stateCommitted {
		l.recordEnd(id, to, now)
	}
}

func (l *Ledger) recordEnd(id dispatch.ID, to entry, now time.Time) {
	l.dropExpired(now)
	if to.answer != nil {
		size := to.answer.MemoryBytes()
		if l.makeRoom(size) {
			l.held += size
		} else {
			to.answer = nil
		}
	}
	l.entries[id] = to
	l.endings = append(l.endings, ending{id: id, at: now})
}

// dropExpired removes the entries whose retention has passed.
func (l *Ledger) dropExpired(now time.Time) {
	n := 0
	for n < len(l.endings) && now.Sub(l.endings[n].at) > dispatch.SealRetention {
		id := l.endings[n].id
		l.dropAnswer(id, l.entries[id])
		delete(l.entries, id)
		n++
	}
	l.endings = l.endings[n:]
	l.answerless = max(0, l.answerless-n)
}
