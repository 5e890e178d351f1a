// Package decider connects package rollout, which knows no messages, with the types of
// the control API. Control takes it as
//
//	control.Options{NewDecider: func(m api.Move) control.Decider { return decider.New(m) }}
package decider

import (
	"time"

	"toucantiller.dev/control/api"
	"toucantiller.dev/rollout"
)

// Decider holds the evidence of one move. A new leader makes a new one from the committed
// move and starts with no evidence. It is not safe for concurrent use.
type Decider struct {
	judge *rollout.Judge
}

// New returns the decider of a move; it fits control.Options.NewDecider.
func New(move api.Move) *Decider { return &Decider{judge: rollout.NewJudge(move.ID)} }

// Decide adds the observations that were made since the last call and returns what to do
// with the move. Observations of other services are ignored. It may be called as often as
// wanted; calls every 250 ms to 1 s are enough.
func (d *Decider) Decide(now time.Time, move api.Move, obs []api.Observation) api.Decision {
	return decisionOf(d.judge.Decide(now, moveOf(move), observationsOf(move.Service, obs)))
}

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

// actions translates; full share is a raise that control turns into a watch.
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
