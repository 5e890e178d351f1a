package httpengine_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/agent/httpengine"
	"toucantiller.dev/endpoint"
)

// longUpload is a body that does not fit into the buffers of a connection.
var longUpload = make([]byte, 32<<20)

// earlyAnswer is a server that answers each request before it has read its body, and ends the
// connection while the body is still being written.
type earlyAnswer struct {
	answer string
	// end ends the connection.
	end func(c *net.TCPConn)
}

// start serves on loopback and returns the base URL.
func (s earlyAnswer) start(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return "http://" + l.Addr().String()
}

func (s earlyAnswer) serve(c net.Conn) {
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	_, _ = io.WriteString(c, s.answer)
	time.Sleep(time.Millisecond)
	s.end(c.(*net.TCPConn))
}

// reset ends the connection with a reset.
func reset(c *net.TCPConn) { _ = c.SetLinger(0) }

// drain ends the answer and reads the rest of the request.
func drain(c *net.TCPConn) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c)
}

// ignore ends the answer and leaves the rest of the request unread for longer than any test waits.
func ignore(c *net.TCPConn) {
	_ = c.CloseWrite()
	time.Sleep(time.Minute)
}

// upload sends a long body and reads the answer to its end.
func upload(t *testing.T, e *httpengine.Engine) (string, error) {
	r := &endpoint.Request{ID: "r", Method: http.MethodPost, Path: "/", Body: longUpload}
	answer, err := e.Submit(t.Context(), r)
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	b, err := io.ReadAll(answer.Body)
	return string(b), err
}

// Guards against the part of an answer that looks whole, since the reset that broke it off was
// reported to the write of the upload alone.
func TestResetDuringAnUploadIsNoEndOfAnAnswer(t *testing.T) {
	const tries = 100
	url := earlyAnswer{"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart", reset}.start(t)
	e := httpengine.New(nil, url)
	whole := 0
	for range tries {
		text, err := upload(t, e)
		assert.Assert(t, !errors.Is(err, endpoint.ErrNotSent), "the request was sent")
		if err == nil {
			assert.Equal(t, text, "part")
			whole++
		}
	}
	assert.Equal(t, whole, 0, "of %d answers that were broken off looked whole", tries)
}

// Guards against an early answer that is whole and reported as broken, or held up by the upload that
// goes on: its end, not that of the upload, ends it.
func TestEarlyAnswerIsWhole(t *testing.T) {
	for name, s := range map[string]earlyAnswer{
		"ends, request read":              {"HTTP/1.1 413 Too Large\r\n\r\nanswer", drain},
		"ends, request left":              {"HTTP/1.1 200 OK\r\n\r\nanswer", ignore},
		"ends, event stream":              {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: a\n\n", ignore},
		"length, request read":            {"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer", drain},
		"length, request left":            {"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer", ignore},
		"chunked, request left":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n", ignore},
		"HTTP/1.0, ends, request read":    {"HTTP/1.0 200 OK\r\n\r\nanswer", drain},
		"interim answer, ends, unread":    {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n\r\nanswer", ignore},
		"no body, request left":           {"HTTP/1.1 204 No Content\r\n\r\n", ignore},
		"length, connection to be closed": {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 6\r\n\r\nanswer", drain},
	} {
		t.Run(name, func(t *testing.T) {
			began := time.Now()
			text, err := upload(t, httpengine.New(nil, s.start(t)))
			assert.NilError(t, err)
			_, want, _ := strings.Cut(s.answer[strings.LastIndex(s.answer, "HTTP/"):], "\r\n\r\n")
			if strings.Contains(s.answer, "chunked") {
				want = "answer"
			}
			assert.Equal(t, text, want)
			assert.Assert(t, time.Since(began) < 10*time.Second, "the answer waited for the upload")
		})
	}
}
