package control_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/account"
	"toucantiller.dev/consensus/replica"
	"toucantiller.dev/contract"
	"toucantiller.dev/control"
	"toucantiller.dev/control/api"
	"toucantiller.dev/distribution"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/failuredomain"
	"toucantiller.dev/instance"
	"toucantiller.dev/link"
	"toucantiller.dev/membership"
)

// bundleText returns a valid bundle with one required sign-off.
func bundleText(version int, extra string) []byte {
	key := func(name string) string { return contract.DemoKey(name).Public() }
	return fmt.Appendf(nil, `name: looms
version: %d
author: ada
sign_off: {required: 1}
operators:
  - {name: ada, public_key: %s}
  - {name: bola, public_key: %s}
tiers:
  - {name: gold}
accounts:
  - {name: mill, tier: gold, key_hashes: [%s]}
failure_domains:
  - {name: lagos-a, region: lagos}
  - {name: lagos-b, region: lagos}
services:
  - {name: weft, kind: model, version: v1, models: [weft-lm], routes: [{name: chat, method: POST, path: /v1/chat/completions, idempotent: true}]}
%s`, version, key("ada"), key("bola"), account.HashKey("mill-key"), extra)
}

func signedBundle(id string, content []byte) *api.ApplyBundle {
	now := time.Now()
	c := &api.ApplyBundle{
		Operation:  api.Operation{ID: id, Operator: "ada"},
		Content:    content,
		Signatures: []api.Signature{api.Signature(contract.Sign(content, "bola", contract.DemoKey("bola"), now))},
	}
	api.Sign(c, contract.DemoKey("ada"), time.Now())
	return c
}

func signedDrain(id string, domain failuredomain.ID) *api.SetDomain {
	c := &api.SetDomain{Operation: api.Operation{ID: id, Operator: "ada"}, Domain: domain, State: failuredomain.StateDrained}
	api.Sign(c, contract.DemoKey("ada"), time.Now())
	return c
}

// process is a gateway or agent that subscribes to the configuration, registers with control
// and relays the configuration to other subscribers.
type process struct {
	self      instance.Instance
	holder    *distribution.Holder
	announcer *membership.Announcer
	cancel    context.CancelFunc
}

func startProcess(t testing.TB, network link.Network, self instance.Instance, addrs []string) *process {
	t.Helper()
	listener, err := network.Listen(self.LinkAddress)
	assert.NilError(t, err)
	self.LinkAddress = listener.Addr().String()
	ctx, cancel := context.WithCancel(t.Context())
	p := &process{self: self, holder: distribution.NewHolder(nil), cancel: cancel}
	client := control.NewClient(network, addrs)
	opts := membership.Options{Control: client, Configuration: p.holder, Self: self}
	if self.Role == instance.RoleAgent {
		opts.Endpoint = &endpoint.Endpoint{ID: self.ID, Incarnation: self.Incarnation, Service: "weft", Version: "v1", Domain: self.Domain, Address: self.LinkAddress, LinkAddress: self.LinkAddress}
	}
	p.announcer = membership.NewAnnouncer(opts)
	server := link.NewServer()
	assert.NilError(t, server.Register(distribution.ServiceName, distribution.NewService(p.holder)))
	subscriber := distribution.NewSubscriber(distribution.SubscriberOptions{Network: network, Holder: p.holder, Self: self, Control: addrs})
	go func() { _ = server.Serve(listener) }()
	go p.announcer.Run(ctx)
	go subscriber.Run(ctx)
	t.Cleanup(func() {
		cancel()
		_ = listener.Close()
		server.Close()
		client.Close()
	})
	return p
}

func newControl(t testing.TB, network link.Network, opts control.Options) *control.Server {
	t.Helper()
	if opts.Self.LinkAddress == "" {
		opts.Self = instance.Instance{ID: "control-0", Role: instance.RoleControl, LinkAddress: "control-0"}
	}
	opts.Network = network
	if opts.OpenLog == nil {
		opts.OpenLog = control.MemoryLog(opts.Self.LinkAddress)
	}
	s, err := control.New(opts)
	assert.NilError(t, err)
	assert.NilError(t, s.Start(t.Context()))
	t.Cleanup(func() { assert.NilError(t, s.Stop(context.Background())) })
	return s
}

// runInSynctest runs a test in a synctest bubble. At its end it waits until the probes of
// closed connections have stopped.
func runInSynctest(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		t.Cleanup(func() { time.Sleep(10 * time.Second) })
		f(t)
	})
}

func agentInstance(i int) instance.Instance {
	id := fmt.Sprintf("agent-%d", i)
	return instance.Instance{ID: instance.ID(id), Role: instance.RoleAgent, Domain: "lagos-a", Incarnation: 1, LinkAddress: id}
}

var replicas = []string{"control-0", "control-1", "control-2"}

// group is three control replicas on the replicated log.
type group struct {
	network *link.Memory
	// links are the connections of the replicas, by their address.
	links   map[string]*replicaLink
	servers map[string]*control.Server
	folders map[string]string
	decider func(api.Move) control.Decider
	// maxClaimBytes is an option of the replicas.
	maxClaimBytes int
	budgetLease   time.Duration
	// seeds are the control addresses in the settings, which servers read while a test replaces
	// them.
	seeds atomic.Pointer[[]string]
	// selfRepair and founders are options of the replicas that start after they are set.
	selfRepair bool
	founders   []string
	// duties returns an option of the replica at an address; nil for none.
	duties func(addr string) control.DutyOptions
}

func startGroup(t *testing.T, decider func(api.Move) control.Decider) *group {
	t.Helper()
	return startGroupWith(t, &group{decider: decider})
}

// startGroupWith starts the replicas of a group whose options are set.
func startGroupWith(t *testing.T, g *group) *group {
	t.Helper()
	g.network, g.links = link.NewMemory(), map[string]*replicaLink{}
	g.servers, g.folders, g.founders = map[string]*control.Server{}, map[string]string{}, replicas
	for _, addr := range replicas {
		g.folders[addr] = t.TempDir()
		g.start(t, addr)
	}
	time.Sleep(3 * time.Second)
	return g
}

func (g *group) start(t *testing.T, addr string) {
	t.Helper()
	network := &replicaLink{Memory: g.network, address: addr}
	var duties control.DutyOptions
	if g.duties != nil {
		duties = g.duties(addr)
	}
	s, err := control.New(control.Options{
		Duties:  duties,
		Self:    instance.Instance{ID: instance.ID(addr), Role: instance.RoleControl, LinkAddress: addr},
		Network: network,
		OpenLog: control.ReplicaLog(control.ReplicaOptions{
			DataFolder: g.folders[addr], Address: addr, Members: g.founders, Network: network,
		}),
		NewDecider: g.decider,
		SelfRepair: g.selfRepair, MaxClaimBytes: g.maxClaimBytes, BudgetLease: g.budgetLease,
		Seeds: g.seedAddresses,
	})
	assert.NilError(t, err)
	assert.NilError(t, s.Start(t.Context()))
	g.servers[addr], g.links[addr] = s, network
	t.Cleanup(func() { g.stop(t, addr) })
}

func (g *group) seedAddresses() []string {
	if seeds := g.seeds.Load(); seeds != nil {
		return *seeds
	}
	return nil
}

func (g *group) stop(t *testing.T, addr string) {
	t.Helper()
	if s, ok := g.servers[addr]; ok {
		delete(g.servers, addr)
		assert.NilError(t, s.Stop(context.Background()))
	}
}

func (g *group) leader(t *testing.T, c *control.Client) string {
	t.Helper()
	status, err := c.Status(t.Context())
	assert.NilError(t, err)
	return status.Leader
}

// apply sends a change and asserts that it is accepted.
func apply[C api.Change](t testing.TB, send func(context.Context, C) (*api.ChangeReply, error), change C) *api.ChangeReply {
	t.Helper()
	reply, err := send(t.Context(), change)
	assert.NilError(t, err)
	assert.Equal(t, reply.Outcome, api.OutcomeAccepted, reply.Reason)
	return reply
}

func signedAbort(id, service string) *api.AbortMove {
	c := &api.AbortMove{Operation: api.Operation{ID: id, Operator: "ada"}, Service: service, Reason: "slow"}
	api.Sign(c, contract.DemoKey("ada"), time.Now())
	return c
}

// faultyLog is a log in memory with injected faults. Its replica always believes that it leads.
type faultyLog struct {
	control.Log
	// quorumLost makes ReadBarrier block until its context ends.
	quorumLost atomic.Bool
	// loseOutcome makes Propose commit the command and then return an error.
	loseOutcome atomic.Bool
}

func (l *faultyLog) Propose(ctx context.Context, command []byte) ([]byte, error) {
	out, err := l.Log.Propose(ctx, command)
	if err == nil && l.loseOutcome.Load() {
		err = errors.New("outcome unknown")
	}
	return out, err
}

func (l *faultyLog) ReadBarrier(ctx context.Context) error {
	if l.quorumLost.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	return l.Log.ReadBarrier(ctx)
}

// open returns an OpenLog for the log in memory.
func (l *faultyLog) open(address string) control.OpenLog {
	return func(sm control.StateMachine, server *link.Server) (control.Log, error) {
		log, err := control.MemoryLog(address)(sm, server)
		l.Log = log
		return l, err
	}
}

// countingLog counts the proposed commands and their bytes. block, if set, is a channel with a
// capacity of one; Propose waits while a test keeps a value in it.
type countingLog struct {
	control.Log
	commands, bytes *atomic.Int64
	block           chan struct{}
}

func (l countingLog) Propose(ctx context.Context, command []byte) ([]byte, error) {
	l.commands.Add(1)
	l.bytes.Add(int64(len(command)))
	if l.block != nil {
		l.block <- struct{}{}
		<-l.block
	}
	if len(command) > replica.MaxCommandBytes {
		return nil, control.ErrTooLarge
	}
	return l.Log.Propose(ctx, command)
}
