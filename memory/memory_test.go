package memory

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a gateway that refuses requests while it keeps idle connections, or lets bodies
// wait that it would have refused, and against a body that is never read.
func TestIdleConnectionsGoBeforeRequestsAndBodies(t *testing.T) {
	const b = Budget(1000)
	assert.Equal(t, b.Excess(600), int64(0))
	assert.Equal(t, b.Excess(601), int64(1))
	assert.Assert(t, !b.Refuses(800))
	assert.Assert(t, b.Refuses(801))
	assert.Assert(t, b.MayRead(900, 500, 100))
	assert.Assert(t, !b.MayRead(900, 500, 101))
	assert.Assert(t, b.MayRead(900, 0, 5000), "a body beyond the budget is never read")
	for held := int64(0); held < 1200; held++ {
		assert.Assert(t, !b.Refuses(held) || b.Excess(held) > 0)
		assert.Assert(t, b.Fits(held, 1) || b.Refuses(held))
	}
	const none = Budget(0)
	assert.Assert(t, none.Excess(1<<40) == 0 && !none.Refuses(1<<40) && none.MayRead(1<<40, 1, 1))
}

// Guards against a budget that does not fit into the memory limit beside the rest of the process.
func TestBudgetLeavesRoomInTheLimit(t *testing.T) {
	assert.Equal(t, BudgetOf(0), Budget(0))
	for limit := int64(64 << 20); limit <= 4<<30; limit *= 2 {
		b := int64(BudgetOf(limit))
		assert.Assert(t, b >= minBudget && float64(b)/liveShare <= RuntimeShare*float64(limit), "%d of %d", b, limit)
		a := AgentOf(limit)
		assert.Assert(t, a.Answers > 0 && a.HostedBodies > 0 && a.Answers+a.Bodies <= b, "%+v of %d", a, b)
		assert.Assert(t, float64(b+a.HostedBodies) <= RuntimeShare*float64(limit), "%+v beside %d", a, b)
	}
}
