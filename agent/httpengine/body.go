package httpengine

import (
	"errors"
	"io"
	"net/http"

	"toucantiller.dev/endpoint"
)

// checkBody returns the body of an answer. Reading it fails if the answer turns out to be broken.
func checkBody(resp *http.Response, f framing) io.ReadCloser {
	body := f.limit(resp.Body)
	if resp.ContentLength < 0 {
		body = &trailedBody{ReadCloser: body, resp: resp}
	}
	return checkEvents(resp.Header, body)
}

// trailedBody is a body that a trailer may follow.
type trailedBody struct {
	io.ReadCloser
	resp *http.Response
}

// Read reads the body. At its end it fails if the trailer is broken.
func (b *trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if broken := endpoint.CheckFields(b.resp.Trailer); broken != nil {
			return n, broken
		}
	}
	return n, err
}
