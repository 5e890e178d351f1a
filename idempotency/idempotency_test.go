package idempotency

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"toucantiller.dev/control/api"
	"toucantiller.dev/dispatch"
	"toucantiller.dev/instance"
)

// attempt is one gateway's try to run the request.
type attempt struct {
	id      dispatch.ID
	granted bool
}

// claimModel models gateways that may die between any two steps, and the ledger of an agent
// that commits a dispatch once and refuses sealed ones. The test checks the claims against
// that ledger.
type claimModel struct {
	now      time.Time
	table    Table
	alive    map[instance.Incarnation]bool
	sealed   map[dispatch.ID]bool
	ran      []dispatch.ID
	answer   *dispatch.StoredAnswer
	attempts []*attempt
	gateways instance.Incarnation
}

func (w *claimModel) isAlive(_ instance.ID, i instance.Incarnation) bool { return w.alive[i] }

// step lets a random gateway take its next step.
func (w *claimModel) step(t *rapid.T) {
	w.now = w.now.Add(time.Second)
	switch rapid.IntRange(0, 5).Draw(t, "step") {
	case 0, 1: // a caller sends or repeats the request through a new gateway
		w.gateways++
		w.alive[w.gateways] = true
		a := &attempt{id: dispatch.ID{Request: fmt.Sprintf("r%d", w.gateways), Gateway: w.gateways}}
		w.attempts = append(w.attempts, a)
		w.claim(t, a, nil)
	case 2: // a gateway dies
		if w.gateways > 0 {
			w.alive[instance.Incarnation(rapid.IntRange(max(1, int(w.gateways)-1), int(w.gateways)).Draw(t, "dies"))] = false
		}
	case 3: // a late dispatch reaches the agent, whether or not its gateway lives
		w.runDispatch(rapid.SampledFrom(append(w.attempts, &attempt{})).Draw(t, "runs"))
	case 4:
		w.complete(t)
	case 5:
		w.table.Sweep(w.now, w.isAlive)
	}
	measured := Table{Records: w.table.Records}
	measured.Measure()
	assert.Equal(t, w.table.Bytes(), measured.Bytes())
}

func (w *claimModel) claim(t *rapid.T, a *attempt, previous *dispatch.ID) {
	c := &api.Claim{Account: "mill", Key: "k", BodyDigest: "b", TTL: time.Hour, Dispatch: a.id, Previous: previous}
	reply := w.table.Claim(w.now, c, w.isAlive)
	switch reply.State {
	case api.ClaimGranted:
		a.granted = true
	case api.ClaimRunning:
		stale := reply.Dispatch
		if rapid.Bool().Draw(t, "late takeover") && len(w.attempts) > 1 {
			stale = w.attempts[0].id // proof about an earlier dispatch does not cover the present one
		}
		if reply.OwnerAlive || previous != nil {
			return
		}
		if !w.hasRun(stale) {
			w.sealed[stale] = true
			w.claim(t, a, &stale)
		}
	case api.ClaimDone:
		assert.Equal(t, reply.Answer, w.answer, "another answer than the first")
	case api.ClaimConflict:
		t.Fatalf("conflict with the same body")
	}
	other := w.table.Claim(w.now, &api.Claim{Account: "mill", Key: "k", BodyDigest: "other", Dispatch: dispatch.ID{Request: "x"}}, w.isAlive)
	assert.Equal(t, other.State, api.ClaimConflict, "key reused with another body")
}

func (w *claimModel) hasRun(id dispatch.ID) bool {
	for _, r := range w.ran {
		if r == id {
			return true
		}
	}
	return false
}

func (w *claimModel) runDispatch(a *attempt) {
	if a.granted && !w.sealed[a.id] && !w.hasRun(a.id) {
		w.ran = append(w.ran, a.id)
	}
}

// complete reports the outcome of a dispatch that ran, possibly many steps later.
func (w *claimModel) complete(t *rapid.T) {
	for _, a := range w.attempts {
		if !w.hasRun(a.id) || !rapid.Bool().Draw(t, "reports") {
			continue
		}
		c := &api.CompleteClaim{Account: "mill", Key: "k", Dispatch: a.id, State: api.ClaimUnknown}
		if rapid.Bool().Draw(t, "answered") {
			c.State = api.ClaimDone
			c.Answer = &dispatch.StoredAnswer{Status: 200}
		}
		if w.table.Complete(w.now, c) && c.State == api.ClaimDone {
			w.answer = c.Answer
		}
	}
}

// Guards against a request with a key that runs twice when gateways die and their
// messages arrive late, and against a repeated request that gets a different answer.
func TestClaimsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &claimModel{now: time.Unix(0, 0), alive: map[instance.Incarnation]bool{}, sealed: map[dispatch.ID]bool{}}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			w.step(t)
			if len(w.ran) > 1 {
				t.Fatalf("the request ran as %v", w.ran)
			}
		}
	})
}

// Guards against a running claim that is removed at the end of its time to live, and an
// abandoned one whose request can run again at once.
func TestSweepKeepsRunningClaims(t *testing.T) {
	var table Table
	now := time.Unix(0, 0)
	alive := true
	isAlive := func(instance.ID, instance.Incarnation) bool { return alive }
	claim := func(at time.Time, request string) api.ClaimState {
		return table.Claim(at, &api.Claim{Account: "a", Key: "k", TTL: time.Minute, Dispatch: dispatch.ID{Request: request}}, isAlive).State
	}
	assert.Equal(t, claim(now, "r1"), api.ClaimGranted)
	late := now.Add(time.Hour)
	table.Sweep(late, isAlive)
	assert.Equal(t, claim(late, "r2"), api.ClaimRunning)
	alive = false
	assert.Equal(t, table.Sweep(late, isAlive), 1)
	assert.Equal(t, claim(late, "r2"), api.ClaimUnknown)
	table.Sweep(late.Add(2*time.Minute), isAlive)
	assert.Equal(t, table.Len(), 0)
}

// Guards against a released claim that still blocks its key, and a late release by a
// dispatch that no longer holds the claim.
func TestReleaseOnlyByTheHolder(t *testing.T) {
	var table Table
	now := time.Unix(0, 0)
	alive := func(instance.ID, instance.Incarnation) bool { return true }
	first, second := dispatch.ID{Request: "r1"}, dispatch.ID{Request: "r2"}
	release := func(d dispatch.ID) bool {
		return table.Complete(now, &api.CompleteClaim{Account: "a", Key: "k", Dispatch: d, State: api.ClaimGranted})
	}
	table.Claim(now, &api.Claim{Account: "a", Key: "k", TTL: time.Minute, Dispatch: first}, alive)
	table.Claim(now, &api.Claim{Account: "a", Key: "k", TTL: time.Minute, Dispatch: second, Previous: &first}, alive)
	assert.Assert(t, !release(first))
	assert.Assert(t, release(second))
	assert.Equal(t, table.Len(), 0)
}

// Guards against a claim that a late proof about an earlier dispatch takes from the present
// dispatch, which may still run.
func TestLateProofMovesNothing(t *testing.T) {
	var table Table
	dead := func(instance.ID, instance.Incarnation) bool { return false }
	claim := func(request string, previous *dispatch.ID) api.ClaimState {
		c := &api.Claim{Account: "a", Key: "k", TTL: time.Minute, Dispatch: dispatch.ID{Request: request}, Previous: previous}
		return table.Claim(time.Unix(0, 0), c, dead).State
	}
	first := &dispatch.ID{Request: "r1"}
	assert.Equal(t, claim("r1", nil), api.ClaimGranted)
	assert.Equal(t, claim("r2", first), api.ClaimGranted)
	assert.Equal(t, claim("r3", first), api.ClaimRunning)
}
