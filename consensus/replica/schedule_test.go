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

// Schedules of the seeded run and events of each one. TOUCAN_SCHEDULES sets another number
// of schedules, TOUCAN_SCHEDULE_SEED another first seed.
const (
	schedules      = 10_000
	scheduleEvents = 250
)

func setting(t *testing.T, name string, value int) int {
	t.Helper()
	if s := os.Getenv(name); s != "" {
		v, err := strconv.Atoi(s)
		assert.NilError(t, err, name)
		return v
	}
	return value
}

// runSchedule plays events and returns the world after all faults ended.
func runSchedule(size, events int, choose func(int) int) *world {
	w := newWorld(size, choose)
	if choose(4) > 0 {
		w.warmUp()
	}
	for i := range events {
		w.act()
		if i%25 == 0 {
			w.check.logsMatch(w.nodes)
		}
		if w.check.err != nil {
			return w
		}
	}
	w.heal()
	w.check.logsMatch(w.nodes)
	return w
}

// Guards against two leaders of a term, logs that diverge, leaders that lack committed
// entries, lost or repeated commands, reads of the past and groups that do not recover,
// under lost, copied and reordered messages, one-way partitions, crashes at any step of a
// write, restarts, replaced disks and membership changes.
func TestSchedules(t *testing.T) {
	first, count := setting(t, "TOUCAN_SCHEDULE_SEED", 1), setting(t, "TOUCAN_SCHEDULES", schedules)
	// The worlds are small and short-lived, so that collecting them often costs more than
	// the schedules.
	defer debug.SetGCPercent(debug.SetGCPercent(1000))
	var mu sync.Mutex
	var answers, reads, losses, elections int
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
	t.Logf("%d schedules: %d answered calls (%d reads), %d elections, %d lost disks",
		count, answers, reads, elections, losses)
	if !t.Failed() {
		assert.Assert(t, answers > count && reads > count/10 && elections > count && losses > count/100,
			"the schedules do not reach what they test")
	}
}

// Guards against a replica that forgets its vote or term over a crash, and votes twice.
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

// Guards against the same faults with schedules that rapid shrinks.
func TestRapidSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		if err := runSchedule(3, 60, choose).check.err; err != nil {
			t.Fatal(err)
		}
	})
}
