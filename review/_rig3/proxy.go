package main

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxy passes connections on; while it is cut, it passes no byte in either direction.
type proxy struct {
	listener net.Listener
	to       string
	cut      atomic.Bool
	mu       sync.Mutex
	conns    []net.Conn
}

func newProxy(listen, to string) (*proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, to: to}
	go p.serve()
	return p, nil
}

func (p *proxy) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.pass(c)
	}
}

func (p *proxy) pass(c net.Conn) {
	for p.cut.Load() {
		time.Sleep(5 * time.Millisecond)
	}
	up, err := net.DialTimeout("tcp", p.to, time.Second)
	if err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.conns = append(p.conns, c, up)
	p.mu.Unlock()
	go p.copy(up, c)
	p.copy(c, up)
}

func (p *proxy) copy(to, from net.Conn) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		for p.cut.Load() {
			time.Sleep(5 * time.Millisecond)
		}
		if n > 0 {
			if _, werr := to.Write(b[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}
