package agent

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"toucantiller.dev/dispatch"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/timeline"
)

const (
	// copyBuffer is the size of the buffer between engine and gateway, in bytes.
	copyBuffer = 4 << 10
	// maxResumes bounds how often one answer is reopened at the engine.
	maxResumes = 3
	// cancelTimeout bounds telling the engine that a request is not wanted any more.
	cancelTimeout = time.Second
)

var copyBuffers = sync.Pool{New: func() any { return new([copyBuffer]byte) }}

// execute gives a committed dispatch to the engine and its answer to the gateway.
func (d *dispatched) execute(ctx context.Context) {
	a := d.agent
	if d.header.Claim != "" {
		// A claimed request runs to its end even when the gateway is gone, so that its
		// answer can be given to the caller's repeat.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, d.left())
	defer cancel()
	a.opt.Timeline.Record(timeline.Event{Kind: "dispatch.committed", Request: d.header.ID.Request, Endpoint: string(a.opt.Endpoint.ID)})
	answer, err := a.opt.Engine.Submit(ctx, d.request())
	if err != nil {
		answer, err = d.submitFailed(ctx, err)
	}
	if err != nil {
		d.failed(ctx, err)
		return
	}
	d.started = a.now()
	d.place.firstByte(d.started)
	d.stream.start(answer)
	d.forward(ctx, answer)
}

func (d *dispatched) request() *endpoint.Request {
	h := d.header
	r := &endpoint.Request{
		ID: h.ID.String(), Method: h.Method, Path: h.Path, Header: h.Pass, Body: d.body,
		Host: h.Host, Account: h.Account, Timeout: d.left(),
	}
	if h.Engine != nil {
		r.Endpoint = h.Engine.ID
	}
	return r
}

// left is the time until the caller's deadline.
func (d *dispatched) left() time.Duration { return d.header.Timeout - d.agent.now().Sub(d.arrived) }

// submitFailed asks the engine whether it has the request, where it can tell.
func (d *dispatched) submitFailed(ctx context.Context, cause error) (*endpoint.Answer, error) {
	if errors.Is(cause, endpoint.ErrNotSent) || ctx.Err() != nil {
		return nil, cause
	}
	answer, err := d.agent.opt.Engine.Resume(ctx, d.header.ID.String(), 0)
	if err != nil {
		return nil, cause
	}
	return answer, nil
}

// failed settles a dispatch whose answer never came or broke off.
func (d *dispatched) failed(ctx context.Context, err error) {
	a := d.agent
	if errors.Is(err, endpoint.ErrNotSent) {
		a.ledger.Unsent(d.header.ID, a.now())
		var refused *endpoint.RefusedError
		full := errors.As(err, &refused)
		gone := ctx.Err() == nil && !full
		d.place.ended(outcome{cancelled: !gone, failed: gone, gone: gone})
		code := dispatch.CodeEngineRefused
		switch {
		case full && !refused.Misdirected:
			code = dispatch.CodeEngineFull
		case !full && d.header.Engine != nil:
			// No byte reached the engine, so another attempt is no repeat there.
			code = dispatch.CodeUnreachable
		}
		d.stream.refuse(refusal{code: code, detail: err.Error()})
		return
	}
	a.ledger.Finish(d.header.ID, nil, a.now())
	a.metrics.wasted.add(int64(d.header.PromptTokens))
	d.log("broken: "+err.Error(), 0, 0)
	if ctx.Err() != nil {
		d.cancelled(ctx)
		return
	}
	d.place.ended(outcome{failed: true})
	d.record("dispatch.lost", err.Error())
	d.stream.lose(dispatch.CodeEngineLost, err.Error())
}

// cancelled stops the work at the engine after the caller left or the deadline passed.
func (d *dispatched) cancelled(ctx context.Context) {
	a := d.agent
	code := dispatch.CodeCancelled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		code = dispatch.CodeDeadline
	}
	stop, done := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer done()
	if err := a.opt.Engine.Cancel(stop, d.header.ID.String()); err != nil && !errors.Is(err, endpoint.ErrUnsupported) {
		a.metrics.cancelFailures.add(1)
	}
	d.place.ended(outcome{cancelled: true})
	d.record("dispatch.cancelled", string(code))
	d.stream.lose(code, "stopped at the engine")
}

func (d *dispatched) record(kind timeline.Kind, detail string) {
	d.agent.opt.Timeline.Record(timeline.Event{Kind: kind, Request: d.header.ID.Request, Endpoint: string(d.agent.opt.Endpoint.ID), Detail: detail})
}

// forward copies the answer to the gateway, reopening it at the engine where it breaks
// off and the engine can, and keeps it for a claimed request.
func (d *dispatched) forward(ctx context.Context, answer *endpoint.Answer) {
	a := d.agent
	k := newKeeper(d.header, answer)
	live := answer.Header.Get("Content-Length") == ""
	var count tokenCounter
	for resumes := 0; ; resumes++ {
		err := d.copy(answer, live, k, &count)
		_ = answer.Body.Close()
		if errors.Is(err, io.EOF) {
			break
		}
		if ctx.Err() != nil || resumes == maxResumes {
			d.failed(ctx, err)
			return
		}
		next, resumeErr := a.opt.Engine.Resume(ctx, d.header.ID.String(), d.stream.frames.Offset())
		if resumeErr != nil {
			d.failed(ctx, err)
			return
		}
		a.metrics.resumed.add(1)
		d.record("dispatch.resumed", err.Error())
		answer = next
	}
	a.ledger.Finish(d.header.ID, k.answer(), a.now())
	tokens := d.answerTokens(&count)
	d.place.ended(outcome{answerTokens: d.decodedTokens(&count, tokens), failed: answer.Status >= 500})
	d.record("dispatch.done", "")
	d.stream.end(count.prompt, tokens)
	d.log("done", answer.Status, count.events)
}

// log writes the line of a dispatch that was given to the engine.
func (d *dispatched) log(outcome string, status, events int) {
	if d.header.Engine == nil {
		return // the product's own deployments have the time line
	}
	now := d.agent.now()
	first := time.Duration(0)
	if !d.started.IsZero() {
		first = d.started.Sub(d.place.granted)
	}
	_ = d.agent.opt.Logger.Log("msg", "dispatch", "request", d.header.ID.Request, "attempt", d.header.ID.Attempt,
		"outcome", outcome, "status", status, "endpoint", d.header.Engine.ID, "prompt", d.header.PromptTokens,
		"events", events, "running", d.place.beside, "waited_ms", d.place.granted.Sub(d.arrived).Milliseconds(),
		"first_ms", first.Milliseconds(), "total_ms", now.Sub(d.place.granted).Milliseconds())
}

// answerTokens returns the tokens of an answer. Engines that announce themselves say how
// many each event of a stream holds.
func (d *dispatched) answerTokens(count *tokenCounter) int {
	if e := d.header.Engine; e != nil {
		return count.events * max(e.EventTokens, 1)
	}
	return count.tokens()
}

// decodedTokens returns the tokens of an answer that came after its first byte.
func (d *dispatched) decodedTokens(count *tokenCounter, tokens int) int {
	if e := d.header.Engine; e != nil {
		return max(count.events-1, 0) * max(e.EventTokens, 1)
	}
	return tokens
}

// copy returns io.EOF once the engine ended the answer.
func (d *dispatched) copy(answer *endpoint.Answer, live bool, k *keeper, count *tokenCounter) error {
	buf := copyBuffers.Get().(*[copyBuffer]byte)
	defer copyBuffers.Put(buf)
	for {
		n, err := answer.Body.Read(buf[:])
		if n > 0 {
			count.read(buf[:n])
			k.add(buf[:n])
			d.stream.data(buf[:n], live)
		}
		if err != nil {
			return err
		}
	}
}

// keeper collects the answer of a claimed request; a nil keeper keeps nothing.
type keeper struct{ kept dispatch.StoredAnswer }

func newKeeper(h *dispatch.Header, answer *endpoint.Answer) *keeper {
	if h.Claim == "" {
		return nil
	}
	return &keeper{kept: dispatch.StoredAnswer{Status: answer.Status, Header: dispatch.SelectHeaders(answer.Header, dispatch.AnswerHeaders)}}
}

func (k *keeper) add(p []byte) {
	if k == nil || k.kept.TooLarge {
		return
	}
	if len(k.kept.Body)+len(p) > dispatch.MaxStoredAnswer {
		k.kept.TooLarge = true
		k.kept.Body = nil
		return
	}
	k.kept.Body = append(k.kept.Body, p...)
}

func (k *keeper) answer() *dispatch.StoredAnswer {
	if k == nil {
		return nil
	}
	return &k.kept
}
