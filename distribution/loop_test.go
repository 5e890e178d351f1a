package distribution_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/link"
)

// maxInForce is the users' bound from a change's acceptance until it is in force at a process in
// contact with control.
const maxInForce = 2 * time.Second

// Guards against two processes that follow each other after control was away for a moment, and
// learn a change only when their beacons are stale.
func TestProcessesThatFollowEachOtherLearnAChange(t *testing.T) {
	for run := range 50 {
		runSynctest(t, func(t *testing.T) {
			l := startLeader(t, "control", "gone")
			l.directory = directoryOf(1, "a", "b")
			l.directory.Control = []string{"control", "gone"}
			l.publish(t, 2)
			a, b := l.start(t, "a", "control", "gone"), l.start(t, "b", "control", "gone")
			time.Sleep(3*time.Second + time.Duration(run)*10*time.Millisecond)
			l.network.SetFault("gone", link.FaultPartition)
			l.network.SetFault("control", link.FaultRefuse)
			l.network.Reset("control")
			l.network.Reset("gone")
			time.Sleep(time.Duration(20+5*run) * time.Millisecond)
			l.network.SetFault("control", link.FaultNone)
			l.publish(t, 3)
			start := time.Now()
			for !(drained(a.holder) && drained(b.holder)) && time.Since(start) < 10*time.Second {
				time.Sleep(5 * time.Millisecond)
			}
			late := time.Since(start)
			t.Log(fmt.Sprintf("run %d: %s", run, late))
			assert.Assert(t, late < maxInForce, "in force after %s", late)
		})
	}
}
