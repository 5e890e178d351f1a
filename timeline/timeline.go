// Package timeline records the events of all processes. Each event carries a hybrid logical
// time, which keeps causal order when the clocks of the processes differ.
package timeline

import (
	"cmp"
	"fmt"
	"strconv"
	"sync/atomic"
	"time"
)

// Time is a hybrid logical time: the wall clock in nanoseconds and a counter that
// orders events within one reading.
type Time struct {
	Wall    int64  `json:"wall" msgpack:"wall"`
	Logical uint32 `json:"logical" msgpack:"logical"`
}

// Compare returns -1, 0 or +1 as t is before, equal to or after o.
func (t Time) Compare(o Time) int {
	if c := cmp.Compare(t.Wall, o.Wall); c != 0 {
		return c
	}
	return cmp.Compare(t.Logical, o.Logical)
}

// String returns "wall.logical".
func (t Time) String() string { return fmt.Sprintf("%d.%d", t.Wall, t.Logical) }

// Clock issues hybrid logical times. Its zero value is ready for use. It takes no lock,
// since every request of a process records events.
type Clock struct{ last atomic.Int64 }

// Now returns a time after every time issued or observed before. Where the wall clock
// has not moved on, the time is 1 ns ahead of it instead of counting in Logical.
func (c *Clock) Now() Time {
	for {
		last := c.last.Load()
		wall := max(time.Now().UnixNano(), last+1)
		if c.last.CompareAndSwap(last, wall) {
			return Time{Wall: wall}
		}
	}
}

// Observe merges a time received from another process: later calls of Now return times
// after it.
func (c *Clock) Observe(t Time) {
	wall := t.Wall
	if t.Logical > 0 {
		wall++
	}
	for {
		last := c.last.Load()
		if wall <= last || c.last.CompareAndSwap(last, wall) {
			return
		}
	}
}

// Kind names what happened, as "object.verb", for example "domain.drained".
type Kind string

// Event is one change of state or one step of a request.
type Event struct {
	At      Time   `json:"at" msgpack:"at"`
	Process string `json:"process" msgpack:"process"`
	Seq     uint64 `json:"seq" msgpack:"seq"`
	Kind    Kind   `json:"kind" msgpack:"kind"`
	// Cause is the "process/seq" of the event that led to this one, where known.
	Cause    string `json:"cause,omitempty" msgpack:"cause"`
	Request  string `json:"request,omitempty" msgpack:"request"`
	Endpoint string `json:"endpoint,omitempty" msgpack:"endpoint"`
	Move     string `json:"move,omitempty" msgpack:"move"`
	Domain   string `json:"domain,omitempty" msgpack:"domain"`
	Revision uint64 `json:"revision,omitempty" msgpack:"revision"`
	Detail   string `json:"detail,omitempty" msgpack:"detail"`
}

// DefaultCapacity is the number of events a Recorder keeps.
const DefaultCapacity = 4096

// Recorder keeps the latest events of one process in a ring buffer. Writers take no lock:
// an atomic counter assigns each event its slot.
type Recorder struct {
	process string
	clock   *Clock
	next    atomic.Uint64
	slots   []atomic.Pointer[Event]
}

// NewRecorder returns a recorder for a process. capacity 0 means DefaultCapacity.
func NewRecorder(process string, clock *Clock, capacity int) *Recorder {
	if capacity <= 0 {
		capacity = DefaultCapacity
	}
	if clock == nil {
		clock = &Clock{}
	}
	return &Recorder{process: process, clock: clock, slots: make([]atomic.Pointer[Event], capacity)}
}

// Clock returns the recorder's clock.
func (r *Recorder) Clock() *Clock { return r.clock }

// Record sets the time, process and sequence number of an event, stores it and returns its
// identity, "process/seq". A nil
// Recorder discards events.
func (r *Recorder) Record(e Event) string {
	if r == nil {
		return ""
	}
	seq := r.next.Add(1)
	e.At = r.clock.Now()
	e.Process = r.process
	e.Seq = seq
	r.slots[(seq-1)%uint64(len(r.slots))].Store(&e)
	return r.process + "/" + strconv.FormatUint(seq, 10)
}

// Events returns the kept events that match, oldest first.
func (r *Recorder) Events(f Filter) []Event {
	if r == nil {
		return nil
	}
	out := make([]Event, 0, len(r.slots))
	for i := range r.slots {
		if e := r.slots[i].Load(); e != nil && f.Match(e) {
			out = append(out, *e)
		}
	}
	Sort(out)
	return out
}
