package agent

import (
	"cmp"
	"time"

	"toucantiller.dev/dispatch"
	"toucantiller.dev/instance"
)

const (
	// holdTimeout is how long a free slot is held for the gateway to which it was offered. It
	// covers a round trip and the selection of a request.
	holdTimeout = 15 * time.Millisecond
	// waitingTTL is how long a gateway counts as waiting after its last report.
	waitingTTL = 600 * time.Millisecond
)

// offers decides which gateway gets a free slot when several wait for one. Without it all of
// them would send a request including its body for the same slot. It is not safe for
// concurrent use.
type offers struct {
	waiting map[instance.Incarnation]waitingReport
	holds   []hold
}

// waitingReport is the last report of a gateway about the requests that wait there.
type waitingReport struct {
	dispatch.Waiting
	at time.Time
}

// hold is a slot held for a gateway.
type hold struct {
	gateway instance.Incarnation
	until   time.Time
}

// recordWaiting records the requests waiting at a gateway.
func (o *offers) recordWaiting(gateway instance.Incarnation, waiting dispatch.Waiting, now time.Time) {
	if waiting.Requests <= 0 {
		delete(o.waiting, gateway)
		return
	}
	if o.waiting == nil {
		o.waiting = make(map[instance.Incarnation]waitingReport)
	}
	o.waiting[gateway] = waitingReport{waiting, now}
}

// held counts all slots currently held, and those held for one gateway.
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

// takeHold uses a slot held for the gateway; it returns false when there is none.
func (o *offers) takeHold(gateway instance.Incarnation, now time.Time) bool {
	for i, h := range o.holds {
		if h.gateway == gateway && now.Before(h.until) {
			o.holds = append(o.holds[:i], o.holds[i+1:]...)
			return true
		}
	}
	return false
}

// expire drops the holds that were not used in time and treats their gateways as no longer
// waiting. It returns when the next hold expires, the zero time if there is none.
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

// offer holds one of the free slots for the gateway whose first waiting request ranks highest.
// Only the first request of each gateway is known, so each slot already held for a gateway
// lowers its rank.
func (o *offers) offer(free int, now time.Time) (instance.Incarnation, bool) {
	var best *candidate
	for g, w := range o.waiting {
		if now.Sub(w.at) > waitingTTL {
			delete(o.waiting, g)
			continue
		}
		_, own := o.held(g, now)
		if w.Requests <= own || w.Reserve >= free {
			continue
		}
		b := &candidate{gateway: g, held: own, waiting: w.Waiting}
		if best == nil || b.compare(best) < 0 {
			best = b
		}
	}
	if best == nil {
		return 0, false
	}
	o.holds = append(o.holds, hold{best.gateway, now.Add(holdTimeout)})
	return best.gateway, true
}

// candidate is a gateway that may be offered a slot.
type candidate struct {
	gateway instance.Incarnation
	held    int
	waiting dispatch.Waiting
}

// density returns the value per unit of work of the request that would use the slot.
func (b *candidate) density() float64 { return b.waiting.Density / float64(1+b.held) }

// compare returns a negative number if b ranks before other.
func (b *candidate) compare(other *candidate) int {
	return cmp.Or(
		cmp.Compare(b.waiting.Tier, other.waiting.Tier),
		cmp.Compare(other.density(), b.density()),
		cmp.Compare(other.waiting.Requests, b.waiting.Requests),
		cmp.Compare(b.gateway, other.gateway),
	)
}
