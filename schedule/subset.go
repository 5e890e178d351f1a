package schedule

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"toucantiller.dev/endpoint"
	"toucantiller.dev/failuredomain"
)

// spreadShare is the share of a subset that is divided evenly among the groups of
// equal failure domain and version; the rest goes by rank alone.
const spreadShare = 0.5

type rankedEndpoint struct {
	rank     uint64
	endpoint endpoint.Endpoint
}

type subsetGroup struct {
	domain  failuredomain.ID
	version string
}

// subsetLimit returns the maximum number of endpoints of a service that a gateway considers.
func subsetLimit(list []endpoint.Endpoint) int {
	if slices.ContainsFunc(list, func(e endpoint.Endpoint) bool { return e.Watched() }) {
		return MaxWatchedCandidates
	}
	return MaxCandidates
}

// subset chooses the endpoints that a gateway considers by rendezvous hashing of the gateway's
// ID, so that a change of the endpoints replaces few of them. Every failure domain and version
// gets a part, as far as the limit allows.
func subset(gateway string, list []endpoint.Endpoint) []endpoint.Endpoint {
	limit := subsetLimit(list)
	if len(list) <= limit {
		return slices.Clone(list)
	}
	seed := hashString(gateway)
	all := make([]rankedEndpoint, len(list))
	for i, e := range list {
		all[i] = rankedEndpoint{mix(seed ^ hashString(string(e.ID))), e}
	}
	slices.SortFunc(all, func(a, b rankedEndpoint) int {
		if c := cmp.Compare(b.rank, a.rank); c != 0 {
			return c
		}
		return cmp.Compare(a.endpoint.ID, b.endpoint.ID)
	})
	groups := make(map[subsetGroup]int)
	for _, r := range all {
		groups[groupOf(r.endpoint)] = 0
	}
	quota := max(1, int(spreadShare*float64(limit))/len(groups))
	out := make([]endpoint.Endpoint, 0, limit)
	rest := all[:0:0]
	for _, r := range all {
		g := groupOf(r.endpoint)
		if groups[g] < quota && len(out) < limit {
			groups[g]++
			out = append(out, r.endpoint)
			continue
		}
		rest = append(rest, r)
	}
	for _, r := range rest[:min(len(rest), limit-len(out))] {
		out = append(out, r.endpoint)
	}
	return out
}

func groupOf(e endpoint.Endpoint) subsetGroup { return subsetGroup{e.Domain, e.Version} }

func sortByVersion(list []*Candidate) {
	slices.SortFunc(list, func(a, b *Candidate) int {
		if c := cmp.Compare(a.Endpoint.Version, b.Endpoint.Version); c != 0 {
			return c
		}
		return cmp.Compare(a.Endpoint.ID, b.Endpoint.ID)
	})
}

func hashString(s string) uint64 { return xxhash.Sum64String(s) }

// mix is the finalizer of SplitMix64: it spreads every input bit over the output.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
