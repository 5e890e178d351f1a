package httpengine

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"toucantiller.dev/endpoint"
)

// checkBody returns the body of an answer. Reading it fails, and conn is closed, if the answer turns
// out to be broken.
func checkBody(resp *http.Response, f framing, conn io.Closer) io.ReadCloser {
	body := resp.Body
	if resp.ContentLength < 0 && body != http.NoBody {
		body = &checkedBody{ReadCloser: body, resp: resp, conn: conn, stated: f.statedLength()}
	}
	return checkEvents(resp.Header, body)
}

// checkedBody is a body in chunks, or one that its connection ends.
type checkedBody struct {
	io.ReadCloser
	resp *http.Response
	conn io.Closer
	// stated is the length that the head states beside the chunks, unknownLength if it states none.
	stated int64
	// length is the number of bytes that were read.
	length int64
}

// unknownLength stands for a body of which no length is stated.
const unknownLength = -1

// Read reads the body. It fails if the length or the trailer is broken.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.length += int64(n)
	if broken := b.check(errors.Is(err, io.EOF)); broken != nil {
		_ = b.conn.Close() // what follows on it cannot be attributed to a request
		return n, broken
	}
	return n, err
}

func (b *checkedBody) check(ended bool) error {
	if b.stated != unknownLength && (b.length > b.stated || ended && b.length < b.stated) {
		return fmt.Errorf("%w: Content-Length contradicts the chunks", endpoint.ErrBrokenAnswer)
	}
	if !ended {
		return nil
	}
	return endpoint.CheckFields(b.resp.Trailer)
}
