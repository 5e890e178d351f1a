package control

import (
	"context"

	"go.opentelemetry.io/otel/metric"

	"toucantiller.dev/control/api"
	"toucantiller.dev/control/state"
	"toucantiller.dev/duty"
	"toucantiller.dev/uptime"
)

// Duties returns who holds the duties and how the last reports went.
func (v *service) Duties(_ *api.Empty, out *api.DutiesReply) error {
	if err := v.s.checkLeading(); err != nil {
		out.Leader, err = redirect(err)
		return err
	}
	if !v.s.opts.Duties.enabled() {
		return v.readBarrier()
	}
	if _, ok := v.s.confirmDuty(); !ok {
		if err := v.readBarrier(); err != nil {
			return err
		}
	}
	*out = *v.s.dutiesStatus()
	return nil
}

func (s *Server) dutiesStatus() *api.DutiesReply {
	var record state.Duty
	var reports state.UsageReports
	s.machine.read(func(st *state.State) {
		record = st.Duty(duty.UsageReports)
		reports = st.UsageReports()
	})
	status := api.DutyStatus{Name: string(duty.UsageReports), Holder: record.Holder, Address: record.Address, Token: record.Token, Since: record.Since}
	k := s.duties
	now := uptime.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.hold.Token() == record.Token && record.Token != 0 {
		status.Wait, status.Left = k.hold.Wait(now), k.hold.Left(now)
	}
	out := &api.DutiesReply{Enabled: true, Duties: []api.DutyStatus{status}}
	out.Usage = api.UsageStatus{
		LastFixed: max(0, reports.Next-1),
		Ended:     api.EndedUsage{Window: reports.Last.Window, Outcome: string(reports.Last.Outcome), At: reports.Last.At, Total: reports.Last.Total, Accounts: reports.Last.Accounts},
		Attempt:   api.UsageAttempt{Window: k.attempt.window, Attempts: k.attempt.attempts, At: k.attempt.at, Err: k.attempt.err},
	}
	for _, w := range reports.Unsent {
		out.Usage.Unsent = append(out.Usage.Unsent, api.UsageWindow{Window: w.Number, Total: totalUsage(w.Counts), Accounts: len(w.Counts), Processes: w.Processes})
	}
	return out
}

// observeDuties makes the holding of a duty a metric of the replica.
func (s *Server) observeDuties() error {
	m := s.opts.Meter
	held, err := m.Int64ObservableGauge("control.duty_held", metric.WithDescription("1 while the replica is the holder of the duties"))
	if err != nil {
		return err
	}
	_, err = m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		s.duties.mu.Lock()
		defer s.duties.mu.Unlock()
		value := int64(0)
		if s.duties.held {
			value = 1
		}
		o.ObserveInt64(held, value)
		return nil
	}, held)
	return err
}
