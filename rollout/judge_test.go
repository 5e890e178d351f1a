package rollout_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"toucantiller.dev/rollout"
)

// generateObservations returns the observations of one second: rate answers, a fraction share
// of them from the new version. change, if not nil, modifies each of them.
func generateObservations(r *rand.Rand, rate int, share float64, change func(o *rollout.Observation)) []rollout.Observation {
	var out []rollout.Observation
	for range rate {
		o := rollout.Observation{Version: "v1", Route: "chat", Load: 0.3 + 0.4*r.Float64(), PromptTokens: 100, AnswerTokens: 50}
		ownShare := 1 - share
		if r.Float64() < share {
			o.Version, ownShare = "v2", share
		}
		o.Load *= ownShare
		e := r.IntN(6)
		o.Endpoint, o.Domain = fmt.Sprintf("%s-%d", o.Version, e), domainNames[e%3]
		o.FirstToken = time.Duration((0.1 + 0.05*r.Float64()) * float64(time.Second))
		o.BetweenTokens = time.Duration((0.03 + 0.005*r.Float64()) * float64(time.Second))
		o.Failed = r.Float64() < 0.005
		if change != nil {
			change(&o)
		}
		out = append(out, o)
	}
	return out
}

// runMove commits every decision of a move of the given length, from share 0, and returns the
// last one with its time since the start. watch, if not nil, is called with each decision.
func runMove(length time.Duration, rate int, seed uint64, change func(o *rollout.Observation), watch func(rollout.Move, rollout.Decision)) (rollout.Decision, time.Duration) {
	r := rand.New(rand.NewPCG(seed, 1))
	j := rollout.NewJudge(seed)
	m := rollout.Move{From: "v1", To: "v2", Started: epoch, Deadline: epoch.Add(length), Watch: 20 * time.Second}
	for t := time.Second; ; t += time.Second {
		d := j.Decide(epoch.Add(t), m, generateObservations(r, rate, m.Share, change))
		if watch != nil {
			watch(m, d)
		}
		if d.Action == rollout.TakeBack || d.Action == rollout.Finish || t > 4*length {
			return d, t
		}
		if d.Action != rollout.Hold {
			m.Stage, m.Share, m.StageSince, m.Watching = d.Stage, d.Share, epoch.Add(t), d.Action == rollout.StartWatch
		}
	}
}

// Guards against a version that is taken back because the first few answers come from its one
// bad endpoint, and against one that is never taken back because it has no other endpoint.
func TestFirstAnswersMayComeFromOneEndpoint(t *testing.T) {
	r := rand.New(rand.NewPCG(7, 7))
	j := rollout.NewJudge(1)
	m := rollout.Move{From: "v1", To: "v2", Share: rollout.FirstShare, Started: epoch, StageSince: epoch, Deadline: epoch.Add(time.Hour)}
	answers := 0
	for at := time.Second; at < 10*time.Minute; at += time.Second {
		d := j.Decide(epoch.Add(at), m, generateObservations(r, 40, m.Share, func(o *rollout.Observation) {
			if o.Version == "v2" {
				o.Endpoint, o.Domain, o.FirstToken = "v2-0", "lagos-a", 20*o.FirstToken
				answers++
			}
		}))
		if d.Action == rollout.TakeBack {
			assert.Assert(t, answers > 12, "taken back after %d answers: %s", answers, d.Cause)
			return
		}
	}
	t.Fatalf("not taken back after %d answers", answers)
}

// Guards against an expected latency of idle endpoints that is too short, which takes a good
// version back, where latency does not grow with load as the latency model assumes.
func TestIdleEndpointsOfGoodVersionRaiseNoAlarm(t *testing.T) {
	for name, curve := range map[string]func(load float64) float64{
		"flat":     func(float64) float64 { return 1 },
		"linear":   func(load float64) float64 { return 1 + 2*load },
		"queueing": func(load float64) float64 { return 1 / (1 - load) },
		"knee":     func(load float64) float64 { return 1 + 4*max(0, load-0.4) },
	} {
		for seed := range uint64(10) {
			d, at := runMove(10*time.Minute, 20, seed, func(o *rollout.Observation) {
				o.FirstToken = time.Duration(float64(o.FirstToken) * curve(o.Load))
				o.BetweenTokens = time.Duration(float64(o.BetweenTokens) * curve(o.Load))
			}, nil)
			assert.Equal(t, d.Action, rollout.Finish, "%s, seed %d, at %s: %s", name, seed, at, d.Cause)
		}
	}
}

// Guards against versions that are never compared because they answer in different failure
// domains, as when gateways prefer one endpoint of each version.
func TestVersionsInDifferentDomainsAreCompared(t *testing.T) {
	apart := func(failNew float64) func(o *rollout.Observation) {
		r := rand.New(rand.NewPCG(5, 5))
		return func(o *rollout.Observation) {
			o.Endpoint, o.Domain = "v1-b", "lagos-b"
			o.FirstToken *= 20 // seconds
			if o.Version == "v2" {
				o.Endpoint, o.Domain = "v2-a", "lagos-a"
				o.FirstToken *= 3 // slower hardware there
				o.Failed = r.Float64() < failNew
			}
		}
	}
	d, at := runMove(100*time.Second, 40, 1, apart(0.3), nil)
	assert.Equal(t, d.Action, rollout.TakeBack)
	assert.Assert(t, strings.HasPrefix(d.Cause, "v2 is worse than v1: failed answers"), "%s at %s", d.Cause, at)
	d, _ = runMove(100*time.Second, 40, 1, apart(0.005), nil)
	assert.Equal(t, d.Action, rollout.Finish, d.Cause)
}

// Guards against a move that hangs or is raised without evidence when the new version
// never answers, and against one that is taken back only at the deadline.
func TestMoveWithoutAnswersIsTakenBackEarly(t *testing.T) {
	d, at := runMove(10*time.Minute, 20, 1, func(o *rollout.Observation) { o.Version = "v1" }, nil)
	assert.Equal(t, d.Action, rollout.TakeBack)
	assert.Assert(t, strings.HasPrefix(d.Cause, "cannot finish by the deadline: 0 of 15 needed answers of v2"), d.Cause)
	assert.Assert(t, at < 8*time.Minute, "said after %s", at)
}

// Guards against a MinTime too short to move even a good version with much traffic.
func TestShortestMoveFinishes(t *testing.T) {
	for seed := range uint64(20) {
		full := time.Duration(0)
		d, at := runMove(rollout.MinTime, 200, seed, nil, func(m rollout.Move, _ rollout.Decision) {
			if !m.Watching {
				full += time.Second
			}
		})
		assert.Equal(t, d.Action, rollout.Finish, "%s after %s", d.Cause, at)
		assert.Assert(t, full <= rollout.MinTime, "full share after %s", full)
	}
}

// Guards against a share that overloads the new endpoints: it rises no faster than their
// reported load allows.
func TestShareIsBoundedByLoad(t *testing.T) {
	share := 0.0
	busy := func(o *rollout.Observation) {
		if o.Version == "v2" {
			o.Load = 4 * share // at a quarter of the traffic the endpoints are full
		}
	}
	d, _ := runMove(5*time.Minute, 40, 1, busy, func(m rollout.Move, d rollout.Decision) {
		share = m.Share
		assert.Assert(t, d.Share <= 0.25, "share %g", d.Share)
	})
	assert.Equal(t, d.Action, rollout.TakeBack)
	assert.Assert(t, strings.Contains(d.Cause, "of what they can bear"), d.Cause)
}

// Guards against detection that slows down with the length of a move: evidence gathered while
// the version was good must not outweigh its later failures.
func TestVersionTurningBadLateIsTakenBackQuickly(t *testing.T) {
	const turns = 25 * time.Minute
	r := rand.New(rand.NewPCG(4, 4))
	j := rollout.NewJudge(1)
	m := rollout.Move{From: "v1", To: "v2", Stage: 1, Share: 0.5, Started: epoch, StageSince: epoch, Deadline: epoch.Add(time.Hour)}
	for at := time.Second; at < turns+time.Minute; at += time.Second {
		d := j.Decide(epoch.Add(at), m, generateObservations(r, 30, m.Share, func(o *rollout.Observation) {
			if at > turns && o.Version == "v2" {
				o.Failed = r.Float64() < 0.3
			}
		}))
		if d.Action == rollout.TakeBack {
			assert.Assert(t, at > turns && at < turns+30*time.Second, "taken back after %s: %s", at, d.Cause)
			return
		}
	}
	t.Fatal("not found within a minute")
}

// Guards against a new leader that repeats, skips or loses a stage: it starts at the committed
// stage and without evidence.
func TestNewLeaderResumesCommittedStage(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 3))
	m := rollout.Move{From: "v1", To: "v2", Started: epoch, Deadline: epoch.Add(10 * time.Minute), Watch: 20 * time.Second}
	j := rollout.NewJudge(1)
	for at := time.Second; ; at += time.Second {
		if int(at/time.Second)%150 == 0 {
			j = rollout.NewJudge(1)
		}
		d := j.Decide(epoch.Add(at), m, generateObservations(r, 30, m.Share, nil))
		again := j.Decide(epoch.Add(at), m, nil)
		assert.Equal(t, again.Action, d.Action, "a decision that was not committed must be repeated")
		if d.Action == rollout.Hold {
			continue
		}
		assert.Equal(t, d.Stage, m.Stage+1)
		if d.Action == rollout.Finish {
			return
		}
		assert.Assert(t, d.Action != rollout.TakeBack, d.Cause)
		m.Stage, m.Share, m.StageSince, m.Watching = d.Stage, d.Share, epoch.Add(at), d.Action == rollout.StartWatch
	}
}

// Guards against stages that go back, skip, exceed 1, or come late, for any length, rate
// and noise of a good version.
func TestStagesAreMonotone(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		length := time.Duration(rapid.IntRange(60, 600).Draw(rt, "seconds")) * time.Second
		rate := rapid.IntRange(1, 60).Draw(rt, "rate")
		slow := rapid.Float64Range(0.8, 3).Draw(rt, "slow")
		started := 0.0
		d, at := runMove(length, rate, rapid.Uint64().Draw(rt, "seed"), func(o *rollout.Observation) {
			if o.Version == "v2" {
				o.FirstToken = time.Duration(float64(o.FirstToken) * slow)
			}
		}, func(m rollout.Move, d rollout.Decision) {
			if d.Action == rollout.Raise || d.Action == rollout.StartWatch {
				if d.Stage != m.Stage+1 || d.Share <= m.Share || d.Share > 1 || d.Share < started {
					rt.Fatalf("stage %d share %g after stage %d share %g", d.Stage, d.Share, m.Stage, m.Share)
				}
				started = d.Share
			}
			if d.Action == rollout.StartWatch && d.Share != 1 {
				rt.Fatalf("watch at share %g", d.Share)
			}
		})
		if d.Action != rollout.Finish && d.Action != rollout.TakeBack {
			rt.Fatalf("no end after %s: %+v", at, d)
		}
		if started < 1 && at > length {
			rt.Fatalf("a move that did not finish ended %s after its start, past its deadline of %s", at, length)
		}
	})
}

// Guards against a false-alarm rate above 1 in 1,000 when the evidence is evaluated every
// second. The null hypothesis is a new version slower by just the tolerated margin, with
// drift and failures common to both versions.
func TestFalseAlarmRate(t *testing.T) {
	const moves = 2000 / runsDivisor
	alarms := 0
	for seed := range uint64(moves) {
		r := rand.New(rand.NewPCG(seed, 9))
		j := rollout.NewJudge(seed)
		m := rollout.Move{From: "v1", To: "v2", Stage: 1, Share: 0.5, Started: epoch, StageSince: epoch, Deadline: epoch.Add(1000 * time.Hour)}
		drift := 1.0
		for i := range 60 {
			drift *= 0.9 + 0.2*r.Float64()
			d := j.Decide(epoch.Add(time.Duration(i)*time.Second), m, generateObservations(r, 10, m.Share, func(o *rollout.Observation) {
				o.FirstToken = time.Duration(float64(o.FirstToken) * drift * math.Exp(0.22*indicator(o.Version == "v2")))
				o.Failed = r.Float64() < 0.2*drift
			}))
			if d.Action == rollout.TakeBack {
				alarms++
				break
			}
		}
	}
	// 2 are expected at most; 7 or more would have a chance below 0.5%.
	assert.Assert(t, alarms < 7, "%d alarms in %d moves", alarms, moves)
	t.Logf("%d alarms in %d moves", alarms, moves)
}

func indicator(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
