package link

import (
	"context"
	"net"
	"net/http"
	"time"

	"toucantiller.dev/intake"
)

// Limits of the HTTP/2 links between gateways and agents.
const (
	maxConcurrentStreams = 4096
	readHeaderTimeout    = 5 * time.Second
	// maxHeaderBytes bounds the headers of an answer. Agents send those of the endpoint's answer
	// in a frame, and few of their own.
	maxHeaderBytes = 64 << 10
	// MaxRequestHead bounds the head of a request, in bytes: that of a caller's request, and some
	// fields of the gateway's own.
	MaxRequestHead = 128 << 10
	// idleConnTimeout closes idle connections: those that were replaced, and those to peers that
	// no longer exist.
	idleConnTimeout = 5 * time.Minute
	// streamReceiveBuffer bounds the bytes of a stream that a peer may send before the local
	// reader consumes them.
	streamReceiveBuffer = 256 << 10
)

// StepDial is the step of the *Error with which a request of NewHTTPClient fails when no
// connection could be opened. No byte of such a request was sent: net/http dials again
// during a request only when an existing connection could not be used for it.
const StepDial = "dial"

// http2Config returns the settings of both sides of a link.
func http2Config() *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxConcurrentStreams: maxConcurrentStreams,
		SendPingTimeout:      ProbeInterval,
		PingTimeout:          ProbeTimeout,
		// A peer whose machine has failed accepts no bytes either.
		WriteByteTimeout:          ProbeTimeout,
		MaxReceiveBufferPerStream: streamReceiveBuffer,
	}
}

// NewHTTPClient returns a client for one peer over unencrypted HTTP/2; a TLS network encrypts
// the connections below it. With one client for each peer, requests to different peers share
// no lock.
func NewHTTPClient(network Network, addr string) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		Protocols:          protocols,
		HTTP2:              http2Config(),
		DisableCompression: true,
		IdleConnTimeout:    idleConnTimeout,

		MaxResponseHeaderBytes: maxHeaderBytes,
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

// NewHTTPServer returns the server for clients of NewHTTPClient. It also accepts HTTP/1.1.
func NewHTTPServer(handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           intake.Handler(handler),
		MaxHeaderBytes:    MaxRequestHead,
		ConnState:         intake.Observe,
		ConnContext:       intake.ConnContext,
		Protocols:         protocols,
		HTTP2:             http2Config(),
		ReadHeaderTimeout: readHeaderTimeout,
	}
}
