package link

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"
)

// Probe timing: a silent connection is found within ProbeInterval + ProbeTimeout over
// HTTP/2, and within ProbeAfter + ProbeTimeout over net/rpc.
const (
	ProbeInterval = 500 * time.Millisecond
	ProbeTimeout  = time.Second
	// ProbeAfter is how long a net/rpc connection delivers nothing before it is probed. It
	// is longer than the interval of beacons, which show that a connection is alive as
	// probes do and are there anyway.
	ProbeAfter = 750 * time.Millisecond
	// CallTimeout is used for calls whose context has no deadline.
	CallTimeout = 5 * time.Second
)

// Ping is the argument and reply of a probe.
type Ping struct{ Seq uint64 }

// probeService answers probes on every Server.
type probeService struct{}

// Ping returns its argument.
func (probeService) Ping(in *Ping, out *Ping) error {
	*out = *in
	return nil
}

// Server serves net/rpc services on a listener.
type Server struct {
	rpc *rpc.Server

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	stop  bool
}

// NewServer returns a server that answers probes.
func NewServer() *Server {
	s := &Server{rpc: rpc.NewServer(), conns: make(map[net.Conn]struct{})}
	_ = s.rpc.RegisterName("Link", probeService{}) // the service type is fixed, so this cannot fail
	return s
}

// Register adds a service under a name; its methods follow the rules of net/rpc.
func (s *Server) Register(name string, service any) error { return s.rpc.RegisterName(name, service) }

// Serve accepts connections until the listener closes.
func (s *Server) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return &Error{Step: "accept", Peer: l.Addr().String(), Err: err}
		}
		if s.track(c) {
			go s.serveConn(c)
		}
	}
}

// Close closes the open connections. Close the listener first.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stop = true
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *Server) track(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stop {
		_ = c.Close()
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) serveConn(c net.Conn) {
	s.rpc.ServeConn(boundedConn{c})
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// Client calls one peer. It dials on demand, probes the open connection and
// replaces one that has gone silent.
type Client struct {
	network Network
	addr    string

	mu     sync.Mutex
	conn   *connection
	closed bool
}

// connection is one open connection. done ends its probes.
type connection struct {
	*rpc.Client
	delivered *deliveries
	done      chan struct{}
	once      sync.Once
}

// deliveries is a network connection that keeps the time of its last delivery.
type deliveries struct {
	net.Conn
	opened time.Time
	last   atomic.Int64 // time.Duration since opened
}

// Read reads and notes the time.
func (d *deliveries) Read(p []byte) (int, error) {
	n, err := d.Conn.Read(p)
	if n > 0 {
		d.last.Store(int64(time.Since(d.opened)))
	}
	return n, err
}

// quiet returns the time since the last delivery.
func (d *deliveries) quiet() time.Duration {
	return time.Since(d.opened) - time.Duration(d.last.Load())
}

func (c *connection) close() {
	c.once.Do(func() {
		close(c.done)
		_ = c.Close()
	})
}

// NewClient returns a client for the peer at addr. It does not dial yet.
func NewClient(network Network, addr string) *Client {
	return &Client{network: network, addr: addr}
}

// Addr returns the peer's address.
func (c *Client) Addr() string { return c.addr }

// Call calls a method and waits for its reply or the deadline of ctx. Errors are
// *Error, except rpc.ServerError values that the peer's method returned.
func (c *Client) Call(ctx context.Context, method string, args, reply any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, CallTimeout)
		defer cancel()
	}
	conn, err := c.connect(ctx)
	if err != nil {
		return &Error{Step: "dial", Peer: c.addr, Err: err}
	}
	call := conn.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return c.result(conn, method, call.Error)
	case <-ctx.Done():
		return &Error{Step: "call " + method, Peer: c.addr, Err: ctx.Err()}
	}
}

// Close closes the connection; later calls fail.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.conn != nil {
		c.conn.close()
		c.conn = nil
	}
}

func (c *Client) result(conn *connection, method string, err error) error {
	if err == nil {
		return nil
	}
	var server rpc.ServerError
	if errors.As(err, &server) {
		return server
	}
	c.drop(conn)
	return &Error{Step: "call " + method, Peer: c.addr, Err: err}
}

func (c *Client) connect(ctx context.Context) (*connection, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, net.ErrClosed
	}
	if c.conn != nil {
		return c.conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	nc, err := c.network.Dial(ctx, c.addr)
	if err != nil {
		return nil, err
	}
	delivered := &deliveries{Conn: boundedConn{nc}, opened: time.Now()}
	c.conn = &connection{Client: rpc.NewClient(delivered), delivered: delivered, done: make(chan struct{})}
	go c.probe(c.conn)
	return c.conn, nil
}

func (c *Client) drop(conn *connection) {
	c.mu.Lock()
	if c.conn == conn {
		c.conn = nil
	}
	c.mu.Unlock()
	conn.close()
}

// probe pings the connection whenever it has been quiet, until it fails or stays silent,
// then drops it, so that waiting calls fail and the next call dials anew.
func (c *Client) probe(conn *connection) {
	next := time.NewTimer(ProbeAfter)
	defer next.Stop()
	for seq := uint64(1); ; {
		select {
		case <-next.C:
		case <-conn.done:
			return
		}
		if wait := ProbeAfter - conn.delivered.quiet(); wait > 0 {
			next.Reset(wait)
			continue
		}
		var reply Ping
		call := conn.Go("Link.Ping", &Ping{Seq: seq}, &reply, make(chan *rpc.Call, 1))
		timeout := time.NewTimer(ProbeTimeout)
		select {
		case <-call.Done:
			timeout.Stop()
			if call.Error != nil {
				c.drop(conn)
				return
			}
		case <-timeout.C:
			c.drop(conn)
			return
		}
		seq++
		next.Reset(ProbeAfter)
	}
}
