package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	memoryMB  = 134     // limits.memory_mb of a front machine of lwan-router
	bodyBytes = 4 << 20 // limits.max_body_bytes of the configuration
	// requestBytes is the body of a request, below max_body_bytes.
	requestBytes = 2000 << 10
	// usual is the number of clients that send at a time, burst by how much it grows.
	usual, burst = 4, 2
	// contact is contact_ms; lostAllowed is what the rule LOST allows.
	contact      = 3 * time.Second
	lostAllowed  = 3
	restartDelay = 500 * time.Millisecond
	loadTime     = 80 * time.Second
	key          = "i9n73hh2b9wu3fexd9dn"
)

func document(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "r-book", "host": "ficu95.example", "path_prefix": "/puxa403/", "type": "unsafe", "timeout_ms": 5000, "slo_ms": 1000, "priority": 2, "backend": "desk", "max_attempts": 1, "public": false},
		},
		"backends": []map[string]any{{"name": "desk", "health_path": "/healthz", "max_conns": 130, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": bodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "hule930", "api_keys": []string{key}, "priority": 1}},
	}
}

// residentMB returns the memory that a process uses.
func residentMB(pid int) float64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(b))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseFloat(fields[1], 64)
	return pages * float64(os.Getpagesize()) / 1e6
}

func memoryCase(r *record, trouble bool) int {
	d, err := newDeployment()
	if err != nil {
		r.line("%v", err)
		return couldNot
	}
	defer d.stop()
	if err := d.startControl(); err != nil {
		r.line("%v", err)
		return couldNot
	}
	if err := d.startGateways(1); err != nil {
		r.line("%v", err)
		return couldNot
	}
	var servers []*server
	for i := range 3 {
		s := &server{id: fmt.Sprintf("i-desk%d", i), service: "desk", zone: zones[i], version: "v1", address: at(d.ip(classServer, i), 8080), slots: 6, work: 30 * time.Millisecond}
		if err := s.start(d, s.address); err != nil {
			r.line("%v", err)
			return couldNot
		}
		defer s.stop()
		servers = append(servers, s)
	}
	if status, answer, err := d.order(http.MethodPut, "/config", document(1), 15*time.Second); err != nil || status != http.StatusOK {
		r.line("config: %d %s %v", status, answer, err)
		return couldNot
	}
	if err := d.ready(0, 15*time.Second); err != nil {
		r.line("%v", err)
		return couldNot
	}
	time.Sleep(3 * time.Second)

	gateway := d.gateways[0]
	m := &memoryRun{record: r, front: d.fronts[0], servers: servers}
	m.started.Store(time.Now().UnixNano())
	ctx, cancel := context.WithTimeout(context.Background(), loadTime)
	defer cancel()
	var running sync.WaitGroup
	running.Go(func() { m.enforceLimit(ctx, d, gateway) })
	clients := usual
	if trouble {
		clients = burst * usual
	}
	r.line("%d clients with bodies of %d bytes, limit of the process %d MB", clients, requestBytes, memoryMB)
	for c := range clients {
		running.Go(func() { m.client(ctx, c) })
	}
	running.Wait()
	r.line("%d requests sent, %d answered 200, %d without an answer; gateway: peak %d MB, over its limit %d times",
		m.sent.Load(), m.ok.Load(), m.cut.Load(), m.peak.Load(), m.kills.Load())
	r.line("passed on to a sound server from a kept connection of a machine in touch, then closed without an answer: %d (more than %d break LOST)", m.lost.Load(), lostAllowed)
	if m.ok.Load() == 0 {
		return couldNot
	}
	if m.lost.Load() > lostAllowed {
		return broken
	}
	return held
}

// memoryRun is what clients and platform saw.
type memoryRun struct {
	record  *record
	front   string
	servers []*server
	// started is when the gateway was started last; it is in touch contact later.
	started atomic.Int64
	// ended is when the gateway ended last.
	ended                            atomic.Int64
	sent, ok, cut, lost, peak, kills atomic.Int64
}

// inTouch reports whether the gateway has run for contact_ms. Its own ends count as running, but
// its start by the platform does not.
func (m *memoryRun) inTouch(now time.Time) bool {
	started, ended := m.started.Load(), m.ended.Load()
	return started > ended && now.Sub(time.Unix(0, started)) > contact
}

// enforceLimit plays the platform: it kills a process that uses more than memory_mb and starts
// it again after a short delay.
func (m *memoryRun) enforceLimit(ctx context.Context, d *deployment, gateway *program) {
	for ctx.Err() == nil {
		mb := residentMB(gateway.pid())
		m.peak.Store(max(m.peak.Load(), int64(mb)))
		if mb > memoryMB {
			m.record.line("the gateway uses %.1f MB, its limit is %d MB: killed and started again", mb, memoryMB)
			m.kills.Add(1)
			killed := time.Now()
			gateway.kill()
			// Requests that were under way were sent to a machine in touch; later ones wait.
			m.ended.Store(killed.UnixNano())
			time.Sleep(restartDelay)
			m.started.Store(time.Now().UnixNano())
			if err := gateway.start(); err != nil {
				m.record.line("%v", err)
				return
			}
			_ = d.ready(0, 10*time.Second)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// client sends one request after the other over a kept connection. After a connection that was
// closed it waits until the gateway is in touch again.
func (m *memoryRun) client(ctx context.Context, c int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
	body := bytes.Repeat([]byte{byte('a' + c)}, requestBytes)
	for n := 0; ctx.Err() == nil; n++ {
		if !m.inTouch(time.Now()) {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		m.request(client, fmt.Sprintf("%04x%012x", c, n), body)
	}
}

func (m *memoryRun) request(client *http.Client, id string, body []byte) {
	kept := false
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { kept = i.Reused }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(context.Background(), trace), http.MethodPost, "http://"+m.front+"/puxa403/2f", bytes.NewReader(body))
	if err != nil {
		m.record.line("%v", err)
		return
	}
	req.GetBody = nil // a request is sent once
	req.Host = "ficu95.example"
	req.Header.Set("X-Toucantiller-Attempt-Id", id)
	req.Header.Set("X-Toucantiller-Timeout-Ms", "5000")
	req.Header.Set("X-Toucantiller-Credential", key)
	m.sent.Add(1)
	touch := m.inTouch(time.Now())
	resp, err := client.Do(req)
	var got []byte
	if err == nil {
		got, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	runs := 0
	for _, s := range m.servers {
		runs += s.ran(id)
	}
	switch {
	case err != nil:
		m.cut.Add(1)
		m.record.line("request %s: no answer (%v), kept connection %v, in touch %v, runs at servers %d", id, err, kept, touch, runs)
		if kept && touch && runs > 0 {
			m.lost.Add(1)
		}
		time.Sleep(200 * time.Millisecond)
	case resp.StatusCode == http.StatusOK:
		m.ok.Add(1)
		m.record.line("request %s: 200, runs at servers %d", id, runs)
	default:
		m.record.line("request %s: %d %q, runs at servers %d", id, resp.StatusCode, strings.TrimSpace(string(got)), runs)
		time.Sleep(200 * time.Millisecond)
	}
}
