package fake

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Plain is a fake plain service. It counts, by request body, the calls that change state, so that
// tests can detect a call that was executed twice.
type Plain struct {
	name  string
	delay time.Duration

	mu     sync.Mutex
	writes map[string]int
	total  int
}

// NewPlain returns a fake service that answers after delay; name appears in its answers.
func NewPlain(name string, delay time.Duration) *Plain {
	return &Plain{name: name, delay: delay, writes: make(map[string]int)}
}

// Writes returns the number of calls with this body by methods other than GET and HEAD.
func (p *Plain) Writes(body string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.writes[body]
}

// ServeHTTP answers with a JSON object that echoes the method and path and numbers the write.
func (p *Plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	number := p.recordWrite(r.Method, string(body))
	time.Sleep(p.delay)
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"service":%q,"method":%q,"path":%q,"write":%d}`+"\n", p.name, r.Method, r.URL.Path, number)
}

// recordWrite counts a write and returns its sequence number. For a GET or HEAD it returns 0.
func (p *Plain) recordWrite(method, body string) int {
	if method == http.MethodGet || method == http.MethodHead {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writes[body]++
	p.total++
	return p.total
}
