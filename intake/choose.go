package intake

import "time"

// Phase is what a connection is doing.
type Phase int32

// Phases of a connection.
const (
	// PhaseOpened: no byte has arrived yet.
	PhaseOpened Phase = iota
	// PhaseHead: the head of a request, or a message, has begun to arrive.
	PhaseHead
	// PhaseBody: a handler reads the body of a request.
	PhaseBody
	// PhaseServing: a request is being served.
	PhaseServing
	// PhaseAnswer: the client does not take the bytes of its answer.
	PhaseAnswer
	// PhaseIdle: an answer was sent, and no byte of a further request has arrived.
	PhaseIdle
)

// Snapshot is a connection at the time of a decision.
type Snapshot struct {
	Phase Phase
	// Age is the time since the phase began, Quiet the time since bytes last passed.
	Age, Quiet time.Duration
	// Bytes is the number of bytes that have passed in the phase.
	Bytes int64
	// Waiting is set while the client's bytes wait for room: that they don't pass is not its fault.
	Waiting bool
}

const (
	// stallTime is the time without a byte after which a connection makes no progress.
	stallTime = 500 * time.Millisecond
	// silentTime is that of a client that has sent nothing yet.
	silentTime = 250 * time.Millisecond
	// answerStallTime is that of a client that reads its answer.
	answerStallTime = 5 * time.Second
	// settleTime is the least age at which the rate of a connection says something.
	settleTime = 500 * time.Millisecond
	// slowRate is the rate in bytes per second below which a connection makes little progress.
	slowRate = 16 << 10
	// minIdleTime keeps a connection that has only just become idle.
	minIdleTime = 20 * time.Millisecond
)

// Ranks of the connections that may be closed, the first to go first.
const (
	rankStalled = iota
	rankIdle
	rankSlow
	rankWaiting
	rankKept
)

// arriving reports whether the client has something to send.
func (s Snapshot) arriving() bool {
	return s.Phase == PhaseOpened || s.Phase == PhaseHead || s.Phase == PhaseBody
}

// rate returns the bytes per second of the phase.
func (s Snapshot) rate() float64 { return float64(s.Bytes) / max(s.Age, time.Nanosecond).Seconds() }

func (s Snapshot) rank() int {
	switch {
	case s.Waiting:
		return rankWaiting
	case s.arriving() && s.Quiet >= stallTime, s.Phase == PhaseOpened && s.Quiet >= silentTime, s.Phase == PhaseAnswer && s.Quiet >= answerStallTime:
		return rankStalled
	case s.Phase == PhaseIdle && s.Quiet >= minIdleTime:
		return rankIdle
	case s.arriving() && s.Age >= settleTime && s.rate() < slowRate:
		return rankSlow
	}
	return rankKept
}

// goesBefore reports whether s is closed before t, which has the same rank.
func (s Snapshot) goesBefore(t Snapshot, rank int) bool {
	switch rank {
	case rankSlow:
		return s.rate() < t.rate()
	case rankWaiting:
		return s.Bytes > t.Bytes
	}
	return s.Quiet > t.Quiet
}

// Choose returns the index of the connection to close when there is no room for another one, or -1
// if each makes progress or is being served. A connection in the middle of a message that has
// stopped goes first, then the one that has been idle longest, then the slowest. If all wait for
// one another, the one with the most bytes goes.
func Choose(connections []Snapshot) int {
	chosen, best, kept := -1, rankKept, false
	for i, s := range connections {
		rank := s.rank()
		kept = kept || rank == rankKept
		if rank < best || rank == best && rank != rankKept && s.goesBefore(connections[chosen], rank) {
			chosen, best = i, rank
		}
	}
	if best == rankWaiting && kept {
		return -1
	}
	return chosen
}
