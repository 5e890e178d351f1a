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
	// maxObservations bounds what is kept while control cannot be reached.
	maxObservations = 8192
	reportTimeout   = 2 * time.Second
)

// evidenceReporter sends a gateway's observations of services under a move to control.
type evidenceReporter struct {
	gateway instance.ID
	moving  func(service string) bool
	report  func(ctx context.Context, in *api.Evidence) error

	mu      sync.Mutex
	pending []api.Observation
}

// Observe takes one observation. Services without a move are skipped, so that the lock
// is not on the path of most requests.
func (r *evidenceReporter) Observe(o api.Observation) {
	if !r.moving(o.Service) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.pending) < maxObservations {
		r.pending = append(r.pending, o)
	}
}

// run reports until ctx ends. The sequence starts at the wall clock, so that control
// does not take reports after a restart for repeats.
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
		batch := r.take()
		if len(batch) == 0 {
			continue
		}
		seq++
		call, cancel := context.WithTimeout(ctx, reportTimeout)
		_ = r.report(call, &api.Evidence{Gateway: r.gateway, Seq: seq, Observations: batch}) // lost evidence only delays a stage
		cancel()
	}
}

func (r *evidenceReporter) take() []api.Observation {
	r.mu.Lock()
	defer r.mu.Unlock()
	batch := r.pending
	r.pending = nil
	return batch
}
