package membership

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"toucantiller.dev/control/api"
	"toucantiller.dev/distribution"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/instance"
)

// SuspicionTime is how long an endpoint that this process could not reach is passed
// over.
const SuspicionTime = 3 * time.Second

// Directory gives a gateway the endpoints of each service. Readers take no lock.
//
// Suspicion is local: an endpoint that one gateway cannot reach is passed over by that
// gateway alone, and only the end of its lease removes it for all. When more than half
// of a service is suspect, the observer's own link is the likely cause, and nobody is
// passed over.
type Directory struct {
	holder *distribution.Holder
	index  atomic.Pointer[index]

	mu       sync.Mutex
	suspects atomic.Pointer[map[suspect]time.Time]
}

type index struct {
	byService map[string][]endpoint.Endpoint
	byID      map[endpoint.ID]endpoint.Endpoint
}

type suspect struct {
	id          endpoint.ID
	incarnation instance.Incarnation
}

// NewDirectory returns the directory of a holder; call Run to follow its changes.
func NewDirectory(h *distribution.Holder) *Directory {
	d := &Directory{holder: h}
	d.rebuild()
	return d
}

// Run follows the holder until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	changes, cancel := d.holder.Watch()
	defer cancel()
	for {
		d.rebuild()
		select {
		case <-ctx.Done():
			return
		case <-changes:
		}
	}
}

// Endpoints returns every endpoint of a service. Callers do not modify the slice.
func (d *Directory) Endpoints(service string) []endpoint.Endpoint {
	return d.index.Load().byService[service]
}

// Lookup finds an endpoint.
func (d *Directory) Lookup(id endpoint.ID) (endpoint.Endpoint, bool) {
	e, ok := d.index.Load().byID[id]
	return e, ok
}

// Suspect passes over an endpoint for SuspicionTime. Another incarnation of it is not
// affected.
func (d *Directory) Suspect(e endpoint.Endpoint, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := make(map[suspect]time.Time)
	if old := d.suspects.Load(); old != nil {
		for s, until := range *old {
			if now.Before(until) {
				next[s] = until
			}
		}
	}
	next[suspect{e.ID, e.Incarnation}] = now.Add(SuspicionTime)
	d.suspects.Store(&next)
}

// Reachable appends the endpoints of a service that are not suspect to buf. When more
// than half are suspect it appends all.
func (d *Directory) Reachable(service string, now time.Time, buf []endpoint.Endpoint) []endpoint.Endpoint {
	all := d.Endpoints(service)
	suspects := d.suspects.Load()
	if suspects == nil || len(*suspects) == 0 {
		return append(buf, all...)
	}
	start := len(buf)
	for _, e := range all {
		if until, ok := (*suspects)[suspect{e.ID, e.Incarnation}]; !ok || !now.Before(until) {
			buf = append(buf, e)
		}
	}
	if 2*(len(buf)-start) < len(all) {
		return append(buf[:start], all...)
	}
	return buf
}

func (d *Directory) rebuild() {
	directory := d.holder.Directory()
	if directory == nil {
		directory = &api.Directory{}
	}
	next := &index{
		byService: make(map[string][]endpoint.Endpoint),
		byID:      make(map[endpoint.ID]endpoint.Endpoint, len(directory.Endpoints)),
	}
	for _, e := range directory.Endpoints {
		next.byService[e.Service] = append(next.byService[e.Service], e)
		next.byID[e.ID] = e
	}
	d.index.Store(next)
}
