package timeline_test

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/timeline"
)

// Guards against duplicate times under concurrent use, and against a time that is not after
// one issued or observed before, including when the other process's wall clock is ahead.
func TestClockIssuesRisingTimes(t *testing.T) {
	var c timeline.Clock
	ahead := timeline.Time{Wall: time.Now().Add(time.Hour).UnixNano(), Logical: 7}
	c.Observe(ahead)
	const writers, each = 8, 1000
	times := make([][]timeline.Time, writers)
	var all sync.WaitGroup
	for i := range writers {
		all.Go(func() {
			for range each {
				times[i] = append(times[i], c.Now())
			}
		})
	}
	all.Wait()
	seen := make(map[timeline.Time]bool)
	for _, mine := range times {
		last := ahead
		for _, at := range mine {
			assert.Assert(t, at.Compare(last) > 0)
			assert.Assert(t, !seen[at])
			seen[at] = true
			last = at
		}
	}
}
