// Package httpengine calls engines and other services over HTTP.
package httpengine

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"time"

	"toucantiller.dev/dispatch"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/link"
)

// HeaderRequestID carries the dispatch identity to the engine.
const HeaderRequestID = "X-Request-Id"

const (
	// maxIdleConns is the number of idle connections kept to the engine.
	maxIdleConns = 256
	// maxHeaderBytes bounds the status line and headers of an answer. A faulty server may send
	// them endlessly, and the smallest instances have 100 MB of memory for all requests.
	maxHeaderBytes = 64 << 10
	// maxInterimResponses bounds the 1xx responses before an answer.
	maxInterimResponses = 16
	// idleTimeout is below the 5 s after which common Python servers close an idle
	// connection; a request written to a connection that the engine is closing has an
	// unknown outcome.
	idleTimeout = 4 * time.Second
	// maxSubmitTries bounds the connections tried for one request. Another connection is tried
	// only when nothing was written to the previous one.
	maxSubmitTries = 3
)

// Engine calls one HTTP server. It implements endpoint.Engine; the operations that
// plain HTTP does not offer return endpoint.ErrUnsupported.
type Engine struct {
	baseURL string
	client  *http.Client
	opt     Options

	restraints restraints
}

// Options adapts an Engine to servers that need more than plain HTTP. The zero value changes
// nothing.
type Options struct {
	// MaxConnections bounds the open connections; requests wait for one.
	MaxConnections int
	// Prepare completes a request before it is sent; HeaderRequestID is then not set.
	Prepare func(req *http.Request, r *endpoint.Request)
	// Check validates the status and headers of an answer. An error that wraps
	// endpoint.ErrNotSent means that the request did not run. After any other error the
	// connection is closed, since the bytes that follow on it cannot be attributed to a request.
	// reused is set if the connection carried earlier requests, whose answers the server may repeat.
	Check func(resp *http.Response, r *endpoint.Request, reused bool) error
	// Wishes reads what an answer asks for; nil if the server asks for nothing.
	Wishes func(resp *http.Response) Wishes
	// Report reads what an answer says of the endpoint's load; nil if the server says nothing.
	Report func(resp *http.Response) endpoint.SelfReport
}

// New returns an engine at a base URL such as "http://127.0.0.1:9000". network may be
// nil for TCP.
func New(network link.Network, baseURL string) *Engine {
	return NewWithOptions(network, baseURL, Options{})
}

// NewWithOptions returns an engine that is adapted to its server.
func NewWithOptions(network link.Network, baseURL string, opt Options) *Engine {
	if network == nil {
		network = link.TCP{}
	}
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdleConns,
		MaxConnsPerHost:     opt.MaxConnections,
		IdleConnTimeout:     idleTimeout,

		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			c, err := network.Dial(ctx, addr)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: c}, nil
		},
	}
	return &Engine{baseURL: baseURL, client: &http.Client{Transport: transport, CheckRedirect: returnRedirect}, opt: opt}
}

// returnRedirect makes the client return redirects to the caller, since following one would
// send the request twice.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Submit sends the request at most once. Errors wrap endpoint.ErrNotSent when no byte
// of it left this process.
func (e *Engine) Submit(ctx context.Context, r *endpoint.Request) (*endpoint.Answer, error) {
	for try := 1; ; try++ {
		if err := e.restraints.check(r, time.Now()); err != nil {
			return nil, err
		}
		answer, retry, err := e.submit(ctx, r)
		if err == nil {
			return answer, nil
		}
		if !retry || try == maxSubmitTries || ctx.Err() != nil {
			return nil, err
		}
	}
}

// submit tries one connection. retry is set when a reused connection was found to be closed
// before anything was written to it.
func (e *Engine) submit(ctx context.Context, r *endpoint.Request) (answer *endpoint.Answer, retry bool, err error) {
	var mu sync.Mutex // net/http calls the trace from other goroutines
	var s requestTrace
	var hasConn bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		mu.Lock()
		defer mu.Unlock()
		hasConn = true
		s.gotConn(info)
	}, Got1xxResponse: s.got1xxResponse})
	req, err := e.newRequest(ctx, r)
	if err != nil {
		return nil, false, fmt.Errorf("building request to %s: %w: %w", e.baseURL, endpoint.ErrNotSent, err)
	}
	resp, err := e.client.Do(req) //nolint:bodyclose // the caller closes Answer.Body
	mu.Lock()
	defer mu.Unlock()
	if err == nil {
		wishes := e.wishes(resp)
		if err = e.checkAnswer(resp, r, &s); err == nil {
			e.restraints.record(r, wishes, time.Now())
			return &endpoint.Answer{Status: resp.StatusCode, Header: resp.Header, Body: checkBody(resp, s.framing(), &s), Report: e.report(resp)}, false, nil
		}
		var refused *endpoint.RefusedError
		if errors.As(err, &refused) && !refused.Misdirected {
			// Another endpoint at the address speaks for itself only.
			refused.RetryAfter = wishes.RetryAfter
			refused.Report = e.report(resp)
			e.restraints.record(r, wishes, time.Now())
		}
		if !errors.Is(err, endpoint.ErrNotSent) {
			_ = s.Close() // the error of Check is the one to report
		}
		_ = resp.Body.Close() // the body is not used
		return nil, false, boundedError{fmt.Errorf("answer of engine %s: %w", e.baseURL, err)}
	}
	if s.ensureUnsent(hasConn) {
		return nil, hasConn && s.reused, boundedError{fmt.Errorf("connecting to engine %s: %w: %w", e.baseURL, endpoint.ErrNotSent, err)}
	}
	return nil, false, boundedError{fmt.Errorf("calling engine %s: %w", e.baseURL, err)}
}

func (e *Engine) newRequest(ctx context.Context, r *endpoint.Request) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, e.baseURL+r.Path, nil)
	if err != nil {
		return nil, err
	}
	for name, values := range r.Header {
		req.Header[name] = values
	}
	setBody(req, r.Body)
	if r.Host != "" {
		req.Host = r.Host
	}
	if e.opt.Prepare != nil {
		e.opt.Prepare(req, r)
		return req, nil
	}
	req.Header.Set(HeaderRequestID, r.ID)
	return req, nil
}

func (e *Engine) wishes(resp *http.Response) Wishes {
	if e.opt.Wishes == nil {
		return Wishes{}
	}
	return e.opt.Wishes(resp)
}

func (e *Engine) report(resp *http.Response) endpoint.SelfReport {
	if e.opt.Report == nil {
		return endpoint.SelfReport{}
	}
	return e.opt.Report(resp)
}

// checkAnswer returns an error for an answer whose head is broken or that Options.Check rejects.
func (e *Engine) checkAnswer(resp *http.Response, r *endpoint.Request, s *requestTrace) error {
	err := cmp.Or(endpoint.CheckHead(resp.StatusCode, resp.Header), checkStatusLine(resp), s.framing().check(resp))
	if err != nil || e.opt.Check == nil {
		return err
	}
	return e.opt.Check(resp, r, s.reused)
}

// Close closes idle connections.
func (e *Engine) Close() error {
	e.client.CloseIdleConnections()
	return nil
}

// setBody sets the body so that net/http does not retry the request on its own.
func setBody(req *http.Request, body []byte) {
	switch req.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		dispatch.SetBody(req, body)
		return
	}
	if len(body) > 0 {
		dispatch.SetBody(req, body)
		return
	}
	// An empty body of unknown length would be sent chunked, which some servers refuse.
	// net/http retries a request without a body that has an Idempotency-Key; it looks for
	// the canonical name only.
	req.Body = http.NoBody
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if v, ok := req.Header[name]; ok {
			delete(req.Header, name)
			req.Header[strings.ToLower(name)] = v
		}
	}
}

// Cancel does nothing: closing the answer's body cancels the request.
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
