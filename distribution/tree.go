package distribution

import (
	"iter"
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
	members, processes, domains := treeMembers(d, self.Domain)
	if processes <= PlannedFanOut {
		return nil
	}
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
	best := make([]member, 0, MaxPeers+1)
	for m, domain := range subscribers(d) {
		if m.id == self.ID {
			continue
		}
		m.rank = rank(failuredomain.ID(self.ID), m.id) >> 1
		if domain == self.Domain {
			m.rank |= 1 << 63
		}
		at, _ := slices.BinarySearchFunc(best, m, compareRank)
		best = slices.Insert(best, at, m)
		best = best[:min(len(best), MaxPeers)]
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

// subscribers lists the processes in the directory that hold a configuration, without their ranks, and
// their domains. The agents of endpoints that announce themselves hold none and have no link address.
func subscribers(d *api.Directory) iter.Seq2[member, failuredomain.ID] {
	return func(yield func(member, failuredomain.ID) bool) {
		if d == nil {
			return
		}
		for i := range d.Endpoints {
			e := &d.Endpoints[i]
			if e.LinkAddress != "" && !yield(member{id: e.ID, address: e.LinkAddress}, e.Domain) {
				return
			}
		}
		for i := range d.Processes {
			p := &d.Processes[i]
			if p.LinkAddress != "" && !yield(member{id: p.ID, address: p.LinkAddress}, p.Domain) {
				return
			}
		}
	}
}

// treeMembers returns the processes of a domain that hold a configuration in order of rank, and the
// numbers of such processes and of their domains in the whole directory.
func treeMembers(d *api.Directory, domain failuredomain.ID) (members []member, processes, domains int) {
	seen := make(map[failuredomain.ID]struct{})
	for m, in := range subscribers(d) {
		processes++
		seen[in] = struct{}{}
		if in == domain {
			m.rank = rank(domain, m.id)
			members = append(members, m)
		}
	}
	slices.SortFunc(members, compareRank)
	return members, processes, len(seen)
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
