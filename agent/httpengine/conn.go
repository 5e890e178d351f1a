package httpengine

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"toucantiller.dev/endpoint"
)

// States of a connection for the request that uses it.
const (
	// connIdle: no byte of the request has left this process.
	connIdle int32 = iota
	connWriting
	// connWritten: bytes of the request may have left this process.
	connWritten
	// connFrozen: no byte of the request has left this process, and none will.
	connFrozen
)

// trackedConn records whether bytes of a request may have left this process. HTTP/1.1
// carries one request at a time, so one state per connection is enough.
type trackedConn struct {
	net.Conn
	state atomic.Int32
	// head reads the framing of the answer to the request.
	head headScanner

	// writing is held during a write.
	writing sync.Mutex
	// writeErr is the error of the first write that failed. It is guarded by writing.
	writeErr error
}

// Read reads from the connection. Its end is reported only if the peer has ended it: a reset that
// was reported to a write looks like an end to the reads behind it.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.head.scan(p[:n])
	if errors.Is(err, io.EOF) {
		if lost := c.lostConnection(); lost != nil {
			return n, lost
		}
	}
	return n, err
}

// lostConnection returns the error with which a write has found the connection lost, nil if none
// has. It ends a write that is under way: the peer has ended its side, so the answer is complete or
// will never be.
func (c *trackedConn) lostConnection() error {
	if !c.writing.TryLock() {
		_ = c.SetWriteDeadline(time.Unix(1, 0)) // fails only if the connection is closed
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	if errors.Is(c.writeErr, os.ErrDeadlineExceeded) || errors.Is(c.writeErr, syscall.EPIPE) {
		// EPIPE: the peer had ended its side before it reset the connection.
		return nil
	}
	return c.writeErr
}

// Write writes p unless the connection is frozen. A write that fails before any byte was
// written leaves the connection idle.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

func (c *trackedConn) write(p []byte) (int, error) {
	if c.state.CompareAndSwap(connIdle, connWriting) {
		n, err := c.Conn.Write(p)
		if n == 0 && err != nil {
			c.state.Store(connIdle)
			return n, err
		}
		c.state.Store(connWritten)
		return n, err
	}
	if c.state.Load() == connFrozen {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// freeze prevents any byte of the request from being written. It returns false when some may
// have been written already.
func (c *trackedConn) freeze() bool { return c.state.CompareAndSwap(connIdle, connFrozen) }

// requestTrace records the connection that net/http uses for one request.
type requestTrace struct {
	conn   *trackedConn
	reused bool
	// interimResponses counts the 1xx responses; only the goroutine that reads the connection
	// uses it.
	interimResponses int
}

var errTooManyInterim = errors.New("too many interim responses")

// got1xxResponse is called by net/http for each 1xx response.
func (s *requestTrace) got1xxResponse(_ int, header textproto.MIMEHeader) error {
	if s.interimResponses++; s.interimResponses > maxInterimResponses {
		return errTooManyInterim
	}
	return endpoint.CheckFields(http.Header(header))
}

// gotConn is called by net/http when it has chosen a connection.
func (s *requestTrace) gotConn(info httptrace.GotConnInfo) {
	s.reused = info.Reused
	s.conn, _ = info.Conn.(*trackedConn)
	if s.conn != nil {
		s.conn.state.Store(connIdle)
		s.conn.head.reset()
	}
}

// framing returns what the answer's head said of the end of its body.
func (s *requestTrace) framing() framing {
	if s.conn == nil {
		return framing{}
	}
	return s.conn.head.result()
}

// Close closes the connection.
func (s *requestTrace) Close() error {
	if s.conn == nil {
		return nil
	}
	return s.conn.Close()
}

// ensureUnsent reports whether no byte of the request has left this process; if so, none will.
func (s *requestTrace) ensureUnsent(gotConn bool) bool {
	if !gotConn {
		return true
	}
	return s.conn != nil && s.conn.freeze()
}
