package gateway_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/control/api"
	"toucantiller.dev/dispatch"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/link"
)

const booking = "/services/desk/bookings"

// Guards against a retry that runs again, and against a key that returns the answer to a
// different request.
func TestRepeatGetsFirstAnswer(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		engine := &countingEngine{serve: func(rw http.ResponseWriter, _ *http.Request, run int64) {
			rw.Header().Set("Location", "/bookings/1")
			rw.WriteHeader(201)
			_, _ = io.WriteString(rw, "booked")
		}}
		w.addAgent("e1", "desk", engine)
		w.startGateway()
		for range 3 {
			a := w.post(booking, `{"slot":1}`, "Idempotency-Key", "k1")
			a.expect(t, 201, "booked")
			assert.Equal(t, a.header.Get("Location"), "/bookings/1")
		}
		w.post(booking, `{"slot":2}`, "Idempotency-Key", "k1").expect(t, 409, "key_reused", executionField("not_run"))
		assert.Equal(t, engine.runs.Load(), int64(1))
	})
}

// Guards against a retry that is told "not run" because there is no endpoint at present, though
// the first call ran, and against a key that stays claimed by such a query.
func TestRepeatWithoutEndpoint(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		engine := &countingEngine{}
		a := w.addAgent("e1", "desk", engine)
		w.startGateway()
		w.post(booking, "{}", "Idempotency-Key", "k1").expect(t, 200, `"ok":true`)
		a.Drain()
		w.post(booking, "{}", "Idempotency-Key", "k2").expect(t, 503, "draining", executionField("not_run"))
		w.post(booking, "{}", "Idempotency-Key", "k1").expect(t, 200, `"ok":true`)
		w.post(booking, "{}", "Idempotency-Key", "k2").expect(t, 503, "no_endpoint", executionField("not_run"))
		w.addAgent("e2", "desk", engine)
		w.post(booking, "{}", "Idempotency-Key", "k2").expect(t, 200)
		assert.Equal(t, engine.runs.Load(), int64(2))
	})
}

// Guards against two runs when the retry comes while the first still runs, and against losing
// the answer of a caller that disconnected.
func TestRepeatWhileRunning(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		engine := slowEngine(3 * time.Second)
		w.addAgent("e1", "desk", engine)
		w.startGateway()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		first := w.send(ctx, http.MethodPost, booking, "{}", "Idempotency-Key", "k1")
		assert.ErrorIs(t, first.err, context.DeadlineExceeded)
		w.post(booking, "{}", "Idempotency-Key", "k1").expect(t, 409, "in_progress", executionField("unknown"))
		time.Sleep(3 * time.Second)
		w.post(booking, "{}", "Idempotency-Key", "k1").expect(t, 200, `"ok":true`)
		assert.Equal(t, engine.runs.Load(), int64(1))
	})
}

// Guards against a keyed request that reaches an engine without a durable claim, and against a
// claim requested for a route that needs none.
func TestClaimsUnavailable(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		engine := &countingEngine{}
		w.addAgent("e1", "desk", engine)
		w.startGateway()
		w.claims.set(func() { w.claims.failCalls = true })
		a := w.post(booking, "{}", "Idempotency-Key", "k1")
		a.expect(t, 503, "claims_unavailable", executionField("not_run"))
		assert.Equal(t, a.header.Get("Retry-After"), "1")
		assert.Equal(t, engine.runs.Load(), int64(0))
		w.send(context.Background(), http.MethodPut, "/services/desk/lookup", "{}", "Idempotency-Key", "k1").expect(t, 200)
		w.post(booking, "{}").expect(t, 200)
		w.claims.set(func() { w.claims.failCalls = false })
		time.Sleep(2 * time.Second)
		w.post(booking, "{}", "Idempotency-Key", "k1").expect(t, 200)
	})
}

// Guards against a key that is blocked for good because control's reply to the claim was lost:
// the claim was recorded, and nothing was dispatched.
func TestLostClaimReplyReleasesKey(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		engine := &countingEngine{}
		w.addAgent("e1", "desk", engine)
		w.startGateway()
		w.claims.set(func() { w.claims.loseReplies = true })
		w.post(booking, "{}", "Idempotency-Key", "k1").expect(t, 503, "claims_unavailable", executionField("not_run"))
		w.claims.set(func() { w.claims.loseReplies = false })
		time.Sleep(2 * time.Second)
		// Another gateway would find the key held by a live owner.
		assert.Assert(t, w.claims.get("desk/k1") == nil)
		w.post(booking, "{}", "Idempotency-Key", "k1").expect(t, 200)
		assert.Equal(t, engine.runs.Load(), int64(1))
	})
}

// Guards against an answer that is passed to the caller before it is stored: a retry would run
// the request again.
func TestAnswerIsStoredBeforeItIsGiven(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		engine := &countingEngine{}
		engine.serve = func(rw http.ResponseWriter, _ *http.Request, _ int64) {
			w.claims.set(func() { w.claims.failCalls = true })
			_, _ = io.WriteString(rw, "booked")
		}
		w.addAgent("e1", "desk", engine)
		w.startGateway()
		w.post(booking, "{}", "Idempotency-Key", "k1").expect(t, 502, "answer_not_stored", executionField("unknown"))
		w.claims.set(func() { w.claims.failCalls = false })
		time.Sleep(2 * time.Second)
		w.post(booking, "{}", "Idempotency-Key", "k1").expect(t, 200, "booked")
		assert.Equal(t, engine.runs.Load(), int64(1))
	})
}

// Guards against a claim that still names the previous endpoint after its request moved to
// another one: if the gateway then dies, a retry would ask the wrong agent.
func TestClaimMovesWithRequest(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		one, two := &countingEngine{}, &countingEngine{}
		w.addAgent("e1", "desk", one)
		w.addAgent("e2", "desk", two)
		w.startGateway()
		w.network.SetFault("agent-e1", link.FaultRefuse)
		for _, key := range []string{"a", "b", "c", "d", "e", "f"} {
			w.post(booking, key, "Idempotency-Key", key).expect(t, 200)
			held := w.claims.get("desk/" + key)
			assert.Equal(t, held.Target.ID, endpoint.ID("e2"))
			assert.Equal(t, held.state, api.ClaimDone)
		}
		assert.Equal(t, two.runs.Load(), int64(6))
	})
}

// addClaimOfDeadGateway adds a claim by a dead gateway, for a dispatch to endpoint e1.
func (w *testCluster) addClaimOfDeadGateway(key, body string) dispatch.ID {
	id := dispatch.ID{Request: "r0", Attempt: 1, Gateway: 99}
	e := w.view.Directory().Endpoints[0]
	w.post(booking, body, "Idempotency-Key", key+"-probe")
	digest := w.claims.get("desk/" + key + "-probe").BodyDigest
	w.claims.set(func() {
		w.claims.claims["desk/"+key] = &claimEntry{
			Claim: api.Claim{Account: "desk", Key: key, BodyDigest: digest, Owner: "g0", Target: e, Dispatch: id},
			state: api.ClaimRunning,
		}
		w.claims.dead["g0"] = true
	})
	return id
}

// Guards against a request that never runs, or runs twice, because its key was claimed by a
// dead gateway.
func TestClaimOfDeadGateway(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		engine := &countingEngine{}
		w.addAgent("e1", "desk", engine)
		w.startGateway()
		w.addClaimOfDeadGateway("sealed", "{}")
		runs := engine.runs.Load()
		w.post(booking, "{}", "Idempotency-Key", "sealed").expect(t, 200)
		assert.Equal(t, engine.runs.Load(), runs+1)

		w.addClaimOfDeadGateway("gone", "{}")
		w.claims.set(func() { w.claims.claims["desk/gone"].Target.Incarnation++ })
		for range 2 {
			w.post(booking, "{}", "Idempotency-Key", "gone").expect(t, 502, "outcome_unknown", executionField("unknown"))
		}

		w.addClaimOfDeadGateway("cut", "{}")
		runs = engine.runs.Load()
		w.claims.set(func() { w.claims.claims["desk/cut"].Target.Address = "nowhere" })
		w.post(booking, "{}", "Idempotency-Key", "cut").expect(t, 502, "outcome_unknown", executionField("unknown"))
		assert.Equal(t, engine.runs.Load(), runs)

		w.claims.set(func() { w.claims.dead["g0"] = false })
		w.post(booking, "{}", "Idempotency-Key", "cut").expect(t, 409, "in_progress", executionField("unknown"))
	})
}

// Guards against the answer that a dead gateway's dispatch left at its agent being lost.
func TestAnswerLeftByDeadGateway(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		engine := &countingEngine{serve: func(rw http.ResponseWriter, _ *http.Request, _ int64) {
			time.Sleep(time.Second)
			_, _ = io.WriteString(rw, "booked")
		}}
		w.addAgent("e1", "desk", engine)
		w.startGateway()
		id := w.addClaimOfDeadGateway("done", "{}")
		runs := engine.runs.Load()
		assert.ErrorIs(t, w.dispatchAs(id, 500*time.Millisecond), context.DeadlineExceeded)
		w.post(booking, "{}", "Idempotency-Key", "done").expect(t, 200, "booked")
		assert.Equal(t, engine.runs.Load(), runs+1)
		assert.Equal(t, w.claims.get("desk/done").state, api.ClaimDone)
	})
}

// dispatchAs sends a keyed dispatch to endpoint e1 as another gateway that disconnects after
// patience has passed. It returns an error unless the whole answer arrived.
func (w *testCluster) dispatchAs(id dispatch.ID, patience time.Duration) error {
	e := w.view.Directory().Endpoints[0]
	client := link.NewHTTPClient(w.network, e.Address)
	defer client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Address+dispatch.PathDispatch, http.NoBody)
	assert.NilError(w.t, err)
	h := dispatch.Header{ID: id, Agent: e.Incarnation, Service: e.Service, Version: e.Version, Method: http.MethodPost, Path: "/bookings", Timeout: 10 * time.Second, Claim: "desk/done"}
	h.Write(req.Header)
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// Guards against answers that wait for control and fill the gateway's memory unseen, and against
// a dispatch that ran and whose key is free again once its answer was given up.
func TestAnswersInTasksAreBoundedInBytes(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		const size, calls = 300 << 10, 20
		w.memoryBudget = 8 << 20
		engine := &countingEngine{serve: func(rw http.ResponseWriter, _ *http.Request, _ int64) {
			w.claims.set(func() { w.claims.failCalls = true })
			_, _ = rw.Write(make([]byte, size))
		}}
		w.addAgent("e1", "desk", engine)
		w.startGateway()
		for i := range calls {
			w.claims.set(func() { w.claims.failCalls = false })
			w.post(booking, "{}", "Idempotency-Key", strconv.Itoa(i)).expect(t, 502, "answer_not_stored")
		}
		w.claims.set(func() { w.claims.failCalls = true })
		held := w.gauge("toucan.gateway.memory.held")
		assert.Assert(t, held >= size && held <= 8<<20/5, "%d bytes are held", held)
		w.claims.set(func() { w.claims.failCalls = false })
		time.Sleep(3 * time.Second)
		assert.Equal(t, w.gauge("toucan.gateway.memory.held"), int64(0))
		whole := 0
		for i := range calls {
			a := w.post(booking, "{}", "Idempotency-Key", strconv.Itoa(i))
			if a.status == http.StatusOK {
				whole++
				continue
			}
			a.expect(t, 502, "answer_too_large")
		}
		assert.Assert(t, whole > 0)
		assert.Equal(t, engine.runs.Load(), int64(calls))
	})
}
