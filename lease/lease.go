// Package lease keeps time-to-live leases and admits registrations at a bounded
// rate. It has no clock and no locks: callers supply the time and serialize access.
package lease

import (
	"slices"
	"time"
)

// Timing of leases.
const (
	// TTL is the time to live of a lease. Three keepalives in a row may be lost before it ends.
	TTL = 8 * time.Second
	// KeepAliveInterval is the time between keepalives.
	KeepAliveInterval = 2 * time.Second
)

// Entry is the leader's state of one lease.
type Entry struct {
	// Seen is the time of the last keepalive, or of the grant.
	Seen time.Time
	// Deadline is when the lease ends unless it is renewed.
	Deadline time.Time
	// Revision is the highest configuration revision that the lease's holder confirmed.
	Revision uint64
}

// Table holds the leases of a leader by ID.
type Table struct {
	ttl     time.Duration
	entries map[uint64]*Entry
}

// NewTable returns an empty table whose leases live for ttl after each keepalive.
func NewTable(ttl time.Duration) *Table {
	return &Table{ttl: ttl, entries: make(map[uint64]*Entry)}
}

// Extend replaces the table's leases by the given ones, each with a full time to live and
// the revision confirmed before. A new leader calls it, because it does not know the
// keepalives that its predecessor received.
func (t *Table) Extend(leases []uint64, now time.Time) {
	next := make(map[uint64]*Entry, len(leases))
	for _, id := range leases {
		e := &Entry{Seen: now, Deadline: now.Add(t.ttl)}
		if old, ok := t.entries[id]; ok {
			e.Revision = old.Revision
		}
		next[id] = e
	}
	t.entries = next
}

// Adopt grants those of the given leases that the table does not hold yet. The leader calls
// it periodically: a registration can be in the log although its reply was lost, and its
// lease must expire if nobody renews it.
func (t *Table) Adopt(leases []uint64, now time.Time) {
	for _, id := range leases {
		if _, ok := t.entries[id]; !ok {
			t.Grant(id, now)
		}
	}
}

// Grant adds a lease, or renews it.
func (t *Table) Grant(id uint64, now time.Time) {
	if !t.Renew(id, 0, now) {
		t.entries[id] = &Entry{Seen: now, Deadline: now.Add(t.ttl)}
	}
}

// Renew records a keepalive and the revision it confirms. It reports whether the lease
// exists.
func (t *Table) Renew(id, revision uint64, now time.Time) bool {
	e, ok := t.entries[id]
	if !ok {
		return false
	}
	e.Seen = now
	e.Deadline = now.Add(t.ttl)
	e.Revision = max(e.Revision, revision)
	return true
}

// Remove deletes a lease.
func (t *Table) Remove(id uint64) { delete(t.entries, id) }

// Get returns a copy of a lease's entry and whether the lease exists.
func (t *Table) Get(id uint64) (Entry, bool) {
	e, ok := t.entries[id]
	if !ok {
		return Entry{}, false
	}
	return *e, true
}

// Len returns the number of leases.
func (t *Table) Len() int { return len(t.entries) }

// Expired returns the IDs of the leases past their deadline, in ascending order.
func (t *Table) Expired(now time.Time) []uint64 {
	var out []uint64
	for id, e := range t.entries {
		if now.After(e.Deadline) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}
