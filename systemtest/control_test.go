package systemtest

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/contract"
	"toucantiller.dev/control/api"
	"toucantiller.dev/failuredomain"
	"toucantiller.dev/link"
)

// domainStream drains and restores a domain one change after the other and checks that
// revisions of accepted changes only rise.
type domainStream struct {
	d        *deployment
	halt     chan struct{}
	wait     sync.WaitGroup
	accepted int
	last     api.SetDomain
	revision uint64
	fault    string
}

func (d *deployment) startStream() *domainStream {
	s := &domainStream{d: d, halt: make(chan struct{})}
	s.wait.Go(s.run)
	return s
}

func (s *domainStream) run() {
	states := []failuredomain.State{failuredomain.StateDrained, failuredomain.StateActive}
	for i := 0; ; i++ {
		select {
		case <-s.halt:
			return
		default:
		}
		c := api.SetDomain{Operation: api.Operation{ID: fmt.Sprintf("stream-%d", i), Operator: "adaeze"}, Domain: "lagos-c", State: states[i%2]}
		api.Sign(&c, contract.DemoKey("adaeze"), time.Now())
		ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
		r, err := s.d.client.SetDomain(ctx, &c)
		cancel()
		switch {
		case err != nil:
			s.fault = fmt.Sprintf("change %d: %v", i, err)
			return
		case r.Outcome != api.OutcomeAccepted:
			s.fault = fmt.Sprintf("change %d refused: %s", i, r.Reason)
			return
		case r.Revision <= s.revision:
			s.fault = fmt.Sprintf("change %d: revision went from %d to %d", i, s.revision, r.Revision)
			return
		}
		s.revision = r.Revision
		s.last = c
		s.accepted++
	}
}

// stop ends the stream and checks that its last change is in the state.
func (s *domainStream) stop(t *testing.T) {
	t.Helper()
	close(s.halt)
	s.wait.Wait()
	assert.Equal(t, s.fault, "")
	assert.Assert(t, s.accepted > 0)
	st := s.d.status()
	assert.Assert(t, st != nil && st.Revision >= s.revision)
	for _, domain := range st.Domains {
		if domain.ID == "lagos-c" {
			drained := s.last.State == failuredomain.StateDrained
			assert.Equal(t, domain.AcceptsWork(), !drained, "state %s", domain.State)
		}
	}
	t.Logf("%d changes accepted, revision %d", s.accepted, s.revision)
}

// leader returns the index of the leading replica.
func (d *deployment) leader() int {
	d.t.Helper()
	var leader int
	waitFor(d.t, "a leader", func() bool {
		s := d.status()
		if s == nil {
			return false
		}
		leader = slices.Index(d.control, s.Leader)
		return leader >= 0
	})
	return leader
}

// progress waits until the stream has had n more changes accepted.
func (d *deployment) progress() {
	d.t.Helper()
	before := d.status()
	waitFor(d.t, "further revisions", func() bool {
		s := d.status()
		return s != nil && (before == nil || s.Revision >= before.Revision+5)
	})
}

// Guards P11: against an accepted change that is lost, or a revision that reverts, when
// leaders are killed one after the other under a stream of changes, and then all replicas.
// Before a leader is killed, one follower falls behind, then the leader is alone: what it
// accepts alone would be lost, and so would be what a follower that lags leads without.
func TestKilledLeadersLoseNothing(t *testing.T) {
	d := startControl(t)
	d.apply(1)
	stream := d.startStream()
	for range 3 {
		d.progress()
		i := d.leader()
		lagging, other := d.controls[(i+1)%replicas], d.controls[(i+2)%replicas]
		lagging.signal(syscall.SIGSTOP)
		d.progress()
		other.signal(syscall.SIGSTOP)
		time.Sleep(300 * time.Millisecond) // within the election timeout
		d.controls[i].kill()
		lagging.signal(syscall.SIGCONT)
		other.signal(syscall.SIGCONT)
		d.progress()
		d.controls[i] = d.newControl(i)
		d.controls[i].start()
		d.progress()
	}
	for _, c := range d.controls {
		c.kill()
	}
	for i := range d.controls {
		d.controls[i] = d.newControl(i)
		d.controls[i].start()
	}
	d.progress()
	stream.stop(t)
}

// Guards P11: against a leader that is frozen, and so cut off silently, going on as
// leader when it wakes, and against one whose followers are frozen going on as leader.
func TestFrozenLeaderStepsDown(t *testing.T) {
	d := startControl(t)
	d.apply(1)
	stream := d.startStream()
	d.progress()
	i := d.leader()
	d.controls[i].signal(syscall.SIGSTOP)
	d.progress()
	d.controls[i].signal(syscall.SIGCONT)
	d.progress()
	i = d.leader()
	alone := link.NewClient(link.TCP{}, d.control[i])
	defer alone.Close()
	for n := 1; n < replicas; n++ {
		d.controls[(i+n)%replicas].signal(syscall.SIGSTOP)
	}
	waitFor(t, "the leader to step down", func() bool {
		var s api.Status
		return alone.Call(context.Background(), "Control.Status", &api.Empty{}, &s) == nil && s.Leader == ""
	})
	for n := 1; n < replicas; n++ {
		d.controls[(i+n)%replicas].signal(syscall.SIGCONT)
	}
	d.progress()
	stream.stop(t)
}

// Guards P11: against a replica that came back without its disk voting as its former
// self: it must not help a group that has lost another replica to a quorum that lacks
// accepted changes.
func TestWipedReplicaCannotFormQuorum(t *testing.T) {
	d := startControl(t)
	d.apply(1)
	stream := d.startStream()
	d.progress()
	leader := d.leader()
	wiped, other := (leader+1)%replicas, (leader+2)%replicas
	d.controls[wiped].kill()
	d.progress()
	stream.stop(t)
	revision := d.status().Revision

	d.controls[leader].kill()
	d.controls[other].kill()
	entries, err := os.ReadDir(d.folders[wiped])
	assert.NilError(t, err)
	for _, e := range entries {
		assert.NilError(t, os.RemoveAll(filepath.Join(d.folders[wiped], e.Name())))
	}
	d.controls[wiped] = d.newControl(wiped)
	d.controls[wiped].start()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	lone := api.SetDomain{Operation: api.Operation{ID: "lone", Operator: "adaeze"}, Domain: "lagos-c", State: failuredomain.StateDrained}
	api.Sign(&lone, contract.DemoKey("adaeze"), time.Now())
	_, err = d.client.SetDomain(ctx, &lone)
	assert.Assert(t, err != nil, "a replica without its disk accepted a change")

	// With one of the two others it would make a majority of three by count.
	d.controls[other] = d.newControl(other)
	d.controls[other].start()
	ctx, cancel = context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err = d.client.SetDomain(ctx, &lone)
	assert.Assert(t, err != nil, "a replica without its disk voted as its former self")

	d.controls[leader] = d.newControl(leader)
	d.controls[leader].start()
	waitFor(t, "the group to serve again", func() bool {
		s := d.status()
		return s != nil && s.Revision >= revision
	})
}

// Guards against two operators who race with the same version number both being told
// that they won, and against a resent change getting another outcome than the first.
func TestRacingOperators(t *testing.T) {
	d := startControl(t)
	d.apply(1)
	type result struct {
		reply *api.ChangeReply
		err   error
	}
	const racers = 8
	results := make([]result, racers)
	changes := make([]*api.ApplyBundle, racers)
	var wait sync.WaitGroup
	for i := range racers {
		content := append(bundle(t, 2), fmt.Appendf(nil, "# racer %d\n", i)...)
		changes[i] = signedBundle(content, fmt.Sprintf("race-%d", i), "adaeze")
		wait.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
			defer cancel()
			results[i].reply, results[i].err = d.client.ApplyBundle(ctx, changes[i])
		})
	}
	wait.Wait()
	winner := -1
	for i, r := range results {
		assert.NilError(t, r.err)
		if r.reply.Outcome == api.OutcomeAccepted {
			assert.Equal(t, winner, -1, "two winners")
			winner = i
		}
	}
	assert.Assert(t, winner >= 0, "no winner")
	digest := contract.Digest(changes[winner].Content)
	for i, r := range results {
		if i != winner {
			assert.Assert(t, strings.Contains(r.reply.Reason, digest), r.reply.Reason)
		}
	}
	d.controls[d.leader()].kill()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	again, err := d.client.ApplyBundle(ctx, changes[winner])
	assert.NilError(t, err)
	assert.DeepEqual(t, again, results[winner].reply)
}
