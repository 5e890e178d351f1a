package scenario

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"toucantiller.dev/contract"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/failuredomain"
	"toucantiller.dev/instance"
	"toucantiller.dev/policy"
	"toucantiller.dev/schedule"
)

const (
	plainSlots = 6
	plainWork  = 30 * time.Millisecond
	plainAim   = 150 * time.Millisecond
	// placeInterval is the time after which a gateway tries again to place what waits.
	placeInterval = 20 * time.Millisecond
	// rampTime is the time in which a load rises to its rate.
	rampTime = 20 * time.Second
)

// unlikeLoad is a load on endpoints of a plain service without agents.
type unlikeLoad struct {
	// speeds are those of the endpoints; knees the number of requests from which each slows down.
	speeds []float64
	knees  []int
	// noise makes the machines of all endpoints 2.5 times slower for parts of a second.
	noise bool
	// kinds maps the names of kinds to the factor by which their work is longer; each is equally
	// frequent and has an aim as much later.
	kinds map[string]float64
	// rate is the number of requests per second.
	rate     float64
	gateways int
	length   time.Duration
	// change is called once, at half of the time.
	change func([]*plainEndpoint)
}

// unlikeResult is what came of it in the second half.
type unlikeResult struct {
	// inTime is the share of answers within their aim, by kind.
	inTime map[string]float64
	// served counts answers by endpoint.
	served []int
	// peak is the highest number of requests at the last endpoint.
	peak int
}

type plainEndpoint struct {
	clock            *clock
	rng              *rand.Rand
	speed            float64
	knee             int
	running, peak    int
	waiting          []func()
	noise            bool
	disturbed, quiet time.Time
	served           int
}

// slowdown is the factor that the machine's neighbours cause at present: 0.2 s in 0.8 s on average.
func (e *plainEndpoint) slowdown() float64 {
	now := e.clock.now
	if !e.noise {
		return 1
	}
	if !now.Before(e.quiet) {
		e.disturbed = now.Add(time.Duration(e.rng.ExpFloat64() * 0.6e9))
		e.quiet = e.disturbed.Add(time.Duration(e.rng.ExpFloat64() * 0.2e9))
	}
	if now.Before(e.disturbed) {
		return 1
	}
	return 2.5
}

// submit runs a request, or lets it wait while all slots are taken.
func (e *plainEndpoint) submit(work time.Duration, done func(endpoint.SelfReport)) {
	if e.running >= plainSlots {
		e.waiting = append(e.waiting, func() { e.submit(work, done) })
		return
	}
	e.running++
	e.peak = max(e.peak, e.running)
	crowd := math.Pow(max(1, float64(e.running)/float64(e.knee)), 2)
	e.clock.after(time.Duration(float64(work)*crowd*e.slowdown()/e.speed), func() {
		report := endpoint.SelfReport{Running: e.running, Waiting: len(e.waiting), Slots: plainSlots, Slowdown: e.slowdown()}
		e.running--
		e.served++
		if len(e.waiting) > 0 {
			next := e.waiting[0]
			e.waiting = e.waiting[1:]
			next()
		}
		done(report)
	})
}

// plainGateway places requests as a gateway does for endpoints without agents.
type plainGateway struct {
	clock     *clock
	rng       *rand.Rand
	snapshot  *schedule.Snapshot
	endpoints map[endpoint.ID]*plainEndpoint
	follow    bool
	queue     []func() bool
}

func (g *plainGateway) place(kind string, work time.Duration, done func()) {
	try := func() bool {
		d := g.snapshot.Pick(&schedule.Request{Service: "desk", Version: "v1"}, g.clock.now, g.rng)
		if d.Candidate == nil {
			return false
		}
		c, began := d.Candidate, g.clock.now
		c.AddOutstanding(0, 0)
		g.endpoints[c.Endpoint.ID].submit(work, func(r endpoint.SelfReport) {
			if g.follow {
				c.ObserveAnswer(schedule.Answered{Kind: kind, Took: g.clock.now.Sub(began), Report: r}, g.clock.now)
			}
			c.RemoveInTransit()
			c.RemoveOutstanding(0, 0)
			done()
			g.placeWaiting()
		})
		return true
	}
	if len(g.queue) > 0 || !try() {
		g.queue = append(g.queue, try)
	}
}

func (g *plainGateway) placeWaiting() {
	for len(g.queue) > 0 && g.queue[0]() {
		g.queue = g.queue[1:]
	}
}

func (l *unlikeLoad) play(off policy.Off, seed uint64) unlikeResult {
	k := &clock{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	rng := rand.New(rand.NewPCG(seed, 1))
	byID := map[endpoint.ID]*plainEndpoint{}
	var endpoints []*plainEndpoint
	in := schedule.SnapshotInput{Domain: "d", Profile: schedule.ProfileWithout(off), Config: contract.NewConfig(contract.Parts{
		Domains:  map[failuredomain.ID]failuredomain.Domain{"d": {ID: "d", Region: "r"}},
		Services: []*contract.Service{{Name: "desk", Kind: contract.KindPlain, Versions: []contract.VersionShare{{Version: "v1", Share: 1}}}},
	})}
	for i, speed := range l.speeds {
		id := endpoint.ID(fmt.Sprintf("e%d", i))
		e := &plainEndpoint{clock: k, rng: rng, speed: speed, knee: l.knees[i], noise: l.noise}
		byID[id], endpoints = e, append(endpoints, e)
		in.Endpoints = append(in.Endpoints, endpoint.Endpoint{ID: id, Service: "desk", Version: "v1", Domain: "d", Target: "10.0.0.1:80", Slots: plainSlots})
	}
	var gateways []*plainGateway
	for i := range l.gateways {
		in.Gateway = instance.ID(fmt.Sprintf("g%d", i))
		g := &plainGateway{clock: k, rng: rng, snapshot: schedule.NewSnapshot(in), endpoints: byID, follow: off.InForce(policy.EndpointSpeed)}
		k.every(placeInterval, g.placeWaiting)
		gateways = append(gateways, g)
	}
	began := k.now
	half := k.now.Add(l.length / 2)
	names := slices.Sorted(maps.Keys(l.kinds))
	all, good := map[string]float64{}, map[string]float64{}
	var arrive func()
	arrive = func() {
		kind, arrived := names[rng.IntN(len(names))], k.now
		factor := l.kinds[kind]
		if k.now.After(half) {
			all[kind]++
		}
		gateways[rng.IntN(len(gateways))].place(kind, time.Duration(float64(plainWork)*factor), func() {
			if arrived.After(half) && k.now.Sub(arrived) <= time.Duration(float64(plainAim)*factor) {
				good[kind]++
			}
		})
		risen := min(1, 0.3+0.7*float64(k.now.Sub(began))/float64(rampTime))
		k.after(time.Duration(rng.ExpFloat64()/l.rate/risen*1e9), arrive)
	}
	k.after(0, arrive)
	k.runUntil(half)
	for _, e := range endpoints {
		e.served, e.peak = 0, 0
	}
	if l.change != nil {
		l.change(endpoints)
	}
	k.runUntil(half.Add(l.length / 2))
	r := unlikeResult{inTime: map[string]float64{}, peak: endpoints[len(endpoints)-1].peak}
	for kind := range l.kinds {
		r.inTime[kind] = good[kind] / all[kind]
	}
	for _, e := range endpoints {
		r.served = append(r.served, e.served)
	}
	return r
}
