package dispatch

import (
	"bytes"
	"io"
	"net/http"
)

// singleUseBody is a request body that net/http cannot rewind. It is never nil or
// http.NoBody, even when empty, because net/http retries a request without a body by
// itself: over HTTP/1.1 one with GET, HEAD or an Idempotency-Key, and over HTTP/2 any that
// ended with a PROTOCOL_ERROR. The request may already have run by then.
type singleUseBody struct{ bytes.Reader }

func (b *singleUseBody) Close() error { return nil }

// SetBody gives a request a body that is sent at most once. Requests with an empty
// body and a method that usually has none are sent without one.
func SetBody(r *http.Request, body []byte) {
	b := &singleUseBody{}
	b.Reset(body)
	r.Body = b
	r.ContentLength = int64(len(body))
	r.GetBody = nil
}

var _ io.ReadCloser = (*singleUseBody)(nil)
