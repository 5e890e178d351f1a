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
}

// ReplicaLog returns an OpenLog for the replicated log.
func ReplicaLog(opts ReplicaOptions) OpenLog {
	return func(sm StateMachine, server *link.Server) (Log, error) {
		transport, err := replica.NewLinkTransport(opts.Network, server)
		if err != nil {
			return nil, err
		}
		l := &replicaLog{transport: transport}
		l.replica, err = replica.Start(replica.Config{
			DataFolder:     opts.DataFolder,
			Address:        opts.Address,
			InitialMembers: opts.Members,
			Transport:      transport,
			StateMachine:   sm,
			TickInterval:   opts.Tick,
			ReserveBytes:   reserveBytes,
			Logger:         opts.Logger,
			OnChange:       l.countElections,
		})
		if err != nil {
			transport.Close()
			return nil, err
		}
		return l, nil
	}
}

type replicaLog struct {
	replica   *replica.Replica
	transport *replica.LinkTransport
	// opened and term are set by countElections: that it was called, and with which term last.
	opened    bool
	term      uint64
	elections atomic.Int64
}

// countElections counts a change to a later term. Its first call, with the stored term, counts none.
func (l *replicaLog) countElections(s replica.Status) {
	if l.opened && s.Term > l.term {
		l.elections.Add(1)
	}
	l.opened, l.term = true, s.Term
}

func (l *replicaLog) Propose(ctx context.Context, command []byte) ([]byte, error) {
	out, err := l.replica.Propose(ctx, command)
	return out, fromReplicaError(err)
}

func (l *replicaLog) ReadBarrier(ctx context.Context) error {
	return fromReplicaError(l.replica.ReadBarrier(ctx))
}

func (l *replicaLog) Status() LogStatus {
	s := l.replica.Status()
	return LogStatus{
		Leading: s.IsLeader, Leader: s.Leader, Term: s.Term, Joined: s.Joined,
		DiskBytes: s.DiskBytes, Elections: l.elections.Load(),
	}
}

func (l *replicaLog) Members() []api.Replica {
	var out []api.Replica
	for _, m := range l.replica.Status().Members {
		out = append(out, api.Replica{Address: m.Address, ID: uint64(m.ID), Voter: !m.Learner})
	}
	slices.SortFunc(out, func(a, b api.Replica) int {
		return cmp.Or(strings.Compare(a.Address, b.Address), cmp.Compare(a.ID, b.ID))
	})
	return out
}

func (l *replicaLog) Silence() map[uint64]time.Duration {
	out := make(map[uint64]time.Duration)
	for id, silent := range l.replica.Silence() {
		out[uint64(id)] = silent
	}
	return out
}

func (l *replicaLog) FoundingVoters() int { return l.replica.Status().Founders }

func (l *replicaLog) AddReplica(ctx context.Context, address string) error {
	return fromReplicaError(l.replica.AddReplica(ctx, replica.Member{Address: address}))
}

func (l *replicaLog) RemoveReplica(ctx context.Context, address string) error {
	return fromReplicaError(l.replica.RemoveReplica(ctx, replica.Member{Address: address}))
}

func (l *replicaLog) Handover(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	return l.replica.TransferLeadership(ctx)
}

func (l *replicaLog) Done() <-chan struct{} { return l.replica.Done() }

func (l *replicaLog) Err() error { return l.replica.Err() }

// Stop stops the replica. A replica that believes it leads first transfers the leadership;
// handoverTimeout bounds this, since the transfer cannot complete during a network partition.
func (l *replicaLog) Stop(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	err := l.replica.Stop(bounded)
	if bounded.Err() != nil {
		select {
		case <-l.replica.Done():
			err = l.replica.Err()
		case <-ctx.Done():
			err = ctx.Err()
		}
	}
	l.transport.Close()
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
