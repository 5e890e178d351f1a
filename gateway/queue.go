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
	"toucantiller.dev/policy"
	"toucantiller.dev/schedule"
)

const (
	// queueInterval is the time between two passes over a queue in which requests wait.
	queueInterval = 20 * time.Millisecond
	// ticksPerProbe is the number of passes between two rounds of requests for load reports.
	ticksPerProbe = 5
	// agentsPerProbe is the number of agents asked for their load in one round.
	agentsPerProbe = 4
)

// minAnswerShare is the share of the expected answer that must fit before the deadline. Callers'
// estimates are often too high, and a refused request is lost for certain.
const minAnswerShare = 0.5

// serviceQueue holds the requests of one service for which every endpoint is saturated. While
// it is empty, requests pass it without taking its lock.
type serviceQueue struct {
	gateway *Gateway
	service string
	budget  retryBudget
	// acceptance tracks the shares of requests that are served.
	acceptance acceptanceTracker
	// waitingCount mirrors the length of queue; summary describes its first request.
	waitingCount atomic.Int64
	summary      atomic.Pointer[dispatch.Waiting]

	mu    sync.Mutex
	queue *admission.ServiceQueue
	timer *time.Timer
	ticks int
	// nextCandidate is the round-robin position among the candidates; lastWantRound is when
	// agents were last told about the waiting requests.
	nextCandidate int
	lastWantRound time.Time
	// closed is set when the gateway stops; from then on no request may wait.
	closed bool
	// meanLimit is the mean token limit of the accounts that have one, 0 if none has.
	meanLimit float64
}

// queuedRequest is a request that waits in the queue. Exactly one value arrives on result.
type queuedRequest struct {
	call   *call
	item   admission.Item
	result chan placementResult
}

// placementResult is either a reserved place at an endpoint or a problem.
type placementResult struct {
	decision schedule.Decision
	problem  *Problem
}

func newServiceQueue(g *Gateway, service string) *serviceQueue {
	// A random start keeps gateways that know the same agents from probing them in the same
	// order.
	first := rand.IntN(schedule.MaxCandidates) //nolint:gosec // a place to start needs no secrecy
	q := &serviceQueue{gateway: g, service: service, nextCandidate: first, queue: admission.NewServiceQueue(admission.ServiceOptions{})}
	q.timer = time.AfterFunc(queueInterval, q.tick)
	q.timer.Stop()
	return q
}

func (q *serviceQueue) configure(s *contract.Service, c *contract.Config) {
	times := make([]time.Duration, len(c.Tiers))
	for i, t := range c.Tiers {
		times[i] = t.MaxQueueTime
	}
	off := q.gateway.opt.Without
	q.mu.Lock()
	defer q.mu.Unlock()
	q.meanLimit = meanTokenLimit(c.Accounts)
	q.queue.SetOptions(admission.ServiceOptions{
		QueueOptions: admission.QueueOptions{
			Capacity: s.QueueLength, MaxQueueTime: times, Tiers: len(c.Tiers), FairEviction: true,
			ByWorth: c.Ingress != nil && off.InForce(policy.WorthOrder), NoEarlyRefusal: !off.InForce(policy.EarlyRefusal),
			ShareByAccount: q.gateway.opt.ShareByAccount,
		},
	})
}

// acquire reserves a place at an endpoint and waits in the queue while all are saturated.
func (q *serviceQueue) acquire(ctx context.Context, c *call) (schedule.Decision, *Problem) {
	route := q.gateway.currentRouting()
	if !c.rated {
		c.rating, c.rated = q.estimateRating(c), true
	}
	if q.waitingCount.Load() == 0 {
		d := q.gateway.pickEndpoint(route, c)
		if d.Candidate != nil {
			return d, nil
		}
		if d.Reason != schedule.ReasonSaturated {
			return d, noEndpointProblem(c, d.Reason)
		}
	}
	t, p := q.enqueue(c)
	if p != nil {
		return schedule.Decision{}, p
	}
	deadline := time.NewTimer(time.Until(c.deadline))
	defer deadline.Stop()
	problem := deadlineProblem()
	select {
	case got := <-t.result:
		return got.decision, got.problem
	case <-deadline.C:
	case <-ctx.Done():
		problem = newProblem(statusClientClosed, "caller_left", ExecutionNotRun, "the caller closed the connection")
		if stopEnds(ctx) {
			problem = handedBackProblem()
		}
	}
	if !q.dequeue(t) {
		if got := <-t.result; got.decision.Candidate != nil {
			got.decision.Candidate.RemoveInTransit()
			got.decision.Candidate.RemoveOutstanding(c.promptTokens, c.answerTokens)
			q.placeWaiting()
		}
	}
	return schedule.Decision{}, problem
}

func (q *serviceQueue) enqueue(c *call) (*queuedRequest, *Problem) {
	t := &queuedRequest{call: c, result: make(chan placementResult, 1)}
	least := q.gateway.routing.Load().snapshot.MinCompletionTime(q.service, c.promptTokens, int(minAnswerShare*float64(c.answerTokens)))
	r := &c.rating
	t.item = admission.Item{
		Worth: r.worth, Work: r.work, StartTime: r.timeToStart, Reserve: r.reserve, Objective: c.objective, StartBy: c.startBy,
		Requeued: c.lastAttempt.endpoint != "", Arrived: c.arrived, MinServiceTime: least, Tier: c.tier, Account: c.account.Name, Weight: c.account.Weight,
		Cost: c.promptTokens + c.answerTokens, Deadline: c.deadline, Value: t,
	}
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return nil, handedBackProblem()
	}
	if q.gateway.opt.ShareByAccount {
		t.item.Weight = shareWeight(c.account, q.meanLimit)
	}
	evicted, refused := q.queue.Push(&t.item, now)
	q.refuseDropped(evicted)
	if refused == nil {
		q.placeWaitingLocked(now)
		q.announceWaiting(now)
	}
	q.raiseFloor(now)
	if refused != nil {
		q.gateway.metrics.recordShed(refused)
		return nil, refusalProblem(refused)
	}
	return t, nil
}

func (q *serviceQueue) dequeue(t *queuedRequest) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	left := q.queue.Remove(&t.item)
	q.updateSummary()
	return left
}

// close hands back all waiting requests and admits no further ones to the queue.
func (q *serviceQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.refuseDropped(q.queue.HandBack())
	q.updateSummary()
}

// placeWaiting places waiting requests after an endpoint has gained capacity.
func (q *serviceQueue) placeWaiting() {
	if q.waitingCount.Load() == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.placeWaitingLocked(time.Now())
}

// maxSkipped bounds the requests that are passed over while the queue is searched for one that a
// free endpoint suits.
const maxSkipped = 16

// placeWaitingLocked places requests in queue order until all endpoints are saturated. A request
// for which no endpoint with room is fast enough, or that must leave more slots free, lets later
// ones pass. It and the functions below it must be called with mu held. It uses the routing
// already loaded, because building a new one takes the same lock.
func (q *serviceQueue) placeWaitingLocked(now time.Time) {
	var skipped []*admission.Item
	for {
		head := q.nextItem(skipped, now)
		if head == nil {
			break
		}
		placed, tryNext := q.placeItem(head, now)
		if placed {
			continue
		}
		if !tryNext || len(skipped) == maxSkipped {
			break
		}
		skipped = append(skipped, head)
	}
	q.updateSummary()
}

// nextItem returns the item that is served next after the skipped ones and refuses those found
// on the way that can no longer be served.
func (q *serviceQueue) nextItem(skipped []*admission.Item, now time.Time) *admission.Item {
	if len(skipped) > 0 {
		return q.queue.NextExcept(skipped, now)
	}
	head, dropped := q.queue.Peek(now)
	q.refuseDropped(dropped)
	return head
}

// placeItem sends an item its result; placed is false if every endpoint is saturated for it. In
// this case tryNext reports whether another item may still find room.
func (q *serviceQueue) placeItem(it *admission.Item, now time.Time) (placed, tryNext bool) {
	t := it.Value.(*queuedRequest)
	d := q.gateway.pickEndpoint(q.gateway.routing.Load(), t.call)
	if d.Candidate == nil && d.Reason == schedule.ReasonSaturated {
		return false, it.Reserve > 0 || d.Dropped[schedule.ReasonTooSlow] > 0
	}
	q.queue.Take(it, now)
	if d.Candidate == nil {
		t.result <- placementResult{problem: noEndpointProblem(t.call, d.Reason)}
		return true, true
	}
	t.result <- placementResult{decision: d}
	return true, true
}

func (q *serviceQueue) updateSummary() {
	n := q.queue.Len()
	q.summary.Store(q.summarize(n, time.Now()))
	before := q.waitingCount.Swap(int64(n))
	if n > 0 && before == 0 {
		q.timer.Reset(queueInterval)
	}
}

// summarize returns a summary of the waiting requests, nil if there are none.
func (q *serviceQueue) summarize(n int, now time.Time) *dispatch.Waiting {
	if n == 0 {
		return nil
	}
	first := q.queue.PeekNext(now)
	return &dispatch.Waiting{Requests: n, Tier: first.Tier, Density: first.Density(now), Reserve: first.Reserve}
}

// waitingSummary returns the latest summary of the waiting requests.
func (q *serviceQueue) waitingSummary() dispatch.Waiting {
	if w := q.summary.Load(); w != nil {
		return *w
	}
	return dispatch.Waiting{}
}

func (q *serviceQueue) refuseDropped(dropped []admission.Dropped) {
	for _, d := range dropped {
		q.gateway.metrics.recordShed(d.Refusal)
		d.Item.Value.(*queuedRequest).result <- placementResult{problem: refusalProblem(d.Refusal)}
	}
}

// tick runs at intervals while requests wait. It sheds those that can no longer be served in
// time, and asks agents for their load, because an agent to which this gateway sends no
// dispatch sends it no frames.
func (q *serviceQueue) tick() {
	// A routing change calls placeWaiting, which takes mu, so it must come before the lock.
	q.gateway.currentRouting()
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.refuseDropped(q.queue.Expire(now))
	q.placeWaitingLocked(now)
	q.raiseFloor(now)
	if q.queue.Len() == 0 {
		return
	}
	q.announceWaiting(now)
	q.timer.Reset(queueInterval)
	q.ticks++
	if q.ticks%ticksPerProbe == 0 {
		q.probeLoads()
	}
}

// announceWaiting tells agents that offer their slots about the waiting requests, as last
// summarized by updateSummary.
func (q *serviceQueue) announceWaiting(now time.Time) {
	if w := q.summary.Load(); w != nil {
		q.gateway.sendWantRequests(q, *w, now)
	}
}

// probeLoads asks the next few agents for their load.
func (q *serviceQueue) probeLoads() {
	candidates := q.gateway.routing.Load().snapshot.Candidates(q.service)
	for range min(agentsPerProbe, len(candidates)) {
		q.nextCandidate++
		c := candidates[q.nextCandidate%len(candidates)]
		if c.Endpoint.SelfAnnounced() {
			continue // it has no agent, or a watched one
		}
		q.gateway.background(func(ctx context.Context) { q.gateway.fetchLoad(ctx, c, http.MethodGet, dispatch.PathLoad, nil) })
	}
}

// raiseFloor raises the admission floor at the agents when the queue requests it.
func (q *serviceQueue) raiseFloor(now time.Time) {
	tier, ok := q.queue.FloorRequest(now)
	if !ok {
		return
	}
	q.gateway.metrics.floorsRaised.increment()
	in := &dispatch.FloorRequest{Tier: tier}
	for _, c := range q.gateway.routing.Load().snapshot.Candidates(q.service) {
		q.gateway.background(func(ctx context.Context) { q.gateway.fetchLoad(ctx, c, http.MethodPost, dispatch.PathFloor, in) })
	}
}

// fetchLoad sends a request whose reply is a load report.
func (g *Gateway) fetchLoad(ctx context.Context, c *schedule.Candidate, method, path string, in any) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var m dispatch.Heartbeat
	if err := g.peer(c.Endpoint.Address).call(ctx, method, path, in, &m); err != nil {
		c.Suspend(time.Now().Add(suspendDuration))
		return
	}
	c.Observe(m.Load, time.Now())
	g.observeFloor(c.Endpoint.Service, m.Load.Floor)
	if q := g.currentRouting().queues[c.Endpoint.Service]; q != nil {
		q.placeWaiting()
	}
}

// observeFloor records the admission floor that an agent reported.
func (g *Gateway) observeFloor(service string, floor int) {
	if floor < 0 {
		return
	}
	if q := g.currentRouting().queues[service]; q != nil {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.queue.ObserveFloor(floor, time.Now())
	}
}

// release ends a request's count at its endpoint and places waiting requests there.
func (g *Gateway) release(a *attempt) {
	a.releaseCandidate()
	if q := g.queue(a.call); q != nil {
		q.placeWaiting()
	}
}

// queue returns the queue of the call's service, nil if the service is gone.
func (g *Gateway) queue(c *call) *serviceQueue { return g.currentRouting().queues[c.service.Name] }

func noEndpointProblem(c *call, reason schedule.Reason) *Problem {
	p := newProblem(http.StatusServiceUnavailable, "no_endpoint", ExecutionNotRun, "no endpoint of %s can take the request: %s", c.service.Name, reason)
	p.RetryAfter = unavailableRetryAfter
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
	p := newProblem(status, string(r.Reason), ExecutionNotRun, "the request was refused before it ran: %s", r.Reason)
	p.RetryAfter = r.RetryAfter
	return p
}

func deadlineProblem() *Problem {
	p := newProblem(http.StatusGatewayTimeout, "deadline", ExecutionNotRun, "the deadline passed before the request ran")
	return p
}
