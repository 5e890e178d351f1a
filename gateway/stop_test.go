package gateway_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/endpoint"
)

// stopWithin stops the gateway as a supervisor does that kills it after a grace.
func (w *testCluster) stopWithin(grace time.Duration) (stopped chan error) {
	stopped = make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), grace)
		defer cancel()
		stopped <- w.gateway.Stop(ctx)
	}()
	synctest.Wait()
	return stopped
}

// Guards against requests that were passed on and whose connections a planned stop closes
// without an answer: those still open at its end are answered before it.
func TestStopAnswersOpenRequests(t *testing.T) {
	for name, headers := range map[string][]string{"plain": nil, "claimed": {"Idempotency-Key", "k"}} {
		runInBubble(t, func(t *testing.T, w *testCluster) {
			engine := slowEngine(time.Hour)
			w.addAgent("e1", "desk", engine)
			w.startGateway()
			result := make(chan answer, 1)
			go func() { result <- w.post("/services/desk/a", "{}", headers...) }()
			time.Sleep(time.Second)
			stopped := w.stopWithin(7500 * time.Millisecond)
			assert.NilError(t, <-stopped, name)
			a := <-result
			a.expect(t, http.StatusGatewayTimeout, "gateway_stopped", executionField("unknown"))
			assert.Equal(t, engine.runs.Load(), int64(1), name)
		})
	}
}

// Guards against the same for an endpoint without an agent.
func TestStopAnswersOpenDirectRequests(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		engine := slowEngine(time.Hour)
		w.serve("plain:80", engine)
		w.register(endpoint.Endpoint{ID: "e1", Incarnation: 1, Service: "desk", Version: "1", Domain: "a", Target: "plain:80"})
		w.startGateway()
		result := make(chan answer, 1)
		go func() { result <- w.post("/services/desk/a", "{}") }()
		time.Sleep(time.Second)
		stopped := w.stopWithin(7500 * time.Millisecond)
		assert.NilError(t, <-stopped)
		(<-result).expect(t, http.StatusGatewayTimeout, "gateway_stopped", executionField("unknown"))
		assert.Equal(t, engine.runs.Load(), int64(1))
	})
}

// Guards against a stop that ends while a lost dispatch is being settled.
func TestStopAnswersWhileADispatchIsSettled(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		w.addAgent("e1", "desk", slowEngine(time.Hour))
		w.startGateway()
		result := make(chan answer, 1)
		go func() { result <- w.post("/services/desk/a", "{}", "Idempotency-Key", "k") }()
		time.Sleep(time.Second)
		stopped := w.stopWithin(4 * time.Second)
		time.Sleep(2 * time.Second)
		w.network.Reset("agent-e1")
		assert.NilError(t, <-stopped)
		a := <-result
		assert.NilError(t, a.err)
		assert.Assert(t, a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout, "%d %s", a.status, a.body)
	})
}

// Guards against requests that are accepted late in a stop and cannot be answered before its end.
func TestStoppingGatewayRefusesWhatItCannotFinish(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		engine := slowEngine(10 * time.Millisecond)
		w.addAgent("e1", "desk", engine)
		w.stopDelay = 2500 * time.Millisecond
		w.startGateway()
		stopped := w.stopWithin(7500 * time.Millisecond)
		time.Sleep(2 * time.Second)
		for timeout, status := range map[string]int{"5300": 200, "5450": 503, "5499": 503, "5600": 503} {
			a := w.post("/services/desk/a", "{}", "X-Request-Timeout-Ms", timeout)
			assert.Equal(t, a.status, status, "timeout %s ms: %s", timeout, a.body)
			assert.Assert(t, a.closes, "the answer did not end its connection")
			if status == http.StatusServiceUnavailable {
				a.expect(t, status, "handed_back", executionField("not_run"))
				assert.Assert(t, a.header.Get("Retry-After") != "")
			}
		}
		assert.Equal(t, engine.runs.Load(), int64(1))
		assert.NilError(t, <-stopped)
	})
}

// Guards against callers without an answer when an agent is stopped with their requests open: the
// gateway answers what the agent no longer can, and what runs is not run again.
func TestStoppedAgentLeavesNoRequestUnanswered(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		engine := slowEngine(time.Hour)
		a := w.addAgent("e1", "desk", engine)
		w.startGateway()
		result := make(chan answer, 1)
		go func() { result <- w.post("/services/desk/a", "{}") }()
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		assert.Assert(t, a.Stop(ctx) != nil, "the agent ended with no work open")
		got := <-result
		got.expect(t, http.StatusBadGateway, executionField("unknown"))
		assert.Equal(t, engine.runs.Load(), int64(1))
	})
}
