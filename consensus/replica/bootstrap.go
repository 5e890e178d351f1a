package replica

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"toucantiller.dev/consensus"
)

// Timing of group formation.
const (
	helloIntervalTicks = 4
	// helloMaxAgeTicks is the age after which an answer no longer counts towards a new group.
	helloMaxAgeTicks = 40
)

// foundingIndex and foundingTerm are the index and term of a group's first snapshot, which
// holds the founding membership and no state.
const (
	foundingIndex = 1
	foundingTerm  = 1
)

// Hello tells another replica the identity and the group membership of the sender. Replicas
// exchange it to form new groups and to look up the ID of a replica to add.
type Hello struct {
	ID consensus.ID
	// Joined is true if the replica belongs to a group.
	Joined bool
	// Ask requests a Hello in return.
	Ask bool
	// Founding is the founding membership of the sender's group.
	Founding consensus.Membership
}

// helloAnswer is the last Hello from an address; age is in ticks.
type helloAnswer struct {
	id     consensus.ID
	joined bool
	age    int
}

// founder forms a new group of replicas with empty data folders. Only the replica with the
// lowest address decides on the founding membership, once every address in initial has
// answered that it belongs to no group. The others adopt that membership if it contains
// their own ID. A replica whose disk was lost finds peers that belong to a group already,
// and waits to be added.
type founder struct {
	id              consensus.ID
	address         string
	initial         []string
	answers         map[string]*helloAnswer
	ticksSinceHello int
	groupExists     bool
	// spaceTicks counts the ticks until the first snapshot is tried again on a full disk.
	spaceTicks    int
	loggedWaiting bool
}

func newFounder(id consensus.ID, address string, initial []string) *founder {
	initial = slices.Clone(initial)
	slices.Sort(initial)
	return &founder{
		id: id, address: address, initial: slices.Compact(initial),
		answers: make(map[string]*helloAnswer), ticksSinceHello: helloIntervalTicks,
	}
}

// tick advances the time by one tick and returns the addresses to send a Hello to.
func (f *founder) tick() []string {
	for _, a := range f.answers {
		a.age++
	}
	f.spaceTicks = max(0, f.spaceTicks-1)
	f.ticksSinceHello++
	if f.ticksSinceHello < helloIntervalTicks {
		return nil
	}
	f.ticksSinceHello = 0
	return f.otherAddresses()
}

func (f *founder) otherAddresses() []string {
	var out []string
	for _, a := range f.initial {
		if a != f.address {
			out = append(out, a)
		}
	}
	return out
}

// recordHello stores a Hello and returns the founding membership to adopt, if any.
func (f *founder) recordHello(from string, h *Hello) consensus.Membership {
	f.answers[from] = &helloAnswer{id: h.ID, joined: h.Joined}
	f.groupExists = f.groupExists || (h.Joined && slices.Contains(f.initial, from))
	if m, ok := h.Founding.Find(f.id); ok && m.Address == f.address {
		return h.Founding
	}
	return nil
}

// foundingMembers returns the membership of a new group, or nil while this replica must not
// form one.
func (f *founder) foundingMembers() consensus.Membership {
	if f.groupExists || len(f.initial) == 0 || f.initial[0] != f.address {
		return nil
	}
	var members consensus.Membership
	for _, address := range f.initial {
		id := f.id
		if address != f.address {
			a := f.answers[address]
			if a == nil || a.joined || a.age > helloMaxAgeTicks {
				return nil
			}
			id = a.id
		}
		members = append(members, consensus.Member{ID: id, Address: address})
	}
	return members
}

// foundingSnapshot returns the first snapshot of a group. The group's ID is a hash of the IDs
// and addresses of its founding members, so that two groups never accept each other's
// messages.
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
