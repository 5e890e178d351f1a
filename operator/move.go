package operator

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"toucantiller.dev/control/api"
	"toucantiller.dev/failuredomain"
)

type moveStatusCmd struct {
	Service string `arg:"" optional:"" help:"Service whose move to show; all by default."`
}

type moveWatchCmd struct {
	Service  string        `arg:"" optional:"" help:"Service whose move to follow; the latest move by default."`
	Interval time.Duration `help:"Time between two looks." env:"TOUCAN_INTERVAL" default:"1s"`
}

type moveAbortCmd struct {
	changer
	Service string `arg:"" help:"Service whose move to take back."`
	Reason  string `help:"Reason, for the record." env:"TOUCAN_REASON" required:""`
}

type moves struct {
	Moves []moveView `json:"moves"`
}

// moveView is a move as operators read it.
type moveView struct {
	Service  string         `json:"service"`
	From     string         `json:"from"`
	To       string         `json:"to"`
	State    api.MoveState  `json:"state"`
	Stage    int            `json:"stage"`
	Share    float64        `json:"share"`
	Started  time.Time      `json:"started"`
	Deadline time.Time      `json:"deadline"`
	Ended    *time.Time     `json:"ended,omitempty"`
	Cause    string         `json:"cause,omitempty"`
	Evidence []evidenceView `json:"evidence,omitempty"`
	Line     string         `json:"line"`
}

func viewOf(m api.Move, now time.Time) moveView {
	v := moveView{Service: m.Service, From: m.From, To: m.To, State: m.State, Stage: m.Stage, Share: m.Share, Started: m.Started.UTC(), Deadline: m.Deadline.UTC(), Cause: oneLine(m.Cause), Line: MoveLine(m, now)}
	if !m.Ended.IsZero() {
		ended := m.Ended.UTC()
		v.Ended = &ended
	}
	for _, e := range m.Evidence {
		v.Evidence = append(v.Evidence, evidenceView(e))
	}
	return v
}

// evidenceView is api.MoveEvidence with the field names of JSON output.
type evidenceView struct {
	Route       string           `json:"route"`
	Domain      failuredomain.ID `json:"domain,omitempty"`
	Measure     string           `json:"measure"`
	Old         float64          `json:"old"`
	New         float64          `json:"new"`
	OldN        int64            `json:"old_answers"`
	NewN        int64            `json:"new_answers"`
	LogEvidence float64          `json:"log_evidence"`
}

const timeOfDay = "15:04:05"

// MoveLine says in one plain line how a move stands.
func MoveLine(m api.Move, now time.Time) string {
	head := fmt.Sprintf("%s %s -> %s: %s", m.Service, m.From, m.To, m.State)
	switch m.State {
	case api.MoveDone, api.MoveTakenBack:
		if !m.Ended.IsZero() {
			head += " at " + m.Ended.UTC().Format(timeOfDay) + " UTC"
		}
	case api.MoveWatching:
		head += fmt.Sprintf(", share %s", percent(m.Share))
	default:
		head += fmt.Sprintf(", stage %d, share %s, deadline %s UTC (%s)", m.Stage, percent(m.Share), m.Deadline.UTC().Format(timeOfDay), remaining(m.Deadline, now))
	}
	if m.Cause != "" {
		head += ": " + oneLine(m.Cause)
	}
	return head
}

func percent(share float64) string { return fmt.Sprintf("%.3g%%", share*100) }

func remaining(deadline, now time.Time) string {
	left := deadline.Sub(now).Round(time.Second)
	if left < 0 {
		return fmt.Sprintf("%s ago", -left)
	}
	return fmt.Sprintf("in %s", left)
}

func oneLine(s string) string { return strings.Join(strings.Fields(s), " ") }

func (r *moves) text(w io.Writer) {
	if len(r.Moves) == 0 {
		line(w, "no move")
	}
	for _, m := range r.Moves {
		line(w, "%s", m.Line)
	}
}

// Run prints each move in one line. It is refused if the latest move of a service was
// taken back.
func (c *moveStatusCmd) Run(s *session) error {
	st, err := s.status()
	if err != nil {
		return err
	}
	out := &moves{Moves: []moveView{}}
	latest := make(map[string]api.Move)
	for _, m := range st.Moves {
		if c.Service != "" && m.Service != c.Service {
			continue
		}
		out.Moves = append(out.Moves, viewOf(m, s.Now()))
		if l, ok := latest[m.Service]; !ok || !m.Started.Before(l.Started) {
			latest[m.Service] = m
		}
	}
	if c.Service != "" && len(out.Moves) == 0 {
		return fmt.Errorf("service %q has no move", c.Service)
	}
	ok := true
	for _, m := range latest {
		ok = ok && m.State != api.MoveTakenBack
	}
	return errors.Join(s.print(out), refusedUnless(ok))
}

// latestMove returns the move that started last, of one service or of all.
func latestMove(all []api.Move, service string) (api.Move, bool) {
	var out api.Move
	found := false
	for _, m := range all {
		if service != "" && m.Service != service {
			continue
		}
		if !found || !m.Started.Before(out.Started) {
			out, found = m, true
		}
	}
	return out, found
}

// Run follows a move to its end. A lost connection is reported and the command goes on.
func (c *moveWatchCmd) Run(s *session) error {
	p := &progress{session: s}
	for {
		st, err := s.status()
		if err != nil {
			p.fault(err)
		} else if m, found := latestMove(st.Moves, c.Service); !found {
			return errors.New("there is no such move")
		} else if p.show(m) {
			return refusedUnless(m.State == api.MoveDone)
		}
		if !s.Sleep(s.ctx, c.Interval) {
			p.end()
			return errors.New("interrupted; the move goes on")
		}
	}
}

// Run takes a move back.
func (c *moveAbortCmd) Run(s *session) error {
	change := &api.AbortMove{Service: c.Service, Reason: c.Reason}
	return s.change(c.changer, false, change, func(control Control) (*api.ChangeReply, error) {
		ctx, cancel := s.timeout()
		defer cancel()
		return control.AbortMove(ctx, change)
	})
}
