// Package httpengine reaches engines and plain services that speak HTTP.
package httpengine

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"toucantiller.dev/endpoint"
	"toucantiller.dev/link"
)

// HeaderRequestID carries the dispatch identity to the engine.
const HeaderRequestID = "X-Request-Id"

// maxIdle is the number of idle connections kept to the engine.
const maxIdle = 256

// Engine calls one HTTP server. It implements endpoint.Engine; the operations that
// plain HTTP does not offer return endpoint.ErrUnsupported.
type Engine struct {
	base   string
	client *http.Client
}

// New returns an engine at a base URL such as "http://127.0.0.1:9000". network may be
// nil for TCP.
func New(network link.Network, base string) *Engine {
	if network == nil {
		network = link.TCP{}
	}
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdle,
		DisableCompression:  true,
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return network.Dial(ctx, addr)
		},
	}
	return &Engine{base: base, client: &http.Client{Transport: transport}}
}

// Submit sends the request. Errors wrap endpoint.ErrNotSent until the first byte may
// have left this process.
func (e *Engine) Submit(ctx context.Context, r *endpoint.Request) (*endpoint.Answer, error) {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// A connection has been obtained: from here on bytes may have been sent.
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, r.Method, e.base+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, fmt.Errorf("building request to %s: %w: %w", e.base, endpoint.ErrNotSent, err)
	}
	for name, values := range r.Header {
		req.Header[name] = values
	}
	req.Header.Set(HeaderRequestID, r.ID)
	// net/http must not repeat a request on its own: it may already have run.
	req.GetBody = nil
	resp, err := e.client.Do(req) //nolint:bodyclose // the caller closes Answer.Body
	if err != nil && !sent.Load() {
		return nil, fmt.Errorf("connecting to engine %s: %w: %w", e.base, endpoint.ErrNotSent, err)
	}
	if err != nil {
		return nil, fmt.Errorf("calling engine %s: %w", e.base, err)
	}
	return &endpoint.Answer{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body}, nil
}

// Cancel is done by closing the answer.
func (e *Engine) Cancel(context.Context, string) error { return nil }

// Resume is not offered by plain HTTP.
func (e *Engine) Resume(context.Context, string, int64) (*endpoint.Answer, error) {
	return nil, endpoint.ErrUnsupported
}

// Load is not offered by plain HTTP.
func (e *Engine) Load(context.Context) (running, waiting int, at time.Time, err error) {
	return 0, 0, time.Time{}, endpoint.ErrUnsupported
}

// CacheEvents is not offered by plain HTTP.
func (e *Engine) CacheEvents(context.Context, uint64) ([]endpoint.CacheEvent, error) {
	return nil, endpoint.ErrUnsupported
}

// Order is not offered by plain HTTP.
func (e *Engine) Order(context.Context, endpoint.Order) error { return endpoint.ErrUnsupported }

// ExportKV is not offered by plain HTTP.
func (e *Engine) ExportKV(context.Context, string) ([]byte, error) {
	return nil, endpoint.ErrUnsupported
}

// ImportKV is not offered by plain HTTP.
func (e *Engine) ImportKV(context.Context, string, []byte) error { return endpoint.ErrUnsupported }
