package duty_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"toucantiller.dev/control/state"
	"toucantiller.dev/duty"
	"toucantiller.dev/instance"
	"toucantiller.dev/uptime"
	"toucantiller.dev/usage"
)

const lease = 3 * time.Second

// node is an instance that may lead.
type node struct {
	name      instance.ID
	hold      *duty.Hold
	suspended time.Duration
	// term is the node's last term as the leader; leads is what the node believes.
	term  int
	leads bool
	// confirming is the instant before a confirmation that is under way, and quorum whether it
	// will succeed.
	confirming *uptime.Instant
	quorum     bool
	record     state.Duty
}

// call is a call as the outside system sees it.
type call struct {
	at      time.Duration
	holder  instance.ID
	token   uint64
	window  int64
	content string
}

// model is a group of nodes, their replicated state and the outside system. Its time is the true
// one.
type model struct {
	now   time.Duration
	term  int
	nodes []*node
	state *state.State
	calls []call
}

var start = time.Now()

func (m *model) instant(n *node) uptime.Instant {
	return uptime.At(start.Add(m.now-n.suspended), func() (time.Duration, bool) { return time.Hour + m.now, true })
}

func (m *model) apply(t *rapid.T, c *state.Command) *state.Result {
	b, err := c.Encode()
	assert.NilError(t, err)
	r, err := state.DecodeResult(m.state.Apply(b))
	assert.NilError(t, err)
	return r
}

// isLeader reports whether a quorum follows a node.
func (m *model) isLeader(n *node) bool { return n.leads && n.term == m.term }

func (m *model) elect(n *node) {
	m.term++
	n.term, n.leads = m.term, true
}

func (m *model) assign(t *rapid.T, n *node) {
	if !m.isLeader(n) {
		return
	}
	r := m.apply(t, &state.Command{AssignDuty: &state.AssignDuty{Duty: duty.UsageReports, Holder: n.name}})
	n.hold.Assign(r.Token, m.instant(n))
}

func (m *model) beginConfirm(n *node) {
	if n.leads {
		at := m.instant(n)
		n.confirming, n.quorum, n.record = &at, m.isLeader(n), m.state.Duty(duty.UsageReports)
	}
}

func (m *model) endConfirm(n *node) {
	if n.confirming != nil && n.quorum && n.record.Holder == n.name {
		n.hold.Confirm(n.record.Token, *n.confirming)
	}
	n.confirming = nil
}

// send begins a call, which arrives before the time for it has ended.
func (m *model) send(t *rapid.T, n *node) {
	left := n.hold.Left(m.instant(n))
	w, ok := m.state.OldestUsage()
	if left <= 0 || !ok {
		return
	}
	late := left * time.Duration(rapid.SampledFrom([]int{0, 50, 100}).Draw(t, "delay")) / 100
	m.calls = append(m.calls, call{at: m.now + late, holder: n.name, token: n.hold.Token(), window: w.Number, content: fmt.Sprint(w.Counts)})
}

// fix fixes the next window, or one that is fixed, with a leader's own counts.
func (m *model) fix(t *rapid.T, n *node) {
	if !m.isLeader(n) {
		return
	}
	number := rapid.Int64Range(max(1, m.state.NextUsageWindow()-1), m.state.NextUsageWindow()+1).Draw(t, "window")
	w := usage.Window{Number: number, Counts: usage.Counts{string(n.name): uint64(m.now)}}
	m.apply(t, &state.Command{FixUsage: &state.FixUsage{Windows: []usage.Window{w}}})
}

func (m *model) restart(n *node) {
	n.hold, n.leads, n.confirming = duty.NewHold(lease), false, nil
}

// takeOver elects a node that has its leadership confirmed a moment later.
func (m *model) takeOver(t *rapid.T, n *node) {
	m.elect(n)
	m.assign(t, n)
	m.fix(t, n)
	m.now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
	m.beginConfirm(n)
	m.endConfirm(n)
}

// waitAndSend passes the time that a node has to wait, for which another one may be suspended,
// and sends.
func (m *model) waitAndSend(t *rapid.T, n, sleeper *node) {
	wait := n.hold.Wait(m.instant(n))
	m.now += wait
	if sleeper != n {
		sleeper.suspended += wait
	}
	if rapid.Bool().Draw(t, "confirm") {
		m.beginConfirm(n)
		m.endConfirm(n)
	}
	m.send(t, n)
}

func (m *model) restore(t *rapid.T) {
	snapshot, err := m.state.Snapshot()
	assert.NilError(t, err)
	m.state = state.New()
	assert.NilError(t, m.state.Restore(snapshot))
}

// check checks what the outside system saw.
func (m *model) check(t *rapid.T) {
	calls := slices.Clone(m.calls)
	slices.SortStableFunc(calls, func(a, b call) int { return int(a.at - b.at) })
	holders, contents := map[uint64]instance.ID{}, map[int64]string{}
	for i, c := range calls {
		if h, ok := holders[c.token]; ok && h != c.holder {
			t.Fatalf("token %d has the holders %s and %s", c.token, h, c.holder)
		}
		if known, ok := contents[c.window]; ok && known != c.content {
			t.Fatalf("window %d was reported as %s and %s", c.window, known, c.content)
		}
		if i > 0 && c.token < calls[i-1].token {
			t.Fatalf("token %d came after %d", c.token, calls[i-1].token)
		}
		holders[c.token], contents[c.window] = c.holder, c.content
		checkTurns(t, calls[:i], c)
	}
}

// checkTurns checks that the calls before one hold no other holder between it and an earlier call
// of its own within a lease.
func checkTurns(t *rapid.T, earlier []call, c call) {
	other := false
	for _, e := range slices.Backward(earlier) {
		if c.at-e.at >= lease {
			return
		}
		if e.holder == c.holder && other {
			t.Fatalf("%s acted at %s and %s, and another holder between", c.holder, e.at, c.at)
		}
		other = other || e.holder != c.holder
	}
}

// Guards against two holders at a time through freezes, suspends, cuts, restarts and changes of
// leader in any order: a fencing token of two holders or a lower one after a higher one, a holder
// that acts again within a lease in which another one acted, and two contents of one window.
func TestOneHolderAtATime(t *testing.T) {
	acted := map[string]int{}
	for range rounds {
		rapid.Check(t, func(t *rapid.T) { playModel(t, acted) })
	}
	names := strings.Join(slices.Sorted(maps.Keys(acted)), "")
	assert.Equal(t, names, "abc", "the model let not every node act")
}

// rounds is how often the model is played as often as rapid plays it; one play takes some 0.1 ms.
const rounds = 40

func playModel(t *rapid.T, acted map[string]int) {
	m := &model{state: state.New()}
	for _, name := range []instance.ID{"a", "b", "c"}[:rapid.IntRange(2, 3).Draw(t, "nodes")] {
		m.nodes = append(m.nodes, &node{name: name, hold: duty.NewHold(lease)})
	}
	pick := func(t *rapid.T) *node { return rapid.SampledFrom(m.nodes).Draw(t, "node") }
	actions := map[string]func(*rapid.T){
		"elect":         func(t *rapid.T) { m.elect(pick(t)) },
		"assign":        func(t *rapid.T) { m.assign(t, pick(t)) },
		"begin confirm": func(t *rapid.T) { m.beginConfirm(pick(t)) },
		"end confirm":   func(t *rapid.T) { m.endConfirm(pick(t)) },
		"send":          func(t *rapid.T) { m.send(t, pick(t)) },
		"fix":           func(t *rapid.T) { m.fix(t, pick(t)) },
		"end": func(t *rapid.T) {
			if w, ok := m.state.OldestUsage(); ok {
				m.apply(t, &state.Command{EndUsage: &state.EndUsage{Window: w.Number, Outcome: state.UsageAccepted}})
			}
		},
		"take over":       func(t *rapid.T) { m.takeOver(t, pick(t)) },
		"wait and send":   func(t *rapid.T) { m.waitAndSend(t, pick(t), pick(t)) },
		"learn of a loss": func(t *rapid.T) { n := pick(t); n.leads = m.isLeader(n); n.hold.Lose() },
		"restart":         func(t *rapid.T) { m.restart(pick(t)) },
		"restore":         m.restore,
		"pass": func(t *rapid.T) {
			m.now += time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond
		},
		"suspend": func(t *rapid.T) {
			d := time.Duration(rapid.IntRange(1, 9000).Draw(t, "ms")) * time.Millisecond
			pick(t).suspended += d
			m.now += d
		},
		"": m.check,
	}
	t.Repeat(actions)
	for _, c := range m.calls {
		acted[string(c.holder)]++
	}
}
