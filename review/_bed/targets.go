package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Requests with a target of their own.
const (
	targetRequests = 40
	targetPause    = 50 * time.Millisecond
)

// otherTargets: clients send paths with bytes that some clients leave as they are, and targets in
// absolute form.
func otherTargets() {
	const (
		calm    = 4 * time.Second
		pressed = 30 * time.Second
		pause   = 500 * time.Millisecond // between two targets in absolute form to one machine
	)
	startDeployment(bookDocument())
	var mu sync.Mutex
	ran := make(map[string]string)
	servers := startServers("desk", "v1", 3, nil)
	for _, s := range servers {
		s.seen = func(r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			ran[r.Header.Get(attemptHeader)] = r.RequestURI
		}
	}
	awaitService(http.MethodPost, bookPath)

	send := func(attempt, target, gateway string) outcome {
		request := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: 1000\r\nContent-Length: 4\r\n\r\nbody",
			target, clientHost, attemptHeader, attempt, keyHeader, clientKey, timeoutHeader)
		o := sendRaw(gateway, []byte(request), time.Second)
		mu.Lock()
		defer mu.Unlock()
		bed.record.line("client %s sent %q to %s: status %d sealed %t %s; a server ran %q", attempt, target, gateway, o.status, o.sealed, o.err, ran[attempt])
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

	// No prefix of a route begins this path, whose slash is a part of a segment.
	outside := 0
	for i := range targetRequests / 4 {
		attempt := fmt.Sprintf("e%d", i)
		send(attempt, strings.Replace(bookPath, "403/", "403%2F", 1), gateways()[i%len(zones)])
		mu.Lock()
		if _, ok := ran[attempt]; ok {
			outside++
		}
		mu.Unlock()
		time.Sleep(targetPause)
	}
	say("%d of %d requests with a path that no prefix begins ran (not judged)", outside, targetRequests/4)

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
	verdict(changed > 0 || 10*refused > 6*len(all), "%d of %d requests ran with a changed path; %d of %d ordinary requests were refused or failed (at most 60%% are allowed)", changed, targetRequests, refused, len(all))
}
