package systemtest

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/fake"
)

// Guards P1 and P8: against a booking that runs twice when the gateway that carried it
// is killed and the caller repeats it through another gateway.
func TestBookingSurvivesKilledGateway(t *testing.T) {
	d := startControl(t)
	d.startGateway("lagos-a")
	d.startGateway("lagos-b")
	desk := newSlowDesk()
	d.startAgent("member-desk", "v1", "lagos-a", desk)
	d.apply(1)
	d.waitEndpoints(1)
	d.waitDesk()

	first := make(chan answer, 1)
	go func() {
		first <- call(d.callers[0], http.MethodPost, "/services/member-desk/bookings", `{"slot":7}`, "Idempotency-Key", "slot-7")
	}()
	waitFor(t, "the booking to reach the service", func() bool { return desk.runs.Load() == 1 })
	busy := call(d.callers[1], http.MethodPost, "/services/member-desk/bookings", `{"slot":7}`, "Idempotency-Key", "slot-7")
	assert.Equal(t, busy.status, http.StatusConflict, busy.body)

	d.gateways[0].kill()
	assert.Assert(t, (<-first).err != nil, "the first gateway was killed")
	close(desk.finish)
	var repeat answer
	waitFor(t, "the first answer", func() bool {
		repeat = call(d.callers[1], http.MethodPost, "/services/member-desk/bookings", `{"slot":7}`, "Idempotency-Key", "slot-7")
		return repeat.status == http.StatusOK
	})
	assert.Equal(t, repeat.body, "booked 1\n")
	assert.Equal(t, desk.runs.Load(), int64(1))
}

// slowDesk books when finish is closed.
type slowDesk struct {
	runs   atomic.Int64
	finish chan struct{}
}

func newSlowDesk() *slowDesk { return &slowDesk{finish: make(chan struct{})} }

// ServeHTTP answers reads at once and changes when finish is closed.
func (s *slowDesk) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		return
	}
	n := s.runs.Add(1)
	<-s.finish
	_, _ = fmt.Fprintf(w, "booked %d\n", n)
}

// Guards P1 and P7: against a call that an agent had given to its engine being run again,
// or called not run, after the agent was killed.
func TestKilledAgentLeavesUnknown(t *testing.T) {
	d := startControl(t)
	d.startGateway("lagos-a")
	desk := newSlowDesk()
	defer close(desk.finish)
	agents := []*process{d.startAgent("member-desk", "v1", "lagos-a", desk), d.startAgent("member-desk", "v1", "lagos-b", desk)}
	d.apply(1)
	d.waitEndpoints(2)
	d.waitDesk()

	result := make(chan answer, 1)
	go func() {
		result <- call(d.callers[0], http.MethodPost, "/services/member-desk/dues/payments", `{"mill":"aba"}`)
	}()
	waitFor(t, "the payment to reach the service", func() bool { return desk.runs.Load() == 1 })
	for _, a := range agents {
		a.kill()
	}
	a := <-result
	assert.NilError(t, a.err)
	assert.Equal(t, a.status, http.StatusBadGateway, a.body)
	assert.Assert(t, strings.Contains(a.body, `"execution":"unknown"`), a.body)
	assert.Equal(t, a.header.Get("Retry-After"), "")
	assert.Equal(t, desk.runs.Load(), int64(1))
}

// Guards P9 and P10: against a graceful stop of an agent or a gateway that cuts or
// refuses a request.
func TestGracefulStopsCutNothing(t *testing.T) {
	d := startControl(t)
	d.startGateway("lagos-a")
	d.startGateway("lagos-b")
	slow := fake.Behaviour{PrefillRate: 1e6, DecodeRate: 100, Batch: 64}
	first := d.startAgent("weft-lm", "v1", "lagos-a", fake.NewModel("one", slow))
	d.startAgent("weft-lm", "v1", "lagos-b", fake.NewModel("two", slow))
	d.apply(1)
	d.waitEndpoints(2)
	d.waitModel()

	load := startLoad(d.callers[1], 4)
	waitFor(t, "traffic", func() bool { return load.done.Load() > 20 })
	assert.NilError(t, first.terminate())
	after := load.done.Load()
	waitFor(t, "traffic after the agent left", func() bool { return load.done.Load() > after+20 })
	load.stop()
	assert.Equal(t, load.failures(), "")

	last := startLoad(d.callers[0], 4)
	waitFor(t, "traffic", func() bool { return last.done.Load() > 8 })
	last.halt.Store(true)
	assert.NilError(t, d.gateways[0].terminate())
	last.wait.Wait()
	assert.Equal(t, last.failures(), "")
}

// load sends streamed calls one after the other from several callers.
type load struct {
	sent atomic.Int64
	done atomic.Int64
	// good counts whole answers in time.
	good atomic.Int64
	halt atomic.Bool
	wait sync.WaitGroup

	mu   sync.Mutex
	bad  []string
	base string
}

func startLoad(base string, callers int) *load {
	l := &load{base: base}
	for range callers {
		l.wait.Go(l.run)
	}
	return l
}

func (l *load) run() {
	for !l.halt.Load() {
		// Prompts differ, so that no endpoint is preferred as the holder of their prefix.
		body := fmt.Sprintf(`{"model":"weft-lm","prompt":"%d thread stock","stream":true}`, l.sent.Add(1))
		a := call(l.base, http.MethodPost, "/v1/completions", body)
		if a.err != nil || a.status != http.StatusOK || !strings.HasSuffix(a.body, "data: [DONE]\n\n") {
			l.mu.Lock()
			l.bad = append(l.bad, fmt.Sprintf("%d %v %s", a.status, a.err, a.body))
			l.mu.Unlock()
		}
		l.done.Add(1)
		if a.err == nil && a.status == http.StatusOK && a.took <= inTime {
			l.good.Add(1)
		}
	}
}

// inTime is the time within which an answer counts as goodput.
const inTime = 400 * time.Millisecond

func (l *load) stop() {
	l.halt.Store(true)
	l.wait.Wait()
}

func (l *load) failures() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(l.bad, "\n")
}

// Guards against a frozen agent holding a call for ever: its silence is found, the call is
// not given to another endpoint, and later calls go to the endpoint that answers.
func TestFrozenAgentIsFound(t *testing.T) {
	d := startControl(t)
	d.startGateway("lagos-a")
	desk := newSlowDesk()
	frozen := d.startAgent("member-desk", "v1", "lagos-a", desk)
	d.apply(1)
	d.waitEndpoints(1)
	d.waitDesk()
	result := make(chan answer, 1)
	go func() {
		result <- call(d.callers[0], http.MethodPost, "/services/member-desk/dues/payments", `{"mill":"kano"}`)
	}()
	waitFor(t, "the payment to reach the service", func() bool { return desk.runs.Load() == 1 })
	frozen.signal(syscall.SIGSTOP)
	defer frozen.signal(syscall.SIGCONT)
	defer close(desk.finish)
	begin := time.Now()
	a := <-result
	assert.NilError(t, a.err)
	assert.Equal(t, a.status, http.StatusBadGateway, a.body)
	assert.Assert(t, strings.Contains(a.body, `"execution":"unknown"`), a.body)
	assert.Assert(t, time.Since(begin) < 15*time.Second, "the route's timeout ended the call, not the probes")
}
