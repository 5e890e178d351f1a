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
	// deadlineGrace lets the agent's word on a passed deadline arrive.
	deadlineGrace = 200 * time.Millisecond
	// suspendTime keeps an endpoint out of picks after its connection was lost.
	suspendTime = time.Second
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
	// agent is the incarnation that the dispatch is meant for.
	agent instance.Incarnation

	began time.Time
	first time.Time
	last  time.Time
	load  float64
	// arrived is set once the endpoint has taken or refused the request.
	arrived bool
	// left is set once the request is no longer counted at the candidate.
	left bool
	// connected is set when net/http has a connection for the dispatch.
	connected atomic.Bool
	// silent is set when no frame came in time.
	silent atomic.Bool
	trace  httptrace.ClientTrace
}

// result is how an attempt ended. With a nil problem the caller has been given, or out
// holds, the whole answer.
type result struct {
	problem *Problem
	// code is set for a proven not-run.
	code   dispatch.Code
	notRun bool
	// open is set when the agent may still tell later how the dispatch ended.
	open bool
	// stored is the answer found by settling a claimed dispatch.
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
		a.load = float64(load.Running) / float64(load.Limit)
	}
	return a
}

// newID returns a dispatch identity. Attempt is unique in this incarnation: two calls may
// carry the same X-Request-Id.
func (g *Gateway) newID(c *call) dispatch.ID {
	return dispatch.ID{Request: c.id, Attempt: int(g.sequence.Add(1)), Gateway: g.opt.Instance.Incarnation} //nolint:gosec // far below the largest int
}

// run dispatches and reads the answer. It returns once the request has run, its outcome
// is unknown, or it provably did not run.
func (a *attempt) run(ctx context.Context) result {
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
			return a.notRun(dispatch.CodeUnreachable, &link.Error{Step: "asking the agent", Peer: a.endpoint.Address, Err: err})
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
	// The transport is called without its client, which copies the headers for redirects.
	resp, err := a.client.Transport.RoundTrip(a.request(ctx))
	if err != nil {
		return a.settle(ctx, "dispatch", err)
	}
	defer resp.Body.Close()
	// Close waits for the goroutine of the stream unless the context has ended.
	defer cancel()
	if resp.StatusCode != http.StatusOK {
		// The agent answers so only before it enters the dispatch in its ledger.
		return a.settle(ctx, "dispatch", errors.New(resp.Status))
	}
	frames := frameBuffers.Get().(*frameBuffer)
	defer frames.release()
	frames.Reset(resp.Body)
	return a.read(ctx, watchdog, frames.Reader, dispatch.NewReader(frames, a.id))
}

// frameBuffer is a reader's buffer that is used again for other dispatches.
type frameBuffer struct{ *bufio.Reader }

var frameBuffers = sync.Pool{New: func() any { return &frameBuffer{bufio.NewReaderSize(nil, readBuffer)} }}

func (b *frameBuffer) release() {
	b.Reset(nil)
	frameBuffers.Put(b)
}

func (a *attempt) request(ctx context.Context) *http.Request {
	c := a.call
	h := dispatch.Header{
		ID: a.id, Agent: a.agent, Service: c.service.Name, Version: a.endpoint.Version,
		Route: c.route.Name, Account: c.account.Name, Method: c.method, Path: c.path, Tier: c.tier,
		Revision: c.config.Revision, Timeout: max(time.Until(c.deadline), time.Microsecond),
		PromptTokens: c.promptTokens, AnswerTokens: c.answerTokens, Pass: c.pass,
		Link: a.gateway.opt.Instance.LinkAddress,
	}
	if c.claimed() {
		h.Claim = c.account.Name + "/" + c.key
	}
	if a.endpoint.SelfAnnounced() {
		h.PassAll = true
		h.Reserve = c.rating.reserve
		h.Host = c.host
		if q := a.gateway.queue(c); q != nil {
			h.Waiting = q.waits()
		}
		h.Engine = &dispatch.Engine{ID: a.endpoint.ID, Slots: a.endpoint.Slots, ColdRate: c.service.ColdRate, EventTokens: c.service.EventTokens, Cold: a.endpoint.Cold}
	}
	a.trace.GotConn = func(httptrace.GotConnInfo) { a.connected.Store(true) }
	req := a.peer.dispatch.WithContext(httptrace.WithClientTrace(ctx, &a.trace))
	req.Header = make(http.Header, dispatch.HeaderCount)
	h.Write(req.Header)
	dispatch.SetBody(req, c.body)
	return req
}

// read consumes the frames. The watchdog runs only while waiting for a frame, so that a
// slow caller does not look like a silent agent.
func (a *attempt) read(ctx context.Context, watchdog *time.Timer, buffered *bufio.Reader, frames *dispatch.Reader) result {
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
		finished, r, err := a.frame(kind, payload, frames)
		if err != nil {
			return a.settle(ctx, "decoding frames", err)
		}
		if finished {
			return r
		}
	}
}

// arrive records that the agent has replied.
func (a *attempt) arrive() {
	if !a.arrived {
		a.arrived = true
		a.candidate.Arrived()
	}
}

func (a *attempt) frame(kind dispatch.FrameType, payload []byte, frames *dispatch.Reader) (finished bool, r result, err error) {
	a.arrive()
	switch kind {
	case dispatch.FrameData:
		a.data(payload)
	case dispatch.FrameAccepted:
		var m dispatch.Accepted
		err = dispatch.Decode(payload, &m)
		a.observe(m.Load, m.Revision, err)
	case dispatch.FrameHeartbeat:
		var m dispatch.Heartbeat
		err = dispatch.Decode(payload, &m)
		a.observe(m.Load, m.Revision, err)
	case dispatch.FrameStarted:
		var m dispatch.Started
		if err = dispatch.Decode(payload, &m); err == nil {
			a.out.start(a.endpoint, m.Status, m.Header)
		}
	case dispatch.FrameEnd:
		var m dispatch.End
		err = dispatch.Decode(payload, &m)
		a.observe(m.Load, 0, err)
		if err == nil && m.Length != frames.Offset() {
			err = dispatch.ErrGap
		}
		if err == nil && a.out.status == 0 {
			err = errNotStarted
		}
		if err == nil {
			a.succeeded(&m)
			return true, result{}, nil
		}
	case dispatch.FrameRefused:
		var m dispatch.Refused
		if err = dispatch.Decode(payload, &m); err == nil {
			a.observe(m.Load, m.Revision, nil)
			if m.Code == dispatch.CodeDuplicate {
				// The first copy may have run.
				return false, result{}, errDuplicate
			}
			return true, a.refused(&m), nil
		}
	case dispatch.FrameLost:
		var m dispatch.Lost
		if err = dispatch.Decode(payload, &m); err == nil {
			a.observe(m.Load, 0, nil)
			return true, a.lost(&m), nil
		}
	}
	return false, result{}, err
}

var (
	errDuplicate  = errors.New("the agent has seen this dispatch before")
	errNotStarted = errors.New("the answer ended before it started")
)

func (a *attempt) data(p []byte) {
	a.last = time.Now()
	if a.first.IsZero() {
		a.first = a.last
		a.candidate.PrefillDone(a.call.promptTokens)
	}
	a.out.data(p)
}

// observe takes in what a frame tells about the agent.
func (a *attempt) observe(load endpoint.Load, revision uint64, err error) {
	if err != nil {
		return
	}
	a.candidate.Observe(load, time.Now())
	a.gateway.observeFloor(a.call.service.Name, load.Floor)
	if revision > a.call.config.Revision {
		a.gateway.opt.View.Saw(revision, a.endpoint.LinkAddress)
	}
}

func (a *attempt) refused(m *dispatch.Refused) result {
	announced := a.endpoint.SelfAnnounced()
	switch m.Code {
	case dispatch.CodeWrongIncarnation:
		if announced {
			// The agent has restarted; the next attempt asks for its incarnation.
			a.peer.forget(a.agent)
		} else {
			a.suspend()
		}
	case dispatch.CodeWrongVersion:
		a.suspend()
	case dispatch.CodeEngineRefused, dispatch.CodeUnreachable:
		if announced {
			// Its address is silent or another endpoint's; the directory follows.
			a.suspend()
		}
	}
	status := http.StatusServiceUnavailable
	if m.Code == dispatch.CodeDeadline {
		status = http.StatusGatewayTimeout
	}
	p := newProblem(status, string(m.Code), NotRun, "endpoint %s refused: %s", a.endpoint.ID, m.Code)
	p.RetryAfter = max(m.RetryAfter, time.Second)
	return result{problem: p, code: m.Code, notRun: true}
}

func (a *attempt) lost(m *dispatch.Lost) result {
	a.failed(m.Code != dispatch.CodeDeadline && m.Code != dispatch.CodeCancelled)
	if m.Code == dispatch.CodeDeadline {
		return result{problem: newProblem(http.StatusGatewayTimeout, string(m.Code), Unknown, "endpoint %s had not finished by the deadline", a.endpoint.ID)}
	}
	return result{problem: newProblem(http.StatusBadGateway, string(m.Code), Unknown, "endpoint %s lost the request: %s", a.endpoint.ID, m.Code)}
}

// settle finds out how a dispatch stands whose answer broke off, and seals it when it
// has not been committed.
func (a *attempt) settle(ctx context.Context, step string, err error) result {
	if a.silent.Load() {
		err = link.ErrSilent
	}
	cause := &link.Error{Step: step, Peer: a.endpoint.Address, Err: err}
	if a.abandoned(ctx) {
		return result{problem: newProblem(statusClientClosed, "caller_left", Unknown, "the caller closed the connection")}
	}
	a.gateway.metrics.linksLost.one()
	a.gateway.opt.Timeline.Record(timeline.Event{Kind: "dispatch.settling", Request: a.call.id, Endpoint: string(a.endpoint.ID), Detail: cause.Step})
	a.peer.replace(a.client)
	if !errors.Is(err, context.DeadlineExceeded) {
		a.suspend()
	}
	if a.unsent(err) {
		return a.notRun(dispatch.CodeSealed, cause)
	}
	if a.out.begun {
		a.failed(true)
		return result{problem: a.unknown(cause)}
	}
	wait := time.Until(a.call.deadline) + settleTimeout
	settling, cancel := context.WithTimeout(context.WithoutCancel(ctx), max(wait, settleTimeout))
	defer cancel()
	stands, answer, _ := a.peer.settle(settling, a.id, a.agent, a.call.claimed())
	if stands == standsGone {
		a.peer.forget(a.agent)
	}
	switch stands {
	case standsSealed:
		return a.notRun(dispatch.CodeSealed, cause)
	case standsDone:
		return result{stored: answer}
	}
	a.failed(true)
	return result{problem: a.unknown(cause), open: stands == standsUnreachable || stands == standsRunning}
}

// suspend leaves the endpoint out of picks for a while.
func (a *attempt) suspend() { a.candidate.Suspend(time.Now().Add(suspendTime)) }

// leaveCandidate ends the count of the request at its candidate; later calls do nothing.
func (a *attempt) leaveCandidate() {
	if a.left {
		return
	}
	a.left = true
	a.arrive()
	prompt := a.call.promptTokens
	if !a.first.IsZero() {
		prompt = 0
	}
	a.candidate.RemoveOutstanding(prompt, a.call.answerTokens)
}

// unsent reports whether the dispatch provably never left this process.
func (a *attempt) unsent(err error) bool {
	var l *link.Error
	return !a.connected.Load() || errors.As(err, &l) && l.Step == link.StepDial
}

// abandoned reports whether the caller has left. A claimed call goes on without it.
func (a *attempt) abandoned(ctx context.Context) bool {
	return !a.call.claimed() && !a.silent.Load() && errors.Is(ctx.Err(), context.Canceled)
}

func (a *attempt) notRun(code dispatch.Code, cause error) result {
	if time.Until(a.call.deadline) <= 0 {
		return result{problem: deadlineProblem(), code: dispatch.CodeDeadline, notRun: true}
	}
	p := newProblem(http.StatusServiceUnavailable, "endpoint_unreachable", NotRun, "%v", cause)
	p.RetryAfter = time.Second
	return result{problem: p, code: code, notRun: true}
}

func (a *attempt) unknown(cause error) *Problem {
	if time.Until(a.call.deadline) <= 0 {
		return newProblem(http.StatusGatewayTimeout, "deadline", Unknown, "%v", cause)
	}
	return newProblem(http.StatusBadGateway, "endpoint_lost", Unknown, "%v", cause)
}
