package idempotency_test

import (
	"fmt"
	"time"

	"toucantiller.dev/control/api"
	"toucantiller.dev/dispatch"
	"toucantiller.dev/idempotency"
	"toucantiller.dev/instance"
)

func Example() {
	var table idempotency.Table
	now := time.Unix(0, 0)
	dead := func(instance.ID, instance.Incarnation) bool { return false }
	first, second := dispatch.ID{Request: "r1"}, dispatch.ID{Request: "r2"}
	claim := func(d dispatch.ID, previous *dispatch.ID) api.ClaimState {
		c := &api.Claim{Account: "mill", Key: "slot-7", BodyDigest: "b", TTL: time.Hour, Dispatch: d, Previous: previous}
		return table.Claim(now, c, dead).State
	}
	fmt.Println(claim(first, nil))
	fmt.Println(claim(second, nil))
	// The gateway of the first dispatch is dead, and the agent has sealed the dispatch.
	fmt.Println(claim(second, &first))
	table.Complete(now, &api.CompleteClaim{Account: "mill", Key: "slot-7", Dispatch: second, State: api.ClaimDone, Answer: &dispatch.StoredAnswer{Status: 201}})
	fmt.Println(claim(dispatch.ID{Request: "r3"}, nil))
	// Output:
	// granted
	// running
	// granted
	// done
}
