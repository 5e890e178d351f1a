package state

import (
	"fmt"
	"time"

	"toucantiller.dev/duty"
	"toucantiller.dev/instance"
	"toucantiller.dev/usage"
)

// MaxUnsentWindows bounds the fixed windows whose reports have no outcome yet.
const MaxUnsentWindows = 64

// AssignDuty makes an instance the holder of a duty. It keeps its token if it is the holder.
type AssignDuty struct {
	Duty   duty.Name
	Holder instance.ID
	// Address is the link address of the holder's process: an instance that replaces another one
	// under its name is another holder.
	Address string
}

// FixUsage fixes the counts of windows. A window that is fixed, or is older than one that is, keeps
// what it has.
type FixUsage struct{ Windows []usage.Window }

// UsageOutcome is how the report of a window ended.
type UsageOutcome string

// Outcomes of reports.
const (
	UsageAccepted UsageOutcome = "accepted"
	UsageRejected UsageOutcome = "rejected"
	// UsageGivenUp is the outcome of a report that was not accepted in time.
	UsageGivenUp UsageOutcome = "given up"
)

// EndUsage ends the report of a window.
type EndUsage struct {
	Window  int64
	Outcome UsageOutcome
}

// Duty is the assignment of a duty.
type Duty struct {
	Holder  instance.ID
	Address string
	// Token grows at each change of holder.
	Token uint64
	// Since is when the holder was assigned.
	Since time.Time
}

// UsageReports is the state of the reports of usage.
type UsageReports struct {
	// Next is the first window that is not fixed, 0 if none ever was.
	Next int64
	// Unsent holds the fixed windows whose reports have not ended, oldest first.
	Unsent []usage.Window
	// Last is the report that ended last; its Outcome is empty before the first.
	Last EndedReport
}

// EndedReport is a report that ended.
type EndedReport struct {
	Window  int64
	Outcome UsageOutcome
	At      time.Time
	// Total and Accounts describe the counts, which are dropped.
	Total    uint64
	Accounts int
}

func (s *State) assignDuty(c *AssignDuty) *Result {
	if c.Duty == "" || c.Holder == "" {
		return &Result{Refused: "the duty or its holder has no name"}
	}
	d, ok := s.data.Duties[c.Duty]
	if !ok {
		d = &Duty{}
		s.data.Duties[c.Duty] = d
	}
	if d.Holder != c.Holder || d.Address != c.Address {
		*d = Duty{Holder: c.Holder, Address: c.Address, Token: s.nextDutyToken(d), Since: s.data.Now}
	}
	return &Result{Token: d.Token}
}

// nextDutyToken returns a token above those of the duty so far. It is at least the time in
// milliseconds, so that a group that was formed anew without its log goes on above the tokens that
// are out.
func (s *State) nextDutyToken(d *Duty) uint64 {
	return max(d.Token+1, uint64(max(0, s.data.Now.UnixMilli()))) //nolint:gosec // not negative
}

func (s *State) fixUsage(c *FixUsage) *Result {
	u := &s.data.Usage
	for _, w := range c.Windows {
		switch {
		case w.Number < u.Next || w.Number <= 0:
			return &Result{Refused: fmt.Sprintf("window %d is fixed or over", w.Number)}
		case s.UsageRoom() <= 0:
			return &Result{Refused: fmt.Sprintf("%d windows wait for their reports", len(u.Unsent))}
		}
		u.Unsent = append(u.Unsent, w)
		u.Next = w.Number + 1
	}
	return &Result{}
}

func (s *State) endUsage(c *EndUsage) *Result {
	u := &s.data.Usage
	for i, w := range u.Unsent {
		if w.Number == c.Window {
			u.Last = EndedReport{Window: c.Window, Outcome: c.Outcome, At: s.data.Now, Total: totalOf(w.Counts), Accounts: len(w.Counts)}
			u.Unsent = append(u.Unsent[:i:i], u.Unsent[i+1:]...)
			return &Result{}
		}
	}
	return &Result{Refused: fmt.Sprintf("no report of window %d is open", c.Window)}
}

// NextUsageWindow returns the first window that is not fixed yet, 0 if none ever was.
func (s *State) NextUsageWindow() int64 { return s.data.Usage.Next }

// UsageRoom returns how many more windows may be fixed now.
func (s *State) UsageRoom() int { return MaxUnsentWindows - len(s.data.Usage.Unsent) }

// Duty returns the assignment of a duty; its Token is 0 if it was never assigned.
func (s *State) Duty(name duty.Name) Duty {
	if d, ok := s.data.Duties[name]; ok {
		return *d
	}
	return Duty{}
}

// UsageReports returns the state of the reports. Callers must not modify the windows' counts.
func (s *State) UsageReports() UsageReports {
	u := s.data.Usage
	u.Unsent = append([]usage.Window(nil), u.Unsent...)
	return u
}

// OldestUsage returns the oldest window whose report has not ended. Callers must not modify its
// counts.
func (s *State) OldestUsage() (w usage.Window, ok bool) {
	if len(s.data.Usage.Unsent) == 0 {
		return usage.Window{}, false
	}
	return s.data.Usage.Unsent[0], true
}

// Gateways returns the gateways that hold leases, in order of ID.
func (s *State) Gateways() []instance.ID {
	var out []instance.ID
	for _, p := range s.Directory().Processes {
		if p.Role == instance.RoleGateway {
			out = append(out, p.ID)
		}
	}
	return out
}

// totalOf returns the sum of counts.
func totalOf(counts usage.Counts) uint64 {
	var sum uint64
	for _, n := range counts {
		sum += n
	}
	return sum
}
