package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/golden"

	"toucantiller.dev/account"
	"toucantiller.dev/contract"
	"toucantiller.dev/failuredomain"
	"toucantiller.dev/fake"
	"toucantiller.dev/timeline"
)

// transcript records one session: what the caller sent and received, and what endpoints
// received.
type transcript struct {
	*testCluster
	mu   sync.Mutex
	text strings.Builder
}

func (s *transcript) printf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(&s.text, format, args...)
}

// observed records the requests that reach the endpoint.
func (s *transcript) observed(id string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		s.printf("    %s saw: %s %s %s %s\n", id, r.Method, r.URL.RequestURI(), headerLine(r.Header, "X-Request-Id", "Idempotency-Key", "Traceparent"), body)
		h.ServeHTTP(w, r)
	})
}

func headerLine(h http.Header, names ...string) string {
	var out []string
	for _, name := range names {
		if v := h.Get(name); v != "" {
			out = append(out, name+"="+v)
		}
	}
	return "[" + strings.Join(out, " ") + "]"
}

func (s *transcript) call(method, path, body string, headers ...string) {
	s.printf("> %s %s %v %s\n", method, path, headers, body)
	a := s.send(context.Background(), method, path, body, headers...)
	s.printf("< %d %s\n%s", a.status, headerLine(a.header, "Content-Type", "X-Request-Id", "X-Endpoint-Id", "X-Endpoint-Version", "X-Config-Revision", "Retry-After"), indent(a.body))
}

func indent(body string) string {
	var out strings.Builder
	for line := range strings.Lines(strings.TrimRight(body, "\n") + "\n") {
		out.WriteString("  " + line)
	}
	return out.String()
}

// deployment describes one user's deployment, with one replica of each service so that the
// session is deterministic.
type deployment struct {
	model, plain, domain string
	region               failuredomain.Region
	tiers                []string
}

func (d deployment) config() *contract.Config {
	c := contract.Parts{Revision: 12, Domains: map[failuredomain.ID]failuredomain.Domain{}}
	c.Domains["a"] = failuredomain.Domain{ID: "a", Region: d.region, State: failuredomain.StateActive}
	for _, t := range d.tiers {
		c.Tiers = append(c.Tiers, contract.Tier{Name: t, MaxQueueTime: contract.DefaultMaxQueueTime})
	}
	c.Accounts = []*account.Account{{Name: "desk", KeyHashes: []string{account.HashKey("key")}, Tier: 1}}
	one := []contract.VersionShare{{Version: "1", Share: 1}}
	c.Services = []*contract.Service{
		{Name: d.model, Kind: contract.KindModel, Models: []string{d.model}, Versions: one, MaxBody: 4096, Timeout: contract.DefaultTimeout,
			Routes: []contract.Route{{Name: "chat", Method: "POST", Path: "/v1/chat/completions", Idempotent: true}}},
		{Name: d.plain, Kind: contract.KindPlain, Versions: one, MaxBody: 4096, Timeout: contract.DefaultTimeout},
	}
	return contract.NewConfig(c)
}

func runSession(t *testing.T, d deployment, calls func(s *transcript), file string) {
	runInBubble(t, func(t *testing.T, w *testCluster) {
		s := &transcript{testCluster: w}
		w.view.config.Store(d.config())
		w.addAgent("model-1", d.model, s.observed("model-1", fake.NewModel(d.model, fake.Behaviour{PrefillRate: 1e4, DecodeRate: 1e3})))
		w.addAgent("plain-1", d.plain, s.observed("plain-1", fake.NewPlain(d.plain, 0)))
		w.startGateway()
		calls(s)
		s.printf("time line:\n")
		for _, e := range ordered(w.events.Events(timeline.Filter{})) {
			s.printf("  %s request=%s endpoint=%s revision=%d %s\n", e.Kind, e.Request, e.Endpoint, e.Revision, e.Detail)
		}
		golden.Assert(t, s.text.String(), file)
	})
}

func ordered(events []timeline.Event) []timeline.Event {
	sort.Slice(events, func(i, j int) bool { return events[i].Seq < events[j].Seq })
	return events
}

// Guards against changes of what callers, endpoints and the time line see in the
// deployment of the Label Weavers Association of Nigeria.
func TestSessionLabelWeavers(t *testing.T) {
	d := deployment{model: "weft-lm", plain: "member-desk", domain: "lagos-a", region: "lagos", tiers: []string{"loom", "desk", "batch"}}
	runSession(t, d, func(s *transcript) {
		s.call("GET", "/v1/models", "", "X-Request-Id", "w1")
		s.call("POST", "/v1/chat/completions", `{"model":"weft-lm","messages":[{"role":"user","content":"check loom 7 against the care label"}]}`, "X-Request-Id", "w2", "Traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")
		s.call("POST", "/v1/chat/completions", `{"model":"weft-lm","stream":true,"messages":[{"role":"user","content":"sum up the order sheet"}]}`, "X-Request-Id", "w3", "X-Request-Tier", "batch")
		s.call("POST", "/services/member-desk/slots", `{"machine":4,"day":"2026-12-07"}`, "X-Request-Id", "w4", "Idempotency-Key", "slot-4")
		s.call("POST", "/services/member-desk/slots", `{"machine":4,"day":"2026-12-07"}`, "X-Request-Id", "w5", "Idempotency-Key", "slot-4")
		s.call("POST", "/services/member-desk/slots", `{"machine":5,"day":"2026-12-07"}`, "X-Request-Id", "w6", "Idempotency-Key", "slot-4")
		s.call("GET", "/services/member-desk/dues?member=12", "", "X-Request-Id", "w7")
		s.call("POST", "/v1/chat/completions", `{"model":"warp-lm","messages":[]}`, "X-Request-Id", "w8")
		s.call("POST", "/v1/chat/completions", `{"model":"weft-lm","messages":[]}`, "X-Request-Id", "w9", "X-Request-Tier", "loom")
	}, "label-weavers.golden")
}

// Guards against changes of what callers, endpoints and the time line see in the
// deployment of the Goldfields-Pilbara Mobile Library Service.
func TestSessionMobileLibrary(t *testing.T) {
	d := deployment{model: "assistant-models", plain: "circulation", domain: "karratha", region: "wa-north", tiers: []string{"counter", "patron", "batch"}}
	runSession(t, d, func(s *transcript) {
		s.call("POST", "/v1/completions", `{"model":"assistant-models","prompt":"which stops does the van make on Friday"}`, "X-Request-Id", "l1")
		s.call("POST", "/v1/completions", `{"model":"assistant-models","stream":true,"prompt":"reading history"}`, "X-Request-Id", "l2")
		s.call("PUT", "/services/circulation/loans/88", `{"patron":3}`, "X-Request-Id", "l3", "Idempotency-Key", "loan-88")
		s.call("PUT", "/services/circulation/loans/88", `{"patron":3}`, "X-Request-Id", "l4", "Idempotency-Key", "loan-88")
		s.claims.set(func() { s.claims.failCalls = true })
		s.call("POST", "/services/circulation/holds", `{"item":9}`, "X-Request-Id", "l5", "Idempotency-Key", "hold-9")
		s.claims.set(func() { s.claims.failCalls = false })
		s.agents["plain-1"].Drain()
		s.call("POST", "/services/circulation/holds", `{"item":9}`, "X-Request-Id", "l6")
		s.call("POST", "/services/circulation/holds", `{"item":9}`, "X-Request-Id", "l7")
	}, "mobile-library.golden")
}
