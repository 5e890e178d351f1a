package schedule

import (
	"math"
	"sync/atomic"
)

// Size of the estimator's table and defaults.
const (
	answerSlots = 8192
	// DefaultAnswerTokens is the estimate before any answer was seen.
	DefaultAnswerTokens = 128
	answerGain          = 0.1
)

// AnswerEstimator learns the size of answers by route and account in bounded
// memory. A pair not seen yet is estimated by its route, then by all answers. The
// zero value is ready for use; it is safe for concurrent use.
type AnswerEstimator struct {
	slots [answerSlots]atomic.Uint64
	all   atomic.Uint64
}

// Observe records an answer of this many tokens.
func (e *AnswerEstimator) Observe(route, account string, tokens int) {
	size := float32(max(tokens, 1))
	r := hashString(route)
	e.update(pairKey(r, account), size)
	e.update(r, size)
	updateSlot(&e.all, 1, size)
}

// Estimate returns the expected number of answer tokens.
func (e *AnswerEstimator) Estimate(route, account string) int {
	r := hashString(route)
	for _, key := range [...]uint64{pairKey(r, account), r} {
		if mean, ok := e.lookup(key); ok {
			return mean
		}
	}
	if word := e.all.Load(); word != 0 {
		return int(math.Float32frombits(uint32(word)))
	}
	return DefaultAnswerTokens
}

func pairKey(route uint64, account string) uint64 {
	return mix(route + 0x9e3779b97f4a7c15 ^ hashString(account))
}

// Words hold a 32-bit tag of the key above the mean as a float32. A key that
// meets another one in its slot replaces it, which bounds memory and forgets
// pairs that are no longer in use.
func (e *AnswerEstimator) update(key uint64, size float32) {
	updateSlot(&e.slots[key%answerSlots], uint32(key>>32)|1, size)
}

func updateSlot(slot *atomic.Uint64, tag uint32, size float32) {
	old := slot.Load()
	mean := size
	if old != 0 && uint32(old>>32) == tag {
		was := math.Float32frombits(uint32(old))
		mean = was + answerGain*(size-was)
	}
	// A lost race drops one sample, which the mean does not notice.
	slot.CompareAndSwap(old, uint64(tag)<<32|uint64(math.Float32bits(mean)))
}

func (e *AnswerEstimator) lookup(key uint64) (int, bool) {
	word := e.slots[key%answerSlots].Load()
	if word == 0 || uint32(word>>32) != uint32(key>>32)|1 {
		return 0, false
	}
	return int(math.Float32frombits(uint32(word))), true
}
