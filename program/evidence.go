package program

import (
	"context"
	"sync"
	"time"

	"toucantiller.dev/control/api"
	"toucantiller.dev/instance"
)

const (
	// evidenceInterval is the time between reports to control.
	evidenceInterval = 250 * time.Millisecond
	// maxObservations bounds the observations buffered until the next report, which waits up to
	// reportTimeout for the one before while control cannot be reached.
	maxObservations = 8192
	reportTimeout   = 2 * time.Second
)

// evidenceReporter sends a gateway's observations of services under a move to control.
type evidenceReporter struct {
	gateway   instance.ID
	underMove func(service string) bool
	report    func(ctx context.Context, in *api.Evidence) error

	mu      sync.Mutex
	pending []api.Observation
}

// Observe buffers one observation, or drops it if the buffer is full. Services without a
// move are skipped, so that most requests do not take the lock.
func (r *evidenceReporter) Observe(o api.Observation) {
	if !r.underMove(o.Service) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.pending) < maxObservations {
		r.pending = append(r.pending, o)
	}
}

// run sends reports until ctx ends. Sequence numbers start at the wall clock, so that control
// does not treat reports after a restart as duplicates.
func (r *evidenceReporter) run(ctx context.Context) {
	ticker := time.NewTicker(evidenceInterval)
	defer ticker.Stop()
	seq := uint64(time.Now().UnixNano()) //nolint:gosec // the time is after 1970
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		batch := r.takePending()
		if len(batch) == 0 {
			continue
		}
		seq++
		call, cancel := context.WithTimeout(ctx, reportTimeout)
		_ = r.report(call, &api.Evidence{Gateway: r.gateway, Seq: seq, Observations: batch}) // a lost report only delays a stage
		cancel()
	}
}

func (r *evidenceReporter) takePending() []api.Observation {
	r.mu.Lock()
	defer r.mu.Unlock()
	batch := r.pending
	r.pending = nil
	return batch
}
