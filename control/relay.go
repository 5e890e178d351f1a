package control

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"toucantiller.dev/control/api"
	"toucantiller.dev/distribution"
	"toucantiller.dev/link"
)

const (
	// leaderPollInterval is the time between two queries for the leader. Callers that are redirected
	// to a lost leader wait for a timeout.
	leaderPollInterval = 400 * time.Millisecond
	// leaderPollTimeout bounds one query; it leaves time to ask another replica when the
	// leader has been lost.
	leaderPollTimeout = time.Second
)

// errRelayHasNoLog is the error of changes to the group at a relay.
var errRelayHasNoLog = &ReplicaChangeRefusedError{errors.New("this process holds no log")}

// RelayOptions configures a relay.
type RelayOptions struct {
	// Seeds are link addresses of control replicas or relays.
	Seeds   []string
	Network link.Network
	Logger  log.Logger
}

// RelayLog returns an OpenLog for a process without a disk. It holds no log and never
// leads; it tracks the leader and redirects its callers to it.
func RelayLog(opts RelayOptions) OpenLog {
	return func(StateMachine, *link.Server) (Log, error) {
		ctx, cancel := context.WithCancel(context.Background())
		l := &relayLog{opts: opts, client: NewClient(opts.Network, opts.Seeds), cancel: cancel, done: make(chan struct{})}
		l.leadership.Store(&api.Leadership{})
		go l.followLeader(ctx)
		return l, nil
	}
}

type relayLog struct {
	opts   RelayOptions
	client *Client
	cancel context.CancelFunc
	done   chan struct{}
	// leadership is the leadership that the relay last learned, by its own query or from an
	// announcement.
	leadership atomic.Pointer[api.Leadership]
}

// followLeader queries for the leader periodically until ctx ends.
func (l *relayLog) followLeader(ctx context.Context) {
	defer close(l.done)
	defer l.client.Close()
	for ctx.Err() == nil {
		l.askForLeader(ctx)
		_ = sleep(ctx, leaderPollInterval) // the loop ends with ctx
	}
}

func (l *relayLog) askForLeader(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaderPollTimeout)
	defer cancel()
	reply, err := call(ctx, l.client, "Leader", &api.Empty{}, func(r *api.Leadership) (string, bool) { return r.Leader, r.Leader != "" })
	if err != nil {
		reply = &api.Leadership{Replicas: l.leadership.Load().Replicas}
	}
	l.setLeadership(reply, err)
}

// setLeadership stores the leadership that the relay learned; err is the error of a failed query.
func (l *relayLog) setLeadership(next *api.Leadership, err error) {
	l.client.SetAddresses(distribution.WithSeeds(next.Replicas, l.opts.Seeds))
	if before := l.leadership.Swap(next); next.Leader != before.Leader {
		_ = l.opts.Logger.Log("msg", "control leader changed", "leader", next.Leader, "before", before.Leader, "err", err)
	}
}

func (l *relayLog) notLeader() error { return &NotLeaderError{Leader: l.leadership.Load().Leader} }

func (l *relayLog) Propose(context.Context, []byte) ([]byte, error) { return nil, l.notLeader() }

func (l *relayLog) ReadBarrier(context.Context) error { return l.notLeader() }

func (l *relayLog) Status() LogStatus {
	return LogStatus{Leader: l.leadership.Load().Leader, Joined: true}
}

func (l *relayLog) Members() []api.Replica {
	var out []api.Replica
	for _, address := range l.leadership.Load().Replicas {
		out = append(out, api.Replica{Address: address, Voter: true})
	}
	return out
}

func (l *relayLog) Silence() map[uint64]time.Duration { return nil }

func (l *relayLog) FoundingVoters() int { return 0 }

func (l *relayLog) AddReplica(context.Context, string) error { return errRelayHasNoLog }

func (l *relayLog) RemoveReplica(context.Context, string) error { return errRelayHasNoLog }

func (l *relayLog) IsMember(context.Context, uint64, uint64) (bool, error) {
	return false, l.notLeader()
}

func (l *relayLog) Discard(context.Context) error { return errRelayHasNoLog }

func (l *relayLog) Handover(context.Context) error { return nil }

func (l *relayLog) Done() <-chan struct{} { return l.done }

func (l *relayLog) Err() error { return nil }

func (l *relayLog) Stop(ctx context.Context) error {
	l.cancel()
	select {
	case <-l.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Leader names the leader and the control replicas.
func (v *service) Leader(_ *api.Empty, out *api.Leadership) error {
	if err := v.s.checkLeading(); err != nil {
		out.Leader, err = redirect(err)
		return err
	}
	out.Leader = v.s.opts.Self.LinkAddress
	out.Replicas = v.s.recordedAddresses()
	return nil
}

// Announce tells a relay which replica leads. Replicas ignore it, since they know the leader
// from their log.
func (v *service) Announce(in *api.Leadership, _ *api.Empty) error {
	if l, ok := v.s.log.(*relayLog); ok {
		l.setLeadership(in, nil)
	}
	return nil
}

const (
	// announceInterval is the time between two announcements.
	announceInterval = 500 * time.Millisecond
	// announceTimeout bounds one announcement.
	announceTimeout = 300 * time.Millisecond
)

// announceLeader announces the leader to the seeds that are not replicas, while this replica
// leads. After a restart of all processes such a seed has no other way to find the leader.
func (s *Server) announceLeader() {
	for sleep(s.ctx, announceInterval) == nil {
		if s.checkLeading() == nil {
			s.announceToSeeds()
		}
	}
}

func (s *Server) announceToSeeds() {
	replicas := s.recordedAddresses()
	in := &api.Leadership{Leader: s.opts.Self.LinkAddress, Replicas: replicas}
	for _, seed := range s.opts.Seeds() {
		if slices.Contains(replicas, seed) {
			continue
		}
		ctx, cancel := context.WithTimeout(s.ctx, announceTimeout)
		client := link.NewClient(s.opts.Network, seed)
		err := client.Call(ctx, ServiceName+".Announce", in, &api.Empty{})
		client.Close()
		cancel()
		if err != nil {
			_ = s.opts.Logger.Log("msg", "leader not announced", "seed", seed, "err", err)
		}
	}
}
