package schedule

import "sync/atomic"

// Size of the history of this gateway's requests.
const (
	historySlots    = 32
	historyInterval = int64(250e6) // nanoseconds
)

// history stores how many requests of this gateway an endpoint had over time. A report includes
// those of the time when it was made, not the present ones.
type history struct {
	// slots hold the interval number above 16 bits of the count.
	slots [historySlots]atomic.Uint64
}

const countBits = 16

func (h *history) record(nanos, count int64) {
	interval := uint64(nanos/historyInterval) + 1
	word := interval<<countBits | uint64(min(max(count, 0), 1<<countBits-1))
	h.slots[interval%historySlots].Store(word)
}

func (h *history) countAt(nanos int64) (count int64, ok bool) {
	interval := uint64(nanos/historyInterval) + 1
	word := h.slots[interval%historySlots].Load()
	if word>>countBits != interval {
		return 0, false
	}
	return int64(word & (1<<countBits - 1)), true
}

// ownRequestsAt returns this gateway's requests at the time a report was made, or the present ones
// when that time is not in the history.
func (s *state) ownRequestsAt(made, now int64) float64 {
	current := s.requests.Load()
	if now >= 0 {
		s.history.record(now, current)
	}
	if made < 0 || now-made < historyInterval {
		return float64(current)
	}
	if count, ok := s.history.countAt(made); ok {
		return float64(count)
	}
	return float64(current)
}
