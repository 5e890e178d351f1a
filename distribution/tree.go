package distribution

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"toucantiller.dev/control/api"
	"toucantiller.dev/failuredomain"
	"toucantiller.dev/instance"
)

// Shape of the fan-out tree.
const (
	// PlannedFanOut leaves a quarter of MaxFanOut to subscribers whose own relay died. Of
	// control only MaxFanOut is asked: its instances are set aside for it.
	PlannedFanOut = 24
	// RootsPerDomain is the number of a domain's relays that follow control directly.
	RootsPerDomain = 2
	// Fallbacks is the number of other relays tried before control.
	Fallbacks = 2
	// PeersTried is the number of other processes tried in turn with control.
	PeersTried = 3
)

// member is a process of one domain in the tree.
type member struct {
	id      instance.ID
	address string
	rank    uint64
}

// Parents returns the addresses of the relays that a process should follow, the best
// first; an empty list means control itself. It depends only on the directory, so all
// processes with the same directory derive the same tree: the processes of a domain in
// order of a hash form a heap in which each has at most PlannedFanOut children.
func Parents(d *api.Directory, self instance.Instance) []string {
	if d == nil || len(d.Endpoints)+len(d.Processes) <= PlannedFanOut {
		return nil
	}
	members, domains := domainMembers(d, self.Domain)
	roots := rootsPerDomain(domains)
	position := slices.IndexFunc(members, func(m member) bool { return m.id == self.ID })
	if position < 0 {
		// The process is not in the directory yet; it takes the place of a new leaf.
		position = len(members)
	}
	if position < roots {
		return nil
	}
	parent := (position - roots) / PlannedFanOut
	return fallbacks(members, parent, roots, position)
}

// Peers returns the addresses of a few processes of other places in the tree, in an
// order that differs by process: those of its own domain first.
func Peers(d *api.Directory, self instance.Instance) []string {
	if d == nil {
		return nil
	}
	best := make([]member, 0, PeersTried+1)
	consider := func(id instance.ID, domain failuredomain.ID, address string) {
		if id == self.ID || address == "" {
			return
		}
		m := member{id: id, address: address, rank: rank(failuredomain.ID(self.ID), id) >> 1}
		if domain == self.Domain {
			m.rank |= 1 << 63
		}
		at, _ := slices.BinarySearchFunc(best, m, compareRank)
		best = slices.Insert(best, at, m)
		best = best[:min(len(best), PeersTried)]
	}
	for _, e := range d.Endpoints {
		consider(e.ID, e.Domain, e.Address)
	}
	for _, p := range d.Processes {
		consider(p.ID, p.Domain, p.LinkAddress)
	}
	out := make([]string, 0, len(best))
	for _, m := range best {
		out = append(out, m.address)
	}
	return out
}

// fallbacks lists the parent and then relays of the same level, in an order that
// differs by child so that the children of a dead relay spread.
func fallbacks(members []member, parent, roots, child int) []string {
	first, last := level(parent, roots, len(members))
	out := []string{members[parent].address}
	size := last - first
	for i := range min(Fallbacks, size-1) {
		step := 1 + (child+i)%(size-1)
		other := first + (parent-first+step)%size
		if other < child {
			out = append(out, members[other].address)
		}
	}
	return out
}

// level returns the range of positions on the same level as position.
func level(position, roots, n int) (first, last int) {
	first, last = 0, roots
	width := roots
	for position >= last {
		width *= PlannedFanOut
		first, last = last, last+width
	}
	return first, min(last, n)
}

func rootsPerDomain(domains int) int {
	if domains*RootsPerDomain > MaxFanOut {
		return 1
	}
	return RootsPerDomain
}

func domainMembers(d *api.Directory, domain failuredomain.ID) (members []member, domains int) {
	seen := make(map[failuredomain.ID]struct{})
	add := func(id instance.ID, in failuredomain.ID, address string) {
		seen[in] = struct{}{}
		if in == domain {
			members = append(members, member{id: id, address: address, rank: rank(domain, id)})
		}
	}
	for _, e := range d.Endpoints {
		add(e.ID, e.Domain, e.Address)
	}
	for _, p := range d.Processes {
		add(p.ID, p.Domain, p.LinkAddress)
	}
	slices.SortFunc(members, compareRank)
	return members, len(seen)
}

func compareRank(a, b member) int {
	if a.rank != b.rank {
		if a.rank > b.rank {
			return -1
		}
		return 1
	}
	return compareID(a.id, b.id)
}

func rank(domain failuredomain.ID, id instance.ID) uint64 {
	return xxhash.Sum64String(string(domain) + "\x00" + string(id))
}
