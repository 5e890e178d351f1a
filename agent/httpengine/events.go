package httpengine

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
)

// Ends of the last event of a stream.
var eventEnds = [][]byte{[]byte("\n\n"), []byte("\r\n\r\n"), []byte("\r\r")}

// tailLength is the length of the longest of eventEnds.
const tailLength = 4

// eventBody is the body of an event stream. It reports a stream that ends inside an event as
// broken off: one that ends with its connection looks complete otherwise.
type eventBody struct {
	io.ReadCloser
	tail []byte
}

// checkEvents wraps the body of an answer that is an event stream.
func checkEvents(resp *http.Response) io.ReadCloser {
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return resp.Body
	}
	return &eventBody{ReadCloser: resp.Body}
}

// Read reads the stream.
func (b *eventBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.tail = append(b.tail, p[max(0, n-tailLength):n]...)
	b.tail = b.tail[max(0, len(b.tail)-tailLength):]
	if errors.Is(err, io.EOF) && !b.atEventEnd() {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

func (b *eventBody) atEventEnd() bool {
	for _, end := range eventEnds {
		if bytes.HasSuffix(b.tail, end) {
			return true
		}
	}
	return len(b.tail) == 0
}
