// Package replica runs a consensus core: it persists the log and the term in a write-ahead
// log, exchanges messages over a transport and applies committed commands to a state
// machine.
package replica

import (
	"errors"
	"fmt"
	"time"

	"github.com/go-kit/log"

	"toucantiller.dev/consensus"
	"toucantiller.dev/wal"
)

// Defaults of Config.
const (
	DefaultTickInterval      = 50 * time.Millisecond
	DefaultSnapshotThreshold = 10_000
	DefaultSnapshotBytes     = 4 << 20
	// MaxCommandBytes is the maximum size of one command.
	MaxCommandBytes = 4 << 20
)

// StateMachine is the replicated state. The replica calls it from one goroutine.
type StateMachine interface {
	// Apply executes a committed command. It must be deterministic. The result goes
	// to the caller of Propose on the replica where the command was proposed.
	Apply(index uint64, command []byte) (result []byte)
	// Snapshot returns the whole state; it must not be empty.
	Snapshot() ([]byte, error)
	// Restore replaces the state.
	Restore(snapshot []byte) error
}

// Member identifies a replica. In calls, ID may be 0; the member is then found by Address.
type Member = consensus.Member

// Packet is the unit that a transport carries.
type Packet struct {
	// From is the address of the sender.
	From string
	// Exactly one of the following is set.
	Message *consensus.Message
	Hello   *Hello
}

// Transport sends packets between replicas. Packets may be lost, duplicated and
// reordered.
type Transport interface {
	// Send queues a packet for an address and returns at once. It may drop it.
	Send(address string, p Packet)
	// Receive sets the function that handles incoming packets; nil makes the transport
	// discard them. The function does not block.
	Receive(func(Packet))
}

// Config configures a replica.
type Config struct {
	// DataFolder holds the log. Only one process at a time can use it.
	DataFolder string
	// Address is the address at which other replicas reach this one.
	Address string
	// InitialMembers lists the addresses of all members of a new group, including Address.
	// It must be the same on every replica and is used only while the data folder is empty.
	InitialMembers []string
	Transport      Transport
	StateMachine   StateMachine
	// TickInterval is 50 ms by default. A leader sends heartbeats every 2 ticks, and
	// a follower starts an election after 10 to 20 ticks of silence.
	TickInterval time.Duration
	// SnapshotThreshold is the number of entries after which the log is replaced by
	// a snapshot; 10,000 by default.
	SnapshotThreshold uint64
	// SnapshotBytes is the size of the entries after which the log is replaced by a snapshot,
	// whatever their number; 4 MiB by default. A state machine whose snapshot is larger than
	// four times that is written after a quarter of its own size.
	SnapshotBytes int
	// ReserveBytes is the size of a file that keeps space on the disk for when it is full, so that
	// the snapshot which frees space can still be written; none by default.
	ReserveBytes int
	// Logger receives role changes and failures; nothing is logged by default.
	Logger log.Logger
	// FS is the file system of the data folder; the operating system's by default.
	FS wal.FS
	// OnChange, if set, is called from the replica's goroutine when the role, term or
	// leader changes. It must not block or call the replica.
	OnChange func(Status)

	// Tests override core, newIdentity and background.
	core        consensus.Config
	newIdentity func() uint64
	background  func(func())
}

// Status is a replica's view of itself and its group.
type Status struct {
	ID consensus.ID
	// Group is 0 while the replica belongs to no group.
	Group consensus.GroupID
	Term  uint64
	// Leader is the address of the leader, empty while unknown.
	Leader   string
	IsLeader bool
	Commit   uint64
	Applied  uint64
	Members  []Member
	// Joined is true once the replica belongs to a group. Before that it waits to form a
	// group or to be added to one.
	Joined bool
	// Discarded is true if an earlier log in the data folder was discarded.
	Discarded bool
	// SnapshotIndex is the index of the last snapshot.
	SnapshotIndex uint64
	// SnapshotBytes is the size of the state in the last snapshot, LogBytes that of the log
	// entries in memory.
	SnapshotBytes int
	LogBytes      int
	// DiskFull is true from a write for which the disk had no space until the space of the
	// reserve is taken again. Meanwhile Propose fails with ErrDiskFull for all but small commands.
	DiskFull bool
	// Founders is the number of members with which the group was formed.
	Founders int
	// DiskBytes is the size of the log on the disk in bytes.
	DiskBytes int64
}

// NotLeaderError is returned by calls that only the leader serves. The call had no
// effect.
type NotLeaderError struct {
	// Leader is the leader's address, empty while unknown.
	Leader string
}

// Error includes the address of the leader, if known.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "not the leader; the leader is unknown"
	}
	return "not the leader; the leader is " + e.Leader
}

// UnknownOutcomeError is returned when the call ended before the command was known to
// be committed: leadership was lost, the replica stopped or the context ended. The
// command may still be applied.
type UnknownOutcomeError struct {
	// Leader is the leader's address, empty while unknown.
	Leader string
	Err    error
}

// Error includes the cause and the address of the leader.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome unknown: %v; the leader is %q", e.Err, e.Leader)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// Errors of calls.
var (
	// ErrStopped is returned by calls to a replica that has stopped. Replica.Err returns
	// the reason.
	ErrStopped = errors.New("replica stopped")
	// ErrLeadershipLost is the cause in an UnknownOutcomeError when the replica lost the
	// leadership, or its state was replaced by a snapshot, during the call.
	ErrLeadershipLost = errors.New("leadership lost")
	// ErrCommandTooLarge is returned for a command of more than MaxCommandBytes.
	ErrCommandTooLarge = errors.New("command is too large")
	// ErrDiskFull is returned for a command while the disk of the data folder is full. The command
	// was not proposed. Reads are served.
	ErrDiskFull = errors.New("the disk of the data folder is full")
	// ErrBelongsToGroup is returned by AddReplica for a replica that has already joined a
	// group.
	ErrBelongsToGroup = errors.New("the replica belongs to a group already; it needs an empty data folder")
)
