package control

import (
	"time"

	"toucantiller.dev/control/api"
	"toucantiller.dev/control/state"
	"toucantiller.dev/quarantine"
)

// ReportLosses counts the endpoints that ended under each part of a prompt over all gateways, and
// holds back the parts that are suspected.
func (v *service) ReportLosses(in *api.ReportLosses, out *api.ReportLossesReply) error {
	if err := v.s.checkLeading(); err != nil {
		out.Leader, err = redirect(err)
		return err
	}
	change := v.s.judgeLosses(&in.Report, time.Now())
	if len(change.Held)+len(change.Released) == 0 {
		return nil
	}
	_, err := v.s.propose(&state.Command{SetQuarantine: change})
	_ = v.s.opts.Logger.Log("msg", "quarantine changed", "gateway", in.Gateway, "held", len(change.Held), "released", len(change.Released),
		"parts", quarantine.Join(append(change.Held, change.Released...)), "err", err)
	out.Leader, err = redirect(err)
	return err
}

// judgeLosses returns the change of the quarantine that a report calls for. A part on probation is
// held back again at its first loss.
func (s *Server) judgeLosses(r *quarantine.Report, now time.Time) *state.SetQuarantine {
	change := &state.SetQuarantine{}
	suspected := s.recordLosses(r, now)
	s.machine.read(func(st *state.State) {
		for _, l := range r.Losses {
			for _, p := range l.Parts {
				if st.OnProbation(p) {
					suspected = append(suspected, p)
				}
			}
		}
		for _, p := range quarantine.Distinct(suspected) {
			if !st.Quarantined(p) {
				change.Held = append(change.Held, p)
			}
		}
		for _, p := range r.Answered {
			if st.Quarantined(p) {
				change.Released = append(change.Released, p)
			}
		}
	})
	return change
}

// recordLosses passes a report to the detector and returns the parts that are suspected.
func (s *Server) recordLosses(r *quarantine.Report, now time.Time) []quarantine.Part {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range r.Answered {
		s.detector.Clear(p, now)
	}
	var suspected []quarantine.Part
	for _, l := range r.Losses {
		suspected = append(suspected, s.detector.Lost(l, now)...)
	}
	return suspected
}
