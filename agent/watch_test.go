package agent

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/dispatch"
	"toucantiller.dev/instance"
)

// Guards against a report to every gateway on every change of the load, which took most of the
// processor time of large sites, and against a late report of a change between room and no
// room.
func TestReportsAreCoalescedUnlessRoomChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(DefaultPace)
		g.declare(dispatch.Engine{ID: "e", Slots: 4})
		w, stop := g.watch(instance.Incarnation(9))
		defer stop()
		var reports atomic.Int64
		var heard atomic.Pointer[time.Time]
		go func() {
			for {
				g.loadReportTo(w, time.Now())
				reports.Add(1)
				now := time.Now()
				heard.Store(&now)
				if !w.waitForReport(t.Context()) {
					return
				}
			}
		}()
		synctest.Wait()
		start := time.Now()
		for range 100 { // two of four slots are used in turns for a second
			first := g.acquire(exactHeader(1, 0), time.Now())
			time.Sleep(5 * time.Millisecond)
			first.finish(outcome{})
			time.Sleep(5 * time.Millisecond)
		}
		assert.Assert(t, reports.Load() <= int64(2*time.Since(start)/loadReportDelay), "%d reports in %s", reports.Load(), time.Since(start))
		for range 4 {
			g.acquire(exactHeader(1, 0), time.Now())
		}
		full := time.Now()
		time.Sleep(2 * roomReportDelay)
		assert.Assert(t, heard.Load().After(full), "the gateway does not know that the endpoint is full")
	})
}
