package budget

import (
	"time"

	"toucantiller.dev/instance"
)

// ReturnID identifies one return of a gateway. The numbers of a gateway rise, also over its restarts.
type ReturnID struct {
	Gateway instance.ID
	Number  uint64
}

// Returned is a number of tokens that were drawn and not used, because their requests did not run.
type Returned struct {
	Tokens float64
	// Age is the time since they were drawn.
	Age time.Duration
}

const (
	// historySlot is the resolution with which a bucket remembers its balance, and a wallet when it
	// drew the tokens that it returns.
	historySlot = 250 * time.Millisecond
	// historySlots is the number of slots; tokens that were drawn earlier do not come back.
	historySlots = 40
)

// history holds the highest balance of a bucket in each of the last slots.
type history struct {
	// highest is a ring; the slot with number n is at n % historySlots.
	highest [historySlots]float64
	// began is when the bucket began; slots are numbered from then on.
	began time.Time
	// first and last are the numbers of the oldest and the newest slot.
	first, last int
}

func newHistory(balance float64, now time.Time) history {
	h := history{began: now}
	h.highest[0] = balance
	return h
}

// slot returns the number of the slot of a moment, below 0 before the bucket began.
func (h *history) slot(at time.Time) int {
	since := at.Sub(h.began)
	if since < 0 {
		return -1
	}
	return int(since / historySlot)
}

// record notes a balance, which the bucket has at most from the last record on.
func (h *history) record(balance float64, now time.Time) {
	slot := h.slot(now)
	for h.last < slot {
		h.last++
		h.highest[h.last%historySlots] = balance
	}
	h.first = max(h.first, h.last-historySlots+1)
	h.highest[h.last%historySlots] = max(h.highest[h.last%historySlots], balance)
}

// restore returns how many of the tokens drawn at a time the bucket would still hold had they not
// been drawn: what would have overflowed since is lost. The balances since then count them from
// now on.
func (h *history) restore(tokens, burst float64, drawn time.Time) float64 {
	from := h.slot(drawn)
	if from < h.first || from > h.last {
		return 0
	}
	for n := from; n <= h.last; n++ {
		tokens = min(tokens, burst-h.highest[n%historySlots])
	}
	tokens = max(0, tokens)
	for n := from; n <= h.last; n++ {
		h.highest[n%historySlots] += tokens
	}
	return tokens
}
