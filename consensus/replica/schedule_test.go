package replica

import (
	"math/rand/v2"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"toucantiller.dev/consensus"
	"toucantiller.dev/wal"
	"toucantiller.dev/wal/faultfs"
)

// Number of schedules that TestSchedules runs, and of events in each one. The environment
// variables TOUCAN_SCHEDULES and TOUCAN_SCHEDULE_SEED override the number of schedules and
// the first seed, which is 1 by default.
const (
	schedules      = 10_000
	scheduleEvents = 250
)

func envInt(t *testing.T, name string, value int) int {
	t.Helper()
	if s := os.Getenv(name); s != "" {
		v, err := strconv.Atoi(s)
		assert.NilError(t, err, name)
		return v
	}
	return value
}

// runSchedule runs a number of random events, ends all faults and returns the simulation. It
// stops at the first violation.
func runSchedule(size, events int, choose func(int) int) *simulation {
	w := newSimulation(size, choose)
	if choose(4) > 0 {
		w.runUntilElection()
	}
	for i := range events {
		w.randomEvent()
		if i%25 == 0 {
			w.check.checkLogMatching(w.nodes)
		}
		if w.check.err != nil {
			return w
		}
	}
	w.healAndCheck()
	w.check.checkLogMatching(w.nodes)
	return w
}

// Guards against two leaders of a term, logs that diverge, leaders that lack committed
// entries, lost or repeated commands, stale reads and groups that do not recover, under
// lost, duplicated and reordered messages, one-way partitions, crashes at any step of a
// write, restarts, full disks, replaced disks and membership changes.
func TestSchedules(t *testing.T) {
	first, count := envInt(t, "TOUCAN_SCHEDULE_SEED", 1), envInt(t, "TOUCAN_SCHEDULES", schedules)
	// Simulations are small and short-lived: at the default GC rate, collecting them costs
	// more than running them.
	defer debug.SetGCPercent(debug.SetGCPercent(1000))
	var mu sync.Mutex
	var answers, reads, losses, elections, blocked int
	seeds := make(chan int)
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for seed := range seeds {
				rng := rand.New(rand.NewPCG(uint64(seed), 0))
				size := 3
				if seed%3 == 0 {
					size = 5
				}
				c := runSchedule(size, scheduleEvents, rng.IntN).check
				if c.err != nil {
					t.Errorf("seed %d: %v", seed, c.err)
				}
				mu.Lock()
				answers += c.answers
				reads += c.reads
				losses += c.losses
				elections += c.elections
				blocked += c.blocked
				mu.Unlock()
			}
		})
	}
	for i := range count {
		if t.Failed() {
			break
		}
		seeds <- first + i
	}
	close(seeds)
	workers.Wait()
	t.Logf("%d schedules: %d answered calls (%d reads), %d elections, %d lost disks, %d events at replicas without space",
		count, answers, reads, elections, losses, blocked)
	if !t.Failed() {
		assert.Assert(t, answers > count && reads > count/10 && elections > count && losses > count/100 && blocked > count/100,
			"the schedules do not reach what they test")
	}
}

// Guards against a replica that loses its vote or term in a crash, and votes twice in a term.
func TestVoteSurvivesACrash(t *testing.T) {
	disk := faultfs.New(1)
	s, _, err := openStorage("/data", wal.Options{FS: disk})
	assert.NilError(t, err)
	want := consensus.State{Term: 3, Vote: 7}
	assert.NilError(t, s.save(&consensus.Ready{State: &want}))
	disk.Restart()
	_, found, err := openStorage("/data", wal.Options{FS: disk})
	assert.NilError(t, err)
	assert.DeepEqual(t, found.State, want)
}

// Guards against a replica without a snapshot whose start as a founder replaces its vote and term.
func TestVoteSurvivesTheStartOfAFounder(t *testing.T) {
	disk := faultfs.New(1)
	s, _, err := openStorage("/data", wal.Options{FS: disk})
	assert.NilError(t, err)
	want := consensus.State{Term: 3, Vote: 7}
	assert.NilError(t, s.save(&consensus.Ready{State: &want}))
	disk.Restart()
	h := &host{}
	_, err = open(Config{DataFolder: "/data", Address: "a", InitialMembers: []string{"a", "b"}, Transport: h, StateMachine: h, FS: disk})
	assert.NilError(t, err)
	disk.Restart()
	_, found, err := openStorage("/data", wal.Options{FS: disk})
	assert.NilError(t, err)
	assert.DeepEqual(t, found.State, want)
}

// Guards against the same faults as TestSchedules, with schedules that rapid generates and
// shrinks.
func TestRapidSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		if err := runSchedule(3, 60, choose).check.err; err != nil {
			t.Fatal(err)
		}
	})
}
