package replica

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"toucantiller.dev/consensus"
)

// Timing of the formation of a group, in ticks.
const (
	helloTicks = 4
	// helloMaxAge is the age after which an answer no longer counts towards a new group.
	helloMaxAge = 40
)

// foundingIndex and foundingTerm are the position of a group's first snapshot, which
// holds the founding membership and no state.
const (
	foundingIndex = 1
	foundingTerm  = 1
)

// Hello tells other replicas who answers at an address, and forms new groups.
type Hello struct {
	ID consensus.ID
	// Joined is true if the replica belongs to a group.
	Joined bool
	// Ask asks for a Hello in return.
	Ask bool
	// Founding is the founding membership of the sender's group.
	Founding consensus.Membership
}

// answer is the last Hello of an address.
type answer struct {
	id     consensus.ID
	joined bool
	age    int
}

// founder forms a new group out of replicas with empty data folders. The replica with
// the lowest address alone decides on the founding membership, once every listed address
// answered that it belongs to no group. The others adopt it if it names their identity.
// A replica whose disk was lost meets peers that joined a group, and waits to be added.
type founder struct {
	id        consensus.ID
	address   string
	initial   []string
	answers   map[string]*answer
	elapsed   int
	formerly  bool
	announced bool
}

func newFounder(id consensus.ID, address string, initial []string) *founder {
	initial = slices.Clone(initial)
	slices.Sort(initial)
	return &founder{
		id: id, address: address, initial: slices.Compact(initial),
		answers: make(map[string]*answer), elapsed: helloTicks,
	}
}

// tick returns the addresses to ask.
func (f *founder) tick() []string {
	for _, a := range f.answers {
		a.age++
	}
	f.elapsed++
	if f.elapsed < helloTicks {
		return nil
	}
	f.elapsed = 0
	return f.others()
}

func (f *founder) others() []string {
	var out []string
	for _, a := range f.initial {
		if a != f.address {
			out = append(out, a)
		}
	}
	return out
}

// hear takes a Hello and returns the founding membership to adopt, if any.
func (f *founder) hear(from string, h *Hello) consensus.Membership {
	f.answers[from] = &answer{id: h.ID, joined: h.Joined}
	f.formerly = f.formerly || (h.Joined && slices.Contains(f.initial, from))
	if m, ok := h.Founding.Find(f.id); ok && m.Address == f.address {
		return h.Founding
	}
	return nil
}

// found returns the membership of a new group if this replica may form it.
func (f *founder) found() consensus.Membership {
	if f.formerly || len(f.initial) == 0 || f.initial[0] != f.address {
		return nil
	}
	var members consensus.Membership
	for _, address := range f.initial {
		id := f.id
		if address != f.address {
			a := f.answers[address]
			if a == nil || a.joined || a.age > helloMaxAge {
				return nil
			}
			id = a.id
		}
		members = append(members, consensus.Member{ID: id, Address: address})
	}
	return members
}

// foundingSnapshot is the first snapshot of a group. The group's identity follows from
// the identities of its founders, so that two groups never take each other's messages.
func foundingSnapshot(members consensus.Membership) *consensus.Snapshot {
	h := xxhash.New()
	var b [8]byte
	for _, m := range members {
		binary.BigEndian.PutUint64(b[:], uint64(m.ID))
		_, _ = h.Write(b[:])            // a hash never returns an error
		_, _ = h.WriteString(m.Address) // a hash never returns an error
		_, _ = h.WriteString("\x00")    // a hash never returns an error
	}
	return &consensus.Snapshot{
		Index: foundingIndex, Term: foundingTerm,
		Group: consensus.GroupID(h.Sum64() | 1), Members: members, Founding: members,
	}
}
