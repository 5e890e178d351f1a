package dispatch_test

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/dispatch"
)

// encodedAnswer returns the frames of a whole answer "hello world" to a dispatch.
func encodedAnswer(id dispatch.ID) []byte {
	var out bytes.Buffer
	w := dispatch.NewWriter(&out, id)
	_ = w.WriteMessage(dispatch.FrameAccepted, &dispatch.Accepted{Revision: 3})
	_ = w.WriteData([]byte("hello "))
	_ = w.WriteData([]byte("world"))
	_ = w.WriteMessage(dispatch.FrameEnd, &dispatch.End{Length: w.Offset()})
	return out.Bytes()
}

func readAll(r *dispatch.Reader) (answer []byte, err error) {
	for {
		t, p, err := r.Next()
		if err != nil {
			return answer, err
		}
		if t == dispatch.FrameData {
			answer = append(answer, p...)
		}
	}
}

// Guards against a reader that accepts as a whole answer to this dispatch one that belongs
// to another, is truncated, or has repeated or missing bytes.
func TestReaderRefusesForeignAndBrokenFrames(t *testing.T) {
	id := dispatch.ID{Request: "a", Attempt: 1, Gateway: 2}
	whole := encodedAnswer(id)
	answer, err := readAll(dispatch.NewReader(bytes.NewReader(whole), id))
	assert.ErrorIs(t, err, io.EOF)
	assert.Equal(t, string(answer), "hello world")

	_, err = readAll(dispatch.NewReader(bytes.NewReader(whole), dispatch.ID{Request: "b", Attempt: 1, Gateway: 2}))
	assert.ErrorIs(t, err, dispatch.ErrForeignFrame)
	_, err = readAll(dispatch.NewReader(bytes.NewReader(whole[:len(whole)-1]), id))
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)

	data := bytes.Index(whole, []byte("hello ")) - 21
	second := bytes.Index(whole, []byte("world")) - 21
	first := whole[data:second]
	_, err = readAll(dispatch.NewReader(bytes.NewReader(bytes.Replace(whole, first, nil, 1)), id))
	assert.ErrorIs(t, err, dispatch.ErrGap)
	_, err = readAll(dispatch.NewReader(bytes.NewReader(bytes.Replace(whole, first, append(bytes.Clone(first), first...), 1)), id))
	assert.ErrorIs(t, err, dispatch.ErrGap)
}

// Guards against frames from a faulty peer that crash the reader, make it allocate
// beyond the bound, or pass as bytes that were never sent.
func FuzzReader(f *testing.F) {
	id := dispatch.ID{Request: "a", Attempt: 1, Gateway: 2}
	f.Add(encodedAnswer(id))
	f.Add([]byte{4, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{4, 0, 0, 0, 8, 0, 0, 0, 0, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, in []byte) {
		r := dispatch.NewReader(bytes.NewReader(in), id)
		var total int64
		for {
			kind, p, err := r.Next()
			if err != nil {
				known := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, dispatch.ErrForeignFrame) ||
					errors.Is(err, dispatch.ErrGap) || errors.Is(err, dispatch.ErrMalformed)
				assert.Assert(t, known, "%v", err)
				return
			}
			assert.Assert(t, len(p) <= dispatch.MaxFrame)
			if kind == dispatch.FrameData {
				total += int64(len(p))
				assert.Equal(t, r.Offset(), total)
				continue
			}
			var m dispatch.Accepted
			_ = dispatch.Decode(p, &m)
		}
	})
}

// canonicalHeaders returns headers as a server of net/http receives them.
func canonicalHeaders(sent http.Header) http.Header {
	out := make(http.Header, len(sent))
	for name, values := range sent {
		out[http.CanonicalHeaderKey(name)] = values
	}
	return out
}

// Guards against headers from a faulty peer that crash the agent or change when they are
// parsed and written again.
func FuzzHeader(f *testing.F) {
	f.Add("r1", "1;7;64;0;3;f4240;10;20", "desk", "/x")
	f.Add("r1", "ffffffffffffffff;7;64;0;3;f4240;10;20", "", "")
	f.Add("", "1;2", "x", "y")
	f.Fuzz(func(t *testing.T, request, numbers, service, path string) {
		in := http.Header{"Toucan-Dispatch": {numbers + ";" + request}, "Toucan-Service": {service}, "Toucan-Path": {path}}
		h, err := dispatch.ReadHeader(in)
		if err != nil {
			return
		}
		assert.Assert(t, h.Timeout >= 0 && h.Tier >= 0 && h.PromptTokens >= 0 && h.AnswerTokens >= 0)
		out := make(http.Header)
		h.Write(out)
		again, err := dispatch.ReadHeader(canonicalHeaders(out))
		assert.NilError(t, err)
		assert.DeepEqual(t, h, again)
	})
}

// Guards against a header field that is lost between Write and ReadHeader.
func TestHeaderRoundTrip(t *testing.T) {
	h := &dispatch.Header{
		ID: dispatch.ID{Request: "r;1", Attempt: 3, Gateway: 1<<64 - 1}, Agent: 1 << 63, Service: "s", Version: "v", Route: "o", Account: "a",
		Method: "PUT", Path: "/p?q=1", Tier: 2, Revision: 9, Timeout: 1500 * time.Microsecond, PromptTokens: 7, AnswerTokens: 8,
		Claim: "a/k", Link: "127.0.0.1:1", Pass: http.Header{"Traceparent": {"00-1"}},
	}
	out := make(http.Header)
	h.Write(out)
	again, err := dispatch.ReadHeader(canonicalHeaders(out))
	assert.NilError(t, err)
	assert.DeepEqual(t, h, again)
}
