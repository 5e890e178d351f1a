package admission

import (
	"sync"
	"time"
)

// tokenBudget is one gateway's part of an account's token limit. A request is admitted
// while the balance is positive and may overdraw it, since one request can be larger than
// a gateway's part of the burst.
type tokenBudget struct {
	mu      sync.Mutex
	rate    float64 // tokens a second; 0 means no bound
	burst   float64
	balance float64
	at      time.Time
}

// configure sets the bounds. A new budget begins full; a lower one takes effect at once.
func (b *tokenBudget) configure(rate, burst float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rate == 0 {
		b.balance, b.at = burst, now
	}
	b.advance(now)
	b.rate, b.burst = rate, burst
	b.balance = min(b.balance, burst)
}

func (b *tokenBudget) advance(now time.Time) {
	b.balance = min(b.burst, b.balance+b.rate*now.Sub(b.at).Seconds())
	b.at = now
}

// take admits a request of a cost, or returns the time until the balance is positive.
func (b *tokenBudget) take(cost float64, now time.Time) (wait time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rate <= 0 {
		return 0, true
	}
	b.advance(now)
	if b.balance <= 0 {
		return time.Duration((1 - b.balance) / b.rate * float64(time.Second)), false
	}
	b.balance -= cost
	return 0, true
}

// refund returns the cost of a request that did not run.
func (b *tokenBudget) refund(cost float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.burst, b.balance+cost)
}
