package replica

import (
	"fmt"
	"slices"
	"strconv"

	"toucantiller.dev/consensus"
)

// checker is a reference model of a group, one list of committed commands, and checks the
// replicas against it. It keeps the first violation in err.
type checker struct {
	err error
	// leaders holds the leader of each term.
	leaders map[uint64]consensus.ID
	// committed[i] is the term of entry i; 0 while unknown.
	committed []uint64
	// commands holds the command that was applied at each index.
	commands map[uint64]string
	// acked holds the index of each acknowledged command.
	acked map[string]uint64
	// highestAnswered is the highest log index that an answered call returned or read.
	highestAnswered uint64

	answers, reads, losses, elections, blocked int
}

func newChecker() checker {
	return checker{
		leaders: map[uint64]consensus.ID{}, committed: make([]uint64, 1),
		commands: map[uint64]string{}, acked: map[string]uint64{},
	}
}

func (c *checker) fail(format string, args ...any) {
	if c.err == nil {
		c.err = fmt.Errorf(format, args...)
	}
}

// checkHost checks the invariants of a host after an event.
func (c *checker) checkHost(h *host) {
	core := h.replica.core
	s := core.Status()
	if s.Role == consensus.Leader {
		id, known := c.leaders[s.Term]
		if !known {
			c.leaders[s.Term] = s.ID
			c.elections++
			c.checkLeaderCompleteness(h)
		} else if id != s.ID {
			c.fail("election safety: %d and %d lead term %d", id, s.ID, s.Term)
		}
	}
	c.checkApplied(h, s.Applied)
	for len(c.committed) <= int(s.Commit) {
		term, _ := core.TermAt(uint64(len(c.committed)))
		c.committed = append(c.committed, term)
	}
	for i := s.Commit; i > 0; i-- {
		term, ok := core.TermAt(i)
		if !ok {
			break
		}
		if c.committed[i] != 0 && c.committed[i] != term {
			c.fail("state machine safety: entry %d is committed with terms %d and %d", i, c.committed[i], term)
		}
		c.committed[i] = term
	}
}

// recheckedCommands is the number of last applied commands that are checked after each event.
const recheckedCommands = 40

// checkApplied checks that the host applied only committed entries, in increasing order, and
// at each index the same command as all other hosts.
func (c *checker) checkApplied(h *host, applied uint64) {
	for i := len(h.applied) - 1; i >= 0 && i >= len(h.applied)-recheckedCommands; i-- {
		a := h.applied[i]
		if a.Index > applied {
			c.fail("host %d applied entry %d before it was committed", h.number, a.Index)
		}
		if known, ok := c.commands[a.Index]; ok && known != a.Command {
			c.fail("state machine safety: entry %d is %q and %q", a.Index, known, a.Command)
		}
		c.commands[a.Index] = a.Command
		if i > 0 && h.applied[i-1].Index >= a.Index {
			c.fail("host %d applied entry %d after %d", h.number, a.Index, h.applied[i-1].Index)
		}
	}
}

// checkLeaderCompleteness checks that a new leader holds every committed entry.
func (c *checker) checkLeaderCompleteness(h *host) {
	core := h.replica.core
	for i := len(c.committed) - 1; i > 0; i-- {
		term, ok := core.TermAt(uint64(i))
		if !ok && uint64(i) > core.Status().Last {
			c.fail("leader completeness: %d leads without committed entry %d", h.replica.storage.id, i)
		}
		if ok && c.committed[i] != 0 && term != c.committed[i] {
			c.fail("leader completeness: %d leads with another entry %d", h.replica.storage.id, i)
		}
	}
}

// checkLogMatching checks that two logs with the same entry have the same entries before it.
func (c *checker) checkLogMatching(hosts []*host) {
	for i, a := range hosts {
		for _, b := range hosts[:i] {
			if a.replica != nil && b.replica != nil {
				c.checkLogPair(a.replica.core, b.replica.core)
			}
		}
	}
}

func (c *checker) checkLogPair(a, b *consensus.Core) {
	same := false
	for i := min(a.Status().Last, b.Status().Last); i > 0; i-- {
		x, okA := a.TermAt(i)
		y, okB := b.TermAt(i)
		if !okA || !okB {
			return
		}
		if same && x != y {
			c.fail("log matching: entry %d differs below a shared entry", i)
		}
		same = same || x == y
	}
}

// checkAnswer checks that an answered call took effect after every call that was answered
// before it started. Every call takes effect at an index of the log, so that this is
// linearizability.
func (c *checker) checkAnswer(call *clientCall, o outcome) {
	if o.err != nil {
		return
	}
	index := call.host.lastApplied()
	if !call.read {
		index, _ = strconv.ParseUint(string(o.result), 10, 64)
		if index <= call.minIndex {
			c.fail("linearizability: %s took effect at %d, before an earlier answer at %d", call.name, index, call.minIndex)
		}
		if c.commands[index] != call.name {
			c.fail("entry %d is %q, but %s was acknowledged there", index, c.commands[index], call.name)
		}
		c.acked[call.name] = index
	} else if index < call.minIndex {
		c.fail("linearizability: a read saw %d, before an earlier answer at %d", index, call.minIndex)
	}
	c.highestAnswered = max(c.highestAnswered, index)
	c.answers++
	if call.read {
		c.reads++
	}
}

func (h *host) lastApplied() uint64 {
	if n := len(h.applied); n > 0 {
		return h.applied[n-1].Index
	}
	return 0
}

// checkAcknowledged checks that a host has lost no acknowledged command and has applied no
// command twice.
func (c *checker) checkAcknowledged(h *host) {
	count := map[string]int{}
	for _, a := range h.applied {
		count[a.Command]++
	}
	for name, n := range count {
		if n > 1 {
			c.fail("host %d applied %s %d times", h.number, name, n)
		}
	}
	for name, index := range c.acked {
		if !slices.Contains(h.applied, appliedCommand{index, name}) {
			c.fail("host %d lost %s, acknowledged at %d", h.number, name, index)
		}
	}
}
