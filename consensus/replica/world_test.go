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

// world runs replicas without goroutines. A chooser decides about every event, so that a
// schedule is reproducible.
type world struct {
	choose  func(n int) int
	nodes   []*host
	packets []addressed
	// cut[i][j] is true while packets from i to j are lost.
	cut    [][]bool
	nextID uint64
	// spoiled holds identities whose disk was lost.
	spoiled map[consensus.ID]bool
	check   checker
	calls   []*call
	written int
}

type addressed struct {
	to     string
	packet Packet
}

// host is an instance with a disk that may run a replica.
type host struct {
	world   *world
	number  int
	address string
	disk    *faultfs.FS
	replica *Replica
	applied []appliedCommand
	// tasks run in the background of the replica.
	tasks []func()
	// slow is true while the clock of the host runs at an eighth of its rate, so that a leader
	// that was replaced notices it late.
	slow bool
}

type appliedCommand struct {
	Index   uint64
	Command string
}

// call is a pending call of a client.
type call struct {
	host  *host
	read  bool
	name  string
	floor uint64
	reply chan outcome
}

func address(i int) string { return fmt.Sprintf("host-%d", i) }

func newWorld(size int, choose func(int) int) *world {
	w := &world{choose: choose, spoiled: map[consensus.ID]bool{}, check: newChecker()}
	for i := range size {
		w.nodes = append(w.nodes, &host{
			world: w, number: i, address: address(i), disk: faultfs.New(uint64(choose(1 << 30))),
		})
		w.cut = append(w.cut, make([]bool, size))
	}
	for _, h := range w.nodes {
		h.start()
	}
	return w
}

// Apply records a command; the state is the list of commands.
func (h *host) Apply(index uint64, command []byte) []byte {
	h.applied = append(h.applied, appliedCommand{index, string(command)})
	return fmt.Appendf(nil, "%d", index)
}

// Snapshot returns the state. Hosts encode the same state differently, as a state machine
// with maps may do.
func (h *host) Snapshot() ([]byte, error) {
	data, err := json.Marshal(h.applied)
	return append(bytes.Repeat([]byte(" "), h.number), data...), err
}

// Restore replaces the state.
func (h *host) Restore(snapshot []byte) error {
	h.applied = nil
	return json.Unmarshal(snapshot, &h.applied)
}

// Send puts a packet on its way.
func (h *host) Send(to string, p Packet) {
	if m := p.Message; m != nil && m.Piece != nil && len(m.Piece.Data) > pieceBytes {
		h.world.check.fail("piece of %d bytes", len(m.Piece.Data))
	}
	h.world.packets = append(h.world.packets, addressed{to, p})
}

// Receive is not used: the world delivers.
func (h *host) Receive(func(Packet)) {}

func (h *host) start() {
	w := h.world
	var initial []string
	for _, n := range w.nodes {
		initial = append(initial, n.address)
	}
	h.applied, h.tasks = nil, nil
	r, err := open(Config{
		DataFolder: "/data", Address: h.address, InitialMembers: initial, Transport: h, StateMachine: h,
		FS: h.disk, SnapshotThreshold: 8,
		core: consensus.Config{
			AppendBytes: 24, Window: 6, PieceBytes: pieceBytes, Trailing: 4, CatchUpLag: 4, ElectionTicks: 5,
			Seed: uint64(w.choose(1<<30)) + 1,
		},
		background:  func(f func()) { h.tasks = append(h.tasks, f) },
		newIdentity: func() uint64 { w.nextID++; return w.nextID },
	})
	if err != nil {
		h.stopped(err)
		return
	}
	h.replica = r
}

// stopped handles a replica whose disk gave up. Any error but a crash is a fault of the code.
func (h *host) stopped(err error) {
	if !errors.Is(err, faultfs.ErrCrashed) {
		h.world.check.fail("host %d: %v", h.number, err)
	}
	h.crash()
}

// crash ends the process, and the machine with it or not.
func (h *host) crash() {
	h.replica = nil
	if h.world.choose(2) == 0 {
		h.disk.Kill()
	} else {
		h.disk.Restart()
	}
}

// run carries out what an event caused, and checks the result.
func (h *host) run(event func(r *Replica)) {
	r := h.replica
	if r == nil {
		return
	}
	event(r)
	r.process()
	if r.err != nil {
		// What was applied before the crash was committed and may have been acknowledged.
		h.world.check.agrees(h, r.core.Status().Applied)
		h.stopped(r.err)
		return
	}
	h.world.check.observe(h)
}

// runTasks completes the work in the background.
func (h *host) runTasks() {
	if h.replica == nil || len(h.tasks) == 0 {
		return
	}
	for _, task := range h.tasks {
		task()
	}
	h.tasks = nil
	h.run(func(r *Replica) { r.takeWritten(<-r.written) })
}

func (w *world) pick() *host { return w.nodes[w.choose(len(w.nodes))] }

func (w *world) hostOf(to string) *host {
	i := slices.IndexFunc(w.nodes, func(h *host) bool { return h.address == to })
	return w.nodes[i]
}

// deliver takes any packet on its way; it may lose it or leave a copy behind.
func (w *world) deliver(faulty bool) {
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
	if !lost && !w.cut[w.hostOf(p.packet.From).number][to.number] {
		to.run(func(r *Replica) { r.take(p.packet) })
	}
}

// act is one event of a schedule.
func (w *world) act() {
	h := w.pick()
	switch n := w.choose(200); {
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
		w.cut[h.number][to.number] = !w.cut[h.number][to.number]
	case n < 186:
		for i := range w.cut {
			clear(w.cut[i])
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
	default:
		if h.replica == nil {
			h.start()
		}
	}
	w.answerCalls()
}

// target returns a leader for most calls, else h.
func (w *world) target(h *host) *host {
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

// warmUp runs without faults until a leader is elected.
func (w *world) warmUp() {
	for w.check.elections == 0 && w.check.err == nil {
		for _, h := range w.nodes {
			h.run((*Replica).tick)
		}
		for n := len(w.packets); n > 0; n-- {
			w.deliver(false)
		}
	}
}

func (w *world) propose(h *host) {
	if h.replica == nil {
		return
	}
	w.written++
	c := &call{host: h, name: fmt.Sprintf("w%d", w.written), floor: w.check.floor, reply: make(chan outcome, 1)}
	w.calls = append(w.calls, c)
	h.run(func(r *Replica) { r.takeProposals(proposal{command: []byte(c.name), reply: c.reply}) })
}

func (w *world) read(h *host) {
	c := &call{host: h, read: true, floor: w.check.floor, reply: make(chan outcome, 1)}
	h.run(func(r *Replica) {
		r.readToken++
		if r.core.ReadIndex(r.readToken) == nil {
			r.reads[r.readToken] = c.reply
			w.calls = append(w.calls, c)
		}
	})
}

// answerCalls checks the calls that ended. After each answered write it reads from every
// leader, since one that was replaced does not know of the write.
func (w *world) answerCalls() {
	wrote := false
	w.calls = slices.DeleteFunc(w.calls, func(c *call) bool {
		select {
		case o := <-c.reply:
			w.check.answered(c, o)
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

// changeMembers lets an operator take the next step of a change: replace the identity of
// a lost disk, or else remove, add and promote at random.
func (w *world) changeMembers(h *host) {
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
			if old, ok := sharesAddress(core.Members(), member); ok {
				_, _, _ = core.Remove(old)
				return
			}
			_, _, _ = core.Promote(id)
		case !member.Learner && core.Members().Voters() > 2 && len(w.lost()) == 0 && w.choose(3) == 0:
			_, _, _ = core.Remove(id)
		}
	})
}

// lost returns the members whose disk is lost and that no replica has removed yet.
func (w *world) lost() []consensus.ID {
	var out []consensus.ID
	for _, h := range w.nodes {
		if h.replica == nil {
			continue
		}
		for _, m := range h.replica.core.Members() {
			if w.spoiled[m.ID] {
				out = append(out, m.ID)
			}
		}
	}
	return out
}

// loseDisk replaces a disk by an empty one if the group can bear it: every replica runs
// and holds the same committed membership of at least three voters without a lost one.
func (w *world) loseDisk(h *host) {
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
	if len(w.lost()) > 0 || w.nodes[0].replica.core.Members().Voters() < 3 {
		return
	}
	w.spoiled[h.replica.storage.id] = true
	h.disk = faultfs.New(uint64(w.choose(1 << 30)))
	h.replica = nil
	h.start()
	w.check.losses++
}

// heal ends all faults, repairs lost disks and checks that the group works again and
// that every acknowledged command is on every voter.
func (w *world) heal() {
	for i := range w.cut {
		clear(w.cut[i])
	}
	w.packets = nil
	for round := range 3000 {
		for _, h := range w.nodes {
			h.disk.CrashAt(0)
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
		if w.check.err != nil || w.settled() {
			return
		}
		if round%10 == 0 {
			w.propose(w.pick())
		}
	}
	w.check.fail("the group does not work again after all faults ended:%s", w.describe())
}

// describe lists the state of the hosts.
func (w *world) describe() string {
	out := ""
	for _, h := range w.nodes {
		if h.replica != nil {
			out += fmt.Sprintf("\n%+v members %v", h.replica.core.Status(), h.replica.core.Members())
		}
	}
	return out
}

// settled reports whether all voters run and applied everything that was committed.
func (w *world) settled() bool {
	if len(w.lost()) > 0 || w.check.floor == 0 {
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
			w.check.holdsAcknowledged(h)
		}
	}
	return true
}
