package control

import (
	"time"

	"toucantiller.dev/control/api"
	"toucantiller.dev/control/state"
	"toucantiller.dev/quarantine"
)

// quarantineRenewal is the age of a quarantine's last renewal at which it is renewed in the log.
const quarantineRenewal = state.QuarantineRetention / 4

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

// judgeLosses returns the change of the quarantine that a report calls for.
func (s *Server) judgeLosses(r *quarantine.Report, now time.Time) *state.SetQuarantine {
	change := &state.SetQuarantine{}
	suspected := s.recordLosses(r, now)
	s.machine.read(func(st *state.State) {
		for _, p := range suspected {
			if _, held := st.Quarantined(p); !held {
				change.Held = append(change.Held, p)
			}
		}
		for _, p := range r.Refused {
			if at, held := st.Quarantined(p); held && st.Now().Sub(at) > quarantineRenewal {
				change.Held = append(change.Held, p)
			}
		}
		for _, p := range r.Answered {
			if _, held := st.Quarantined(p); held {
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
	return quarantine.Distinct(suspected)
}
