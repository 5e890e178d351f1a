// Package decider connects package rollout, which knows no messages, with the types of
// the control API.
package decider

import (
	"hash/fnv"
	"time"

	"toucantiller.dev/control/api"
	"toucantiller.dev/rollout"
)

// Decision is what to do with a move. Commit it with the stage that the move had when it
// was asked for, so that no stage is taken twice or skipped.
type Decision struct {
	// Change is false when the move stays as it is; State, Stage and Share are then those
	// it has.
	Change bool
	State  api.MoveState
	Stage  int
	Share  float64
	// Cause says why in one plain line, also for a move that stays as it is.
	Cause    string
	Evidence []api.MoveEvidence
}

// Interface is what control needs of a decider.
type Interface interface {
	Decide(now time.Time, move api.Move, obs []api.Observation) Decision
}

// FirstShare is the share of a new move at stage 0.
const FirstShare = rollout.FirstShare

// key identifies a move: a service has one move at a time, and Started tells a repeated
// move from the first.
type key struct {
	service, from, to string
	started           int64
}

// Decider holds the evidence of the running moves of a leader. A new leader starts with a
// new Decider. It is not safe for concurrent use.
type Decider struct {
	judges map[key]*rollout.Judge
}

var _ Interface = (*Decider)(nil)

// New returns a decider without evidence.
func New() *Decider { return &Decider{judges: make(map[key]*rollout.Judge)} }

// Decide adds the observations that were made since the last call and returns what to do
// with the move. Observations of other services are ignored. It may be called as often as
// wanted; calls every 500 ms to 1 s are enough.
func (d *Decider) Decide(now time.Time, move api.Move, obs []api.Observation) Decision {
	stay := Decision{State: move.State, Stage: move.Stage, Share: move.Share, Cause: move.Cause, Evidence: move.Evidence}
	if move.State == api.MoveDone || move.State == api.MoveTakenBack {
		d.forget(keyOf(move))
		return stay
	}
	judge := d.judge(keyOf(move))
	out := judge.Decide(now, moveOf(move), observationsOf(move.Service, obs))
	return decisionOf(move, out)
}

func keyOf(m api.Move) key { return key{m.Service, m.From, m.To, m.Started.UnixNano()} }

func (d *Decider) judge(k key) *rollout.Judge {
	j, ok := d.judges[k]
	if !ok {
		j = rollout.NewJudge(seedOf(k))
		d.judges[k] = j
	}
	return j
}

func (d *Decider) forget(k key) { delete(d.judges, k) }

// seedOf makes the order of answers within a window reproducible for a move.
func seedOf(k key) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(k.service + "\x00" + k.from + "\x00" + k.to)) // a hash never fails
	return h.Sum64()
}

func moveOf(m api.Move) rollout.Move {
	return rollout.Move{
		Service:    m.Service,
		From:       m.From,
		To:         m.To,
		Stage:      m.Stage,
		Share:      m.Share,
		Watching:   m.State == api.MoveWatching,
		Started:    m.Started,
		Deadline:   m.Deadline,
		StageSince: m.StageSince,
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

func decisionOf(move api.Move, d rollout.Decision) Decision {
	out := Decision{Change: d.Action != rollout.Hold, State: move.State, Stage: d.Stage, Share: d.Share, Cause: d.Cause, Evidence: evidenceOf(d.Evidence)}
	switch d.Action {
	case rollout.StartWatch:
		out.State = api.MoveWatching
	case rollout.Finish:
		out.State = api.MoveDone
	case rollout.TakeBack:
		out.State = api.MoveTakenBack
	}
	return out
}

func evidenceOf(all []rollout.Evidence) []api.MoveEvidence {
	var out []api.MoveEvidence
	for _, e := range all {
		out = append(out, api.MoveEvidence{Route: e.Route, Measure: string(e.Measure), Old: e.Old, New: e.New, OldN: e.OldN, NewN: e.NewN, LogEvidence: e.LogEvidence})
	}
	return out
}
