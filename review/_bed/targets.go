package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Requests with a target of their own.
const (
	targetRequests = 40
	targetPause    = 50 * time.Millisecond
	// deniedSlack and deniedShare bound the proper requests that may be ended with a 4xx.
	deniedSlack, deniedShare = 5, 500
)

// otherTargets: clients send paths with bytes that some clients leave as they are, and targets in
// absolute form.
func otherTargets() {
	const (
		calm    = 4 * time.Second
		pressed = 30 * time.Second
		pause   = 500 * time.Millisecond // between two targets in absolute form to one machine
	)
	escaped := "/cafe/"
	if bed.trouble {
		escaped = "/caf%C3%A9/"
	}
	startDeployment(document(1, []string{"desk", "vault"}, []route{
		{name: "r-book", prefix: "/puxa403/", kind: "unsafe", service: "desk", timeoutMS: 1000, attempts: 1},
		{name: "r-vault", prefix: "/puxa403/vault/", kind: "unsafe", service: "vault", timeoutMS: 1000, attempts: 1},
		{name: "r-escaped", prefix: escaped, kind: "unsafe", service: "desk", timeoutMS: 1000, attempts: 1},
	}))
	var mu sync.Mutex
	ran, ranAt := make(map[string]string), make(map[string]string)
	servers := startServers("desk", "v1", 3, nil)
	vault := startServers("vault", "v1", 1, nil)
	for _, s := range append(vault, servers...) {
		s.seen = func(r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			attempt := r.Header.Get(attemptHeader)
			ran[attempt], ranAt[attempt] = r.RequestURI, s.service
		}
	}
	awaitService(http.MethodPost, bookPath)

	send := func(attempt, target, gateway string) outcome {
		request := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: 1000\r\nContent-Length: 4\r\n\r\nbody",
			target, clientHost, attemptHeader, attempt, keyHeader, clientKey, timeoutHeader)
		o := sendRaw(gateway, []byte(request), time.Second)
		mu.Lock()
		defer mu.Unlock()
		bed.record.line("client %s sent %q to %s: status %d sealed %t %s; a server of %q ran %q", attempt, target, gateway, o.status, o.sealed, o.err, ranAt[attempt], ran[attempt])
		return o
	}

	paths := []string{"slot-3", "mill/aba", "a%7Cb", "caf%C3%A9"}
	if bed.trouble {
		paths = []string{"slot|3", "mill|aba", "a|b", "caf\xc3\xa9"}
	}
	changed := 0
	for i := range targetRequests {
		target, attempt := "/puxa403/"+paths[i%len(paths)], fmt.Sprintf("p%d", i)
		send(attempt, target, gateways()[i%len(zones)])
		mu.Lock()
		if got, ok := ran[attempt]; ok && got != target {
			changed++
		}
		mu.Unlock()
		time.Sleep(targetPause)
	}
	say("%d of %d requests ran with another path than the client sent", changed, targetRequests)

	// The longest prefix that begins this path is "/puxa403/": its second slash is a part of a segment.
	other, misrouted := "/puxa403/vault-7", 0
	if bed.trouble {
		other = "/puxa403/vault%2F7"
	}
	for i := range targetRequests / 2 {
		attempt := fmt.Sprintf("e%d", i)
		send(attempt, other, gateways()[i%len(zones)])
		mu.Lock()
		if at, ok := ranAt[attempt]; ok && at != "desk" {
			misrouted++
		}
		mu.Unlock()
		time.Sleep(targetPause)
	}
	say("%d of %d requests for %s ran at another service than that of their route", misrouted, targetRequests/2, other)

	denied := 0
	for i := range targetRequests / 2 {
		if o := send(fmt.Sprintf("d%d", i), escaped+"7", gateways()[i%len(zones)]); o.status == http.StatusNotFound {
			denied++
		}
		time.Sleep(targetPause)
	}
	say("%d of %d requests for %s7, which the route %s allows, got 404", denied, targetRequests/2, escaped, escaped)

	t := startTraffic(http.MethodPost, bookPath, time.Second, 30, gateways())
	time.Sleep(calm)
	n := 0
	for end := time.Now().Add(pressed); time.Now().Before(end); time.Sleep(pause) {
		for _, g := range gateways() {
			n++
			target := bookPath
			if bed.trouble {
				target = "http://" + clientHost + bookPath
			}
			send(fmt.Sprintf("q%d", n), target, g)
		}
	}
	all := t.end()
	refused := 0
	for _, o := range all {
		if !o.served() {
			refused++
		}
	}
	perSecond(all, allRuns(servers), nil)
	say("beside %d requests with a target in absolute form %d of %d ordinary requests were refused or failed", n, refused, len(all))
	verdict(changed > 0 || misrouted > 0 || denied > deniedSlack+(len(all)+n)/deniedShare || 10*refused > 6*len(all), "%d of %d requests ran with a changed path; %d of %d ran at a service that is not that of their route; %d of %d that a route allows got 404; %d of %d ordinary requests were refused or failed (at most 60%% are allowed)",
		changed, targetRequests, misrouted, targetRequests/2, denied, targetRequests/2, refused, len(all))
}
