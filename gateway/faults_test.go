package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/link"
)

// runInBubble runs a test in a synctest bubble with a testCluster.
func runInBubble(t *testing.T, f func(t *testing.T, w *testCluster)) {
	synctest.Test(t, func(t *testing.T) { f(t, newTestCluster(t)) })
}

// Guards against a request that fails although its dispatch provably was not sent: the
// connection to the first agent was refused.
func TestRefusedConnectionGoesElsewhere(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		one, two := &countingEngine{}, &countingEngine{}
		w.addAgent("e1", "desk", one)
		w.addAgent("e2", "desk", two)
		w.startGateway()
		w.network.SetFault("agent-e1", link.FaultRefuse)
		for range 8 {
			w.post("/services/desk/bookings", "{}").expect(t, 200)
		}
		assert.Equal(t, one.runs.Load(), int64(0))
		assert.Equal(t, two.runs.Load(), int64(8))
	})
}

// Guards against a request that hangs, or runs twice, when the connection goes silent
// after the engine has been given the request.
func TestSilenceAfterCommitIsUnknown(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		one, two := slowEngine(20*time.Second), slowEngine(20*time.Second)
		w.addAgent("e1", "desk", one)
		w.addAgent("e2", "desk", two)
		w.startGateway()
		go func() {
			time.Sleep(time.Second)
			w.network.SetFault("agent-e1", link.FaultSilence)
			w.network.SetFault("agent-e2", link.FaultSilence)
		}()
		begin := time.Now()
		w.post("/services/desk/bookings", "{}").expect(t, 502, executionField("unknown"), "endpoint_lost")
		assert.Assert(t, time.Since(begin) <= 3*time.Second, "settled after %s", time.Since(begin)-time.Second)
		assert.Equal(t, w.totalRuns(one, two), int64(1))
	})
}

// Guards against queued work that is lost when a connection goes silent: the seal over a new
// connection proves that the request did not run, so another endpoint can take it.
func TestSilenceInQueueGoesElsewhere(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		busy, free := slowEngine(8*time.Second), &countingEngine{}
		a := w.addAgent("e1", "desk", busy)
		w.startGateway()
		result, other := w.queueAtAgent(a, booking)
		w.addAgent("e2", "desk", free)
		w.network.SetFault("agent-e1", link.FaultSilence)
		begin := time.Now()
		(<-result).expect(t, 200)
		assert.Assert(t, time.Since(begin) <= 2*time.Second, "took %s", time.Since(begin))
		assert.Assert(t, <-other != nil)
		assert.Equal(t, busy.runs.Load(), int64(1))
		assert.Equal(t, free.runs.Load(), int64(1))
	})
}

// Guards against a false "not run" when the agent cannot be reached: whether the request ran is
// unknown.
func TestPartitionAfterDispatchIsUnknown(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		engine := slowEngine(20 * time.Second)
		w.addAgent("e1", "desk", engine)
		w.startGateway()
		go func() {
			time.Sleep(time.Second)
			w.network.SetFault("agent-e1", link.FaultPartition)
		}()
		w.post("/services/desk/bookings", "{}").expect(t, 502, executionField("unknown"))
		assert.Equal(t, engine.runs.Load(), int64(1))
		w.network.SetFault("agent-e1", link.FaultNone)
	})
}

// Guards against a second run when the connection is reset while the engine works.
func TestResetAfterCommitRunsOnce(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		one, two := slowEngine(5*time.Second), slowEngine(5*time.Second)
		w.addAgent("e1", "desk", one)
		w.addAgent("e2", "desk", two)
		w.startGateway()
		go func() {
			time.Sleep(time.Second)
			w.network.Reset("agent-e1")
			w.network.Reset("agent-e2")
		}()
		w.post("/services/desk/bookings", "{}").expect(t, 502, executionField("unknown"))
		assert.Equal(t, w.totalRuns(one, two), int64(1))
	})
}

// Guards against a keyed request whose reply was lost being reported as unknown, though
// the agent has kept the answer.
func TestLostReplyOfClaimedRequestIsFetched(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		engine := slowEngine(2 * time.Second)
		w.addAgent("e1", "desk", engine)
		w.startGateway()
		go func() {
			time.Sleep(time.Second)
			w.network.SetFault("agent-e1", link.FaultSilence)
		}()
		w.post("/services/desk/bookings", "{}", "Idempotency-Key", "k1").expect(t, 200, `"ok":true`)
		assert.Equal(t, engine.runs.Load(), int64(1))
	})
}

// Guards against taking an agent that has restarted for one that never ran the request.
func TestRestartedAgentIsUnknown(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		engine := slowEngine(20 * time.Second)
		first := w.addAgent("e1", "desk", engine)
		w.startGateway()
		result := make(chan answer, 1)
		go func() { result <- w.post("/services/desk/bookings", "{}") }()
		time.Sleep(time.Second)
		gone, cancel := context.WithCancel(context.Background())
		cancel()
		_ = first.Stop(gone)
		w.restart("e1")
		a := <-result
		a.expect(t, 502, executionField("unknown"))
		assert.Equal(t, engine.runs.Load(), int64(1))
	})
}

// Guards against a caller that disconnects while its request keeps its slot and the engine.
func TestCallerThatLeavesFreesTheEngine(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		cancelled := make(chan struct{})
		engine := &countingEngine{serve: func(rw http.ResponseWriter, r *http.Request, run int64) {
			if run > 1 {
				_, _ = io.WriteString(rw, "second")
				return
			}
			<-r.Context().Done()
			close(cancelled)
		}}
		a := w.addAgent("e1", "desk", engine)
		w.startGateway()
		begin := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		got := w.send(ctx, http.MethodPost, "/services/desk/a", "{}")
		assert.ErrorIs(t, got.err, context.DeadlineExceeded)
		<-cancelled
		assert.Assert(t, time.Since(begin) < 2*time.Second, "cancelled after %s", time.Since(begin))
		synctest.Wait()
		assert.Equal(t, a.Load().Running, 0)
		w.post("/services/desk/b", "{}").expect(t, 200, "second")
	})
}

// Guards against a drain that cuts running work, drops queued work or accepts new work.
func TestDrainHandsBackAndFinishes(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		one, two := slowEngine(3*time.Second), &countingEngine{}
		a := w.addAgent("e1", "desk", one)
		w.startGateway()
		result, other := w.queueAtAgent(a, booking)
		w.addAgent("e2", "desk", two)
		a.Drain()
		(<-result).expect(t, 200)
		w.post(booking, "{}").expect(t, 200)
		assert.NilError(t, <-other)
		assert.Equal(t, one.runs.Load(), int64(1))
		assert.Equal(t, two.runs.Load(), int64(2))
	})
}

// Guards against a gateway that cuts open requests when it stops.
func TestGatewayStopFinishesOpenRequests(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		w.addAgent("e1", "desk", slowEngine(3*time.Second))
		w.startGateway()
		result := make(chan answer, 1)
		go func() { result <- w.post("/services/desk/a", "{}") }()
		time.Sleep(time.Second)
		assert.NilError(t, w.gateway.Stop(context.Background()))
		(<-result).expect(t, 200)
	})
}

// Guards against calls that get a reset instead of an answer because a stopping gateway closes
// its listener or an idle connection while the balancer still sends.
func TestStoppingGatewayAcceptsCalls(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		w.addAgent("e1", "desk", slowEngine(10*time.Millisecond))
		w.stopDelay = 2 * time.Second
		w.startGateway()
		w.client = &http.Client{Transport: &http.Transport{DialContext: dialer(w.network)}}
		w.post("/services/desk/a", "{}").expect(t, 200)
		stopped := make(chan error, 1)
		go func() { stopped <- w.gateway.Stop(context.Background()) }()
		synctest.Wait()
		for start := time.Now(); time.Since(start) < 1900*time.Millisecond; time.Sleep(50 * time.Millisecond) {
			a := w.post("/services/desk/a", "{}")
			a.expect(t, 200)
			assert.Assert(t, a.closes, "the answer did not end its connection")
		}
		assert.NilError(t, <-stopped)
		assert.Assert(t, w.post("/services/desk/a", "{}").err != nil)
	})
}

// Guards against a gateway that keeps and probes a connection to every agent it has used,
// and against one that closes a connection which carries a request.
func TestIdleConnectionsAreClosed(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		slow := func(_ http.ResponseWriter, r *http.Request) {
			time.Sleep(time.Second)
			if strings.HasSuffix(r.URL.Path, "slow") {
				time.Sleep(5 * time.Second)
			}
		}
		for i := range 40 {
			w.addAgent(fmt.Sprint(i), "desk", http.HandlerFunc(slow))
		}
		w.startGateway()
		open := func() int64 { return w.links.opened.Load() - w.links.closed.Load() }
		answers := make(chan answer, 40)
		for i := range 40 {
			path := "/services/desk/" + []string{"fast", "slow"}[i/39]
			go func() { answers <- w.post(path, "x") }()
		}
		time.Sleep(500 * time.Millisecond)
		assert.Assert(t, open() >= 30, "%d connections", open())
		time.Sleep(2 * time.Second)
		assert.Equal(t, open(), int64(17))
		for range 40 {
			(<-answers).expect(t, http.StatusOK)
		}
		w.post("/services/desk/fast", "x").expect(t, http.StatusOK)
		time.Sleep(time.Second)
		assert.Equal(t, open(), int64(16))
	})
}
