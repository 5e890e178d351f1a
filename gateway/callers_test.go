package gateway_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// keptConnection is a caller's connection for several requests.
type keptConnection struct {
	net.Conn
	reader *bufio.Reader
}

func (w *testCluster) connect() *keptConnection {
	c, err := dialer(w.network)(context.Background(), "tcp", "gateway:80")
	assert.NilError(w.t, err)
	w.t.Cleanup(func() { _ = c.Close() })
	return &keptConnection{Conn: c, reader: bufio.NewReader(c)}
}

// call makes one request and returns its status, 0 if the connection is closed.
func (c *keptConnection) call(path, body string) (status int, closes bool) {
	_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: gateway\r\nAuthorization: Bearer key\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
	if err != nil {
		return 0, true
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, true
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Close
}

// closedAfter returns how long it takes until the gateway closes the connection.
func (c *keptConnection) closedAfter() time.Duration {
	began := time.Now()
	_, _ = c.reader.ReadByte()
	return time.Since(began)
}

// isOpen reports whether the gateway has not closed the connection.
func (c *keptConnection) isOpen() bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.reader.ReadByte()
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// Guards against callers' connections that stay open for longer than the configuration allows,
// and against one that is closed earlier, when its caller may still reuse it.
func TestIdleCallersAreDisconnectedAtTheConfiguredTimeout(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		const timeout = 15 * time.Second
		config := testConfig()
		config.CallerIdleTimeout = timeout
		w.addAgent("e1", "desk", slowEngine(10*time.Millisecond))
		w.startGateway()
		early := w.connect()
		status, _ := early.call("/services/desk/a", "{}")
		assert.Equal(t, status, http.StatusOK)
		w.view.config.Store(config)
		for range 3 {
			time.Sleep(timeout - time.Millisecond)
			status, _ = early.call("/services/desk/a", "{}")
			assert.Equal(t, status, http.StatusOK)
		}
		assert.Equal(t, early.closedAfter(), timeout)
	})
}

// Guards against a gateway that keeps idle connections of callers while its memory is short, and
// against one that closes those first that are reused first.
func TestShortMemoryClosesTheLongestIdleCallers(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		w.memoryBudget = 400 << 10
		w.addAgent("e1", "desk", slowEngine(10*time.Millisecond))
		w.startGateway()
		var callers []*keptConnection
		for range 16 {
			c := w.connect()
			status, _ := c.call("/services/desk/a", "{}")
			assert.Equal(t, status, http.StatusOK)
			callers = append(callers, c)
			time.Sleep(50 * time.Millisecond)
		}
		for i, c := range callers {
			// The budget keeps 12 idle connections of 20 KB.
			assert.Equal(t, c.isOpen(), i >= 4, "connection %d", i)
		}
	})
}

// Guards against requests that a gateway accepts beyond its memory, and against a refusal that
// leaves its connection open while the caller comes back on another one.
func TestShortMemoryRefusesNewRequests(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		w.memoryBudget = 400 << 10
		engine := slowEngine(2 * time.Second)
		for i := range 20 {
			w.addAgent(fmt.Sprint(i), "desk", engine)
		}
		w.startGateway()
		type result struct {
			status int
			closes bool
		}
		const calls = 40
		results := make(chan result, calls)
		for range calls {
			c := w.connect()
			go func() {
				status, closes := c.call("/services/desk/a", "{}")
				results <- result{status, closes}
			}()
			time.Sleep(time.Millisecond)
		}
		answered := 0
		for range calls {
			r := <-results
			if r.status == http.StatusOK {
				answered++
				continue
			}
			assert.Equal(t, r.status, http.StatusServiceUnavailable)
			assert.Assert(t, r.closes, "the refusal left its connection open")
		}
		// Each answered call holds 36 KB of 0.8 times 400 KB.
		assert.Assert(t, answered >= 8 && answered <= 10, "%d answered", answered)
		assert.Equal(t, engine.runs.Load(), int64(answered))
		w.post("/services/desk/a", "{}").expect(t, http.StatusOK)
	})
}

// Guards against large bodies that together exceed the memory, and against one that is refused
// although it fits after those before it.
func TestLargeBodiesWaitForMemory(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		w.memoryBudget = 12 << 20
		config := testConfig()
		config.Services[1].MaxBody = 4 << 20
		w.view.config.Store(config)
		var running, most atomic.Int64
		engine := &countingEngine{serve: func(http.ResponseWriter, *http.Request, int64) {
			most.Store(max(most.Load(), running.Add(1)))
			time.Sleep(100 * time.Millisecond)
			running.Add(-1)
		}}
		for i := range 8 {
			w.addAgent(fmt.Sprint(i), "desk", engine)
		}
		w.startGateway()
		body := strings.Repeat("x", 2<<20)
		results := make(chan int, 8)
		for range cap(results) {
			c := w.connect()
			go func() {
				status, _ := c.call("/services/desk/a", body)
				results <- status
			}()
		}
		for range cap(results) {
			assert.Equal(t, <-results, http.StatusOK)
		}
		assert.Equal(t, most.Load(), int64(2))
	})
}

// Guards against a gateway that nears its memory without any sign of it before it refuses.
func TestHeldMemoryIsVisible(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		w.memoryBudget = 1 << 20
		w.addAgent("e1", "desk", slowEngine(10*time.Millisecond))
		w.startGateway()
		assert.Equal(t, w.gauge("toucan.gateway.memory.budget"), int64(1<<20))
		before := w.gauge("toucan.gateway.memory.held")
		status, _ := w.connect().call("/services/desk/a", "{}")
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, w.gauge("toucan.gateway.memory.held")-before, int64(20<<10), "an idle connection")
	})
}
