package rollout_test

import (
	"fmt"
	"time"

	"toucantiller.dev/rollout"
)

// Drives a move in which every answer of the new version fails until it is taken back.
func ExampleJudge() {
	start := time.Date(2031, 5, 4, 12, 0, 0, 0, time.UTC)
	move := rollout.Move{Service: "weft-lm", From: "v1", To: "v2", Started: start, Deadline: start.Add(10 * time.Minute)}
	judge := rollout.NewJudge(1)
	for second := 1; ; second++ {
		now := start.Add(time.Duration(second) * time.Second)
		var observations []rollout.Observation
		for i := range 50 {
			o := rollout.Observation{Version: "v1", Route: "chat", Endpoint: "old", Domain: "lagos-a", FirstToken: 100 * time.Millisecond}
			if move.Share > 0 && i == 0 {
				o.Version, o.Endpoint, o.Failed = "v2", fmt.Sprint("new-", second%3), true
			}
			observations = append(observations, o)
		}
		d := judge.Decide(now, move, observations)
		if d.Action == rollout.TakeBack {
			fmt.Println(d.Action, "at share", move.Share)
			return
		}
		if d.Action != rollout.Hold {
			move.Stage, move.Share, move.StageSince = d.Stage, d.Share, now
		}
	}
	// Output: take back at share 0.01
}
