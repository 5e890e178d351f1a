package admission_test

import (
	"fmt"
	"time"

	"toucantiller.dev/account"
	"toucantiller.dev/admission"
)

func ExampleQueue() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	q := admission.NewQueue(admission.QueueOptions{Capacity: 2, Tiers: 3})
	_, _ = q.Push(&admission.Item{Tier: 2, Account: "reports"}, now)
	_, _ = q.Push(&admission.Item{Tier: 1, Account: "dues"}, now)
	evicted, _ := q.Push(&admission.Item{Tier: 0, Account: "mill-north"}, now)
	fmt.Println("evicted:", evicted[0].Item.Account, evicted[0].Refusal.Reason)

	_, refusal := q.Push(&admission.Item{Tier: 0, Deadline: now.Add(time.Second), MinServiceTime: 2 * time.Second}, now)
	fmt.Println("refused:", refusal.Reason)
	for q.Len() > 0 {
		next, _ := q.Pop(now)
		fmt.Println("next:", next.Account)
	}
	// Output:
	// evicted: reports evicted
	// refused: deadline
	// next: mill-north
	// next: dues
}

func ExampleServiceQueue() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	q := admission.NewServiceQueue(admission.ServiceOptions{QueueOptions: admission.QueueOptions{Capacity: 1, Tiers: 2}})
	_, _ = q.Push(&admission.Item{Tier: 0}, now)
	// The queue is full of the higher tier: it asks for a floor before it sheds.
	_, refusal := q.Push(&admission.Item{Tier: 0}, now)
	tier, raise := q.FloorRequest(now)
	fmt.Println(refusal == nil, raise, tier)

	_, refusal = q.Push(&admission.Item{Tier: 1}, now)
	fmt.Println(refusal.Reason)
	for _, d := range q.Expire(now.Add(admission.ShedDelay)) {
		fmt.Println("shed tier", d.Item.Tier, d.Refusal.Reason)
	}
	// Output:
	// true true 0
	// below_floor
	// shed tier 0 evicted
}

func ExampleAccountLimits() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var limits admission.AccountLimits
	limits.Update([]*account.Account{{Name: "dues", RequestsPerSecond: 2, Burst: 1}}, now)
	pass, _ := limits.Enter("dues", 0, now)
	pass.Leave()
	_, refusal := limits.Enter("dues", 0, now)
	fmt.Println(refusal.Reason, refusal.RetryAfter)
	// Output: account_rate 500ms
}
