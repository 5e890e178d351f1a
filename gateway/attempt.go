package gateway

import (
	"bufio"
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"toucantiller.dev/dispatch"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/instance"
	"toucantiller.dev/link"
	"toucantiller.dev/schedule"
	"toucantiller.dev/timeline"
)

const (
	readBuffer = 4 << 10
	// deadlineGrace leaves time for the agent's report of a passed deadline to arrive.
	deadlineGrace = 200 * time.Millisecond
	// suspendDuration is how long an endpoint is not picked after its connection was lost.
	suspendDuration = time.Second
	// unavailableRetryAfter is the Retry-After of a request that an endpoint could not take; others
	// may take it soon, within the caller's objective.
	unavailableRetryAfter = 300 * time.Millisecond
)

// attempt is one dispatch of a call to one endpoint.
type attempt struct {
	gateway   *Gateway
	call      *call
	decision  schedule.Decision
	candidate *schedule.Candidate
	endpoint  *endpoint.Endpoint
	peer      *peer
	client    *http.Client
	out       *answerWriter
	id        dispatch.ID
	// agent is the incarnation to which the dispatch is addressed.
	agent instance.Incarnation

	began       time.Time
	firstByte   time.Time
	lastByte    time.Time
	utilization float64
	// acknowledged is set once the endpoint has accepted or refused the request.
	acknowledged bool
	// answered is set once the answer has begun.
	answered bool
	// released is set once the request is no longer counted at the candidate.
	released bool
	// connected is set once net/http has a connection for the dispatch.
	connected atomic.Bool
	// begun is set once the run has been counted.
	begun bool
	// silent is set when no frame arrived within dispatch.SilenceTimeout.
	silent atomic.Bool
	trace  httptrace.ClientTrace
}

// attemptResult is how an attempt ended. If problem is nil, the whole answer has been passed to
// the caller or is held in out.
type attemptResult struct {
	problem *Problem
	// code is set if the request provably did not run.
	code   dispatch.Code
	notRun bool
	// unresolved is set when the agent may still report later how the dispatch ended.
	unresolved bool
	// stored is the answer that settling a claimed dispatch found.
	stored *dispatch.StoredAnswer
}

func (g *Gateway) newAttempt(c *call, out *answerWriter, d schedule.Decision) *attempt {
	e := &d.Candidate.Endpoint
	a := &attempt{gateway: g, call: c, decision: d, candidate: d.Candidate, endpoint: e, out: out, agent: e.Incarnation}
	if e.Address != "" {
		a.peer = g.peer(e.Address)
	}
	a.id = g.newID(c)
	if load, _, ok := d.Candidate.Load(); ok && load.Limit > 0 {
		a.utilization = float64(load.Running) / float64(load.Limit)
	}
	return a
}

// newID returns a dispatch identity. Attempt is unique within this incarnation, because two
// calls may carry the same X-Request-Id.
func (g *Gateway) newID(c *call) dispatch.ID {
	return dispatch.ID{Request: c.id, Attempt: int(g.sequence.Add(1)), Gateway: g.opt.Instance.Incarnation} //nolint:gosec // far below the largest int
}

// run dispatches the request and reads the answer. It returns once the request has run, its
// outcome is unknown, or it provably did not run.
func (a *attempt) run(ctx context.Context) attemptResult {
	a.began = time.Now()
	if a.peer == nil {
		return a.runDirect(ctx)
	}
	a.peer.use.begin()
	defer a.peer.use.end()
	if a.endpoint.SelfAnnounced() {
		var err error
		if a.agent, err = a.peer.agentIncarnation(ctx); err != nil {
			a.suspend()
			return a.notRunResult(dispatch.CodeUnreachable, &link.Error{Step: "asking the agent", Peer: a.endpoint.Address, Err: err})
		}
	}
	a.client = a.peer.client.Load()
	ctx, cancel := context.WithDeadline(ctx, a.call.deadline.Add(deadlineGrace))
	defer cancel()
	watchdog := time.AfterFunc(dispatch.SilenceTimeout, func() {
		a.silent.Store(true)
		cancel()
	})
	defer watchdog.Stop()
	// Calling the transport directly avoids http.Client's copy of the headers for redirects.
	resp, err := a.client.Transport.RoundTrip(a.newRequest(ctx))
	if err != nil {
		return a.settle(ctx, "dispatch", err)
	}
	defer resp.Body.Close()
	// Close waits for the stream's goroutine unless the context has ended.
	defer cancel()
	if resp.StatusCode != http.StatusOK {
		// The agent sends another status only before it records the dispatch in its ledger.
		return a.settle(ctx, "dispatch", errors.New(resp.Status))
	}
	frames := frameBuffers.Get().(*frameBuffer)
	defer frames.release()
	frames.Reset(resp.Body)
	return a.readFrames(ctx, watchdog, frames.Reader, dispatch.NewReader(frames, a.id))
}

// frameBuffer is a pooled read buffer for the frames of a dispatch.
type frameBuffer struct{ *bufio.Reader }

var frameBuffers = sync.Pool{New: func() any { return &frameBuffer{bufio.NewReaderSize(nil, readBuffer)} }}

func (b *frameBuffer) release() {
	b.Reset(nil)
	frameBuffers.Put(b)
}

func (a *attempt) newRequest(ctx context.Context) *http.Request {
	c := a.call
	h := dispatch.Header{
		ID: a.id, Agent: a.agent, Service: c.service.Name, Version: a.endpoint.Version,
		Route: c.route.Name, Account: c.account.Name, Method: c.method, Path: c.path, Tier: c.tier,
		Revision: c.config.Revision, Timeout: max(time.Until(c.deadline), time.Microsecond),
		PromptTokens: c.promptTokens, AnswerTokens: c.answerTokens, Pass: c.passedHeaders,
		Link: a.gateway.opt.Instance.LinkAddress,
	}
	if c.needsClaim() {
		h.Claim = c.account.Name + "/" + c.key
	}
	if a.endpoint.SelfAnnounced() {
		h.PassAll = true
		h.Reserve = c.rating.reserve
		h.Host = c.host
		if q := a.gateway.queue(c); q != nil {
			h.Waiting = q.waitingSummary()
		}
		h.Engine = &dispatch.Engine{ID: a.endpoint.ID, Incarnation: a.endpoint.Incarnation, Slots: a.endpoint.Slots, ColdRate: c.service.ColdRate, EventTokens: c.service.EventTokens, Cold: a.endpoint.Cold}
	}
	a.trace.GotConn = func(httptrace.GotConnInfo) { a.connected.Store(true) }
	req := a.peer.dispatch.WithContext(httptrace.WithClientTrace(ctx, &a.trace))
	req.Header = make(http.Header, dispatch.HeaderCount)
	h.Write(req.Header)
	dispatch.SetBody(req, c.body)
	return req
}

// readFrames consumes the frames. The watchdog runs only while it waits for a frame, so that a
// slow caller is not mistaken for a silent agent.
func (a *attempt) readFrames(ctx context.Context, watchdog *time.Timer, buffered *bufio.Reader, frames *dispatch.Reader) attemptResult {
	for {
		if buffered.Buffered() == 0 {
			a.out.flush()
			watchdog.Reset(dispatch.SilenceTimeout)
		}
		kind, payload, err := frames.Next()
		watchdog.Stop()
		if err != nil {
			return a.settle(ctx, "reading frames", err)
		}
		finished, r, err := a.handleFrame(kind, payload, frames)
		if err != nil {
			return a.settle(ctx, "decoding frames", err)
		}
		if finished {
			return r
		}
	}
}

// acknowledge records that the agent has replied.
func (a *attempt) acknowledge() {
	if !a.acknowledged {
		a.acknowledged = true
		a.candidate.RemoveInTransit()
	}
}

func (a *attempt) handleFrame(kind dispatch.FrameType, payload []byte, frames *dispatch.Reader) (finished bool, r attemptResult, err error) {
	a.acknowledge()
	switch kind {
	case dispatch.FrameData:
		a.handleData(payload)
	case dispatch.FrameAccepted:
		var m dispatch.Accepted
		err = dispatch.Decode(payload, &m)
		a.observeLoad(m.Load, m.Revision, err)
	case dispatch.FrameHeartbeat:
		var m dispatch.Heartbeat
		err = dispatch.Decode(payload, &m)
		a.observeLoad(m.Load, m.Revision, err)
	case dispatch.FrameStarted:
		var m dispatch.Started
		if err = dispatch.Decode(payload, &m); err == nil {
			finished, r = a.handleStarted(&m)
			return finished, r, nil
		}
	case dispatch.FrameEnd:
		var m dispatch.End
		err = dispatch.Decode(payload, &m)
		a.observeLoad(m.Load, 0, err)
		if err == nil && m.Length != frames.Offset() {
			err = dispatch.ErrGap
		}
		if err == nil && a.out.status == 0 {
			err = errNotStarted
		}
		if err == nil {
			a.recordBegun()
			a.recordSuccess(&m)
			return true, attemptResult{}, nil
		}
	case dispatch.FrameRefused:
		var m dispatch.Refused
		if err = dispatch.Decode(payload, &m); err == nil {
			a.observeLoad(m.Load, m.Revision, nil)
			if m.Code == dispatch.CodeDuplicate {
				// The first copy of the dispatch may have run.
				return false, attemptResult{}, errDuplicate
			}
			return true, a.handleRefused(&m), nil
		}
	case dispatch.FrameLost:
		var m dispatch.Lost
		if err = dispatch.Decode(payload, &m); err == nil {
			a.observeLoad(m.Load, 0, nil)
			return true, a.handleLost(&m), nil
		}
	}
	return false, attemptResult{}, err
}

// handleStarted begins the answer. One with a broken head, which agents of earlier versions pass on,
// is lost.
func (a *attempt) handleStarted(m *dispatch.Started) (finished bool, r attemptResult) {
	if broken := endpoint.CheckHead(m.Status, m.Header); broken != nil {
		return true, a.handleLost(&dispatch.Lost{Code: dispatch.CodeEngineLost, Detail: broken.Error()})
	}
	a.out.start(a.endpoint, m.Status, m.Header)
	a.recordStarted()
	return false, attemptResult{}
}

var (
	errDuplicate  = errors.New("the agent has seen this dispatch before")
	errNotStarted = errors.New("the answer ended before it started")
)

func (a *attempt) handleData(p []byte) {
	a.recordBegun()
	a.lastByte = time.Now()
	if a.firstByte.IsZero() {
		a.firstByte = a.lastByte
		a.candidate.PrefillDone(a.call.promptTokens)
	}
	a.recordAnswerData(p)
	a.out.writeData(p)
}

// observeLoad records the load and the revision that a frame reports.
func (a *attempt) observeLoad(load endpoint.Load, revision uint64, err error) {
	if err != nil {
		return
	}
	a.candidate.Observe(load, time.Now())
	a.gateway.observeFloor(a.call.service.Name, load.Floor)
	if revision > a.call.config.Revision {
		a.gateway.opt.View.ObserveRevision(revision, a.endpoint.LinkAddress)
	}
}

func (a *attempt) handleRefused(m *dispatch.Refused) attemptResult {
	announced := a.endpoint.SelfAnnounced()
	switch m.Code {
	case dispatch.CodeWrongIncarnation:
		if announced {
			// The agent has restarted; the next attempt asks for its incarnation.
			a.peer.forgetIncarnation(a.agent)
		} else {
			a.suspend()
		}
	case dispatch.CodeWrongVersion, dispatch.CodeEngineLeaving:
		a.suspend()
	case dispatch.CodeEngineFull, dispatch.CodePaused:
		a.suspendFor(m.RetryAfter)
	case dispatch.CodeEngineRefused, dispatch.CodeUnreachable:
		if announced {
			// Its address does not answer or belongs to another endpoint; the directory will be
			// updated.
			a.suspend()
		}
	}
	status := http.StatusServiceUnavailable
	if m.Code == dispatch.CodeDeadline {
		status = http.StatusGatewayTimeout
	}
	p := newProblem(status, string(m.Code), ExecutionNotRun, "endpoint %s refused: %s", a.endpoint.ID, m.Code)
	p.RetryAfter = unavailableRetryAfter
	if refusedForLoad(m.Code) {
		// The other codes' times are about this endpoint alone; others may serve earlier.
		p.RetryAfter = max(m.RetryAfter, unavailableRetryAfter)
	}
	return attemptResult{problem: p, code: m.Code, notRun: true}
}

func (a *attempt) handleLost(m *dispatch.Lost) attemptResult {
	a.recordEndpointLost(m.Code)
	if m.Code == dispatch.CodeEngineLost {
		a.recordBegun()
	}
	a.recordFailure(m.Code != dispatch.CodeDeadline && m.Code != dispatch.CodeCancelled)
	if m.Code == dispatch.CodeDeadline {
		return attemptResult{problem: newProblem(http.StatusGatewayTimeout, string(m.Code), ExecutionUnknown, "endpoint %s had not finished by the deadline", a.endpoint.ID)}
	}
	return attemptResult{problem: newProblem(http.StatusBadGateway, string(m.Code), ExecutionUnknown, "endpoint %s lost the request: %s", a.endpoint.ID, m.Code)}
}

// settle determines the outcome of a dispatch whose answer broke off, and seals it if it has
// not been committed.
func (a *attempt) settle(ctx context.Context, step string, err error) attemptResult {
	if a.silent.Load() {
		err = link.ErrSilent
	}
	cause := &link.Error{Step: step, Peer: a.endpoint.Address, Err: err}
	if stopEnds(ctx) {
		return a.stopResult(err, cause)
	}
	if a.callerLeft(ctx) {
		return attemptResult{problem: newProblem(statusClientClosed, "caller_left", ExecutionUnknown, "the caller closed the connection")}
	}
	a.gateway.metrics.linksLost.increment()
	a.gateway.opt.Timeline.Record(timeline.Event{Kind: "dispatch.settling", Request: a.call.id, Endpoint: string(a.endpoint.ID), Detail: cause.Step})
	a.peer.replace(a.client)
	if !errors.Is(err, context.DeadlineExceeded) {
		a.suspend()
	}
	if a.neverSent(err) {
		return a.notRunResult(dispatch.CodeSealed, cause)
	}
	if a.out.headerSent {
		a.recordFailure(true)
		return attemptResult{problem: a.unknownProblem(cause)}
	}
	wait := time.Until(a.call.deadline) + settleTimeout
	settling, cancel := context.WithTimeout(a.gateway.answerCtx, max(wait, settleTimeout))
	defer cancel()
	stands, answer, _ := a.peer.settle(settling, a.id, a.agent, a.call.needsClaim())
	if stands == outcomeIncarnationGone {
		a.peer.forgetIncarnation(a.agent)
	}
	switch stands {
	case outcomeSealed:
		return a.notRunResult(dispatch.CodeSealed, cause)
	case outcomeRunning, outcomeEnded:
		a.recordBegun()
	case outcomeDone:
		a.recordBegun()
		return attemptResult{stored: answer}
	}
	a.recordFailure(true)
	return attemptResult{problem: a.unknownProblem(cause), unresolved: stands == outcomeUnreachable || stands == outcomeRunning}
}

// stopResult is the result of a dispatch that a stop of the gateway has ended.
func (a *attempt) stopResult(err, cause error) attemptResult {
	if a.neverSent(err) {
		return a.notRunResult(dispatch.CodeSealed, cause)
	}
	return attemptResult{problem: stoppedProblem(), unresolved: true}
}

// suspend keeps the endpoint from being picked for suspendDuration.
func (a *attempt) suspend() { a.candidate.Suspend(time.Now().Add(suspendDuration)) }

// suspendFor keeps the endpoint from being picked for a time that it has asked for.
func (a *attempt) suspendFor(d time.Duration) {
	if d > 0 {
		a.candidate.Suspend(time.Now().Add(d))
	}
}

// releaseCandidate ends the count of the request at its candidate; later calls do nothing.
func (a *attempt) releaseCandidate() {
	if a.released {
		return
	}
	a.released = true
	a.acknowledge()
	prompt := a.call.promptTokens
	if !a.firstByte.IsZero() {
		prompt = 0
	}
	a.candidate.RemoveOutstanding(prompt, a.call.answerTokens)
}

// neverSent reports whether the dispatch provably never left this process.
func (a *attempt) neverSent(err error) bool {
	var l *link.Error
	return !a.connected.Load() || errors.As(err, &l) && l.Step == link.StepDial
}

// callerLeft reports whether the caller has disconnected. A claimed call continues without it.
func (a *attempt) callerLeft(ctx context.Context) bool {
	return !a.call.needsClaim() && !a.silent.Load() && errors.Is(ctx.Err(), context.Canceled)
}

func (a *attempt) notRunResult(code dispatch.Code, cause error) attemptResult {
	if time.Until(a.call.deadline) <= 0 {
		return attemptResult{problem: deadlineProblem(), code: dispatch.CodeDeadline, notRun: true}
	}
	p := newProblem(http.StatusServiceUnavailable, "endpoint_unreachable", ExecutionNotRun, "%v", cause)
	p.RetryAfter = unavailableRetryAfter
	return attemptResult{problem: p, code: code, notRun: true}
}

func (a *attempt) unknownProblem(cause error) *Problem {
	if time.Until(a.call.deadline) <= 0 {
		return newProblem(http.StatusGatewayTimeout, "deadline", ExecutionUnknown, "%v", cause)
	}
	return newProblem(http.StatusBadGateway, "endpoint_lost", ExecutionUnknown, "%v", cause)
}
