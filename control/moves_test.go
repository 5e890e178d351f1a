package control_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/control"
	"toucantiller.dev/control/api"
	"toucantiller.dev/link"
)

// stepper is a fake decider: each stage needs ten good observations, one failure takes
// the move back.
type stepper struct{ good, failed int }

var shares = []float64{0, 0.05, 0.5, 1}

func (d *stepper) Decide(now time.Time, m api.Move, obs []api.Observation) api.Decision {
	for _, o := range obs {
		d.good++
		if o.Failed {
			d.failed++
		}
	}
	switch {
	case d.failed > 0:
		return api.Decision{Action: api.DecisionTakeBack, Cause: "errors", Evidence: []api.MoveEvidence{{Measure: "errors", NewN: int64(d.failed)}}}
	case m.State == api.MoveWatching && now.Sub(m.FullAt) >= m.Watch:
		return api.Decision{Action: api.DecisionFinish, Cause: "watched"}
	case m.State == api.MoveRunning && d.good >= 10:
		d.good = 0
		return api.Decision{Action: api.DecisionRaise, Stage: m.Stage + 1, Share: shares[m.Stage+1], Cause: "ten good answers"}
	}
	return api.Decision{Action: api.DecisionHold, Cause: fmt.Sprintf("%d of 10 answers", d.good)}
}

func newStepper(api.Move) control.Decider { return &stepper{} }

const moveText = "move: {service: weft, from: v1, to: v2, within: 10m, watch: 30s}\n"

// report sends n observations of the new version.
func report(t *testing.T, c *control.Client, seq uint64, n int, failed bool) {
	t.Helper()
	e := &api.Evidence{Gateway: "gateway-0", Seq: seq}
	for range n {
		e.Observations = append(e.Observations, api.Observation{Service: "weft", Version: "v2", Route: "chat", Failed: failed})
	}
	assert.NilError(t, c.ReportEvidence(t.Context(), e))
	time.Sleep(time.Second)
}

func theMove(t *testing.T, c *control.Client) api.Move {
	t.Helper()
	moves, err := c.Moves(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(moves), 1)
	return moves[0]
}

// Guards against a leader lost in mid-move whose successor repeats or skips a stage or
// starts again, and against a report that counts twice.
func TestMoveContinuesAfterLeaderLoss(t *testing.T) {
	bubble(t, func(t *testing.T) {
		g := startGroup(t, newStepper)
		c := control.NewClient(g.network, replicas)
		defer c.Close()
		apply(t, c.ApplyBundle, signedBundle("op-1", bundleText(1, moveText)))
		report(t, c, 1, 10, false)
		assert.Equal(t, theMove(t, c).Stage, 1)
		report(t, c, 2, 9, false)
		report(t, c, 2, 9, false)
		held := theMove(t, c)
		assert.Equal(t, held.Stage, 1, "a resent report counted twice")
		assert.Equal(t, held.Cause, "9 of 10 answers")

		leader := g.leader(t, c)
		g.network.SetFault(leader, link.FaultPartition)
		g.stop(t, leader)
		time.Sleep(5 * time.Second)
		after := theMove(t, c)
		assert.Equal(t, after.Stage, 1)
		assert.Equal(t, after.Share, 0.05)
		assert.Equal(t, after.Started, held.Started)
		report(t, c, 3, 9, false)
		assert.Equal(t, theMove(t, c).Stage, 1, "evidence that was not in the log counted")
		report(t, c, 4, 1, false)
		assert.Equal(t, theMove(t, c).Stage, 2)
		report(t, c, 5, 10, false)
		assert.Equal(t, theMove(t, c).State, api.MoveWatching)
		time.Sleep(31 * time.Second)
		assert.Equal(t, theMove(t, c).State, api.MoveDone)
	})
}

// Guards against a bad version that keeps its share after the decision, and a move that
// lives on after it was aborted.
func TestMoveIsTakenBack(t *testing.T) {
	bubble(t, func(t *testing.T) {
		network := link.NewMemory()
		newControl(t, network, control.Options{NewDecider: newStepper})
		time.Sleep(time.Second)
		c := control.NewClient(network, []string{"control-0"})
		defer c.Close()
		p := startProcess(t, network, agent(0), []string{"control-0"})
		apply(t, c.ApplyBundle, signedBundle("op-1", bundleText(1, moveText)))
		report(t, c, 1, 10, false)
		assert.Equal(t, p.holder.Config().Services[0].Versions[1].Share, 0.05)
		report(t, c, 2, 1, true)
		m := theMove(t, c)
		assert.Equal(t, m.State, api.MoveTakenBack)
		assert.Equal(t, m.Evidence[0].Measure, "errors")
		assert.Equal(t, len(p.holder.Config().Services[0].Versions), 1)

		apply(t, c.ApplyBundle, signedBundle("op-2", bundleText(2, moveText)))
		report(t, c, 3, 10, false)
		assert.Equal(t, theMove(t, c).Stage, 1)
		apply(t, c.AbortMove, abort("op-3", "weft"))
		report(t, c, 4, 10, false)
		m = theMove(t, c)
		assert.Equal(t, m.State, api.MoveTakenBack)
		assert.Equal(t, m.Cause, "aborted by ada: slow")
	})
}
