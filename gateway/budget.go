package gateway

import "sync/atomic"

// Bounds of the retry budget, in thousandths of a retry.
const (
	retryCost = 1000
	// retryShare allows one retry for seven requests, so that an overload in which every
	// attempt is refused raises the load on endpoints by less than a fifth.
	retryShare = 150
	// retryReserve lets a gateway with little traffic retry. All gateways together may use
	// theirs in the same seconds.
	retryReserve = 4 * retryCost
)

// retryBudget bounds retries to a share of recent requests.
type retryBudget struct{ spent atomic.Int64 }

// request counts a request that has been accepted.
func (b *retryBudget) request() {
	for {
		spent := b.spent.Load()
		if spent == 0 || b.spent.CompareAndSwap(spent, max(0, spent-retryShare)) {
			return
		}
	}
}

// retry takes one retry from the budget; it returns false when the budget is used up.
func (b *retryBudget) retry() bool {
	if b.spent.Add(retryCost) <= retryReserve {
		return true
	}
	b.spent.Add(-retryCost)
	return false
}
