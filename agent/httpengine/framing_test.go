package httpengine_test

import (
	"bufio"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"toucantiller.dev/agent/httpengine"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/link"
)

// Guards against the length of one answer that is taken for that of the next on the same connection,
// and against one that is missed since its bytes arrive singly.
func TestFramingOfAnswersOnOneConnection(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
	answers := []struct {
		text  string
		whole bool
	}{
		{chunked + "Content-Length: 2\r\n\r\n2\r\nok\r\n0\r\n\r\n", true},
		{chunked + "\r\n3\r\nok!\r\n0\r\n\r\n", true},
		{"HTTP/1.1 103 Early Hints\r\nContent-Length: 9\r\n\r\n" + chunked + "\r\n2\r\nok\r\n0\r\n\r\n", true},
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true},
		{chunked + "Content-Length:\r\n 3\r\n\r\n2\r\nok\r\n0\r\n\r\n", false},
	}
	network := link.NewMemory()
	l, err := network.Listen("engine:80")
	assert.NilError(t, err)
	var accepted atomic.Int32
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			r := bufio.NewReader(c)
			for _, a := range answers {
				if _, err := http.ReadRequest(r); err != nil {
					break
				}
				for i := range len(a.text) {
					_, _ = io.WriteString(c, a.text[i:i+1])
				}
			}
			_ = c.Close()
		}
	}()
	e := httpengine.New(network, "http://engine")
	for i, a := range slices.Concat(answers, answers[:1]) {
		answer, err := e.Submit(t.Context(), &endpoint.Request{ID: "r", Method: http.MethodPost, Path: "/"})
		assert.NilError(t, err, "%q", a.text)
		_, err = io.ReadAll(answer.Body)
		assert.Equal(t, err == nil, a.whole, "%q: %v", a.text, err)
		_ = answer.Body.Close()
		assert.Equal(t, accepted.Load(), int32(1+i/len(answers)), "a connection was used on after a broken answer, or not kept")
	}
	assert.NilError(t, l.Close())
}
