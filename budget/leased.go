package budget

import (
	"math"
	"time"
)

const (
	// askedTimeConstant is the time constant of the mean rate that callers ask for.
	askedTimeConstant = 3 * time.Second
	// costWeight is the weight of a request in the mean cost.
	costWeight = 1.0 / 8
	// shift is the change of what callers ask for, as a part of what the lease gives, that the leader
	// should know soon.
	shift = 0.25
	// drawnFor is how long drawn tokens are kept for the request for which they were drawn: a little
	// longer than a gateway waits for a draw.
	drawnFor = 100 * time.Millisecond
)

// Hold gives the wallet a lease in place of the one that it has; the gateway can draw again.
func (w *Wallet) Hold(l Lease, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if w.lease.Share <= 0 && !w.justDrew(now) {
		w.balance = min(w.balance, 0) // what it got while it could not draw is not the pool's
	}
	w.leasing, w.offline, w.lease = true, false, l
	w.trim(now)
}

// TakeDrawn spends the cost of a request after a Take that asked for a draw, whatever came of that: a request
// that did not get enough is decided as while the leader is away. If ok is false, the request exceeds the limit
// for now, and wait is the time until it may fit.
func (w *Wallet) TakeDrawn(cost float64, now time.Time) (ok bool, wait time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	ok, _, _, wait = w.takeLeased(cost, true)
	return ok, wait
}

// Reach records that the gateway can draw again, without a lease in place of the one that it has.
func (w *Wallet) Reach(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.offline = false
}

// Missing returns how many of a number of tokens the wallet does not hold, its debt included.
func (w *Wallet) Missing(tokens float64, now time.Time) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	return max(0, tokens-w.balance)
}

// Asked returns the mean rate that callers lately asked for in tokens a second, at most the limit, and the mean
// cost of their requests; the rate is 0 if it is hardly any.
func (w *Wallet) Asked(now time.Time) (rate, cost float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.told = w.asked
	if w.asked < minAsked {
		return 0, 0
	}
	return min(w.asked, w.limit.Rate), w.cost
}

// Share returns the part of the account's limit that the wallet has on lease.
func (w *Wallet) Share(now time.Time) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	return w.lease.Share
}

// Shifted reports whether what callers ask for has changed so much since Asked was last called that
// the leader should know soon.
func (w *Wallet) Shifted(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	return w.leasing && math.Abs(w.asked-w.told) > max(minAsked, shift*w.lease.rate(w.limit))
}

// noteCost adds a request to the mean cost.
func (w *Wallet) noteCost(cost float64) {
	if w.cost == 0 {
		w.cost = cost
	}
	w.cost += (cost - w.cost) * costWeight
}

// takeLeased is Take for a wallet with leases. While the leader is away, the lease decides; after its
// end, what the gateway spends without one.
func (w *Wallet) takeLeased(cost float64, away bool) (ok, draw bool, want float64, wait time.Duration) {
	inForce := w.lease.Share > 0
	overdraft := 0.0
	if away && inForce {
		overdraft = w.lease.Overdraft
	}
	if w.balance+overdraft >= cost || away && !inForce && w.balance > 0 {
		w.balance -= cost
		return true, false, 0, 0
	}
	if !away {
		return false, true, cost - w.balance, 0
	}
	return false, false, 0, w.timeTo(cost - overdraft)
}

// timeTo returns the time until the wallet holds a number of tokens without draws.
func (w *Wallet) timeTo(tokens float64) time.Duration {
	rate := w.offlineRate()
	if w.lease.Share > 0 {
		rate = max(1, w.lease.rate(w.limit))
	}
	return time.Duration((tokens - w.balance) / rate * float64(time.Second))
}

// accrueLease adds what the lease gave in the time that has elapsed, and ends the lease when its time
// has come. It returns the seconds, of those that have elapsed, in which the lease was in force.
func (w *Wallet) accrueLease(elapsed float64, now time.Time) float64 {
	if w.lease.Share <= 0 {
		return 0
	}
	leased := max(0, min(elapsed, w.lease.End.Sub(w.at).Seconds()))
	w.balance += w.lease.rate(w.limit) * leased
	w.trim(now)
	if !now.Before(w.lease.End) {
		w.lease = Lease{}
		w.balance = min(w.balance, 0)
	}
	return leased
}

// trim gives back what the wallet may not keep, as if it had not been granted when the wallet last
// held no more than that.
func (w *Wallet) trim(now time.Time) {
	if !w.leasing || w.offline && w.lease.Share <= 0 || w.justDrew(now) {
		return
	}
	if top := w.lease.burst(w.limit); w.balance > top {
		w.giveBack(w.balance-top, w.trimmed)
		w.balance = top
	}
	w.trimmed = now
}

// justDrew reports whether the wallet may hold tokens for a request that has not taken them yet.
func (w *Wallet) justDrew(now time.Time) bool { return now.Sub(w.credited) <= drawnFor }
