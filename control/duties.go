package control

import (
	"errors"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"toucantiller.dev/control/state"
	"toucantiller.dev/duty"
	"toucantiller.dev/instance"
	"toucantiller.dev/timeline"
	"toucantiller.dev/uptime"
	"toucantiller.dev/usage"
)

// dutyInterval is how often the leader looks for work of its duties.
const dutyInterval = 200 * time.Millisecond

// DutyOptions configures the calls to an outside system that one instance at a time makes. They
// are off while UsageWindow is 0 or Sender is nil.
type DutyOptions struct {
	// UsageWindow is the length of the windows in which usage is reported.
	UsageWindow time.Duration
	// UsageLate is how long after the end of its window a report is still wanted.
	UsageLate time.Duration
	// Lease is the time within which the outside system must not see the calls of two holders
	// change places twice.
	Lease time.Duration
	// CallsPerSecond is what the outside system takes from all processes together.
	CallsPerSecond float64
	// Holder names this machine at the outside system.
	Holder instance.ID
	Sender ReportSender
	// Windows replaces the collector of each term, for tests.
	Windows WindowSource
}

// enabled reports whether the deployment has duties.
func (o *DutyOptions) enabled() bool { return o.UsageWindow > 0 && o.Sender != nil }

// WindowSource gathers the counts of windows; usage.Collector is one.
type WindowSource interface {
	Due(at uptime.Instant, first int64, expected []instance.ID) []usage.Window
	Now(at uptime.Instant) (time.Time, bool)
}

var _ WindowSource = (*usage.Collector)(nil)

// dutyKeeper holds what this process knows of its duty.
type dutyKeeper struct {
	// pacer is used by the loop of duties alone.
	pacer *duty.Pacer

	mu   sync.Mutex
	hold *duty.Hold
	// held is set while this process is the holder, as far as it knows.
	held bool
	// attempt is the last call.
	attempt usageAttempt
}

// minCallsPerSecond bounds the pause between calls where the outside system takes very few.
const minCallsPerSecond = 0.1

func newDutyKeeper(o *DutyOptions) *dutyKeeper {
	return &dutyKeeper{hold: duty.NewHold(o.Lease), pacer: duty.NewPacer(max(o.CallsPerSecond, minCallsPerSecond))}
}

// runDuties acts for the deployment while this replica leads.
func (s *Server) runDuties() {
	ticker := time.NewTicker(dutyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
		if !s.isLeading() {
			s.loseDuty()
			continue
		}
		if !s.takeDuty() {
			continue
		}
		s.fixDueWindows()
		s.reportOldestWindow()
	}
}

// windowSource returns the source of this term's windows, nil if there is none.
func (s *Server) windowSource() WindowSource {
	if s.opts.Duties.Windows != nil {
		return s.opts.Duties.Windows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.usage == nil {
		return nil
	}
	return s.usage
}

// loseDuty ends the right to act of a replica that does not lead.
func (s *Server) loseDuty() {
	k := s.duties
	k.mu.Lock()
	lost, token := k.held, k.hold.Token()
	k.held = false
	k.hold.Lose()
	k.mu.Unlock()
	if !lost {
		return
	}
	_ = level.Info(s.opts.Logger).Log("msg", "duty lost", "duty", duty.UsageReports, "token", token)
	s.opts.Recorder.Record(timeline.Event{Kind: "duty.lost", Detail: string(duty.UsageReports)})
}

// takeDuty makes the log name this replica as the holder, and reports whether it does.
func (s *Server) takeDuty() bool {
	previous := s.dutyRecord()
	token := previous.Token
	if !s.isHolder(previous) {
		assign := &state.AssignDuty{Duty: duty.UsageReports, Holder: s.opts.Duties.Holder, Address: s.opts.Self.LinkAddress}
		result, err := s.propose(&state.Command{AssignDuty: assign})
		if err == nil {
			err = refusal(result)
		}
		if err != nil {
			s.logFailure("assign duty", err)
			return false
		}
		token = result.Token
	}
	// The instant is taken after the commit, since the wait counts from the assignment.
	now := uptime.Now()
	k := s.duties
	k.mu.Lock()
	k.hold.Assign(token, now)
	gained, wait := !k.held, k.hold.Wait(now)
	k.held = true
	k.mu.Unlock()
	if gained {
		_ = level.Info(s.opts.Logger).Log("msg", "duty gained", "duty", duty.UsageReports, "holder", s.opts.Duties.Holder, "token", token, "after", previous.Holder, "wait", wait)
		s.opts.Recorder.Record(timeline.Event{Kind: "duty.gained", Detail: string(duty.UsageReports)})
	}
	return true
}

// refusal returns the error of a command that had no effect, nil for one that had.
func refusal(r *state.Result) error {
	if r.Refused == "" {
		return nil
	}
	return errors.New(r.Refused)
}

func (s *Server) dutyRecord() state.Duty {
	var d state.Duty
	s.machine.read(func(st *state.State) { d = st.Duty(duty.UsageReports) })
	return d
}

// isHolder reports whether a record names this process.
func (s *Server) isHolder(d state.Duty) bool {
	return d.Token != 0 && d.Holder == s.opts.Duties.Holder && d.Address == s.opts.Self.LinkAddress
}

// confirmDuty confirms that this replica leads and holds the duty. It returns the token.
func (s *Server) confirmDuty() (token uint64, ok bool) {
	start := uptime.Now()
	if !s.confirmQuorum() {
		return 0, false
	}
	record := s.dutyRecord()
	if !s.isHolder(record) {
		return 0, false
	}
	s.duties.mu.Lock()
	defer s.duties.mu.Unlock()
	s.duties.hold.Confirm(record.Token, start)
	return record.Token, true
}

// dutyWait returns how long this process waits before its first call.
func (s *Server) dutyWait() time.Duration {
	s.duties.mu.Lock()
	defer s.duties.mu.Unlock()
	return s.duties.hold.Wait(uptime.Now())
}

// dutyLeft returns the time within which a call with token that begins now must have ended; 0 if
// none may begin.
func (s *Server) dutyLeft(token uint64) time.Duration {
	s.duties.mu.Lock()
	defer s.duties.mu.Unlock()
	if s.duties.hold.Token() != token {
		return 0
	}
	return s.duties.hold.Left(uptime.Now())
}
