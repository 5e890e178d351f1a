package control

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/go-kit/log/level"

	"toucantiller.dev/control/state"
	"toucantiller.dev/instance"
	"toucantiller.dev/uptime"
	"toucantiller.dev/usage"
)

// UsageReport is one call that reports a window.
type UsageReport struct {
	// Holder and Token name who holds the duty.
	Holder instance.ID
	Token  uint64
	Window int64
	Counts usage.Counts
	// Left returns the time within which the call must have ended, 0 if it may no longer begin. The
	// sender asks directly before the first byte leaves.
	Left func() time.Duration
}

// ReportSender sends usage reports to the outside system. An error other than *ReportBusyError and
// *ReportRejectedError leaves open whether the report arrived. A call whose context has ended must
// not deliver bytes later.
type ReportSender interface {
	SendUsage(ctx context.Context, r *UsageReport) error
}

// ReportBusyError is the error of a report that the outside system did not take for want of room.
type ReportBusyError struct {
	// RetryAfter is the pause that it asks for, 0 if it names none.
	RetryAfter time.Duration
}

// Error names the pause, if one was asked for.
func (e *ReportBusyError) Error() string {
	if e.RetryAfter == 0 {
		return "busy"
	}
	return "busy, retry after " + e.RetryAfter.String()
}

// ReportRejectedError is the error of a report that is refused at every attempt.
type ReportRejectedError struct {
	Status int
	Text   string
}

// Error returns the answer.
func (e *ReportRejectedError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Text) }

// usageAttempt is a call that reported a window.
type usageAttempt struct {
	window   int64
	attempts int
	at       time.Time
	err      string
}

// fixDueWindows commits the counts of the windows that may be fixed, before any of them is sent.
func (s *Server) fixDueWindows() {
	source := s.windowSource()
	if source == nil {
		return
	}
	var first int64
	var expected []instance.ID
	var room int
	s.machine.read(func(st *state.State) {
		first = st.NextUsageWindow()
		expected = st.Gateways()
		room = st.UsageRoom()
	})
	if room == 0 {
		return
	}
	due := source.Due(uptime.Now(), first, expected)
	for _, w := range due[:min(len(due), room)] {
		if !s.fixWindow(w) {
			return
		}
	}
}

// fixWindow commits the counts of one window. Each has its own command, as the size of a command
// is bounded.
func (s *Server) fixWindow(w usage.Window) bool {
	result, err := s.propose(&state.Command{FixUsage: &state.FixUsage{Windows: []usage.Window{w}}})
	if err != nil {
		s.logFailure("fix usage", err)
		return false
	}
	if result.Refused != "" {
		_ = level.Warn(s.opts.Logger).Log("msg", "usage window not fixed", "window", w.Number, "err", result.Refused)
		return false
	}
	_ = level.Info(s.opts.Logger).Log("msg", "usage window fixed", "window", w.Number, "total", totalUsage(w.Counts), "accounts", len(w.Counts), "processes", w.Processes)
	return true
}

// reportOldestWindow sends the oldest window whose report is still wanted, if a call may begin now.
func (s *Server) reportOldestWindow() {
	w, ok := s.oldestWanted()
	if !ok || !s.duties.pacer.Ready(uptime.Now()) || s.dutyWait() > 0 {
		return
	}
	if token, ok := s.confirmDuty(); ok {
		s.sendWindow(w, token)
	}
}

// oldestWanted returns the oldest fixed window whose report is still wanted, and gives up those
// before it.
func (s *Server) oldestWanted() (w usage.Window, ok bool) {
	for {
		s.machine.read(func(st *state.State) { w, ok = st.OldestUsage() })
		if !ok || !s.usageTooLate(w.Number) {
			return w, ok
		}
		if !s.endUsage(w, state.UsageGivenUp) {
			return w, false
		}
	}
}

// usageTooLate reports whether the time to report a window is over. While the agreed time is not
// known, none is.
func (s *Server) usageTooLate(window int64) bool {
	source := s.windowSource()
	if source == nil {
		return false
	}
	now, known := source.Now(uptime.Now())
	o := &s.opts.Duties
	end := time.Unix(0, 0).Add(time.Duration(window+1) * o.UsageWindow)
	return known && now.Sub(end) > o.UsageLate
}

// sendWindow makes one call, which ends before the right to make it does, and records the outcome.
func (s *Server) sendWindow(w usage.Window, token uint64) {
	left := func() time.Duration { return s.dutyLeft(token) }
	bound := left()
	if bound <= 0 {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, bound)
	defer cancel()
	start := time.Now()
	count(s.counts.usageSent, 1)
	err := s.opts.Duties.Sender.SendUsage(ctx, &UsageReport{
		Holder: s.opts.Duties.Holder, Token: token, Window: w.Number, Counts: w.Counts, Left: left,
	})
	s.recordAttempt(w, token, time.Since(start), err)
	s.judgeReport(w, err)
}

// judgeReport ends a report that was accepted or rejected, and leaves the others for another
// call with the same content.
func (s *Server) judgeReport(w usage.Window, err error) {
	now := uptime.Now()
	var busy *ReportBusyError
	var rejected *ReportRejectedError
	switch {
	case err == nil:
		s.duties.pacer.Succeeded(now)
		count(s.counts.usageAccepted, 1)
		s.endUsage(w, state.UsageAccepted)
	case errors.As(err, &busy):
		s.duties.pacer.Failed(now, busy.RetryAfter)
		count(s.counts.usageBusy, 1)
	case errors.As(err, &rejected):
		s.duties.pacer.Succeeded(now)
		s.endUsage(w, state.UsageRejected)
	default:
		s.duties.pacer.Failed(now, 0)
		count(s.counts.usageFailed, 1)
	}
}

// recordAttempt logs a call and keeps it for operators.
func (s *Server) recordAttempt(w usage.Window, token uint64, took time.Duration, err error) {
	k := s.duties
	k.mu.Lock()
	a := usageAttempt{window: w.Number, attempts: 1, at: time.Now()}
	if k.attempt.window == w.Number {
		a.attempts += k.attempt.attempts
	}
	if err != nil {
		a.err = err.Error()
	}
	k.attempt = a
	k.mu.Unlock()
	_ = level.Info(s.opts.Logger).Log("msg", "usage reported", "window", w.Number, "token", token, "attempt", a.attempts, "took", took.Round(time.Millisecond),
		"total", totalUsage(w.Counts), "accounts", len(w.Counts), "processes", w.Processes, "err", a.err)
}

// endUsage commits the outcome of a report, and reports whether that succeeded. After a failure
// the same report is sent again, which the outside system ignores.
func (s *Server) endUsage(w usage.Window, outcome state.UsageOutcome) bool {
	result, err := s.propose(&state.Command{EndUsage: &state.EndUsage{Window: w.Number, Outcome: outcome}})
	if err == nil {
		err = refusal(result)
	}
	if err != nil {
		s.logFailure("end usage report", err)
		return false
	}
	switch outcome {
	case state.UsageAccepted:
		return true
	case state.UsageGivenUp:
		count(s.counts.usageGivenUp, 1)
	case state.UsageRejected:
		count(s.counts.usageRejected, 1)
	}
	_ = level.Warn(s.opts.Logger).Log("msg", "usage not reported", "window", w.Number, "outcome", outcome, "total", totalUsage(w.Counts), "accounts", len(w.Counts), "processes", w.Processes)
	return true
}

// totalUsage returns the sum of counts.
func totalUsage(counts usage.Counts) uint64 {
	var sum uint64
	for _, n := range counts {
		sum += n
	}
	return sum
}
