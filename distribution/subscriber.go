package distribution

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"toucantiller.dev/control/api"
	"toucantiller.dev/instance"
	"toucantiller.dev/link"
	"toucantiller.dev/timeline"
)

// Timing of subscribers.
const (
	// pollWait is how long a relay may hold a call. A relay with a connection to control gets
	// a beacon within two intervals and answers earlier.
	pollWait = 2 * BeaconInterval
	// minPollWait keeps a subscriber with an old beacon from polling without a pause.
	minPollWait = 50 * time.Millisecond
	// pollMargin is what a call may take beyond the time for which it is held.
	pollMargin = 250 * time.Millisecond
	// pollTimeout bounds a call, so that a subscriber of an unresponsive relay can find
	// another within the 2 s after which a change must be in force.
	pollTimeout = pollWait + pollMargin
	// maxBeaconAge is the age of the last beacon at which a subscriber tries another relay.
	maxBeaconAge = 5 * BeaconInterval / 2
	// failureRetention is how long a failed address is tried after all others and not called
	// on a redirect. It is the time in which control elects another leader.
	failureRetention = 2 * time.Second
	// retryDelay is the mean pause after every candidate failed. It doubles with every
	// second failure, at most maxDoublings times: processes that cannot reach control must
	// not overload it, but must reconnect quickly after an election.
	retryDelay   = 200 * time.Millisecond
	maxDoublings = 3
	// startupRetryDelay is the mean pause of a process that has no configuration yet, for the
	// first startupRetries failures. Such a process can serve no request, and control is
	// often almost ready when all processes start at once.
	startupRetryDelay = 60 * time.Millisecond
	startupRetries    = 30
	// startupCallTimeout bounds a call of a process that has no configuration yet. A connection to
	// an instance that is about to start hangs for seconds, because its opening packet is lost.
	startupCallTimeout = 300 * time.Millisecond
	// maxFallbackTime is how long a subscriber follows another relay than its parent in the
	// tree before it tries the parent again.
	maxFallbackTime = 10 * time.Second
)

// SubscriberOptions configures a Subscriber.
type SubscriberOptions struct {
	Network link.Network
	Holder  *Holder
	Self    instance.Instance
	// Control lists the addresses of the control replicas.
	Control  []string
	Recorder *timeline.Recorder
	// Logger gets a line for each change of the followed address; nil discards it.
	Logger log.Logger
}

// departure is the reason for which a subscriber stops following an address.
type departure string

// Departures.
const (
	departureFailed   departure = "failed"
	departureStale    departure = "stale"
	departureRedirect departure = "redirected"
	departureLoop     departure = "loop"
	departureMoved    departure = "parent changed"
	departureFallback departure = "fallback expired"
)

// Subscriber keeps a Holder up to date from a relay or a control replica.
type Subscriber struct {
	opts    SubscriberOptions
	clients map[string]*link.Client
	leader  string
	// seeds are the addresses of control replicas from the settings.
	seeds []string
	// failed holds the time of the last failure by address.
	failed map[string]time.Time
	parent atomic.Pointer[string]
	// departure is why the latest parent was left.
	departure departure

	// relays and peers are the results of Parents and Peers for directory.
	directory *api.Directory
	relays    []string
	peers     []string
}

// candidate is one address that a subscriber may follow.
type candidate struct {
	address string
	control bool
}

// NewSubscriber returns a subscriber; call Run to start it.
func NewSubscriber(opts SubscriberOptions) *Subscriber {
	if opts.Logger == nil {
		opts.Logger = log.NewNopLogger()
	}
	return &Subscriber{opts: opts, seeds: opts.Control, clients: make(map[string]*link.Client), failed: make(map[string]time.Time)}
}

// Parent returns the address that the subscriber follows, empty before the first.
func (s *Subscriber) Parent() string {
	if p := s.parent.Load(); p != nil {
		return *p
	}
	return ""
}

// Run follows relays or control replicas until ctx ends.
func (s *Subscriber) Run(ctx context.Context) {
	defer s.closeClients()
	failures := 0
	for ctx.Err() == nil {
		if s.tryCandidates(ctx) {
			failures = 0
			continue
		}
		s.waitToRetry(ctx, failures)
		failures++
	}
}

// tryCandidates tries each candidate once. It returns true when the candidates should be
// listed again without a pause: follow asks for it, or the directory has changed. The first
// list of a process has control replicas only; once a replica has sent a directory, the
// peers in it come before the other replicas.
func (s *Subscriber) tryCandidates(ctx context.Context) bool {
	listed := s.opts.Holder.Directory()
	changed := func() bool { return s.opts.Holder.Directory() != listed }
	search := candidateSearch{s: s, waiting: s.candidates()}
	for {
		found, ok := search.find(ctx, changed)
		if !ok {
			return changed()
		}
		if s.follow(ctx, found) || changed() {
			return true
		}
	}
}

// candidates lists the relays given by the tree, then control replicas and peers
// alternately. Otherwise a process cut off from every control replica would wait for each of
// them before it asked a peer. When a replica failed recently, a peer comes first.
func (s *Subscriber) candidates() []candidate {
	s.updateTree()
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
	if slices.ContainsFunc(s.opts.Control, s.failedRecently) {
		out = append(out, interleave(peers, control)...)
	} else {
		out = append(out, interleave(control, peers)...)
	}
	// Addresses that failed recently are tried last.
	slices.SortStableFunc(out, func(a, b candidate) int {
		return cmp.Compare(s.failurePenalty(a.address), s.failurePenalty(b.address))
	})
	return out
}

// interleave alternates the elements of a and b, beginning with a.
func interleave(a, b []candidate) []candidate {
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

func (s *Subscriber) failurePenalty(address string) int {
	if s.failedRecently(address) {
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

// updateTree computes relays and peers when the directory has changed.
func (s *Subscriber) updateTree() {
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

// follow polls the candidate that gave a fresh view until it fails, its beacons are stale or
// it follows this process. It returns true when the candidates should be listed again at once: a
// poll succeeded before the failure, the failure came at least nextCallDelay after the start, the
// candidate redirected to another control leader, the candidate became or ceased to be the
// preferred parent, or a fallback has been followed for maxFallbackTime.
func (s *Subscriber) follow(ctx context.Context, found answer) bool {
	c, start := found.from, time.Now()
	preferred := s.isPreferred(c)
	s.setParent(c)
	s.setPath(found.path)
	followed := false
	for ctx.Err() == nil {
		a := s.newCall(c, s.nextPollWait())(ctx)
		if !s.checkAnswer(a) {
			s.departure = a.departure(s.opts.Self.ID)
			// After a long call, candidates that failed earlier may answer again.
			return followed || a.leader != "" || time.Since(start) >= nextCallDelay
		}
		followed = true
		s.setPath(a.path)
		if now := s.isPreferred(c); now != preferred {
			s.departure = departureMoved
			return true
		}
		if !preferred && time.Since(start) > maxFallbackTime {
			s.departure = departureFallback
			return true
		}
	}
	return false
}

// nextPollWait is how long the next poll may be held: it ends when the beacon held becomes
// stale, so that a source without news is left at that moment.
func (s *Subscriber) nextPollWait() time.Duration {
	left := maxBeaconAge - s.opts.Holder.Freshness(time.Now())
	return min(max(left, minPollWait), pollWait)
}

// setPath tells the subscribers of this process, through the Holder, what it follows; path is that
// of the followed process.
func (s *Subscriber) setPath(path []instance.ID) {
	s.opts.Holder.SetPath(append(slices.Clone(path), s.opts.Self.ID))
}

// newCall returns a function that polls a candidate, which may hold the call for wait, and
// accepts its view. Several such calls may run concurrently.
func (s *Subscriber) newCall(c candidate, wait time.Duration) func(context.Context) answer {
	method := ServiceName + ".Subscribe"
	if c.control {
		method = "Control.Subscribe"
	}
	client := s.client(c.address)
	in := s.opts.Holder.subscribeRequest(wait)
	in.Instance = s.opts.Self.ID
	timeout := wait + pollMargin
	if wait == 0 {
		timeout = pollTimeout
	}
	if s.opts.Holder.Config() == nil {
		timeout = startupCallTimeout
	}
	return func(ctx context.Context) answer {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		view, err := s.opts.Holder.pull(ctx, client, method, in)
		if err != nil {
			return answer{from: c, err: err}
		}
		return answer{from: c, leader: view.Leader, path: view.Path}
	}
}

// checkAnswer reports whether the candidate that gave the answer can be followed, and records
// the failure of one that returned an error, is stale or follows this process.
func (s *Subscriber) checkAnswer(a answer) bool {
	switch {
	case a.err != nil:
		if a.from.address == s.leader {
			s.leader = ""
		}
		s.failed[a.from.address] = time.Now()
		return false
	case a.leader != "":
		return false
	case slices.Contains(a.path, s.opts.Self.ID), !s.isFresh():
		s.failed[a.from.address] = time.Now()
		return false
	}
	return true
}

// failedRecently reports whether an address failed within failureRetention. Control followers
// redirect to a failed leader until they elect another; each call to it would cost a timeout.
func (s *Subscriber) failedRecently(address string) bool {
	at, ok := s.failed[address]
	if ok && time.Since(at) >= failureRetention {
		delete(s.failed, address)
		return false
	}
	return ok
}

func (s *Subscriber) isFresh() bool { return s.opts.Holder.Freshness(time.Now()) < maxBeaconAge }

// isPreferred reports whether a candidate is the process's parent in the tree.
func (s *Subscriber) isPreferred(c candidate) bool {
	s.updateTree()
	if len(s.relays) == 0 {
		return c.control
	}
	return s.relays[0] == c.address
}

func (s *Subscriber) setParent(c candidate) {
	address, before := c.address, s.Parent()
	if before == address {
		return
	}
	s.parent.Store(&address)
	s.logParent(c, before)
	// Idle connections would still be probed for liveness.
	for other, c := range s.clients {
		if other != address {
			c.Close()
			delete(s.clients, other)
		}
	}
	s.opts.Recorder.Record(timeline.Event{Kind: "subscription.moved", Detail: address})
}

// logParent logs what the subscriber follows now and what it held when it turned to it.
func (s *Subscriber) logParent(c candidate, before string) {
	_ = s.opts.Logger.Log("msg", "configuration source changed", "source", c.address, "control", c.control,
		"before", before, "reason", s.departure, "revision", s.opts.Holder.Revision(),
		"beacon_age_ms", s.opts.Holder.FreshnessText(time.Now()))
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

func (s *Subscriber) waitToRetry(ctx context.Context, failures int) {
	mean := retryDelay << min(failures/2, maxDoublings)
	if s.opts.Holder.Config() == nil && failures < startupRetries {
		mean = startupRetryDelay
	}
	t := time.NewTimer(mean/2 + rand.N(mean))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
