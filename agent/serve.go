package agent

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"toucantiller.dev/dispatch"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/timeline"
)

// copyBuffer is the size of the buffer between engine and gateway, in bytes.
const copyBuffer = 4 << 10

func (a *Agent) serveDispatch(w http.ResponseWriter, r *http.Request) {
	h, err := dispatch.ReadHeader(r.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, a.opt.MaxBody+1))
	if err != nil || int64(len(body)) > a.opt.MaxBody {
		http.Error(w, "request body too large or cut", http.StatusBadRequest)
		return
	}
	a.requests.Add(1)
	defer a.requests.Done()
	a.opt.View.Saw(h.Revision, h.Link)
	s := newStream(w, a)
	defer s.close()
	if code := a.admit(h); code != "" {
		s.refuse(code, "")
		return
	}
	d := &dispatched{agent: a, header: h, body: body, stream: s}
	d.run(r.Context())
}

// admit decides whether a dispatch may be queued here; the empty code admits.
func (a *Agent) admit(h *dispatch.Header) dispatch.Code {
	switch {
	case h.Agent != a.opt.Endpoint.Incarnation:
		return dispatch.CodeWrongIncarnation
	case h.Version != a.opt.Endpoint.Version || h.Service != a.opt.Endpoint.Service:
		return dispatch.CodeWrongVersion
	case a.leaving.Load():
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

// dispatched is one admitted dispatch.
type dispatched struct {
	agent  *Agent
	header *dispatch.Header
	body   []byte
	stream *stream
}

func (d *dispatched) run(ctx context.Context) {
	a := d.agent
	d.stream.accept()
	if code := d.wait(ctx); code != "" {
		a.ledger.Seal(d.header.ID, a.now())
		d.stream.refuse(code, "")
		return
	}
	defer a.gate.release()
	if !a.ledger.Commit(d.header.ID) {
		d.stream.refuse(dispatch.CodeSealed, "")
		return
	}
	d.execute(ctx)
}

// wait queues until the dispatch has a place in the engine.
func (d *dispatched) wait(ctx context.Context) dispatch.Code {
	a := d.agent
	w := a.gate.enter(d.header.Tier)
	timeout := time.NewTimer(d.header.Timeout)
	defer timeout.Stop()
	code := dispatch.CodeCancelled
	select {
	case code := <-w.turn:
		return code
	case <-ctx.Done():
	case <-timeout.C:
		code = dispatch.CodeDeadline
	}
	if !a.gate.leave(w) {
		if granted := <-w.turn; granted == "" {
			a.gate.release()
		}
	}
	return code
}

func (d *dispatched) execute(ctx context.Context) {
	a := d.agent
	if d.header.Claim != "" {
		// A claimed request runs to its end even when the gateway is gone, so that its
		// answer can be given to the caller's repeat.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, d.header.Timeout)
	defer cancel()
	a.opt.Timeline.Record(timeline.Event{Kind: "dispatch.committed", Request: d.header.ID.Request, Endpoint: string(a.opt.Endpoint.ID)})
	answer, err := a.opt.Engine.Submit(ctx, d.request())
	if err != nil {
		d.submitFailed(err)
		return
	}
	defer answer.Body.Close()
	d.stream.start(answer)
	d.copy(answer)
}

func (d *dispatched) request() *endpoint.Request {
	return &endpoint.Request{ID: d.header.ID.String(), Method: d.header.Method, Path: d.header.Path, Body: d.body}
}

func (d *dispatched) submitFailed(err error) {
	a := d.agent
	if errors.Is(err, endpoint.ErrNotSent) {
		a.ledger.Unsent(d.header.ID, a.now())
		d.stream.refuse(dispatch.CodeEngineRefused, err.Error())
		return
	}
	a.ledger.Finish(d.header.ID, nil, a.now())
	d.stream.lose(dispatch.CodeEngineLost, err.Error())
}

// copy forwards the answer and, for a claimed request, keeps it.
func (d *dispatched) copy(answer *endpoint.Answer) {
	a := d.agent
	var kept *dispatch.StoredAnswer
	if d.header.Claim != "" {
		kept = &dispatch.StoredAnswer{Status: answer.Status, Header: answer.Header}
	}
	buf := make([]byte, copyBuffer)
	var total int64
	for {
		n, err := answer.Body.Read(buf)
		if n > 0 {
			total += int64(n)
			d.stream.data(buf[:n])
			if kept != nil {
				kept.Body = append(kept.Body, buf[:n]...)
			}
		}
		if errors.Is(err, io.EOF) {
			a.ledger.Finish(d.header.ID, kept, a.now())
			d.stream.end(total)
			return
		}
		if err != nil {
			a.ledger.Finish(d.header.ID, nil, a.now())
			d.stream.lose(dispatch.CodeEngineLost, err.Error())
			return
		}
	}
}

func (a *Agent) serveSeal(w http.ResponseWriter, r *http.Request) {
	var in dispatch.SealRequest
	if err := msgpack.NewDecoder(io.LimitReader(r.Body, dispatch.MaxFrame)).Decode(&in); err != nil {
		http.Error(w, "decoding seal: "+err.Error(), http.StatusBadRequest)
		return
	}
	out := dispatch.SealReply{Incarnation: a.opt.Endpoint.Incarnation}
	out.State, out.Answer = a.ledger.Seal(in.ID, a.now())
	_ = msgpack.NewEncoder(w).Encode(&out)
}
