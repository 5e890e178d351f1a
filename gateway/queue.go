package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"toucantiller.dev/admission"
	"toucantiller.dev/contract"
	"toucantiller.dev/dispatch"
	"toucantiller.dev/schedule"
)

const (
	// queueInterval is the time between looks at a queue in which requests wait.
	queueInterval = 20 * time.Millisecond
	// probeEvery is the number of looks between two requests for load reports.
	probeEvery = 5
	// probeCount is the number of agents asked for their load at a time.
	probeCount = 4
)

// serviceQueue holds the requests of one service that no endpoint can take at present.
// While nobody waits, requests pass it without its lock.
type serviceQueue struct {
	gateway *Gateway
	service string
	budget  retryBudget
	// pressure follows which requests are served.
	pressure pressure
	// waiting mirrors the length of queue, ahead what goes first there.
	waiting atomic.Int64
	ahead   atomic.Pointer[dispatch.Waiting]

	mu    sync.Mutex
	queue *admission.ServiceQueue
	timer *time.Timer
	looks int
	// next counts the candidates that were asked in turn, asked is when agents were last told
	// what waits.
	next  int
	asked time.Time
	// closed is set once the gateway stops: nothing waits any more.
	closed bool
}

// ticket is a waiting request. Exactly one value arrives on turn.
type ticket struct {
	call *call
	item admission.Item
	turn chan turn
}

// turn is either a place at an endpoint or a problem.
type turn struct {
	decision schedule.Decision
	problem  *Problem
}

func newServiceQueue(g *Gateway, service string) *serviceQueue {
	// Gateways that know the same agents begin with unlike ones.
	first := rand.IntN(schedule.MaxCandidates) //nolint:gosec // a place to start needs no secrecy
	q := &serviceQueue{gateway: g, service: service, next: first, queue: admission.NewServiceQueue(admission.ServiceOptions{})}
	q.timer = time.AfterFunc(queueInterval, q.look)
	q.timer.Stop()
	return q
}

func (q *serviceQueue) configure(s *contract.Service, c *contract.Config) {
	times := make([]time.Duration, len(c.Tiers))
	for i, t := range c.Tiers {
		times[i] = t.MaxQueueTime
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.SetOptions(admission.ServiceOptions{
		QueueOptions: admission.QueueOptions{Capacity: s.QueueLength, MaxQueueTime: times, Tiers: len(c.Tiers), FairEviction: true, ByWorth: c.Ingress != nil},
	})
}

// acquire returns a place at an endpoint, waiting in the queue while all are saturated.
func (q *serviceQueue) acquire(ctx context.Context, c *call) (schedule.Decision, *Problem) {
	route := q.gateway.route()
	if !c.rated {
		c.rating, c.rated = q.rate(c), true
	}
	if q.waiting.Load() == 0 {
		d := q.gateway.pick(route, c)
		if d.Candidate != nil {
			return d, nil
		}
		if d.Reason != schedule.ReasonSaturated {
			return d, noEndpoint(c, d.Reason)
		}
	}
	t, p := q.enter(c)
	if p != nil {
		return schedule.Decision{}, p
	}
	deadline := time.NewTimer(time.Until(c.deadline))
	defer deadline.Stop()
	problem := deadlineProblem()
	select {
	case got := <-t.turn:
		return got.decision, got.problem
	case <-deadline.C:
	case <-ctx.Done():
		problem = newProblem(statusClientClosed, "caller_left", NotRun, "the caller closed the connection")
	}
	if !q.leave(t) {
		if got := <-t.turn; got.decision.Candidate != nil {
			got.decision.Candidate.Arrived()
			got.decision.Candidate.RemoveOutstanding(c.promptTokens, c.answerTokens)
			q.wake()
		}
	}
	return schedule.Decision{}, problem
}

func (q *serviceQueue) enter(c *call) (*ticket, *Problem) {
	t := &ticket{call: c, turn: make(chan turn, 1)}
	least := q.gateway.routing.Load().snapshot.LeastTime(q.service, c.promptTokens, c.answerTokens)
	r := &c.rating
	t.item = admission.Item{
		Worth: r.worth, Work: r.work, StartTime: r.start, Reserve: r.reserve, Objective: c.objective, StartBy: c.startBy,
		Requeued: c.last.endpoint != "", Arrived: c.arrived, LeastTime: least, Tier: c.tier, Account: c.account.Name, Weight: c.account.Weight,
		Cost: c.promptTokens + c.answerTokens, Deadline: c.deadline, Value: t,
	}
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return nil, retryProblem(string(admission.ReasonHandedBack), "the gateway is stopping")
	}
	evicted, refused := q.queue.Push(&t.item, now)
	q.refuse(evicted)
	if refused == nil {
		q.serve(now)
		q.ask(now)
	}
	q.announceFloor(now)
	if refused != nil {
		q.gateway.metrics.shed(refused)
		return nil, refusalProblem(refused)
	}
	return t, nil
}

func (q *serviceQueue) leave(t *ticket) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	left := q.queue.Remove(&t.item)
	q.settle()
	return left
}

// close hands all waiting requests back and lets no further one wait.
func (q *serviceQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.refuse(q.queue.HandBack())
	q.settle()
}

// wake places waiting requests after an endpoint got room.
func (q *serviceQueue) wake() {
	if q.waiting.Load() == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.serve(time.Now())
}

// serve places requests in their order until all endpoints are saturated. It must be
// called with mu held, as must the functions below it. It uses the routing at hand:
// building a new one takes the lock.
func (q *serviceQueue) serve(now time.Time) {
	for {
		head, dropped := q.queue.Peek(now)
		q.refuse(dropped)
		if head == nil {
			break
		}
		if !q.placeItem(head, now) && !q.placeBehind(head, now) {
			break
		}
	}
	q.settle()
}

// placeItem gives an item its turn; it returns false if all endpoints are saturated for it.
func (q *serviceQueue) placeItem(it *admission.Item, now time.Time) bool {
	t := it.Value.(*ticket)
	d := q.gateway.pick(q.gateway.routing.Load(), t.call)
	if d.Candidate == nil && d.Reason == schedule.ReasonSaturated {
		return false
	}
	q.queue.Take(it, now)
	if d.Candidate == nil {
		t.turn <- turn{problem: noEndpoint(t.call, d.Reason)}
		return true
	}
	t.turn <- turn{decision: d}
	return true
}

// placeBehind places an item that may use the last free slot of an endpoint where the first
// one may not.
func (q *serviceQueue) placeBehind(head *admission.Item, now time.Time) bool {
	if head.Reserve == 0 {
		return false
	}
	next := q.queue.FirstWithoutReserve(now)
	return next != nil && q.placeItem(next, now)
}

func (q *serviceQueue) settle() {
	n := q.queue.Len()
	q.ahead.Store(q.describe(n, time.Now()))
	before := q.waiting.Swap(int64(n))
	if n > 0 && before == 0 {
		q.timer.Reset(queueInterval)
	}
}

// describe says what waits, nil if nothing does.
func (q *serviceQueue) describe(n int, now time.Time) *dispatch.Waiting {
	if n == 0 {
		return nil
	}
	first := q.queue.First(now)
	return &dispatch.Waiting{Requests: n, Tier: first.Tier, Density: first.Density(now), Reserve: first.Reserve}
}

// waits returns what waits at present.
func (q *serviceQueue) waits() dispatch.Waiting {
	if w := q.ahead.Load(); w != nil {
		return *w
	}
	return dispatch.Waiting{}
}

func (q *serviceQueue) refuse(dropped []admission.Dropped) {
	for _, d := range dropped {
		q.gateway.metrics.shed(d.Refusal)
		d.Item.Value.(*ticket).turn <- turn{problem: refusalProblem(d.Refusal)}
	}
}

// look runs at intervals while requests wait: it sheds what can no longer be served and
// asks agents for their load, since one that this gateway sends nothing sends no frames.
func (q *serviceQueue) look() {
	// A change of the routing wakes the queues, so it must come before the lock.
	q.gateway.route()
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.refuse(q.queue.Expire(now))
	q.serve(now)
	q.announceFloor(now)
	if q.queue.Len() == 0 {
		return
	}
	q.ask(now)
	q.timer.Reset(queueInterval)
	q.looks++
	if q.looks%probeEvery == 0 {
		q.probe()
	}
}

// ask tells agents that offer their slots what waits, as settle left it.
func (q *serviceQueue) ask(now time.Time) {
	if w := q.ahead.Load(); w != nil {
		q.gateway.want(q, *w, now)
	}
}

// probe asks the next few agents for their load.
func (q *serviceQueue) probe() {
	candidates := q.gateway.routing.Load().snapshot.Candidates(q.service)
	for range min(probeCount, len(candidates)) {
		q.next++
		c := candidates[q.next%len(candidates)]
		if c.Endpoint.SelfAnnounced() {
			continue // its agent is watched, or it has none
		}
		q.gateway.background(func(ctx context.Context) { q.gateway.fetchLoad(ctx, c, http.MethodGet, dispatch.PathLoad, nil) })
	}
}

// announceFloor raises the admission floor at the agents when the queue asks for it.
func (q *serviceQueue) announceFloor(now time.Time) {
	tier, ok := q.queue.FloorRequest(now)
	if !ok {
		return
	}
	q.gateway.metrics.floors.one()
	in := &dispatch.FloorRequest{Tier: tier}
	for _, c := range q.gateway.routing.Load().snapshot.Candidates(q.service) {
		q.gateway.background(func(ctx context.Context) { q.gateway.fetchLoad(ctx, c, http.MethodPost, dispatch.PathFloor, in) })
	}
}

// fetchLoad sends a request that is answered with a load report.
func (g *Gateway) fetchLoad(ctx context.Context, c *schedule.Candidate, method, path string, in any) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var m dispatch.Heartbeat
	if err := g.peer(c.Endpoint.Address).call(ctx, method, path, in, &m); err != nil {
		c.Suspend(time.Now().Add(suspendTime))
		return
	}
	c.Observe(m.Load, time.Now())
	g.observeFloor(c.Endpoint.Service, m.Load.Floor)
	if q := g.route().queues[c.Endpoint.Service]; q != nil {
		q.wake()
	}
}

// observeFloor takes in the admission floor that an agent reported.
func (g *Gateway) observeFloor(service string, floor int) {
	if floor < 0 {
		return
	}
	if q := g.route().queues[service]; q != nil {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.queue.ObserveFloor(floor, time.Now())
	}
}

// release ends a request at an endpoint and lets the next one go there.
func (g *Gateway) release(a *attempt) {
	a.leaveCandidate()
	if q := g.queue(a.call); q != nil {
		q.wake()
	}
}

// queue returns the queue of the call's service, nil if the service is gone.
func (g *Gateway) queue(c *call) *serviceQueue { return g.route().queues[c.service.Name] }

func noEndpoint(c *call, reason schedule.Reason) *Problem {
	p := newProblem(http.StatusServiceUnavailable, "no_endpoint", NotRun, "no endpoint of %s can take the request: %s", c.service.Name, reason)
	p.RetryAfter = time.Second
	return p
}

func refusalProblem(r *admission.Refusal) *Problem {
	status := http.StatusServiceUnavailable
	switch r.Reason {
	case admission.ReasonDeadline:
		status = http.StatusGatewayTimeout
	case admission.ReasonAccountRate, admission.ReasonAccountConcurrency:
		status = http.StatusTooManyRequests
	}
	p := newProblem(status, string(r.Reason), NotRun, "the request was refused before it ran: %s", r.Reason)
	p.RetryAfter = r.RetryAfter
	return p
}

func deadlineProblem() *Problem {
	p := newProblem(http.StatusGatewayTimeout, "deadline", NotRun, "the deadline passed before the request ran")
	return p
}
