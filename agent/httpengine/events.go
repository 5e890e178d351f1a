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
	// tail holds the last bytes that were read, length of them.
	tail   [tailLength]byte
	length int
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
	b.remember(p[max(0, n-tailLength):n])
	if errors.Is(err, io.EOF) && !b.atEventEnd() {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// remember appends p, at most tailLength bytes, to the tail.
func (b *eventBody) remember(p []byte) {
	kept := min(b.length, tailLength-len(p))
	copy(b.tail[:], b.tail[b.length-kept:b.length])
	copy(b.tail[kept:], p)
	b.length = kept + len(p)
}

// atEventEnd reports whether the stream is empty or its last bytes end an event.
func (b *eventBody) atEventEnd() bool {
	for _, end := range eventEnds {
		if bytes.HasSuffix(b.tail[:b.length], end) {
			return true
		}
	}
	return b.length == 0
}
