package httpengine_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/agent/httpengine"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/link"
)

// answerBytes is an HTTP server that answers the first request of a connection with the bytes
// first, then with the bytes repeated until its peer closes the connection.
type answerBytes struct{ first, repeated string }

// start serves one connection of a network. The channel is closed when the peer has closed it.
func (a answerBytes) start(t *testing.T, network link.Network) (closed chan struct{}) {
	l, err := network.Listen("engine:1")
	assert.NilError(t, err)
	closed = make(chan struct{})
	go func() {
		defer close(closed)
		defer func() { _ = l.Close() }()
		c, err := l.Accept()
		assert.NilError(t, err)
		defer func() { _ = c.Close() }()
		_, err = http.ReadRequest(bufio.NewReader(c))
		assert.NilError(t, err)
		_, err = io.WriteString(c, a.first)
		for err == nil && a.repeated != "" {
			_, err = io.WriteString(c, strings.Repeat(a.repeated, 100))
			time.Sleep(time.Millisecond)
		}
	}()
	return closed
}

// Guards against time lines and logs that fill the memory with the malformed heads of answers,
// which the errors of net/http quote in full.
func TestErrorTextOfAMalformedHeadIsBounded(t *testing.T) {
	for _, head := range []string{strings.Repeat("\x00", 60<<10) + "\r\n\r\n", "HTTP/1.1 " + strings.Repeat("9", 60<<10) + "\r\n\r\n"} {
		synctest.Test(t, func(t *testing.T) {
			network := link.NewMemory()
			closed := answerBytes{first: head}.start(t, network)
			_, err := httpengine.New(network, "http://engine:1").Submit(t.Context(), &endpoint.Request{ID: "r", Method: http.MethodPost, Path: "/", Body: []byte("b")})
			assert.Assert(t, err != nil && !errors.Is(err, endpoint.ErrNotSent))
			assert.Assert(t, len(err.Error()) < 1<<10, "%d bytes", len(err.Error()))
			<-closed
		})
	}
}

// Guards against unbounded memory use when an engine sends bytes without end after the head of an
// answer: beyond its length, in its chunk extensions or trailers, or while its reader waits or
// has given up.
func TestBodyWithoutEndIsBounded(t *testing.T) {
	const (
		chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		trailer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n0\r\n"
		ok      = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	)
	for name, c := range map[string]struct {
		answer answerBytes
		// reads is set if the body is read, fails if that must fail.
		reads, fails bool
	}{
		"beyond its length":     {answerBytes{ok, "x"}, true, false},
		"chunk extension":       {answerBytes{chunked + "2;", "x"}, true, true},
		"chunk extensions":      {answerBytes{chunked, "1;" + strings.Repeat("x", 3000) + "\r\no\r\n"}, true, true},
		"chunk length":          {answerBytes{chunked, "0"}, true, true},
		"trailers":              {answerBytes{trailer, "X: abcdefgh\r\n"}, true, true},
		"trailer line":          {answerBytes{trailer + "X: ", "x"}, true, true},
		"after the last chunk":  {answerBytes{chunked + "2\r\nok\r\n0\r\n\r\n", "x"}, true, false},
		"reader has given up":   {answerBytes{chunked, "5\r\nabcde\r\n"}, false, false},
		"no length, given up":   {answerBytes{"HTTP/1.1 200 OK\r\n\r\n", "x"}, false, false},
		"known length given up": {answerBytes{"HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n", "x"}, false, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			network := &countingNetwork{Network: link.NewMemory()}
			closed := c.answer.start(t, network)
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			e := httpengine.New(network, "http://engine:1")
			answer, err := e.Submit(ctx, &endpoint.Request{ID: "r", Method: http.MethodPost, Path: "/", Body: []byte("body")})
			assert.NilError(t, err, name)
			if c.reads {
				_, err = io.Copy(io.Discard, answer.Body)
				assert.Equal(t, err != nil, c.fails, "%s: %v", name, err)
			}
			time.Sleep(time.Second)
			_ = answer.Body.Close()
			<-closed
			const maxRead = 512 << 10
			assert.Assert(t, network.bytes.Load() < maxRead, "%s: %d bytes were read", name, network.bytes.Load())
		})
	}
}
