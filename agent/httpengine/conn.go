package httpengine

import (
	"errors"
	"net"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
)

// States of a connection with regard to the request that uses it.
const (
	// connIdle: no byte of the request has left this process.
	connIdle int32 = iota
	connWriting
	// connWritten: bytes of the request may have left this process.
	connWritten
	// connFrozen: no byte of the request left, and none will.
	connFrozen
)

// trackedConn tells whether bytes of a request may have left this process. HTTP/1.1
// carries one request at a time, so one state a connection is enough.
type trackedConn struct {
	net.Conn
	state atomic.Int32
}

// Write passes bytes on unless the connection is frozen. A write of which the
// operating system took no byte leaves the connection idle.
func (c *trackedConn) Write(p []byte) (int, error) {
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

// freeze makes sure that no byte of the request leaves any more. It returns false when
// some may have left.
func (c *trackedConn) freeze() bool { return c.state.CompareAndSwap(connIdle, connFrozen) }

// submission follows the connections that net/http uses for one request.
type submission struct {
	conn   *trackedConn
	reused bool
	// interim counts the interim responses; only the goroutine that reads the connection uses it.
	interim int
}

var errInterim = errors.New("too many interim responses")

// gotInterim is called by net/http for each interim response.
func (s *submission) gotInterim(int, textproto.MIMEHeader) error {
	if s.interim++; s.interim > maxInterim {
		return errInterim
	}
	return nil
}

// gotConn is called by net/http when it has chosen a connection.
func (s *submission) gotConn(info httptrace.GotConnInfo) {
	s.reused = info.Reused
	s.conn, _ = info.Conn.(*trackedConn)
	if s.conn != nil {
		s.conn.state.Store(connIdle)
	}
}

// unsent proves, when it returns true, that the request never left this process.
func (s *submission) unsent(gotConn bool) bool {
	if !gotConn {
		return true
	}
	return s.conn != nil && s.conn.freeze()
}
