package operator_test

import (
	"fmt"
	"time"

	"toucantiller.dev/control/api"
	"toucantiller.dev/operator"
)

func ExampleMoveLine() {
	now := time.Date(2031, 5, 4, 12, 0, 0, 0, time.UTC)
	m := api.Move{Service: "weft-lm", From: "v1", To: "v2", State: api.MoveTakenBack, Ended: now, Cause: "v2 is worse than v1: failed answers on route chat"}
	fmt.Println(operator.MoveLine(m, now))
	// Output: weft-lm v1 -> v2: taken back at 12:00:00 UTC: v2 is worse than v1: failed answers on route chat
}
