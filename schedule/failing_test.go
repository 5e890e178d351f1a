package schedule

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestFailingFilterExcludesOnlyMinority guards against a service whose endpoints mostly
// fail being reduced to a few of them, and against a failing minority that keeps its traffic.
func TestFailingFilterExcludesOnlyMinority(t *testing.T) {
	for failing := range 6 {
		s := NewSnapshot(fleet(5, 1))
		list := observeIdle(s, 16, start)
		for _, c := range list[:failing] {
			c.RecordAnswer(true, start)
			c.RecordAnswer(true, start)
		}
		want := 0
		if failing <= 2 {
			want = failing
		}
		r := &Request{Service: "model-0"}
		for at := range uint64(50) {
			d := s.Pick(r, start, rand.New(rand.NewPCG(at, 2)))
			assert.Equal(t, int(d.Dropped[ReasonFailing]), want)
			assert.Assert(t, want == 0 || !d.Candidate.state.failing(0))
		}
		d := s.Pick(r, start.Add(time.Minute), rand.New(rand.NewPCG(1, 2)))
		assert.Equal(t, int(d.Dropped[ReasonFailing]), 0, "passed over for good")
	}
}
