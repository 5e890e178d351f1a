package gateway_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/endpoint"
)

// Load: two endpoints without agents, one of which is four times as slow. Guards against work that is
// spread evenly although the endpoints state their load, and against deployments whose endpoints
// state no slowdown and that are served in another way than before.
func TestStatedLoadIsFollowed(t *testing.T) {
	for _, slowdown := range []float64{0, 1} {
		runInBubble(t, func(t *testing.T, w *testCluster) {
			w.report = func(*http.Response) endpoint.SelfReport {
				return endpoint.SelfReport{Running: 1, Slots: 4, Slowdown: slowdown}
			}
			var slow atomic.Int64
			w.serve("slow:80", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				slow.Add(1)
				time.Sleep(80 * time.Millisecond)
			}))
			w.serve("fast:80", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(20 * time.Millisecond) }))
			for _, id := range []endpoint.ID{"slow", "fast"} {
				w.register(endpoint.Endpoint{ID: id, Incarnation: 1, Service: "desk", Version: "1", Domain: "a", Target: string(id) + ":80", Slots: 4})
			}
			w.startGateway()
			const calls = 200
			for range calls {
				w.post("/services/desk/a", "{}").expect(t, 200)
			}
			limit := w.gauge("toucan.gateway.endpoint.limit")
			if slowdown > 0 {
				assert.Equal(t, limit, int64(4))
				assert.Assert(t, slow.Load() < calls/4, "%d of %d calls went to the slow endpoint", slow.Load(), calls)
			} else {
				assert.Equal(t, limit, int64(-1))
				assert.Assert(t, slow.Load() > calls/4, "%d of %d calls went to the slow endpoint", slow.Load(), calls)
			}
		})
	}
}
