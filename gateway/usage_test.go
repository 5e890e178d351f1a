package gateway_test

import (
	"context"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/agent"
	"toucantiller.dev/agent/host"
	"toucantiller.dev/agent/httpengine"
	"toucantiller.dev/contract"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/gateway"
	"toucantiller.dev/instance"
	"toucantiller.dev/uptime"
)

// usageCounts counts what the gateway reports as begun.
type usageCounts struct {
	mu    sync.Mutex
	begun map[string]int
}

func (u *usageCounts) Begin(account string, _ uptime.Instant) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.begun[account]++
}

// all returns the counts of all accounts.
func (u *usageCounts) all() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return maps.Clone(u.begun)
}

// runs returns the counts if only the account "desk" has n.
func runs(n int) map[string]int {
	if n == 0 {
		return map[string]int{}
	}
	return map[string]int{"desk": n}
}

// fullEngine refuses requests before they run.
type fullEngine struct{ endpoint.Engine }

func (fullEngine) Submit(context.Context, *endpoint.Request) (*endpoint.Answer, error) {
	return nil, &endpoint.RefusedError{Status: http.StatusServiceUnavailable, RetryAfter: time.Second}
}

// addRefusing adds an endpoint that refuses all requests.
func (w *testCluster) addRefusing(id string) {
	w.addEngine(id, "desk", fullEngine{httpengine.New(w.network, "http://engine-"+id)})
}

func answerWith(status int, body string) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		rw.WriteHeader(status)
		_, _ = io.WriteString(rw, body)
	})
}

// breakOff runs the request and closes the connection without an answer.
func breakOff(rw http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	panic(http.ErrAbortHandler)
}

// streamAfter starts an answer at once and sends its first event after a delay.
func streamAfter(delay time.Duration) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		rw.Header().Set("Content-Type", "text/event-stream")
		rw.(http.Flusher).Flush()
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
			return
		}
		_, _ = io.WriteString(rw, "data: a\n\n")
		rw.(http.Flusher).Flush()
		select {
		case <-time.After(time.Second):
			_, _ = io.WriteString(rw, "data: b\n\n")
		case <-r.Context().Done():
		}
	})
}

// host runs agents for an endpoint without one.
func (w *testCluster) host(id string, h http.Handler) {
	w.serve("plain-"+id+":80", h)
	l, err := w.network.Listen("host:1")
	assert.NilError(w.t, err)
	hosting, err := host.New(host.Options{
		Self: instance.Instance{ID: "h", Incarnation: 3, AgentAddress: "host:1"}, View: w.view, Network: w.network,
		Timeline: w.events, Pace: agent.DefaultPace,
		NewEngine: func(target string) endpoint.Engine { return httpengine.New(w.network, "http://"+target) },
	})
	assert.NilError(w.t, err)
	go func() { _ = hosting.Serve(l) }()
	w.t.Cleanup(func() { _ = hosting.Stop(context.Background()) })
	e := endpoint.Endpoint{ID: endpoint.ID(id), Incarnation: 1, Service: "desk", Version: "1", Domain: "a", Target: "plain-" + id + ":80", Slots: 4}
	e.Address = endpoint.HostedAddress("host:1", e.Target)
	w.register(e)
	hosting.Update([]endpoint.Endpoint{e})
}

// direct adds an endpoint without an agent.
func (w *testCluster) direct(id string, h http.Handler) {
	w.serve("plain-"+id+":80", h)
	w.register(endpoint.Endpoint{ID: endpoint.ID(id), Incarnation: 1, Service: "desk", Version: "1", Domain: "a", Target: "plain-" + id + ":80", Slots: 4})
}

const (
	chatPath = "/v1/chat/completions"
	chat     = `{"model":"lm","stream":true,"messages":[{"role":"user","content":"a"}]}`
)

// leaveAfter makes a call whose caller leaves after d.
func (w *testCluster) leaveAfter(d time.Duration, path string) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	w.send(ctx, http.MethodPost, path, chat)
	time.Sleep(2 * time.Second)
}

// Guards against runs that are counted twice, or not at all, or requests that are counted although
// they did not run.
func TestEachBegunRunCountsOnce(t *testing.T) {
	ok := answerWith(200, `{"ok":true}`)
	for name, c := range map[string]struct {
		setUp  func(w *testCluster)
		call   func(t *testing.T, w *testCluster)
		counts int
	}{
		"ordinary answer":      {func(w *testCluster) { w.addAgent("e1", "desk", ok) }, postFor(200), 1},
		"empty answer":         {func(w *testCluster) { w.addAgent("e1", "desk", answerWith(204, "")) }, postFor(204), 1},
		"the endpoint's error": {func(w *testCluster) { w.addAgent("e1", "desk", answerWith(500, "")) }, postFor(500), 1},
		"refusal":              {func(w *testCluster) { w.addRefusing("e1") }, postFor(503), 0},
		"refused here":         {func(*testCluster) {}, postFor(503), 0},
		"hosted":               {func(w *testCluster) { w.host("e1", ok) }, postFor(200), 1},
		"direct":               {func(w *testCluster) { w.direct("e1", ok) }, postFor(200), 1},
		"direct, empty":        {func(w *testCluster) { w.direct("e1", answerWith(204, "")) }, postFor(204), 1},
		"direct, lost":         {func(w *testCluster) { w.direct("e1", http.HandlerFunc(breakOff)) }, postFor(502), 1},
		"lost":                 {func(w *testCluster) { w.addAgent("e1", "desk", http.HandlerFunc(breakOff)) }, postFor(502), 1},
		"refused, then run": {func(w *testCluster) {
			w.addRefusing("e1")
			w.addAgent("e2", "desk", ok)
		}, func(t *testing.T, w *testCluster) {
			for range 4 {
				w.post(booking, "{}").expect(t, 200)
			}
		}, 4},
		"run by two endpoints": {func(w *testCluster) {
			w.addAgent("e1", "desk", answerWith(500, "e"))
			w.addAgent("e2", "desk", answerWith(500, "e"))
		}, routed("key"), 2},
		"no account": {func(w *testCluster) { w.addAgent("e1", "desk", answerWith(500, "e")) }, routed(""), 0},
		"stored answer": {func(w *testCluster) { w.addAgent("e1", "desk", ok) }, func(t *testing.T, w *testCluster) {
			for range 3 {
				w.post(booking, "{}", "Idempotency-Key", "k1").expect(t, 200)
			}
		}, 1},
		"caller leaves before the first token": {func(w *testCluster) { w.addAgent("e1", "lm", streamAfter(5*time.Second)) },
			func(_ *testing.T, w *testCluster) { w.leaveAfter(3*time.Second, chatPath) }, 0},
		"caller leaves after the first token": {func(w *testCluster) { w.addAgent("e1", "lm", streamAfter(time.Second)) },
			func(_ *testing.T, w *testCluster) { w.leaveAfter(1500*time.Millisecond, chatPath) }, 1},
		"caller leaves after the start": {func(w *testCluster) { w.addAgent("e1", "desk", streamAfter(5*time.Second)) },
			// An agent sends the start with its next frame.
			func(_ *testing.T, w *testCluster) { w.leaveAfter(3*time.Second, booking) }, 1},
		"direct, caller leaves after the start": {func(w *testCluster) { w.direct("e1", streamAfter(time.Second)) },
			func(_ *testing.T, w *testCluster) { w.leaveAfter(500*time.Millisecond, booking) }, 1},
		"stream": {func(w *testCluster) { w.addAgent("e1", "lm", streamAfter(time.Second)) }, func(t *testing.T, w *testCluster) {
			w.post(chatPath, chat).expect(t, 200, "data: b")
		}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T, w *testCluster) {
				counts := &usageCounts{begun: make(map[string]int)}
				w.usage = counts
				c.setUp(w)
				w.startGateway()
				c.call(t, w)
				assert.DeepEqual(t, counts.all(), runs(c.counts))
			})
		})
	}
}

// routed makes a call with a key on a public route whose requests may run at two endpoints.
func routed(key string) func(*testing.T, *testCluster) {
	return func(t *testing.T, w *testCluster) {
		parts := testConfig().Parts
		parts.Ingress = contract.NewIngress(1, []contract.IngressRoute{{
			Name: "r", Host: "h", Prefix: "/", Kind: contract.RouteSafe, Timeout: 5 * time.Second, MaxAttempts: 2, Public: true,
			Split: []contract.WeightedService{{Service: "desk", Weight: 1}},
		}})
		w.view.config.Store(contract.NewConfig(parts))
		out := httptest.NewRecorder()
		in := &gateway.IngressRequest{ID: "r1", Host: "h", Method: http.MethodGet, Path: "/a", Target: "/a", Key: key}
		w.gateway.ServeIngressRequest(out, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/a", nil), in, nil)
		assert.Equal(t, out.Code, 500)
	}
}

func postFor(status int) func(*testing.T, *testCluster) {
	return func(t *testing.T, w *testCluster) { w.post(booking, "{}").expect(t, status) }
}

// Guards against losing the run of a request whose link was lost while it ran.
func TestRunBehindALostLinkCounts(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		counts := &usageCounts{begun: make(map[string]int)}
		w.usage = counts
		w.addAgent("e1", "desk", slowEngine(5*time.Second))
		w.startGateway()
		time.AfterFunc(time.Second, func() { w.network.Reset("agent-e1") })
		w.post(booking, "{}").expect(t, 502, executionField("unknown"))
		assert.DeepEqual(t, counts.all(), runs(1))
	})
}
