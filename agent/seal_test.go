package agent_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"toucantiller.dev/agent"
	"toucantiller.dev/dispatch"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/fake"
	"toucantiller.dev/instance"
)

// Guards against an agent that reports a dispatch of its earlier incarnation as sealed: the
// dispatch may have run there.
func TestSealOfEarlierIncarnationTellsNothing(t *testing.T) {
	a, err := agent.New(agent.Options{Endpoint: endpoint.Endpoint{ID: "e", Incarnation: 2}, Engine: &fake.Resumable{}, View: noView{}})
	assert.NilError(t, err)
	for _, incarnation := range []instance.Incarnation{1, 2} {
		in := dispatch.SealRequest{ID: dispatch.ID{Request: "r"}, Agent: incarnation}
		body, err := msgpack.Marshal(&in)
		assert.NilError(t, err)
		w := httptest.NewRecorder()
		a.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, dispatch.PathSeal, bytes.NewReader(body)))
		var out dispatch.SealReply
		assert.NilError(t, msgpack.Unmarshal(w.Body.Bytes(), &out))
		assert.Equal(t, out.Incarnation, instance.Incarnation(2))
		assert.Equal(t, out.State == dispatch.SealSealed, incarnation == 2)
	}
}
