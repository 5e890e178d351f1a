package rollout_test

import (
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/rollout"
)

// naive is the comparison: a fixed canary of 10% for a fixed time, then full share if the
// mean error rate is at most one percentage point above the old one's. It has no watch.
type naive struct{ n, failed [2]float64 }

func (c *naive) Decide(now time.Time, m rollout.Move, obs []rollout.Observation) rollout.Decision {
	for _, o := range obs {
		v := 0
		if o.Version == m.To {
			v = 1
		}
		c.n[v]++
		if o.Failed {
			c.failed[v]++
		}
	}
	switch {
	case m.Stage == 0:
		return rollout.Decision{Action: rollout.Raise, Stage: 1, Share: 0.1}
	case m.Watching && now.After(m.StageSince.Add(m.Watch)):
		return rollout.Decision{Action: rollout.Finish}
	case m.Watching || now.Sub(m.Started) < m.Deadline.Sub(m.Started)/3:
		return rollout.Decision{Action: rollout.Hold}
	case c.n[1] > 0 && c.failed[1]/c.n[1] > c.failed[0]/c.n[0]+0.01:
		return rollout.Decision{Action: rollout.TakeBack}
	}
	return rollout.Decision{Action: rollout.StartWatch, Stage: 2, Share: 1}
}

// sizes are the deployments of the design page.
var sizes = []struct {
	replicas int
	rate     float64
}{{20, 20}, {3, 6}}

func runAll(first scenario, runs int, makeDecider func(seed uint64) decider) []outcome {
	out := make([]outcome, runs)
	var group sync.WaitGroup
	slots := make(chan struct{}, min(4, runtime.GOMAXPROCS(0)))
	for i := range runs {
		group.Add(1)
		go func() {
			defer group.Done()
			slots <- struct{}{}
			s := first
			s.seed = first.seed + uint64(i)
			out[i] = newWorld(s).run(makeDecider(s.seed))
			<-slots
		}()
	}
	group.Wait()
	return out
}

func product(seed uint64) decider { return rollout.NewJudge(seed) }
func baseline(uint64) decider     { return &naive{} }

// summary is what many runs showed.
type summary struct {
	runs, done, takenBack        int
	worstMet, meanMet, meanAfter float64
	worstCause                   string
	catch                        time.Duration
	causes                       map[string]int
}

func summarize(all []outcome) summary {
	s := summary{runs: len(all), causes: make(map[string]int)}
	for _, o := range all {
		if o.fullAt > 0 && o.fullAt <= moveTime && o.action == rollout.Finish {
			s.done++
		}
		if o.action == rollout.TakeBack {
			s.takenBack++
			s.causes[o.cause]++
		}
		met := float64(o.met) / float64(o.requests)
		s.meanMet += met / float64(len(all))
		s.meanAfter += float64(o.met) / float64(len(all))
		if met > s.worstMet {
			s.worstMet, s.worstCause = met, o.cause
		}
		if o.shownAt >= 0 {
			s.catch += (o.endedAt - o.shownAt) / time.Duration(len(all))
		}
	}
	return s
}

const (
	mostMet   = 0.05
	leastDone = 0.99
)

// Guards against a bad version that is kept, or that meets more requests than promised.
func TestBadVersionsAreTakenBack(t *testing.T) {
	for _, size := range sizes {
		for _, bad := range []badness{badAtOnce, badLater, badLoad, badRoute, badSlow} {
			t.Run(fmt.Sprintf("%s/%d", bad, size.replicas), func(t *testing.T) {
				t.Parallel()
				s := summarize(runAll(scenario{replicas: size.replicas, rate: size.rate, bad: bad, trouble: quiet, seed: 1}, 60, product))
				t.Logf("%+v", s)
				assert.Equal(t, s.takenBack, s.runs)
				assert.Assert(t, s.worstMet <= mostMet, "a run met %.3f: %s", s.worstMet, s.worstCause)
			})
		}
	}
}

// Guards against good versions that are taken back under troubles that are not theirs.
func TestGoodVersionsAreDoneInTime(t *testing.T) {
	for _, size := range sizes {
		for _, tr := range []trouble{quiet, bursts, domainLoss, coldStarts, badEndpoint} {
			t.Run(fmt.Sprintf("%s/%d", tr, size.replicas), func(t *testing.T) {
				t.Parallel()
				s := summarize(runAll(scenario{replicas: size.replicas, rate: size.rate, bad: good, trouble: tr, seed: 1000}, 100, product))
				t.Logf("%+v", s)
				assert.Assert(t, float64(s.done) >= leastDone*float64(s.runs), "%d of %d done; taken back: %v", s.done, s.runs, s.causes)
			})
		}
	}
}
