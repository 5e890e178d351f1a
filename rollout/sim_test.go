package rollout_test

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"toucantiller.dev/rollout"
)

// badness is how a new version of a scenario is bad.
type badness string

const (
	good         badness = "good"
	badAtOnce    badness = "at-once"
	badLater     badness = "later"
	badLoad      badness = "under-load"
	badRoute     badness = "one-route"
	badSlow      badness = "slow"
	badThreshold         = 0.45 // the load from which badLoad shows; full share gives 0.6
)

// trouble is what happens to both versions alike in a scenario.
type trouble string

const (
	quiet       trouble = "quiet"
	bursts      trouble = "bursts"
	domainLoss  trouble = "domain-loss"
	coldStarts  trouble = "cold-starts"
	badEndpoint trouble = "bad-endpoint"
)

const (
	moveTime   = 30 * time.Minute
	watchTime  = 5 * time.Minute
	domainsN   = 3
	baseLoad   = 0.6
	baseErrors = 0.003
	maxDelay   = 64 // seconds
)

var routeShares = []struct {
	name  string
	share float64
}{{"chat", 0.55}, {"completions", 0.25}, {"summary", 0.17}, {"rare", 0.03}}

// scenario is a deployment with a move in it. It is the test's model of the world: random
// arrivals, endpoints of unequal speed, latency that grows with size and load.
type scenario struct {
	replicas int
	rate     float64 // requests per second
	bad      badness
	trouble  trouble
	seed     uint64
}

// outcome is what one run showed.
type outcome struct {
	action   rollout.Action
	cause    string
	fullAt   time.Duration // when the new version had full share; 0 if never
	endedAt  time.Duration
	requests int // from the start to the end of the move
	met      int // answers of the new version that were bad
	routeAll int // requests on the bad route
	shownAt  time.Duration
}

// decider is the product or the naive version.
type decider interface {
	Decide(now time.Time, m rollout.Move, obs []rollout.Observation) rollout.Decision
}

type world struct {
	scenario
	random   *rand.Rand
	speed    [2][]float64
	events   []time.Duration
	badFrom  time.Duration
	coldTill [2][]time.Duration
	delayed  [maxDelay][]rollout.Observation
	names    [2][]string
	result   outcome
}

var epoch = time.Date(2031, 5, 4, 12, 0, 0, 0, time.UTC)

func newWorld(s scenario) *world {
	w := &world{scenario: s, random: rand.New(rand.NewPCG(s.seed, 42))}
	for v := range 2 {
		for e := range s.replicas {
			w.speed[v] = append(w.speed[v], math.Exp(0.1*w.random.NormFloat64()))
			w.names[v] = append(w.names[v], strconv.Itoa(v+1)+"-"+strconv.Itoa(e))
		}
		w.coldTill[v] = make([]time.Duration, s.replicas)
	}
	for e := range w.coldTill[1] {
		w.coldTill[1][e] = time.Minute
	}
	for range 3 {
		w.events = append(w.events, time.Duration(w.random.Float64()*float64(moveTime+watchTime)))
	}
	if s.bad == badLater {
		w.badFrom = time.Duration((0.1 + 0.7*w.random.Float64()) * float64(moveTime))
	}
	if s.trouble == badEndpoint {
		w.speed[1][0] = 6
	}
	return w
}

// run drives the move once a second to its end.
func (w *world) run(d decider) outcome {
	m := rollout.Move{Service: "s", From: "v1", To: "v2", Share: rollout.FirstShare, Started: epoch, Deadline: epoch.Add(moveTime), StageSince: epoch, Watch: watchTime}
	w.result.shownAt = -1
	for t := time.Second; t < moveTime+2*watchTime; t += time.Second {
		w.second(t, m.Share)
		slot := int(t/time.Second) % maxDelay
		dec := d.Decide(epoch.Add(t), m, w.delayed[slot])
		w.delayed[slot] = w.delayed[slot][:0]
		if dec.Action == rollout.Hold {
			continue
		}
		w.result.action, w.result.cause, w.result.endedAt = dec.Action, dec.Cause, t
		if dec.Action == rollout.TakeBack || dec.Action == rollout.Finish {
			break
		}
		m.Stage, m.Share, m.StageSince = dec.Stage, dec.Share, epoch.Add(t)
		m.Watching = dec.Action == rollout.StartWatch
		if m.Watching {
			w.result.fullAt = t
		}
	}
	return w.result
}

// active reports whether one of the three events, each of a length, is going on.
func (w *world) active(kind trouble, t, length time.Duration) (int, bool) {
	if w.trouble != kind {
		return 0, false
	}
	for i, at := range w.events {
		if t >= at && t < at+length {
			return i, true
		}
	}
	return 0, false
}

func (w *world) second(t time.Duration, share float64) {
	factor := 1.0
	if _, on := w.active(bursts, t, time.Minute); on {
		factor = 2
	}
	if i, on := w.active(coldStarts, t, time.Second); on {
		w.restartThird(i, t)
	}
	n := int(w.rate * factor)
	if w.random.Float64() < w.rate*factor-float64(n) {
		n++
	}
	n = max(0, n+int(math.Round(w.random.NormFloat64()*math.Sqrt(w.rate*factor)*0.7)))
	for range n {
		w.request(t, share, factor)
	}
}

func (w *world) restartThird(event int, t time.Duration) {
	for v := range 2 {
		for e := range w.coldTill[v] {
			if e%3 == event {
				w.coldTill[v][e] = t + time.Minute
			}
		}
	}
}

func (w *world) request(t time.Duration, share, factor float64) {
	v := 0
	part := 1 - share
	if w.random.Float64() < share {
		v, part = 1, share
	}
	e := w.random.IntN(w.replicas)
	domain := e % domainsN
	lost := false
	if i, on := w.active(domainLoss, t, 2*time.Minute); on && domain == i%domainsN {
		// Requests fail until the gateways take the domain out; then they go elsewhere.
		lost = t < w.events[i]+5*time.Second
		if !lost {
			e = (e + 1) % w.replicas
			domain = e % domainsN
		}
	}
	load := baseLoad * part * factor * (0.6 + 0.8*w.random.Float64())
	cold := t < w.coldTill[v][e]
	w.answer(t, v, e, domain, load, cold, lost)
}

// slowdown is how latency grows with load.
func slowdown(load float64) float64 { return 1 + 1.5*load*load }

func (w *world) answer(t time.Duration, v, e, domain int, load float64, cold, lost bool) {
	r := w.random
	pick, route := r.Float64(), routeShares[0].name
	for _, rs := range routeShares {
		if route = rs.name; pick < rs.share {
			break
		}
		pick -= rs.share
	}
	o := rollout.Observation{Version: "v" + strconv.Itoa(v+1), Route: route, Endpoint: w.names[v][e], Domain: domainNames[domain], Cold: cold, Load: load}
	o.PromptTokens = int(math.Exp(5 + r.NormFloat64()))
	o.AnswerTokens = int(math.Exp(4 + 0.8*r.NormFloat64()))
	pace := w.speed[v][e] * slowdown(load)
	if cold {
		pace *= 3
	}
	first := (0.03 + 0.0002*float64(o.PromptTokens)) * pace * math.Exp(0.35*r.NormFloat64())
	between := 0.03 * pace * math.Exp(0.15*r.NormFloat64())
	p := baseErrors + 0.1*math.Max(0, load-1)
	bad := v == 1 && w.isBad(t, route, load)
	if bad {
		switch w.bad {
		case badSlow:
			first, between = first*2, between*2
		case badLoad:
			first, between, p = first*3, between*3, p+0.2
		case badRoute:
			p = 0.9
		default:
			p = 0.5
		}
	}
	o.Failed = lost || r.Float64() < p
	o.FirstToken = time.Duration(first * float64(time.Second))
	o.BetweenTokens = time.Duration(between * float64(time.Second))
	w.count(t, route, bad)
	delay := min(maxDelay-1, 1+int(first))
	slot := (int(t/time.Second) + delay) % maxDelay
	w.delayed[slot] = append(w.delayed[slot], o)
}

var domainNames = []string{"lagos-a", "lagos-b", "lagos-c"}

func (w *world) isBad(t time.Duration, route string, load float64) bool {
	switch w.bad {
	case good:
		return false
	case badLater:
		return t >= w.badFrom
	case badLoad:
		return load > badThreshold
	case badRoute:
		return route == "rare"
	default:
		return true
	}
}

func (w *world) count(t time.Duration, route string, bad bool) {
	w.result.requests++
	if route == "rare" {
		w.result.routeAll++
	}
	if bad {
		w.result.met++
		if w.result.shownAt < 0 {
			w.result.shownAt = t
		}
	}
}
