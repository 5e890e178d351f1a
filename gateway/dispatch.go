package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"toucantiller.dev/dispatch"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/link"
	"toucantiller.dev/timeline"
)

const (
	// maxAttempts bounds the endpoints tried for one request.
	maxAttempts = 4
	sealTimeout = time.Second
	readBuffer  = 4 << 10
)

// serve places the call at endpoints until one has run it or none is left.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, c *call) {
	g.opt.Timeline.Record(timeline.Event{Kind: "request.received", Request: c.id, Revision: c.config.Revision})
	out := newAnswerWriter(w, c)
	p := g.place(r.Context(), c, out)
	if p == nil {
		g.metrics.count(g.metrics.completed)
		return
	}
	g.metrics.count(g.metrics.problems)
	g.opt.Timeline.Record(timeline.Event{Kind: "request.problem", Request: c.id, Detail: p.Code})
	out.fail(p)
}

func (g *Gateway) place(ctx context.Context, c *call, out *answerWriter) *Problem {
	tried := make(map[endpoint.ID]bool)
	var last *Problem
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		if time.Until(c.deadline) <= 0 {
			return newProblem(http.StatusGatewayTimeout, "deadline", NotRun, "the deadline passed before the request ran")
		}
		e, ok := g.pick(c.service, tried)
		if !ok {
			break
		}
		tried[e.ID] = true
		a := &attemptRun{gateway: g, call: c, endpoint: e, out: out, id: dispatch.ID{Request: c.id, Attempt: attempt, Gateway: g.opt.Instance.Incarnation}}
		done, p := a.run(ctx)
		if done {
			return p
		}
		last = p
	}
	if last != nil {
		return last
	}
	p := newProblem(http.StatusServiceUnavailable, "no_endpoint", NotRun, "no endpoint of %s can take the request", c.service.Name)
	p.RetryAfter = time.Second
	return p
}

// attemptRun is one dispatch of a call to one endpoint.
type attemptRun struct {
	gateway  *Gateway
	call     *call
	endpoint endpoint.Endpoint
	out      *answerWriter
	id       dispatch.ID
	started  bool
}

// run returns done once the request has run or its outcome is unknown; otherwise the
// problem is a proven not-run and another endpoint may be tried.
func (a *attemptRun) run(ctx context.Context) (done bool, p *Problem) {
	peer := a.gateway.peer(a.endpoint.Address)
	peer.outstanding.Add(1)
	defer peer.outstanding.Add(-1)
	ctx, cancel := context.WithDeadline(ctx, a.call.deadline)
	defer cancel()
	resp, err := peer.client.Do(a.request(ctx))
	if err != nil {
		return a.settle(peer.client, &link.Error{Step: "dispatch", Peer: a.endpoint.Address, Err: err})
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return a.settle(peer.client, &link.Error{Step: "dispatch", Peer: a.endpoint.Address, Err: errors.New(resp.Status)})
	}
	return a.read(peer.client, cancel, dispatch.NewReader(bufio.NewReaderSize(resp.Body, readBuffer)))
}

func (a *attemptRun) request(ctx context.Context) *http.Request {
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.endpoint.Address+dispatch.PathDispatch, bytes.NewReader(a.call.body)) // the URL is built from a parsed address
	// The transport must not send a dispatch again on its own.
	req.GetBody = nil
	c := a.call
	h := dispatch.Header{
		ID: a.id, Agent: a.endpoint.Incarnation, Service: c.service.Name, Version: a.endpoint.Version,
		Route: c.route.Name, Account: c.account.Name, Method: c.method, Path: c.path, Tier: c.tier,
		Revision: c.config.Revision, Timeout: time.Until(c.deadline),
		PromptTokens: c.promptTokens, AnswerTokens: c.answerTokens,
	}
	h.Write(req.Header)
	return req
}

// read consumes the frames. The watchdog runs only while waiting for a frame, so that a
// slow caller does not look like a silent agent.
func (a *attemptRun) read(client *http.Client, cancel func(), frames *dispatch.Reader) (bool, *Problem) {
	watchdog := time.AfterFunc(dispatch.SilenceTimeout, cancel)
	defer watchdog.Stop()
	for {
		watchdog.Reset(dispatch.SilenceTimeout)
		kind, payload, err := frames.Next()
		watchdog.Stop()
		if err != nil {
			return a.settle(client, &link.Error{Step: "reading frames", Peer: a.endpoint.Address, Err: err})
		}
		finished, done, p := a.frame(kind, payload)
		if finished {
			return done, p
		}
	}
}

func (a *attemptRun) frame(kind dispatch.FrameType, payload []byte) (finished, done bool, p *Problem) {
	var err error
	switch kind {
	case dispatch.FrameStarted:
		var m dispatch.Started
		if err = dispatch.Decode(payload, &m); err == nil {
			a.started = true
			a.out.start(a.endpoint, m.Status, m.Header)
		}
	case dispatch.FrameData:
		a.out.data(payload)
	case dispatch.FrameEnd:
		var m dispatch.End
		if err = dispatch.Decode(payload, &m); err == nil {
			return true, true, a.out.end(m.Length)
		}
	case dispatch.FrameRefused:
		var m dispatch.Refused
		if err = dispatch.Decode(payload, &m); err == nil {
			return true, false, a.refused(&m)
		}
	case dispatch.FrameLost:
		var m dispatch.Lost
		if err = dispatch.Decode(payload, &m); err == nil {
			return true, true, newProblem(http.StatusBadGateway, string(m.Code), Unknown, "endpoint %s: %s", a.endpoint.ID, m.Detail)
		}
	}
	if err != nil {
		return true, true, newProblem(http.StatusBadGateway, "bad_frame", Unknown, "endpoint %s: %v", a.endpoint.ID, err)
	}
	return false, false, nil
}

func (a *attemptRun) refused(m *dispatch.Refused) *Problem {
	a.gateway.opt.View.Saw(m.Revision, a.endpoint.Address)
	status := http.StatusServiceUnavailable
	if m.Code == dispatch.CodeDeadline {
		status = http.StatusGatewayTimeout
	}
	p := newProblem(status, string(m.Code), NotRun, "endpoint %s refused: %s", a.endpoint.ID, m.Detail)
	p.RetryAfter = max(m.RetryAfter, time.Second)
	return p
}

// settle finds out how a dispatch stands whose answer broke off, and seals it when it
// has not been committed.
func (a *attemptRun) settle(client *http.Client, cause error) (done bool, p *Problem) {
	if a.started {
		return true, newProblem(http.StatusBadGateway, "endpoint_lost", Unknown, "%v", cause)
	}
	ctx, cancel := context.WithTimeout(context.Background(), sealTimeout)
	defer cancel()
	reply, err := a.seal(ctx, client)
	if err != nil {
		return true, newProblem(http.StatusBadGateway, "endpoint_lost", Unknown, "%v; seal: %v", cause, err)
	}
	if reply.State == dispatch.SealSealed && reply.Incarnation == a.endpoint.Incarnation {
		return false, newProblem(http.StatusServiceUnavailable, string(dispatch.CodeSealed), NotRun, "%v", cause)
	}
	return true, newProblem(http.StatusBadGateway, "endpoint_lost", Unknown, "%v", cause)
}

func (a *attemptRun) seal(ctx context.Context, client *http.Client) (*dispatch.SealReply, error) {
	body, err := msgpack.Marshal(&dispatch.SealRequest{ID: a.id, Agent: a.endpoint.Incarnation})
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.endpoint.Address+dispatch.PathSeal, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var reply dispatch.SealReply
	if err := msgpack.NewDecoder(io.LimitReader(resp.Body, dispatch.MaxFrame)).Decode(&reply); err != nil {
		return nil, err
	}
	return &reply, nil
}

// answerWriter passes an answer to the caller.
type answerWriter struct {
	w       http.ResponseWriter
	flusher http.Flusher
	call    *call
	started bool
	length  int64
}

func newAnswerWriter(w http.ResponseWriter, c *call) *answerWriter {
	f, _ := w.(http.Flusher)
	return &answerWriter{w: w, flusher: f, call: c}
}

func (o *answerWriter) start(e endpoint.Endpoint, status int, header http.Header) {
	h := o.w.Header()
	if t := header.Get("Content-Type"); t != "" {
		h.Set("Content-Type", t)
	}
	h.Set(headerEndpoint, string(e.ID))
	h.Set(headerVersion, e.Version)
	o.started = true
	o.w.WriteHeader(status)
}

func (o *answerWriter) data(p []byte) {
	n, _ := o.w.Write(p)
	o.length += int64(n)
	if o.call.stream && o.flusher != nil {
		o.flusher.Flush()
	}
}

// end checks that the caller was given all bytes.
func (o *answerWriter) end(length int64) *Problem {
	if length != o.length {
		return newProblem(http.StatusBadGateway, "answer_cut", Unknown, "%d of %d bytes arrived", o.length, length)
	}
	return nil
}

// fail ends the answer with a problem. After the answer has started, an event stream
// gets an error event; another answer is broken off so that it cannot look complete.
func (o *answerWriter) fail(p *Problem) {
	if !o.started {
		p.write(o.w)
		return
	}
	if o.call.stream {
		_, _ = o.w.Write([]byte("event: error\ndata: " + string(p.document()) + "\n\n"))
		return
	}
	panic(http.ErrAbortHandler)
}
