package control_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Number of schedules that TestMembershipSchedules runs; the environment variables
// TOUCAN_MEMBERSHIP_SCHEDULES and TOUCAN_SCHEDULE_SEED override it and the first seed.
const (
	membershipSchedules = 3
	membershipRounds    = 2
	membershipEvents    = 5
	// settleTime is how long the group has to become whole after the last fault.
	settleTime = 8 * time.Second
)

// membershipModel is a group and what it has to hold: the machines that run, each with one
// voter, and the newest acknowledged document.
type membershipModel struct {
	*group
	t       *testing.T
	rand    *rand.Rand
	history []string
	// machines are the addresses that are to vote in the end.
	machines []string
	started  int
	// retiring is the machine that a newcomer replaces, empty for none.
	retiring string
	// diskLost is true from the loss of a disk until the group is whole.
	diskLost         bool
	cut              map[string]bool
	attempted, acked uint64
}

// Guards against a group that ends, or loses an acknowledged document, with one more lost disk
// once it is whole again after any order of frozen and cut-off replicas, planned replacements,
// lost disks, crashes and restarts, and against one that leaves a running replica out.
func TestMembershipSchedules(t *testing.T) {
	first, count := envInt(t, "TOUCAN_SCHEDULE_SEED", 1), envInt(t, "TOUCAN_MEMBERSHIP_SCHEDULES", membershipSchedules)
	for seed := first; seed < first+count; seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			runInSynctest(t, func(t *testing.T) { runMembershipSchedule(t, uint64(seed)) })
		})
	}
}

func envInt(t *testing.T, name string, value int) int {
	t.Helper()
	s, ok := os.LookupEnv(name)
	if !ok {
		return value
	}
	v, err := strconv.Atoi(s)
	assert.NilError(t, err, name)
	return v
}

func runMembershipSchedule(t *testing.T, seed uint64) {
	m := &membershipModel{
		group: startSelfRepairingGroup(t), t: t, rand: rand.New(rand.NewPCG(seed, 0)),
		machines: slices.Clone(replicas), started: len(replicas), cut: map[string]bool{},
	}
	m.applyDocument(t, 1)
	m.attempted, m.acked = 1, 1
	defer func() {
		if t.Failed() {
			t.Logf("voters should be %v; events: %q", m.machines, m.history)
		}
	}()
	for range membershipRounds {
		for range membershipEvents {
			m.randomEvent()
			time.Sleep(time.Duration(m.rand.IntN(3000)) * time.Millisecond)
			m.tryDocument()
		}
		m.becomeWhole()
		m.attempted++
		m.applyDocument(t, m.attempted)
		m.acked = m.attempted
		m.loseDisk()
		m.becomeWhole()
	}
}

// randomEvent performs one random event. At most one disk is lost while the group is not whole.
func (m *membershipModel) randomEvent() {
	seeds := slices.Clone(m.machines)
	m.seeds.Store(&seeds)
	switch n := m.rand.IntN(10); {
	case n < 4:
		m.setCut(m.pick(), true)
	case n < 6:
		for addr := range m.cut {
			m.setCut(addr, false)
		}
	case n < 7 && m.retiring == "":
		m.retiring = m.pick()
		m.addMachine()
	case n < 9:
		m.restart()
	case !m.diskLost:
		m.loseDisk()
	}
}

func (m *membershipModel) pick() string { return m.machines[m.rand.IntN(len(m.machines))] }

func (m *membershipModel) log(format string, args ...any) {
	m.history = append(m.history, fmt.Sprintf(format, args...))
}

func (m *membershipModel) setCut(addr string, cut bool) {
	m.log("cut %s %t", addr, cut)
	m.links[addr].setCut(cut)
	if cut {
		m.cut[addr] = true
	} else {
		delete(m.cut, addr)
	}
}

func (m *membershipModel) addMachine() {
	addr := fmt.Sprintf("control-%d", m.started)
	m.log("add %s", addr)
	m.started++
	m.join(m.t, addr)
	m.machines = append(m.machines, addr)
}

// end stops a machine, by a crash one time out of two, and waits.
func (m *membershipModel) end(addr string) {
	crash := m.rand.IntN(2) == 0
	m.log("end %s, crash %t", addr, crash)
	m.setCut(addr, crash || m.cut[addr])
	m.stop(m.t, addr)
	m.setCut(addr, false)
	time.Sleep(time.Duration(m.rand.IntN(4000)) * time.Millisecond)
}

func (m *membershipModel) restart() {
	addr := m.pick()
	m.end(addr)
	m.log("start %s", addr)
	m.start(m.t, addr)
}

func (m *membershipModel) loseDisk() {
	m.diskLost = true
	addr := m.pick()
	m.log("lose the disk of %s", addr)
	m.end(addr)
	m.join(m.t, addr)
}

// tryDocument sends a document that need not be accepted.
func (m *membershipModel) tryDocument() {
	m.attempted++
	for _, s := range m.servers {
		if s.ApplyDocument(document(m.attempted)) == nil {
			m.acked = m.attempted
			return
		}
	}
}

// becomeWhole ends all faults and checks that every machine votes and that nothing acknowledged
// is lost, before and after the replaced machine stops for good.
func (m *membershipModel) becomeWhole() {
	m.t.Helper()
	for _, addr := range slices.Collect(maps.Keys(m.cut)) {
		m.setCut(addr, false)
	}
	m.checkWhole()
	if addr := m.retiring; addr != "" {
		m.log("retire %s", addr)
		m.stop(m.t, addr)
		m.machines = slices.DeleteFunc(m.machines, func(a string) bool { return a == addr })
		m.retiring = ""
		m.checkWhole()
	}
	m.diskLost = false
}

func (m *membershipModel) checkWhole() {
	m.t.Helper()
	time.Sleep(settleTime)
	got := m.documentVersion(m.t)
	assert.Assert(m.t, got >= m.acked, "version %d, acknowledged was %d", got, m.acked)
	ctx, cancel := context.WithTimeout(m.t.Context(), time.Minute)
	defer cancel()
	want := slices.Sorted(slices.Values(m.machines))
	for !slices.Equal(m.voters(m.t), want) {
		assert.NilError(m.t, ctx.Err(), "the voters are %v", m.voters(m.t))
		time.Sleep(time.Second)
	}
}
