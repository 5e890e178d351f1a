package agent_test

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/agent"
	"toucantiller.dev/dispatch"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/link"
	"toucantiller.dev/memory"
)

// sendBody sends a dispatch with a body of 1 MiB.
func sendBody(ctx context.Context, client *http.Client, id dispatch.ID) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://agent"+dispatch.PathDispatch, http.NoBody)
	if err != nil {
		return nil, err
	}
	h := dispatch.Header{ID: id, Agent: 2, Service: "s", Version: "1", Method: "POST", Timeout: time.Minute}
	h.Write(r.Header)
	dispatch.SetBody(r, make([]byte, 1<<20))
	return client.Do(r)
}

// Guards against bodies in the agent's queue that together exceed its memory, and against a
// refused dispatch that the gateway takes for one that may have run.
func TestBodiesInTheQueueAreBounded(t *testing.T) {
	network := link.NewMemory()
	a, err := agent.New(agent.Options{
		Endpoint: endpoint.Endpoint{ID: "e", Incarnation: 2, Service: "s", Version: "1"},
		Engine:   &blockedEngine{}, View: noView{}, Bodies: memory.NewBound(3 << 20),
	})
	assert.NilError(t, err)
	l, err := network.Listen("agent")
	assert.NilError(t, err)
	go func() { _ = a.Serve(l) }()
	client := link.NewHTTPClient(network, "agent")
	ctx, cancel := context.WithCancel(context.Background())
	var waiting sync.WaitGroup
	defer waiting.Wait()
	defer cancel()
	for i := range 3 {
		// The first runs, the others wait for it.
		waiting.Go(func() {
			if resp, err := sendBody(ctx, client, dispatch.ID{Request: "r", Attempt: i}); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		})
	}
	for deadline := time.Now().Add(5 * time.Second); a.Load().Running+a.Load().Queued < 3; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "%+v", a.Load())
	}
	id := dispatch.ID{Request: "r", Attempt: 3}
	resp, err := sendBody(ctx, client, id)
	assert.NilError(t, err)
	defer resp.Body.Close()
	kind, payload, err := dispatch.NewReader(resp.Body, id).Next()
	assert.NilError(t, err)
	assert.Equal(t, kind, dispatch.FrameRefused)
	var refused dispatch.Refused
	assert.NilError(t, dispatch.Decode(payload, &refused))
	assert.Equal(t, refused.Code, dispatch.CodePaused)
	assert.Assert(t, refused.RetryAfter > 0, "the gateway would try again at once")
	assert.Equal(t, a.Load().Queued, 2)
}
