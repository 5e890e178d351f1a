package gateway_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"toucantiller.dev/dispatch"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/instance"
	"toucantiller.dev/link"
)

// stubAgent is an agent whose replies are set by the test.
type stubAgent struct {
	dispatch func(w http.ResponseWriter, r *http.Request, h *dispatch.Header)
	seal     dispatch.SealReply
	// hangSeals makes seals hang on a connection that carried a dispatch.
	hangSeals bool
}

// connKey is the context key of a connection's state.
type connKey struct{}

type connState struct{ dispatched atomic.Bool }

func (w *testCluster) addStub(id string, incarnation instance.Incarnation, s *stubAgent) {
	mux := http.NewServeMux()
	mux.HandleFunc(dispatch.PathDispatch, func(rw http.ResponseWriter, r *http.Request) {
		h, err := dispatch.ReadHeader(r.Header)
		assert.NilError(w.t, err)
		r.Context().Value(connKey{}).(*connState).dispatched.Store(true)
		s.dispatch(rw, r, h)
	})
	mux.HandleFunc(dispatch.PathSeal, func(rw http.ResponseWriter, r *http.Request) {
		if s.hangSeals && r.Context().Value(connKey{}).(*connState).dispatched.Load() {
			<-r.Context().Done()
			return
		}
		_ = msgpack.NewEncoder(rw).Encode(&s.seal)
	})
	e := endpoint.Endpoint{ID: instance.ID(id), Incarnation: incarnation, Service: "desk", Version: "1", Domain: "a", Address: "agent-" + id}
	l, err := w.network.Listen(e.Address)
	assert.NilError(w.t, err)
	server := link.NewHTTPServer(mux)
	server.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, &connState{})
	}
	go func() { _ = server.Serve(l) }()
	w.t.Cleanup(func() { _ = server.Close() })
	w.register(e)
}

func hang(_ http.ResponseWriter, r *http.Request, _ *dispatch.Header) { <-r.Context().Done() }

// Guards against an agent that answers connection probes but never the dispatch, and so holds
// the request for ever.
func TestHungAgentIsSettled(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		w.addStub("e1", 5, &stubAgent{dispatch: hang, seal: dispatch.SealReply{State: dispatch.SealSealed, Incarnation: 5}})
		w.startGateway()
		begin := time.Now()
		w.post(booking, "{}").expect(t, 503, executionField("not_run"))
		assert.Assert(t, time.Since(begin) <= 2*time.Second, "took %s", time.Since(begin))
	})
}

// Guards against sending the seal over the connection on which the dispatch failed.
func TestSealGoesOverNewConnection(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		w.addStub("e1", 5, &stubAgent{dispatch: hang, hangSeals: true, seal: dispatch.SealReply{State: dispatch.SealSealed, Incarnation: 5}})
		w.startGateway()
		begin := time.Now()
		w.post(booking, "{}").expect(t, 503, executionField("not_run"))
		assert.Assert(t, time.Since(begin) <= 2*time.Second, "took %s", time.Since(begin))
	})
}

// Guards against taking the reply of a new incarnation for that of the one that had the
// dispatch.
func TestSealByOtherIncarnationIsNotProof(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		w.addStub("e1", 5, &stubAgent{dispatch: hang, seal: dispatch.SealReply{State: dispatch.SealSealed, Incarnation: 6}})
		w.startGateway()
		w.post(booking, "{}").expect(t, 502, executionField("unknown"))
	})
}

// Guards against taking the refusal of a second copy as proof that the first one did not run.
func TestDuplicateRefusalIsNotProof(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		refuse := func(rw http.ResponseWriter, _ *http.Request, h *dispatch.Header) {
			_ = dispatch.NewWriter(rw, h.ID).WriteMessage(dispatch.FrameRefused, &dispatch.Refused{Code: dispatch.CodeDuplicate})
		}
		w.addStub("e1", 5, &stubAgent{dispatch: refuse, seal: dispatch.SealReply{State: dispatch.SealCommitted, Incarnation: 5}})
		w.startGateway()
		w.post(booking, "{}").expect(t, 502, executionField("unknown"))
	})
}

// Guards against the answer to another request reaching this caller.
func TestCrossedAnswerIsNotDelivered(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		crossed := func(rw http.ResponseWriter, _ *http.Request, h *dispatch.Header) {
			id := h.ID
			id.Request = "other"
			frames := dispatch.NewWriter(rw, id)
			_ = frames.WriteMessage(dispatch.FrameStarted, &dispatch.Started{Status: 200})
			_ = frames.WriteData([]byte("secret of another caller"))
			_ = frames.WriteMessage(dispatch.FrameEnd, &dispatch.End{Length: 24})
		}
		w.addStub("e1", 5, &stubAgent{dispatch: crossed, seal: dispatch.SealReply{State: dispatch.SealCommitted, Incarnation: 5}})
		w.startGateway()
		a := w.post(booking, "{}")
		a.expect(t, 502, executionField("unknown"))
	})
}

// Guards against an answer with an impossible head that an agent of an earlier version passes on,
// and against the suspension of its endpoint.
func TestImpossibleHeadFromAnAgent(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		status, header := 0, http.Header{}
		answer := func(rw http.ResponseWriter, _ *http.Request, h *dispatch.Header) {
			frames := dispatch.NewWriter(rw, h.ID)
			_ = frames.WriteMessage(dispatch.FrameStarted, &dispatch.Started{Status: status, Header: header})
			_ = frames.WriteData([]byte("body"))
			_ = frames.WriteMessage(dispatch.FrameEnd, &dispatch.End{Length: 4})
		}
		w.addStub("e1", 5, &stubAgent{dispatch: answer, seal: dispatch.SealReply{State: dispatch.SealCommitted, Incarnation: 5, Ended: true}})
		w.startGateway()
		for _, status = range []int{-1, 0, 99, 101, 600} {
			w.post(booking, "{}").expect(t, 502, executionField("unknown"), "engine_lost")
		}
		status = 200
		for _, name := range []string{"Content-Length ", "X Y", "", "X:", "X\r\nY"} {
			header = http.Header{name: {"1"}}
			w.post(booking, "{}").expect(t, 502, executionField("unknown"), "engine_lost")
		}
		header = http.Header{"Content-Type": {"text/plain"}}
		w.post(booking, "{}").expect(t, 200, "body")
	})
}
