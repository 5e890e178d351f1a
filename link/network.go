// Package link connects the processes of the system. It provides networks that dial and
// listen, net/rpc clients with deadlines and liveness probes, HTTP/2 clients and servers, and
// an in-memory network with injected faults for tests.
package link

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"time"
)

// Network dials and listens. Implementations: TCP, TLS and Memory.
type Network interface {
	Dial(ctx context.Context, addr string) (net.Conn, error)
	Listen(addr string) (net.Listener, error)
}

// Error names the step and the peer at which a call failed.
type Error struct {
	Step string
	Peer string
	Err  error
}

// Error returns "step peer: cause".
func (e *Error) Error() string { return fmt.Sprintf("%s %s: %v", e.Step, e.Peer, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ErrSilent is the cause when a connection delivered nothing within the probe timeout.
var ErrSilent = errors.New("connection is silent")

// DialTimeout bounds opening a connection.
const DialTimeout = time.Second

// TCP is the network of unencrypted TCP connections.
type TCP struct{}

// Dial opens a TCP connection.
func (TCP) Dial(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: DialTimeout}
	return d.DialContext(ctx, "tcp", addr)
}

// Listen opens a TCP listener.
func (TCP) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

// TLS wraps another network in mutual TLS. Config needs certificates, RootCAs and
// ClientCAs of the deployment.
type TLS struct {
	Inner  Network
	Config *tls.Config
}

// Dial opens a connection and completes the TLS handshake.
func (t TLS) Dial(ctx context.Context, addr string) (net.Conn, error) {
	c, err := t.Inner.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	cfg := t.Config.Clone()
	if cfg.ServerName == "" {
		host, _, _ := net.SplitHostPort(addr)
		cfg.ServerName = host
	}
	tc := tls.Client(c, cfg)
	if err := tc.HandshakeContext(ctx); err != nil {
		_ = c.Close()
		return nil, err
	}
	return tc, nil
}

// Listen opens a listener that requires a certificate of the deployment.
func (t TLS) Listen(addr string) (net.Listener, error) {
	l, err := t.Inner.Listen(addr)
	if err != nil {
		return nil, err
	}
	cfg := t.Config.Clone()
	cfg.ClientAuth = tls.RequireAndVerifyClientCert
	return tlsListener{tls.NewListener(l, cfg)}, nil
}

// tlsListener accepts TLS connections under an opaque type.
type tlsListener struct{ net.Listener }

// Accept hides the TLS type from net/http, which otherwise offers HTTP/2 only through
// ALPN. The handshake takes place at the first read.
func (l tlsListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return struct{ net.Conn }{c}, nil
}
