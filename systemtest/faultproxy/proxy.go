// Package faultproxy carries TCP connections between processes and harms them: it silences,
// resets, delays or cuts what passes.
package faultproxy

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Proxy carries connections from its address to a target.
type Proxy struct {
	target   string
	listener net.Listener

	mu       sync.RWMutex
	silenced chan struct{}
	open     map[net.Conn]struct{}
	delay    time.Duration
	// cut holds back one or both directions of all connections, later ones too.
	cutIn, cutOut bool
}

// bufferSize is the size of one read, in bytes.
const bufferSize = 32 << 10

// Start listens at an address, "ip:port".
func Start(address, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "proxy of %s", target)
	}
	p := &Proxy{target: target, listener: l, silenced: make(chan struct{}), open: make(map[net.Conn]struct{})}
	go p.accept()
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close() // a closed listener needs nothing more
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		_ = c.Close()
	}
}

func (p *Proxy) accept() {
	for c, err := p.listener.Accept(); err == nil; c, err = p.listener.Accept() {
		go p.connect(c)
	}
}

// connect opens the second half of a connection and carries it.
func (p *Proxy) connect(in net.Conn) {
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(in)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[in], p.open[out] = struct{}{}, struct{}{}
	go p.carry(in, out, true, p.silenced)
	go p.carry(out, in, false, p.silenced)
}

// carry copies one direction until it ends or falls silent. A silent connection stays open
// until the proxy is closed, whatever its ends do.
func (p *Proxy) carry(from, to net.Conn, inward bool, silenced <-chan struct{}) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if !p.deliver(to, buffer[:n], inward, silenced) {
			return
		}
		if err != nil {
			p.end(from, to)
			return
		}
	}
}

// cutStep is the time between looks at a direction that is cut.
const cutStep = 5 * time.Millisecond

// deliver writes unless the connection is silent. It is not under way when Silence returns.
func (p *Proxy) deliver(to net.Conn, b []byte, inward bool, silenced <-chan struct{}) bool {
	for p.held(inward) {
		select {
		case <-silenced:
			return false
		case <-time.After(cutStep):
		}
	}
	p.mu.RLock()
	delay := p.delay
	p.mu.RUnlock()
	time.Sleep(delay)
	p.mu.RLock()
	defer p.mu.RUnlock()
	select {
	case <-silenced:
		return false
	default:
		_, _ = to.Write(b) // the reading half meets the error
		return true
	}
}

func (p *Proxy) held(inward bool) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return inward && p.cutIn || !inward && p.cutOut
}

func (p *Proxy) end(ends ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range ends {
		delete(p.open, c)
		_ = c.Close()
	}
}

// Open is the number of open halves of connections.
func (p *Proxy) Open() int {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return len(p.open)
}

// Silence ends delivery on the open connections in both directions without closing them, as
// when a path loses every packet. Later connections work.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.silenced)
	p.silenced = make(chan struct{})
}

// Reset resets the open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		reset(c)
		delete(p.open, c)
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // a connection that cannot be reset is closed
	}
	_ = c.Close()
}

// Delay holds up everything that passes from now on.
func (p *Proxy) Delay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// Cut holds back what goes to the target, what comes from it, or both, until it is called
// with false.
func (p *Proxy) Cut(toTarget, fromTarget bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutIn, p.cutOut = toTarget, fromTarget
}
