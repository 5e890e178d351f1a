package program

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	kitlog "github.com/go-kit/log"
	"gotest.tools/v3/assert"
)

// Guards against a log that reports stalls of a process that runs.
func TestNoStallIsLoggedWhileTheProcessRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		ctx, cancel := context.WithCancel(t.Context())
		go logStalls(ctx, kitlog.NewLogfmtLogger(&out))
		time.Sleep(time.Minute)
		cancel()
		synctest.Wait()
		assert.Assert(t, !strings.Contains(out.String(), "stood still"), out.String())
	})
}
