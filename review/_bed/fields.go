package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const chatPath = "/pufi791/2f"

// chatDocument has one stream route to the model service.
func chatDocument() string {
	doc := document(1, []string{"lm"}, []route{{name: "r-chat", prefix: "/pufi791/", kind: "stream", service: "lm", timeoutMS: 3000, attempts: 2}})
	return strings.Replace(doc, `"cold_per_s":0.0}`, `"cold_per_s":0.0,"engine":{"slots":4,"stride":5}}`, 1)
}

// manyFields returns the head of a whole request within limit bytes that is made of very many short
// fields; with few set, of a few long ones instead.
func manyFields(attempt, path string, limit int, few bool) []byte {
	b := &strings.Builder{}
	_, _ = fmt.Fprintf(b, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: 2000\r\nX-Toucantiller-Token-Count: 60,20\r\nContent-Length: 4\r\n",
		path, clientHost, attemptHeader, attempt, keyHeader, clientKey, timeoutHeader)
	const short, long = "a: \r\n", 1000
	if few {
		for b.Len()+long+20 < limit {
			_, _ = fmt.Fprintf(b, "x-note-%d: %s\r\n", b.Len(), strings.Repeat("n", long))
		}
	} else {
		for b.Len()+len(short)+2 <= limit {
			b.WriteString(short)
		}
	}
	b.WriteString("\r\nbody")
	return []byte(b.String())
}

// sendRaw sends a request as it is and returns the status of the answer and whether it is complete.
func sendRaw(gateway string, request []byte, limit time.Duration) (o outcome) {
	o = outcome{sent: time.Now(), gateway: gateway}
	defer func() { o.ended = time.Now() }()
	conn, err := net.DialTimeout("tcp", gateway, time.Second)
	if err != nil {
		o.err = err.Error()
		return o
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(limit))
	if _, err = conn.Write(request); err != nil {
		o.err = err.Error()
		return o
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		o.err = err.Error()
		return o
	}
	o.status, o.sealed = resp.StatusCode, resp.Header.Get(sealHeader) != ""
	if _, err = io.ReadAll(resp.Body); err != nil {
		o.err = err.Error()
	}
	return o
}

// startAgents starts the agent of each model server, on its machine.
func startAgents(servers []*server) {
	command := commands()["toucan-agent"]
	for i, s := range servers {
		host, _, _ := net.SplitHostPort(s.address)
		f := fields{
			"node_name": fmt.Sprintf("side-%s-%d", s.zone, i+1), "zone": s.zone, "ip": host, "app": s.address, "port_range.0": firstPort, "port_range.1": lastPort,
			"limits.memory_mb": "216", "bounds.cold_overrun": "1.5", "bounds.cold_slack": "5",
		}
		run := fixedAdmin.ReplaceAllString(f.fill(command), "--admin-listen="+host+":"+controlAdm)
		newProcess(f["node_name"], run).start()
	}
}

// manyShortFields: clients send requests of legal size that are made of very many short fields.
func manyShortFields() {
	const (
		headLimit = 16384 // the max_header_bytes of the configuration
		calm      = 5 * time.Second
		pressed   = 40 * time.Second
		perSecond = 25 // requests of many fields a second and machine
	)
	startDeployment(chatDocument())
	var servers []*server
	for i := range 9 {
		s := &server{id: fmt.Sprintf("i-lm-%d", i+1), service: "lm", version: "v1", zone: zones[i%len(zones)], address: bed.address() + ":" + serverPort, slots: 4, model: true, events: 4, work: 20 * time.Millisecond}
		s.start()
		servers = append(servers, s)
	}
	startAgents(servers)
	awaitService(http.MethodPost, chatPath)
	time.Sleep(3 * time.Second)
	// One such request in calm.
	single := 0
	for i := range 3 {
		o := sendRaw(gateways()[i%3], manyFields(fmt.Sprintf("s%d", i), chatPath, headLimit, !bed.trouble), 2*time.Second)
		bed.record.line("single request s%d of many fields, in calm: status %d sealed %t %s", i, o.status, o.sealed, o.err)
		if o.served() {
			single++
		}
		time.Sleep(1200 * time.Millisecond)
	}
	say("3 single requests of legal size in calm: %d were served", single)
	t := startTraffic(http.MethodPost, chatPath, 2*time.Second, 30, gateways())
	time.Sleep(calm)
	came := time.Now()
	stop := make(chan struct{})
	var crowd sync.WaitGroup
	var sent, answered atomic.Int64
	for _, g := range gateways() {
		crowd.Go(func() {
			tick := time.NewTicker(time.Second / time.Duration(perSecond))
			defer tick.Stop()
			for {
				select {
				case <-stop:
					return
				case <-tick.C:
				}
				n := sent.Add(1)
				crowd.Go(func() {
					attempt := fmt.Sprintf("f%d", n)
					o := sendRaw(g, manyFields(attempt, chatPath, headLimit, !bed.trouble), 2*time.Second)
					bed.record.line("request %s of many fields to %s: status %d sealed %t %s", attempt, g, o.status, o.sealed, o.err)
					if o.served() {
						answered.Add(1)
					}
				})
			}
		})
	}
	say("%d requests of legal size a second and machine, of %s", perSecond, map[bool]string{true: "very many short fields", false: "a few long fields"}[bed.trouble])
	time.Sleep(pressed)
	close(stop)
	left := time.Now()
	crowd.Wait()
	all := t.end()
	var before, beforeServed, during, duringServed int
	statuses := make(map[int]int)
	for _, o := range all {
		switch {
		case o.sent.Before(came):
			before++
			if o.served() {
				beforeServed++
			}
		case o.ended.Before(left):
			during++
			statuses[o.status]++
			if o.served() {
				duringServed++
			}
		}
	}
	say("requests of many fields: %d, served %d", sent.Load(), answered.Load())
	say("ordinary requests before: %d, served %d; beside them: %d, served %d, statuses %v", before, beforeServed, during, duringServed, statuses)
	owed, failed := before+during, before-beforeServed+during-duringServed
	verdict(single == 0 || 10*failed > 6*owed, "%d of 3 single requests in calm were served; %d of %d ordinary requests were refused or failed (at most 60%% are allowed)", single, failed, owed)
}
