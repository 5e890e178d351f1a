package distribution_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/control/api"
	"toucantiller.dev/distribution"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/failuredomain"
	"toucantiller.dev/instance"
	"toucantiller.dev/uptime"
)

// fleetDirectory lists 12,370 endpoints in 13 domains.
func fleetDirectory(revision uint64) *api.Directory {
	d := &api.Directory{Revision: revision}
	for i := range 12370 {
		id := fmt.Sprintf("agent-%05d", i)
		d.Endpoints = append(d.Endpoints, endpoint.Endpoint{
			ID: instance.ID(id), Incarnation: 1, Service: "weft", Version: "v1", Address: id + ":7200", LinkAddress: id + ":7300",
			Domain: failuredomain.ID(fmt.Sprintf("domain-%02d", i%13)),
		})
	}
	return d
}

// BenchmarkParents measures how long a process takes to find its parents in a tree of
// 12,370 endpoints.
func BenchmarkParents(b *testing.B) {
	d := fleetDirectory(1)
	self := instance.Instance{ID: "agent-07000", Domain: d.Endpoints[7000].Domain}
	for b.Loop() {
		distribution.Parents(d, self)
	}
}

// BenchmarkDirectoryChange measures the propagation of one changed endpoint: the sender
// accepts a new directory and computes a delta, which the receiver applies.
func BenchmarkDirectoryChange(b *testing.B) {
	sender, receiver := distribution.NewHolder(nil), distribution.NewHolder(nil)
	d := fleetDirectory(1)
	for _, h := range []*distribution.Holder{sender, receiver} {
		_, err := h.Accept(&api.View{Directory: d}, uptime.Now())
		assert.NilError(b, err)
	}
	directories := []*api.Directory{fleetDirectory(0), fleetDirectory(0)}
	revision := uint64(1)
	b.ResetTimer()
	for range b.N {
		next := *directories[revision%2]
		next.Endpoints[100].Incarnation = instance.Incarnation(revision)
		revision++
		next.Revision = revision
		_, _ = sender.Accept(&api.View{Directory: &next}, uptime.Now())
		v := sender.Wait(&api.Subscribe{Directory: revision - 1}, nil)
		changed, err := receiver.Accept(&v, uptime.Now())
		if !changed || err != nil || v.DirectoryDelta == nil {
			b.Fatal("no delta was applied", err)
		}
	}
}

// BenchmarkRequestPath measures the calls to a Holder that a gateway makes for each request.
func BenchmarkRequestPath(b *testing.B) {
	h := distribution.NewHolder(nil)
	_, err := h.Accept(&api.View{Config: config(2), Beacon: api.Beacon{Revision: 2, Term: 1, Seq: 1}}, uptime.Now())
	assert.NilError(b, err)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			now := time.Now()
			_, _, _ = h.Config(), h.MayServe(now), h.UnprovenAllowed(now)
		}
	})
}
