package operator

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a report on files that hold no requests, which would read as a day without losses.
func TestLossesRefusesFilesWithoutRequests(t *testing.T) {
	dir := t.TempDir()
	empty := filepath.Join(dir, "empty")
	assert.NilError(t, os.WriteFile(empty, []byte("ts=2026-01-01T00:00:00Z msg=draining\n"), 0o600))
	for _, c := range []lossesCmd{
		{Files: []string{empty}, Objective: time.Second},
		{Files: []string{filepath.Join(dir, "missing")}, Objective: time.Second},
		{Files: []string{empty}},
	} {
		var usage usageError
		assert.Assert(t, errors.As(c.Run(&session{cli: &CLI{}}), &usage))
	}
}

func TestLossesPrintsSharesByReason(t *testing.T) {
	file := filepath.Join(t.TempDir(), "log")
	line := "ts=2026-01-01T00:00:01Z msg=request request=1 outcome=queue_full status=503 execution=not_run route=r account=a prompt=10 answer=1 total_ms=1\n"
	assert.NilError(t, os.WriteFile(file, []byte(line), 0o600))
	var out bytes.Buffer
	s := &session{cli: &CLI{Output: "text"}}
	s.Stdout = &out
	c := lossesCmd{Files: []string{file}, Objective: time.Second}
	assert.NilError(t, c.Run(s))
	assert.Assert(t, strings.Contains(out.String(), "1.0000  1         lost: queue_full"), out.String())
}
