package replica

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/consensus"
)

// Guards against proposals of megabytes that fill the memory while they wait for a replica that
// takes none, and against a place that one keeps after it gave up.
func TestWaitingProposalsAreBoundedInBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newSimulation(1, func(int) int { return 0 }).nodes[0].replica
		r.proposals.waiting = nil // no place in the queue
		for range 2 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			refused := make(chan bool)
			const calls = 2 * maxQueuedProposalBytes / MaxCommandBytes
			for range calls {
				go func() {
					_, err := r.Propose(ctx, make([]byte, MaxCommandBytes))
					refused <- errors.Is(err, consensus.ErrBacklogFull)
				}()
			}
			count := 0
			for range calls {
				if <-refused {
					count++
				}
			}
			cancel()
			assert.Equal(t, count, calls/2)
		}
	})
}
