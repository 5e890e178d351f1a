package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/contract"
	"toucantiller.dev/dispatch"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/failuredomain"
	"toucantiller.dev/fake"
)

// refusingEngine refuses connections and counts the attempts.
type refusingEngine struct {
	fake.Resumable
	tries *atomic.Int64
}

func (e *refusingEngine) Submit(context.Context, *endpoint.Request) (*endpoint.Answer, error) {
	e.tries.Add(1)
	return nil, fmt.Errorf("connection refused: %w", endpoint.ErrNotSent)
}

// Guards against retries that multiply the load when every attempt is refused.
func TestRetryBudget(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		var tries atomic.Int64
		for i := range 4 {
			w.addEngine(fmt.Sprintf("e%d", i), "desk", &refusingEngine{tries: &tries})
		}
		w.startGateway()
		const calls = 200
		for range calls {
			w.post(booking, "{}").expect(t, 503, executionField("not_run"))
		}
		// The bound is a fifth of the calls plus 20.
		assert.Assert(t, tries.Load() <= calls+calls/5+20, "%d tries", tries.Load())
		assert.Assert(t, tries.Load() > calls, "%d tries", tries.Load())
	})
}

// runRecorder records the paths in the order in which the engine ran them.
type runRecorder struct {
	mu  sync.Mutex
	ran []string
}

func (o *runRecorder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o.mu.Lock()
	o.ran = append(o.ran, r.URL.Path)
	o.mu.Unlock()
	time.Sleep(300 * time.Millisecond)
	_, _ = w.Write([]byte("ok"))
}

// Guards against serving a lower tier while a higher one waits.
func TestHigherTierGoesFirst(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		engine := &runRecorder{}
		w.addAgent("e1", "desk", engine)
		w.startGateway()
		var calls sync.WaitGroup
		call := func(path, tier string) {
			calls.Go(func() { w.post("/services/desk/"+path, "", "X-Request-Tier", tier).expect(t, 200) })
			time.Sleep(time.Millisecond)
		}
		// Three calls leave the endpoint's limit at 1, so that the order is visible.
		call("first", "batch")
		call("low", "batch")
		call("high", "counter")
		calls.Wait()
		assert.DeepEqual(t, engine.ran, []string{"/first", "/high", "/low"})
	})
}

// Guards against shedding the higher tier while lower-tier work is served: the floor must reach
// the agents first.
func TestLowerTierIsShedFirst(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		config := testConfig()
		config.Services[1].QueueLength = 6
		w.view.config.Store(config)
		w.addAgent("e1", "desk", &runRecorder{})
		w.startGateway()
		var calls sync.WaitGroup
		var served, shed [2]atomic.Int64
		for i := range 40 {
			for tier, name := range []string{"counter", "batch"} {
				if tier == 0 && i%4 != 0 {
					continue
				}
				calls.Go(func() {
					a := w.post(booking, "", "X-Request-Tier", name)
					if a.status == 200 {
						served[tier].Add(1)
						return
					}
					a.expect(t, 503, executionField("not_run"))
					shed[tier].Add(1)
				})
			}
			time.Sleep(100 * time.Millisecond)
		}
		calls.Wait()
		assert.Equal(t, shed[0].Load(), int64(0))
		assert.Equal(t, served[0].Load(), int64(10))
		assert.Assert(t, shed[1].Load() > 0)
	})
}

// Guards against new work in a drained failure domain, at the gateway and at an agent whose
// gateway has not been told yet.
func TestDrainedDomainTakesNoWork(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		engine := &countingEngine{}
		w.addAgent("e1", "desk", engine)
		w.startGateway()
		w.post(booking, "{}").expect(t, 200)
		config := testConfig()
		config.Revision = 2
		config.Domains["a"] = failuredomain.Domain{ID: "a", State: failuredomain.StateDrained}
		w.view.config.Store(config)
		w.post(booking, "{}").expect(t, 503, executionField("not_run"))
		assert.Equal(t, engine.runs.Load(), int64(1))
	})
}

// Guards against requests of one service, or of a version with no share, at another's
// endpoints, and against a version that gets traffic without a share.
func TestVersionWithoutShareGetsNothing(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		engine := &countingEngine{}
		w.addAgent("e1", "desk", engine)
		config := testConfig()
		config.Services[1].Versions = []contract.VersionShare{{Version: "2", Share: 1}}
		w.view.config.Store(config)
		w.startGateway()
		w.post(booking, "{}").expect(t, 503, "no_endpoint", executionField("not_run"))
		assert.Equal(t, engine.runs.Load(), int64(0))
	})
}

// Guards against observations that are missing, counted twice, or blame a version for a
// request that did not run.
func TestObservations(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		w.addAgent("e1", "lm", fake.NewModel("lm", fake.Behaviour{PrefillRate: 100, DecodeRate: 10}))
		w.addAgent("e2", "desk", truncatingEngine("application/json", 10))
		w.startGateway()
		w.post("/v1/completions", `{"model":"lm","prompt":"x","stream":true}`).expect(t, 200)
		w.post(booking, "{}").expect(t, 502)
		w.post("/v1/completions", `{"model":"lm","prompt":"x"}`, "X-Request-Timeout-Ms", "600").expect(t, 504, executionField("unknown"))
		w.agents["e1"].Drain()
		w.post("/v1/completions", `{"model":"lm","prompt":"x"}`).expect(t, 503)
		assert.Equal(t, len(w.seen), 3)
		assert.Equal(t, w.seen[0].AnswerTokens, 8)
		assert.Equal(t, w.seen[0].BetweenTokens, 100*time.Millisecond)
		assert.Assert(t, !w.seen[0].Failed && w.seen[0].Cold)
		assert.Assert(t, w.seen[1].Failed)
		assert.Assert(t, !w.seen[2].Failed)
	})
}

// Guards against refusing a request after a number of attempts because agents have no capacity:
// only the queue, which knows the tiers, may shed it.
func TestRefusalForLoadGoesBackToTheQueue(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		const refusals = 30
		var tries atomic.Int64
		idle := endpoint.Load{Limit: 4, Floor: -1}
		w.addStub("e1", 5, &stubAgent{dispatch: func(rw http.ResponseWriter, _ *http.Request, h *dispatch.Header) {
			frames := dispatch.NewWriter(rw, h.ID)
			if tries.Add(1) <= refusals {
				assert.Check(t, frames.WriteMessage(dispatch.FrameRefused, dispatch.Refused{Code: dispatch.CodeEvicted, Load: idle}))
				return
			}
			assert.Check(t, frames.WriteMessage(dispatch.FrameStarted, dispatch.Started{Status: http.StatusOK}))
			assert.Check(t, frames.WriteMessage(dispatch.FrameEnd, dispatch.End{Load: idle}))
		}})
		w.startGateway()
		w.post(booking, "{}").expect(t, http.StatusOK)
		assert.Equal(t, tries.Load(), int64(refusals+1))
	})
}
