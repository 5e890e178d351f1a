// Package usage counts the requests that began to run for each client account.
package usage

import (
	"time"

	"toucantiller.dev/instance"
	"toucantiller.dev/uptime"
)

// Counts holds the requests that began to run, by the name of the account.
type Counts map[string]uint64

// Window is the count of one window: window k covers [k*length, (k+1)*length) since 1970-01-01 UTC
// in agreed time.
type Window struct {
	Number int64
	Counts Counts
	// Processes is the number of processes that reported it.
	Processes int
}

// Collector gathers the counts of all processes at the leader.
type Collector struct{}

// NewCollector returns a collector of windows of a length.
func NewCollector(time.Duration) *Collector { return &Collector{} }

// Due returns the windows from number first on that may be fixed now, oldest first.
func (c *Collector) Due(uptime.Instant, int64, []instance.ID) []Window { return nil }

// Now returns the agreed time.
func (c *Collector) Now(uptime.Instant) (time.Time, bool) { return time.Time{}, false }
