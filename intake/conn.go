package intake

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// headCopies is how often the bytes of a head are held: in buffers and as parsed.
	headCopies = 4
	// fieldCost is held for each field of a head beside its bytes.
	fieldCost = 256
	// headRoom is what a head may have beyond its limit: the request line, and bytes of the body
	// that are read together with its end.
	headRoom = 8 << 10
	// answerChunk is the number of bytes that one write deadline covers.
	answerChunk = 32 << 10
)

var (
	errClosed       = errors.New("the connection was closed to make room")
	errHeadTooLarge = errors.New("the head of the request is too large")
)

// headTooLarge answers a head beyond the limit.
const headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// http2Preface begins a connection with HTTP/2, whose requests have no bytes of their own.
var http2Preface = []byte("PRI * HTTP/2.0")

// Conn is an accepted connection whose progress and bytes are accounted for.
type Conn struct {
	net.Conn
	listener *Listener

	phase atomic.Int32
	// since and progress are when the phase began and when bytes last passed, as a time.Duration
	// since the account's epoch.
	since, progress atomic.Int64
	// passed is the number of bytes that have passed in the phase.
	passed atomic.Int64
	// held is what the account holds for the connection.
	held atomic.Int64
	// waiting is set while bytes wait for room in the account.
	waiting atomic.Bool
	closed  atomic.Bool
	// writeEnd is the deadline that the handler set for its answer; nil if it set none.
	writeEnd atomic.Pointer[time.Time]
	// multiplexed is set for HTTP/2, whose streams share the connection.
	multiplexed atomic.Bool
	// greeted is set after the first read, by the reader alone.
	greeted bool
}

func (c *Conn) account() *Account { return c.listener.account }

// enter begins a phase.
func (c *Conn) enter(p Phase) {
	now := c.account().now()
	c.passed.Store(0)
	c.since.Store(now)
	c.progress.Store(now)
	c.phase.Store(int32(p))
}

// advance counts bytes that have passed.
func (c *Conn) advance(n int) {
	c.passed.Add(int64(n))
	c.progress.Store(c.account().now())
}

func (c *Conn) snapshot(now int64) Snapshot {
	return Snapshot{
		Phase: Phase(c.phase.Load()), Bytes: c.passed.Load(), Waiting: c.waiting.Load(),
		Age: time.Duration(now - c.since.Load()), Quiet: time.Duration(now - c.progress.Load()),
	}
}

// Read reads from the connection. Bytes of a head are held before they are passed on.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if !c.listener.opt.Heads {
		c.advance(n)
		return n, err
	}
	if !c.greeted {
		c.greeted = true
		c.multiplexed.Store(bytes.HasPrefix(p[:n], http2Preface))
		if c.multiplexed.Load() {
			c.enter(PhaseServing)
		}
	}
	if !c.multiplexed.Load() {
		switch Phase(c.phase.Load()) {
		case PhaseOpened, PhaseIdle:
			c.enter(PhaseHead)
		}
	}
	c.advance(n)
	if Phase(c.phase.Load()) == PhaseHead {
		if err := c.holdHead(p[:n]); err != nil {
			return 0, err
		}
	}
	return n, err
}

// holdHead holds bytes of a head, and ends the connection if the head is too large.
func (c *Conn) holdHead(p []byte) error {
	if c.passed.Load() > c.listener.opt.maxHead()+headRoom {
		c.account().closing(c.listener, reasonHeadSize)
		_ = c.Conn.SetWriteDeadline(time.Now().Add(stallTime))
		_, _ = c.Conn.Write([]byte(headTooLarge)) // the client may have left
		return &net.OpError{Op: "read", Net: "tcp", Err: errHeadTooLarge}
	}
	cost := headCopies*len(p) + fieldCost*bytes.Count(p, []byte{'\n'})
	return c.hold(int64(cost))
}

// hold waits until the account has room for n more bytes. It fails once the connection is closed.
func (c *Conn) hold(n int64) error {
	if c.account().hold(c, n) {
		return nil
	}
	return &net.OpError{Op: "read", Net: "tcp", Err: errClosed}
}

func (c *Conn) release() { c.account().release(c.held.Swap(0)) }

// Write writes to the connection. It fails if the client takes no bytes for the time that the
// listener allows.
func (c *Conn) Write(p []byte) (int, error) {
	timeout := c.listener.opt.AnswerTimeout
	if timeout == 0 {
		return c.Conn.Write(p)
	}
	written := 0
	for {
		n, err := c.writeChunk(p[written:min(written+answerChunk, len(p))], timeout)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

func (c *Conn) writeChunk(p []byte, timeout time.Duration) (int, error) {
	if c.multiplexed.Load() {
		return c.Conn.Write(p) // HTTP/2 has a bound of its own
	}
	deadline := time.Now().Add(timeout)
	if end := c.writeEnd.Load(); end != nil && !end.IsZero() && end.Before(deadline) {
		deadline = *end
	}
	if err := c.Conn.SetWriteDeadline(deadline); err != nil {
		return 0, err
	}
	before := c.phase.Load()
	c.enter(PhaseAnswer)
	n, err := c.Conn.Write(p)
	c.phase.CompareAndSwap(int32(PhaseAnswer), before)
	var late net.Error
	if errors.As(err, &late) && late.Timeout() && !c.closed.Load() {
		c.account().closing(c.listener, reasonAnswer)
	}
	return n, err
}

// SetWriteDeadline bounds the writes of a request, also where the listener would allow more time.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.writeEnd.Store(&t)
	return c.Conn.SetWriteDeadline(t)
}

// CloseWrite ends the answer, so that a client that still sends can read it.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// SetLinger sets what a close does with bytes that are not sent, as net.TCPConn.SetLinger does.
func (c *Conn) SetLinger(seconds int) error {
	if l, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return l.SetLinger(seconds)
	}
	return nil
}

// Close closes the connection and gives back its place and what is held for it.
func (c *Conn) Close() error {
	if !c.closed.Swap(true) {
		c.listener.remove(c)
	}
	c.release()
	return c.Conn.Close()
}

// BeginMessage holds n bytes for a message that is about to arrive, on a connection whose messages
// follow their length.
func (c *Conn) BeginMessage(n int64) error {
	c.enter(PhaseHead)
	return c.hold(n)
}

// EndMessage gives back what is held for the message.
func (c *Conn) EndMessage() {
	c.release()
	c.enter(PhaseIdle)
}

// Observe is for http.Server.ConnState.
func Observe(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok || c.multiplexed.Load() {
		return
	}
	switch state {
	case http.StateActive:
		c.enter(PhaseServing)
	case http.StateIdle:
		c.release()
		c.writeEnd.Store(nil)
		c.enter(PhaseIdle)
	case http.StateClosed, http.StateHijacked:
		c.release()
	}
}

type connKey struct{}

// ConnContext is for http.Server.ConnContext.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*Conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// Relieve closes one connection that makes no progress, of the listener at which the request of the
// context arrived. A handler calls it while memory is short.
func Relieve(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok {
		c.listener.Relieve()
	}
}
