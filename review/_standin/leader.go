package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	leaderTime     = 85 * time.Second
	leaderGateways = 3
	leaderClients  = 48
	// leaderTenants is the number of tenants of the large site; keysPerTenant that of each one's
	// keys.
	leaderTenants, keysPerTenant = 40, 8
	// tenantRequests is what each tenant may send a second, tokensPerRequest the tokens of a
	// request. One large tenant sends all requests; its limit is far below what it sends.
	tenantRequests, tokensPerRequest = 10, 200
	// operators change the configuration at once, each in storms of stormTime with a change each
	// changeGap and a pause between them.
	operators  = 2
	changeGap  = 60 * time.Millisecond
	stormTime  = 1500 * time.Millisecond
	stormPause = 2 * time.Second
	// ownEnds is how often processes of a machine may not end by themselves, on half of the core.
	ownEnds = 3
)

func tenantKey(tenant, n int) string { return fmt.Sprintf("key-of-%02d-%d-0123456789", tenant, n) }

// limitedDocument returns a configuration whose tenants have token limits.
func limitedDocument(version int) map[string]any {
	doc := document(version)
	var tenants []map[string]any
	for i := range leaderTenants {
		var keys []string
		for k := range keysPerTenant {
			keys = append(keys, tenantKey(i, k))
		}
		tenants = append(tenants, map[string]any{"name": fmt.Sprintf("hule%d", i), "api_keys": keys, "priority": 1, "unit": "tokens", "plain_tokens": tokensPerRequest, "rate_per_s": tenantRequests * tokensPerRequest, "burst": tenantRequests * tokensPerRequest})
	}
	doc["tenants"] = tenants
	return doc
}

func leaderCase(r *record, trouble bool) int {
	d, err := newDeployment()
	if err != nil {
		r.line("%v", err)
		return couldNot
	}
	defer d.stop()
	servers, err := startLimited(d)
	if err != nil {
		r.line("%v", err)
		return couldNot
	}
	for _, s := range servers {
		defer s.stop()
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaderTime)
	defer cancel()
	var running sync.WaitGroup
	var changes, version, sent, ok, refused, other atomic.Int64
	ends := make([]atomic.Int64, len(d.controls))
	for i, p := range d.controls {
		running.Go(func() {
			for ; ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
				if p.running() {
					continue
				}
				ends[i].Add(1)
				r.line("%s ended by itself: %s", p.name, lastError(p.log))
				time.Sleep(restartDelay)
				if err := p.start(); err != nil {
					r.line("%v", err)
					return
				}
			}
		})
	}
	version.Store(1)
	for range operators {
		if !trouble {
			break
		}
		running.Go(func() {
			storm := time.Now()
			for ; ctx.Err() == nil; time.Sleep(changeGap) {
				if time.Since(storm) > stormTime {
					time.Sleep(stormPause)
					storm = time.Now()
				}
				v := int(version.Add(1))
				status, _, err := d.order(http.MethodPut, "/config", limitedDocument(v), 4*time.Second)
				r.line("PUT /config version %d: %d %v", v, status, err)
				if err == nil && status == http.StatusOK {
					changes.Add(1)
				}
			}
		})
	}
	for c := range leaderClients {
		running.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
			for n := 0; ctx.Err() == nil; n++ {
				sent.Add(1)
				switch status := sendLimited(client, d.fronts[c%leaderGateways], c, n); status {
				case http.StatusOK:
					ok.Add(1)
				case http.StatusTooManyRequests:
					refused.Add(1)
				default:
					other.Add(1)
				}
			}
		})
	}
	running.Go(func() {
		for ; ctx.Err() == nil; time.Sleep(time.Second) {
			r.line("so far %d requests sent, %d answered 200, %d with 429", sent.Load(), ok.Load(), refused.Load())
		}
	})
	running.Wait()
	r.line("%d changes acknowledged; %d requests sent, %d answered 200, %d with 429, %d otherwise", changes.Load(), sent.Load(), ok.Load(), refused.Load(), other.Load())
	often := 0
	for i := range ends {
		r.line("control process of core machine %d ended by itself %d times", i, ends[i].Load())
		if ends[i].Load() >= ownEnds {
			often++
		}
	}
	if ok.Load() == 0 {
		return couldNot
	}
	if 2*often >= len(ends) {
		return broken
	}
	return held
}

func startLimited(d *deployment) ([]*server, error) {
	if err := d.startControl(); err != nil {
		return nil, err
	}
	if err := d.startGateways(leaderGateways); err != nil {
		return nil, err
	}
	var servers []*server
	for i := range 3 {
		s := &server{id: fmt.Sprintf("i-desk%d", i), service: "desk", zone: zones[i], version: "v1", address: at(d.ip(classServer, i), 8080), slots: 24, work: 5 * time.Millisecond}
		if err := s.start(d, s.address); err != nil {
			return nil, err
		}
		servers = append(servers, s)
	}
	if status, answer, err := d.order(http.MethodPut, "/config", limitedDocument(1), 15*time.Second); err != nil || status != http.StatusOK {
		return servers, fmt.Errorf("config: %d %s %w", status, answer, err)
	}
	for i := range d.gateways {
		if err := d.ready(i, 15*time.Second); err != nil {
			return servers, err
		}
	}
	time.Sleep(contact + time.Second)
	return servers, nil
}

// sendLimited sends a request of the large tenant and returns the status, 0 without an answer.
func sendLimited(client *http.Client, front string, c, n int) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+front+"/puxa403/2f", strings.NewReader("a booking"))
	if err != nil {
		return 0
	}
	req.Host = "ficu95.example"
	req.Header.Set("X-Toucantiller-Attempt-Id", fmt.Sprintf("%04x%012x", c, n))
	req.Header.Set("X-Toucantiller-Timeout-Ms", "5000")
	req.Header.Set("X-Toucantiller-Credential", tenantKey(0, n%keysPerTenant))
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err = io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}
