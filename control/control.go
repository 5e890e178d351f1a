// Package control implements the control process: replicas that share the state of a
// deployment, answer operators, gateways and agents, and publish the configuration.
package control

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"toucantiller.dev/budget"
	"toucantiller.dev/control/api"
	"toucantiller.dev/control/state"
	"toucantiller.dev/distribution"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/instance"
	"toucantiller.dev/lease"
	"toucantiller.dev/link"
	"toucantiller.dev/quarantine"
	"toucantiller.dev/timeline"
	"toucantiller.dev/usage"
)

// ServiceName is the net/rpc name of the control service.
const ServiceName = "Control"

// Limits of registrations. The rate bounds the log writes when a whole fleet registers
// again at once.
const (
	RegistrationsPerSecond = 500
	RegistrationBurst      = 100
)

// proposeTimeout bounds a log write; it exceeds the time of a failover.
const proposeTimeout = 4 * time.Second

// replicasTimeout bounds one attempt at a change of the control group. With the two log
// writes around it, an attempt usually ends within callTimeout; the client repeats it.
const replicasTimeout = 3 * time.Second

// Decider decides the next step of a move. Each leader creates a new Decider for each
// move. obs holds the observations since the last call.
type Decider interface {
	Decide(now time.Time, move api.Move, obs []api.Observation) api.Decision
}

// Options configures a Server. Self, Network and OpenLog are required.
type Options struct {
	// Self names the replica; others reach it at Self.LinkAddress.
	Self instance.Instance
	// Listen is where the replica listens, Self.LinkAddress by default.
	Listen  string
	Network link.Network
	OpenLog OpenLog
	// NewDecider returns the decider of a move; without it moves keep their stage.
	NewDecider func(move api.Move) Decider
	// TokenTolerance is what gateways may admit beyond the token limits of accounts.
	TokenTolerance budget.Tolerance
	// BudgetLease is the longest time for which gateways get shares of accounts' token limits on
	// lease; 0 for no leases. It is at most lease.TTL.
	BudgetLease time.Duration
	// MaxClaimBytes bounds the claims with their stored answers; DefaultMaxClaimBytes when it is 0.
	MaxClaimBytes int
	// SelfRepair lets the leader change the control group: it adds replicas that ask to
	// join and removes silent ones to make room for them. Without it operators do so.
	SelfRepair bool
	// Seeds returns the control addresses currently in the settings; nil if there are none.
	// The leader announces itself to those that are not replicas, since other processes may
	// know only these addresses.
	Seeds    func() []string
	Recorder *timeline.Recorder
	Meter    metric.Meter
	Logger   log.Logger
	// RegistrationsPerSecond and RegistrationBurst replace the constants when set.
	RegistrationsPerSecond float64
	RegistrationBurst      int
	// Duties are the calls to an outside system that the leader makes.
	Duties DutyOptions
}

// Server is one control replica.
type Server struct {
	opts    Options
	machine *machine
	holder  *distribution.Holder
	rpc     *link.Server
	log     Log
	counts  *counters
	claims  *claimQueue

	ctx      context.Context
	cancel   context.CancelFunc
	tasks    sync.WaitGroup
	listener net.Listener

	// mu guards the leader's state that is not in the log.
	mu        sync.Mutex
	leading   bool
	term      uint64
	leases    *lease.Table
	admission *lease.Admission
	evidence  *evidenceCollector
	// budgets holds the token limits that gateways draw from.
	budgets *budget.Pool
	// usage adds up what gateways count in this term; nil before the first term.
	usage *usage.Collector
	// detector counts the endpoints that ended under parts of prompts in this term.
	detector *quarantine.Detector
	// lastHeartbeats holds the last heartbeat of each endpoint that announces itself.
	lastHeartbeats map[endpoint.ID]lastHeartbeat

	duties *dutyKeeper

	// replicaChangeMu is held while the leader changes the control group.
	replicaChangeMu sync.Mutex
}

// New returns a replica; call Start.
func New(opts Options) (*Server, error) {
	if opts.Self.LinkAddress == "" || opts.Network == nil || opts.OpenLog == nil {
		return nil, errors.New("control: Self.LinkAddress, Network and OpenLog are required")
	}
	if opts.Listen == "" {
		opts.Listen = opts.Self.LinkAddress
	}
	if opts.Logger == nil {
		opts.Logger = log.NewNopLogger()
	}
	if opts.Meter == nil {
		opts.Meter = noop.Meter{}
	}
	if opts.MaxClaimBytes == 0 {
		opts.MaxClaimBytes = DefaultMaxClaimBytes
	}
	if opts.RegistrationsPerSecond == 0 {
		opts.RegistrationsPerSecond = RegistrationsPerSecond
	}
	if opts.RegistrationBurst == 0 {
		opts.RegistrationBurst = RegistrationBurst
	}
	counts, err := newCounters(opts.Meter)
	if err != nil {
		return nil, err
	}
	s := &Server{
		opts:           opts,
		machine:        newMachine(),
		holder:         distribution.NewHolder(nil),
		rpc:            link.NewServer(),
		claims:         newClaimQueue(),
		counts:         counts,
		leases:         lease.NewTable(lease.TTL),
		evidence:       newEvidenceCollector(),
		budgets:        budget.NewPool(opts.TokenTolerance), // openTerm replaces it
		usage:          usage.NewCollector(0),
		detector:       quarantine.NewDetector(),
		lastHeartbeats: make(map[endpoint.ID]lastHeartbeat),
		duties:         newDutyKeeper(&opts.Duties),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s, nil
}

// Start opens the log, listens and runs the replica in the background.
func (s *Server) Start(context.Context) error {
	if err := s.rpc.Register(ServiceName, &service{s: s}); err != nil {
		return err
	}
	var err error
	if s.log, err = s.opts.OpenLog(s.machine, s.rpc); err != nil {
		return err
	}
	if err := errors.Join(observeLog(s.opts.Meter, s.log), observeBudgets(s.opts.Meter, s)); err != nil {
		return errors.Join(err, s.log.Stop(context.Background()))
	}
	if s.listener, err = s.opts.Network.Listen(s.opts.Listen); err != nil {
		return errors.Join(&link.Error{Step: "listen", Peer: s.opts.Listen, Err: err}, s.log.Stop(context.Background()))
	}
	s.runInBackground(func() {
		if err := s.rpc.Serve(s.listener); err != nil {
			_ = level.Error(s.opts.Logger).Log("msg", "listener failed", "err", err)
		}
	})
	s.runInBackground(s.runLeaderLoop)
	s.runInBackground(s.publishChanges)
	s.runInBackground(s.decideMoves)
	s.runInBackground(s.placeAgents)
	if s.opts.Duties.enabled() {
		if err := s.observeDuties(); err != nil {
			return err
		}
		s.runInBackground(s.runDuties)
	}
	if s.opts.SelfRepair {
		s.runInBackground(s.watchMembership)
	}
	if s.opts.SelfRepair && s.opts.Seeds != nil {
		s.runInBackground(s.announceLeader)
	}
	return nil
}

// Addr returns the address at which the replica listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Holder returns what the replica publishes while it leads.
func (s *Server) Holder() *distribution.Holder { return s.holder }

// LogBytes returns the size of the replica's log on the disk in bytes, 0 without a disk. Call it
// after Start.
func (s *Server) LogBytes() int64 { return s.log.Status().DiskBytes }

// Done closes when the replica's log has ended, by Stop or by a failure that Err names.
// Call it after Start.
func (s *Server) Done() <-chan struct{} { return s.log.Done() }

// Err returns why the log ended, nil after Stop.
func (s *Server) Err() error { return s.log.Err() }

// Stop transfers the leadership to another replica and ends this one.
func (s *Server) Stop(ctx context.Context) error {
	if s.listener == nil {
		s.cancel()
		return nil
	}
	if s.log.Status().Leading {
		s.logFailure("hand over", s.log.Handover(ctx))
	}
	s.cancel()
	_ = s.listener.Close()
	s.rpc.Close()
	err := s.log.Stop(ctx)
	s.tasks.Wait()
	return err
}

// runInBackground runs f in a goroutine that Stop waits for.
func (s *Server) runInBackground(f func()) {
	s.tasks.Go(f)
}

// propose stamps a command with the current time and commits it.
func (s *Server) propose(c *state.Command) (*state.Result, error) {
	ctx, cancel := context.WithTimeout(s.ctx, proposeTimeout)
	defer cancel()
	c.At = time.Now().UTC()
	b, err := c.Encode()
	if err != nil {
		return nil, err
	}
	out, err := s.log.Propose(ctx, b)
	if err != nil {
		return nil, err
	}
	return state.DecodeResult(out)
}
