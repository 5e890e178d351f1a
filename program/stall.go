package program

import (
	"context"
	"time"

	kitlog "github.com/go-kit/log"

	"toucantiller.dev/uptime"
)

const (
	// stallInterval is how often a process checks that it runs.
	stallInterval = time.Second
	// stallTolerance is the delay of a check that is logged.
	stallTolerance = time.Second
)

// logStalls logs each time for which the process stood still, until ctx ends. The suspended part
// tells a suspended machine from a stopped or starved process.
func logStalls(ctx context.Context, logger kitlog.Logger) {
	ticker := time.NewTicker(stallInterval)
	defer ticker.Stop()
	last := uptime.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := uptime.Now()
		if late := now.Sub(last) - stallInterval; late > stallTolerance {
			_ = logger.Log("msg", "process stood still", "late_ms", late.Milliseconds(), "suspended_ms", now.Suspended(last).Milliseconds())
		}
		last = now
	}
}
