package operator

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"toucantiller.dev/losses"
)

type lossesCmd struct {
	Files     []string      `arg:"" help:"Log files of gateways; - reads standard input." type:"path"`
	Objective time.Duration `help:"Time from a caller's first attempt to the first byte of a timely answer." env:"TOUCAN_OBJECTIVE" default:"1s"`
}

// lossReport is a report that prints itself.
type lossReport struct{ losses.Report }

func (r *lossReport) text(w io.Writer) {
	line(w, "%d requests in %d attempts", r.Requests, r.Attempts)
	rows := make([][]string, len(r.Losses))
	for i, l := range r.Losses {
		rows[i] = []string{fmt.Sprintf("%.4f", l.Share), strconv.Itoa(l.Requests), string(l.Reason)}
	}
	table(w, []string{"SHARE", "REQUESTS", "REASON"}, rows)
	if r.Unreadable > 0 {
		line(w, "%d request lines could not be read", r.Unreadable)
	}
}

var errNoRequests = errors.New("the files hold no request lines")

// Run reads the logs and prints for which reasons requests were late or not served.
func (c *lossesCmd) Run(s *session) error {
	if c.Objective <= 0 {
		return usageError{fmt.Errorf("--objective: %s is not above 0s", c.Objective)}
	}
	var all []losses.Attempt
	unreadable := 0
	for _, name := range c.Files {
		attempts, bad, err := readLog(name)
		if err != nil {
			return usageError{err}
		}
		all = append(all, attempts...)
		unreadable += bad
	}
	if len(all) == 0 {
		return usageError{errNoRequests}
	}
	out := &lossReport{losses.Account(all, c.Objective)}
	out.Unreadable = unreadable
	return s.print(out)
}

func readLog(name string) (attempts []losses.Attempt, unreadable int, err error) {
	f := os.Stdin
	if name != "-" {
		if f, err = os.Open(name); err != nil { //nolint:gosec // the operator names the file
			return nil, 0, err
		}
	}
	attempts, unreadable, err = losses.Read(f)
	_ = f.Close() // it was only read
	if err != nil {
		err = fmt.Errorf("reading %s: %w", name, err)
	}
	return attempts, unreadable, err
}
