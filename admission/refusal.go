// Package admission decides which requests wait, which go next and which are
// refused: tier queues with fair sharing among accounts, the admission floor
// and account limits. It does no I/O, has no clock and starts no goroutine.
package admission

import (
	"fmt"
	"time"

	"toucantiller.dev/account"
)

// Reason says why a request was refused. No refused request has run.
type Reason string

// Reasons of refusals.
const (
	// ReasonQueueFull: the queue is full of work that ranks at least as high.
	ReasonQueueFull Reason = "queue_full"
	// ReasonEvicted: the request was evicted in favour of another.
	ReasonEvicted Reason = "evicted"
	// ReasonBelowFloor: the tier is below the admission floor.
	ReasonBelowFloor Reason = "below_floor"
	// ReasonDeadline: the deadline could not be met even if placed first.
	ReasonDeadline Reason = "deadline"
	// ReasonQueueTime: the request waited as long as its tier allows.
	ReasonQueueTime Reason = "queue_time"
	// ReasonAccountRate: the account's request rate is used up.
	ReasonAccountRate Reason = "account_rate"
	// ReasonAccountConcurrency: the account has too many open requests.
	ReasonAccountConcurrency Reason = "account_concurrency"
	// ReasonHandedBack: the process is shutting down.
	ReasonHandedBack Reason = "handed_back"
)

// Refusal is the typed outcome of a request that was not admitted.
type Refusal struct {
	Reason Reason
	Tier   account.Tier
	// RetryAfter estimates when a retry could succeed; it is positive.
	RetryAfter time.Duration
}

// Error makes a refusal usable as an error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused: %s (tier %d), retry after %s", r.Reason, r.Tier, r.RetryAfter)
}

// Bounds of RetryAfter.
const (
	MinRetryAfter = 100 * time.Millisecond
	MaxRetryAfter = 30 * time.Second
)

func clampRetry(d time.Duration) time.Duration {
	return min(max(d, MinRetryAfter), MaxRetryAfter)
}
