package api

import (
	"time"

	"toucantiller.dev/instance"
)

// DutiesReply answers "Control.Duties" with the state of the calls that one instance at a time
// makes.
type DutiesReply struct {
	Leader string
	// Enabled is false where the settings name no duty.
	Enabled bool
	Duties  []DutyStatus
	Usage   UsageStatus
}

// DutyStatus is the assignment of a duty.
type DutyStatus struct {
	Name    string
	Holder  instance.ID
	Address string
	// Token is 0 before the first assignment.
	Token uint64
	// Since is when the holder was assigned.
	Since time.Time
	// Wait is how long the holder still waits before its first call.
	Wait time.Duration
	// Left is the time within which a call that begins now must have ended, 0 if none may begin.
	Left time.Duration
}

// UsageStatus is the state of the reports of usage.
type UsageStatus struct {
	// LastFixed is the last window whose counts are fixed, 0 before the first.
	LastFixed int64
	// Unsent lists the fixed windows whose reports have not ended, oldest first.
	Unsent []UsageWindow
	// Ended is the report that ended last; its Outcome is empty before the first.
	Ended EndedUsage
	// Attempt is the last call of this leader; its Window is 0 before the first.
	Attempt UsageAttempt
}

// UsageWindow describes the counts of a window.
type UsageWindow struct {
	Window    int64
	Total     uint64
	Accounts  int
	Processes int
}

// EndedUsage is a report that ended.
type EndedUsage struct {
	Window   int64
	Outcome  string
	At       time.Time
	Total    uint64
	Accounts int
}

// UsageAttempt is a call that reported a window.
type UsageAttempt struct {
	Window int64
	// Attempts counts this leader's calls for the window.
	Attempts int
	At       time.Time
	// Err is empty after a call that was accepted.
	Err string
}
