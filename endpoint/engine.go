package endpoint

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"toucantiller.dev/instance"
)

// ErrNotSent is wrapped by errors of Engine.Submit that prove that the request did not run:
// no byte of it reached the engine, or the engine refused it.
var ErrNotSent = errors.New("request not sent")

// ErrUnsupported is returned by optional operations that an engine does not implement.
var ErrUnsupported = errors.New("operation not supported by this engine")

// Request is one call to an engine.
type Request struct {
	// ID is the dispatch identity as a string; engines use it to cancel and resume.
	ID     string
	Method string
	// Path is the path and query at the engine.
	Path   string
	Header http.Header
	Body   []byte
	// Host is the caller's Host header; if empty, the engine's host is sent.
	Host string
	// Endpoint is the ID of the endpoint that must handle the request; another one at its
	// address must refuse it. It is empty where endpoints have no ID of their own.
	Endpoint ID
	// Incarnation is the incarnation of Endpoint, 0 if it is not known.
	Incarnation instance.Incarnation
	// Account is the client account, for engines that accept it.
	Account string
	// Timeout is the time left until the caller's deadline.
	Timeout time.Duration
}

// RefusedError is returned by Engine.Submit for a request that the engine refused before
// it ran. It wraps ErrNotSent: the request did not run.
type RefusedError struct {
	// Status is the engine's HTTP status.
	Status int
	// Misdirected is set when another endpoint answers at the address.
	Misdirected bool
	// Leaving is set when the request was not sent because the endpoint has said that it leaves.
	Leaving bool
	// RetryAfter is how long the endpoint wants no further request from this process, 0 if it did
	// not say.
	RetryAfter time.Duration
	// Report is what the endpoint said of its load with the refusal.
	Report SelfReport
}

// Error returns a message with the status.
func (e *RefusedError) Error() string {
	switch {
	case e.Leaving:
		return "the endpoint has said that it leaves"
	case e.Status == 0:
		return fmt.Sprintf("the endpoint wants no request for %s", e.RetryAfter)
	}
	return fmt.Sprintf("the engine refused with status %d", e.Status)
}

// Unwrap returns ErrNotSent, since a refused request did not run.
func (e *RefusedError) Unwrap() error { return ErrNotSent }

// Answer is an answer that has started. Body must be closed; closing it before its end cancels
// the request.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Report is what the endpoint said of its load when the answer began.
	Report SelfReport
}

// SelfReport is what an endpoint says of its own load. The zero value says nothing.
type SelfReport struct {
	// Running and Waiting count all requests at the endpoint, whoever sent them.
	Running, Waiting int
	// Slots is the number of requests that it says it runs at once; at least 1 in a report that
	// says something.
	Slots int
	// Slowdown is the factor by which work takes longer on its machine than usual, 0 if it does
	// not say.
	Slowdown float64
}

// Stated reports whether the endpoint said anything.
func (r SelfReport) Stated() bool { return r.Slots > 0 }

// Order asks an engine to change what it serves.
type Order struct {
	// Token is the fencing token; an order with a token below the highest seen is refused.
	Token   uint64
	Action  string // load_version, load_adapter, set_role
	Subject string
}

// CacheEvent reports that a prefix was stored in or evicted from the engine's cache. Seq has
// gaps where events were lost.
type CacheEvent struct {
	Seq     uint64
	Prefix  uint64
	Evicted bool
}

// Engine is the interface to an endpoint. Control calls differ between deployments, so each
// kind of engine has its own implementation.
type Engine interface {
	// Submit sends the request and returns when the answer has started. An error
	// that wraps ErrNotSent proves that the request did not run.
	Submit(ctx context.Context, r *Request) (*Answer, error)
	// Cancel stops the request with this ID.
	Cancel(ctx context.Context, id string) error
	// Resume reopens the answer of request id from byte offset.
	Resume(ctx context.Context, id string, offset int64) (*Answer, error)
	// Load returns the engine's own report and the time at which it was made.
	Load(ctx context.Context) (running, waiting int, at time.Time, err error)
	// CacheEvents returns the events after seq.
	CacheEvents(ctx context.Context, seq uint64) ([]CacheEvent, error)
	// Order sends an order with its fencing token.
	Order(ctx context.Context, o Order) error
	// ExportKV returns the KV cache of request id; ImportKV loads one.
	ExportKV(ctx context.Context, id string) ([]byte, error)
	ImportKV(ctx context.Context, id string, kv []byte) error
}
