package lease

import (
	"time"

	"golang.org/x/time/rate"
)

// SlotRetention is how long a slot is kept after its time for a caller that has not returned.
const SlotRetention = 10 * time.Second

// Admission admits callers at a bounded rate. A caller that must wait gets a slot and
// is admitted when it returns at its slot's time. Many simultaneous callers are thus
// admitted in order of arrival, and none starves.
type Admission struct {
	limiter *rate.Limiter
	slots   map[string]time.Time
	swept   time.Time
}

// NewAdmission returns an Admission that admits perSecond callers a second, with bursts of
// up to burst callers.
func NewAdmission(perSecond float64, burst int) *Admission {
	return &Admission{limiter: rate.NewLimiter(rate.Limit(perSecond), burst), slots: make(map[string]time.Time)}
}

// Admit returns 0 when the caller is admitted, and otherwise how long it must wait
// before it asks again.
func (a *Admission) Admit(caller string, now time.Time) time.Duration {
	a.sweep(now)
	slot, ok := a.slots[caller]
	if !ok {
		slot = now.Add(a.limiter.ReserveN(now, 1).DelayFrom(now))
		a.slots[caller] = slot
	}
	if wait := slot.Sub(now); wait > 0 {
		return wait
	}
	delete(a.slots, caller)
	return 0
}

// sweep removes slots whose callers have not returned within SlotRetention, at most once a
// second.
func (a *Admission) sweep(now time.Time) {
	if now.Sub(a.swept) < time.Second {
		return
	}
	a.swept = now
	for caller, slot := range a.slots {
		if now.Sub(slot) > SlotRetention {
			delete(a.slots, caller)
		}
	}
}
