package agent

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"toucantiller.dev/dispatch"
	"toucantiller.dev/intake"
	"toucantiller.dev/timeline"
)

// refusal is the reason why a dispatch is not run. The empty code means that it is granted.
type refusal struct {
	code       dispatch.Code
	detail     string
	retryAfter time.Duration
}

func (a *Agent) serveDispatch(w http.ResponseWriter, r *http.Request) {
	h, err := dispatch.ReadHeader(r.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	arrived := a.now()
	size := a.heldFor(r)
	if !a.opt.Bodies.Hold(size) {
		a.refuseBody(w, r, h)
		return
	}
	defer func() { a.opt.Bodies.Release(size) }()
	body, err := a.readBody(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a.opt.Bodies.Release(size - int64(len(body)))
	size = int64(len(body))
	a.open.Add(1)
	defer a.open.Add(-1)
	a.gate.configure(a.opt.View.Config())
	a.opt.View.ObserveRevision(h.Revision, h.Link)
	if h.Engine != nil && a.gate.declare(*h.Engine) {
		a.opt.Timeline.Record(timeline.Event{Kind: "endpoint.declared", Endpoint: string(h.Engine.ID)})
		_ = a.opt.Logger.Log("msg", "serving endpoint", "endpoint", h.Engine.ID, "slots", h.Engine.Slots, "cold_rate", h.Engine.ColdRate)
	}
	s := newStream(w, a, h.ID)
	s.passAll = h.PassAll
	defer s.close()
	if code := a.admit(h); code != "" {
		s.writeRefused(refusal{code: code})
		return
	}
	d := &dispatchRun{agent: a, header: h, body: body, stream: s, arrived: arrived}
	d.run(r.Context())
}

// readBody reads the whole body. Content-Length is known except for empty bodies.
func (a *Agent) readBody(r *http.Request) ([]byte, error) {
	if r.ContentLength > a.opt.MaxBody {
		return nil, errBodyTooLarge
	}
	if r.ContentLength > 0 {
		body := make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, a.opt.MaxBody+1))
	if err == nil && int64(len(body)) > a.opt.MaxBody {
		err = errBodyTooLarge
	}
	return body, err
}

// admit decides whether a dispatch may be queued here; the empty code admits it. Every code
// except CodeDuplicate proves that the dispatch did not run here.
func (a *Agent) admit(h *dispatch.Header) dispatch.Code {
	switch {
	case h.Agent != a.opt.Endpoint.Incarnation:
		return dispatch.CodeWrongIncarnation
	case h.Engine == nil && (h.Version != a.opt.Endpoint.Version || h.Service != a.opt.Endpoint.Service):
		return dispatch.CodeWrongVersion
	case a.leaving.Load() || !a.mayAct():
		return dispatch.CodeDraining
	case a.domainDrained():
		return dispatch.CodeDomainDrained
	case !a.ledger.Admit(h.ID, a.now()):
		return dispatch.CodeDuplicate
	}
	return ""
}

func (a *Agent) domainDrained() bool {
	c := a.opt.View.Config()
	if c == nil {
		return false
	}
	d, ok := c.Domains[a.opt.Endpoint.Domain]
	return ok && !d.AcceptsWork()
}

// dispatchRun is the execution of one admitted dispatch.
type dispatchRun struct {
	agent  *Agent
	header *dispatch.Header
	body   []byte
	stream *stream
	// slot is the dispatch's place at the gate, waiting or granted.
	slot *waiter
	// arrived is when the dispatch was read; its timeout counts from then.
	arrived time.Time
	// started is when the answer began; zero before that.
	started time.Time
}

func (d *dispatchRun) run(ctx context.Context) {
	a := d.agent
	if r := d.waitForSlot(ctx); r.code != "" {
		a.ledger.Seal(d.header.ID, a.now())
		d.stream.writeRefused(r)
		return
	}
	defer a.gate.release(d.slot)
	if ctx.Err() != nil {
		// The caller left between the grant and the commit.
		a.ledger.Seal(d.header.ID, a.now())
		d.stream.writeRefused(refusal{code: dispatch.CodeCancelled})
		return
	}
	if !a.mayAct() {
		// The agent lost the right to act while the dispatch was queued.
		a.ledger.Seal(d.header.ID, a.now())
		d.stream.writeRefused(refusal{code: dispatch.CodeDraining})
		return
	}
	if !a.ledger.Commit(d.header.ID) {
		d.stream.writeRefused(refusal{code: dispatch.CodeSealed})
		return
	}
	d.execute(ctx)
}

// waitForSlot queues the dispatch until it gets a slot in the engine. The empty code grants
// one.
func (d *dispatchRun) waitForSlot(ctx context.Context) refusal {
	a := d.agent
	d.slot = a.gate.acquire(d.header, a.now())
	select {
	case r := <-d.slot.decision:
		d.stream.writeAccepted(false)
		return r
	default:
	}
	d.stream.writeAccepted(true)
	timeout := time.NewTimer(d.header.Timeout)
	defer timeout.Stop()
	code := dispatch.CodeCancelled
	select {
	case r := <-d.slot.decision:
		return r
	case <-ctx.Done():
	case <-timeout.C:
		code = dispatch.CodeDeadline
	}
	if !a.gate.withdraw(d.slot) {
		if granted := <-d.slot.decision; granted.code == "" {
			a.gate.release(d.slot)
		}
	}
	return refusal{code: code}
}

func (a *Agent) serveSeal(w http.ResponseWriter, r *http.Request) {
	var in dispatch.SealRequest
	if !a.decodeRequest(w, r, &in) {
		return
	}
	var out dispatch.SealReply
	switch {
	case in.Confirm:
		a.ledger.Confirm(in.ID)
	case in.Agent == a.opt.Endpoint.Incarnation:
		out = a.ledger.Seal(in.ID, a.now())
	}
	out.Incarnation = a.opt.Endpoint.Incarnation
	_ = msgpack.NewEncoder(w).Encode(&out)
}

func (a *Agent) serveFloor(w http.ResponseWriter, r *http.Request) {
	var in dispatch.FloorRequest
	if !a.decodeRequest(w, r, &in) {
		return
	}
	a.gate.raiseFloor(in, a.now())
	a.serveLoad(w, r)
}

func (a *Agent) serveLoad(w http.ResponseWriter, _ *http.Request) {
	l := a.Load()
	l.Slowdown = 0 // whoever asks may be of an earlier version
	_ = msgpack.NewEncoder(w).Encode(a.heartbeat(l))
}

// decodeRequest decodes the body into the value. For a malformed request it writes the error
// response and returns false.
func (a *Agent) decodeRequest(w http.ResponseWriter, r *http.Request, into any) bool {
	held, ok := a.holdMessage(r)
	if !ok {
		intake.Relieve(r.Context())
		http.Error(w, errMessagesFull.Error(), http.StatusServiceUnavailable)
		return false
	}
	defer a.opt.Bodies.Release(held)
	if err := dispatch.ReadMessage(r.Body, into); err != nil {
		http.Error(w, "decoding request: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
