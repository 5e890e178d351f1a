package gateway

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against answers that can hardly end before their callers leave and that go before those
// that can, because their size alone makes them worth the most.
func TestWorthFollowsTheChanceToEndInTime(t *testing.T) {
	assert.Assert(t, endsInTime(1, 12) > 0.99)
	assert.Equal(t, endsInTime(12, 12), 0.5)
	assert.Assert(t, endsInTime(24, 12) < 0.1)
	assert.Equal(t, endsInTime(1, 0), 0.0)
}
