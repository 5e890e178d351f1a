package systemtest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// growthNet is the second octet of the loopback addresses of the replicas.
	growthNet = 91
	// memoryLimit and diskLimit are what a replica may take, in bytes.
	memoryLimit = 134_000_000
	diskLimit   = 64_000_000
	// grownRoutes is the number of routes that the document has after growthSteps changes.
	grownRoutes = 2000
	growthSteps = 60
	// grownChanges is the number of changes of the grown document.
	grownChanges = 140
	// readLimit is how soon the newest acknowledged document is read back in calm.
	readLimit = 2 * time.Second
	// growthTick and growthSample are the tick of the replicas and the time between two samples.
	growthTick   = 30 * time.Millisecond
	growthSample = 20 * time.Millisecond
)

// grownDocument returns a document with n routes.
func grownDocument(t testing.TB, version, n int) []byte {
	var routes []map[string]any
	for i := range n {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("route-%04d-of-the-members", i), "host": fmt.Sprintf("h%02d.example", i%40),
			"path_prefix": fmt.Sprintf("/members/%04d/", i), "type": "safe", "timeout_ms": 2000, "slo_ms": 300,
			"priority": i % 3, "backend": "desk", "max_attempts": 2,
		})
	}
	content, err := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"backends": []any{map[string]any{"name": "desk", "max_conns": 130}},
		"tenants":  []any{map[string]any{"name": "mills", "api_keys": []string{"key"}, "unit": "tokens", "plain_tokens": 10}},
	})
	assert.NilError(t, err)
	return content
}

// footprint is the largest memory and data folder of a replica, in bytes, and whether its process
// ended by itself.
type footprint struct {
	memory, disk int64
	ended        bool
}

// grownGroup is a group of replicas that serve the calls of operators.
type grownGroup struct {
	t       testing.TB
	links   []string
	calls   []string
	folders []string
	// budgets are the files with the sizes of the disks; none if they are not limited.
	budgets  []string
	controls []*process
	// operator is the index of the replica to which documents are sent.
	operator int

	// mu guards worst and running; samples are taken only while running.
	mu      sync.Mutex
	running bool
	worst   []footprint
}

func startGrownGroup(t testing.TB) *grownGroup {
	g := newGrownGroup(t)
	g.start()
	return g
}

func newGrownGroup(t testing.TB) *grownGroup {
	g := &grownGroup{t: t, worst: make([]footprint, replicas), controls: make([]*process, replicas)}
	_, linkPort, err := net.SplitHostPort(freeAddress(t))
	assert.NilError(t, err)
	_, callPort, err := net.SplitHostPort(freeAddress(t))
	assert.NilError(t, err)
	for i := range replicas {
		ip := fmt.Sprintf("127.%d.0.%d", growthNet, i+1)
		g.links = append(g.links, net.JoinHostPort(ip, linkPort))
		g.calls = append(g.calls, net.JoinHostPort(ip, callPort))
		g.folders = append(g.folders, t.TempDir())
	}
	return g
}

func (g *grownGroup) start() {
	for i := range replicas {
		id := fmt.Sprintf("control-%d", i+1)
		g.controls[i] = &process{t: g.t, name: id, args: []string{
			"toucan-control", "--id", id, "--domain", "lagos-a", "--admin-listen", "127.0.0.1:0", "--listen", g.links[i],
			"--data", g.folders[i], "--members", strings.Join(g.links, ","), "--tick", growthTick.String(),
			"--self-repair", "--call-listen", g.calls[i],
		}}
		if g.budgets != nil {
			g.controls[i].diskBudget = g.budgets[i]
		}
		g.controls[i].start()
	}
	g.setRunning(true)
}

// killAll ends all replicas at once.
func (g *grownGroup) killAll() {
	g.setRunning(false)
	for _, p := range g.controls {
		assert.NilError(g.t, p.cmd.Process.Kill())
	}
	for _, p := range g.controls {
		p.kill()
	}
}

func (g *grownGroup) setRunning(running bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running = running
}

// sample measures all replicas until ctx ends.
func (g *grownGroup) sample(ctx context.Context) {
	for ; ctx.Err() == nil; time.Sleep(growthSample) {
		g.mu.Lock()
		for i := range g.worst {
			if g.running {
				g.worst[i].measure(g.controls[i].cmd.Process.Pid, g.folders[i])
			}
		}
		g.mu.Unlock()
	}
}

var peakMemory = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// measure samples a process and its data folder. A process that ended has no memory.
func (f *footprint) measure(pid int, folder string) {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)) // a missing file is one that ended
	if found := peakMemory.FindSubmatch(status); found == nil {
		f.ended = true
	} else if kb, err := strconv.ParseInt(string(found[1]), 10, 64); err == nil {
		f.memory = max(f.memory, kb<<10)
	}
	f.disk = max(f.disk, folderBytes(folder))
}

// check logs the worst footprints and fails for each that is too large.
func (g *grownGroup) check(when string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, f := range g.worst {
		g.t.Logf("%s: %s: peak memory %d bytes, data folder %d bytes", when, g.controls[i].name, f.memory, f.disk)
		assert.Check(g.t, !f.ended, "%s: %s ended by itself", when, g.controls[i].name)
		assert.Check(g.t, f.memory < memoryLimit, "%s: %s took %d bytes of memory", when, g.controls[i].name, f.memory)
		assert.Check(g.t, f.disk < diskLimit, "%s: %s took %d bytes of disk", when, g.controls[i].name, f.disk)
		g.worst[i] = footprint{}
	}
}

// send makes one call and follows redirects to the leader.
func (g *grownGroup) send(method, address string, body []byte) (status int, answer []byte) {
	ctx, cancel := context.WithTimeout(g.t.Context(), readLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/config", bytes.NewReader(body))
	assert.NilError(g.t, err)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	if answer, err = io.ReadAll(resp.Body); err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// put sends a document until it is acknowledged, and to the next replica after each failure.
func (g *grownGroup) put(document []byte) {
	g.t.Helper()
	waitFor(g.t, "an acknowledgement", func() bool {
		status, _ := g.send(http.MethodPut, g.calls[g.operator], document)
		if status != http.StatusOK {
			g.operator = (g.operator + 1) % replicas
		}
		return status == http.StatusOK
	})
}

// read checks that each replica answers with the document, within readLimit from now.
func (g *grownGroup) read(when string, document []byte) {
	g.t.Helper()
	began := time.Now()
	for _, address := range g.calls {
		for {
			status, answer := g.send(http.MethodGet, address, nil)
			if status == http.StatusOK && bytes.Equal(answer, document) {
				break
			}
			if time.Since(began) > readLimit {
				assert.Check(g.t, false, "%s: %s answered %d with %d bytes after %s", when, address, status, len(answer), time.Since(began))
				return
			}
			time.Sleep(growthSample)
		}
	}
	g.t.Logf("%s: all replicas answered within %s", when, time.Since(began))
}

// waitListening waits until all replicas accept calls, which they do once they have loaded their logs.
func (g *grownGroup) waitListening() {
	began := time.Now()
	for _, address := range g.calls {
		waitFor(g.t, "a listener at "+address, func() bool {
			c, err := net.DialTimeout("tcp", address, time.Second)
			if err == nil {
				_ = c.Close()
			}
			return err == nil
		})
	}
	g.t.Logf("all replicas listen %s after their start", time.Since(began))
}

// logOpened logs what the replicas loaded at their start.
func (g *grownGroup) logOpened() {
	for _, p := range g.controls {
		output, err := os.ReadFile(p.out.Name())
		assert.NilError(g.t, err)
		for line := range strings.Lines(string(output)) {
			if strings.Contains(line, "event=replica.opened") || strings.Contains(line, `msg="previous run"`) {
				g.t.Log(strings.TrimSpace(line))
			}
		}
	}
}

// Guards against replicas that keep every change of a grown document, in memory and on disk,
// until they end for want of either; and whose restart loads the same log and ends again.
func TestChangesOfGrownDocumentExhaustReplicas(t *testing.T) {
	g := startGrownGroup(t)
	ctx, cancel := context.WithCancel(t.Context())
	var sampling sync.WaitGroup
	sampling.Go(func() { g.sample(ctx) })
	defer sampling.Wait()
	defer cancel()

	began, version := time.Now(), 0
	var document []byte
	for i := range growthSteps + grownChanges {
		version++
		document = grownDocument(t, version, min(grownRoutes, grownRoutes*(i+1)/growthSteps))
		g.put(document)
	}
	t.Logf("%d changes acknowledged in %s, the last with %d bytes", version, time.Since(began), len(document))
	g.read("after the changes", document)
	g.check("after the changes")

	g.killAll()
	g.start()
	g.waitListening()
	g.read("after the restart", document)
	g.logOpened()
	g.check("after the restart")
}
