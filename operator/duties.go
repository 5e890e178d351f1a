package operator

import (
	"fmt"
	"io"
	"strconv"
	"time"

	"toucantiller.dev/control/api"
)

type dutiesCmd struct{}

type duties struct {
	Duties []dutyView `json:"duties"`
	// LastFixed is the last window whose counts are fixed, 0 before the first.
	LastFixed int64         `json:"last_fixed_window"`
	Unsent    []unsentUsage `json:"unsent_windows"`
	// Ended is the report that ended last, nil before the first.
	Ended *endedUsage `json:"last_report,omitempty"`
	// Attempt is the leader's last call, nil before the first.
	Attempt *usageAttempt `json:"last_call,omitempty"`
}

type dutyView struct {
	Name    string `json:"name"`
	Holder  string `json:"holder"`
	Address string `json:"address"`
	Token   uint64 `json:"token"`
	// Since is empty before the first assignment.
	Since       string  `json:"since,omitempty"`
	WaitSeconds float64 `json:"wait_seconds"`
	LeftSeconds float64 `json:"lease_left_seconds"`
}

type unsentUsage struct {
	Window    int64  `json:"window"`
	Total     uint64 `json:"total"`
	Accounts  int    `json:"accounts"`
	Processes int    `json:"processes"`
}

type endedUsage struct {
	Window   int64  `json:"window"`
	Outcome  string `json:"outcome"`
	At       string `json:"at"`
	Total    uint64 `json:"total"`
	Accounts int    `json:"accounts"`
}

type usageAttempt struct {
	Window   int64  `json:"window"`
	Attempts int    `json:"attempts"`
	At       string `json:"at"`
	Err      string `json:"error,omitempty"`
}

func (d *duties) text(w io.Writer) {
	if len(d.Duties) == 0 {
		line(w, "this deployment has no duties")
		return
	}
	var rows [][]string
	for _, x := range d.Duties {
		rows = append(rows, []string{x.Name, x.Holder, x.Address, strconv.FormatUint(x.Token, 10), seconds(x.LeftSeconds), seconds(x.WaitSeconds)})
	}
	table(w, []string{"DUTY", "HOLDER", "ADDRESS", "TOKEN", "LEASE LEFT", "WAIT"}, rows)
	line(w, "usage: last fixed window %d, %s unsent", d.LastFixed, count(len(d.Unsent), "window"))
	for _, u := range d.Unsent {
		line(w, "  window %d: %d of %s from %s", u.Window, u.Total, count(u.Accounts, "account"), count(u.Processes, "process"))
	}
	if e := d.Ended; e != nil {
		line(w, "last report: window %d %s at %s, %d of %s", e.Window, e.Outcome, e.At, e.Total, count(e.Accounts, "account"))
	}
	if a := d.Attempt; a != nil {
		outcome := "accepted"
		if a.Err != "" {
			outcome = a.Err
		}
		line(w, "last call: window %d, call %d at %s: %s", a.Window, a.Attempts, a.At, outcome)
	}
}

func seconds(s float64) string { return fmt.Sprintf("%.1fs", s) }

// Run shows the duties.
func (c *dutiesCmd) Run(s *session) error {
	control, err := s.connect()
	if err != nil {
		return err
	}
	ctx, cancel := s.timeout()
	defer cancel()
	reply, err := control.Duties(ctx)
	if err != nil {
		return err
	}
	return s.print(dutiesView(reply))
}

func dutiesView(r *api.DutiesReply) *duties {
	out := &duties{Duties: []dutyView{}, LastFixed: r.Usage.LastFixed, Unsent: []unsentUsage{}}
	for _, d := range r.Duties {
		view := dutyView{Name: d.Name, Holder: string(d.Holder), Address: d.Address, Token: d.Token, WaitSeconds: d.Wait.Seconds(), LeftSeconds: d.Left.Seconds()}
		if d.Token != 0 {
			view.Since = utcSecond(d.Since)
		}
		out.Duties = append(out.Duties, view)
	}
	for _, u := range r.Usage.Unsent {
		out.Unsent = append(out.Unsent, unsentUsage{Window: u.Window, Total: u.Total, Accounts: u.Accounts, Processes: u.Processes})
	}
	if e := r.Usage.Ended; e.Outcome != "" {
		out.Ended = &endedUsage{Window: e.Window, Outcome: e.Outcome, At: utcSecond(e.At), Total: e.Total, Accounts: e.Accounts}
	}
	if a := r.Usage.Attempt; a.Window != 0 {
		out.Attempt = &usageAttempt{Window: a.Window, Attempts: a.Attempts, At: utcSecond(a.At), Err: a.Err}
	}
	return out
}

func utcSecond(t time.Time) string { return t.UTC().Format(time.RFC3339) }
