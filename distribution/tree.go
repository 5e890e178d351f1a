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
	// PlannedFanOut is the number of children of a relay in the tree. It leaves a quarter of
	// MaxFanOut for subscribers whose own relay failed. For control the tree plans up to
	// MaxFanOut subscribers, because its instances are dedicated to control.
	PlannedFanOut = 24
	// RootsPerDomain is the number of a domain's relays that follow control directly.
	RootsPerDomain = 2
	// MaxFallbacks is the number of relays tried after the parent and before control.
	MaxFallbacks = 2
	// MaxPeers is the number of peers tried alternately with control replicas.
	MaxPeers = 3
)

// member is a process of a failure domain with its rank in the tree.
type member struct {
	id      instance.ID
	address string
	rank    uint64
}

// Parents returns the addresses of the relays that a process should follow, the best
// first; an empty list means control itself. The result depends only on the directory and
// self, so all processes with the same directory derive the same tree: the processes of a
// domain, sorted by hash, are laid out as a heap in which each has at most PlannedFanOut
// children.
func Parents(d *api.Directory, self instance.Instance) []string {
	if d == nil || subscribers(d) <= PlannedFanOut {
		return nil
	}
	members, domains := domainMembers(d, self.Domain)
	roots := rootsPerDomain(domains)
	// A process that is not in the directory yet takes the place that it will have, so that it
	// does not follow a process whose directory has it above.
	position, listed := slices.BinarySearchFunc(members, member{id: self.ID, rank: rank(self.Domain, self.ID)}, compareRank)
	if !listed {
		members = slices.Insert(members, position, member{id: self.ID, address: self.LinkAddress})
	}
	if position < roots {
		return nil
	}
	parent := (position - roots) / PlannedFanOut
	return parentAndFallbacks(members, parent, roots, position)
}

// Peers returns the addresses of up to MaxPeers other processes, those of the process's own
// domain first. Hashing with the process's ID gives each process another selection.
func Peers(d *api.Directory, self instance.Instance) []string {
	if d == nil {
		return nil
	}
	best := make([]member, 0, MaxPeers+1)
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
		best = best[:min(len(best), MaxPeers)]
	}
	for _, e := range d.Endpoints {
		consider(e.ID, e.Domain, e.LinkAddress)
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

// parentAndFallbacks returns the address of the parent and then those of relays on the same
// level, in an order that differs by child so that the children of a failed relay spread
// over several others.
func parentAndFallbacks(members []member, parent, roots, child int) []string {
	first, last := levelRange(parent, roots, len(members))
	out := []string{members[parent].address}
	size := last - first
	for i := range min(MaxFallbacks, size-1) {
		step := 1 + (child+i)%(size-1)
		other := first + (parent-first+step)%size
		if other < child {
			out = append(out, members[other].address)
		}
	}
	return out
}

// levelRange returns the positions first to last-1 that are on the same level of the tree as
// position, in a tree of n members.
func levelRange(position, roots, n int) (first, last int) {
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

// subscribers returns the number of processes in the directory that hold a configuration. The
// agents of endpoints that announce themselves hold none and have no link address.
func subscribers(d *api.Directory) int {
	n := 0
	for i := range d.Endpoints {
		if d.Endpoints[i].LinkAddress != "" {
			n++
		}
	}
	for i := range d.Processes {
		if d.Processes[i].LinkAddress != "" {
			n++
		}
	}
	return n
}

// domainMembers returns the processes of a domain that hold a configuration in order of rank, and
// the number of domains in the directory that have any.
func domainMembers(d *api.Directory, domain failuredomain.ID) (members []member, domains int) {
	seen := make(map[failuredomain.ID]struct{})
	add := func(id instance.ID, in failuredomain.ID, address string) {
		if address == "" {
			return
		}
		seen[in] = struct{}{}
		if in == domain {
			members = append(members, member{id: id, address: address, rank: rank(domain, id)})
		}
	}
	for _, e := range d.Endpoints {
		add(e.ID, e.Domain, e.LinkAddress)
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
