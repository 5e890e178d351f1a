// Package usage counts the requests of each client account that began to run, in windows of true
// time. Counters at the gateways count, a Collector at the control leader adds up what they report,
// and both agree on the time, since the wall clocks of some processes may be wrong. Nothing here
// does I/O or reads a clock.
package usage

import (
	"time"

	"toucantiller.dev/instance"
)

const (
	// ReportInterval is the time between two reports of a process. What a process has counted since
	// its last report is lost when it is killed.
	ReportInterval = 500 * time.Millisecond
	// Patience is how long after a window's end the collector waits for processes that have not
	// reported past it. A link that lost packets has recovered by then.
	Patience = 4 * time.Second
	// MaxWindows bounds the windows that are kept while control fixes none.
	MaxWindows = 24
)

// Counts are numbers of requests by the name of the client account.
type Counts map[string]uint64

// Window holds the requests that began in the window with a number. Window k covers
// [k*length, (k+1)*length) since 1970-01-01 UTC in agreed time.
type Window struct {
	Number int64
	Counts Counts
	// Processes is the number of processes that reported this window.
	Processes int
}

// WindowCounts is a process's cumulative counts of one window.
type WindowCounts struct {
	Number int64
	Counts Counts
}

// Report is what a process tells the collector. It may be repeated or arrive late: counts are
// cumulative, and clocks are given relative to the session's clock.
type Report struct {
	Process     instance.ID
	Incarnation instance.Incarnation
	// Length is the length of the process's windows; the collector ignores counts of others.
	Length time.Duration
	// Session is the collector to whose clock Wall and Agreed refer; 0 if none has replied yet.
	Session uint64
	// Wall is what the process's wall clock showed when the session's clock showed 0, and Agreed
	// the same for agreed time, in nanoseconds since 1970. Agreed is 0 while it is unknown.
	Wall, Agreed int64
	// Base is the session that has acknowledged what Windows leaves out; 0 if none has.
	Base uint64
	// Since is the first window that the process has counted from its beginning, and Through the
	// first that may still grow at it; both are 0 while agreed time is unknown.
	Since, Through int64
	// Next is the first window that is not fixed as far as the process was told.
	Next int64
	// Final is set in the last report of a process that stops.
	Final bool
	// Windows holds the counts that Base has not acknowledged.
	Windows []WindowCounts
}

// Reply answers a Report.
type Reply struct {
	// Session names the collector; each new leader has a new one.
	Session uint64
	// Length is the length of the collector's windows; 0 if usage is not counted.
	Length time.Duration
	// Position is the session's clock, the time since it began.
	Position time.Duration
	// Agreed is the agreed time when the session's clock showed 0, in nanoseconds since 1970; 0
	// while it is unknown.
	Agreed int64
	// Next is the first window that is not fixed; 0 if none is fixed yet.
	Next int64
}

// windowAt returns the number of the window that holds a moment, in nanoseconds since 1970.
func windowAt(unix int64, length time.Duration) int64 { return unix / int64(length) }
