package gateway_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	sdk "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/metric/metricdata"
	"gotest.tools/v3/assert"

	"toucantiller.dev/account"
	"toucantiller.dev/agent"
	"toucantiller.dev/agent/httpengine"
	"toucantiller.dev/contract"
	"toucantiller.dev/control/api"
	"toucantiller.dev/dispatch"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/failuredomain"
	"toucantiller.dev/gateway"
	"toucantiller.dev/instance"
	"toucantiller.dev/link"
	"toucantiller.dev/memory"
	"toucantiller.dev/timeline"
)

// view is a gateway.View whose configuration and directory can be replaced.
type view struct {
	config    atomic.Pointer[contract.Config]
	directory atomic.Pointer[api.Directory]
	saw       atomic.Uint64
}

func (v *view) Config() *contract.Config                  { return v.config.Load() }
func (v *view) Directory() *api.Directory                 { return v.directory.Load() }
func (v *view) UnprovenAllowed(time.Time) bool            { return true }
func (v *view) MayServe(time.Time) bool                   { return true }
func (v *view) ObserveRevision(revision uint64, _ string) { v.saw.Store(max(v.saw.Load(), revision)) }

func testConfig() *contract.Config {
	shares := []contract.VersionShare{{Version: "1", Share: 1}}
	idempotent := []contract.Route{{Name: "lookup", Method: "PUT", Path: "/lookup*", Idempotent: true}}
	return contract.NewConfig(contract.Parts{
		Revision: 1,
		Tiers:    []contract.Tier{{Name: "counter", MaxQueueTime: 5 * time.Second}, {Name: "batch", MaxQueueTime: 5 * time.Second}},
		Accounts: []*account.Account{
			{Name: "desk", KeyHashes: []string{account.HashKey("key")}},
			{Name: "slow", KeyHashes: []string{account.HashKey("slow")}, Tier: 1, RequestsPerSecond: 0.5, Burst: 1, Services: []string{"desk"}},
			{Name: "one", KeyHashes: []string{account.HashKey("one")}, MaxConcurrent: 1},
		},
		Domains: map[failuredomain.ID]failuredomain.Domain{"a": {ID: "a", State: failuredomain.StateActive}},
		Services: []*contract.Service{
			{Name: "lm", Kind: contract.KindModel, Models: []string{"lm"}, MaxBody: 1 << 20, QueueLength: 100, Timeout: 10 * time.Second, Versions: shares},
			{Name: "desk", Kind: contract.KindPlain, MaxBody: 1 << 10, QueueLength: 100, Timeout: 10 * time.Second, Versions: shares, Routes: idempotent},
		},
	})
}

// countingNetwork counts the bytes of a gateway's connections to agents in both
// directions, without headers of TCP and IP, and the connections opened and closed.
type countingNetwork struct {
	link.Network
	bytes, opened, closed atomic.Int64
}

func (n *countingNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	c, err := n.Network.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	n.opened.Add(1)
	return &countingConn{Conn: c, network: n}, nil
}

type countingConn struct {
	net.Conn
	network *countingNetwork
	closed  sync.Once
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.network.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.network.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Close() error {
	c.closed.Do(func() { c.network.closed.Add(1) })
	return c.Conn.Close()
}

// testCluster is a gateway and agents on an in-memory network.
type testCluster struct {
	t       *testing.T
	network *link.Memory
	links   *countingNetwork // the gateway's connections over network
	view    *view
	claims  *claimTable
	gateway *gateway.Gateway
	agents  map[endpoint.ID]*agent.Agent
	events  *timeline.Recorder
	// stopDelay is the Options.StopDelay of gateways started later.
	// report reads what endpoints without agents say of their load; nil if they say nothing.
	report    func(*http.Response) endpoint.SelfReport
	stopDelay time.Duration
	// memoryBudget is the Options.MemoryBudget of gateways started later.
	memoryBudget memory.Budget
	client       *http.Client
	// logger is the Options.Logger of gateways started later.
	logger log.Logger
	// usage is the Options.Usage of gateways started later.
	usage gateway.Usage
	// metrics reads the metrics of gateways started later.
	metrics *sdk.ManualReader
	evidence
}

type evidence struct {
	mu   sync.Mutex
	seen []api.Observation
}

func (e *evidence) Observe(o api.Observation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seen = append(e.seen, o)
}

func newTestCluster(t *testing.T) *testCluster {
	w := &testCluster{t: t, network: link.NewMemory(), view: &view{}, agents: make(map[endpoint.ID]*agent.Agent)}
	// Connections end only some time after both sides were stopped.
	t.Cleanup(func() { time.Sleep(time.Minute) })
	w.links = &countingNetwork{Network: w.network}
	w.claims = newClaimTable()
	w.metrics = sdk.NewManualReader()
	w.view.config.Store(testConfig())
	w.view.directory.Store(&api.Directory{})
	w.events = timeline.NewRecorder("test", nil, 0)
	w.client = &http.Client{Transport: &http.Transport{DialContext: dialer(w.network), DisableKeepAlives: true}}
	return w
}

// serve serves a handler at an address of the network until the test ends.
func (w *testCluster) serve(address string, h http.Handler) {
	l, err := w.network.Listen(address)
	assert.NilError(w.t, err)
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	w.t.Cleanup(func() { _ = s.Close() })
}

// addAgent starts an agent with an HTTP engine behind it and registers it.
func (w *testCluster) addAgent(id, service string, handler http.Handler) *agent.Agent {
	w.serve("engine-"+id+":80", handler)
	return w.addEngine(id, service, httpengine.New(w.network, "http://engine-"+id))
}

func (w *testCluster) addEngine(id, service string, engine endpoint.Engine) *agent.Agent {
	e := endpoint.Endpoint{ID: instance.ID(id), Incarnation: instance.Incarnation(len(w.agents) + 100), Service: service, Version: "1", Domain: "a", Address: "agent-" + id}
	a, err := agent.New(agent.Options{Endpoint: e, Engine: engine, View: w.view, Network: w.network, Timeline: w.events})
	assert.NilError(w.t, err)
	l, err := w.network.Listen(e.Address)
	assert.NilError(w.t, err)
	go func() { _ = a.Serve(l) }()
	w.t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = a.Stop(ctx)
	})
	w.agents[e.ID] = a
	w.register(e)
	return a
}

// restart replaces a stopped agent by a new incarnation at the same address.
func (w *testCluster) restart(id string) {
	w.view.directory.Store(&api.Directory{})
	w.addEngine(id, "desk", httpengine.New(w.network, "http://engine-"+id))
}

func (w *testCluster) register(e endpoint.Endpoint) {
	d := *w.view.Directory()
	d.Revision++
	d.Endpoints = append(append([]endpoint.Endpoint(nil), d.Endpoints...), e)
	w.view.directory.Store(&d)
}

func (w *testCluster) startGateway() {
	g, err := gateway.New(gateway.Options{
		Instance: instance.Instance{ID: "g1", Incarnation: 7, Domain: "a"},
		View:     w.view, Claims: w.claims, Evidence: w, Network: w.links, Timeline: w.events,
		StopDelay: w.stopDelay, MemoryBudget: w.memoryBudget, Logger: w.logger, Usage: w.usage,
		Meter: sdk.NewMeterProvider(sdk.WithReader(w.metrics)).Meter("test"),
		NewEngine: func(target string, _ int) endpoint.Engine {
			return httpengine.NewWithOptions(w.network, "http://"+target, httpengine.Options{Report: w.report})
		},
	})
	assert.NilError(w.t, err)
	w.gateway = g
	l, err := w.network.Listen("gateway")
	assert.NilError(w.t, err)
	go func() { _ = g.Serve(l) }()
	w.t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = g.Stop(ctx)
	})
}

// gauge returns the value of a gauge of the gateway, -1 if there is none.
func (w *testCluster) gauge(name string) int64 {
	var all metricdata.ResourceMetrics
	assert.NilError(w.t, w.metrics.Collect(context.Background(), &all))
	for _, scope := range all.ScopeMetrics {
		for _, m := range scope.Metrics {
			if g, ok := m.Data.(metricdata.Gauge[int64]); ok && m.Name == name {
				return g.DataPoints[0].Value
			}
		}
	}
	return -1
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	// closes is set if the answer closes its connection.
	closes bool
	err    error
}

// send makes one call; headers are given as name, value pairs.
func (w *testCluster) send(ctx context.Context, method, path, body string, headers ...string) answer {
	req, err := http.NewRequestWithContext(ctx, method, "http://gateway"+path, strings.NewReader(body))
	assert.NilError(w.t, err)
	req.Header.Set("Authorization", "Bearer key")
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(b), closes: resp.Close, err: err}
}

func (w *testCluster) post(path, body string, headers ...string) answer {
	return w.send(context.Background(), http.MethodPost, path, body, headers...)
}

// expect asserts the status and that the body contains each part.
func (a answer) expect(t *testing.T, status int, parts ...string) {
	t.Helper()
	assert.Equal(t, a.status, status, "%s %v", a.body, a.err)
	for _, p := range parts {
		assert.Assert(t, strings.Contains(a.body, p), "missing %q in %s", p, a.body)
	}
}

func executionField(e string) string { return `"execution":"` + e + `"` }

// countingEngine is an engine handler that counts the requests that reached it.
type countingEngine struct {
	runs  atomic.Int64
	serve func(w http.ResponseWriter, r *http.Request, run int64)
}

func (c *countingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	n := c.runs.Add(1)
	if c.serve == nil {
		_, _ = io.WriteString(w, `{"ok":true}`)
		return
	}
	c.serve(w, r, n)
}

// slowEngine returns an engine that answers after a delay, unless the caller disconnects first.
func slowEngine(delay time.Duration) *countingEngine {
	return &countingEngine{serve: func(w http.ResponseWriter, r *http.Request, _ int64) {
		select {
		case <-time.After(delay):
			_, _ = io.WriteString(w, `{"ok":true}`)
		case <-r.Context().Done():
		}
	}}
}

// queueAtAgent makes a call wait in the queue of endpoint e1's agent: another gateway has taken
// the endpoint's only slot, which this gateway does not know. The other gateway's call ends
// with the engine's answer or with its connection.
func (w *testCluster) queueAtAgent(a *agent.Agent, path string) (result chan answer, other chan error) {
	other = make(chan error, 1)
	go func() { other <- w.dispatchAs(dispatch.ID{Request: "r0", Attempt: 1, Gateway: 99}, time.Minute) }()
	time.Sleep(100 * time.Millisecond)
	result = make(chan answer, 1)
	go func() { result <- w.post(path, "{}") }()
	time.Sleep(100 * time.Millisecond)
	assert.Equal(w.t, a.Load().Running, 1)
	assert.Equal(w.t, a.Load().Queued, 1)
	return result, other
}

func (w *testCluster) totalRuns(engines ...*countingEngine) int64 {
	var n int64
	for _, e := range engines {
		n += e.runs.Load()
	}
	return n
}
