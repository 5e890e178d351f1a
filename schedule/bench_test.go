package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"toucantiller.dev/contract"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/failuredomain"
	"toucantiller.dev/instance"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet returns a configuration and endpoints spread over 13 domains and models.
func fleet(n, models int) SnapshotInput {
	cfg := contract.Parts{Domains: map[failuredomain.ID]failuredomain.Domain{}}
	for d := range 13 {
		id := failuredomain.ID(fmt.Sprintf("domain-%d", d))
		cfg.Domains[id] = failuredomain.Domain{ID: id, Region: failuredomain.Region(fmt.Sprint(d / 4)), State: failuredomain.StateActive}
	}
	for m := range models {
		cfg.Services = append(cfg.Services, &contract.Service{Name: fmt.Sprintf("model-%d", m), Versions: []contract.VersionShare{{Version: "v1", Share: 1}}})
	}
	in := SnapshotInput{Gateway: "gateway-1", Domain: "domain-0", Config: contract.NewConfig(cfg)}
	for i := range n {
		in.Endpoints = append(in.Endpoints, endpoint.Endpoint{
			ID: endpoint.ID(fmt.Sprintf("endpoint-%d", i)), Incarnation: 1,
			Service: fmt.Sprintf("model-%d", i%models), Version: "v1",
			Domain: failuredomain.ID(fmt.Sprintf("domain-%d", i%13)),
		})
	}
	return in
}

func observeAll(s *Snapshot, rng *rand.Rand) {
	for _, svc := range s.services {
		for _, c := range svc.candidates {
			c.Observe(endpoint.Load{Limit: 16, Running: rng.IntN(16), Queued: rng.IntN(2), PrefillRate: 4000 + 4000*rng.Float64(), DecodeRate: 30, Floor: -1, Age: time.Duration(rng.IntN(500)) * time.Millisecond}, start)
		}
	}
}

func benchPick(b *testing.B, in SnapshotInput, prefixes []Prefix) {
	rng := rand.New(rand.NewPCG(1, 2))
	s := NewSnapshot(in)
	observeAll(s, rng)
	r := &Request{Service: "model-0", Tier: 1, PromptTokens: 500, AnswerTokens: 100, Prefixes: prefixes, Hash: 7, UnprovenAllowed: true}
	now := start.Add(300 * time.Millisecond)
	b.ReportAllocs()
	b.ReportMetric(0, "candidates")
	for b.Loop() {
		r.Hash++
		d := s.Pick(r, now, rng)
		if d.Candidate == nil {
			b.Fatal(d)
		}
	}
	b.ReportMetric(float64(len(s.Candidates("model-0"))), "candidates")
}

func BenchmarkPickFleet(b *testing.B) {
	for _, n := range []int{20, 200, 2000, 12000} {
		b.Run(fmt.Sprintf("endpoints=%d/models=11", n), func(b *testing.B) { benchPick(b, fleet(n, 11), nil) })
	}
}

func BenchmarkPick200(b *testing.B) {
	prefixes := []Prefix{{1, 100}, {2, 200}, {3, 300}, {4, 400}}
	for n := 0; n <= 4; n += 2 {
		b.Run(fmt.Sprintf("prefixes=%d", n), func(b *testing.B) { benchPick(b, fleet(200, 1), prefixes[:n]) })
	}
}

func BenchmarkPickParallel(b *testing.B) {
	s := NewSnapshot(fleet(200, 1))
	observeAll(s, rand.New(rand.NewPCG(1, 2)))
	now := start.Add(time.Second)
	b.RunParallel(func(pb *testing.PB) {
		rng := rand.New(rand.NewPCG(rand.Uint64(), 3))
		r := &Request{Service: "model-0", PromptTokens: 500, AnswerTokens: 100}
		for pb.Next() {
			c := s.Pick(r, now, rng).Candidate
			c.AddOutstanding(500, 100)
			c.RemoveOutstanding(500, 100)
		}
	})
}

func BenchmarkNewSnapshot(b *testing.B) {
	for _, n := range []int{200, 2000, 12000} {
		b.Run(fmt.Sprintf("endpoints=%d/models=11", n), func(b *testing.B) {
			in := fleet(n, 11)
			in.Gateway = instance.ID("gateway-2")
			for b.Loop() {
				in.Previous = NewSnapshot(in)
			}
		})
	}
}

func BenchmarkAnswerEstimator(b *testing.B) {
	var e AnswerEstimator
	b.ReportAllocs()
	for b.Loop() {
		e.Observe("route", "account", 100)
		e.Estimate("route", "account")
	}
}
