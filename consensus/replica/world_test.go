package replica

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"toucantiller.dev/consensus"
	"toucantiller.dev/wal/faultfs"
)

const pieceBytes = 40

// simulation runs replicas in one goroutine. choose makes every random choice, so that a
// schedule is reproducible from its choices.
type simulation struct {
	choose  func(n int) int
	nodes   []*host
	packets []addressedPacket
	// partitioned[i][j] is true while packets from i to j are lost.
	partitioned [][]bool
	nextID      uint64
	// lostIDs holds the replica IDs whose disk was lost.
	lostIDs    map[consensus.ID]bool
	check      checker
	calls      []*clientCall
	writeCount int
}

type addressedPacket struct {
	to     string
	packet Packet
}

// host is a machine with a disk on which a replica may be running.
type host struct {
	simulation *simulation
	number     int
	address    string
	disk       *faultfs.FS
	replica    *Replica
	applied    []appliedCommand
	// tasks are the replica's pending background writes.
	tasks []func()
	// slow is true while the host's clock runs at an eighth of the normal rate, so that a
	// leader that was replaced notices it late.
	slow bool
}

type appliedCommand struct {
	Index   uint64
	Command string
}

// clientCall is a pending proposal or read of a client. minIndex is the value of
// checker.highestAnswered when it started.
type clientCall struct {
	host     *host
	read     bool
	name     string
	minIndex uint64
	reply    chan outcome
}

func address(i int) string { return fmt.Sprintf("host-%d", i) }

func newSimulation(size int, choose func(int) int) *simulation {
	w := &simulation{choose: choose, lostIDs: map[consensus.ID]bool{}, check: newChecker()}
	for i := range size {
		w.nodes = append(w.nodes, &host{
			simulation: w, number: i, address: address(i), disk: faultfs.New(uint64(choose(1 << 30))),
		})
		w.partitioned = append(w.partitioned, make([]bool, size))
	}
	for _, h := range w.nodes {
		h.start()
	}
	return w
}

// Apply records a command and returns its index in decimal. The state is the list of commands.
func (h *host) Apply(index uint64, command []byte) []byte {
	h.applied = append(h.applied, appliedCommand{index, string(command)})
	return fmt.Appendf(nil, "%d", index)
}

// Snapshot returns the encoded state. Hosts encode the same state differently, as a state
// machine that contains maps may do.
func (h *host) Snapshot() ([]byte, error) {
	data, err := json.Marshal(h.applied)
	return append(bytes.Repeat([]byte(" "), h.number), data...), err
}

// Restore replaces the state.
func (h *host) Restore(snapshot []byte) error {
	h.applied = nil
	return json.Unmarshal(snapshot, &h.applied)
}

// Send adds a packet to those in transit.
func (h *host) Send(to string, p Packet) {
	if m := p.Message; m != nil && m.Piece != nil && len(m.Piece.Data) > pieceBytes {
		h.simulation.check.fail("piece of %d bytes", len(m.Piece.Data))
	}
	h.simulation.packets = append(h.simulation.packets, addressedPacket{to, p})
}

// Receive does nothing, since the simulation delivers packets itself.
func (h *host) Receive(func(Packet)) {}

func (h *host) start() {
	w := h.simulation
	var initial []string
	for _, n := range w.nodes {
		initial = append(initial, n.address)
	}
	h.applied, h.tasks = nil, nil
	r, err := open(Config{
		DataFolder: "/data", Address: h.address, InitialMembers: initial, Transport: h, StateMachine: h,
		FS: h.disk, SnapshotThreshold: 8, ReserveBytes: 300,
		core: consensus.Config{
			AppendBytes: 24, Window: 6, PieceBytes: pieceBytes, Trailing: 4, CatchUpLag: 4, ElectionTicks: 5,
			Seed: uint64(w.choose(1<<30)) + 1,
		},
		background:  func(f func()) { h.tasks = append(h.tasks, f) },
		newIdentity: func() uint64 { w.nextID++; return w.nextID },
	})
	if err != nil {
		h.handleDiskFailure(err)
		return
	}
	h.replica = r
}

// handleDiskFailure handles a replica that stopped with an error. Any error other than a
// simulated crash is a fault of the code, except that a replica may not start on a full disk.
func (h *host) handleDiskFailure(err error) {
	if !errors.Is(err, faultfs.ErrCrashed) && !errors.Is(err, faultfs.ErrFull) {
		h.simulation.check.fail("host %d: %v", h.number, err)
	}
	h.crash()
}

// crash ends the process; at random, the machine crashes too.
func (h *host) crash() {
	h.replica = nil
	if h.simulation.choose(2) == 0 {
		h.disk.Kill()
	} else {
		h.disk.Restart()
	}
}

// run applies an event to the replica, carries out the resulting batches and checks the
// invariants.
func (h *host) run(event func(r *Replica)) {
	r := h.replica
	if r == nil {
		return
	}
	if r.blocked != nil {
		h.simulation.check.blocked++
		r.retryBlocked()
	} else {
		event(r)
		r.processBatches()
	}
	if r.err != nil {
		// Commands applied before the crash were committed and may have been acknowledged.
		h.simulation.check.checkApplied(h, r.core.Status().Applied)
		h.handleDiskFailure(r.err)
		return
	}
	h.simulation.check.checkHost(h)
}

// runTasks completes the pending background writes.
func (h *host) runTasks() {
	if h.replica == nil || len(h.tasks) == 0 {
		return
	}
	for _, task := range h.tasks {
		task()
	}
	h.tasks = nil
	h.replica.finishSnapshotWrite(<-h.replica.snapshotWrites)
	h.run(func(*Replica) {})
}

func (w *simulation) pick() *host { return w.nodes[w.choose(len(w.nodes))] }

func (w *simulation) hostOf(to string) *host {
	i := slices.IndexFunc(w.nodes, func(h *host) bool { return h.address == to })
	return w.nodes[i]
}

// deliver delivers the oldest packet in transit. If faulty, it takes a random one instead,
// which it may lose or duplicate.
func (w *simulation) deliver(faulty bool) {
	if len(w.packets) == 0 {
		return
	}
	i := 0
	if faulty {
		i = w.choose(len(w.packets))
	}
	p := w.packets[i]
	copied, lost := faulty && w.choose(20) == 0, faulty && w.choose(20) == 0
	if !copied {
		w.packets = slices.Delete(w.packets, i, i+1)
	}
	to := w.hostOf(p.to)
	if !lost && !w.partitioned[w.hostOf(p.packet.From).number][to.number] {
		to.run(func(r *Replica) { r.handlePacket(p.packet) })
	}
}

// randomEvent performs one random event of a schedule.
func (w *simulation) randomEvent() {
	h := w.pick()
	switch n := w.choose(206); {
	case n < 10:
		h.runTasks()
	case n < 60:
		if !h.slow || w.choose(8) == 0 {
			h.run((*Replica).tick)
		}
	case n < 150:
		for range 3 {
			w.deliver(true)
		}
	case n < 164:
		w.propose(w.target(h))
	case n < 172:
		w.read(w.target(h))
	case n < 180:
		w.changeMembers(w.target(h))
	case n < 183:
		to := w.pick()
		w.partitioned[h.number][to.number] = !w.partitioned[h.number][to.number]
	case n < 186:
		for i := range w.partitioned {
			clear(w.partitioned[i])
		}
	case n < 189:
		h.disk.CrashAt(1 + w.choose(12))
	case n < 191:
		if h.replica != nil {
			h.crash()
		}
	case n < 194:
		w.loseDisk(h)
	case n < 195:
		h.slow = !h.slow
	case n < 197 && h.replica != nil:
		h.run(func(r *Replica) { _ = r.core.TransferLeadership(0) })
	case n < 200:
		if h.replica == nil {
			h.start()
		}
	case n < 203:
		h.disk.SetCapacity(h.disk.Used() + 1 + w.choose(200))
	default:
		h.disk.SetCapacity(0)
	}
	w.answerCalls()
}

// target returns a leader three times out of four, if there is one, and h otherwise.
func (w *simulation) target(h *host) *host {
	if w.choose(4) == 0 {
		return h
	}
	for i := range w.nodes {
		n := w.nodes[(h.number+i)%len(w.nodes)]
		if n.replica != nil && n.replica.Status().IsLeader {
			return n
		}
	}
	return h
}

// runUntilElection runs without faults until a leader is elected.
func (w *simulation) runUntilElection() {
	for w.check.elections == 0 && w.check.err == nil {
		for _, h := range w.nodes {
			h.run((*Replica).tick)
		}
		for n := len(w.packets); n > 0; n-- {
			w.deliver(false)
		}
	}
}

func (w *simulation) propose(h *host) {
	if h.replica == nil {
		return
	}
	w.writeCount++
	c := &clientCall{
		host: h, name: fmt.Sprintf("w%d", w.writeCount), minIndex: w.check.highestAnswered,
		reply: make(chan outcome, 1),
	}
	w.calls = append(w.calls, c)
	h.run(func(r *Replica) { r.handleProposals(proposal{command: []byte(c.name), reply: c.reply}) })
}

func (w *simulation) read(h *host) {
	c := &clientCall{host: h, read: true, minIndex: w.check.highestAnswered, reply: make(chan outcome, 1)}
	h.run(func(r *Replica) {
		r.readToken++
		if r.core.ReadIndex(r.readToken) == nil {
			r.pendingReads[r.readToken] = c.reply
			w.calls = append(w.calls, c)
		}
	})
}

// answerCalls checks the calls that have an answer. After each answered write it reads from
// every leader, since a replaced one does not know of the write and must not answer.
func (w *simulation) answerCalls() {
	wrote := false
	w.calls = slices.DeleteFunc(w.calls, func(c *clientCall) bool {
		select {
		case o := <-c.reply:
			w.check.checkAnswer(c, o)
			wrote = wrote || (!c.read && o.err == nil)
			return true
		default:
			return false
		}
	})
	for _, h := range w.nodes {
		if wrote && h.replica != nil && h.replica.Status().IsLeader {
			w.read(h)
		}
	}
}

// changeMembers performs one step of a membership change, as an operator would: it adds or
// promotes the replica of a random host, removes the former identity of a lost disk, or
// removes a voter at random.
func (w *simulation) changeMembers(h *host) {
	h.run(func(r *Replica) {
		core := r.core
		if core.Status().Role != consensus.Leader {
			return
		}
		target := w.pick()
		if target.replica == nil {
			return
		}
		id := target.replica.storage.id
		member, known := core.Members().Find(id)
		switch {
		case !known:
			_, _, _ = core.AddLearner(consensus.Member{ID: id, Address: target.address})
		case member.Learner && core.CaughtUp(id):
			if old, ok := otherMemberAtAddress(core.Members(), member); ok {
				_, _, _ = core.Remove(old)
				return
			}
			_, _, _ = core.Promote(id)
		case !member.Learner && core.Members().Voters() > 2 && len(w.lostMembers()) == 0 && w.choose(3) == 0:
			_, _, _ = core.Remove(id)
		}
	})
}

// lostMembers returns the IDs with a lost disk that are still members in the view of some
// replica.
func (w *simulation) lostMembers() []consensus.ID {
	var out []consensus.ID
	for _, h := range w.nodes {
		if h.replica == nil {
			continue
		}
		for _, m := range h.replica.core.Members() {
			if w.lostIDs[m.ID] {
				out = append(out, m.ID)
			}
		}
	}
	return out
}

// loseDisk replaces a disk by an empty one if the group can tolerate the loss: every replica
// runs and has the same committed membership, of at least three voters and without a lost
// disk.
func (w *simulation) loseDisk(h *host) {
	for _, n := range w.nodes {
		if n.replica == nil || n.replica.founder != nil {
			return
		}
		core := n.replica.core
		index := core.MembersIndex()
		if index != w.nodes[0].replica.core.MembersIndex() || index > core.Status().Commit {
			return
		}
	}
	if len(w.lostMembers()) > 0 || w.nodes[0].replica.core.Members().Voters() < 3 {
		return
	}
	w.lostIDs[h.replica.storage.id] = true
	h.disk = faultfs.New(uint64(w.choose(1 << 30)))
	h.replica = nil
	h.start()
	w.check.losses++
}

// healAndCheck ends all faults, replaces the members with lost disks and checks that the
// group accepts writes again and that every voter holds every acknowledged command.
func (w *simulation) healAndCheck() {
	for i := range w.partitioned {
		clear(w.partitioned[i])
	}
	w.packets = nil
	for round := range 3000 {
		for _, h := range w.nodes {
			h.disk.CrashAt(0)
			h.disk.SetCapacity(0)
			if h.replica == nil {
				h.start()
			}
			h.run((*Replica).tick)
			h.runTasks()
			if round%2 == 0 {
				w.changeMembers(h)
			}
		}
		for n := len(w.packets); n > 0; n-- {
			w.deliver(false)
		}
		w.answerCalls()
		if w.check.err != nil || w.recovered() {
			return
		}
		if round%10 == 0 {
			w.propose(w.pick())
		}
	}
	w.check.fail("the group does not work again after all faults ended:%s", w.describe())
}

// describe returns the status and the members of every running replica.
func (w *simulation) describe() string {
	out := ""
	for _, h := range w.nodes {
		if h.replica != nil {
			out += fmt.Sprintf("\n%+v members %v", h.replica.core.Status(), h.replica.core.Members())
		}
	}
	return out
}

// recovered reports whether all hosts run, one leads and all voters have applied everything
// that was committed. If so, it checks the acknowledged commands of each voter.
func (w *simulation) recovered() bool {
	if len(w.lostMembers()) > 0 || w.check.highestAnswered == 0 {
		return false
	}
	leaders, voters, top := 0, 0, uint64(len(w.check.committed))
	for _, h := range w.nodes {
		if h.replica == nil {
			return false
		}
		s := h.replica.core.Status()
		if s.Role == consensus.Leader && s.Commit == s.Last {
			leaders++
		}
		if !h.replica.core.Members().IsVoter(s.ID) {
			continue
		}
		voters++
		if s.Applied != top-1 {
			return false
		}
	}
	if leaders != 1 || voters < 2 {
		return false
	}
	for _, h := range w.nodes {
		if h.replica.core.Members().IsVoter(h.replica.storage.id) {
			w.check.checkAcknowledged(h)
		}
	}
	return true
}
