package httpengine

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"toucantiller.dev/endpoint"
)

// framing is what the head of an answer says of the end of its body. net/http removes the fields
// that it does not follow.
type framing struct {
	// coded is set if the head has a Transfer-Encoding.
	coded bool
	// length is the value of Content-Length, empty without one.
	length string
}

// maxScannedField is the number of bytes of a field that are looked at: the longest name and value
// that matter have less.
const maxScannedField = 256

// headScanner reads the framing of an answer from the bytes of a connection. It skips interim
// answers.
type headScanner struct {
	mu      sync.Mutex
	framing framing
	// line holds the bytes of a line that has not ended, field the field before it, which the line
	// may continue.
	line, field []byte
	// begun is set after the status line, interim if that is the line of an interim answer.
	begun, interim bool
	// done is set after the head.
	done bool
}

// reset prepares for the next answer on the connection.
func (s *headScanner) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restart()
	s.done = false
}

// restart prepares for a head. It must be called with mu held.
func (s *headScanner) restart() {
	s.framing, s.begun, s.interim = framing{}, false, false
	s.line, s.field = s.line[:0], s.field[:0]
}

// result returns the framing of the answer.
func (s *headScanner) result() framing {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.framing
}

// scan reads the next bytes of the connection.
func (s *headScanner) scan(p []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for !s.done && len(p) > 0 {
		part, rest, ended := bytes.Cut(p, []byte{'\n'})
		s.line = appendBounded(s.line, part)
		p = rest
		if ended {
			s.endLine(bytes.TrimSuffix(s.line, []byte{'\r'}))
			s.line = s.line[:0]
		}
	}
}

func appendBounded(to, p []byte) []byte {
	return append(to, p[:min(len(p), maxScannedField-len(to))]...)
}

// endLine handles a line of a head.
func (s *headScanner) endLine(line []byte) {
	switch {
	case !s.begun:
		s.beginHead(string(line))
	case len(line) == 0:
		s.endField()
		s.endHead()
	case line[0] == ' ' || line[0] == '\t':
		s.field = appendBounded(s.field, line)
	default:
		s.endField()
		s.field = append(s.field[:0], line...)
	}
}

// beginHead handles the status line.
func (s *headScanner) beginHead(line string) {
	s.begun = true
	_, status, _ := strings.Cut(line, " ")
	status = strings.TrimLeft(status, " ")
	s.interim = strings.HasPrefix(status, "1") && !strings.HasPrefix(status, "101")
}

// endField takes what a field says.
func (s *headScanner) endField() {
	name, value, _ := strings.Cut(string(s.field), ":")
	switch {
	case strings.EqualFold(name, "Transfer-Encoding"):
		s.framing.coded = true
	case strings.EqualFold(name, "Content-Length"):
		s.framing.length = strings.TrimSpace(value)
	}
}

// endHead ends a head at its empty line. Another one follows that of an interim answer.
func (s *headScanner) endHead() {
	if s.interim {
		s.restart()
		return
	}
	s.done = true
}

// checkStatusLine returns an error for a status line that no answer to a request in HTTP/1.1 can
// have.
func checkStatusLine(resp *http.Response) error {
	if resp.ProtoMajor != 1 {
		return fmt.Errorf("%w: version %s", endpoint.ErrBrokenAnswer, resp.Proto)
	}
	if strings.ContainsFunc(resp.Status, isControl) {
		return fmt.Errorf("%w: status %q", endpoint.ErrBrokenAnswer, resp.Status)
	}
	return nil
}

// isControl reports whether a character is a control byte other than the tab.
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

// check returns an error for an answer whose end cannot be known: HTTP/1.0 has no transfer codings,
// so net/http takes the coded bytes for the body.
func (f framing) check(resp *http.Response) error {
	if f.coded && !resp.ProtoAtLeast(1, 1) {
		return fmt.Errorf("%w: Transfer-Encoding in %s", endpoint.ErrBrokenAnswer, resp.Proto)
	}
	return nil
}

// statedLength returns the length of a body in chunks that Content-Length states beside them,
// unknownLength if it states none.
func (f framing) statedLength() int64 {
	if !f.coded || f.length == "" {
		return unknownLength
	}
	length, err := strconv.ParseInt(f.length, 10, 64)
	if err != nil {
		return 0 // net/http refuses such a length
	}
	return length
}
