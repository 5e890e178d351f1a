package control

import (
	"context"
	"errors"
	"sync"
	"time"

	"toucantiller.dev/control/api"
	"toucantiller.dev/link"
)

// Log replicates commands. An implementation applies each committed command to its
// StateMachine, in the same order on every replica.
type Log interface {
	// Propose commits a command and returns the result of Apply. It fails with *NotLeaderError
	// on a replica that does not lead.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// ReadBarrier returns once a quorum has confirmed that this replica leads, and the
	// state includes every command committed before the call.
	ReadBarrier(ctx context.Context) error
	// Status returns the replica's view of the leadership.
	Status() LogStatus
	// Members lists the replicas that hold the log, as this replica knows them.
	Members() []api.Replica
	// Silence returns, on the leader, how long it has not heard from each other member, by the
	// ID of the replica.
	Silence() map[uint64]time.Duration
	// FoundingVoters is the number of voters with which the group was founded.
	FoundingVoters() int
	// AddReplica adds the replica at an address and returns once it votes; a repeated call
	// continues the change. RemoveReplica removes every replica at an address; it is no error
	// if there is none. Both fail with *NotLeaderError on a replica that does not lead, and with
	// *ReplicaChangeRefusedError if a repeated call cannot succeed.
	AddReplica(ctx context.Context, address string) error
	RemoveReplica(ctx context.Context, address string) error
	// IsMember reports, on the leader, whether the committed membership of a group names a
	// replica. It fails if the log belongs to another group.
	IsMember(ctx context.Context, group, id uint64) (bool, error)
	// Discard gives up the replica's identity, log and state for good and goes on as a new
	// replica without a group. It must be called only for a replica that was removed from its
	// group. After a failure the log has ended, unless ctx ended first.
	Discard(ctx context.Context) error
	// Handover passes the leadership to another replica, if this one leads.
	Handover(ctx context.Context) error
	// Done closes when the log has ended, by Stop or by a failure that Err names.
	Done() <-chan struct{}
	Err() error
	// Stop closes the log.
	Stop(ctx context.Context) error
}

// LogStatus is a replica's view of the leadership.
type LogStatus struct {
	Leading bool
	// Leader is the link address of the leader, empty when none is known.
	Leader string
	Term   uint64
	// ID is the replica's identity, 0 if it holds no log.
	ID uint64
	// Group is the identity of the replica's group, 0 while it belongs to none.
	Group uint64
	// Joined is false while the replica belongs to no group.
	Joined bool
	// Discarded is true if the replica has given up an earlier identity.
	Discarded bool
	// DiskBytes is the size of the log on the disk in bytes, 0 without a disk.
	DiskBytes int64
	// Elections is the number of times that the term rose since the start.
	Elections int64
}

// NotLeaderError is the error of calls on a replica that does not lead.
type NotLeaderError struct {
	// Leader is the link address of the leader, empty when none is known.
	Leader string
}

// Error names the leader.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "not the leader; no leader is known"
	}
	return "not the leader; the leader is " + e.Leader
}

// ErrTooLarge is returned by Propose for a command that exceeds the log's bound.
var ErrTooLarge = errors.New("the command is too large for the log")

// ErrNoSpace is returned by Propose for a command for which the log's disk has no space now.
var ErrNoSpace = errors.New("the log has no space for the command")

// ReplicaChangeRefusedError is the error of a change of the replicas that the log does not allow.
type ReplicaChangeRefusedError struct{ Err error }

// Error returns the cause.
func (e *ReplicaChangeRefusedError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ReplicaChangeRefusedError) Unwrap() error { return e.Err }

// StateMachine is what a Log applies its commands to.
type StateMachine interface {
	Apply(index uint64, command []byte) (result []byte)
	Snapshot() ([]byte, error)
	Restore(snapshot []byte) error
}

// OpenLog opens the log of one replica. It may register its own services on the
// server, which does not yet accept connections.
type OpenLog func(sm StateMachine, server *link.Server) (Log, error)

// MemoryLog returns an OpenLog for a single replica without durability.
func MemoryLog(address string) OpenLog {
	return func(sm StateMachine, _ *link.Server) (Log, error) {
		return &memoryLog{sm: sm, address: address, done: make(chan struct{})}, nil
	}
}

var errSingleReplica = &ReplicaChangeRefusedError{errors.New("the log in memory has one replica")}

type memoryLog struct {
	mu      sync.Mutex
	index   uint64
	sm      StateMachine
	address string
	done    chan struct{}
}

func (l *memoryLog) Propose(_ context.Context, command []byte) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	return l.sm.Apply(l.index, command), nil
}

func (l *memoryLog) ReadBarrier(context.Context) error { return nil }

func (l *memoryLog) Status() LogStatus {
	return LogStatus{Leading: true, Leader: l.address, Term: 1, Joined: true}
}

func (l *memoryLog) FoundingVoters() int { return 1 }

func (l *memoryLog) Silence() map[uint64]time.Duration { return nil }

func (l *memoryLog) Members() []api.Replica {
	return []api.Replica{{Address: l.address, ID: 1, Voter: true}}
}

func (l *memoryLog) AddReplica(context.Context, string) error { return errSingleReplica }

func (l *memoryLog) RemoveReplica(context.Context, string) error { return errSingleReplica }

func (l *memoryLog) IsMember(context.Context, uint64, uint64) (bool, error) { return true, nil }

func (l *memoryLog) Discard(context.Context) error { return errSingleReplica }

func (l *memoryLog) Handover(context.Context) error { return nil }

func (l *memoryLog) Done() <-chan struct{} { return l.done }

func (l *memoryLog) Err() error { return nil }

func (l *memoryLog) Stop(context.Context) error {
	close(l.done)
	return nil
}
