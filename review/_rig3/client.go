package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
}

func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// request is one client attempt.
type request struct {
	gateway string
	method  string
	path    string
	key     string
	body    string
	tokens  string
	wait    time.Duration
	header  map[string]string
}

// outcome is what the client saw of its attempt.
type outcome struct {
	id     string
	sent   time.Time
	ended  time.Time
	status int // 0 without an answer
	whole  bool
	body   string
	seal   string
	err    error
}

func (o *outcome) took() time.Duration { return o.ended.Sub(o.sent) }

// client sends attempts with ids of their own.
type client struct {
	rec  *recorder
	http http.Client
	mu   sync.Mutex
	n    int
	name string
}

func newClient(rec *recorder, name string) *client {
	return &client{rec: rec, name: name, http: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}}}
}

func (c *client) send(r request) outcome {
	c.mu.Lock()
	c.n++
	o := outcome{id: fmt.Sprintf("%s%012x", c.name, c.n)}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), r.wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+r.gateway+r.path, strings.NewReader(r.body))
	if err != nil {
		o.err = err
		return o
	}
	req.Host = "mill.example"
	req.Header.Set(attemptID, o.id)
	req.Header.Set(timeoutMS, strconv.FormatInt(r.wait.Milliseconds(), 10))
	if r.key != "" {
		req.Header.Set(credential, r.key)
	}
	if r.tokens != "" {
		req.Header.Set(tokenCount, r.tokens)
		req.Header.Set("X-Toucantiller-Model", "m")
		req.Header.Set("X-Toucantiller-Prompt-Prefix", "5c1e07a2:60,"+o.id+":400")
	}
	for k, v := range r.header {
		req.Header.Set(k, v)
	}
	o.sent = time.Now()
	resp, err := c.http.Do(req)
	if err == nil {
		o.status, o.seal = resp.StatusCode, resp.Header.Get(seal)
		var b []byte
		b, err = io.ReadAll(resp.Body)
		o.body, o.whole = string(b), err == nil
		_ = resp.Body.Close()
	}
	o.err, o.ended = err, time.Now()
	c.rec.note("client %s: sent at %.3f, status %d, whole %t, after %d ms, %v", o.id, o.sent.Sub(c.rec.began).Seconds(), o.status, o.whole, o.took().Milliseconds(), errText(err))
	return o
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
