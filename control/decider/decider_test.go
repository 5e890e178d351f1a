package decider_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/contract"
	"toucantiller.dev/control"
	"toucantiller.dev/control/api"
	"toucantiller.dev/control/decider"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/failuredomain"
	"toucantiller.dev/rollout"
)

var start = time.Date(2031, 5, 4, 12, 0, 0, 0, time.UTC)

// observations returns the observations of one second, one in five of them of the new version.
func observations(second int, badNew bool) []api.Observation {
	var out []api.Observation
	for i := range 60 {
		o := api.Observation{Service: "weft-lm", Version: "v1", Route: "chat", Load: 0.4, PromptTokens: 100 + i, AnswerTokens: 50, FirstToken: time.Duration(90+(i*7+second)%20) * time.Millisecond, BetweenTokens: time.Duration(28+(i*3+second)%5) * time.Millisecond}
		o.Domain = failuredomain.ID(fmt.Sprintf("lagos-%d", i%3))
		o.Endpoint = endpoint.ID(fmt.Sprintf("old-%d", i%6))
		if (i/6+second)%5 == 0 {
			o.Version, o.Endpoint, o.Failed = "v2", endpoint.ID(fmt.Sprintf("new-%d", i%6)), badNew
		}
		out = append(out, o, api.Observation{Service: "member-desk", Version: "v2", Failed: true})
	}
	return out
}

// runMove applies every decision to the move, as control does, and returns the ended move.
func runMove(t *testing.T, bad bool) api.Move {
	t.Helper()
	m := api.Move{ID: 7, Service: "weft-lm", From: "v1", To: "v2", State: api.MoveRunning, Started: start, Deadline: start.Add(2 * time.Minute), Watch: 20 * time.Second}
	var d control.Decider = decider.New(m)
	for second := 1; second < 300; second++ {
		now := start.Add(time.Duration(second) * time.Second)
		out := d.Decide(now, m, observations(second, bad && m.Share > 0))
		if out.Action != api.DecisionHold {
			m.Cause, m.Evidence = out.Cause, out.Evidence
		}
		switch out.Action {
		case api.DecisionRaise:
			assert.Equal(t, out.Stage, m.Stage+1, "a raise must be the next stage")
			assert.Assert(t, out.Share > m.Share)
			m.Stage, m.Share = out.Stage, out.Share
			if m.Share == 1 {
				m.State, m.FullAt = api.MoveWatching, now
			}
		case api.DecisionFinish:
			assert.Equal(t, m.State, api.MoveWatching)
			m.State = api.MoveDone
			return m
		case api.DecisionTakeBack:
			m.State = api.MoveTakenBack
			return m
		}
	}
	t.Fatalf("the move did not end: %+v", m)
	return m
}

// Guards against wrong conversions between the types: other services must not count, and both
// final states must be reached from stage 0 without a share, as control starts a move.
func TestMoveEndsDoneOrTakenBack(t *testing.T) {
	done := runMove(t, false)
	assert.Equal(t, done.State, api.MoveDone, done.Cause)
	assert.Equal(t, done.Share, 1.0)
	back := runMove(t, true)
	assert.Equal(t, back.State, api.MoveTakenBack)
	assert.Assert(t, back.Share < 0.25, "share %g", back.Share)
	assert.Assert(t, len(back.Evidence) > 0)
	assert.Equal(t, back.Evidence[0].Measure, "errors")
}

// Guards against bundles that are valid although their time is too short for any move.
func TestMinMoveTimeMatchesRollout(t *testing.T) {
	assert.Equal(t, contract.MinMoveTime, rollout.MinTime)
}
