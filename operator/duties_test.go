package operator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/control/api"
)

// Guards against operators who cannot see who reports usage, what waits and why.
func TestSessionDuties(t *testing.T) {
	s := newShell(t)
	assert.Equal(t, s.run("duties"), 0)
	s.control.duties = api.DutiesReply{Enabled: true, Duties: []api.DutyStatus{{
		Name: "usage-reports", Holder: "front-a-1", Address: "10.1.0.1:7600", Token: 3, Since: start.Add(-time.Hour), Left: 1400 * time.Millisecond,
	}}}
	assert.Equal(t, s.run("duties"), 0)
	s.control.duties.Usage = api.UsageStatus{
		LastFixed: 71,
		Unsent:    []api.UsageWindow{{Window: 71, Total: 812, Accounts: 16, Processes: 26}},
		Ended:     api.EndedUsage{Window: 70, Outcome: "accepted", At: start, Total: 640, Accounts: 16},
		Attempt:   api.UsageAttempt{Window: 71, Attempts: 2, At: start, Err: "busy, retry after 1s"},
	}
	assert.Equal(t, s.run("duties"), 0)
	assert.Equal(t, s.run("duties -o json"), 0)
	s.golden("duties.golden")
}
