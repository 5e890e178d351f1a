package systemtest

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/fake"
)

// Guards P11: against replicas that do not replace the connections between them when these
// go silent for good: changes must go on, and none that was accepted may be lost, whether
// the leader, a follower or every replica is behind them.
func TestSilentControlConnections(t *testing.T) {
	t.Parallel()
	d := &deployment{t: t}
	var forwarders []*forwarder
	for range replicas {
		d.listens = append(d.listens, freeAddress(t))
		forwarders = append(forwarders, startForwarder(t, d.listens[len(forwarders)]))
		d.control = append(d.control, forwarders[len(forwarders)-1].address)
	}
	d.startReplicas()
	d.apply(1)
	stream := d.startStream()
	d.progress()
	leader := d.leader()
	for _, behind := range [][]int{{leader}, {(leader + 1) % replicas}, {0, 1, 2}} {
		for _, i := range behind {
			forwarders[i].silence(t)
		}
		d.progress()
	}
	stream.stop(t)
}

// startForwardedAgent starts an agent that gateways reach through a forwarder.
func (d *deployment) startForwardedAgent(service string, engine http.Handler) *forwarder {
	d.t.Helper()
	target := freeAddress(d.t)
	f := startForwarder(d.t, target)
	d.startAgent(service, "v1", "lagos-a", engine, "--dispatch-listen", target, "--dispatch-advertise", f.address)
	return f
}

// heldDesk runs calls at once and answers when its gate is open.
type heldDesk struct {
	*fake.Plain
	gate sync.RWMutex
}

// ServeHTTP runs the call, then waits for the gate.
func (h *heldDesk) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer := httptest.NewRecorder()
	h.Plain.ServeHTTP(answer, r)
	h.gate.RLock()
	defer h.gate.RUnlock()
	_, _ = w.Write(answer.Body.Bytes())
}

// Guards P1, P6, P7 and P8: against calls that are outstanding when the connections between
// gateway and agent go silent for good being run twice, falsely called not run, or given
// part of an answer as the whole, and against later calls on the silent connections. The
// engine has begun one call; others wait in the agent's queue.
func TestSilentDispatchConnections(t *testing.T) {
	t.Parallel()
	d := startControl(t)
	d.startGateway("lagos-a")
	desk := &heldDesk{Plain: fake.NewPlain("desk", 0)}
	model := &watched{engine: fake.NewModel("lm", fake.Behaviour{PrefillRate: 1e6, DecodeRate: 8, Batch: 4})}
	links := []*forwarder{d.startForwardedAgent("member-desk", desk), d.startForwardedAgent("weft-lm", model)}
	d.apply(1)
	d.waitEndpoints(2)
	d.waitDesk()
	d.waitModel()
	model.armed.Store(true)
	for round, want := range []string{`"execution":"unknown"`, `"service":"desk"`} {
		var wait sync.WaitGroup
		answers := make([]answer, 4)
		send := func(i int) {
			body := fmt.Sprintf(`{"call":"%d-%d"}`, round, i)
			wait.Go(func() {
				if (i+round)%2 == 0 {
					answers[i] = call(d.callers[0], http.MethodPost, "/services/member-desk/dues/payments", body)
				} else {
					answers[i] = call(d.callers[0], http.MethodPost, "/services/member-desk/bookings", body, "Idempotency-Key", body)
				}
			})
		}
		desk.gate.Lock()
		send(0)
		waitFor(t, "the call to reach the service", func() bool { return desk.Writes(fmt.Sprintf(`{"call":"%d-0"}`, round)) == 1 })
		for i := 1; i < len(answers); i++ {
			send(i)
		}
		var stream answer
		wait.Go(func() {
			stream = call(d.callers[0], http.MethodPost, "/v1/completions", `{"model":"weft-lm","prompt":"thread stock","stream":true,"max_tokens":512}`)
		})
		waitFor(t, "the stream to reach the engine", func() bool { return model.late.Load() == int64(round+1) })
		time.Sleep(200 * time.Millisecond) // lets most of them reach the agent's queue, and tokens the caller
		for _, link := range links {
			link.silence(t)
		}
		desk.gate.Unlock()
		wait.Wait()
		assert.Assert(t, strings.Contains(stream.body, `"execution":"unknown"`) && !strings.Contains(stream.body, "[DONE]"), stream.body)
		assert.Assert(t, strings.Contains(answers[0].body, want), answers[0].body)
		d.waitDesk()
		model.armed.Store(false)
		d.waitModel()
		model.armed.Store(true)
		for i, a := range answers {
			runs := desk.Writes(fmt.Sprintf(`{"call":"%d-%d"}`, round, i))
			t.Logf("call %d: %d runs, %d %s", i, runs, a.status, a.body)
			assert.NilError(t, a.err)
			assert.Assert(t, runs <= 1, "ran %d times", runs)
			switch {
			case a.status == http.StatusOK:
				assert.Assert(t, runs == 1 && strings.HasSuffix(a.body, "}\n"), a.body)
			case strings.Contains(a.body, `"execution":"not_run"`):
				assert.Equal(t, runs, 0, a.body)
			default:
				assert.Equal(t, a.status, http.StatusBadGateway, a.body)
				assert.Assert(t, strings.Contains(a.body, `"execution":"unknown"`), a.body)
			}
		}
	}
}
