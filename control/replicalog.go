package control

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"toucantiller.dev/consensus"
	"toucantiller.dev/consensus/replica"
	"toucantiller.dev/control/api"
	"toucantiller.dev/link"
	"toucantiller.dev/wal"
)

// handoverTimeout bounds the transfer of leadership at a stop; after it the followers elect a
// leader.
const handoverTimeout = time.Second

// reserveBytes is the space that the log keeps for a snapshot on a full disk.
const reserveBytes = 4 << 20

// ReplicaOptions configures the replicated log.
type ReplicaOptions struct {
	// DataFolder holds the log; it belongs to one process at a time.
	DataFolder string
	// Address is the replica's link address; Members lists those of all replicas of a new
	// group, including it.
	Address string
	Members []string
	Network link.Network
	// Tick is the unit of elections: a follower starts one after 10 to 20 ticks of silence;
	// replica.DefaultTickInterval when it is 0.
	Tick   time.Duration
	Logger log.Logger
	// FS holds the data folder; the operating system's file system if it is nil.
	FS wal.FS
}

// ReplicaLog returns an OpenLog for the replicated log.
func ReplicaLog(opts ReplicaOptions) OpenLog {
	return func(sm StateMachine, server *link.Server) (Log, error) {
		initial, err := sm.Snapshot()
		if err != nil {
			return nil, err
		}
		transport, err := replica.NewLinkTransport(opts.Network, server)
		if err != nil {
			return nil, err
		}
		l := &replicaLog{
			opts: opts, transport: transport, sm: sm, initial: initial,
			done: make(chan struct{}), busy: make(chan struct{}, 1),
		}
		if err := l.startReplica(); err != nil {
			transport.Close()
			return nil, err
		}
		return l, nil
	}
}

// replicaLog is a Log on a replica, which Discard replaces by another one.
type replicaLog struct {
	opts      ReplicaOptions
	transport *replica.LinkTransport
	// opened and term are set by countElections: that it was called, and with which term last.
	opened    bool
	term      uint64
	elections atomic.Int64
	sm        StateMachine
	// initial is a snapshot of the state before the first command.
	initial []byte
	replica atomic.Pointer[replica.Replica]
	// done is closed when the log has ended, for the reason err.
	done chan struct{}
	err  error

	// busy holds a value while a replica is discarded or stopped. It guards ended, after which
	// Discard does nothing.
	busy  chan struct{}
	ended bool
}

// countElections counts a change to a later term. Its first call, with the stored term, counts none.
func (l *replicaLog) countElections(s replica.Status) {
	if l.opened && s.Term > l.term {
		l.elections.Add(1)
	}
	l.opened, l.term = true, s.Term
}

// startReplica starts a replica on the data folder.
func (l *replicaLog) startReplica() error {
	r, err := replica.Start(replica.Config{
		DataFolder:     l.opts.DataFolder,
		Address:        l.opts.Address,
		InitialMembers: l.opts.Members,
		Transport:      l.transport,
		StateMachine:   l.sm,
		TickInterval:   l.opts.Tick,
		ReserveBytes:   reserveBytes,
		Logger:         l.opts.Logger,
		OnChange:       l.countElections,
		FS:             l.opts.FS,
	})
	if err != nil {
		return err
	}
	l.replica.Store(r)
	go l.awaitEnd(r)
	return nil
}

// awaitEnd ends the log when its replica has stopped other than by Discard.
func (l *replicaLog) awaitEnd(r *replica.Replica) {
	<-r.Done()
	l.busy <- struct{}{}
	defer func() { <-l.busy }()
	if r == l.replica.Load() {
		l.end(r.Err())
	}
}

// end closes done. The caller holds busy.
func (l *replicaLog) end(err error) {
	if l.ended {
		return
	}
	l.ended, l.err = true, err
	close(l.done)
}

// Discard stops the replica, discards its data folder and starts a new replica there, with the
// state machine in its initial state.
func (l *replicaLog) Discard(ctx context.Context) error {
	l.busy <- struct{}{}
	defer func() { <-l.busy }()
	if l.ended {
		return replica.ErrStopped
	}
	err := l.replaceReplica(ctx)
	if err != nil && ctx.Err() == nil {
		l.end(fmt.Errorf("discard replica: %w", err))
	}
	return err
}

func (l *replicaLog) replaceReplica(ctx context.Context) error {
	if err := l.replica.Load().Stop(ctx); err != nil {
		return err
	}
	if err := wal.Discard(l.opts.DataFolder, l.opts.FS); err != nil {
		return err
	}
	// The log of a new replica begins with the first command.
	if err := l.sm.Restore(l.initial); err != nil {
		return err
	}
	return l.startReplica()
}

func (l *replicaLog) Propose(ctx context.Context, command []byte) ([]byte, error) {
	out, err := l.replica.Load().Propose(ctx, command)
	return out, fromReplicaError(err)
}

func (l *replicaLog) ReadBarrier(ctx context.Context) error {
	return fromReplicaError(l.replica.Load().ReadBarrier(ctx))
}

func (l *replicaLog) Status() LogStatus {
	s := l.replica.Load().Status()
	return LogStatus{
		Leading: s.IsLeader, Leader: s.Leader, Term: s.Term,
		ID: uint64(s.ID), Group: uint64(s.Group), Joined: s.Joined, Discarded: s.Discarded,
		DiskBytes: s.DiskBytes, Elections: l.elections.Load(),
	}
}

func (l *replicaLog) Members() []api.Replica {
	var out []api.Replica
	for _, m := range l.replica.Load().Status().Members {
		out = append(out, api.Replica{Address: m.Address, ID: uint64(m.ID), Voter: !m.Learner})
	}
	slices.SortFunc(out, func(a, b api.Replica) int {
		return cmp.Or(strings.Compare(a.Address, b.Address), cmp.Compare(a.ID, b.ID))
	})
	return out
}

func (l *replicaLog) Silence() map[uint64]time.Duration {
	out := make(map[uint64]time.Duration)
	for id, silent := range l.replica.Load().Silence() {
		out[uint64(id)] = silent
	}
	return out
}

func (l *replicaLog) FoundingVoters() int { return l.replica.Load().Status().Founders }

func (l *replicaLog) AddReplica(ctx context.Context, address string) error {
	return fromReplicaError(l.replica.Load().AddReplica(ctx, replica.Member{Address: address}))
}

func (l *replicaLog) RemoveReplica(ctx context.Context, address string) error {
	return fromReplicaError(l.replica.Load().RemoveReplica(ctx, replica.Member{Address: address}))
}

func (l *replicaLog) IsMember(ctx context.Context, group, id uint64) (bool, error) {
	member, err := l.replica.Load().IsMember(ctx, consensus.GroupID(group), consensus.ID(id))
	return member, fromReplicaError(err)
}

func (l *replicaLog) Handover(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	return l.replica.Load().TransferLeadership(ctx)
}

func (l *replicaLog) Done() <-chan struct{} { return l.done }

func (l *replicaLog) Err() error {
	select {
	case <-l.done:
		return l.err
	default:
		return nil
	}
}

// Stop stops the replica. A replica that believes it leads first transfers the leadership;
// handoverTimeout bounds this, since the transfer cannot complete during a network partition.
func (l *replicaLog) Stop(ctx context.Context) error {
	l.busy <- struct{}{}
	defer func() { <-l.busy }()
	bounded, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	r := l.replica.Load()
	err := r.Stop(bounded)
	if bounded.Err() != nil {
		select {
		case <-r.Done():
			err = r.Err()
		case <-ctx.Done():
			err = ctx.Err()
		}
	}
	l.transport.Close()
	l.end(err)
	return err
}

func fromReplicaError(err error) error {
	var notLeader *replica.NotLeaderError
	if errors.As(err, &notLeader) {
		return &NotLeaderError{Leader: notLeader.Leader}
	}
	if errors.Is(err, replica.ErrCommandTooLarge) {
		return fmt.Errorf("%w: %w", ErrTooLarge, err)
	}
	if errors.Is(err, replica.ErrDiskFull) {
		return fmt.Errorf("%w: %w", ErrNoSpace, err)
	}
	for _, lasting := range []error{replica.ErrBelongsToGroup, consensus.ErrRemoveLeader, consensus.ErrLastVoter} {
		if errors.Is(err, lasting) {
			return &ReplicaChangeRefusedError{lasting}
		}
	}
	return err
}
