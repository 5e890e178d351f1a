package systemtest

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/platform/standin"
)

const (
	// soakRevoke is the time after which a key that was taken away must be dead.
	soakRevoke = 5 * time.Second
	// soakMetered is the key of an account that sends more than its token limit, so that gateways
	// draw tokens.
	soakMetered = "metered"
	// soakExcerpt is the length of the part of a crash that is shown, in bytes.
	soakExcerpt = 3000
	// soakRate is the pause between the calls of one caller.
	soakRate = 60 * time.Millisecond
)

// soakOperator sends documents and reads them back.
type soakOperator struct {
	s       *soak
	version uint64
	acked   atomic.Uint64
	// revokedAt is when a key was taken away, by key.
	revokedAt sync.Map
}

func newSoakOperator(s *soak) *soakOperator { return &soakOperator{s: s} }

// key is the key that documents from a version on hold; every tenth version takes the
// one before away.
func (*soakOperator) key(version uint64) string { return fmt.Sprintf("key-%d", version/10) }

func (o *soakOperator) document(version uint64) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[
 {"name":"look","host":"h","path_prefix":"/look/","type":"safe","timeout_ms":2000,"backend":"desk","max_attempts":2},
 {"name":"book","host":"h","path_prefix":"/book/","type":"unsafe","timeout_ms":2000,"backend":"desk","max_attempts":1},
 {"name":"chat","host":"h","path_prefix":"/chat/","type":"stream","timeout_ms":5000,"slo_ms":800,"backend":"lm","max_attempts":1}],
 "backends":[{"name":"desk","max_conns":130},{"name":"lm","cold_per_s":200,"engine":{"slots":4,"stride":5}}],
 "tenants":[{"name":"mills","api_keys":[%q,"steady"],"unit":"tokens","plain_tokens":10},
  {"name":"looms","api_keys":[%q],"unit":"tokens","rate_per_s":100,"burst":100,"plain_tokens":10}]}`, version, o.key(version), soakMetered)
}

// put sends the next document until it is acknowledged or ctx ends.
func (o *soakOperator) put(ctx context.Context) {
	o.version++
	before := o.key(o.version - 1)
	for ctx.Err() == nil {
		if _, err := standin.Order(ctx, o.s.calls, http.MethodPut, "/config", o.document(o.version)); err == nil {
			break
		}
		time.Sleep(soakRate)
	}
	if ctx.Err() != nil {
		return
	}
	o.acked.Store(o.version)
	if before != o.key(o.version) {
		o.revokedAt.Store(before, time.Now())
	}
}

// run changes the document, evacuates and takes back a failure domain without endpoints, and
// reads the document back from each control process by itself.
func (o *soakOperator) run(ctx context.Context) {
	evacuate := [...]string{http.MethodPost, http.MethodDelete}
	for i := 0; ctx.Err() == nil; i++ {
		o.put(ctx)
		// The order is sent for its change of the configuration alone; its answer is not checked.
		_, _ = standin.Order(ctx, o.s.calls, evacuate[i%len(evacuate)], "/evacuate/lagos-z", nil)
		o.read(ctx, o.s.calls[i%len(o.s.calls)])
		time.Sleep(2 * soakRate)
	}
}

func (o *soakOperator) read(ctx context.Context, address string) {
	acked := o.acked.Load()
	content, err := standin.Order(ctx, []string{address}, http.MethodGet, "/config", nil)
	if err != nil {
		return // no answer breaks no promise
	}
	var d struct{ Version uint64 }
	assert.Check(o.s.t, json.Unmarshal(content, &d))
	assert.Check(o.s.t, d.Version >= acked, "%s answers document %d, %d was acknowledged before", address, d.Version, acked)
}

// soakCallers send requests of all kinds through all gateways.
type soakCallers struct {
	s       *soak
	clients []*http.Client
	next    atomic.Uint64

	mu       sync.Mutex
	outcomes []standin.Outcome
	paths    map[string]string
	keys     map[string]string
}

func newSoakCallers(s *soak) *soakCallers {
	c := &soakCallers{s: s, paths: make(map[string]string), keys: make(map[string]string)}
	for range soakGateways {
		// Connections are kept until the gateway is gone.
		c.clients = append(c.clients, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}})
	}
	s.t.Cleanup(func() {
		for _, client := range c.clients {
			client.CloseIdleConnections()
		}
	})
	return c
}

var soakPaths = []string{"/look/1", "/book/1", "/chat/1"}

func (c *soakCallers) send(ctx context.Context, gateway int, path, key string) standin.Outcome {
	call := standin.Call{
		Client: c.clients[gateway], Gateway: at(soakIP(classGateway, gateway), soakFront), Host: "h", Method: http.MethodPost, Path: path,
		Key: key, Attempt: fmt.Sprintf("%d-%d", c.s.seed, c.next.Add(1)), Timeout: 2500 * time.Millisecond,
	}
	if strings.HasPrefix(path, "/chat/") {
		call.Tokens = "200,30"
	}
	out := call.Send(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, out)
	c.paths[out.Attempt], c.keys[out.Attempt] = path, key
	return out
}

// run keeps two callers at each gateway; every fifth call uses a key that has been taken
// away or will be, and every fifth one that of the metered account.
func (c *soakCallers) run(ctx context.Context) {
	var callers sync.WaitGroup
	for i := range 2 * soakGateways {
		callers.Go(func() {
			for n := i; ctx.Err() == nil; n++ {
				key := "steady"
				switch n % 5 {
				case 0:
					key = c.s.operator.key(max(c.s.operator.acked.Load(), 10) - uint64(n%10))
				case 1:
					key = soakMetered
				}
				c.send(ctx, i%soakGateways, soakPaths[n%len(soakPaths)], key)
				time.Sleep(soakRate)
			}
		})
	}
	callers.Wait()
}

// served reports whether a call of each kind is served at each gateway.
func (c *soakCallers) served(ctx context.Context) error {
	for gateway := range soakGateways {
		for _, path := range soakPaths {
			if out := c.send(ctx, gateway, path, "steady"); out.Status != http.StatusOK || !out.Whole {
				return fmt.Errorf("%s at gateway %d: %d %s", path, gateway, out.Status, out.Body)
			}
		}
	}
	return nil
}

func (c *soakCallers) waitServing(ctx context.Context) {
	waitFor(c.s.t, "service at the start", func() bool { return c.served(ctx) == nil })
}

func (c *soakCallers) waitRecovered(t *testing.T) {
	err := fmt.Errorf("no call was sent")
	for end := time.Now().Add(soakRecovery); err != nil && time.Now().Before(end); {
		err = c.served(t.Context())
		time.Sleep(soakRate)
	}
	assert.Check(t, err, "%s after the last fault", soakRecovery)
}

// check compares what callers saw with what endpoints ran.
func (s *soak) check() {
	hosted := 0
	for _, e := range s.endpoints[soakModels : soakModels+soakBare] {
		hosted += len(e.Runs())
	}
	s.t.Logf("endpoints without an agent beside them ran %d requests", hosted)
	runs := make(map[string][]time.Time)
	bodies := make(map[string]string)
	for _, e := range s.endpoints {
		for id, at := range e.Runs() {
			runs[id] = append(runs[id], at...)
			bodies["seal of "+e.ID+" "+id] = e.Body(id)
		}
	}
	served := 0
	for i := range s.callers.outcomes {
		o := &s.callers.outcomes[i]
		ran := runs[o.Attempt]
		path := s.callers.paths[o.Attempt]
		if path != "/look/1" {
			assert.Check(s.t, len(ran) <= 1, "%s of %s ran %d times", o.Attempt, path, len(ran))
		}
		if o.NotRun() {
			assert.Check(s.t, len(ran) == 0 || path == "/look/1", "%s of %s was answered %d and ran", o.Attempt, path, o.Status)
		}
		if o.Status == http.StatusOK && o.Whole {
			served++
			assert.Check(s.t, o.Body == bodies[o.Seal+" "+o.Attempt], "%s: %q is not the answer of %q", o.Attempt, o.Body, o.Seal)
		}
		if revoked, ok := s.operator.revokedAt.Load(s.callers.keys[o.Attempt]); ok && o.Sent.Sub(revoked.(time.Time)) > soakRevoke {
			assert.Check(s.t, len(ran) == 0, "%s ran with a key that was taken away %s before", o.Attempt, o.Sent.Sub(revoked.(time.Time)))
		}
	}
	s.t.Logf("%d attempts, %d served, %d documents", len(s.callers.outcomes), served, s.operator.acked.Load())
	assert.Check(s.t, served > 0)
}

// soakCrashes begin the lines that the Go runtime writes when a process ends by itself or has a
// data race.
var soakCrashes = []string{"fatal error: ", "panic: ", "unexpected fault address", "SIGSEGV: ", "WARNING: DATA RACE", "ThreadSanitizer: CHECK failed"}

// checkLogs reads what the processes wrote at each of their starts.
func (s *soak) checkLogs() {
	for _, p := range slices.Concat(s.controls, s.agents, s.gateways) {
		for _, name := range p.logs {
			content, err := os.ReadFile(name)
			assert.NilError(s.t, err)
			for _, crash := range soakCrashes {
				if at := strings.Index("\n"+string(content), "\n"+crash); at >= 0 {
					s.t.Errorf("%s:\n%s", p.name, content[at:min(at+soakExcerpt, len(content))])
				}
			}
		}
	}
}
