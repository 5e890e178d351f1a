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

// SuspicionTime is how long Reachable omits an endpoint that this process could not reach.
const SuspicionTime = 3 * time.Second

// Directory provides a gateway with the endpoints of each service. Readers take no lock.
//
// Suspicion is local: only the gateway that cannot reach an endpoint skips it, and only the
// end of the endpoint's lease removes it for all gateways. When more than half of a
// service's endpoints are suspect, the gateway's own link is the likely cause, and none is
// skipped.
type Directory struct {
	holder *distribution.Holder
	index  atomic.Pointer[endpointIndex]

	mu       sync.Mutex
	suspects atomic.Pointer[map[suspectKey]time.Time]
}

type endpointIndex struct {
	byService map[string][]endpoint.Endpoint
	byID      map[endpoint.ID]endpoint.Endpoint
}

type suspectKey struct {
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

// Endpoints returns every endpoint of a service. Callers must not modify the slice.
func (d *Directory) Endpoints(service string) []endpoint.Endpoint {
	return d.index.Load().byService[service]
}

// Lookup returns the endpoint with an ID, and whether the directory lists it.
func (d *Directory) Lookup(id endpoint.ID) (endpoint.Endpoint, bool) {
	e, ok := d.index.Load().byID[id]
	return e, ok
}

// Suspect marks an incarnation of an endpoint as suspect for SuspicionTime. Other
// incarnations are not affected.
func (d *Directory) Suspect(e endpoint.Endpoint, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := make(map[suspectKey]time.Time)
	if old := d.suspects.Load(); old != nil {
		for s, until := range *old {
			if now.Before(until) {
				next[s] = until
			}
		}
	}
	next[suspectKey{e.ID, e.Incarnation}] = now.Add(SuspicionTime)
	d.suspects.Store(&next)
}

// Reachable appends to buf the endpoints of a service that are not suspect, or all of them
// when more than half are suspect.
func (d *Directory) Reachable(service string, now time.Time, buf []endpoint.Endpoint) []endpoint.Endpoint {
	all := d.Endpoints(service)
	suspects := d.suspects.Load()
	if suspects == nil || len(*suspects) == 0 {
		return append(buf, all...)
	}
	start := len(buf)
	for _, e := range all {
		if until, ok := (*suspects)[suspectKey{e.ID, e.Incarnation}]; !ok || !now.Before(until) {
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
	next := &endpointIndex{
		byService: make(map[string][]endpoint.Endpoint),
		byID:      make(map[endpoint.ID]endpoint.Endpoint, len(directory.Endpoints)),
	}
	for _, e := range directory.Endpoints {
		next.byService[e.Service] = append(next.byService[e.Service], e)
		next.byID[e.ID] = e
	}
	d.index.Store(next)
}
