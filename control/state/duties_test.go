package state

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/duty"
	"toucantiller.dev/instance"
	"toucantiller.dev/usage"
)

// Guards against a fencing token that stands for two holders, also after a snapshot.
func TestTokenGrowsAtEachChangeOfHolder(t *testing.T) {
	s, at := New(), time.Unix(1000, 0).UTC()
	assign := func(holder instance.ID, address string) uint64 {
		c := &AssignDuty{Duty: duty.UsageReports, Holder: holder, Address: address}
		return applyCommand(t, s, &Command{At: at, AssignDuty: c}).Token
	}
	first := assign("a", "1")
	assert.Equal(t, first, uint64(at.UnixMilli()))
	assert.Equal(t, assign("a", "1"), first)
	assert.Equal(t, assign("b", "2"), first+1)
	snapshot, err := s.Snapshot()
	assert.NilError(t, err)
	s = New()
	assert.NilError(t, s.Restore(snapshot))
	assert.DeepEqual(t, s.Duty(duty.UsageReports), Duty{Holder: "b", Address: "2", Token: first + 1, Since: at})
	assert.Equal(t, assign("a", "1"), first+2)
	last := assign("a", "9")
	assert.Equal(t, last, first+3, "a machine that replaces another one under its name")
	s, at = New(), at.Add(time.Second)
	assert.Assert(t, assign("b", "2") > last, "a group that was formed anew without its log")
	assert.Assert(t, applyCommand(t, s, &Command{At: at, AssignDuty: &AssignDuty{Duty: duty.UsageReports}}).Refused != "")
}

// Guards against a window with two contents, one that is reported again after it ended, and
// reports that grow without bound.
func TestWindowsAreFixedOnce(t *testing.T) {
	s, at := New(), time.Unix(1000, 0).UTC()
	fix := func(number int64, n uint64) string {
		w := usage.Window{Number: number, Counts: usage.Counts{"mill": n, "desk": 1}, Processes: 2}
		return applyCommand(t, s, &Command{At: at, FixUsage: &FixUsage{Windows: []usage.Window{w}}}).Refused
	}
	end := func(number int64) string {
		return applyCommand(t, s, &Command{At: at, EndUsage: &EndUsage{Window: number, Outcome: UsageAccepted}}).Refused
	}
	assert.Equal(t, s.NextUsageWindow(), int64(0))
	assert.Equal(t, fix(70, 5), "")
	assert.Assert(t, fix(70, 6) != "")
	assert.Equal(t, fix(72, 7), "")
	assert.Assert(t, fix(71, 7) != "", "a window before a fixed one")
	assert.Equal(t, s.NextUsageWindow(), int64(73))

	snapshot, err := s.Snapshot()
	assert.NilError(t, err)
	s = New()
	assert.NilError(t, s.Restore(snapshot))
	w, ok := s.OldestUsage()
	assert.Assert(t, ok)
	assert.DeepEqual(t, w, usage.Window{Number: 70, Counts: usage.Counts{"mill": 5, "desk": 1}, Processes: 2})

	assert.Equal(t, end(70), "")
	assert.DeepEqual(t, s.UsageReports().Last, EndedReport{Window: 70, Outcome: UsageAccepted, At: at, Total: 6, Accounts: 2})
	assert.Assert(t, end(70) != "")
	assert.Assert(t, fix(70, 8) != "")
	w, _ = s.OldestUsage()
	assert.Equal(t, w.Number, int64(72))
	for i := range int64(2 * MaxUnsentWindows) {
		fix(100+i, 1)
	}
	assert.Equal(t, len(s.UsageReports().Unsent), MaxUnsentWindows)
	assert.Equal(t, end(72), "")
	assert.Equal(t, fix(500, 1), "")
}
