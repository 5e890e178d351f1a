package operator_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/control/api"
	"toucantiller.dev/control/decider"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/failuredomain"
)

// liveMove is a move that the real decision drives with seeded answers, a second at a time.
type liveMove struct {
	api.Move
	decider *decider.Decider
	random  *rand.Rand
	at      time.Time
	// bad changes an answer of the new version, given the time since the start.
	bad func(o *api.Observation, since time.Duration)
}

func newLiveMove(bad func(*api.Observation, time.Duration)) *liveMove {
	l := &liveMove{Move: move(api.MoveRunning, 0, 0, 0, "started"), random: rand.New(rand.NewPCG(1, 2)), at: start, bad: bad}
	l.ID, l.StageSince = 1, start
	l.decider = decider.New(l.Move)
	return l
}

// advance decides once a second up to now and keeps the books as control/state does.
func (l *liveMove) advance(now time.Time, domains []failuredomain.Domain) {
	for l.at.Before(now) && l.Ended.IsZero() {
		l.at = l.at.Add(time.Second)
		d := l.decider.Decide(l.at, l.Move, l.answers(domains))
		l.Cause = d.Cause
		if d.Action != api.DecisionHold {
			l.Evidence = d.Evidence
		}
		switch d.Action {
		case api.DecisionRaise:
			l.Stage, l.Share, l.StageSince = d.Stage, d.Share, l.at
			if l.Share == 1 {
				l.State, l.FullAt = api.MoveWatching, l.at
			}
		case api.DecisionTakeBack:
			l.State, l.Share, l.Ended = api.MoveTakenBack, 0, l.at
		case api.DecisionFinish:
			l.State, l.Ended = api.MoveDone, l.at
		}
	}
}

// answers are those of a second: 12 requests over the domains that are not drained, with
// two endpoints of each version in each.
func (l *liveMove) answers(domains []failuredomain.Domain) []api.Observation {
	r := l.random
	var open []failuredomain.ID
	for _, d := range domains {
		if d.State != failuredomain.StateDrained {
			open = append(open, d.ID)
		}
	}
	out := make([]api.Observation, 12)
	for i := range out {
		o := api.Observation{Service: l.Service, Version: l.From, Route: "chat", Domain: open[r.IntN(len(open))], PromptTokens: 50 + r.IntN(400), AnswerTokens: 20 + r.IntN(100)}
		part := 1 - l.Share
		if r.Float64() < l.Share {
			o.Version, part = l.To, l.Share
		}
		if r.Float64() < 0.04 {
			o.Route = "summary"
		}
		o.Endpoint = endpoint.ID(fmt.Sprintf("%s-%s-%d", o.Version, o.Domain, r.IntN(2)))
		o.Load = 0.5 * part * float64(len(domains)) / float64(len(open)) * (0.6 + 0.8*r.Float64())
		o.Failed = r.Float64() < 0.003
		pace := float64(time.Millisecond) * (1 + 1.5*o.Load*o.Load)
		o.FirstToken = time.Duration((30 + 0.2*float64(o.PromptTokens)) * pace * math.Exp(0.3*r.NormFloat64()))
		o.BetweenTokens = time.Duration(30 * pace * math.Exp(0.15*r.NormFloat64()))
		if o.Version == l.To && l.bad != nil {
			l.bad(&o, l.at.Sub(start))
		}
		out[i] = o
	}
	return out
}

// failing makes half of the answers fail where when holds.
func failing(when func(o *api.Observation, since time.Duration) bool) func(*api.Observation, time.Duration) {
	n := 0
	return func(o *api.Observation, since time.Duration) {
		if when(o, since) {
			n++
			o.Failed = o.Failed || n%2 == 0
		}
	}
}

// Guards against a move whose end does not tell an operator the cause, the evidence and the
// time, with the evidence of the real decision for each kind of badness; and against a drain
// in mid-move that is held against the new version.
func TestSessionLiveMoves(t *testing.T) {
	follow := []string{"move watch weft-lm", "move status weft-lm"}
	for _, c := range []struct {
		name     string
		bad      func(*api.Observation, time.Duration)
		commands []string // +D lets the duration D pass
		status   int
	}{
		{"at-once", failing(func(*api.Observation, time.Duration) bool { return true }), follow, 1},
		{"later", failing(func(_ *api.Observation, since time.Duration) bool { return since > 13*time.Minute }), follow, 1},
		{"under-load", failing(func(o *api.Observation, _ time.Duration) bool { return o.Load > 0.4 }), follow, 1},
		{"one-route", failing(func(o *api.Observation, _ time.Duration) bool { return o.Route == "summary" }), follow, 1},
		{"slow", func(o *api.Observation, _ time.Duration) { o.FirstToken *= 2; o.BetweenTokens *= 2 }, follow, 1},
		{"drain", nil, []string{"+10m30s", "move status", "domain drain lagos-a" + asAdaeze, "+4m", "move status", "domain status", "domain restore lagos-a" + asAdaeze, "move watch weft-lm", "move status weft-lm"}, 0},
		{"abort", nil, []string{"+12m", "move status weft-lm", "move abort weft-lm --reason looms-wait" + asAdaeze, "move watch weft-lm", "move status -o json"}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newShell(t)
			s.run("bundle sign @weavers.yaml" + asBashir)
			s.run("bundle apply @weavers.yaml" + asAdaeze)
			s.record.Reset()
			s.control.status.Domains = append(s.control.status.Domains, failuredomain.Domain{ID: "lagos-c", Region: "lagos", State: failuredomain.StateActive})
			s.control.live = newLiveMove(c.bad)
			status := 0
			for _, command := range c.commands {
				if after, ok := strings.CutPrefix(command, "+"); ok {
					d, err := time.ParseDuration(after)
					assert.NilError(t, err)
					s.clock = s.clock.Add(d)
					s.record.WriteString("(" + after + " later)\n")
					continue
				}
				status = s.run(command)
			}
			assert.Equal(t, status, c.status)
			s.golden("move-" + c.name + ".golden")
		})
	}
}
