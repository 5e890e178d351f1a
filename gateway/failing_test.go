package gateway_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an endpoint that answers every request quickly with an error and so attracts
// most of the traffic, and against one that gets no work after it has recovered.
func TestFailingEndpointIsPassedOver(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		var broken atomic.Bool
		var failed, after atomic.Int64
		broken.Store(true)
		w.addAgent("e1", "desk", http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
			if broken.Load() {
				failed.Add(1)
				rw.WriteHeader(http.StatusInternalServerError)
				return
			}
			after.Add(1)
		}))
		w.addAgent("e2", "desk", &countingEngine{})
		w.startGateway()
		for range 200 {
			w.post(booking, "{}")
			time.Sleep(100 * time.Millisecond)
		}
		assert.Assert(t, failed.Load() > 0)
		assert.Assert(t, failed.Load() <= 10, "%d of 200 calls went to the failing endpoint", failed.Load())
		broken.Store(false)
		for range 200 {
			w.post(booking, "{}").expect(t, 200)
			time.Sleep(100 * time.Millisecond)
		}
		assert.Assert(t, after.Load() >= 20, "%d of 200 calls went to the recovered endpoint", after.Load())
	})
}
