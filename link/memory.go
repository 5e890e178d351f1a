package link

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Fault is a fault injected into the connections to an address.
type Fault int

// Faults of the in-memory network.
const (
	// FaultNone delivers all bytes.
	FaultNone Fault = iota
	// FaultRefuse refuses new connections.
	FaultRefuse
	// FaultSilence makes the connections that are open when it is set deliver nothing,
	// permanently, while new connections work.
	FaultSilence
	// FaultPartition makes open connections deliver nothing and dials time out, until
	// another fault is set.
	FaultPartition
)

// ErrRefused is the cause of a failed dial when there is no listener at the address or
// FaultRefuse is set.
var ErrRefused = errors.New("connection refused")

// Memory is an in-memory network. It works in a testing/synctest bubble and can
// inject faults per destination address.
type Memory struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
	faults    map[string]Fault
	conns     map[string][]*memoryConn
}

// NewMemory returns an empty network.
func NewMemory() *Memory {
	return &Memory{
		listeners: make(map[string]*memoryListener),
		faults:    make(map[string]Fault),
		conns:     make(map[string][]*memoryConn),
	}
}

// Listen opens a listener at an address, which may be any string not yet in use.
func (m *Memory) Listen(addr string) (net.Listener, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.listeners[addr]; ok {
		return nil, &net.OpError{Op: "listen", Net: "memory", Err: errors.New("address in use")}
	}
	l := &memoryListener{network: m, addr: addr, accept: make(chan net.Conn, 64), done: make(chan struct{})}
	m.listeners[addr] = l
	return l, nil
}

// Dial connects to the listener at addr.
func (m *Memory) Dial(ctx context.Context, addr string) (net.Conn, error) {
	m.mu.Lock()
	l, fault := m.listeners[addr], m.faults[addr]
	m.mu.Unlock()
	if fault == FaultPartition {
		return nil, waitForTimeout(ctx)
	}
	if l == nil || fault == FaultRefuse {
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: ErrRefused}
	}
	near, far := newMemoryPair(addr)
	m.mu.Lock()
	m.conns[addr] = append(m.conns[addr], near, far)
	m.mu.Unlock()
	select {
	case l.accept <- far:
		return near, nil
	case <-l.done:
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: ErrRefused}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// SetFault sets the fault for connections to addr. FaultSilence applies to the connections that
// are open now and leaves FaultNone set for later ones.
func (m *Memory) SetFault(addr string, f Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults[addr] = f
	for _, c := range m.conns[addr] {
		c.setSilent(f == FaultSilence || f == FaultPartition, f == FaultSilence)
	}
	if f == FaultSilence {
		m.faults[addr] = FaultNone
		m.conns[addr] = nil
	}
}

// Reset closes both ends of the open connections to addr.
func (m *Memory) Reset(addr string) {
	m.mu.Lock()
	conns := m.conns[addr]
	m.conns[addr] = nil
	m.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// waitForTimeout blocks like a dial that gets no answer and returns its timeout error.
func waitForTimeout(ctx context.Context) error {
	t := time.NewTimer(DialTimeout)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return &net.OpError{Op: "dial", Net: "memory", Err: errors.New("i/o timeout")}
	}
}

type memoryListener struct {
	network *Memory
	addr    string
	accept  chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.network.mu.Lock()
		delete(l.network.listeners, l.addr)
		l.network.mu.Unlock()
	})
	return nil
}

func (l *memoryListener) Addr() net.Addr { return memoryAddr(l.addr) }

type memoryAddr string

func (memoryAddr) Network() string  { return "memory" }
func (a memoryAddr) String() string { return string(a) }

// memoryConn is one end of a buffered in-memory connection. While it is silent, writes succeed
// and their bytes are discarded. A permanent silence is never lifted.
type memoryConn struct {
	addr      string
	read      *memoryBuffer
	write     *memoryBuffer
	mu        sync.Mutex
	silent    bool
	permanent bool
}

// newMemoryPair returns the dialing and the accepting end of a connection.
func newMemoryPair(addr string) (near, far *memoryConn) {
	a, b := newMemoryBuffer(), newMemoryBuffer()
	return &memoryConn{addr: addr, read: a, write: b}, &memoryConn{addr: addr, read: b, write: a}
}

func (c *memoryConn) setSilent(silent, permanent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.permanent = c.permanent || permanent
	c.silent = silent || c.permanent
}

func (c *memoryConn) Read(p []byte) (int, error) { return c.read.Read(p) }

func (c *memoryConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	silent := c.silent
	c.mu.Unlock()
	if silent {
		return len(p), nil
	}
	return c.write.Write(p)
}

func (c *memoryConn) Close() error {
	c.mu.Lock()
	silent := c.silent
	c.mu.Unlock()
	c.read.close(net.ErrClosed)
	if !silent {
		c.write.close(io.EOF)
	}
	return nil
}

func (c *memoryConn) LocalAddr() net.Addr  { return memoryAddr(c.addr) }
func (c *memoryConn) RemoteAddr() net.Addr { return memoryAddr(c.addr) }

func (c *memoryConn) SetDeadline(t time.Time) error {
	c.read.setDeadline(t)
	return nil
}

func (c *memoryConn) SetReadDeadline(t time.Time) error {
	c.read.setDeadline(t)
	return nil
}

func (c *memoryConn) SetWriteDeadline(time.Time) error { return nil }
