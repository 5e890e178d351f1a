package gateway_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"gotest.tools/v3/assert"

	"toucantiller.dev/fake"
	"toucantiller.dev/link"
)

// Guards against answers that the official OpenAI client cannot read.
func TestOpenAIClient(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		w.addAgent("e1", "lm", fake.NewModel("lm", fake.Behaviour{PrefillRate: 1e5, DecodeRate: 1e3}))
		w.startGateway()
		client := openai.NewClient(option.WithBaseURL("http://gateway/v1"), option.WithAPIKey("key"), option.WithHTTPClient(w.client))
		ctx := context.Background()

		models, err := client.Models.List(ctx)
		assert.NilError(t, err)
		assert.Equal(t, models.Data[0].ID, "lm")

		question := openai.ChatCompletionNewParams{Model: "lm", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")}}
		whole, err := client.Chat.Completions.New(ctx, question)
		assert.NilError(t, err)
		assert.Assert(t, strings.HasPrefix(whole.Choices[0].Message.Content, "word1 "))

		stream := client.Chat.Completions.NewStreaming(ctx, question)
		text := ""
		for stream.Next() {
			text += stream.Current().Choices[0].Delta.Content
		}
		assert.NilError(t, stream.Err())
		assert.Equal(t, text, whole.Choices[0].Message.Content)

		question.Model = "nothing"
		_, err = client.Chat.Completions.New(ctx, question)
		var failure *openai.Error
		assert.Assert(t, errors.As(err, &failure), "%v", err)
		assert.Equal(t, failure.StatusCode, 404)
		assert.Equal(t, failure.Code, "unknown_model")
	})
}

// Guards against a refused call that reaches an endpoint, and against wrong statuses.
func TestRefusedCalls(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		engine, plain := &countingEngine{}, &countingEngine{}
		w.addAgent("e1", "lm", engine)
		w.addAgent("e2", "desk", plain)
		w.startGateway()
		big := strings.Repeat("x", 1<<10+1)
		for _, c := range []struct {
			name, method, path, body string
			headers                  []string
			status                   int
			code                     string
		}{
			{"bad JSON", "POST", "/v1/completions", "{", nil, 400, "bad_json"},
			{"chat without messages", "POST", "/v1/chat/completions", `{"model":"lm"}`, nil, 400, "bad_request"},
			{"empty chat", "POST", "/v1/chat/completions", `{"model":"lm","messages":[]}`, nil, 400, "bad_request"},
			{"answer below 0", "POST", "/v1/completions", `{"model":"lm","max_tokens":-1}`, nil, 400, "bad_request"},
			{"chat answer below 0", "POST", "/v1/chat/completions", `{"model":"lm","max_completion_tokens":-1,"messages":[{"role":"user","content":"x"}]}`, nil, 400, "bad_request"},
			{"bad timeout", "POST", booking, "{}", []string{"X-Request-Timeout-Ms", "0"}, 400, "bad_header"},
			{"bad tier", "POST", booking, "{}", []string{"X-Request-Tier", "gold"}, 400, "bad_header"},
			{"bad request ID", "POST", booking, "{}", []string{"X-Request-Id", "a b"}, 400, "bad_header"},
			{"long key", "POST", booking, "{}", []string{"Idempotency-Key", big[:300]}, 400, "bad_header"},
			{"no key", "POST", booking, "{}", []string{"Authorization", "none"}, 401, "missing_key"},
			{"unknown key", "POST", booking, "{}", []string{"Authorization", "Bearer x"}, 401, "unknown_key"},
			{"service forbidden", "POST", "/v1/completions", `{"model":"lm"}`, []string{"Authorization", "Bearer slow"}, 403, "service_forbidden"},
			{"tier forbidden", "POST", booking, "{}", []string{"Authorization", "Bearer slow", "X-Request-Tier", "counter"}, 403, "tier_forbidden"},
			{"unknown model", "POST", "/v1/completions", `{"model":"x"}`, nil, 404, "unknown_model"},
			{"unknown service", "POST", "/services/x/y", "", nil, 404, "unknown_service"},
			{"unknown path", "GET", "/other", "", nil, 404, "unknown_path"},
			{"method", "GET", "/v1/completions", "", nil, 405, "method_not_allowed"},
			{"too large", "POST", booking, big, nil, 413, "body_too_large"},
		} {
			a := w.send(context.Background(), c.method, c.path, c.body, c.headers...)
			assert.Equal(t, a.status, c.status, "%s: %s", c.name, a.body)
			a.expect(t, c.status, c.code, executionField("not_run"))
			assert.Equal(t, a.header.Get("Content-Type"), "application/problem+json", c.name)
		}
		assert.Equal(t, w.totalRuns(engine, plain), int64(0))
	})
}

// Guards against accounts that exceed their rate or concurrency, and against a refusal without
// Retry-After.
func TestAccountLimits(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		w.addAgent("e1", "desk", slowEngine(time.Second))
		w.startGateway()
		slowKey := []string{"Authorization", "Bearer slow"}
		w.post(booking, "{}", slowKey...).expect(t, 200)
		a := w.post(booking, "{}", slowKey...)
		a.expect(t, 429, "account_rate", executionField("not_run"))
		assert.Equal(t, a.header.Get("Retry-After"), "1")

		first := make(chan answer, 1)
		go func() { first <- w.post(booking, "{}", "Authorization", "Bearer one") }()
		time.Sleep(100 * time.Millisecond)
		w.post(booking, "{}", "Authorization", "Bearer one").expect(t, 429, "account_concurrency")
		(<-first).expect(t, 200)
	})
}

// Guards against a request that has no endpoint or whose deadline passes in the queue and is
// not reported as not run, and against a deadline that passes in the engine and is reported as
// not run.
func TestUnavailableAndDeadline(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		w.startGateway()
		a := w.post(booking, "{}")
		a.expect(t, 503, "no_endpoint", executionField("not_run"))
		assert.Equal(t, a.header.Get("Retry-After"), "1")
		engine := slowEngine(5 * time.Second)
		w.addAgent("e1", "desk", engine)
		first := make(chan answer, 1)
		go func() { first <- w.post(booking, "{}", "X-Request-Timeout-Ms", "3000") }()
		time.Sleep(100 * time.Millisecond)
		w.post(booking, "{}", "X-Request-Timeout-Ms", "1000").expect(t, 504, "deadline", executionField("not_run"))
		(<-first).expect(t, 504, "deadline", executionField("unknown"))
		assert.Equal(t, engine.runs.Load(), int64(1))
	})
}

// Guards against headers that are not passed to the engine or to the caller.
func TestHeadersPass(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		var got http.Header
		w.addAgent("e1", "desk", &countingEngine{serve: func(rw http.ResponseWriter, r *http.Request, _ int64) {
			got = r.Header
			_, _ = io.WriteString(rw, r.URL.RequestURI())
		}})
		w.startGateway()
		a := w.send(context.Background(), "DELETE", "/services/desk/a%20b?c=d%26e", "", "Traceparent", "00-1-2-01", "X-Request-Id", "r1")
		a.expect(t, 200, "/a%20b?c=d%26e")
		assert.Equal(t, got.Get("Traceparent"), "00-1-2-01")
		assert.Assert(t, strings.HasPrefix(got.Get("X-Request-Id"), "r1/"))
		assert.Equal(t, got.Get("Authorization"), "")
		assert.Equal(t, a.header.Get("X-Request-Id"), "r1")
		assert.Equal(t, a.header.Get("X-Endpoint-Id"), "e1")
		assert.Equal(t, a.header.Get("X-Endpoint-Version"), "1")
		assert.Equal(t, a.header.Get("X-Config-Revision"), "1")
	})
}

// truncatingEngine returns an engine that aborts its answer after a number of bytes.
func truncatingEngine(contentType string, size int) *countingEngine {
	return &countingEngine{serve: func(rw http.ResponseWriter, _ *http.Request, _ int64) {
		rw.Header().Set("Content-Type", contentType)
		_, _ = rw.Write([]byte("data: " + strings.Repeat("x", size) + "\n\n"))
		_ = http.NewResponseController(rw).Flush()
		panic(http.ErrAbortHandler)
	}}
}

// Guards against an aborted answer that looks complete.
func TestBrokenAnswers(t *testing.T) {
	for _, c := range []struct {
		name, contentType string
		size              int
		check             func(t *testing.T, a answer)
	}{
		{"held back", "application/json", 100, func(t *testing.T, a answer) {
			a.expect(t, 502, "engine_lost", executionField("unknown"))
		}},
		{"stream", "text/event-stream", 100, func(t *testing.T, a answer) {
			a.expect(t, 200, "event: error\n", executionField("unknown"))
		}},
		{"large", "application/json", 2 << 20, func(t *testing.T, a answer) {
			assert.ErrorContains(t, a.err, "EOF")
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T, w *testCluster) {
				engine := truncatingEngine(c.contentType, c.size)
				w.addAgent("e1", "desk", engine)
				w.startGateway()
				c.check(t, w.post(booking, "{}"))
				assert.Equal(t, engine.runs.Load(), int64(1))
			})
		})
	}
}

// Guards against a stream that ends early though the engine can resume it, against bytes lost
// or repeated where it is resumed, and against a second run.
func TestStreamIsResumed(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		var text strings.Builder
		for i := range 200 {
			_, _ = fmt.Fprintf(&text, "data: event %d\n\n", i)
		}
		engine := &fake.Resumable{Text: text.String(), BreakEvery: 1000}
		w.addEngine("e1", "desk", engine)
		w.startGateway()
		a := w.post(booking, "{}")
		assert.NilError(t, a.err)
		assert.Equal(t, a.body, text.String())
		assert.Equal(t, engine.Runs(), 1)
		assert.Equal(t, engine.Resumes(), len(text.String())/1000)
	})
}

// Guards against a connection that goes silent during a stream and leaves the caller with an
// open stream or one that looks complete.
func TestSilenceInStream(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		w.addAgent("e1", "lm", fake.NewModel("lm", fake.Behaviour{PrefillRate: 1e5, DecodeRate: 1}))
		w.startGateway()
		go func() {
			time.Sleep(2500 * time.Millisecond)
			w.network.SetFault("agent-e1", link.FaultSilence)
		}()
		begin := time.Now()
		a := w.post("/v1/completions", `{"model":"lm","prompt":"x","stream":true}`)
		a.expect(t, 200, "word1", "event: error\n", executionField("unknown"))
		assert.Assert(t, !strings.Contains(a.body, "[DONE]"))
		assert.Assert(t, time.Since(begin) < 4500*time.Millisecond, "took %s", time.Since(begin))
	})
}

// Guards against a caller that stops reading its stream and so delays the streams of others
// over the same connection.
func TestStalledReaderDelaysNoOtherStream(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		flood := &countingEngine{serve: func(rw http.ResponseWriter, r *http.Request, _ int64) {
			rw.Header().Set("Content-Type", "text/event-stream")
			time.Sleep(10 * time.Millisecond)
			size := 1
			if strings.HasSuffix(r.URL.Path, "/large") {
				size = 8 << 20
			}
			_, _ = rw.Write(append(bytes.Repeat([]byte("x"), size), "\n\n"...))
		}}
		a := w.addAgent("e1", "desk", flood)
		w.startGateway()
		for range 30 {
			w.post("/services/desk/small", "{}").expect(t, 200)
		}
		assert.Assert(t, a.Load().Limit > 1)
		reader := w.openStalled("/services/desk/large")
		synctest.Wait()
		begin := time.Now()
		w.post("/services/desk/small", "{}").expect(t, 200)
		assert.Assert(t, time.Since(begin) < 100*time.Millisecond, "took %s", time.Since(begin))
		reader()
	})
}
