package systemtest

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/contract"
	"toucantiller.dev/control/api"
	"toucantiller.dev/failuredomain"
	"toucantiller.dev/fake"
)

// drainBound is the stated time in which a drained domain gets no new work anywhere.
const drainBound = 3 * time.Second

// setDomain drains or restores a domain and returns when the change was accepted.
func (d *deployment) setDomain(id string, domain failuredomain.ID, state failuredomain.State) {
	d.t.Helper()
	c := api.SetDomain{Operation: api.Operation{ID: id, Operator: "adaeze"}, Domain: domain, State: state}
	api.Sign(&c, contract.DemoKey("adaeze"), time.Now())
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	r, err := d.client.SetDomain(ctx, &c)
	assert.NilError(d.t, err)
	assert.Equal(d.t, r.Outcome, api.OutcomeAccepted, r.Reason)
}

// watched counts the requests of an engine that arrive while armed.
type watched struct {
	engine http.Handler
	armed  atomic.Bool
	late   atomic.Int64
	total  atomic.Int64
}

func (w *watched) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.total.Add(1)
	if w.armed.Load() {
		w.late.Add(1)
	}
	w.engine.ServeHTTP(rw, r)
}

// domainFleet is a deployment with two watched endpoints in lagos-b and two in lagos-a.
type domainFleet struct {
	*deployment
	drained []*watched
}

func startDomainFleet(t testing.TB) *domainFleet {
	d := startControl(t)
	d.startGateway("lagos-a")
	d.startGateway("lagos-c")
	f := &domainFleet{deployment: d}
	behaviour := fake.Behaviour{PrefillRate: 1e6, DecodeRate: 400, Batch: 64}
	for _, domain := range []string{"lagos-a", "lagos-b", "lagos-a", "lagos-b"} {
		w := &watched{engine: fake.NewModel(domain, behaviour)}
		if domain == "lagos-b" {
			f.drained = append(f.drained, w)
		}
		d.startAgent("weft-lm", "v1", domain, w)
	}
	d.startAgent("member-desk", "v1", "lagos-a", fake.NewPlain("desk", 0))
	d.apply(1)
	d.waitEndpoints(5)
	d.waitModel()
	d.waitDesk()
	return f
}

// checkDrain drains lagos-b under load from both gateways and checks that nothing reaches
// it after the bound.
func (f *domainFleet) checkDrain(loads ...*load) {
	f.t.Helper()
	waitFor(f.t, "work in the domain", func() bool {
		return f.drained[0].total.Load() > 5 && f.drained[1].total.Load() > 5
	})
	f.setDomain("drain", "lagos-b", failuredomain.StateDrained)
	time.Sleep(drainBound)
	f.checkQuiet(loads...)
}

// checkQuiet checks that calls go on and none of them reaches the drained domain.
func (f *domainFleet) checkQuiet(loads ...*load) {
	f.t.Helper()
	for _, w := range f.drained {
		w.armed.Store(true)
	}
	for _, l := range loads {
		before := l.done.Load()
		waitFor(f.t, "calls after the drain", func() bool { return l.done.Load() > before+100 })
	}
	for _, w := range f.drained {
		assert.Equal(f.t, w.late.Load(), int64(0), "new work after %s", drainBound)
		w.armed.Store(false)
	}
}

// Guards P5: against a drained domain that gets new work after 3 s, and against calls that
// fail while a domain leaves and returns.
func TestDrainedDomainGetsNoNewWork(t *testing.T) {
	f := startDomainFleet(t)
	loads := []*load{startLoad(f.callers[0], 4), startLoad(f.callers[1], 4)}
	f.checkDrain(loads...)
	f.setDomain("restore", "lagos-b", failuredomain.StateActive)
	before := f.drained[0].total.Load()
	waitFor(t, "work in the restored domain", func() bool { return f.drained[0].total.Load() > before+10 })
	for _, l := range loads {
		l.stop()
		assert.Equal(t, l.failures(), "")
	}
}

// Guards P5: against a gateway that cannot reach control, but other processes, sending new
// work to a drained domain. The gateway is frozen while the drain is accepted, and
// control is frozen when it wakes.
func TestDrainReachesGatewayWithoutControl(t *testing.T) {
	f := startDomainFleet(t)
	gateway := f.gateways[1]
	gateway.signal(syscall.SIGSTOP)
	f.setDomain("drain", "lagos-b", failuredomain.StateDrained)
	waitFor(t, "the drain at the other processes", func() bool {
		s := f.status()
		return s != nil && !slices.ContainsFunc(s.Processes, func(p api.ProcessStatus) bool {
			return p.Revision < s.Revision && p.Instance.ID != "gateway-2"
		})
	})
	for _, c := range f.controls {
		c.signal(syscall.SIGSTOP)
		defer c.signal(syscall.SIGCONT)
	}
	gateway.signal(syscall.SIGCONT)
	load := startLoad(f.callers[1], 4)
	time.Sleep(drainBound)
	f.checkQuiet(load)
	load.stop()
	assert.Equal(t, load.failures(), "")
	claim := call(f.callers[1], http.MethodPost, "/services/member-desk/bookings", "{}", "Idempotency-Key", "cut")
	assert.Equal(t, claim.status, http.StatusServiceUnavailable, "the gateway reaches control: %s", claim.body)
	assert.Assert(t, strings.Contains(claim.body, `"execution":"not_run"`), claim.body)
}

// BenchmarkDomainReturn reports the goodput of the top tier while a domain leaves and while
// it returns, as a share of the goodput before: whole answers in time, from 8 callers who
// each send one call after the other.
func BenchmarkDomainReturn(b *testing.B) {
	f := startDomainFleet(b)
	loads := []*load{startLoad(f.callers[0], 4), startLoad(f.callers[1], 4)}
	good := func() float64 {
		before := loads[0].good.Load() + loads[1].good.Load()
		time.Sleep(window)
		return float64(loads[0].good.Load()+loads[1].good.Load()-before) / window.Seconds()
	}
	good()
	before := good()
	f.setDomain("drain", "lagos-b", failuredomain.StateDrained)
	during := good()
	f.setDomain("restore", "lagos-b", failuredomain.StateActive)
	after := good()
	var failed int
	for _, l := range loads {
		l.stop()
		failed += len(l.bad)
	}
	b.ReportMetric(before, "good/s-before")
	b.ReportMetric(during/before, "share-leaving")
	b.ReportMetric(after/before, "share-returning")
	b.ReportMetric(float64(failed), "failed")
}

// window is the time over which goodput is counted.
const window = 8 * time.Second
