package agent_test

import (
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
		l, n := agent.NewLedger(), newReferenceLedger()
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
	l := agent.NewLedger()
	now := time.Unix(0, 0)
	id := dispatch.ID{Request: "a"}
	l.Seal(id, now)
	assert.Assert(t, !l.Admit(id, now.Add(dispatch.SealRetention)))
	assert.Assert(t, l.Admit(id, now.Add(dispatch.SealRetention+time.Second)))
}
