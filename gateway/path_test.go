package gateway_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/account"
	"toucantiller.dev/agent"
	"toucantiller.dev/agent/httpengine"
	"toucantiller.dev/contract"
	"toucantiller.dev/control/api"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/failuredomain"
	"toucantiller.dev/fake"
	"toucantiller.dev/gateway"
	"toucantiller.dev/instance"
	"toucantiller.dev/link"
)

// staticView is a view of a deployment that does not change.
type staticView struct {
	config    *contract.Config
	directory *api.Directory
}

func (v *staticView) Config() *contract.Config       { return v.config }
func (v *staticView) Directory() *api.Directory      { return v.directory }
func (v *staticView) UnprovenAllowed(time.Time) bool { return true }
func (v *staticView) MayServe(time.Time) bool        { return true }
func (v *staticView) ObserveRevision(uint64, string) {}

func newStaticView(endpoints ...endpoint.Endpoint) *staticView {
	c := contract.NewConfig(contract.Parts{
		Revision: 1,
		Tiers:    []contract.Tier{{Name: "counter"}, {Name: "batch"}},
		Accounts: []*account.Account{{Name: "desk", KeyHashes: []string{account.HashKey("key")}}},
		Domains:  map[failuredomain.ID]failuredomain.Domain{"a": {ID: "a", State: failuredomain.StateActive}},
		Services: []*contract.Service{
			{Name: "lm", Kind: contract.KindModel, Models: []string{"lm"}, MaxBody: 1 << 10, Timeout: time.Second * 5, Versions: []contract.VersionShare{{Version: "1", Share: 1}}},
			{Name: "desk", Kind: contract.KindPlain, MaxBody: 1 << 10, Timeout: time.Second * 5, Versions: []contract.VersionShare{{Version: "1", Share: 1}}},
		},
	})
	return &staticView{config: c, directory: &api.Directory{Endpoints: endpoints}}
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return l
}

func serveHandler(t *testing.T, h http.Handler) string {
	l := listen(t)
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

func startAgent(t *testing.T, v *staticView, service string, engine http.Handler) endpoint.Endpoint {
	engineAddr := serveHandler(t, engine)
	l := listen(t)
	e := endpoint.Endpoint{ID: instance.ID("e-" + service), Incarnation: instance.NewIncarnation(), Service: service, Version: "1", Domain: "a", Address: l.Addr().String()}
	a, err := agent.New(agent.Options{Endpoint: e, Engine: httpengine.New(nil, "http://"+engineAddr), View: v, Network: link.TCP{}})
	assert.NilError(t, err)
	go func() { _ = a.Serve(l) }()
	t.Cleanup(func() { _ = a.Stop(context.Background()) })
	return e
}

func startGatewayWithAgents(t *testing.T) string {
	v := newStaticView()
	model := fake.NewModel("lm-1", fake.Behaviour{PrefillRate: 1e6, DecodeRate: 1e4})
	v.directory.Endpoints = []endpoint.Endpoint{
		startAgent(t, v, "lm", model),
		startAgent(t, v, "desk", fake.NewPlain("desk-1", 0)),
	}
	g, err := gateway.New(gateway.Options{Instance: instance.Instance{ID: "g1", Incarnation: 7}, View: v, Network: link.TCP{}})
	assert.NilError(t, err)
	l := listen(t)
	go func() { _ = g.Serve(l) }()
	t.Cleanup(func() { _ = g.Stop(context.Background()) })
	return "http://" + l.Addr().String()
}

func post(t *testing.T, url, body string) (*http.Response, string) {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer key")
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp, string(b)
}

// Guards against a path from caller to engine that does not carry a call or the whole answer
// back.
func TestCallReachesEngineAndAnswerReturns(t *testing.T) {
	url := startGatewayWithAgents(t)
	resp, body := post(t, url+"/v1/chat/completions", `{"model":"lm","messages":[{"content":"hello"}]}`)
	assert.Equal(t, resp.StatusCode, 200, body)
	assert.Equal(t, resp.Header.Get("X-Endpoint-Id"), "e-lm")
	assert.Assert(t, strings.Contains(body, "word8 "), body)

	resp, body = post(t, url+"/v1/completions", `{"model":"lm","prompt":"hello","stream":true}`)
	assert.Equal(t, resp.StatusCode, 200, body)
	assert.Assert(t, strings.HasSuffix(body, "data: [DONE]\n\n"), body)

	resp, body = post(t, url+"/services/desk/bookings", `{"slot":3}`)
	assert.Equal(t, resp.StatusCode, 200, body)
	assert.Assert(t, strings.Contains(body, `"write":1`), body)
}
