package crowd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/platform"

	"toucantiller.dev/dispatch"
	"toucantiller.dev/link"
)

// crowdSize is the number of connections to each listener; openedSize that of a crowd that only
// opens them.
const (
	crowdSize  = 200
	openedSize = 250
)

// dialLimit bounds opening a connection: a process that accepts none leaves them in the queue.
const dialLimit = 2 * time.Second

// press opens a crowd at each listener, waits until each client has sent what it had to send, and
// returns a function that closes the connections.
func press(k kind, size int, doors ...*door) (disperse func()) {
	var mu sync.Mutex
	var open []net.Conn
	var sending sync.WaitGroup
	for _, d := range doors {
		for i := range size {
			sending.Go(func() {
				conn, err := net.DialTimeout("tcp", d.address, dialLimit)
				if err != nil {
					return
				}
				mu.Lock()
				open = append(open, conn)
				mu.Unlock()
				k.run(&misbehaving{Conn: conn, door: d, number: i})
			})
		}
	}
	sending.Wait()
	return func() {
		for _, c := range open {
			_ = c.Close()
		}
	}
}

// check checks the ordinary requests at the listeners and the bounds of their processes while the
// crowd is connected.
func check(t *testing.T, doors ...*door) {
	t.Helper()
	for _, d := range doors {
		if err := await(d.ordinary); err != nil {
			t.Errorf("%s: no ordinary request is answered: %v", d.name, err)
		}
	}
	for _, d := range doors {
		d.process.checkBounds()
	}
}

// endure runs one kind of crowd at each of the groups of listeners, with processes of their own
// for each group.
func endure(t *testing.T, k kind, size int, groups []group) {
	for _, g := range groups {
		t.Run(k.name+"/"+g.name, func(t *testing.T) {
			f := startFleet(t)
			doors := g.choose(f)
			disperse := press(k, size, doors...)
			defer disperse()
			check(t, doors...)
		})
	}
}

// group is listeners that are pressed at once, each of another process.
type group struct {
	name   string
	choose func(*fleet) []*door
}

var (
	httpGroups = []group{
		{"callers", func(f *fleet) []*door { return []*door{f.callers} }},
		{"gateway's admin, calls to control, agent", func(f *fleet) []*door { return []*door{f.gatewayAdmin, f.calls, f.agentDispatch} }},
		{"hosted agents, control's admin, agent's admin", func(f *fleet) []*door { return []*door{f.hosted, f.controlAdmin, f.agentAdmin} }},
	}
	linkGroups = []group{
		{"links", func(f *fleet) []*door { return []*door{f.gatewayLink, f.controlLink} }},
	}
)

// Guards against a process that ends, hangs, or outgrows its memory or descriptors under clients
// that do not behave, each kind by itself and all of them at once, at each listener with HTTP.
func TestCrowds(t *testing.T) {
	for _, k := range append(kinds, mixed) {
		size := crowdSize
		if k.name == "connections only opened" {
			size = openedSize
		}
		endure(t, k, size, httpGroups)
	}
}

// Guards against the same over the links between processes.
func TestCrowdsOnLinks(t *testing.T) {
	for _, k := range linkKinds {
		size := crowdSize
		if k.name == "connections only opened" {
			size = openedSize
		}
		endure(t, k, size, linkGroups)
	}
}

// Guards against a listener that says ready, or is asked for metrics, falling silent while the
// callers' one is pressed.
func TestReadyWhileCallersArePressed(t *testing.T) {
	f := startFleet(t)
	disperse := press(mixed, openedSize, f.callers)
	defer disperse()
	check(t, f.gatewayAdmin, f.gatewayLink, f.hosted)
}

// Guards against memory that a crowd leaves behind: it goes away and comes back several times.
func TestCrowdLeavesAndComesBack(t *testing.T) {
	f := startFleet(t)
	for range 4 {
		press(mixed, crowdSize, f.callers)()
	}
	check(t, f.callers)
}

// The crowd over HTTP/2: connections with many streams each, whose bodies stop short.
const (
	streamConnections    = 20
	streamsPerConnection = 40
)

// Guards against streams of HTTP/2 whose bodies stop short and hold the memory of an agent.
func TestStreamsThatStopShort(t *testing.T) {
	f := startFleet(t)
	doors := []*door{f.agentDispatch, f.hosted}
	ctx, cancel := context.WithCancel(context.Background())
	var open sync.WaitGroup
	defer open.Wait()
	defer cancel()
	for _, d := range doors {
		for i := range streamConnections {
			c := link.NewHTTPClient(link.TCP{}, d.address)
			defer c.CloseIdleConnections()
			// Streams that begin before the connection is open would each open one.
			warm, err := c.Get("http://" + d.address + dispatch.PathLoad)
			assert.NilError(t, err)
			_ = warm.Body.Close()
			for j := range streamsPerConnection {
				open.Go(func() { openStream(ctx, c, d, i*streamsPerConnection+j) })
			}
		}
	}
	time.Sleep(slowTime)
	check(t, doors...)
}

// openStream sends a dispatch whose body stops short and stays open until ctx ends.
func openStream(ctx context.Context, c *http.Client, d *door, number int) {
	body, sent := io.Pipe()
	go func() {
		_, _ = sent.Write(make([]byte, legalBody-1))
		<-ctx.Done()
		_ = sent.Close()
	}()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.address+dispatch.PathDispatch, body)
	if err != nil {
		return
	}
	h := dispatch.Header{ID: dispatch.ID{Request: fmt.Sprint("stream-", number)}, Service: "s", Version: "v", Route: "r", Account: "a", Method: "POST", Path: "/", Timeout: time.Minute}
	h.Write(r.Header)
	r.ContentLength = legalBody
	if resp, err := c.Do(r); err == nil {
		<-ctx.Done()
		_ = resp.Body.Close()
	}
	_ = body.Close()
}

// Guards against limits that refuse a single request inside them: the largest head and the largest
// body are served in calm.
func TestLargestRequestIsServed(t *testing.T) {
	f := startFleet(t)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+f.callers.address+"/look/1", bytes.NewReader(make([]byte, 4<<20)))
	assert.NilError(t, err)
	r.Host = "h"
	r.Header.Set(platform.HeaderAttempt, "largest")
	r.Header.Set("X-Filling", string(bytes.Repeat([]byte("x"), 16<<10-200)))
	resp, err := client.Do(r)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	f.callers.process.checkBounds()
}
