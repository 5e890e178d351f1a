package link

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Probe timing: a silent connection is detected within ProbeInterval + ProbeTimeout over
// HTTP/2, and within ProbeAfter + ProbeTimeout over net/rpc.
const (
	ProbeInterval = 500 * time.Millisecond
	ProbeTimeout  = time.Second
	// ProbeAfter is how long a net/rpc connection delivers nothing before it is probed. It
	// is longer than the interval of beacons, which show that a connection is alive and make
	// probes unnecessary.
	ProbeAfter = 750 * time.Millisecond
	// CallTimeout is used for calls whose context has no deadline.
	CallTimeout = 5 * time.Second
)

// acceptPause is the time between attempts to accept a connection while the system is short of
// descriptors or memory.
const acceptPause = 50 * time.Millisecond

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

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// NewServer returns a server that answers probes.
func NewServer() *Server {
	s := &Server{rpc: rpc.NewServer(), conns: make(map[net.Conn]struct{})}
	_ = s.rpc.RegisterName("Link", probeService{}) // the service type is fixed, so this cannot fail
	return s
}

// Register adds a service under a name; its methods follow the rules of net/rpc, and their
// arguments and replies have no fields of interface types.
func (s *Server) Register(name string, service any) error { return s.rpc.RegisterName(name, service) }

// Serve accepts connections until the listener closes and then returns nil. While descriptors or
// memory are short it waits. Another failure to accept is returned as *Error.
func (s *Server) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		switch {
		case err == nil:
		case errors.Is(err, net.ErrClosed):
			return nil
		case isPassing(err):
			time.Sleep(acceptPause)
			continue
		default:
			return &Error{Step: "accept", Peer: l.Addr().String(), Err: err}
		}
		if s.trackConn(c) {
			go s.serveConn(c)
		}
	}
}

// isPassing reports whether accepting failed for the one connection or for a shortage of the system,
// so that it may succeed later.
func isPassing(err error) bool {
	return slices.ContainsFunc([]error{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED,
	}, func(passing error) bool { return errors.Is(err, passing) })
}

// Close closes the open connections and those accepted later. Close the listener first.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		_ = c.Close()
	}
}

// trackConn adds a connection to those that Close closes. After Close it closes the connection
// and returns false.
func (s *Server) trackConn(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = c.Close()
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) serveConn(c net.Conn) {
	messages, _ := c.(messageAccount)
	s.rpc.ServeCodec(newServerCodec(&limitedConn{Conn: writeTimeoutConn{c}, messages: messages}))
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// Client calls one peer. It dials on demand, probes the open connection and replaces it if it
// fails or delivers nothing. It is safe for concurrent use.
type Client struct {
	network Network
	addr    string

	mu     sync.Mutex
	conn   *connection
	closed bool
}

// connection is one open connection. Closing done ends its probes.
type connection struct {
	*rpc.Client
	activity *activityConn
	done     chan struct{}
	once     sync.Once
}

// activityConn is a network connection that records when bytes were last received.
type activityConn struct {
	net.Conn
	opened   time.Time
	lastRead atomic.Int64 // time.Duration since opened
}

// Read reads from the connection and records the time if it received bytes.
func (d *activityConn) Read(p []byte) (int, error) {
	n, err := d.Conn.Read(p)
	if n > 0 {
		d.lastRead.Store(int64(time.Since(d.opened)))
	}
	return n, err
}

// idleTime returns the time since bytes were last received, or since the connection was opened.
func (d *activityConn) idleTime() time.Duration {
	return time.Since(d.opened) - time.Duration(d.lastRead.Load())
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

// Call calls a method and waits for its reply or the end of ctx, at most CallTimeout if ctx has
// no deadline. Errors are *Error, except rpc.ServerError values that the peer's method
// returned.
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
		return c.handleCallError(conn, method, call.Error)
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

// handleCallError returns an error of the peer's method as it is. Any other error means that
// the connection failed: it is dropped and the error wrapped in *Error.
func (c *Client) handleCallError(conn *connection, method string, err error) error {
	if err == nil {
		return nil
	}
	var server rpc.ServerError
	if errors.As(err, &server) {
		return server
	}
	c.dropConnection(conn)
	return &Error{Step: "call " + method, Peer: c.addr, Err: err}
}

// connect returns the open connection or dials a new one.
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
	activity := &activityConn{Conn: &limitedConn{Conn: writeTimeoutConn{nc}}, opened: time.Now()}
	c.conn = &connection{Client: rpc.NewClientWithCodec(newClientCodec(activity)), activity: activity, done: make(chan struct{})}
	go c.probe(c.conn)
	return c.conn, nil
}

// dropConnection closes a connection, so that the next call dials a new one.
func (c *Client) dropConnection(conn *connection) {
	c.mu.Lock()
	if c.conn == conn {
		c.conn = nil
	}
	c.mu.Unlock()
	conn.close()
}

// probe pings the connection whenever nothing was received for ProbeAfter. If a ping fails or
// is not answered within ProbeTimeout, it drops the connection, so that waiting calls fail and
// the next call dials a new one.
func (c *Client) probe(conn *connection) {
	next := time.NewTimer(ProbeAfter)
	defer next.Stop()
	for seq := uint64(1); ; {
		select {
		case <-next.C:
		case <-conn.done:
			return
		}
		if wait := ProbeAfter - conn.activity.idleTime(); wait > 0 {
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
				c.dropConnection(conn)
				return
			}
		case <-timeout.C:
			c.dropConnection(conn)
			return
		}
		seq++
		next.Reset(ProbeAfter)
	}
}
