package agent_test

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"toucantiller.dev/agent"
	"toucantiller.dev/dispatch"
)

// referenceLedger is a simple model of the ledger: it records each event in a set.
type referenceLedger struct{ ran, sealed, known, done, answered map[dispatch.ID]bool }

func newReferenceLedger() *referenceLedger {
	m := func() map[dispatch.ID]bool { return make(map[dispatch.ID]bool) }
	return &referenceLedger{m(), m(), m(), m(), m()}
}

// Guards against a sealed dispatch that runs, a dispatch that runs twice, and a seal that
// reports a committed dispatch as not run. Any order of calls must agree with the model.
func TestLedgerAgreesWithNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, n := agent.NewLedger(1<<20), newReferenceLedger()
		now := time.Unix(0, 0)
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			id := dispatch.ID{Request: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")}
			switch rapid.SampledFrom([]string{"admit", "commit", "seal", "unsent", "finish", "keep", "confirm"}).Draw(t, "call") {
			case "admit":
				assert.Equal(t, l.Admit(id, now), !n.known[id])
				n.known[id] = true
			case "commit":
				may := n.known[id] && !n.sealed[id] && !n.ran[id]
				assert.Equal(t, l.Commit(id), may)
				n.ran[id] = n.ran[id] || may
			case "seal":
				n.known[id] = true
				n.sealed[id] = n.sealed[id] || !n.ran[id]
				r := l.Seal(id, now)
				assert.Equal(t, r.State == dispatch.SealSealed, n.sealed[id])
				assert.Equal(t, r.State == dispatch.SealDone, n.answered[id])
				assert.Equal(t, r.Ended, n.done[id] && !n.answered[id] && !n.sealed[id])
			case "unsent":
				l.MarkUnsent(id, now)
				if n.ran[id] && !n.done[id] {
					n.ran[id] = false
					n.sealed[id] = true
				}
			case "finish", "keep":
				keep := rapid.Bool().Draw(t, "keep")
				var a *dispatch.StoredAnswer
				if keep {
					a = &dispatch.StoredAnswer{Status: 200}
				}
				l.Finish(id, a, now)
				if n.ran[id] && !n.done[id] {
					n.done[id] = true
					n.answered[id] = keep
				}
			case "confirm":
				l.Confirm(id)
				n.answered[id] = false
			}
		}
	})
}

// Guards against a ledger that grows without bound, and against one that forgets an identity
// while a copy of the dispatch may still arrive.
func TestLedgerRetention(t *testing.T) {
	l := agent.NewLedger(1 << 20)
	now := time.Unix(0, 0)
	id := dispatch.ID{Request: "a"}
	l.Seal(id, now)
	assert.Assert(t, !l.Admit(id, now.Add(dispatch.SealRetention)))
	assert.Assert(t, l.Admit(id, now.Add(dispatch.SealRetention+time.Second)))
}

// Guards against answers that no gateway confirms and that fill the agent's memory for the
// retention, and against a dispatch that ran and is reported as not run once its answer is gone.
func TestStoredAnswersAreBoundedInBytes(t *testing.T) {
	const bodies, bound = 40, 10 * dispatch.MaxStoredAnswer
	l := agent.NewLedger(bound)
	now := time.Unix(0, 0)
	store := func(name string) dispatch.ID {
		id := dispatch.ID{Request: name}
		assert.Assert(t, l.Admit(id, now) && l.Commit(id))
		l.Finish(id, &dispatch.StoredAnswer{Status: 200, Body: make([]byte, dispatch.MaxStoredAnswer)}, now)
		return id
	}
	var ids []dispatch.ID
	for i := range bodies {
		ids = append(ids, store(strconv.Itoa(i)))
	}
	held := 0
	for i, id := range ids {
		r := l.Seal(id, now)
		assert.Equal(t, r.State == dispatch.SealCommitted, r.Ended, "%d is reported as running or not run", i)
		assert.Equal(t, r.State == dispatch.SealDone, i >= bodies-9, "answer %d", i)
		if r.Answer != nil {
			held += len(r.Answer.Body)
		}
		assert.Assert(t, !l.Admit(id, now), "%d may run again", i)
	}
	assert.Assert(t, held <= bound, "%d bytes are held", held)

	// Confirmed answers make room, so that no other is dropped for the next ones.
	oldest, confirmed := ids[bodies-9], ids[bodies-8:]
	for _, id := range confirmed {
		l.Confirm(id)
	}
	for i := range confirmed {
		store("later " + strconv.Itoa(i))
	}
	assert.Equal(t, l.Seal(oldest, now).State, dispatch.SealDone)
	store("one more")
	assert.Equal(t, l.Seal(oldest, now), dispatch.SealReply{State: dispatch.SealCommitted, Ended: true})
}
