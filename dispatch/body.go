package dispatch

import (
	"bytes"
	"io"
	"net/http"
)

// onceBody is a request body that net/http cannot rewind. It is never nil or
// http.NoBody, even when empty, because net/http repeats a request without a body on
// its own: one with GET or HEAD or an Idempotency-Key over HTTP/1.1, and any that met
// a PROTOCOL_ERROR over HTTP/2. The request may already have run by then.
type onceBody struct{ bytes.Reader }

func (b *onceBody) Close() error { return nil }

// SetBody gives a request a body that is sent at most once. Requests with an empty
// body and a method that usually has none are sent without one.
func SetBody(r *http.Request, body []byte) {
	b := &onceBody{}
	b.Reset(body)
	r.Body = b
	r.ContentLength = int64(len(body))
	r.GetBody = nil
}

var _ io.ReadCloser = (*onceBody)(nil)
