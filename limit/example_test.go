package limit_test

import (
	"fmt"
	"time"

	"toucantiller.dev/limit"
)

func Example() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	l := limit.New(limit.Options{})
	fmt.Println(l.Limit(), l.Cold())
	for range 3 {
		ticket := l.Start(now, 400)
		now = now.Add(100 * time.Millisecond)
		l.FirstToken(ticket, now)
		now = now.Add(2500 * time.Millisecond)
		l.Finish(ticket, limit.Sample{
			FirstToken: 100 * time.Millisecond, Total: 2600 * time.Millisecond,
			PromptTokens: 400, AnswerTokens: 100,
		}, now)
	}
	prefill, decode := l.Rates()
	fmt.Printf("%d %v %.0f %.0f\n", l.Limit(), l.Cold(), prefill, decode)
	// Output:
	// 1 true
	// 2 true 4000 40
}
