package gateway_test

import (
	"fmt"
	"io"
	"net"
	"sync"

	"gotest.tools/v3/assert"
)

// pipeListener accepts one connection.
type pipeListener struct {
	conn chan net.Conn
	done chan struct{}
	once sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conn:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

// openStalled posts to the gateway over an unbuffered connection and does not read the answer.
// The returned function closes the connection.
func (w *testCluster) openStalled(path string) func() {
	near, far := net.Pipe()
	l := &pipeListener{conn: make(chan net.Conn, 1), done: make(chan struct{})}
	l.conn <- far
	go func() { _ = w.gateway.Serve(l) }()
	_, err := fmt.Fprintf(near, "POST %s HTTP/1.1\r\nHost: gateway\r\nAuthorization: Bearer key\r\nContent-Length: 0\r\n\r\n", path)
	assert.NilError(w.t, err)
	_, err = io.ReadFull(near, make([]byte, 1))
	assert.NilError(w.t, err)
	return func() { _ = near.Close() }
}
