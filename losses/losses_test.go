package losses

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const log = `  23.0888 front-1 ts=2026-09-25T23:14:31.100Z process=g msg=request request=1 outcome=answered status=200 execution=ran route=r account=a prompt=1000 answer=100 total_ms=100 waited_ms=0 first_ms=50
ts=2026-09-25T23:14:31.200Z process=g msg=request request=2 outcome=deadline status=504 execution=not_run route=r account=a prompt=900 answer=110 total_ms=200 waited_ms=200 first_ms=0
ts=2026-09-25T23:14:36.000Z process=g msg=request request=3 outcome=answered status=200 execution=ran route=r account=a prompt=900 answer=110 total_ms=500 waited_ms=0 first_ms=60
ts=2026-09-25T23:14:36.000Z process=g msg=request request=4 outcome=queue_full status=503 execution=not_run route=r account=b prompt=2000 answer=200 total_ms=1 waited_ms=0 first_ms=0
ts=2026-09-25T23:14:36.000Z process=g msg=request request=5 outcome=answered status=200 execution=ran route=plain account=b prompt=0 answer=0 total_ms=1 waited_ms=0 first_ms=0
ts=2026-09-25T23:14:36.000Z process=g msg=request request=6 outcome=answered status=200 route=r prompt=many
ts=2026-09-25T23:14:36.000Z process=g msg=draining
`

// Guards against attempts of one request that count as several, and against a caller that came back
// after its objective and counts as served in time.
func TestAccountFollowsReturningCallers(t *testing.T) {
	attempts, unreadable, err := Read(strings.NewReader(log))
	assert.NilError(t, err)
	assert.Equal(t, unreadable, 1)
	r := Account(attempts, time.Second)
	assert.Equal(t, r.Requests, 3)
	assert.Equal(t, r.Attempts, 4)
	want := map[Reason]int{ReasonInTime: 1, ReasonReturned + "deadline": 1, "lost: queue_full": 1}
	share := 0.0
	for _, l := range r.Losses {
		assert.Equal(t, want[l.Reason], l.Requests, "%s", l.Reason)
		share += l.Share
	}
	assert.Equal(t, len(r.Losses), len(want))
	assert.Assert(t, share > 0.999 && share < 1.001)
	assert.Equal(t, r.Losses[0].Reason, Reason("lost: queue_full"), "the largest request comes first")
}
