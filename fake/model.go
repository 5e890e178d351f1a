// Package fake implements fake model engines, fake plain services and a load generator for
// toucan-dev, tests and benchmarks.
package fake

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Behaviour configures the speed and failures of a fake engine. Model.SetBehaviour replaces it
// while the engine runs.
type Behaviour struct {
	// PrefillRate and DecodeRate are the prompt and answer tokens per second of one request.
	PrefillRate float64
	DecodeRate  float64
	// Batch is the number of requests that run concurrently at full speed. With more, all slow
	// down in proportion; 0 means no limit.
	Batch int
	// FailShare is the fraction of requests answered with status 500, in [0,1].
	FailShare float64
}

// Model is a fake model engine that serves the OpenAI completion APIs.
type Model struct {
	name      string
	behaviour atomic.Pointer[Behaviour]
	running   atomic.Int64
	count     atomic.Uint64

	mu         sync.Mutex
	requestIDs []string
}

// NewModel returns a fake engine with behaviour b.
func NewModel(name string, b Behaviour) *Model {
	m := &Model{name: name}
	m.SetBehaviour(b)
	return m
}

// SetBehaviour replaces the behaviour. Requests in progress keep the previous one.
func (m *Model) SetBehaviour(b Behaviour) { m.behaviour.Store(&b) }

// Running returns the number of requests in progress.
func (m *Model) Running() int { return int(m.running.Load()) }

// RequestIDs returns the X-Request-Id headers of the requests received, in order of arrival.
func (m *Model) RequestIDs() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string(nil), m.requestIDs...)
}

type modelRequest struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	Prompt    string `json:"prompt"`
	Messages  []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

func (r *modelRequest) promptText() string {
	var b strings.Builder
	b.WriteString(r.Prompt)
	for _, m := range r.Messages {
		b.WriteString(m.Content)
	}
	return b.String()
}

const (
	defaultAnswerTokens = 8
	bytesPerToken       = 4
)

// ServeHTTP answers chat and text completions, streamed or whole. A path that contains "chat" is a
// chat completion.
func (m *Model) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var in modelRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	m.recordRequest(r.Header.Get("X-Request-Id"))
	m.running.Add(1)
	defer m.running.Add(-1)
	b := m.behaviour.Load()
	if m.nextFails(b) {
		http.Error(w, `{"error":{"message":"engine failure"}}`, http.StatusInternalServerError)
		return
	}
	g := &generation{model: m, request: &in, w: w, r: r, behaviour: b, chat: strings.Contains(r.URL.Path, "chat")}
	g.run()
}

func (m *Model) recordRequest(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.requestIDs = append(m.requestIDs, id)
}

// nextFails counts a request and reports whether it must fail. Failures are spaced evenly instead of
// randomly, so that runs are reproducible.
func (m *Model) nextFails(b *Behaviour) bool {
	n := float64(m.count.Add(1))
	return int(n*b.FailShare) > int((n-1)*b.FailShare)
}

// generation generates the answer to one request.
type generation struct {
	model     *Model
	request   *modelRequest
	w         http.ResponseWriter
	r         *http.Request
	behaviour *Behaviour
	chat      bool
}

func (g *generation) run() {
	prompt := g.request.promptText()
	promptTokens := len(prompt)/bytesPerToken + 1
	if !g.sleep(float64(promptTokens) / g.behaviour.PrefillRate) {
		return
	}
	n := g.request.MaxTokens
	if n <= 0 || n > defaultAnswerTokens {
		n = max(defaultAnswerTokens, min(n, 4096))
	}
	if g.request.Stream {
		g.writeStream(n)
		return
	}
	if !g.sleep(float64(n) / g.behaviour.DecodeRate) {
		return
	}
	g.writeWhole(n, promptTokens)
}

// sleep waits for the given seconds, prolonged in proportion when more than Batch requests run.
// It returns false if the client disconnects first.
func (g *generation) sleep(seconds float64) bool {
	if g.behaviour.Batch > 0 {
		if over := float64(g.model.running.Load()) / float64(g.behaviour.Batch); over > 1 {
			seconds *= over
		}
	}
	t := time.NewTimer(time.Duration(seconds * float64(time.Second)))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-g.r.Context().Done():
		return false
	}
}

func (g *generation) writeStream(n int) {
	g.w.Header().Set("Content-Type", "text/event-stream")
	f, _ := g.w.(http.Flusher)
	for i := range n {
		if i > 0 && !g.sleep(1/g.behaviour.DecodeRate) {
			return
		}
		finish := "null"
		if i == n-1 {
			finish = `"stop"`
		}
		_, _ = fmt.Fprintf(g.w, "data: %s\n\n", g.chunk(i, finish))
		if f != nil {
			f.Flush()
		}
	}
	_, _ = fmt.Fprint(g.w, "data: [DONE]\n\n")
}

func (g *generation) word(i int) string { return fmt.Sprintf("word%d ", i+1) }

func (g *generation) chunk(i int, finish string) string {
	if g.chat {
		return fmt.Sprintf(`{"id":"cmpl","object":"chat.completion.chunk","created":0,"model":%q,"choices":[{"index":0,"delta":{"content":%q},"finish_reason":%s}]}`, g.request.Model, g.word(i), finish)
	}
	return fmt.Sprintf(`{"id":"cmpl","object":"text_completion","created":0,"model":%q,"choices":[{"index":0,"text":%q,"finish_reason":%s}]}`, g.request.Model, g.word(i), finish)
}

func (g *generation) writeWhole(n, promptTokens int) {
	var text strings.Builder
	for i := range n {
		text.WriteString(g.word(i))
	}
	choice, object := fmt.Sprintf(`"text":%q`, text.String()), "text_completion"
	if g.chat {
		choice, object = fmt.Sprintf(`"message":{"role":"assistant","content":%q}`, text.String()), "chat.completion"
	}
	g.w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(g.w, `{"id":"cmpl","object":%q,"created":0,"model":%q,"choices":[{"index":0,%s,"finish_reason":"stop"}],"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}}`+"\n",
		object, g.request.Model, choice, promptTokens, n, promptTokens+n)
}
