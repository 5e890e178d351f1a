package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// freshClient opens a connection for each call and follows no redirect by itself.
var freshClient = &http.Client{
	Transport:     &http.Transport{DisableKeepAlives: true, DisableCompression: true},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

func shuffled(s []string) []string {
	out := append([]string(nil), s...)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// maxRedirects is how often callers of control follow a 307.
const maxRedirects = 2

// call makes one call to control. The status is 0 without an answer.
func call(ctx context.Context, method, node, path string, body []byte, limit time.Duration) (status int, content string) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	target := "http://" + node + path
	for range maxRedirects + 1 {
		req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
		if err != nil {
			return 0, err.Error()
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := freshClient.Do(req)
		if err != nil {
			return 0, err.Error()
		}
		b, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return 0, err.Error()
		}
		if resp.StatusCode != http.StatusTemporaryRedirect {
			return resp.StatusCode, string(b)
		}
		if u, err := url.Parse(resp.Header.Get("Location")); err != nil || u.Host == "" {
			return resp.StatusCode, string(b)
		}
		target = resp.Header.Get("Location")
	}
	return http.StatusTemporaryRedirect, ""
}

// order sends an operator's order until it is answered with 2xx or 4xx, at most for limit.
func order(method, path string, body string, limit time.Duration) (status int, content string) {
	end := time.Now().Add(limit)
	for pause := 50 * time.Millisecond; ; pause = min(2*pause, time.Second) {
		for _, node := range shuffled(bed.controlAddresses()) {
			status, content = call(context.Background(), method, node, path, []byte(body), time.Second)
			if status/100 == 2 || status/100 == 4 {
				return status, content
			}
		}
		if time.Now().After(end) {
			return status, content
		}
		time.Sleep(pause)
	}
}

// route is a route of the configuration.
type route struct {
	name, prefix, kind, service string
	timeoutMS, attempts         int
}

// Keys of the one tenant.
const clientKey = "i9n73hh2b9wu3fexd9dn"

const clientHost = "ficu95.example"

// document returns a configuration with the limits that the pages show.
func document(version int, services []string, routes []route) string {
	var s, r []string
	for _, name := range services {
		s = append(s, fmt.Sprintf(`{"name":%q,"health_path":"/healthz","max_conns":130,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}`, name))
	}
	for _, x := range routes {
		r = append(r, fmt.Sprintf(`{"name":%q,"host":%q,"path_prefix":%q,"type":%q,"timeout_ms":%d,"slo_ms":150,"priority":1,"backend":%q,"max_attempts":%d,"public":false}`,
			x.name, clientHost, x.prefix, x.kind, x.timeoutMS, x.service, x.attempts))
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"backends":[%s],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"hule930","api_keys":[%q],"priority":1,"rate_per_s":0,"burst":0}]}`,
		version, strings.Join(r, ","), strings.Join(s, ","), clientKey)
}

// outcome is what a client got for one attempt.
type outcome struct {
	attempt string
	sent    time.Time
	ended   time.Time
	gateway string
	status  int
	sealed  bool
	err     string
}

func (o *outcome) served() bool { return o.status/100 == 2 && o.sealed && o.err == "" }

// traffic is the ordinary clients' requests.
type traffic struct {
	sequence atomic.Int64
	wait     sync.WaitGroup
	stop     chan struct{}

	mu  sync.Mutex
	all []outcome
}

// startTraffic sends perSecond requests a second, each to one gateway in turn on a new connection.
func startTraffic(method, path string, timeout time.Duration, perSecond int, gateways []string) *traffic {
	t := &traffic{stop: make(chan struct{})}
	t.wait.Go(func() {
		tick := time.NewTicker(time.Second / time.Duration(perSecond))
		defer tick.Stop()
		for {
			select {
			case <-t.stop:
				return
			case <-tick.C:
			}
			n := t.sequence.Add(1)
			t.wait.Go(func() { t.send(method, path, timeout, fmt.Sprintf("a%07d", n), gateways[int(n)%len(gateways)]) })
		}
	})
	return t
}

func (t *traffic) send(method, path string, timeout time.Duration, attempt, gateway string) {
	o := sendOne(method, path, timeout, attempt, gateway)
	bed.record.line("client %s to %s: status %d sealed %t after %d ms %s", o.attempt, o.gateway, o.status, o.sealed, o.ended.Sub(o.sent).Milliseconds(), o.err)
	t.mu.Lock()
	t.all = append(t.all, o)
	t.mu.Unlock()
}

// sendOne sends one request and reads its answer.
func sendOne(method, path string, timeout time.Duration, attempt, gateway string) (o outcome) {
	o = outcome{attempt: attempt, sent: time.Now(), gateway: gateway}
	defer func() { o.ended = time.Now() }()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var body io.Reader = http.NoBody
	if method == http.MethodPost {
		body = strings.NewReader("body of " + attempt)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+gateway+path, body)
	if err != nil {
		o.err = err.Error()
		return o
	}
	req.Host = clientHost
	req.Header.Set(attemptHeader, attempt)
	req.Header.Set(keyHeader, clientKey)
	req.Header.Set(timeoutHeader, fmt.Sprint(timeout.Milliseconds()))
	resp, err := freshClient.Do(req)
	if err != nil {
		o.err = err.Error()
		return o
	}
	defer func() { _ = resp.Body.Close() }()
	o.status, o.sealed = resp.StatusCode, resp.Header.Get(sealHeader) != ""
	if _, err := io.ReadAll(resp.Body); err != nil {
		o.err = err.Error()
	}
	return o
}

// end stops the traffic and returns all outcomes.
func (t *traffic) end() []outcome {
	close(t.stop)
	t.wait.Wait()
	return t.all
}
