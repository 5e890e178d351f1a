package agent

import (
	"cmp"
	"time"

	"toucantiller.dev/dispatch"
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

// interest is what a gateway said last of the requests that wait there.
type interest struct {
	dispatch.Waiting
	at time.Time
}

// hold is a slot that is kept for a gateway.
type hold struct {
	gateway instance.Incarnation
	until   time.Time
}

// want records what waits at a gateway.
func (o *offers) want(gateway instance.Incarnation, waiting dispatch.Waiting, now time.Time) {
	if waiting.Requests <= 0 {
		delete(o.waiting, gateway)
		return
	}
	if o.waiting == nil {
		o.waiting = make(map[instance.Incarnation]interest)
	}
	o.waiting[gateway] = interest{waiting, now}
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

// offer keeps one of the free slots for the waiting gateway whose first request goes before
// those of the others. What waits behind a gateway's first request is not known, so each
// slot that is kept for it already lowers its rank.
func (o *offers) offer(free int, now time.Time) (instance.Incarnation, bool) {
	var best *bid
	for g, w := range o.waiting {
		if now.Sub(w.at) > interestTime {
			delete(o.waiting, g)
			continue
		}
		_, own := o.held(g, now)
		if w.Requests <= own || w.Reserve >= free {
			continue
		}
		b := &bid{gateway: g, own: own, waiting: w.Waiting}
		if best == nil || b.compare(best) < 0 {
			best = b
		}
	}
	if best == nil {
		return 0, false
	}
	o.holds = append(o.holds, hold{best.gateway, now.Add(holdTime)})
	return best.gateway, true
}

// bid is a gateway that may be offered a slot.
type bid struct {
	gateway instance.Incarnation
	own     int
	waiting dispatch.Waiting
}

// density is the worth for the work of the request that would use the slot.
func (b *bid) density() float64 { return b.waiting.Density / float64(1+b.own) }

// compare returns a negative number if b goes before other.
func (b *bid) compare(other *bid) int {
	return cmp.Or(
		cmp.Compare(b.waiting.Tier, other.waiting.Tier),
		cmp.Compare(other.density(), b.density()),
		cmp.Compare(other.waiting.Requests, b.waiting.Requests),
		cmp.Compare(b.gateway, other.gateway),
	)
}
