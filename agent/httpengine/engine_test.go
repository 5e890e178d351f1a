package httpengine_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/agent/httpengine"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/link"
)

// scriptedEngine answers the first request of each connection and passes the second one to
// handleSecond.
type scriptedEngine struct {
	requests chan string
	// handleSecond reads and handles the second request of a connection.
	handleSecond func(c net.Conn, r *bufio.Reader)
}

func (s *scriptedEngine) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.handleConn(c)
	}
}

func (s *scriptedEngine) handleConn(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	if !s.answerRequest(c, r) {
		return
	}
	s.handleSecond(c, r)
}

func (s *scriptedEngine) answerRequest(c net.Conn, r *bufio.Reader) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	body, _ := io.ReadAll(req.Body)
	s.requests <- req.Method + " " + string(body)
	reply := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
	if req.Method != http.MethodHead {
		reply += "ok"
	}
	_, err = io.WriteString(c, reply)
	return err == nil
}

func submit(e *httpengine.Engine, method, body string) error {
	r := &endpoint.Request{ID: "r/1/1", Method: method, Path: "/x", Body: []byte(body), Header: http.Header{"Idempotency-Key": {"k"}}}
	answer, err := e.Submit(context.Background(), r)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	_, err = io.Copy(io.Discard, answer.Body)
	return err
}

func startEngine(t *testing.T, s *scriptedEngine) *httpengine.Engine {
	network := link.NewMemory()
	l, err := network.Listen("engine:80")
	assert.NilError(t, err)
	go s.serve(l)
	t.Cleanup(func() { _ = l.Close() })
	s.requests = make(chan string, 100)
	return httpengine.New(network, "http://engine")
}

// Guards against net/http resending a request that the engine has read: when a reused
// connection breaks it retries GET and HEAD, and any request with an Idempotency-Key.
func TestEngineRequestIsNeverRepeated(t *testing.T) {
	for _, call := range [][2]string{{"GET", ""}, {"HEAD", ""}, {"DELETE", ""}, {"POST", ""}, {"POST", "body"}, {"OPTIONS", ""}} {
		synctest.Test(t, func(t *testing.T) {
			s := &scriptedEngine{}
			s.handleSecond = func(_ net.Conn, r *bufio.Reader) {
				req, err := http.ReadRequest(r)
				if err == nil {
					s.requests <- "lost " + req.Method
				}
			}
			e := startEngine(t, s)
			assert.NilError(t, submit(e, call[0], call[1]))
			err := submit(e, call[0], call[1])
			assert.Assert(t, err != nil && !errors.Is(err, endpoint.ErrNotSent), "%s: %v", call[0], err)
			assert.Equal(t, len(s.requests), 2, call[0])
		})
	}
}

// brokenNetwork keeps its connections, so that a test can make their writes fail.
type brokenNetwork struct {
	link.Network
	conns []*brokenConn
}

type brokenConn struct {
	net.Conn
	broken atomic.Bool
}

func (n *brokenNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	c, err := n.Network.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	b := &brokenConn{Conn: c}
	n.conns = append(n.conns, b)
	return b, nil
}

func (c *brokenConn) Write(p []byte) (int, error) {
	if c.broken.Load() {
		return 0, syscall.EPIPE
	}
	return c.Conn.Write(p)
}

// Guards against reporting a request as lost when the engine closed the idle connection
// before anything was written: the request is sent over another connection.
func TestStaleConnectionIsNotALoss(t *testing.T) {
	for _, call := range [][2]string{{"GET", ""}, {"POST", ""}, {"POST", "body"}} {
		synctest.Test(t, func(t *testing.T) {
			s := &scriptedEngine{}
			s.handleSecond = func(c net.Conn, r *bufio.Reader) { s.answerRequest(c, r) }
			memory := link.NewMemory()
			l, err := memory.Listen("engine:80")
			assert.NilError(t, err)
			go s.serve(l)
			s.requests = make(chan string, 100)
			network := &brokenNetwork{Network: memory}
			e := httpengine.New(network, "http://engine")
			for range 10 {
				assert.NilError(t, submit(e, call[0], call[1]))
				synctest.Wait()
				for _, c := range network.conns {
					c.broken.Store(true)
				}
			}
			assert.Equal(t, len(s.requests), 10)
			memory.Reset("engine:80")
			assert.NilError(t, l.Close())
		})
	}
}

// Guards against a refused connection being reported as a request that may have run.
func TestRefusedEngineIsNotSent(t *testing.T) {
	e := httpengine.New(link.NewMemory(), "http://engine")
	assert.ErrorIs(t, submit(e, "POST", "x"), endpoint.ErrNotSent)
}

// Guards against a timeout while connecting being reported as a request that may have run,
// and a timeout after sending being reported as not sent.
func TestDeadlineWhileConnectingAndAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := link.NewMemory()
		l, err := network.Listen("engine:80")
		assert.NilError(t, err)
		defer func() { assert.NilError(t, l.Close()) }()
		e := httpengine.New(network, "http://engine")
		try := func() error {
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer cancel()
			answer, err := e.Submit(ctx, &endpoint.Request{ID: "r", Method: "POST", Path: "/", Body: []byte("x")})
			if err == nil {
				_ = answer.Body.Close()
			}
			return err
		}
		network.SetFault("engine:80", link.FaultPartition)
		assert.ErrorIs(t, try(), endpoint.ErrNotSent)
		time.Sleep(2 * time.Second)
		network.SetFault("engine:80", link.FaultNone)
		err = try()
		assert.Assert(t, err != nil && !errors.Is(err, endpoint.ErrNotSent), "%v", err)
	})
}

// countingNetwork counts the bytes that are read from the connections of a network.
type countingNetwork struct {
	link.Network
	bytes atomic.Int64
}

func (n *countingNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	c, err := n.Network.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return &countedConn{c, &n.bytes}, nil
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Guards against unbounded memory use when an engine sends endless bytes that never complete
// the headers of an answer: the headers are bounded, the connection is closed, and the request
// may have run.
func TestHeadWithoutEndIsBounded(t *testing.T) {
	for name, head := range map[string]struct{ first, repeated string }{
		"one line":      {"", "x"},
		"status line":   {"HTTP/1.1 200 ", "OK "},
		"header lines":  {"HTTP/1.1 200 OK\r\n", "X-Filler: abcdefgh\r\n"},
		"interim heads": {"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
	} {
		synctest.Test(t, func(t *testing.T) {
			network := &countingNetwork{Network: link.NewMemory()}
			l, err := network.Listen("engine:1")
			assert.NilError(t, err)
			closed := make(chan struct{})
			go func() {
				defer close(closed)
				c, err := l.Accept()
				assert.NilError(t, err)
				_, err = http.ReadRequest(bufio.NewReader(c))
				assert.NilError(t, err)
				_, err = io.WriteString(c, head.first)
				for err == nil {
					_, err = io.WriteString(c, strings.Repeat(head.repeated, 100))
					time.Sleep(time.Millisecond)
				}
			}()
			e := httpengine.New(network, "http://engine:1")
			_, err = e.Submit(t.Context(), &endpoint.Request{ID: "r", Method: http.MethodPost, Path: "/", Body: []byte("body")})
			assert.Assert(t, err != nil && !errors.Is(err, endpoint.ErrNotSent), "%s: %v", name, err)
			<-closed // the engine writes until the caller closes
			const maxRead = 128 << 10
			assert.Assert(t, network.bytes.Load() < maxRead, "%s: %d bytes were read", name, network.bytes.Load())
			assert.NilError(t, l.Close())
		})
	}
}
