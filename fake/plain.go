package fake

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Plain is a fake plain service. It counts how often each body was run by a call that
// changes state, so that tests can see a doubled call.
type Plain struct {
	name  string
	delay time.Duration

	mu     sync.Mutex
	writes map[string]int
	total  int
}

// NewPlain returns a fake service that answers after delay.
func NewPlain(name string, delay time.Duration) *Plain {
	return &Plain{name: name, delay: delay, writes: make(map[string]int)}
}

// Writes returns how often a body was run by POST, PUT, PATCH or DELETE.
func (p *Plain) Writes(body string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.writes[body]
}

// ServeHTTP answers with a small JSON document.
func (p *Plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	number := p.record(r.Method, string(body))
	time.Sleep(p.delay)
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"service":%q,"method":%q,"path":%q,"write":%d}`+"\n", p.name, r.Method, r.URL.Path, number)
}

// record returns the running number of writes; reads do not count.
func (p *Plain) record(method, body string) int {
	if method == http.MethodGet || method == http.MethodHead {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writes[body]++
	p.total++
	return p.total
}
