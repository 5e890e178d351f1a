// Package membership keeps processes registered with control and provides gateways with the
// endpoints of each service.
package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"toucantiller.dev/control/api"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/instance"
	"toucantiller.dev/lease"
	"toucantiller.dev/timeline"
)

// Timing of announcers.
const (
	// retryDelay is the mean pause between a failed call and the next.
	retryDelay = 500 * time.Millisecond
	// attemptTimeout bounds one call including its redirects and retries.
	attemptTimeout = lease.KeepAliveInterval
)

// Control is the part of the control client that an Announcer needs. Implementations follow
// redirects to the leader and try several addresses.
type Control interface {
	Register(ctx context.Context, in *api.Register) (*api.RegisterReply, error)
	KeepAlive(ctx context.Context, in *api.KeepAlive) (*api.KeepAliveReply, error)
}

// Configuration is the part of distribution.Holder that an Announcer needs.
type Configuration interface {
	Revision() uint64
	Watch() (changes <-chan struct{}, cancel func())
}

// Options configures an Announcer.
type Options struct {
	Control Control
	// Configuration supplies the revision that keepalives confirm.
	Configuration Configuration
	Self          instance.Instance
	// Endpoint is set for agents.
	Endpoint *endpoint.Endpoint
	Recorder *timeline.Recorder
}

// Announcer registers a process, keeps its lease alive and confirms each configuration
// revision to control as soon as the process holds it.
type Announcer struct {
	opts     Options
	lease    atomic.Uint64
	endpoint atomic.Pointer[endpoint.Endpoint]
	self     atomic.Pointer[instance.Instance]
	// changed receives when the process must register again because it or its endpoint has
	// changed.
	changed   chan struct{}
	leaving   chan struct{}
	leaveOnce sync.Once
	done      chan struct{}
}

// NewAnnouncer returns an announcer; call Run to start it.
func NewAnnouncer(opts Options) *Announcer {
	a := &Announcer{opts: opts, changed: make(chan struct{}, 1), leaving: make(chan struct{}), done: make(chan struct{})}
	a.endpoint.Store(opts.Endpoint)
	a.self.Store(&opts.Self)
	return a
}

// Lease returns the ID of the lease held, or 0 without a lease.
func (a *Announcer) Lease() uint64 { return a.lease.Load() }

// SetEndpoint announces a change of the endpoint, such as another version.
func (a *Announcer) SetEndpoint(e endpoint.Endpoint) {
	a.endpoint.Store(&e)
	signal(a.changed)
}

// SetSelf announces a change of the process, such as an address that it stopped serving at.
func (a *Announcer) SetSelf(self instance.Instance) {
	a.self.Store(&self)
	signal(a.changed)
}

// Run keeps the process registered until ctx ends or Leave is called.
func (a *Announcer) Run(ctx context.Context) {
	defer close(a.done)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-a.leaving:
			cancel()
		case <-ctx.Done():
		}
	}()
	changes, unwatch := a.opts.Configuration.Watch()
	defer unwatch()
	for ctx.Err() == nil {
		if !a.register(ctx) {
			continue
		}
		a.keepAlive(ctx, changes)
	}
}

// Leave deregisters the process and stops Run, which must have been started. After an error
// control may not know, and the lease ends by its time to live.
func (a *Announcer) Leave(ctx context.Context) error {
	a.leaveOnce.Do(func() { close(a.leaving) })
	select {
	case <-a.done:
	case <-ctx.Done():
		return ctx.Err()
	}
	id := a.lease.Swap(0)
	if id == 0 {
		return nil
	}
	in := &api.KeepAlive{Lease: id, Instance: a.opts.Self.ID, Revision: a.opts.Configuration.Revision(), Leaving: true}
	_, err := a.opts.Control.KeepAlive(ctx, in)
	a.opts.Recorder.Record(timeline.Event{Kind: "process.left"})
	return err
}

// register tries once to register the process and reports whether it holds a lease. Before
// it returns false it waits for retryDelay, or as long as control asks.
func (a *Announcer) register(ctx context.Context) bool {
	attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	reply, err := a.opts.Control.Register(attempt, &api.Register{Instance: *a.self.Load(), Endpoint: a.endpoint.Load()})
	switch {
	case err != nil:
		sleep(ctx, jitter(retryDelay))
		return false
	case reply.RetryAfter > 0:
		sleep(ctx, reply.RetryAfter)
		return false
	}
	a.lease.Store(reply.Lease)
	a.opts.Recorder.Record(timeline.Event{Kind: "process.registered"})
	return true
}

// keepAlive renews the lease until control does not know it, the process or its endpoint
// changes, or ctx ends.
func (a *Announcer) keepAlive(ctx context.Context, changes <-chan struct{}) {
	for confirmed := uint64(0); ; {
		revision := a.opts.Configuration.Revision()
		known, err := a.renew(ctx, revision)
		wait := jitter(lease.KeepAliveInterval)
		switch {
		case err != nil:
			wait = jitter(retryDelay)
		case !known:
			a.opts.Recorder.Record(timeline.Event{Kind: "process.lease_lost"})
			a.lease.Store(0)
			return
		default:
			confirmed = revision
		}
		if !a.waitForRenewal(ctx, wait, changes, confirmed) {
			return
		}
	}
}

func (a *Announcer) renew(ctx context.Context, revision uint64) (known bool, err error) {
	attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	reply, err := a.opts.Control.KeepAlive(attempt, &api.KeepAlive{Lease: a.lease.Load(), Instance: a.opts.Self.ID, Revision: revision})
	if err != nil {
		return false, err
	}
	return reply.Known, nil
}

// waitForRenewal returns true when a keepalive is due: after d, or as soon as a revision is
// in force that is not confirmed yet. It returns false when the process or its endpoint has
// changed or ctx ends.
func (a *Announcer) waitForRenewal(ctx context.Context, d time.Duration, changes <-chan struct{}, confirmed uint64) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-a.changed:
			return false
		case <-timer.C:
			return true
		case <-changes:
			if a.opts.Configuration.Revision() > confirmed {
				return true
			}
		}
	}
}

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// jitter returns a random duration between half and one and a half times the mean.
func jitter(mean time.Duration) time.Duration { return mean/2 + rand.N(mean) }

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
