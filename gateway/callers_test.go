package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
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
