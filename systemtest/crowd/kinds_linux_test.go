package crowd

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"toucantiller.dev/dispatch"
	"toucantiller.dev/platform"
)

// Sizes of what the clients send.
const (
	legalBody  = 1 << 20 // bytes; the limit is four times that
	hugeBody   = 1 << 30 // bytes
	sentOfHuge = 4 << 20 // bytes
	smallPiece = 4 << 10 // bytes

	// endlessFields is the number of fields of a head that never ends, fieldSize their size in
	// bytes.
	endlessFields = 900
	fieldSize     = 910
	// shortFields is the number of fields of a head that ends, 5 bytes each.
	shortFields = 3000
	// differentFields is the number of fields, 6 bytes each, that have a name of their own.
	differentFields = 2600
	// shortValues is the number of values in a body of many short values.
	shortValues = 300_000
	// sentAhead is the number of requests that are sent without reading the answers.
	sentAhead = 2000
)

// Times of the clients.
const (
	// stallLimit is how long a client waits for the process to read more of what it sends.
	stallLimit = time.Second
	// slowTime is how long slow clients send or read before the request of the ordinary one.
	slowTime = 1500 * time.Millisecond
	// slowPause is the time between two bytes of slow clients.
	slowPause = 50 * time.Millisecond
)

// misbehaving is a client on one connection. It sends what it has to send and leaves the
// connection open.
type misbehaving struct {
	net.Conn
	door   *door
	number int
}

// path returns a path of the listener, another one for each of a few clients.
func (c *misbehaving) path() string { return c.door.paths[c.number%len(c.door.paths)] }

// put sends bytes and returns false once the process takes no more of them.
func (c *misbehaving) put(b []byte) bool {
	_ = c.SetWriteDeadline(time.Now().Add(stallLimit))
	_, err := c.Write(b)
	return err == nil
}

// head returns the head of a request up to its last field, without the empty line.
func (c *misbehaving) head(method, path string, fields ...string) []byte {
	var b bytes.Buffer
	_, _ = fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: h\r\n%s: crowd-%d\r\n", method, path, platform.HeaderAttempt, c.number)
	if path == dispatch.PathDispatch {
		h := make(http.Header)
		(&dispatch.Header{ID: dispatch.ID{Request: fmt.Sprint("crowd-", c.number)}, Service: "s", Version: "v", Route: "r", Account: "a", Method: method, Path: "/", Timeout: time.Minute}).Write(h)
		_ = h.Write(&b)
	}
	for _, f := range fields {
		b.WriteString(f + "\r\n")
	}
	return b.Bytes()
}

// startBody sends the head of a request with a body of n bytes, or in chunks if n is negative.
func (c *misbehaving) startBody(n int) bool {
	field := "Transfer-Encoding: chunked"
	if n >= 0 {
		field = fmt.Sprint("Content-Length: ", n)
	}
	return c.put(append(c.head(c.door.method, c.path(), field), "\r\n"...))
}

// kind is one way to misbehave.
type kind struct {
	name string
	run  func(c *misbehaving)
}

// kinds lists the ways over HTTP/1.1.
var kinds = []kind{
	{"bodies in one piece", func(c *misbehaving) {
		if c.startBody(legalBody) {
			c.put(make([]byte, legalBody-1))
		}
	}},
	{"bodies in small pieces", func(c *misbehaving) {
		if !c.startBody(legalBody) {
			return
		}
		for left := legalBody - 1; left > 0; left -= smallPiece {
			if !c.put(make([]byte, min(left, smallPiece))) {
				return
			}
		}
	}},
	{"bodies in chunks", func(c *misbehaving) {
		if !c.startBody(-1) {
			return
		}
		chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", smallPiece, make([]byte, smallPiece))
		for left := legalBody; left > 0; left -= smallPiece {
			if !c.put(chunk) {
				return
			}
		}
	}},
	{"bodies over the limit", func(c *misbehaving) {
		n := hugeBody
		if c.number%2 == 1 {
			n = -1
		}
		if !c.startBody(n) {
			return
		}
		piece := fmt.Appendf(nil, "%x\r\n%s\r\n", smallPiece, make([]byte, smallPiece))
		for left := sentOfHuge; left > 0 && c.put(piece); left -= smallPiece {
		}
	}},
	{"many short fields in the head", func(c *misbehaving) {
		c.put(append(c.head(c.door.method, c.path(), "Content-Length: 0", strings.Repeat("a:b\r\n", shortFields)), "\r\n"...))
	}},
	{"many different short fields in the head", func(c *misbehaving) {
		var fields strings.Builder
		for i := range differentFields {
			_, _ = fmt.Fprintf(&fields, "%x:\r\n", 0x100+i)
		}
		c.put(append(c.head(c.door.method, c.path(), "Content-Length: 10", fields.String()), "\r\n012345678"...))
	}},
	{"many short values in the body", func(c *misbehaving) {
		body := `{"version":2,"backends":[` + strings.Repeat("{},", shortValues) + `{}]}`
		if c.startBody(len(body)) {
			c.put([]byte(body))
		}
	}},
	{"heads that never end", func(c *misbehaving) {
		if !c.put(c.head(c.door.method, c.path())) {
			return
		}
		for i := range endlessFields {
			field := fmt.Sprintf("F%d: ", i)
			if !c.put([]byte(field + strings.Repeat("x", fieldSize-len(field)) + "\r\n")) {
				return
			}
		}
	}},
	{"requests sent ahead", func(c *misbehaving) {
		request := append(c.head(http.MethodGet, c.path()), "\r\n"...)
		for range sentAhead {
			if !c.put(request) {
				return
			}
		}
	}},
	{"slow senders", func(c *misbehaving) {
		slow := append(c.head(c.door.method, c.path()), strings.Repeat("X-Slow: 1\r\n", 100)...)
		if c.number%2 == 1 && c.startBody(legalBody) {
			slow = make([]byte, legalBody)
		}
		for end := time.Now().Add(slowTime); time.Now().Before(end) && c.put(slow[:1]); slow = slow[1:] {
			time.Sleep(slowPause)
		}
	}},
	{"slow readers", func(c *misbehaving) {
		path := c.path()
		if strings.HasPrefix(path, "/look/") {
			path = "/look/large"
		}
		if !c.put(append(c.head(http.MethodGet, path), "\r\n"...)) {
			return
		}
		one := make([]byte, 1)
		for end := time.Now().Add(slowTime); time.Now().Before(end); time.Sleep(slowPause) {
			_ = c.SetReadDeadline(time.Now().Add(slowPause))
			_, _ = c.Read(one)
		}
	}},
	{"requests that stop half-way", func(c *misbehaving) {
		h := c.head(c.door.method, c.path(), "Content-Length: 100")
		if c.number%2 == 1 {
			c.put(h[:len(h)/2])
			return
		}
		c.put(append(h, "\r\n0123456789"...))
	}},
	{"connections only opened", func(*misbehaving) {}},
}

// linkKinds lists the ways over a link between processes, whose messages follow their length.
var linkKinds = []kind{
	{"messages that stop short", func(c *misbehaving) {
		announced := []byte{0xfc, 0x00, 0x9f, 0xff, 0xff} // 4 bytes follow: 10 MiB less one byte
		if c.put(announced) {
			c.put(make([]byte, legalBody))
		}
	}},
	{"messages that only begin", func(c *misbehaving) { c.put([]byte{0xfc, 0x01}) }},
	{"connections only opened", func(*misbehaving) {}},
}

// mixed is all ways at once.
var mixed = kind{"all kinds mixed", func(c *misbehaving) { kinds[c.number%len(kinds)].run(c) }}
