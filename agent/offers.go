package agent

import (
	"math/rand/v2"
	"time"

	"toucantiller.dev/instance"
)

const (
	// holdTime is how long a free slot is kept for the gateway to which it was offered. It
	// covers the way there and back and the choice of a request.
	holdTime = 15 * time.Millisecond
	// interestTime is how long a gateway counts as waiting after it last said so.
	interestTime = 600 * time.Millisecond
)

// offers decides which gateway gets a free slot while several wait for one. Without it all
// of them would send a request, body and all, for the same slot. It is not safe for
// concurrent use.
type offers struct {
	waiting map[instance.Incarnation]interest
	holds   []hold
}

// interest is what a gateway said last: how many requests wait there.
type interest struct {
	requests int
	at       time.Time
}

// hold is a slot that is kept for a gateway.
type hold struct {
	gateway instance.Incarnation
	until   time.Time
}

// want records how many requests wait at a gateway.
func (o *offers) want(gateway instance.Incarnation, requests int, now time.Time) {
	if requests <= 0 {
		delete(o.waiting, gateway)
		return
	}
	if o.waiting == nil {
		o.waiting = make(map[instance.Incarnation]interest)
	}
	o.waiting[gateway] = interest{requests, now}
}

// held counts the slots that are kept at present, and those kept for one gateway.
func (o *offers) held(gateway instance.Incarnation, now time.Time) (all, own int) {
	for _, h := range o.holds {
		if now.Before(h.until) {
			all++
			if h.gateway == gateway {
				own++
			}
		}
	}
	return all, own
}

// take uses a slot that is kept for the gateway; it returns false when there is none.
func (o *offers) take(gateway instance.Incarnation, now time.Time) bool {
	for i, h := range o.holds {
		if h.gateway == gateway && now.Before(h.until) {
			o.holds = append(o.holds[:i], o.holds[i+1:]...)
			return true
		}
	}
	return false
}

// expire drops the holds that were not used; their gateways wait no longer. It returns when
// the next hold ends, the zero time without one.
func (o *offers) expire(now time.Time) (next time.Time) {
	kept := o.holds[:0]
	for _, h := range o.holds {
		if !now.Before(h.until) {
			delete(o.waiting, h.gateway)
			continue
		}
		kept = append(kept, h)
		if next.IsZero() || h.until.Before(next) {
			next = h.until
		}
	}
	o.holds = kept
	return next
}

// offer keeps a slot for one of the waiting gateways, chosen in proportion to the requests
// that wait there beyond the slots already kept for it.
func (o *offers) offer(now time.Time) (instance.Incarnation, bool) {
	total := 0
	for g, w := range o.waiting {
		if now.Sub(w.at) > interestTime {
			delete(o.waiting, g)
			continue
		}
		total += o.unserved(g, w, now)
	}
	if total == 0 {
		return 0, false
	}
	at := rand.IntN(total)
	for g, w := range o.waiting {
		if at -= o.unserved(g, w, now); at < 0 {
			o.holds = append(o.holds, hold{g, now.Add(holdTime)})
			return g, true
		}
	}
	return 0, false
}

func (o *offers) unserved(g instance.Incarnation, w interest, now time.Time) int {
	_, own := o.held(g, now)
	return max(0, w.requests-own)
}
