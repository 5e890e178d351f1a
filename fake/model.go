// Package fake holds small stand-ins for model engines and plain services. They are
// used by toucan-dev, tests and benchmarks.
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

// Behaviour is how a fake engine acts; it may be changed while it runs.
type Behaviour struct {
	// PrefillRate and DecodeRate are tokens per second of one request.
	PrefillRate float64
	DecodeRate  float64
	// Batch is the number of requests that run at full speed; more share that speed.
	Batch int
	// FailShare is the share of requests answered with status 500, in [0,1].
	FailShare float64
}

// Model is a fake model engine in the OpenAI format.
type Model struct {
	name      string
	behaviour atomic.Pointer[Behaviour]
	running   atomic.Int64
	count     atomic.Uint64

	mu   sync.Mutex
	seen []string
}

// NewModel returns a fake engine; name appears in its answers.
func NewModel(name string, b Behaviour) *Model {
	m := &Model{name: name}
	m.Set(b)
	return m
}

// Set changes the behaviour.
func (m *Model) Set(b Behaviour) { m.behaviour.Store(&b) }

// Running returns the number of requests in progress.
func (m *Model) Running() int { return int(m.running.Load()) }

// Seen returns the identities of the requests that ran, in order of arrival.
func (m *Model) Seen() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string(nil), m.seen...)
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

func (r *modelRequest) text() string {
	var b strings.Builder
	b.WriteString(r.Prompt)
	for _, m := range r.Messages {
		b.WriteString(m.Content)
	}
	return b.String()
}

const (
	fakeAnswerTokens  = 8
	fakeBytesPerToken = 4
)

// ServeHTTP answers chat and text completions.
func (m *Model) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var in modelRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	m.remember(r.Header.Get("X-Request-Id"))
	m.running.Add(1)
	defer m.running.Add(-1)
	b := m.behaviour.Load()
	if m.fails(b) {
		http.Error(w, `{"error":{"message":"engine failure"}}`, http.StatusInternalServerError)
		return
	}
	g := &generation{model: m, request: &in, w: w, r: r, behaviour: b, chat: strings.Contains(r.URL.Path, "chat")}
	g.run()
}

func (m *Model) remember(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seen = append(m.seen, id)
}

// fails spreads failures evenly, so that a run is the same each time.
func (m *Model) fails(b *Behaviour) bool {
	n := float64(m.count.Add(1))
	return int(n*b.FailShare) > int((n-1)*b.FailShare)
}

// generation is one answer in progress.
type generation struct {
	model     *Model
	request   *modelRequest
	w         http.ResponseWriter
	r         *http.Request
	behaviour *Behaviour
	chat      bool
}

func (g *generation) run() {
	prompt := g.request.text()
	promptTokens := len(prompt)/fakeBytesPerToken + 1
	if !g.sleep(float64(promptTokens) / g.behaviour.PrefillRate) {
		return
	}
	n := g.request.MaxTokens
	if n <= 0 || n > fakeAnswerTokens {
		n = max(fakeAnswerTokens, min(n, 4096))
	}
	if g.request.Stream {
		g.stream(n)
		return
	}
	if !g.sleep(float64(n) / g.behaviour.DecodeRate) {
		return
	}
	g.whole(n, promptTokens)
}

// sleep waits seconds, longer when more requests than the batch run. It returns false
// when the caller has gone.
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

func (g *generation) stream(n int) {
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

func (g *generation) whole(n, promptTokens int) {
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
