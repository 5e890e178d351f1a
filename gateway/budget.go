package gateway

import "sync/atomic"

// Bounds of the retry budget, in thousandths of a retry.
const (
	retryCost = 1000
	// retryCredit allows one retry per seven requests, so that an overload in which every
	// attempt is refused raises the load on endpoints by less than a fifth.
	retryCredit = 150
	// retryReserve lets a gateway with little traffic retry. All gateways may use theirs within
	// the same seconds.
	retryReserve = 4 * retryCost
)

// retryBudget bounds retries to a share of recent requests.
type retryBudget struct{ spent atomic.Int64 }

// newRequest credits a request that has been accepted.
func (b *retryBudget) addRequest() {
	for {
		spent := b.spent.Load()
		if spent == 0 || b.spent.CompareAndSwap(spent, max(0, spent-retryCredit)) {
			return
		}
	}
}

// takeRetry takes one retry from the budget; it returns false when the budget is used up.
func (b *retryBudget) takeRetry() bool {
	if b.spent.Add(retryCost) <= retryReserve {
		return true
	}
	b.spent.Add(-retryCost)
	return false
}
