// Package decider adapts package rollout, which does not depend on the control API, to the
// types of that API. Control uses it through its options:
//
//	control.Options{NewDecider: func(m api.Move) control.Decider { return decider.New(m) }}
package decider

import (
	"time"

	"toucantiller.dev/control/api"
	"toucantiller.dev/rollout"
)

// Decider accumulates the evidence of one move in memory. A new leader creates one from the
// committed move and starts without evidence. It is not safe for concurrent use.
type Decider struct {
	evaluator *rollout.Judge
}

// New returns the decider of a move; it fits control.Options.NewDecider.
func New(move api.Move) *Decider { return &Decider{evaluator: rollout.NewJudge(move.ID)} }

// Decide adds the observations made since the last call and returns the next action on the
// move. Observations of other services are ignored. Calls at any interval are valid; one every
// 250 ms to 1 s is enough.
func (d *Decider) Decide(now time.Time, move api.Move, obs []api.Observation) api.Decision {
	return decisionOf(d.evaluator.Decide(now, moveOf(move), observationsOf(move.Service, obs)))
}

// moveOf converts a move. While the move is watching, its stage counts from FullAt.
func moveOf(m api.Move) rollout.Move {
	since := m.StageSince
	if m.State == api.MoveWatching {
		since = m.FullAt
	}
	return rollout.Move{
		Service:    m.Service,
		From:       m.From,
		To:         m.To,
		Stage:      m.Stage,
		Share:      m.Share,
		Watching:   m.State == api.MoveWatching,
		Started:    m.Started,
		Deadline:   m.Deadline,
		StageSince: since,
		Watch:      m.Watch,
	}
}

func observationsOf(service string, obs []api.Observation) []rollout.Observation {
	out := make([]rollout.Observation, 0, len(obs))
	for i := range obs {
		o := &obs[i]
		if o.Service != service {
			continue
		}
		out = append(out, rollout.Observation{
			Version:       o.Version,
			Route:         o.Route,
			Endpoint:      string(o.Endpoint),
			Domain:        string(o.Domain),
			Failed:        o.Failed,
			Cold:          o.Cold,
			Load:          o.Load,
			PromptTokens:  o.PromptTokens,
			AnswerTokens:  o.AnswerTokens,
			FirstToken:    o.FirstToken,
			BetweenTokens: o.BetweenTokens,
		})
	}
	return out
}

// actions maps the actions of rollout to those of the API. StartWatch is a raise to the full
// share, at which control sets the move to watching.
var actions = map[rollout.Action]api.DecisionAction{
	rollout.Hold:       api.DecisionHold,
	rollout.Raise:      api.DecisionRaise,
	rollout.StartWatch: api.DecisionRaise,
	rollout.TakeBack:   api.DecisionTakeBack,
	rollout.Finish:     api.DecisionFinish,
}

func decisionOf(d rollout.Decision) api.Decision {
	return api.Decision{Action: actions[d.Action], Stage: d.Stage, Share: d.Share, Cause: d.Cause, Evidence: evidenceOf(d.Evidence)}
}

func evidenceOf(all []rollout.Evidence) []api.MoveEvidence {
	var out []api.MoveEvidence
	for _, e := range all {
		out = append(out, api.MoveEvidence{Route: e.Route, Measure: string(e.Measure), Old: e.Old, New: e.New, OldN: e.OldN, NewN: e.NewN, LogEvidence: e.LogEvidence})
	}
	return out
}
