package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	evacuateClients  = 36
	evacuateGateways = 3
	evacuateTime     = 90 * time.Second
	// evacuateHold is how long a zone is empty, and the pause until the next one is emptied.
	evacuateHold = time.Second
	// moreRoutes is the growth of one big_config.
	moreRoutes = 1400
)

// grownDocument returns a configuration with more routes, and that of the clients behind them.
func grownDocument(more int) map[string]any {
	doc := document(1)
	route := func(name, prefix string) map[string]any {
		return map[string]any{"name": name, "host": "ficu95.example", "path_prefix": prefix, "type": "unsafe", "timeout_ms": 5000, "slo_ms": 1000, "priority": 2, "backend": "desk", "max_attempts": 1, "public": false}
	}
	routes := doc["routes"].([]map[string]any)
	for i := range more {
		routes = append(routes, route(fmt.Sprintf("r-more%d", i), fmt.Sprintf("/more%d/", i)))
	}
	doc["routes"] = append(routes, route("r-last", "/last/"))
	return doc
}

// evacuateRun is what clients and platform saw.
type evacuateRun struct {
	record  *record
	d       *deployment
	servers []*server
	started [evacuateGateways]atomic.Int64

	changes, sent, ok, notFound, other, cut, lost, crashes atomic.Int64
}

func evacuateCase(r *record, trouble bool) int {
	d, err := newDeployment()
	if err != nil {
		r.line("%v", err)
		return couldNot
	}
	defer d.stop()
	run := &evacuateRun{record: r, d: d}
	if err := run.prepare(); err != nil {
		r.line("%v", err)
		return couldNot
	}
	for _, s := range run.servers {
		defer s.stop()
	}
	ctx, cancel := context.WithTimeout(context.Background(), evacuateTime)
	defer cancel()
	var running sync.WaitGroup
	for i := range d.gateways {
		running.Go(func() { run.watch(ctx, i) })
	}
	if trouble {
		running.Go(func() { run.operate(ctx) })
	}
	for c := range evacuateClients {
		running.Go(func() { run.client(ctx, c) })
	}
	running.Go(func() {
		for ; ctx.Err() == nil; time.Sleep(time.Second) {
			r.line("so far %d requests sent, %d answered 200", run.sent.Load(), run.ok.Load())
		}
	})
	running.Wait()
	r.line("%d evacuations and returns acknowledged; %d requests sent, %d answered 200, %d with 404, %d with other statuses, %d without an answer; gateways ended by themselves %d times",
		run.changes.Load(), run.sent.Load(), run.ok.Load(), run.notFound.Load(), run.other.Load(), run.cut.Load(), run.crashes.Load())
	r.line("passed on to a sound server from a kept connection of a machine in touch, then closed without an answer: %d (more than %d break LOST)", run.lost.Load(), lostAllowed)
	if run.ok.Load() == 0 {
		return couldNot
	}
	if run.lost.Load() > lostAllowed {
		return broken
	}
	return held
}

func (e *evacuateRun) prepare() error {
	if err := e.d.startControl(); err != nil {
		return err
	}
	if err := e.d.startGateways(evacuateGateways); err != nil {
		return err
	}
	for i := range 3 {
		s := &server{id: fmt.Sprintf("i-desk%d", i), service: "desk", zone: zones[i], version: "v1", address: at(e.d.ip(classServer, i), 8080), slots: 24, work: 5 * time.Millisecond}
		if err := s.start(e.d, s.address); err != nil {
			return err
		}
		e.servers = append(e.servers, s)
	}
	if status, answer, err := e.d.order(http.MethodPut, "/config", grownDocument(moreRoutes), 15*time.Second); err != nil || status != http.StatusOK {
		return fmt.Errorf("config: %d %s %w", status, answer, err)
	}
	for i := range e.d.gateways {
		if err := e.d.ready(i, 15*time.Second); err != nil {
			return err
		}
		e.started[i].Store(time.Now().UnixNano())
	}
	time.Sleep(contact + time.Second)
	return nil
}

// watch plays the platform: a process that ends is started again after a short delay.
func (e *evacuateRun) watch(ctx context.Context, i int) {
	p := e.d.gateways[i]
	for ; ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		if p.running() {
			continue
		}
		e.crashes.Add(1)
		e.record.line("gateway %d ended by itself: %s", i, lastError(p.log))
		time.Sleep(restartDelay)
		if err := p.start(); err != nil {
			e.record.line("%v", err)
			return
		}
		_ = e.d.ready(i, 10*time.Second)
		e.started[i].Store(time.Now().UnixNano())
	}
}

// lastError returns the first lines of the last error in a log.
func lastError(log string) string {
	content, _ := os.ReadFile(log)
	text := string(content)
	if at := max(strings.LastIndex(text, "fatal error:"), strings.LastIndex(text, "panic:")); at >= 0 {
		text = text[at:]
	}
	var lines []string
	for line := range strings.Lines(text) {
		if line = strings.TrimSpace(line); line != "" && !strings.HasPrefix(line, "/") {
			lines = append(lines, line)
		}
		if len(lines) == 6 {
			break
		}
	}
	return strings.Join(lines, " | ")
}

// operate empties one zone after the other and takes it back.
func (e *evacuateRun) operate(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		for _, method := range []string{http.MethodPost, http.MethodDelete} {
			path := "/evacuate/" + zones[n%len(zones)]
			status, _, err := e.d.order(method, path, nil, 4*time.Second)
			e.record.line("%s %s: %d %v", method, path, status, err)
			if status == http.StatusOK {
				e.changes.Add(1)
			}
			time.Sleep(evacuateHold)
		}
	}
}

func (e *evacuateRun) inTouch(gateway int, now time.Time) bool {
	return e.d.gateways[gateway].running() && now.Sub(time.Unix(0, e.started[gateway].Load())) > contact
}

// client sends one request after the other over a kept connection to one gateway.
func (e *evacuateRun) client(ctx context.Context, c int) {
	gateway := c % evacuateGateways
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
	for n := 0; ctx.Err() == nil; n++ {
		if !e.inTouch(gateway, time.Now()) {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		e.request(client, gateway, fmt.Sprintf("%04x%012x", c, n))
	}
}

func (e *evacuateRun) request(client *http.Client, gateway int, id string) {
	kept := false
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { kept = i.Reused }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(context.Background(), trace), http.MethodPost, "http://"+e.d.fronts[gateway]+"/last/2f", strings.NewReader("body of "+id))
	if err != nil {
		e.record.line("%v", err)
		return
	}
	req.GetBody = nil // a request is sent once
	req.Host = "ficu95.example"
	req.Header.Set("X-Toucantiller-Attempt-Id", id)
	req.Header.Set("X-Toucantiller-Timeout-Ms", "5000")
	req.Header.Set("X-Toucantiller-Credential", key)
	e.sent.Add(1)
	resp, err := client.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	runs := 0
	for _, s := range e.servers {
		runs += s.ran(id)
	}
	switch {
	case err != nil:
		e.cut.Add(1)
		e.record.line("request %s: no answer from gateway %d (%v), kept connection %v, runs at servers %d", id, gateway, err, kept, runs)
		if kept && runs > 0 {
			e.lost.Add(1)
		}
		time.Sleep(200 * time.Millisecond)
	case resp.StatusCode == http.StatusOK:
		e.ok.Add(1)
	default:
		if resp.StatusCode == http.StatusNotFound {
			e.notFound.Add(1)
		} else {
			e.other.Add(1)
		}
		e.record.line("request %s: %d, runs at servers %d", id, resp.StatusCode, runs)
	}
}
