package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const lookPath = "/lohu930/2f"

// lookDocument has one route that may be repeated, to the plain service.
func lookDocument(version int) string {
	return document(version, []string{"desk"}, []route{{name: "r-look", prefix: "/lohu930/", kind: "safe", service: "desk", timeoutMS: 1000, attempts: 2}})
}

// crowd holds the connections of clients that do not behave.
type crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

// join opens n connections to a gateway, each of which sends the same bytes and stays open.
func (c *crowd) join(n int, gateway string, content []byte) {
	var wait sync.WaitGroup
	for range n {
		wait.Go(func() {
			conn, err := net.DialTimeout("tcp", gateway, 2*time.Second)
			if err != nil {
				return
			}
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			_ = conn.SetWriteDeadline(time.Now().Add(3 * time.Second))
			_, _ = conn.Write(content)
		})
	}
	wait.Wait()
}

// leave closes the connections.
func (c *crowd) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.conns = nil
}

// head returns the start of a request by a client with a key.
func head(attempt string) *bytes.Buffer {
	b := &bytes.Buffer{}
	_, _ = fmt.Fprintf(b, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n", lookPath, clientHost, attemptHeader, attempt, keyHeader, clientKey)
	return b
}

// clientsThatStop: clients that do not behave stop short of the end of what they send, first a few in
// bodies of legal size, then many in heads of legal size.
func clientsThatStop() {
	startDeployment(lookDocument(1))
	startServers("desk", "v1", 3, nil)
	awaitService(http.MethodGet, lookPath)
	refused, owed := unfinishedBodies()
	machines := unfinishedHeads()
	verdict(10*refused > 6*owed || machines >= 2,
		"beside unfinished bodies %d of %d ordinary requests were refused or failed (at most 60%% are allowed); beside unfinished heads processes on %d machines ended three times (two break the rule)", refused, owed, machines)
}

// unfinishedBodies presses with a few bodies that lack their last byte, and counts the ordinary
// requests that were refused or failed.
func unfinishedBodies() (refused, owed int) {
	const (
		bodySize = 4194304 // the max_body_bytes of the configuration
		members  = 8       // connections to each machine
		calm     = 3 * time.Second
		pressed  = 40 * time.Second
		after    = 3 * time.Second
	)
	t := startTraffic(http.MethodGet, lookPath, time.Second, 30, gateways())
	time.Sleep(calm)
	c := &crowd{}
	if bed.trouble {
		b := head("crowd")
		_, _ = fmt.Fprintf(b, "Content-Length: %d\r\n\r\n", bodySize)
		b.Write(make([]byte, bodySize-1))
		for _, g := range gateways() {
			c.join(members, g, b.Bytes())
		}
		say("%d clients a machine have sent all but the last byte of a body of %d bytes and stay", members, bodySize)
	}
	come := time.Now()
	time.Sleep(pressed)
	c.leave()
	left := time.Now()
	say("the clients leave")
	time.Sleep(after)
	pressedOwed, pressedServed := 0, 0
	all := t.end()
	for _, o := range all {
		if !o.served() {
			refused++
		}
		if o.sent.After(come) && o.ended.Before(left) {
			pressedOwed++
			if o.served() {
				pressedServed++
			}
		}
	}
	say("ordinary requests: %d, refused or failed %d; while the clients stayed: %d, served %d", len(all), refused, pressedOwed, pressedServed)
	return refused, len(all)
}

// shortFields returns a head just within limit bytes that is made of very many short fields and lacks
// its last line.
func shortFields(limit int) []byte {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	b := head("crowd")
	for i := 0; ; i++ {
		name := string([]byte{letters[i/676%26], letters[i/26%26], letters[i%26]})
		if b.Len()+len(name)+len(":\r\n\r\n") > limit {
			return b.Bytes()
		}
		b.WriteString(name + ":\r\n")
	}
}

// unfinishedHeads presses with heads of very many short fields that lack their end, and counts the
// machines whose gateway ended three times. The platform ends a process that uses more than the memory of its machine, and starts it again.
func unfinishedHeads() (machines int) {
	const (
		members = 900 // connections to a machine
		rounds  = 3
		limit   = memoryLimit * 1000 * 1000 // bytes
	)
	t := startTraffic(http.MethodGet, lookPath, time.Second, 30, gateways())
	pressed := bed.machines[:2]
	ends := make([]int, len(pressed))
	peaks := make([]int64, len(pressed))
	var platform sync.WaitGroup
	done := make(chan struct{})
	for i, m := range pressed {
		platform.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(10 * time.Millisecond):
				}
				used := m.gateway.anonymousMemory()
				peaks[i] = max(peaks[i], used)
				if used <= limit && m.gateway.running() {
					continue
				}
				m.gateway.kill()
				ends[i]++
				say("platform: gateway of %s used %d MB of %d and was killed, for the %d. time", m.name, used/1000/1000, memoryLimit, ends[i])
				time.Sleep(500 * time.Millisecond)
				m.gateway.start()
			}
		})
	}
	content := shortFields(16384)
	for round := range rounds {
		c := &crowd{}
		if bed.trouble {
			for _, m := range pressed {
				c.join(members, m.front, content)
			}
			say("round %d: %d clients a machine have sent %d bytes of a head and stay", round+1, members, len(content))
		}
		time.Sleep(4 * time.Second)
		c.leave()
		time.Sleep(3 * time.Second)
	}
	close(done)
	platform.Wait()
	all := t.end()
	lost := 0
	for _, o := range all {
		if o.status == 0 && o.err != "" {
			lost++
		}
	}
	for i, m := range pressed {
		say("gateway of %s: %d ends, at most %d MB", m.name, ends[i], peaks[i]/1000/1000)
		if ends[i] >= 3 {
			machines++
		}
	}
	say("ordinary requests: %d, without an answer %d", len(all), lost)
	return machines
}
