package rollout

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a bet whose expectation exceeds 1 under the null hypothesis, with any
// ties: over all ranks the factors must add up to the number of answers.
func TestFactorsHaveExpectationOne(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		groups := rapid.SliceOfN(rapid.IntRange(1, 9), 1, 12).Draw(rt, "ties")
		n := 0.0
		for _, g := range groups {
			n += float64(g)
		}
		var total factors
		below := 0.0
		for _, g := range groups {
			f := rankFactors(below, float64(g), n)
			for i := range f {
				total[i] += f[i] * float64(g)
			}
			below += float64(g)
		}
		for i := range total {
			if math.Abs(total[i]-n) > 1e-6*n {
				rt.Fatalf("bet %d has expectation %g", i, total[i]/n)
			}
		}
	})
}

// forEachSelection calls f with every ordered selection of k of n answers for the new version.
func forEachSelection(n, k int, f func(chosen []int)) {
	var extend func(chosen []int)
	extend = func(chosen []int) {
		if len(chosen) == k {
			f(chosen)
			return
		}
		for i := range n {
			if !slices.Contains(chosen, i) {
				extend(append(chosen[:len(chosen):len(chosen)], i))
			}
		}
	}
	extend(nil)
}

// Guards against counting the same old answers as evidence more than once: over all equally
// likely assignments and orders of a window's answers, the mean wealth must not exceed the
// stake. The versions differ by just the margin.
func TestWindowsAreMartingales(t *testing.T) {
	const n, k = minOldAnswers + 3, 3
	for failures := range n + 1 {
		var errors, times, ways float64
		forEachSelection(n, k, func(chosen []int) {
			var answers []answer
			for i := range n {
				if !slices.Contains(chosen, i) {
					answers = append(answers, nullAnswer(i, failures))
				}
			}
			for _, i := range chosen {
				a := nullAnswer(i, failures)
				a.isNew = true
				a.residuals[0] += latencyMargin
				answers = append(answers, a)
			}
			rc := newRouteComparison("r", 1)
			staked := sum(rc.errors.all)
			rc.compareWindow(answers)
			errors += sum(rc.errors.all) / staked
			times += sum(rc.latencies[0].all) / staked
			ways++
		})
		assert.Assert(t, errors/ways < 1+1e-9, "errors: mean wealth %g with %d failures", errors/ways, failures)
		assert.Assert(t, times/ways < 1+1e-9, "times: mean wealth %g", times/ways)
	}
}

// Guards against drift within a window that is taken for a difference of the versions: compared
// in the order of arrival, answers that get steadily slower have a mean wealth of 1.7.
func TestDriftWithinAWindowIsNoEvidence(t *testing.T) {
	const n, k, windows = minOldAnswers + 3, 3, 40000
	r := rand.New(rand.NewPCG(1, 1))
	j := NewJudge(1)
	j.move.Share = 0.5
	total := 0.0
	for range windows {
		chosen := r.Perm(n)[:k]
		w := &window{}
		for i := range n {
			a := nullAnswer(i, 0)
			if a.isNew = slices.Contains(chosen, i); a.isNew {
				a.residuals[0] += latencyMargin
			}
			w.answers = append(w.answers, a)
		}
		rc := newRouteComparison("r", 1)
		staked := sum(rc.latencies[0].all)
		j.closeWindow(rc, w, time.Time{})
		total += sum(rc.latencies[0].all) / staked
	}
	assert.Assert(t, total/windows < 1.25, "mean wealth %g", total/windows)
}

// nullAnswer returns the i-th answer of a window in which the first failures answers fail and
// each answer is slower than the one before.
func nullAnswer(i, failures int) answer {
	return answer{endpoint: -1, domain: -1, failed: i < failures, residuals: [2]float64{float64(i), math.NaN()}}
}

// Guards against a rise of the share while a difference is suspected.
func TestSuspectedDifferenceHoldsShare(t *testing.T) {
	start := time.Date(2031, 5, 4, 12, 0, 0, 0, time.UTC)
	seen := 0
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 2))
		j := NewJudge(seed)
		m := Move{From: "v1", To: "v2", Started: start, Deadline: start.Add(5 * time.Minute)}
		for at := time.Second; at < 5*time.Minute; at += time.Second {
			var obs []Observation
			for range 30 {
				o := Observation{Version: "v1", Endpoint: string(rune('a' + r.IntN(4))), FirstToken: time.Second, Failed: r.Float64() < 0.01}
				if r.Float64() < m.Share {
					o.Version, o.Failed = "v2", r.Float64() < 0.12
				}
				obs = append(obs, o)
			}
			d := j.Decide(start.Add(at), m, obs)
			if _, robust, _ := j.totalWealth(); robust >= suspicionThreshold {
				seen++
				assert.Assert(t, d.Action == Hold || d.Action == TakeBack, "%s at evidence %.0f", d.Action, robust)
			}
			if d.Action == TakeBack {
				break
			}
			if d.Action != Hold {
				m.Stage, m.Share, m.StageSince, m.Watching = d.Stage, d.Share, start.Add(at), d.Action == StartWatch
			}
		}
	}
	assert.Assert(t, seen > 50, "only %d decisions under suspicion", seen)
}
