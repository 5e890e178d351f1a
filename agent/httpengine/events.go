package httpengine

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"toucantiller.dev/dispatch"
)

// Ends of the last event of a stream: the end of a line, CR, LF or both, and an empty line.
var eventEnds = [][]byte{[]byte("\n\n"), []byte("\n\r\n"), []byte("\n\r"), []byte("\r\r"), []byte("\r\r\n")}

// tailLength is the length of the longest of eventEnds.
const tailLength = 3

// eventBody is the body of an event stream. It reports a stream that ends inside an event as
// broken off: one that ends with its connection looks complete otherwise.
type eventBody struct {
	io.ReadCloser
	// tail holds the last bytes that were read, length of them.
	tail   [tailLength]byte
	length int
	// begun is set once anything but empty lines was read.
	begun bool
}

// checkEvents wraps the body of an answer if the answer is an event stream.
func checkEvents(header http.Header, body io.ReadCloser) io.ReadCloser {
	if !dispatch.IsEventStream(header) {
		return body
	}
	return &eventBody{ReadCloser: body}
}

// Read reads the stream.
func (b *eventBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.begun = b.begun || len(bytes.Trim(p[:n], "\r\n")) > 0
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

// atEventEnd reports whether the stream has no event or its last bytes end one.
func (b *eventBody) atEventEnd() bool {
	if !b.begun {
		return true
	}
	for _, end := range eventEnds {
		if bytes.HasSuffix(b.tail[:b.length], end) {
			return true
		}
	}
	return false
}
