package lease_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/lease"
)

func Example() {
	now := time.Unix(0, 0)
	t := lease.NewTable(8 * time.Second)
	t.Grant(1, now)
	t.Grant(2, now)
	t.Renew(2, 17, now.Add(6*time.Second))
	fmt.Println("expired after 9 s:", t.Expired(now.Add(9*time.Second)))

	// A new leader knows the leases from the log, but not the times of their keepalives.
	successor := lease.NewTable(8 * time.Second)
	successor.Extend([]uint64{1, 2}, now.Add(9*time.Second))
	fmt.Println("expired at the new leader:", successor.Expired(now.Add(16*time.Second)))
	// Output:
	// expired after 9 s: [1]
	// expired at the new leader: []
}

// Guards against callers that are never admitted when many arrive at once, and against
// admission above the rate.
func TestAdmissionIsBoundedAndFair(t *testing.T) {
	a := lease.NewAdmission(10, 5)
	now := time.Unix(0, 0)
	due := make(map[int]time.Duration)
	for i := range 100 {
		if wait := a.Admit(fmt.Sprint(i), now); wait > 0 {
			due[i] = wait
		}
	}
	assert.Equal(t, len(due), 95, "the burst is 5")
	for elapsed := time.Duration(0); elapsed <= 10*time.Second; elapsed += 100 * time.Millisecond {
		admitted := 0
		for i, at := range due {
			if at > elapsed {
				continue
			}
			assert.Equal(t, a.Admit(fmt.Sprint(i), now.Add(elapsed)), time.Duration(0), "caller %d was told another time", i)
			delete(due, i)
			admitted++
		}
		assert.Assert(t, admitted <= 2, "%d admitted within 100 ms", admitted)
	}
	assert.Equal(t, len(due), 0)
}

// Guards against a caller that loses its slot because it returns too early.
func TestAdmissionKeepsTheSlotOfAnEarlyCaller(t *testing.T) {
	a := lease.NewAdmission(1, 1)
	now := time.Unix(0, 0)
	assert.Equal(t, a.Admit("a", now), time.Duration(0))
	assert.Equal(t, a.Admit("b", now), time.Second)
	assert.Equal(t, a.Admit("c", now), 2*time.Second)
	assert.Equal(t, a.Admit("b", now.Add(500*time.Millisecond)), 500*time.Millisecond)
	assert.Equal(t, a.Admit("b", now.Add(time.Second)), time.Duration(0))
}

// Guards against a confirmed revision that is lost or lowered by a delayed keepalive, and
// against a lease that is renewed after its removal.
func TestRenewKeepsTheHighestRevision(t *testing.T) {
	now := time.Unix(0, 0)
	table := lease.NewTable(time.Second)
	table.Grant(1, now)
	assert.Assert(t, table.Renew(1, 9, now))
	assert.Assert(t, table.Renew(1, 8, now))
	e, ok := table.Get(1)
	assert.Assert(t, ok)
	assert.Equal(t, e.Revision, uint64(9))
	table.Remove(1)
	assert.Assert(t, !table.Renew(1, 9, now))
}
