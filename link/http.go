package link

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Limits of the HTTP/2 links between gateways and agents.
const (
	maxConcurrentStreams = 4096
	linkReadHeader       = 5 * time.Second
	// linkIdle closes connections that were replaced, and those to peers that are gone.
	linkIdle = 5 * time.Minute
	// streamBuffer bounds what a peer may send ahead of a slow reader, in bytes.
	streamBuffer = 256 << 10
)

// StepDial is the step of the *Error with which a request of NewHTTPClient fails when no
// connection could be opened. No byte of such a request was sent: net/http dials again
// during a request only when a connection at hand could not be used for it.
const StepDial = "dial"

func http2Config() *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxConcurrentStreams: maxConcurrentStreams,
		SendPingTimeout:      ProbeInterval,
		PingTimeout:          ProbeTimeout,
		// A peer whose machine is gone takes no bytes either.
		WriteByteTimeout:          ProbeTimeout,
		MaxReceiveBufferPerStream: streamBuffer,
	}
}

// NewHTTPClient returns a client for one peer over HTTP/2 without TLS of its own; the
// network adds TLS where it is set. One client a peer keeps requests to unlike peers
// from sharing a lock.
func NewHTTPClient(network Network, addr string) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		Protocols:          protocols,
		HTTP2:              http2Config(),
		DisableCompression: true,
		IdleConnTimeout:    linkIdle,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, DialTimeout)
			defer cancel()
			c, err := network.Dial(ctx, addr)
			if err != nil {
				return nil, &Error{Step: StepDial, Peer: addr, Err: err}
			}
			return c, nil
		},
	}}
}

// NewHTTPServer returns the server side of NewHTTPClient.
func NewHTTPServer(handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		HTTP2:             http2Config(),
		ReadHeaderTimeout: linkReadHeader,
	}
}
