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
	// copyBuffer is the size of the copy buffer between engine and gateway, in bytes.
	copyBuffer = 4 << 10
	// maxResumes bounds how often one answer is resumed at the engine.
	maxResumes = 3
	// cancelTimeout bounds the cancel call to the engine.
	cancelTimeout = time.Second
)

var copyBuffers = sync.Pool{New: func() any { return new([copyBuffer]byte) }}

// execute submits a committed dispatch to the engine and forwards the answer to the gateway.
func (d *dispatchRun) execute(ctx context.Context) {
	a := d.agent
	if d.header.Claim != "" {
		// A claimed request runs to completion even if the gateway disconnects, so that its
		// answer can be returned when the caller retries.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, d.remaining())
	defer cancel()
	a.opt.Timeline.Record(timeline.Event{Kind: "dispatch.committed", Request: d.header.ID.Request, Endpoint: string(a.opt.Endpoint.ID)})
	answer, err := a.opt.Engine.Submit(ctx, d.engineRequest())
	if err != nil {
		answer, err = d.resumeAfterSubmitError(ctx, err)
	}
	if err != nil {
		d.fail(ctx, err)
		return
	}
	d.started = a.now()
	d.slot.recordSelfReport(answer.Report, d.started)
	d.slot.recordFirstByte(d.started)
	d.stream.writeStarted(answer)
	d.forward(ctx, answer)
}

func (d *dispatchRun) engineRequest() *endpoint.Request {
	h := d.header
	r := &endpoint.Request{
		ID: h.ID.String(), Method: h.Method, Path: h.Path, Header: h.Pass, Body: d.body,
		Host: h.Host, Account: h.Account, Timeout: d.remaining(),
	}
	if h.Engine != nil {
		r.Endpoint, r.Incarnation = h.Engine.ID, h.Engine.Incarnation
	}
	return r
}

// remaining returns the time until the caller's deadline.
func (d *dispatchRun) remaining() time.Duration {
	return d.header.Timeout - d.agent.now().Sub(d.arrived)
}

// resumeAfterSubmitError tries to resume the request at the engine, since a failed submit may
// have reached it. It returns cause if the engine cannot resume.
func (d *dispatchRun) resumeAfterSubmitError(ctx context.Context, cause error) (*endpoint.Answer, error) {
	if errors.Is(cause, endpoint.ErrNotSent) || ctx.Err() != nil {
		return nil, cause
	}
	answer, err := d.agent.opt.Engine.Resume(ctx, d.header.ID.String(), 0)
	if err != nil {
		return nil, cause
	}
	return answer, nil
}

// fail settles a dispatch without an answer or with an incomplete one.
func (d *dispatchRun) fail(ctx context.Context, err error) {
	a := d.agent
	if errors.Is(err, endpoint.ErrNotSent) {
		d.failUnsent(ctx, err)
		return
	}
	a.ledger.Finish(d.header.ID, nil, a.now())
	a.metrics.wasted.add(int64(d.header.PromptTokens))
	d.logOutcome("broken: "+err.Error(), 0, 0)
	if ctx.Err() != nil {
		d.stopAtEngine(ctx)
		return
	}
	d.slot.finish(outcome{failed: true})
	d.recordEvent("dispatch.lost", err.Error())
	d.stream.writeLost(dispatch.CodeEngineLost, err.Error())
}

// failUnsent refuses a dispatch that provably did not run at the engine.
func (d *dispatchRun) failUnsent(ctx context.Context, err error) {
	a := d.agent
	a.ledger.MarkUnsent(d.header.ID, a.now())
	r := refusal{code: dispatch.CodeEngineRefused, detail: err.Error()}
	var refused *endpoint.RefusedError
	if errors.As(err, &refused) {
		r.code, r.retryAfter = dispatch.RefusalCode(refused), refused.RetryAfter
		d.slot.recordSelfReport(refused.Report, a.now())
		d.slot.finish(outcome{cancelled: true})
		d.stream.writeRefused(r)
		return
	}
	gone := ctx.Err() == nil
	d.slot.finish(outcome{cancelled: !gone, failed: gone, unreachable: gone})
	if d.header.Engine != nil {
		// No byte reached the engine, so another attempt cannot run the request twice.
		r.code = dispatch.CodeUnreachable
	}
	d.stream.writeRefused(r)
}

// stopAtEngine cancels the request at the engine after the caller left or the deadline passed.
func (d *dispatchRun) stopAtEngine(ctx context.Context) {
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
	d.slot.finish(outcome{cancelled: true})
	d.recordEvent("dispatch.cancelled", string(code))
	d.stream.writeLost(code, "stopped at the engine")
}

func (d *dispatchRun) recordEvent(kind timeline.Kind, detail string) {
	d.agent.opt.Timeline.Record(timeline.Event{Kind: kind, Request: d.header.ID.Request, Endpoint: string(d.agent.opt.Endpoint.ID), Detail: detail})
}

// forward copies the answer to the gateway and records it for a claimed request. If the answer
// breaks off, it is resumed at the engine where the engine supports that.
func (d *dispatchRun) forward(ctx context.Context, answer *endpoint.Answer) {
	a := d.agent
	k := newAnswerRecorder(a.ledger, d.header, answer)
	defer k.release()
	live := answer.Header.Get("Content-Length") == ""
	var count tokenCounter
	for resumes := 0; ; resumes++ {
		err := d.copyAnswer(answer, live, k, &count)
		_ = answer.Body.Close()
		if errors.Is(err, io.EOF) {
			break
		}
		if ctx.Err() != nil || resumes == maxResumes {
			d.fail(ctx, err)
			return
		}
		next, resumeErr := a.opt.Engine.Resume(ctx, d.header.ID.String(), d.stream.frames.Offset())
		if resumeErr != nil {
			d.fail(ctx, err)
			return
		}
		a.metrics.resumed.add(1)
		d.recordEvent("dispatch.resumed", err.Error())
		answer = next
	}
	stored := k.answer()
	k.release()
	a.ledger.Finish(d.header.ID, stored, a.now())
	tokens := d.answerTokens(&count)
	d.slot.finish(outcome{answerTokens: d.decodedTokens(&count, tokens), failed: answer.Status >= 500})
	d.recordEvent("dispatch.done", "")
	d.stream.writeEnd(count.prompt, tokens)
	d.logOutcome("done", answer.Status, count.events)
}

// logOutcome logs the result of a dispatch that was submitted to the engine.
func (d *dispatchRun) logOutcome(outcome string, status, events int) {
	if d.header.Engine == nil {
		return // endpoints that do not announce themselves are covered by the time line
	}
	now := d.agent.now()
	first := time.Duration(0)
	if !d.started.IsZero() {
		first = d.started.Sub(d.slot.granted)
	}
	_ = d.agent.opt.Logger.Log("msg", "dispatch", "request", d.header.ID.Request, "attempt", d.header.ID.Attempt,
		"outcome", outcome, "status", status, "endpoint", d.header.Engine.ID, "prompt", d.header.PromptTokens,
		"events", events, "running", d.slot.runningAtStart, "waited_ms", d.slot.granted.Sub(d.arrived).Milliseconds(),
		"first_ms", first.Milliseconds(), "total_ms", now.Sub(d.slot.granted).Milliseconds())
}

// answerTokens returns the number of tokens in an answer. Engines that announce themselves
// state the number of tokens in each event of a stream.
func (d *dispatchRun) answerTokens(count *tokenCounter) int {
	if e := d.header.Engine; e != nil {
		return count.events * max(e.EventTokens, 1)
	}
	return count.tokens()
}

// decodedTokens returns the number of tokens that came after the first byte of the answer.
func (d *dispatchRun) decodedTokens(count *tokenCounter, tokens int) int {
	if e := d.header.Engine; e != nil {
		return max(count.events-1, 0) * max(e.EventTokens, 1)
	}
	return tokens
}

// copyAnswer copies the answer body to the gateway. It returns io.EOF when the body is
// complete.
func (d *dispatchRun) copyAnswer(answer *endpoint.Answer, live bool, k *answerRecorder, count *tokenCounter) error {
	buf := copyBuffers.Get().(*[copyBuffer]byte)
	defer copyBuffers.Put(buf)
	for {
		n, err := answer.Body.Read(buf[:])
		if n > 0 {
			count.read(buf[:n])
			k.add(buf[:n])
			d.stream.writeData(buf[:n], live)
		}
		if err != nil {
			return err
		}
	}
}

// answerRecorder collects the answer of a claimed request; a nil recorder discards it. Its bytes
// count in the ledger's bound until release.
type answerRecorder struct {
	ledger *Ledger
	stored dispatch.StoredAnswer
	// held is what counts in the ledger, in bytes.
	held int64
	// dropped is set once the ledger had no room for the answer.
	dropped bool
}

func newAnswerRecorder(l *Ledger, h *dispatch.Header, answer *endpoint.Answer) *answerRecorder {
	if h.Claim == "" {
		return nil
	}
	return &answerRecorder{ledger: l, stored: dispatch.StoredAnswer{Status: answer.Status, Header: dispatch.SelectHeaders(answer.Header, dispatch.AnswerHeaders)}}
}

func (k *answerRecorder) add(p []byte) {
	if k == nil || k.stored.TooLarge || k.dropped {
		return
	}
	if len(k.stored.Body)+len(p) > dispatch.MaxStoredAnswer {
		k.stored.TooLarge = true
		k.stored.Body = nil
		k.release()
		return
	}
	k.stored.Body = append(k.stored.Body, p...)
	grown := int64(cap(k.stored.Body)) - k.held
	if grown == 0 {
		return
	}
	if !k.ledger.holdRecording(grown) {
		k.dropped = true
		k.stored.Body = nil
		k.release()
		return
	}
	k.held += grown
}

// release ends the count of the answer; later calls do nothing.
func (k *answerRecorder) release() {
	if k == nil || k.held == 0 {
		return
	}
	k.ledger.releaseRecording(k.held)
	k.held = 0
}

// answer returns the complete answer, nil if it was not recorded.
func (k *answerRecorder) answer() *dispatch.StoredAnswer {
	if k == nil || k.dropped {
		return nil
	}
	return &k.stored
}
