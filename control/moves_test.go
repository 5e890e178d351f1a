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

// thresholdDecider is a fake decider: each stage needs ten observations, and one failed
// observation takes the move back.
type thresholdDecider struct{ good, failed int }

var stageShares = []float64{0, 0.05, 0.5, 1}

func (d *thresholdDecider) Decide(now time.Time, m api.Move, obs []api.Observation) api.Decision {
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
		return api.Decision{Action: api.DecisionRaise, Stage: m.Stage + 1, Share: stageShares[m.Stage+1], Cause: "ten good answers"}
	}
	return api.Decision{Action: api.DecisionHold, Cause: fmt.Sprintf("%d of 10 answers", d.good)}
}

func newThresholdDecider(api.Move) control.Decider { return &thresholdDecider{} }

const moveYAML = "move: {service: weft, from: v1, to: v2, within: 10m, watch: 30s}\n"

// reportObservations sends n observations of the new version.
func reportObservations(t *testing.T, c *control.Client, seq uint64, n int, failed bool) {
	t.Helper()
	e := &api.Evidence{Gateway: "gateway-0", Seq: seq}
	for range n {
		e.Observations = append(e.Observations, api.Observation{Service: "weft", Version: "v2", Route: "chat", Failed: failed})
	}
	assert.NilError(t, c.ReportEvidence(t.Context(), e))
	time.Sleep(time.Second)
}

func onlyMove(t *testing.T, c *control.Client) api.Move {
	t.Helper()
	moves, err := c.Moves(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(moves), 1)
	return moves[0]
}

// Guards against a new leader that repeats or skips a stage of a move in progress or restarts
// the move, and against a resent report that is counted twice.
func TestMoveContinuesAfterLeaderLoss(t *testing.T) {
	runInSynctest(t, func(t *testing.T) {
		g := startGroup(t, newThresholdDecider)
		c := control.NewClient(g.network, replicas)
		defer c.Close()
		apply(t, c.ApplyBundle, signedBundle("op-1", bundleText(1, moveYAML)))
		reportObservations(t, c, 1, 10, false)
		assert.Equal(t, onlyMove(t, c).Stage, 1)
		reportObservations(t, c, 2, 9, false)
		reportObservations(t, c, 2, 9, false)
		held := onlyMove(t, c)
		assert.Equal(t, held.Stage, 1, "a resent report counted twice")
		assert.Equal(t, held.Cause, "9 of 10 answers")

		leader := g.leader(t, c)
		g.network.SetFault(leader, link.FaultPartition)
		g.stop(t, leader)
		time.Sleep(5 * time.Second)
		after := onlyMove(t, c)
		assert.Equal(t, after.Stage, 1)
		assert.Equal(t, after.Share, 0.05)
		assert.Equal(t, after.Started, held.Started)
		reportObservations(t, c, 3, 9, false)
		assert.Equal(t, onlyMove(t, c).Stage, 1, "the new leader counted evidence of the former leader")
		reportObservations(t, c, 4, 1, false)
		assert.Equal(t, onlyMove(t, c).Stage, 2)
		reportObservations(t, c, 5, 10, false)
		assert.Equal(t, onlyMove(t, c).State, api.MoveWatching)
		time.Sleep(31 * time.Second)
		assert.Equal(t, onlyMove(t, c).State, api.MoveDone)
	})
}

// Guards against a bad version that keeps its share after the move is taken back, and a move
// that continues after it was aborted.
func TestMoveIsTakenBack(t *testing.T) {
	runInSynctest(t, func(t *testing.T) {
		network := link.NewMemory()
		newControl(t, network, control.Options{NewDecider: newThresholdDecider})
		time.Sleep(time.Second)
		c := control.NewClient(network, []string{"control-0"})
		defer c.Close()
		p := startProcess(t, network, agentInstance(0), []string{"control-0"})
		apply(t, c.ApplyBundle, signedBundle("op-1", bundleText(1, moveYAML)))
		reportObservations(t, c, 1, 10, false)
		assert.Equal(t, p.holder.Config().Services[0].Versions[1].Share, 0.05)
		reportObservations(t, c, 2, 1, true)
		m := onlyMove(t, c)
		assert.Equal(t, m.State, api.MoveTakenBack)
		assert.Equal(t, m.Evidence[0].Measure, "errors")
		assert.Equal(t, len(p.holder.Config().Services[0].Versions), 1)

		apply(t, c.ApplyBundle, signedBundle("op-2", bundleText(2, moveYAML)))
		reportObservations(t, c, 3, 10, false)
		assert.Equal(t, onlyMove(t, c).Stage, 1)
		apply(t, c.AbortMove, signedAbort("op-3", "weft"))
		reportObservations(t, c, 4, 10, false)
		m = onlyMove(t, c)
		assert.Equal(t, m.State, api.MoveTakenBack)
		assert.Equal(t, m.Cause, "aborted by ada: slow")
	})
}
