package crowd

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/dispatch"
	"toucantiller.dev/link"
	"toucantiller.dev/platform"
)

// document is the configuration of the fleet, with the limits that clients have to keep.
const document = `{"version":1,"routes":[
 {"name":"look","host":"h","path_prefix":"/look/","type":"safe","timeout_ms":5000,"backend":"desk","max_attempts":2,"public":true}],
 "backends":[{"name":"desk","max_conns":60}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"mills","api_keys":["key"],"unit":"tokens","plain_tokens":1}]}`

// largeAnswer is the size in bytes of the answer to "/look/large".
const largeAnswer = 4 << 20

// door is a listener of a process and an ordinary request to it.
type door struct {
	name    string
	process *process
	address string
	paths   []string
	method  string
	// ordinary sends one ordinary request and returns nil if it was answered.
	ordinary func(ctx context.Context) error
}

// fleet is one process of each program.
type fleet struct {
	t testing.TB

	callers, gatewayAdmin, gatewayLink, hosted *door
	calls, controlAdmin, controlLink           *door
	agentDispatch, agentAdmin                  *door
}

// client opens a connection for each request.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// send sends one request and returns an error unless it is answered with one of the statuses.
func send(ctx context.Context, method, url, body string, statuses ...int) error {
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set(platform.HeaderAttempt, "ordinary")
	r.Header.Set(platform.HeaderKey, "key")
	if strings.Contains(url, "/look/") {
		r.Host = "h"
	}
	resp, err := client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	for _, s := range statuses {
		if resp.StatusCode == s {
			return nil
		}
	}
	return fmt.Errorf("%s %s: %s %.100q", method, url, resp.Status, content)
}

// get returns an ordinary request that must be answered with one of the statuses.
func get(address, path string, statuses ...int) func(context.Context) error {
	return func(ctx context.Context) error {
		return send(ctx, http.MethodGet, "http://"+address+path, "", statuses...)
	}
}

// ping returns an ordinary call over a link.
func ping(address string) func(context.Context) error {
	return func(ctx context.Context) error {
		c := link.NewClient(link.TCP{}, address)
		defer c.Close()
		var out link.Ping
		return c.Call(ctx, "Link.Ping", &link.Ping{Seq: 1}, &out)
	}
}

// attemptLimit bounds one attempt of an ordinary request.
const attemptLimit = 5 * time.Second

// retryPause is the time between two attempts.
const retryPause = 100 * time.Millisecond

// await repeats a request until it is answered, and returns the last error after waitLimit.
func await(request func(context.Context) error) error {
	var err error
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(retryPause) {
		ctx, cancel := context.WithTimeout(context.Background(), attemptLimit)
		err = request(ctx)
		cancel()
		if err == nil {
			return nil
		}
	}
	return err
}

// serveDesk answers as an endpoint of the users' platform.
func serveDesk(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set(platform.HeaderAttempt, r.Header.Get(platform.HeaderAttempt))
	w.Header().Set(platform.HeaderSignature, "seal")
	if strings.HasSuffix(r.URL.Path, "/large") {
		_, _ = w.Write(make([]byte, largeAnswer))
		return
	}
	_, _ = io.WriteString(w, "found")
}

// startFleet starts one process of each program and waits until an ordinary request is answered at
// each listener.
func startFleet(t testing.TB) *fleet {
	t.Helper()
	desk := httptest.NewServer(http.HandlerFunc(serveDesk))
	t.Cleanup(desk.Close)
	controlLink, calls, controlAdmin := freeAddress(t), freeAddress(t), freeAddress(t)
	callers, gatewayAdmin, gatewayLink, hosted := freeAddress(t), freeAddress(t), freeAddress(t), freeAddress(t)
	agentDispatch, agentAdmin := freeAddress(t), freeAddress(t)
	control := startProcess(t, controlMemory, "toucan-control", "--id", "control-1", "--domain", "a", "--tick", "30ms",
		"--listen", controlLink, "--members", controlLink, "--data", t.TempDir(), "--call-listen", calls, "--admin-listen", controlAdmin)
	gateway := startProcess(t, gatewayMemory, "toucan-gateway", "--id", "gateway-1", "--domain", "a", "--interface", "platform",
		"--listen", callers, "--link-listen", gatewayLink, "--agent-listen", hosted, "--control", controlLink, "--admin-listen", gatewayAdmin)
	agent := startProcess(t, agentMemory, "toucan-agent", "--id", "agent-1", "--domain", "a", "--self-announced",
		"--engine", desk.URL, "--dispatch-listen", agentDispatch, "--admin-listen", agentAdmin)
	admin := []string{"/readyz", "/metrics", "/nowhere"}
	dispatches := []string{dispatch.PathDispatch, dispatch.PathSeal, "/nowhere"}
	f := &fleet{
		t: t,

		callers:       &door{"callers", gateway, callers, []string{"/look/1", "/nowhere", "/readyz", "/metrics"}, http.MethodPost, get(callers, "/look/1", 200)},
		gatewayAdmin:  &door{"gateway's admin", gateway, gatewayAdmin, admin, http.MethodGet, get(gatewayAdmin, "/readyz", 200)},
		gatewayLink:   &door{"gateway's link", gateway, gatewayLink, nil, "", ping(gatewayLink)},
		hosted:        &door{"hosted agents", gateway, hosted, dispatches, http.MethodPost, get(hosted, dispatch.PathLoad, 404)},
		calls:         &door{"calls to control", control, calls, []string{"/config", "/replicas/d", "/rollouts", "/nowhere"}, http.MethodPut, get(calls, "/config", 200)},
		controlAdmin:  &door{"control's admin", control, controlAdmin, admin, http.MethodGet, get(controlAdmin, "/readyz", 200)},
		controlLink:   &door{"control's link", control, controlLink, nil, "", ping(controlLink)},
		agentDispatch: &door{"agent", agent, agentDispatch, dispatches, http.MethodPost, get(agentDispatch, dispatch.PathLoad, 200)},
		agentAdmin:    &door{"agent's admin", agent, agentAdmin, admin, http.MethodGet, get(agentAdmin, "/readyz", 200)},
	}
	assert.NilError(t, await(func(ctx context.Context) error {
		return send(ctx, http.MethodPut, "http://"+calls+"/config", document, 200)
	}))
	f.announce(strings.TrimPrefix(desk.URL, "http://"))
	for _, d := range []*door{f.callers, f.gatewayAdmin, f.gatewayLink, f.hosted, f.calls, f.controlAdmin, f.controlLink, f.agentDispatch, f.agentAdmin} {
		assert.NilError(t, await(d.ordinary), d.name)
	}
	return f
}

// announceInterval is the time between two heartbeats of the endpoint.
const announceInterval = 200 * time.Millisecond

// announce sends heartbeats of the endpoint on one connection until the test ends.
func (f *fleet) announce(address string) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	f.t.Cleanup(func() {
		cancel()
		<-done
	})
	beats := &http.Client{Transport: &http.Transport{MaxIdleConns: 1}}
	go func() {
		defer close(done)
		defer beats.CloseIdleConnections()
		for seq := 1; ctx.Err() == nil; seq++ {
			body := fmt.Sprintf(`{"backend":"desk","address":%q,"zone":"a","version":"v1","slots":60,"state":"ready","seq":%d,"born":1}`, address, seq)
			r, _ := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+f.calls.address+"/replicas/desk-1", strings.NewReader(body))
			if resp, err := beats.Do(r); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			time.Sleep(announceInterval)
		}
	}()
}
