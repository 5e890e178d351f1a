package membership_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/contract"
	"toucantiller.dev/control/api"
	"toucantiller.dev/distribution"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/instance"
	"toucantiller.dev/membership"
	"toucantiller.dev/uptime"
)

// fakeControl is a Control that knows one lease.
type fakeControl struct {
	mu        sync.Mutex
	lease     uint64
	known     bool
	fail      bool
	registers int
	confirmed uint64
	left      bool
}

func (f *fakeControl) Register(context.Context, *api.Register) (*api.RegisterReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fail {
		return nil, errors.New("no leader")
	}
	f.registers++
	f.lease++
	f.known = true
	return &api.RegisterReply{Lease: f.lease}, nil
}

func (f *fakeControl) KeepAlive(_ context.Context, in *api.KeepAlive) (*api.KeepAliveReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fail {
		return nil, errors.New("no leader")
	}
	f.left = f.left || in.Leaving
	f.confirmed = in.Revision
	return &api.KeepAliveReply{Known: f.known && in.Lease == f.lease}, nil
}

func (f *fakeControl) update(change func(f *fakeControl)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// Guards against a process that stays unregistered after its lease was lost, gives up its
// lease while control is unavailable, confirms a revision late, or does not tell control
// that it leaves.
func TestAnnouncerKeepsTheProcessRegistered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeControl{fail: true}
		holder := distribution.NewHolder(nil)
		a := membership.NewAnnouncer(membership.Options{Control: f, Configuration: holder, Self: instance.Instance{ID: "a", Incarnation: 1}})
		go a.Run(t.Context())
		time.Sleep(3 * time.Second)
		f.update(func(f *fakeControl) { f.fail = false })
		time.Sleep(time.Second)
		assert.Equal(t, a.Lease(), uint64(1))

		_, err := holder.Accept(&api.View{Config: &contract.Parts{Revision: 7}}, uptime.Now())
		assert.NilError(t, err)
		synctest.Wait()
		f.update(func(f *fakeControl) { assert.Equal(t, f.confirmed, uint64(7), "not confirmed at once") })

		f.update(func(f *fakeControl) { f.fail = true })
		time.Sleep(20 * time.Second)
		f.update(func(f *fakeControl) { f.fail = false })
		time.Sleep(4 * time.Second)
		assert.Equal(t, a.Lease(), uint64(1), "registered anew though the lease was never refused")

		f.update(func(f *fakeControl) { f.known = false })
		time.Sleep(4 * time.Second)
		assert.Equal(t, a.Lease(), uint64(2))

		a.SetEndpoint(endpoint.Endpoint{ID: "a", Incarnation: 1, Version: "v2"})
		time.Sleep(time.Second)
		f.update(func(f *fakeControl) { assert.Equal(t, f.registers, 3) })

		assert.NilError(t, a.Leave(t.Context()))
		f.update(func(f *fakeControl) { assert.Assert(t, f.left) })
	})
}

func directoryOf(t *testing.T, ids ...endpoint.ID) *membership.Directory {
	t.Helper()
	d := &api.Directory{Revision: 1}
	for _, id := range ids {
		d.Endpoints = append(d.Endpoints, endpoint.Endpoint{ID: id, Incarnation: 1, Service: "weft"})
	}
	h := distribution.NewHolder(nil)
	_, err := h.Accept(&api.View{Directory: d}, uptime.Now())
	assert.NilError(t, err)
	return membership.NewDirectory(h)
}

// Guards against an unreachable endpoint that stays in use, and an endpoint that stays
// suspect after its restart.
func TestSuspectEndpointIsSkipped(t *testing.T) {
	d := directoryOf(t, "a", "b", "c")
	now := time.Unix(0, 0)
	a, ok := d.Lookup("a")
	assert.Assert(t, ok)
	d.Suspect(a, now)
	assert.Equal(t, len(d.Reachable("weft", now, nil)), 2)
	assert.Equal(t, len(d.Reachable("weft", now.Add(membership.SuspicionTime), nil)), 3)
	earlier := a
	earlier.Incarnation = 9
	fresh := directoryOf(t, "a", "b", "c")
	fresh.Suspect(earlier, now)
	assert.Equal(t, len(fresh.Reachable("weft", now, nil)), 3)
}

// Guards against a gateway that skips most endpoints of a service because of a fault of its
// own link.
func TestMajorityOfSuspectsIsIgnored(t *testing.T) {
	d := directoryOf(t, "a", "b", "c")
	now := time.Unix(0, 0)
	for _, e := range d.Endpoints("weft")[:2] {
		d.Suspect(e, now)
	}
	assert.Equal(t, len(d.Reachable("weft", now, nil)), 3)
}
