package gateway_test

import (
	"bytes"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"toucantiller.dev/dispatch"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/link"
)

// Guards against a report without end of an agent's load, which the gateway keeps or on which its
// stack grows until its memory is used up. A flood of reports that are in order is followed.
func TestReportWithoutEndIsRefused(t *testing.T) {
	const most = 8 << 20
	report, err := msgpack.Marshal(&dispatch.Heartbeat{Incarnation: 5})
	assert.NilError(t, err)
	unknown := []byte{0x81, 0xa1, 'x'} // a map with one field, whose value follows
	for name, c := range map[string]struct {
		first, repeated []byte
		followed        bool
	}{
		"bytes":       {append(slices.Clone(unknown), 0xc6, 0xff, 0xff, 0xff, 0xff), make([]byte, 1<<10), false},
		"nested":      {unknown, bytes.Repeat([]byte{0x91}, 1<<10), false},
		"many in row": {report, bytes.Repeat(report, 50), true},
	} {
		runInBubble(t, func(t *testing.T, w *testCluster) {
			var written, opened atomic.Int64
			handler := func(rw http.ResponseWriter, r *http.Request) {
				if r.URL.Path != dispatch.PathWatch || opened.Add(1) > 1 {
					http.NotFound(rw, r)
					return
				}
				n, err := rw.Write(c.first)
				for written.Add(int64(n)); err == nil && written.Load() < most; written.Add(int64(n)) {
					n, err = rw.Write(c.repeated)
				}
				<-r.Context().Done()
			}
			l, err := w.network.Listen("agent-e1")
			assert.NilError(t, err)
			server := link.NewHTTPServer(http.HandlerFunc(handler))
			go func() { _ = server.Serve(l) }()
			t.Cleanup(func() { _ = server.Close() })
			w.register(endpoint.Endpoint{ID: "e1", Incarnation: 1, Service: "desk", Version: "1", Domain: "a", Target: "plain:80", Address: "agent-e1"})
			w.startGateway()
			w.post("/services/desk/a", "{}", "X-Request-Timeout-Ms", "100")
			time.Sleep(10 * time.Second)
			assert.Equal(t, written.Load() >= most, c.followed, "%s: %d bytes", name, written.Load())
		})
	}
}
