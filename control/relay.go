package control

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"toucantiller.dev/control/api"
	"toucantiller.dev/distribution"
	"toucantiller.dev/link"
)

const (
	// leaderInterval is the time between two questions for the leader. Callers that are sent
	// to a leader that is gone lose a timeout.
	leaderInterval = 400 * time.Millisecond
	// leaderTimeout bounds one question; it leaves time to ask another replica when the
	// leader has been lost.
	leaderTimeout = time.Second
)

// errRelay is the error of changes to the group at a relay.
var errRelay = &ReplicaRefused{errors.New("this process holds no log")}

// RelayOptions configures a relay.
type RelayOptions struct {
	// Seeds are link addresses of control replicas or relays.
	Seeds   []string
	Network link.Network
	Logger  log.Logger
}

// RelayLog returns an OpenLog for a process without a disk. It holds no log and never
// leads; it follows who leads, so that its callers are sent to the leader.
func RelayLog(opts RelayOptions) OpenLog {
	return func(StateMachine, *link.Server) (Log, error) {
		ctx, cancel := context.WithCancel(context.Background())
		l := &relayLog{opts: opts, client: NewClient(opts.Network, opts.Seeds), cancel: cancel, done: make(chan struct{})}
		l.status.Store(&relayStatus{})
		go l.follow(ctx)
		return l, nil
	}
}

// relayStatus is what a relay knows of the control group.
type relayStatus struct {
	leader   string
	replicas []string
}

type relayLog struct {
	opts   RelayOptions
	client *Client
	cancel context.CancelFunc
	done   chan struct{}
	status atomic.Pointer[relayStatus]
}

// follow asks for the leader until ctx ends.
func (l *relayLog) follow(ctx context.Context) {
	defer close(l.done)
	defer l.client.Close()
	for ctx.Err() == nil {
		l.ask(ctx)
		_ = sleep(ctx, leaderInterval) // the loop ends with ctx
	}
}

func (l *relayLog) ask(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	before := l.status.Load()
	next := &relayStatus{replicas: before.replicas}
	reply, err := call(ctx, l.client, "Leader", &api.Empty{}, func(r *api.LeaderReply) (string, bool) { return r.Leader, r.Leader != "" })
	if err == nil {
		next = &relayStatus{leader: reply.Leader, replicas: reply.Replicas}
		l.client.SetAddresses(distribution.WithSeeds(reply.Replicas, l.opts.Seeds))
	}
	if next.leader != before.leader {
		_ = l.opts.Logger.Log("msg", "control leader changed", "leader", next.leader, "before", before.leader, "err", err)
	}
	l.status.Store(next)
}

func (l *relayLog) notLeader() error { return &NotLeader{Leader: l.status.Load().leader} }

func (l *relayLog) Propose(context.Context, []byte) ([]byte, error) { return nil, l.notLeader() }

func (l *relayLog) ReadBarrier(context.Context) error { return l.notLeader() }

func (l *relayLog) Status() LogStatus {
	return LogStatus{Leader: l.status.Load().leader, Joined: true}
}

func (l *relayLog) Members() []api.Replica {
	var out []api.Replica
	for _, address := range l.status.Load().replicas {
		out = append(out, api.Replica{Address: address, Voter: true})
	}
	return out
}

func (l *relayLog) Silence() map[uint64]time.Duration { return nil }

func (l *relayLog) Size() int { return 0 }

func (l *relayLog) AddReplica(context.Context, string) error { return errRelay }

func (l *relayLog) RemoveReplica(context.Context, string) error { return errRelay }

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
func (v *service) Leader(_ *api.Empty, out *api.LeaderReply) error {
	if err := v.s.notLeading(); err != nil {
		out.Leader, err = redirect(err)
		return err
	}
	out.Leader = v.s.opts.Self.LinkAddress
	out.Replicas = v.s.recordedControl()
	return nil
}
