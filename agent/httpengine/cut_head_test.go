package httpengine_test

import (
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"toucantiller.dev/agent/httpengine"
	"toucantiller.dev/endpoint"
)

// Guards against an answer whose connection ends, by a close or a reset, in the middle of its head
// and that is taken for whole: at any byte, behind an interim answer, and whatever its lines end
// with.
func TestAnswerCutInItsHead(t *testing.T) {
	const fields = "Content-Type: text/event-stream\r\nX: 1\r\n folded\r\nContent-Length: 0\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\n" + fields,
		"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 204 No Content\r\nX: 1\r\n\r\n",
		strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+fields, "\r\n", "\n"),
	} {
		t.Run(head[:len("HTTP/1.1 200")], func(t *testing.T) {
			for cut := range len(head) {
				submitCut(t, head[:cut], func(*net.TCPConn) {})
				submitCut(t, head[:cut], reset)
			}
		})
	}
}

// submitCut tests that a request fails whose answer ends after a part of its head.
func submitCut(t *testing.T, part string, end func(*net.TCPConn)) {
	t.Helper()
	e := httpengine.New(nil, earlyAnswer{part, end}.start(t))
	answer, err := e.Submit(t.Context(), &endpoint.Request{ID: "r", Method: http.MethodPost, Path: "/", Body: []byte("b")})
	if err == nil {
		_ = answer.Body.Close()
	}
	assert.Assert(t, err != nil, "%q", part)
	assert.Assert(t, !errors.Is(err, endpoint.ErrNotSent), "%q: %v", part, err)
}
