package systemtest

import (
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// forwarder carries TCP connections to a process. silence ends delivery on the connections
// open at that moment, in both directions and without closing them: bytes that are sent on
// them are not read, as when a path loses every packet. Later connections work.
type forwarder struct {
	address string
	target  string

	mu       sync.RWMutex
	silenced chan struct{}
	open     map[net.Conn]struct{}
}

func startForwarder(t testing.TB, target string) *forwarder {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f := &forwarder{address: l.Addr().String(), target: target, silenced: make(chan struct{}), open: make(map[net.Conn]struct{})}
	t.Cleanup(func() {
		_ = l.Close()
		f.mu.Lock()
		defer f.mu.Unlock()
		for c := range f.open {
			_ = c.Close()
		}
	})
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			f.connect(c)
		}
	}()
	return f
}

// connect opens the second half of a connection and carries it.
func (f *forwarder) connect(in net.Conn) {
	out, err := net.Dial("tcp", f.target)
	if err != nil {
		_ = in.Close()
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open[in], f.open[out] = struct{}{}, struct{}{}
	go f.carry(in, out, f.silenced)
	go f.carry(out, in, f.silenced)
}

// carry copies one direction until it ends or falls silent. A silent connection stays open
// until the test ends, whatever its ends do.
func (f *forwarder) carry(from, to net.Conn, silenced <-chan struct{}) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !f.deliver(to, buffer[:n], silenced) {
			return
		}
		if err != nil {
			f.close(from, to)
			return
		}
	}
}

func (f *forwarder) close(ends ...net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range ends {
		delete(f.open, c)
		_ = c.Close()
	}
}

// deliver writes unless the connection is silent. It is not under way when silence returns.
func (f *forwarder) deliver(to net.Conn, b []byte, silenced <-chan struct{}) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	select {
	case <-silenced:
		return false
	default:
		_, _ = to.Write(b) // the reading half meets the error
		return true
	}
}

// silence ends delivery on the open connections, of which there must be one.
func (f *forwarder) silence(t testing.TB) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.Assert(t, len(f.open) > 0, "no connection is open")
	close(f.silenced)
	f.silenced = make(chan struct{})
}
