package gateway_test

import (
	"fmt"
	"math"
	"net/http"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"toucantiller.dev/endpoint"
)

// Guards against odd endpoints, stored before they were refused or from a peer, that end the gateway
// or take the requests of the others: they are left out with one log line.
func TestOddEndpointsAreLeftOut(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		engine := &countingEngine{}
		w.serve("plain:80", engine)
		odd := []string{"odd:65536", "odd:0", "odd:-1", "odd:http", "odd:80/x", "odd", "[odd:80", "odd:80\r\nX: y", "odd:1e9", "odd:", "a/b:80", "odd x:80"}
		for i, target := range odd {
			w.register(endpoint.Endpoint{ID: endpoint.ID(fmt.Sprint("odd", i)), Incarnation: 1, Service: "desk", Version: "1", Domain: "a", Target: target, Slots: math.MaxInt64})
			w.register(endpoint.Endpoint{ID: endpoint.ID(fmt.Sprint("odd agent", i)), Incarnation: 1, Service: "desk", Version: "1", Domain: "a", Target: "x:80", Address: target})
		}
		w.register(endpoint.Endpoint{ID: "e1", Incarnation: 1, Service: "desk", Version: "1", Domain: "a", Target: "plain:80", Slots: 4})
		logged := 0
		w.logger = log.LoggerFunc(func(fields ...any) error {
			if fields[1] == "endpoints left out" {
				logged++
			}
			return nil
		})
		w.startGateway()
		for range 20 {
			w.post("/services/desk/a", "{}").expect(t, http.StatusOK)
		}
		assert.Equal(t, engine.runs.Load(), int64(20))
		time.Sleep(10 * time.Second) // the watches of the odd agents go on failing
		w.post("/services/desk/a", "{}").expect(t, http.StatusOK)
		assert.Equal(t, logged, 1)
	})
}
