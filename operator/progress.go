package operator

import (
	"encoding/json"
	"fmt"
	"math"
	"regexp"
	"strings"

	"toucantiller.dev/control/api"
	"toucantiller.dev/rollout"
)

const barWidth = 30

// clearLine returns to the start of the line and clears it.
const clearLine = "\r\x1b[K"

// progress shows a move as it goes: one redrawn line on a terminal, a line for each
// change otherwise, and one JSON object for each change with --output json.
type progress struct {
	*session
	last     string
	faulty   bool
	unending bool
}

// show prints what is new and reports whether the move has ended.
func (p *progress) show(m api.Move) (ended bool) {
	p.faulty = false
	ended = m.State == api.MoveDone || m.State == api.MoveTakenBack
	switch key := changeKey(m); {
	case p.cli.Output == "json":
		if key != p.last {
			_ = json.NewEncoder(p.Stdout).Encode(viewOf(m, p.Now()))
		}
		p.last = key
	case p.Terminal && !ended:
		_, _ = fmt.Fprintf(p.Stdout, "%s%s %s", clearLine, bar(m.Share), MoveLine(m, p.Now()))
		p.unending = true
	default:
		p.end()
		if key != p.last {
			line(p.Stdout, "%s %s", p.Now().UTC().Format(timeOfDay), MoveLine(m, p.Now()))
		}
		p.last = key
		if ended {
			p.evidence(m.Evidence)
		}
	}
	return ended
}

// changeKey is the part of a move whose change is worth a line. The time left is not, nor
// are the counts in a cause, which change with every answer.
func changeKey(m api.Move) string {
	return fmt.Sprintf("%s %d %g %s %s", m.State, m.Stage, m.Share, m.Started, numbers.ReplaceAllString(m.Cause, "0"))
}

var numbers = regexp.MustCompile(`\b[0-9]+(\.[0-9]+)?\b`)

func bar(share float64) string {
	full := min(barWidth, max(0, int(share*barWidth+0.5)))
	return "[" + strings.Repeat("#", full) + strings.Repeat(".", barWidth-full) + "]"
}

func (p *progress) evidence(all []api.MoveEvidence) {
	for _, e := range all {
		line(p.Stdout, "  %s", EvidenceLine(e))
	}
}

// EvidenceLine says in one line what one comparison showed.
func EvidenceLine(e api.MoveEvidence) string {
	where := e.Route
	if where != rollout.AllRoutes {
		where = "route " + where
	}
	if e.Domain != "" {
		where += " in " + string(e.Domain)
	}
	what, value := e.Measure, func(v float64) string { return fmt.Sprintf("%.0f ms", v*1000) }
	if e.Measure == string(rollout.MeasureErrors) {
		what, value = "failed answers", func(v float64) string { return fmt.Sprintf("%.1f%%", v*100) }
	}
	return fmt.Sprintf("%s, %s: new %s over %d answers, old %s over %d; %s", where, what, value(e.New), e.NewN, value(e.Old), e.OldN, confidence(e.LogEvidence))
}

// leastEvidence is the evidence, as a factor, under which a comparison shows nothing.
const leastEvidence = 20

// confidence words a test martingale: by Ville's inequality it exceeds x by chance with a
// probability below 1/x.
func confidence(logEvidence float64) string {
	x := math.Exp(logEvidence)
	if x < leastEvidence {
		return "no difference shown"
	}
	return "by chance less often than 1 in " + rollout.Odds(x)
}

// fault reports a failed look once until the next good one.
func (p *progress) fault(err error) {
	if p.faulty {
		return
	}
	p.end()
	p.faulty = true
	_, _ = fmt.Fprintf(p.Stderr, "toucanctl: %v; trying again\n", err)
}

// end completes a redrawn line.
func (p *progress) end() {
	if p.unending {
		_, _ = fmt.Fprint(p.Stdout, clearLine)
		p.unending = false
	}
}
