package replica

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"toucantiller.dev/consensus"
	"toucantiller.dev/wal"
)

// Bounds of what the replica takes in before it syncs.
const (
	inboxSize      = 1024
	inboxBatch     = 32
	proposalQueue  = 256
	proposalBatch  = 1024
	proposalBytes  = 4 << 20
	maxOutstanding = 8192
)

// proposal is a command on its way into the log.
type proposal struct {
	command []byte
	reply   chan outcome
}

type outcome struct {
	result []byte
	err    error
}

// waiter waits for the entry at an index to be applied.
type waiter struct {
	term  uint64
	reply chan outcome
}

// Replica is one running replica.
type Replica struct {
	cfg     Config
	core    *consensus.Core
	storage *storage

	inbox     chan Packet
	proposals chan proposal
	calls     chan func()
	stop      chan struct{}
	done      chan struct{}
	stopOnce  sync.Once
	status    atomic.Pointer[Status]
	silence   atomic.Pointer[map[consensus.ID]time.Duration]
	err       error

	// The following belong to the run goroutine.
	founder   *founder
	waiters   map[uint64]waiter
	reads     map[uint64]chan outcome
	readToken uint64
	learned   map[consensus.ID]string
	lookups   map[string][]chan Hello
	// writing is true from the start of a background write until its result was taken.
	writing bool
	written chan written
}

// Start opens the data folder and starts the replica.
func Start(cfg Config) (*Replica, error) {
	r, err := open(cfg)
	if err != nil {
		return nil, err
	}
	r.cfg.Transport.Receive(r.receive)
	go r.run()
	return r, nil
}

// open builds a replica that is not running yet.
func open(cfg Config) (*Replica, error) {
	if err := cfg.complete(); err != nil {
		return nil, err
	}
	s, recovered, err := openStorage(cfg.DataFolder, wal.Options{FS: cfg.FS, NewOwner: cfg.newIdentity})
	if err != nil {
		return nil, fmt.Errorf("start replica %s: %w", cfg.Address, err)
	}
	r := &Replica{
		cfg: cfg, storage: s,
		inbox:     make(chan Packet, inboxSize),
		proposals: make(chan proposal, proposalQueue),
		calls:     make(chan func()),
		stop:      make(chan struct{}),
		done:      make(chan struct{}),
		waiters:   make(map[uint64]waiter),
		reads:     make(map[uint64]chan outcome),
		learned:   make(map[consensus.ID]string),
		lookups:   make(map[string][]chan Hello),
		written:   make(chan written, 1),
	}
	if err := r.load(recovered); err != nil {
		return nil, fmt.Errorf("start replica %s: %w", cfg.Address, errors.Join(err, s.close()))
	}
	r.publish()
	return r, nil
}

func (c *Config) complete() error {
	if c.DataFolder == "" || c.Address == "" || c.Transport == nil || c.StateMachine == nil {
		return errors.New("replica needs a data folder, an address, a transport and a state machine")
	}
	if c.TickInterval <= 0 {
		c.TickInterval = DefaultTickInterval
	}
	if c.SnapshotThreshold == 0 {
		c.SnapshotThreshold = DefaultSnapshotThreshold
	}
	if c.background == nil {
		c.background = func(f func()) { go f() }
	}
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	return nil
}

// load builds the core and the state machine from the data folder.
func (r *Replica) load(recovered consensus.Recovered) error {
	core := r.cfg.core
	core.ID = r.storage.id
	if core.Seed == 0 {
		core.Seed = rand.Uint64()
	}
	var err error
	r.core, err = consensus.New(core, recovered)
	if err != nil {
		return err
	}
	if recovered.Snapshot == nil {
		r.founder = newFounder(r.storage.id, r.cfg.Address, r.cfg.InitialMembers)
		return nil
	}
	return r.restore(recovered.Snapshot)
}

func (r *Replica) restore(s *consensus.Snapshot) error {
	if len(s.Data) == 0 {
		return nil
	}
	if err := r.cfg.StateMachine.Restore(s.Data); err != nil {
		return fmt.Errorf("restore snapshot %d: %w", s.Index, err)
	}
	return nil
}

// receive queues a packet, or drops it if the replica is too slow.
func (r *Replica) receive(p Packet) {
	select {
	case r.inbox <- p:
	default:
	}
}

// Status returns the latest view.
func (r *Replica) Status() Status { return *r.status.Load() }

// Done is closed when the replica has stopped.
func (r *Replica) Done() <-chan struct{} { return r.done }

// Err returns the failure that stopped the replica, or nil. It is valid after Done.
func (r *Replica) Err() error {
	select {
	case <-r.done:
		return r.err
	default:
		return nil
	}
}

// run owns the core until the replica stops.
func (r *Replica) run() {
	ticker := time.NewTicker(r.cfg.TickInterval)
	defer ticker.Stop()
	for r.err == nil {
		proposals := r.proposals
		if len(r.waiters) >= maxOutstanding {
			proposals = nil
		}
		select {
		case <-r.stop:
			r.shutDown()
			return
		case <-ticker.C:
			r.tick()
		case p := <-r.inbox:
			r.takePackets(p)
		case p := <-proposals:
			r.takeProposals(p)
		case f := <-r.calls:
			f()
		case w := <-r.written:
			r.takeWritten(w)
		}
		r.process()
	}
	r.shutDown()
}

func (r *Replica) shutDown() {
	r.cfg.Transport.Receive(nil)
	if r.writing {
		<-r.written
	}
	if err := r.storage.close(); err != nil && r.err == nil {
		r.err = fmt.Errorf("close log: %w", err)
	}
	r.failCalls(ErrStopped)
	s := r.Status()
	s.IsLeader = false
	r.status.Store(&s)
	if r.err != nil {
		_ = r.cfg.Logger.Log("event", "replica.failed", "id", s.ID, "err", r.err)
	}
	close(r.done)
}

func (r *Replica) fail(err error) {
	if r.err == nil {
		r.err = fmt.Errorf("replica %s: %w", r.cfg.Address, err)
	}
}

func (r *Replica) tick() {
	if r.founder == nil {
		r.core.Tick()
		r.measureSilence()
		if s := r.core.Status(); s.Commit == foundingIndex && s.Leader == 0 {
			r.announce()
		}
		return
	}
	for _, address := range r.founder.tick() {
		r.sendHello(address, true)
	}
	if members := r.founder.found(); members != nil {
		r.join(members)
	}
}

// measureSilence records how long the leader has not heard from each member.
func (r *Replica) measureSilence() {
	var silence map[consensus.ID]time.Duration
	if r.core.Status().Role == consensus.Leader {
		silence = make(map[consensus.ID]time.Duration)
		for _, m := range r.core.Members() {
			silence[m.ID] = time.Duration(r.core.SilentTicks(m.ID)) * r.cfg.TickInterval
		}
	}
	r.silence.Store(&silence)
}

// Silence returns how long this replica, as the leader, has not heard from each other member,
// as of the last tick; it is empty on followers. The result must not be changed.
func (r *Replica) Silence() map[consensus.ID]time.Duration {
	if s := r.silence.Load(); s != nil {
		return *s
	}
	return nil
}

// announce sends the founding membership until the group has a leader.
func (r *Replica) announce() {
	for _, m := range r.core.Members() {
		if m.Address != r.cfg.Address {
			r.sendHello(m.Address, false)
		}
	}
}

// join makes the founding membership durable and starts over from it.
func (r *Replica) join(members consensus.Membership) {
	s := foundingSnapshot(members)
	if err := r.storage.saveSnapshot(s, false); err != nil {
		r.fail(err)
		return
	}
	r.founder = nil
	// A replica without a group never voted, but may have met a higher term.
	state := consensus.State{Term: r.core.Status().Term}
	if err := r.load(consensus.Recovered{State: state, Snapshot: s}); err != nil {
		r.fail(err)
		return
	}
	_ = r.cfg.Logger.Log("event", "replica.joined", "id", r.storage.id, "group", s.Group)
}

func (r *Replica) takePackets(p Packet) {
	for i := 0; ; i++ {
		r.take(p)
		if i >= inboxBatch {
			return
		}
		select {
		case p = <-r.inbox:
		default:
			return
		}
	}
}

func (r *Replica) take(p Packet) {
	if p.Hello != nil {
		r.hear(p.From, p.Hello)
	}
	if p.Message != nil {
		r.learned[p.Message.From] = p.From
		r.core.Step(*p.Message)
	}
}

func (r *Replica) hear(from string, h *Hello) {
	for _, reply := range r.lookups[from] {
		reply <- *h
	}
	delete(r.lookups, from)
	if r.founder != nil {
		if members := r.founder.hear(from, h); members != nil {
			r.join(members)
		} else if r.founder.formerly && !r.founder.announced {
			r.founder.announced = true
			_ = r.cfg.Logger.Log("event", "replica.waiting", "id", r.storage.id,
				"msg", "the group exists already; add this replica to it")
		}
	}
	if h.Ask {
		r.sendHello(from, false)
	}
}

func (r *Replica) sendHello(address string, ask bool) {
	h := &Hello{ID: r.storage.id, Joined: r.founder == nil, Ask: ask, Founding: r.core.Founding()}
	r.cfg.Transport.Send(address, Packet{From: r.cfg.Address, Hello: h})
}

func (r *Replica) takeProposals(p proposal) {
	batch := []proposal{p}
	commands := [][]byte{p.command}
	size := len(p.command)
	for len(batch) < proposalBatch && size < proposalBytes {
		select {
		case p = <-r.proposals:
			batch = append(batch, p)
			commands = append(commands, p.command)
			size += len(p.command)
			continue
		default:
		}
		break
	}
	first, term, err := r.core.Propose(commands...)
	for i, p := range batch {
		if err != nil {
			p.reply <- outcome{err: r.callError(err)}
			continue
		}
		r.waiters[first+uint64(i)] = waiter{term: term, reply: p.reply}
	}
}

// callError turns an error of the core into one of the API.
func (r *Replica) callError(err error) error {
	if errors.Is(err, consensus.ErrNotLeader) || errors.Is(err, consensus.ErrTransferring) {
		s := r.core.Status()
		leader := s.Leader
		if s.Transferee != 0 {
			leader = s.Transferee
		}
		return &NotLeaderError{Leader: r.addressOf(leader)}
	}
	return err
}

func (r *Replica) addressOf(id consensus.ID) string {
	if m, ok := r.core.Members().Find(id); ok {
		return m.Address
	}
	return r.learned[id]
}

// call runs f on the replica's goroutine.
func (r *Replica) call(ctx context.Context, f func()) error {
	ran := make(chan struct{})
	select {
	case r.calls <- func() { f(); close(ran) }:
		<-ran
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-r.done:
		return ErrStopped
	}
}
