package httpengine_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"toucantiller.dev/agent/httpengine"
	"toucantiller.dev/endpoint"
)

// answerOnce serves one request on loopback with the bytes of an answer and ends the connection,
// with a reset once that channel is closed, if there is one. It returns the base URL.
func answerOnce(t *testing.T, answer string, reset chan struct{}) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		req, err := http.ReadRequest(bufio.NewReader(c))
		assert.NilError(t, err)
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(c, answer)
		if reset != nil {
			<-reset
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	}()
	return "http://" + l.Addr().String()
}

// Guards against a broken answer that looks complete, and a complete one that looks broken: an
// answer may end with its connection, but a stream not inside an event.
func TestEndOfAnAnswerWithoutLength(t *testing.T) {
	const (
		stream  = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
		other   = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"
		chunked = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
		length  = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: "
	)
	for answer, whole := range map[string]bool{
		stream:                        true,
		stream + "data: a\n\n":        true,
		stream + "data: a\r\n\r\n":    true,
		stream + "data: a\r\r":        true,
		stream + "data: a\r\n\n":      true,
		stream + "data: a\n\r\n":      true,
		stream + "data: a\r\r\n":      true,
		stream + "data: a\r\n\r":      true,
		stream + ":\n\n":              true,
		stream + "data: a\n":          false,
		stream + "data: a\r\n":        false,
		stream + "data: a":            false,
		stream + "data: a\n\nid: 2":   false,
		stream + "data: a\n\nid: 2\n": false,
		stream + "\n":                 true,
		stream + "\r\n":               true,
		"HTTP/1.1 200 OK\r\nContent-Type: Text/Event-Stream; charset=utf-8\r\n\r\ndata: a\n": false,
		"HTTP/1.0 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: a\n":                false,
		"HTTP/1.0 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: a\n\n":              true,
		other + "any bytes": true,
		other:               true,
		chunked + "9\r\ndata: a\n\n\r\n0\r\n\r\n":           true,
		chunked + "9\r\ndata: a\n\n\r\n":                    false,
		chunked + "8\r\ndata: a\n\r\n0\r\n\r\n":             false,
		length + "9\r\n\r\ndata: a\n\n":                     true,
		length + "18\r\n\r\ndata: a\n\n":                    false,
		length + "8\r\n\r\ndata: a\n":                       false,
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort": false,
	} {
		got, err := read(t, answerOnce(t, answer, nil))
		assert.Equal(t, err == nil, whole, "%q: %q, %v", answer, got, err)
	}
}

// Guards against a reset connection that looks like the end of an answer.
func TestResetIsNoEndOfAnAnswer(t *testing.T) {
	for _, head := range []string{"Content-Type: text/event-stream\r\n", ""} {
		reset := make(chan struct{})
		url := answerOnce(t, "HTTP/1.1 200 OK\r\n"+head+"\r\ndata: a\n\n", reset)
		answer, err := httpengine.New(nil, url).Submit(t.Context(), &endpoint.Request{ID: "r", Method: http.MethodPost, Path: "/", Body: []byte("b")})
		assert.NilError(t, err)
		_, err = io.ReadFull(answer.Body, make([]byte, len("data: a\n\n")))
		assert.NilError(t, err)
		close(reset)
		_, err = io.ReadAll(answer.Body)
		assert.Assert(t, err != nil, "%q: a reset looks like an end", head)
		_ = answer.Body.Close()
	}
}

// read sends one request and reads the answer to its end.
func read(t *testing.T, url string) (string, error) {
	answer, err := httpengine.New(nil, url).Submit(t.Context(), &endpoint.Request{ID: "r", Method: http.MethodPost, Path: "/", Body: []byte("b")})
	assert.NilError(t, err)
	defer answer.Body.Close()
	b, err := io.ReadAll(answer.Body)
	return string(b), err
}
