package distribution

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"toucantiller.dev/control/api"
	"toucantiller.dev/instance"
	"toucantiller.dev/link"
	"toucantiller.dev/timeline"
)

// Timing of subscribers.
const (
	// pollWait is two beacon intervals: a relay that is not cut off answers before it ends.
	pollWait = 2 * BeaconInterval
	// pollTimeout bounds a call, so that a silent relay leaves time to find another
	// within the 3 s in which a drained domain must get no new work.
	pollTimeout = pollWait + 250*time.Millisecond
	// staleParent is the age of the last beacon at which a subscriber tries another relay.
	staleParent = 3 * BeaconInterval
	// failedLeader is how long a leader that failed is not called again; it is the time in
	// which another is elected.
	failedLeader = 2 * time.Second
	// retryDelay is the mean pause after every candidate failed; it doubles with every
	// second failure up to 2^maxDoublings times, so that processes without control do not
	// flood it, but are not slow after an election either.
	retryDelay   = 200 * time.Millisecond
	maxDoublings = 3
	// firstDelay is the mean pause of a process that has no configuration yet, for the first
	// firstTries failures: it can serve nobody, and control is often a moment from ready when
	// everything starts at once.
	firstDelay = 60 * time.Millisecond
	firstTries = 30
	// preferredRetry is how long a subscriber stays with a fallback.
	preferredRetry = 10 * time.Second
)

// SubscriberOptions configures a Subscriber.
type SubscriberOptions struct {
	Network link.Network
	Holder  *Holder
	Self    instance.Instance
	// Control lists the addresses of the control replicas.
	Control  []string
	Recorder *timeline.Recorder
}

// Subscriber keeps a Holder up to date from a relay or a control replica.
type Subscriber struct {
	opts    SubscriberOptions
	clients map[string]*link.Client
	leader  string
	// seeds are the control replicas known from the settings.
	seeds []string
	// failed holds when addresses failed.
	failed map[string]time.Time
	parent atomic.Pointer[string]

	// relays and peers are derived from directory.
	directory *api.Directory
	relays    []string
	peers     []string
}

// candidate is one address that a subscriber may follow.
type candidate struct {
	address string
	control bool
}

// NewSubscriber returns a subscriber; call Run.
func NewSubscriber(opts SubscriberOptions) *Subscriber {
	return &Subscriber{opts: opts, seeds: opts.Control, clients: make(map[string]*link.Client), failed: make(map[string]time.Time)}
}

// Parent returns the address that the subscriber follows at present.
func (s *Subscriber) Parent() string {
	if p := s.parent.Load(); p != nil {
		return *p
	}
	return ""
}

// Run follows relays until ctx ends.
func (s *Subscriber) Run(ctx context.Context) {
	defer s.closeClients()
	failures := 0
	for ctx.Err() == nil {
		if s.round(ctx) {
			failures = 0
			continue
		}
		s.pause(ctx, failures)
		failures++
	}
}

// round tries each candidate once. It returns true as soon as the choice should be made
// anew: follow says so, or the list was made from an older directory. The first list of
// a process has control replicas only; once one of them has given it a directory, the
// peers named there come before the other replicas.
func (s *Subscriber) round(ctx context.Context) bool {
	listed := s.opts.Holder.Directory()
	changed := func() bool { return s.opts.Holder.Directory() != listed }
	search := contact{s: s, waiting: s.candidates()}
	for {
		c, found := search.find(ctx, changed)
		if !found {
			return changed()
		}
		if s.follow(ctx, c) || changed() {
			return true
		}
	}
}

// candidates lists the relays of the process's place in the tree, then control and
// other processes by turns: a process cut off from every control replica would else
// wait for each of them before it asks a peer. Once a replica has failed, a peer is next.
func (s *Subscriber) candidates() []candidate {
	s.derive()
	var out []candidate
	for _, address := range s.relays {
		out = append(out, candidate{address: address})
	}
	var control, peers []candidate
	for _, address := range s.controlOrder() {
		control = append(control, candidate{address: address, control: true})
	}
	for _, address := range s.peers {
		if !slices.Contains(s.relays, address) {
			peers = append(peers, candidate{address: address})
		}
	}
	if slices.ContainsFunc(s.opts.Control, s.failedLately) {
		out = append(out, byTurns(peers, control)...)
	} else {
		out = append(out, byTurns(control, peers)...)
	}
	// What failed a moment ago is tried last.
	slices.SortStableFunc(out, func(a, b candidate) int {
		return cmp.Compare(s.penalty(a.address), s.penalty(b.address))
	})
	return out
}

// byTurns takes one of a, one of b, and so on.
func byTurns(a, b []candidate) []candidate {
	out := make([]candidate, 0, len(a)+len(b))
	for i := range max(len(a), len(b)) {
		if i < len(a) {
			out = append(out, a[i])
		}
		if i < len(b) {
			out = append(out, b[i])
		}
	}
	return out
}

func (s *Subscriber) penalty(address string) int {
	if s.failedLately(address) {
		return 1
	}
	return 0
}

// controlOrder lists the control replicas, the leader first.
func (s *Subscriber) controlOrder() []string {
	var out []string
	if s.leader != "" {
		out = append(out, s.leader)
	}
	for _, i := range rand.Perm(len(s.opts.Control)) {
		if address := s.opts.Control[i]; address != s.leader {
			out = append(out, address)
		}
	}
	return out
}

// derive finds the process's place in the tree once for each directory.
func (s *Subscriber) derive() {
	d := s.opts.Holder.Directory()
	if d == s.directory {
		return
	}
	s.directory = d
	if d != nil && len(d.Control) > 0 {
		s.opts.Control = WithSeeds(d.Control, s.seeds)
	}
	s.relays = Parents(d, s.opts.Self)
	s.peers = Peers(d, s.opts.Self)
}

// follow polls a candidate that gave a fresh view until it fails or its beacons are
// stale. It returns true when the choice should be made anew: the candidate was followed
// or silent before it failed, it is not the control leader any more, the directory gives
// the process another parent, or a fallback has been followed for preferredRetry.
func (s *Subscriber) follow(ctx context.Context, c candidate) bool {
	start := time.Now()
	preferred := s.preferred(c)
	s.follows(c.address)
	followed := false
	for ctx.Err() == nil {
		leader, err := s.newCall(c, pollWait)(ctx)
		if !s.usable(answer{from: c, leader: leader, err: err}) {
			// Candidates that failed before may answer after a call that took its time.
			return followed || leader != "" || time.Since(start) >= contactDelay
		}
		followed = true
		if now := s.preferred(c); now != preferred {
			return true
		}
		if !preferred && time.Since(start) > preferredRetry {
			return true
		}
	}
	return false
}

// newCall returns a call that takes over a candidate's view, for which the candidate may
// wait, and tells the leader that a follower named instead. The call may run
// concurrently with others.
func (s *Subscriber) newCall(c candidate, wait time.Duration) func(context.Context) (leader string, err error) {
	method := ServiceName + ".Subscribe"
	if c.control {
		method = "Control.Subscribe"
	}
	client := s.client(c.address)
	in := s.opts.Holder.position(wait)
	in.Instance = s.opts.Self.ID
	return func(ctx context.Context) (string, error) {
		ctx, cancel := context.WithTimeout(ctx, pollTimeout)
		defer cancel()
		view, err := s.opts.Holder.pull(ctx, client, method, in)
		if err != nil {
			return "", err
		}
		return view.Leader, nil
	}
}

// usable reports whether an answer makes its candidate one to follow, and notes a
// candidate that failed or is stale.
func (s *Subscriber) usable(a answer) bool {
	switch {
	case a.err != nil:
		if a.from.address == s.leader {
			s.leader = ""
		}
		s.failed[a.from.address] = time.Now()
		return false
	case a.leader != "":
		return false
	case !s.fresh():
		s.failed[a.from.address] = time.Now()
		return false
	}
	return true
}

// failedLately reports whether an address failed a moment ago. Followers name a dead
// leader until they elect another; calling it again would cost a timeout.
func (s *Subscriber) failedLately(address string) bool {
	at, ok := s.failed[address]
	if ok && time.Since(at) >= failedLeader {
		delete(s.failed, address)
		return false
	}
	return ok
}

func (s *Subscriber) fresh() bool { return s.opts.Holder.Freshness(time.Now()) < staleParent }

// preferred reports whether a candidate is the process's parent in the tree.
func (s *Subscriber) preferred(c candidate) bool {
	s.derive()
	if len(s.relays) == 0 {
		return c.control
	}
	return s.relays[0] == c.address
}

func (s *Subscriber) follows(address string) {
	if s.Parent() == address {
		return
	}
	s.parent.Store(&address)
	// Connections to addresses that are not followed would be probed for nothing.
	for other, c := range s.clients {
		if other != address {
			c.Close()
			delete(s.clients, other)
		}
	}
	s.opts.Recorder.Record(timeline.Event{Kind: "subscription.moved", Detail: address})
}

func (s *Subscriber) client(address string) *link.Client {
	c, ok := s.clients[address]
	if !ok {
		c = link.NewClient(s.opts.Network, address)
		s.clients[address] = c
	}
	return c
}

func (s *Subscriber) closeClients() {
	for _, c := range s.clients {
		c.Close()
	}
}

func (s *Subscriber) pause(ctx context.Context, failures int) {
	mean := retryDelay << min(failures/2, maxDoublings)
	if s.opts.Holder.Config() == nil && failures < firstTries {
		mean = firstDelay
	}
	t := time.NewTimer(mean/2 + rand.N(mean))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
