// Package distribution carries the configuration and the directory from the control
// leader to every process, with a proof of freshness. A Holder keeps a process's copy,
// a Subscriber follows control replicas or relays, and a Service passes the copy on.
package distribution

import (
	"errors"
	"math"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"toucantiller.dev/contract"
	"toucantiller.dev/control/api"
	"toucantiller.dev/instance"
	"toucantiller.dev/timeline"
	"toucantiller.dev/uptime"
)

// Timing of distribution.
const (
	// BeaconInterval is the time between a leader's beacons.
	BeaconInterval = 500 * time.Millisecond
	// UnprovenTimeout is the age of the last beacon at which an unproven version stops
	// receiving its share of requests.
	UnprovenTimeout = 2500 * time.Millisecond
)

// HistoryKept is the number of latest revisions that a Holder keeps as bases of deltas.
const HistoryKept = 8

// HistoryBytes bounds the sizes of the configurations that a Holder keeps as bases of deltas, and
// those of the directories. The newest is kept whatever its size.
const HistoryBytes = 8 << 20

// NeverFresh is the age that Freshness returns before the first beacon.
const NeverFresh = time.Duration(math.MaxInt64)

// ErrUnknownBase is returned for a delta on a revision that the holder does not have.
var ErrUnknownBase = errors.New("delta does not apply to the revision held")

// Holder keeps a process's copy of the configuration and the directory. Readers take no
// lock. A revision is only replaced by a higher one.
type Holder struct {
	config    atomic.Pointer[contract.Config]
	directory atomic.Pointer[api.Directory]
	beacon    atomic.Pointer[heldBeacon]
	recorder  *timeline.Recorder
	// sinceBoot reads the clock that counts time in suspend, as uptime.SinceBoot does.
	sinceBoot func() (since time.Duration, ok bool)

	mu sync.Mutex
	// progress is closed and replaced when a value or the beacon advances, or path changes.
	progress chan struct{}
	// path lists the processes from control down to this one, as View.Path does.
	path        []instance.ID
	watchers    map[chan struct{}]struct{}
	configs     history[contract.Config, api.ConfigDelta]
	directories history[api.Directory, api.DirectoryDelta]
}

// heldBeacon is the newest beacon and the latest moment at which it can have been issued.
type heldBeacon struct {
	term, seq, revision uint64
	issued              uptime.Instant
}

// NewHolder returns an empty holder. recorder may be nil.
func NewHolder(recorder *timeline.Recorder) *Holder {
	return &Holder{
		recorder:  recorder,
		sinceBoot: uptime.SinceBoot,
		progress:  make(chan struct{}),
		watchers:  make(map[chan struct{}]struct{}),
	}
}

// Config returns the configuration in force, or nil before the first is accepted.
func (h *Holder) Config() *contract.Config { return h.config.Load() }

// Directory returns the directory, or nil before the first is accepted.
func (h *Holder) Directory() *api.Directory { return h.directory.Load() }

// Revision returns the configuration revision in force, or 0 before the first.
func (h *Holder) Revision() uint64 {
	if c := h.config.Load(); c != nil {
		return c.Revision
	}
	return 0
}

// Freshness returns the age of the last beacon, or NeverFresh before the first.
func (h *Holder) Freshness(now time.Time) time.Duration {
	b := h.beacon.Load()
	if b == nil {
		return NeverFresh
	}
	return uptime.At(now, h.sinceBoot).Sub(b.issued)
}

// now returns the present moment.
func (h *Holder) now() uptime.Instant { return uptime.At(time.Now(), h.sinceBoot) }

// FreshnessText returns the age of the last beacon in milliseconds for logs, or "never" before
// the first.
func (h *Holder) FreshnessText(now time.Time) string {
	age := h.Freshness(now)
	if age == NeverFresh {
		return "never"
	}
	return strconv.FormatInt(age.Milliseconds(), 10)
}

// MayServe reports whether the process may accept new work: it has a configuration, and the
// last beacon is no older than the bundle's serve_stale time.
func (h *Holder) MayServe(now time.Time) bool {
	c := h.config.Load()
	return c != nil && h.Freshness(now) <= c.ServeStale
}

// UnprovenAllowed reports whether an unproven version may receive its share.
func (h *Holder) UnprovenAllowed(now time.Time) bool {
	return h.Freshness(now) < UnprovenTimeout
}

// Watch returns a channel that receives after each change of the configuration or the
// directory; changes in quick succession may be reported once. Call cancel to stop.
func (h *Holder) Watch() (changes <-chan struct{}, cancel func()) {
	ch := make(chan struct{}, 1)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.watchers[ch] = struct{}{}
	return ch, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.watchers, ch)
	}
}

// Accept adopts what is newer in the view and reports whether the configuration or the
// directory changed. The beacon's age counts back from asOf, a moment no later than the one at
// which the sender built the view; it is read before the sender is asked, so that a process that
// stands still at any later step does not take an old view for a new one. Accept returns
// ErrUnknownBase for a delta on a revision that the holder does not have.
func (h *Holder) Accept(v *api.View, asOf uptime.Instant) (changed bool, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	config, err := h.nextConfig(v)
	if err != nil {
		return false, err
	}
	directory, err := h.nextDirectory(v)
	if err != nil {
		return false, err
	}
	if config != nil {
		h.configs.add(config.Revision, config)
		h.config.Store(config)
		h.recorder.Record(timeline.Event{Kind: "config.accepted", Revision: config.Revision})
	}
	if directory != nil {
		h.directories.add(directory.Revision, directory)
		h.directory.Store(directory)
	}
	changed = config != nil || directory != nil
	progressed := h.acceptBeacon(v.Beacon, asOf.Add(-v.Beacon.Age))
	if changed || progressed {
		h.notifyProgress()
	}
	if changed {
		h.notifyWatchers()
	}
	return changed, nil
}

// nextConfig returns the configuration in the view, or nil when it contains none that is
// newer than the present one.
func (h *Holder) nextConfig(v *api.View) (*contract.Config, error) {
	current := h.config.Load()
	switch {
	case v.Config != nil:
		if current != nil && v.Config.Revision <= current.Revision {
			return nil, nil
		}
		return contract.NewConfig(*v.Config), nil
	case v.ConfigDelta != nil:
		if current != nil && v.ConfigDelta.Header.Revision <= current.Revision {
			return nil, nil
		}
		if current == nil || current.Revision != v.ConfigDelta.From {
			return nil, ErrUnknownBase
		}
		return applyConfig(current, v.ConfigDelta), nil
	}
	return nil, nil
}

func (h *Holder) nextDirectory(v *api.View) (*api.Directory, error) {
	current := h.directory.Load()
	switch {
	case v.Directory != nil:
		if current != nil && v.Directory.Revision <= current.Revision {
			return nil, nil
		}
		return v.Directory, nil
	case v.DirectoryDelta != nil:
		if current != nil && v.DirectoryDelta.To <= current.Revision {
			return nil, nil
		}
		if current == nil || current.Revision != v.DirectoryDelta.From {
			return nil, ErrUnknownBase
		}
		return applyDirectory(current, v.DirectoryDelta), nil
	}
	return nil, nil
}

// acceptBeacon keeps the latest beacon and reports whether its sequence advanced. A beacon
// for a newer revision than the process has does not prove that its own is current, so it
// is ignored. issued is the latest moment at which the beacon can have been issued.
func (h *Holder) acceptBeacon(b api.Beacon, issued uptime.Instant) (progressed bool) {
	if b.Term == 0 || b.Revision > h.Revision() {
		return false
	}
	next := heldBeacon{term: b.Term, seq: b.Seq, revision: b.Revision, issued: issued}
	last := h.beacon.Load()
	if last == nil {
		h.beacon.Store(&next)
		return true
	}
	progressed = beaconNewer(b.Term, b.Seq, last.term, last.seq)
	if !progressed {
		next.term, next.seq, next.revision = last.term, last.seq, last.revision
	}
	if now := h.now(); now.Sub(last.issued) < now.Sub(issued) {
		next.issued = last.issued
	}
	h.beacon.Store(&next)
	return progressed
}

func beaconNewer(term, seq, thanTerm, thanSeq uint64) bool {
	return term > thanTerm || (term == thanTerm && seq > thanSeq)
}

// SetPath records the processes from control down to this one. Subscribers that are waiting
// and are among them are answered at once.
func (h *Holder) SetPath(path []instance.ID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if slices.Equal(h.path, path) {
		return
	}
	h.path = path
	h.notifyProgress()
}

func (h *Holder) notifyProgress() {
	close(h.progress)
	h.progress = make(chan struct{})
}

func (h *Holder) notifyWatchers() {
	for ch := range h.watchers {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}
