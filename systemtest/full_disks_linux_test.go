package systemtest

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// fullFor is how long each disk is full, and fullGap the time until the next one is.
	fullFor = 3 * time.Second
	fullGap = 500 * time.Millisecond
	// fullRounds is how often each disk is full.
	fullRounds = 2
	// acknowledgedWithin is how soon a change is acknowledged in calm.
	acknowledgedWithin = 4 * time.Second
	// fullChanges is the number of changes after all disks have space again.
	fullChanges = 10
)

// setDisk sets the size of a replica's disk. The file is replaced at once, so that no process reads
// a part of it.
func (g *grownGroup) setDisk(i int, size int64) {
	g.t.Helper()
	next := g.budgets[i] + ".next"
	assert.NilError(g.t, os.WriteFile(next, fmt.Append(nil, size), 0o600))
	assert.NilError(g.t, os.Rename(next, g.budgets[i]))
}

// limitDisks gives each replica a disk of a size.
func (g *grownGroup) limitDisks(size int64) {
	folder := g.t.TempDir()
	for i := range replicas {
		g.budgets = append(g.budgets, filepath.Join(folder, fmt.Sprint(i)))
		g.setDisk(i, size)
	}
}

// documentStream changes the document again and again. A change that is not acknowledged is sent again,
// to the next replica.
type documentStream struct {
	group        *grownGroup
	routes       int
	version      int
	acknowledged atomic.Int64
	halt         atomic.Bool
	wait         sync.WaitGroup
}

func (g *grownGroup) startDocuments(routes int) *documentStream {
	s := &documentStream{group: g, routes: routes, version: 1}
	s.wait.Go(s.run)
	return s
}

func (s *documentStream) run() {
	for !s.halt.Load() {
		s.version++
		document := grownDocument(s.group.t, s.version, s.routes)
		for !s.halt.Load() {
			status, _ := s.group.send(http.MethodPut, s.group.calls[s.group.operator], document)
			if status == http.StatusOK {
				s.acknowledged.Add(1)
				break
			}
			s.group.operator = (s.group.operator + 1) % replicas
			time.Sleep(growthTick)
		}
		time.Sleep(growthTick)
	}
}

// stop ends the stream and returns the version of its last change.
func (s *documentStream) stop() int {
	s.halt.Store(true)
	s.wait.Wait()
	return s.version
}

// Guards against replicas that go on refusing changes, or leave them unanswered, after their disks
// were full one after another, never two at once, and all have space again.
func TestDisksFullOneAfterAnother(t *testing.T) {
	for name, c := range map[string]struct {
		// routes is the number of routes of the document, room what the full disks still take, in bytes.
		routes int
		room   int64
	}{
		"small changes, no room":       {10, 0},
		"large changes, no room":       {grownRoutes, 0},
		"large changes, room for some": {grownRoutes, 3 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newGrownGroup(t)
			g.limitDisks(diskLimit)
			g.start()
			g.put(grownDocument(t, 1, c.routes))
			stream := g.startDocuments(c.routes)
			for turn := range fullRounds * replicas {
				i := turn % replicas
				size := folderBytes(g.folders[i]) + c.room
				if c.room == 0 {
					size = 0
				}
				g.setDisk(i, size)
				time.Sleep(fullFor)
				g.setDisk(i, diskLimit)
				time.Sleep(fullGap)
			}
			before := stream.acknowledged.Load()
			time.Sleep(acknowledgedWithin)
			assert.Check(t, stream.acknowledged.Load() > before, "no change was acknowledged within %s", acknowledgedWithin)
			version := stream.stop()
			for range fullChanges {
				version++
				g.put(grownDocument(t, version, c.routes))
			}
			g.read("after all disks have space", grownDocument(t, version, c.routes))
			t.Logf("%d changes acknowledged, %d of them before the last disk had space", stream.acknowledged.Load(), before)
			for i, p := range g.controls {
				var now footprint
				now.measure(p.cmd.Process.Pid, g.folders[i])
				assert.Assert(t, !now.ended, "%s ended by itself", p.name)
			}
		})
	}
}
