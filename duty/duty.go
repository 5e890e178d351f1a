// Package duty judges when an instance may act for a duty: a kind of calls to an outside system
// that one instance at a time makes. The replicated log assigns the duty and its fencing tokens;
// this package decides from instants alone, and does no I/O.
package duty

import (
	"time"

	"toucantiller.dev/uptime"
)

// Name names a duty.
type Name string

// UsageReports is the duty to report the usage of client accounts.
const UsageReports Name = "usage-reports"

// Parts of a lease.
const (
	// Calls must have ended within lease/useDivisor of a confirmation. With half of the lease, two
	// changes of holder take a whole one even if each new holder begins as soon as it may.
	useDivisor = 2
	// A new holder waits lease/marginDivisor beyond the lease, for clocks that run at different
	// speeds.
	marginDivisor = 16
)

// Hold is an instance's own view of its right to act for a duty. It is not safe for concurrent use.
//
// The leader confirms that it leads at some time after it began to ask. Another leader is elected
// after that, and so is assigned the duty later than the confirmation began. Calls of the holder
// end within half of a lease of the confirmation, and those of a new holder begin a whole lease
// after it was assigned the duty; so calls of two holders are half a lease apart at least.
type Hold struct {
	lease time.Duration
	token uint64
	// assigned is an instant after the assignment with token was committed.
	assigned uptime.Instant
	// confirmed is an instant before the last confirmation.
	confirmed   uptime.Instant
	isConfirmed bool
}

// NewHold returns the hold of an instance that has no token yet.
func NewHold(lease time.Duration) *Hold { return &Hold{lease: lease} }

// Assign records that the log names this instance as the holder with a token. at is an instant
// after the assignment was committed. A token that this process hasn't had starts the wait, also
// when an earlier process on the instance had it, as that one may not have waited.
func (h *Hold) Assign(token uint64, at uptime.Instant) {
	if token != h.token {
		*h = Hold{lease: h.lease, token: token, assigned: at}
	}
}

// Confirm records that a quorum has confirmed this instance as the leader while the log named it as
// the holder with token. at is an instant before the confirmation began.
func (h *Hold) Confirm(token uint64, at uptime.Instant) {
	if token != h.token || h.isConfirmed && h.confirmed.Sub(at) > 0 {
		return
	}
	h.confirmed, h.isConfirmed = at, true
}

// Lose ends the right to begin calls until the next confirmation.
func (h *Hold) Lose() { h.isConfirmed = false }

// Token returns the fencing token, 0 before the first assignment.
func (h *Hold) Token() uint64 { return h.token }

// NewHolderWait returns how long a new holder waits after its assignment.
func NewHolderWait(lease time.Duration) time.Duration { return lease + lease/marginDivisor }

// Wait returns how long the holder waits before its first call.
func (h *Hold) Wait(now uptime.Instant) time.Duration {
	return max(0, NewHolderWait(h.lease)-now.Sub(h.assigned))
}

// Left returns the time within which a call that begins now must have ended; 0 if none may begin.
func (h *Hold) Left(now uptime.Instant) time.Duration {
	if h.token == 0 || !h.isConfirmed || h.Wait(now) > 0 {
		return 0
	}
	return max(0, h.lease/useDivisor-now.Sub(h.confirmed))
}
