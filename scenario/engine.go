package scenario

import (
	"math"
	"time"

	"toucantiller.dev/endpoint"
)

// Speeds of a fake engine of speed 1.
const (
	prefillRate = 8000.0 // prompt tokens per second, shared by all prefills
	decodeRate  = 40.0   // answer tokens per second and call
	batchSlots  = 16     // calls that decode at full speed together
	// cachedPrefixes is the number of prefixes an engine holds.
	cachedPrefixes = 6
	// warmUp is the time from a cold start to full capacity.
	warmUp = 10 * time.Second
	// coldCapacity is the share of batchSlots that a cold engine has at first.
	coldCapacity = 0.15
	// bearFactor is the multiple of a cold engine's slots at which it falls over. Below
	// that it only slows down.
	bearFactor = 2.0
	downTime   = 2 * time.Second
	// errorWork is the prefill, in tokens, after which a failing engine answers with an error.
	errorWork = 40.0
)

// engine admits all calls as they arrive, as model engines do.
type engine struct {
	w     *world
	speed float64
	slow  float64
	// failing is the share of calls that get an error in place of an answer.
	failing float64
	coldAt  time.Time
	downTil time.Time
	prefill *pool
	decode  *pool
	running map[*run]bool
	cache   []uint64
	events  []endpoint.CacheEvent
	seq     uint64
}

// run is one execution of a call.
type run struct {
	call  *call
	work  float64
	job   *job
	pool  *pool
	first bool
	// crashed is set when the engine fell over.
	crashed bool
	onFirst func()
	onDone  func(ok bool)
}

func newEngine(w *world, speed float64) *engine {
	e := &engine{w: w, speed: speed, slow: 1, running: map[*run]bool{}}
	e.prefill = &pool{clock: &w.clock, rate: func(n int) float64 {
		return prefillRate * e.pace() / float64(n)
	}}
	e.decode = &pool{clock: &w.clock, rate: func(n int) float64 {
		return decodeRate * e.pace() / math.Max(1, float64(n)/e.slots())
	}}
	return e
}

func (e *engine) pace() float64 { return e.speed / e.slow }

// warmth is 1 for a warm engine.
func (e *engine) warmth() float64 {
	if e.coldAt.IsZero() {
		return 1
	}
	age := e.w.clock.now.Sub(e.coldAt).Seconds() / warmUp.Seconds()
	return math.Min(1, coldCapacity+(1-coldCapacity)*age)
}

func (e *engine) slots() float64 { return math.Max(1, batchSlots*e.warmth()) }

// submit starts a call. It returns nil when the engine is down: not a byte was
// taken, so the call did not run.
func (e *engine) submit(c *call, onFirst func(), onDone func(ok bool)) *run {
	if e.w.clock.now.Before(e.downTil) {
		return nil
	}
	r := &run{call: c, onFirst: onFirst, onDone: onDone}
	r.work = float64(c.prompt - e.cached(c))
	e.running[r] = true
	c.runs++
	c.lastWork = r.work
	r.pool = e.prefill
	then := func() { e.startDecode(r) }
	if e.failing > 0 && e.w.rng.Float64() < e.failing {
		r.work = errorWork
		then = func() { e.end(r, false) }
	}
	r.job = e.prefill.add(r.work, then)
	if e.warmth() < 1 && float64(len(e.running)) > bearFactor*e.slots() {
		e.w.result.ColdOver++
		e.w.clock.after(0, e.restart)
	}
	return r
}

func (e *engine) startDecode(r *run) {
	r.first = true
	e.w.result.prefillDone += r.work
	r.call.prefilled += r.work
	e.store(r.call)
	r.onFirst()
	r.pool = e.decode
	r.job = e.decode.add(float64(r.call.answer), func() { e.end(r, true) })
}

func (e *engine) end(r *run, ok bool) {
	if !e.running[r] {
		return
	}
	delete(e.running, r)
	r.onDone(ok)
}

// cancel stops a run; prefill done so far is spent.
func (e *engine) cancel(r *run) {
	if !e.running[r] {
		return
	}
	delete(e.running, r)
	if !r.first {
		done := r.work - r.pool.left(r.job)
		e.w.result.prefillDone += done
		r.call.prefilled += done
	}
	r.pool.remove(r.job)
}

// restart fails all calls and leaves the engine down for a moment, then cold.
func (e *engine) restart() {
	now := e.w.clock.now
	if now.Before(e.downTil) {
		return
	}
	e.downTil = now.Add(downTime)
	e.coldAt = e.downTil
	e.cache = nil
	failed := e.sorted()
	for _, r := range failed {
		e.cancel(r)
	}
	for _, r := range failed {
		r.crashed = true
		r.onDone(false)
	}
	for at := downTime; at < downTime+warmUp; at += 100 * time.Millisecond {
		e.w.clock.after(at, e.refresh)
	}
}

// sorted lists the runs in order of arrival, so that every run of a seed is equal.
func (e *engine) sorted() []*run {
	out := make([]*run, 0, len(e.running))
	for r := range e.running {
		out = append(out, r)
	}
	sortRuns(out)
	return out
}

func (e *engine) setSlow(factor float64) {
	e.refresh()
	e.slow = factor
	e.refresh()
}

func (e *engine) refresh() {
	e.prefill.refresh()
	e.decode.refresh()
}

// cached returns the prompt tokens of the call that are in the cache.
func (e *engine) cached(c *call) int {
	for _, p := range e.cache {
		if p == c.prefix && p != 0 {
			return c.prefixTokens
		}
	}
	return 0
}

// store moves the call's prefix to the end of the cache and evicts the oldest.
func (e *engine) store(c *call) {
	if c.prefix == 0 {
		return
	}
	kept := e.cache[:0]
	for _, p := range e.cache {
		if p != c.prefix {
			kept = append(kept, p)
		}
	}
	if len(kept) == len(e.cache) {
		e.publish(c.prefix, false)
	}
	kept = append(kept, c.prefix)
	e.cache = kept
	if len(e.cache) > cachedPrefixes {
		e.publish(e.cache[0], true)
		e.cache = e.cache[1:]
	}
}

func (e *engine) publish(prefix uint64, evicted bool) {
	e.seq++
	e.events = append(e.events, endpoint.CacheEvent{Seq: e.seq, Prefix: prefix, Evicted: evicted})
}
