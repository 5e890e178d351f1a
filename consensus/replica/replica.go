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

// Bounds of the work that the replica accepts before it syncs. Sizes are numbers of packets
// or proposals, and bytes where the name says so.
const (
	inboxSize             = 1024
	maxInboxBatch         = 32
	proposalQueueSize     = 256
	maxProposalBatch      = 1024
	maxProposalBatchBytes = 4 << 20
	maxPendingProposals   = 8192
)

// proposal is a command that is not yet in the log.
type proposal struct {
	command []byte
	reply   chan outcome
}

// outcome is the result of a proposal or read.
type outcome struct {
	result []byte
	err    error
}

// waiter is a proposal whose entry has not been applied yet. term is the term in which it
// was proposed: another term at its index means that another entry took its place.
type waiter struct {
	term  uint64
	reply chan outcome
}

// Replica runs one replica of a group. Its methods are safe for concurrent use.
type Replica struct {
	cfg     Config
	core    *consensus.Core
	storage *storage

	inbox     *packetQueue
	proposals *proposalQueue
	coreCalls chan coreCall
	stop      chan struct{}
	done      chan struct{}
	stopOnce  sync.Once
	status    atomic.Pointer[Status]
	silence   atomic.Pointer[map[consensus.ID]time.Duration]
	err       error

	// Only the run goroutine uses the following fields.
	founder          *founder
	waiters          map[uint64]waiter
	pendingReads     map[uint64]chan outcome
	readToken        uint64
	learnedAddresses map[consensus.ID]string
	helloLookups     map[string][]chan Hello
	// writingSnapshot is true from the start of a background snapshot write until its result is
	// handled.
	writingSnapshot bool
	snapshotWrites  chan snapshotWrite
	// blocked is the batch for which the disk has no space, nil without one. The core must not be
	// used until it is persisted.
	blocked *consensus.Ready
	// spaceTicks counts the ticks until space on the disk is looked for again.
	spaceTicks int
	// yielded is true once the replica has handed the leadership over because its disk is full.
	yielded bool
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

// open returns a replica that has loaded its data folder but does not run yet.
func open(cfg Config) (*Replica, error) {
	if err := cfg.applyDefaults(); err != nil {
		return nil, err
	}
	began := time.Now()
	s, recovered, err := openStorage(cfg.DataFolder, wal.Options{
		FS: cfg.FS, NewOwner: cfg.newIdentity, SegmentSize: int64(cfg.SnapshotBytes),
		ReserveBytes: int64(cfg.ReserveBytes),
	})
	if err != nil {
		return nil, fmt.Errorf("start replica %s: %w", cfg.Address, err)
	}
	r := &Replica{
		cfg: cfg, storage: s,
		inbox:            newPacketQueue(inboxSize),
		proposals:        newProposalQueue(proposalQueueSize),
		coreCalls:        make(chan coreCall),
		stop:             make(chan struct{}),
		done:             make(chan struct{}),
		waiters:          make(map[uint64]waiter),
		pendingReads:     make(map[uint64]chan outcome),
		learnedAddresses: make(map[consensus.ID]string),
		helloLookups:     make(map[string][]chan Hello),
		snapshotWrites:   make(chan snapshotWrite, 1),
	}
	if err := r.loadState(recovered); err != nil {
		return nil, fmt.Errorf("start replica %s: %w", cfg.Address, errors.Join(err, s.close()))
	}
	r.logOpened(&recovered, time.Since(began))
	r.publish()
	return r, nil
}

// logOpened logs what the data folder held and how long it took to load it.
func (r *Replica) logOpened(recovered *consensus.Recovered, took time.Duration) {
	var index uint64
	var snapshotBytes, entryBytes int
	if s := recovered.Snapshot; s != nil {
		index, snapshotBytes = s.Index, len(s.Data)
	}
	for _, e := range recovered.Entries {
		entryBytes += len(e.Data)
	}
	_ = r.cfg.Logger.Log("event", "replica.opened", "id", r.storage.id, "snapshot", index, "snapshot_bytes", snapshotBytes,
		"entries", len(recovered.Entries), "entry_bytes", entryBytes, "disk_bytes", r.storage.log.DiskBytes(),
		"took_ms", took.Milliseconds())
}

// applyDefaults sets the zero fields to their defaults. It fails if a required field is missing.
func (c *Config) applyDefaults() error {
	if c.DataFolder == "" || c.Address == "" || c.Transport == nil || c.StateMachine == nil {
		return errors.New("replica needs a data folder, an address, a transport and a state machine")
	}
	if c.TickInterval <= 0 {
		c.TickInterval = DefaultTickInterval
	}
	if c.SnapshotThreshold == 0 {
		c.SnapshotThreshold = DefaultSnapshotThreshold
	}
	if c.SnapshotBytes <= 0 {
		c.SnapshotBytes = DefaultSnapshotBytes
	}
	if c.background == nil {
		c.background = func(f func()) { go f() }
	}
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	return nil
}

// loadState creates the core from the recovered state and restores the state machine.
func (r *Replica) loadState(recovered consensus.Recovered) error {
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
		initial, err := r.initialMembers(recovered.State)
		if err != nil {
			return err
		}
		r.founder = newFounder(r.storage.id, r.cfg.Address, initial)
		return nil
	}
	return r.restore(recovered.Snapshot)
}

// initialMembers returns the addresses with which the replica may form a group, if any. A founder
// whose process ends before the group is formed is one after a restart too: the others wait for it.
func (r *Replica) initialMembers(stored consensus.State) ([]string, error) {
	switch {
	case r.storage.discarded:
		return nil, nil // its former group exists
	case len(r.cfg.InitialMembers) == 0:
		return r.storage.founders, nil
	case stored != consensus.State{}:
		return r.cfg.InitialMembers, nil // a term or vote must not be replaced by the founders
	}
	err := r.storage.saveFounders(r.cfg.InitialMembers)
	if errors.Is(err, wal.ErrNoSpace) {
		err = nil // joinGroup needs more space than this, and waits for it
	}
	return r.cfg.InitialMembers, err
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

// receive queues a packet, or drops it if the inbox is full.
func (r *Replica) receive(p Packet) { r.inbox.add(p) }

// Status returns the latest status.
func (r *Replica) Status() Status { return *r.status.Load() }

// Done returns a channel that is closed when the replica has stopped.
func (r *Replica) Done() <-chan struct{} { return r.done }

// Err returns the failure that stopped the replica, or nil. Before Done is closed it
// returns nil.
func (r *Replica) Err() error {
	select {
	case <-r.done:
		return r.err
	default:
		return nil
	}
}

// run is the event loop that owns the core until the replica stops.
func (r *Replica) run() {
	ticker := time.NewTicker(r.cfg.TickInterval)
	defer ticker.Stop()
	for r.err == nil {
		if r.blocked != nil {
			if !r.awaitSpace(ticker.C) {
				return
			}
			continue
		}
		proposals := r.proposals.waiting
		if len(r.waiters) >= maxPendingProposals {
			proposals = nil
		}
		select {
		case <-r.stop:
			r.shutDown()
			return
		case <-ticker.C:
			r.tick()
		case p := <-r.inbox.packets:
			r.handlePackets(p)
		case p := <-proposals:
			r.proposals.release(p.command)
			r.handleProposals(p)
		case c := <-r.coreCalls:
			c.run()
			c.done <- nil
		case w := <-r.snapshotWrites:
			r.finishSnapshotWrite(w)
		}
		r.processBatches()
	}
	r.shutDown()
}

func (r *Replica) shutDown() {
	r.cfg.Transport.Receive(nil)
	if r.writingSnapshot {
		<-r.snapshotWrites
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
	r.lookForSpace()
	if r.founder == nil {
		r.core.Tick()
		r.measureSilence()
		if s := r.core.Status(); s.Commit == foundingIndex && s.Leader == 0 {
			r.announceFounding()
		}
		return
	}
	for _, address := range r.founder.tick() {
		r.sendHello(address, true)
	}
	if members := r.founder.foundingMembers(); members != nil {
		r.joinGroup(members)
	}
}

// measureSilence updates the result of Silence.
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

// Silence returns for how long this replica, as the leader, has not heard from each other
// member, as of the last tick. It is empty on followers. The result must not be changed.
func (r *Replica) Silence() map[consensus.ID]time.Duration {
	if s := r.silence.Load(); s != nil {
		return *s
	}
	return nil
}

// announceFounding sends the founding membership to the other members. It is called on every
// tick until the group has a leader.
func (r *Replica) announceFounding() {
	for _, m := range r.core.Members() {
		if m.Address != r.cfg.Address {
			r.sendHello(m.Address, false)
		}
	}
}

// joinGroup persists the first snapshot of a group with the founding membership and
// reloads the replica from it. Without space on the disk the replica stays a founder, and
// joinGroup is called again for the next Hello or tick.
func (r *Replica) joinGroup(members consensus.Membership) {
	if r.founder.spaceTicks > 0 {
		return
	}
	s := foundingSnapshot(members)
	err := r.storage.saveSnapshot(s, false)
	if errors.Is(err, wal.ErrNoSpace) {
		r.founder.spaceTicks = spaceInterval
		r.giveUpReserve(err)
		return
	}
	if err != nil {
		r.fail(err)
		return
	}
	r.founder = nil
	// A replica without a group has never voted, but may have seen a higher term.
	state := consensus.State{Term: r.core.Status().Term}
	if err := r.loadState(consensus.Recovered{State: state, Snapshot: s}); err != nil {
		r.fail(err)
		return
	}
	_ = r.cfg.Logger.Log("event", "replica.joined", "id", r.storage.id, "group", s.Group)
}

func (r *Replica) handlePackets(p Packet) {
	for i := 0; ; i++ {
		r.inbox.taken(&p)
		r.handlePacket(p)
		if i >= maxInboxBatch {
			return
		}
		select {
		case p = <-r.inbox.packets:
		default:
			return
		}
	}
}

func (r *Replica) handlePacket(p Packet) {
	if p.Hello != nil {
		r.handleHello(p.From, p.Hello)
	}
	if p.Message != nil {
		r.learnedAddresses[p.Message.From] = p.From
		r.core.Step(*p.Message)
	}
}

func (r *Replica) handleHello(from string, h *Hello) {
	for _, reply := range r.helloLookups[from] {
		reply <- *h
	}
	delete(r.helloLookups, from)
	if r.founder != nil {
		if members := r.founder.recordHello(from, h); members != nil {
			r.joinGroup(members)
		} else if r.founder.groupExists && !r.founder.loggedWaiting {
			r.founder.loggedWaiting = true
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

// maxLogShare is the multiple of the size at which a snapshot is due beyond which the log takes
// no commands: writing the snapshot does not keep up with them.
const maxLogShare = 4

// logFull reports whether the log has grown so far beyond the snapshot that is being written
// that further commands must wait.
func (r *Replica) logFull() bool {
	return r.writingSnapshot && r.core.Status().AppliedBytes > maxLogShare*r.snapshotDueBytes()
}

func (r *Replica) handleProposals(p proposal) {
	var batch []proposal
	var commands [][]byte
	for taken, size := 1, 0; ; taken++ {
		if err := r.rejects(p.command); err != nil {
			p.reply <- outcome{err: err}
		} else {
			batch = append(batch, p)
			commands = append(commands, p.command)
			size += len(p.command)
		}
		if taken >= maxProposalBatch || size >= maxProposalBatchBytes {
			break
		}
		select {
		case p = <-r.proposals.waiting:
			r.proposals.release(p.command)
			continue
		default:
		}
		break
	}
	r.propose(batch, commands)
}

// rejects returns why a command cannot be proposed at present, or nil.
func (r *Replica) rejects(command []byte) error {
	switch {
	case r.logFull():
		return consensus.ErrBacklogFull
	case r.storage.log.Full() && len(command) > maxFullDiskCommand:
		return ErrDiskFull
	}
	return nil
}

func (r *Replica) propose(batch []proposal, commands [][]byte) {
	if len(batch) == 0 {
		return
	}
	first, term, err := r.core.Propose(commands...)
	for i, p := range batch {
		if err != nil {
			p.reply <- outcome{err: r.apiError(err)}
			continue
		}
		r.waiters[first+uint64(i)] = waiter{term: term, reply: p.reply}
	}
}

// apiError converts an error of the core into an error of the API: ErrNotLeader and
// ErrTransferring become a *NotLeaderError with the address of the leader, if known.
func (r *Replica) apiError(err error) error {
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
	return r.learnedAddresses[id]
}

// coreCall is a function to be run on the goroutine that owns the core. done receives nil once it
// has run, or why it does not run.
type coreCall struct {
	run  func()
	done chan error
}

// runOnCore runs f on the goroutine that owns the core, and waits for it. It fails without
// running f if ctx ends or the replica stops first, and with a *NotLeaderError while the disk has no
// space for what the core has to persist.
func (r *Replica) runOnCore(ctx context.Context, f func()) error {
	done := make(chan error, 1)
	select {
	case r.coreCalls <- coreCall{run: f, done: done}:
		return <-done
	case <-ctx.Done():
		return ctx.Err()
	case <-r.done:
		return ErrStopped
	}
}
