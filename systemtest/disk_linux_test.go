package systemtest

import (
	"os"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// fileLimit is the size beyond which the log of a replica cannot grow, in bytes. The
// program's output, a file as well, stays far below it.
const fileLimit = 64 << 10

// Guards P11: against a replica whose disk fails under it hanging, dying without naming the
// step and the file, or costing an accepted change; and against one that cannot return once
// its disk is in order.
func TestFailingDisk(t *testing.T) {
	t.Parallel()
	d := startControl(t)
	d.apply(1)
	stream := d.startStream()
	for _, which := range []string{"follower", "leader"} {
		d.progress()
		i := d.leader()
		if which == "follower" {
			i = (i + 1) % replicas
		}
		failing := d.controls[i]
		assert.NilError(t, unix.Prlimit(failing.cmd.Process.Pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: fileLimit, Max: fileLimit}, nil))
		hung := time.AfterFunc(waitLimit, func() { _ = failing.cmd.Process.Kill() })
		_ = failing.cmd.Wait() // the state holds the status
		hung.Stop()
		failing.show()
		assert.Equal(t, failing.cmd.ProcessState.ExitCode(), 1, "%s: %s", which, failing.cmd.ProcessState)
		output, err := os.ReadFile(failing.out.Name())
		assert.NilError(t, err)
		lines := strings.Split(strings.TrimSpace(string(output)), "\n")
		last := lines[len(lines)-1]
		for _, part := range []string{"toucan-control: ", "write-ahead log stopped: write ", ".log at offset ", "file too large"} {
			assert.Assert(t, strings.Contains(last, part), last)
		}
		d.progress()

		// With another replica gone, the returned one is needed for every change.
		d.controls[i] = d.newControl(i)
		d.controls[i].start()
		other := (i + 1) % replicas
		d.controls[other].kill()
		d.progress()
		d.controls[other] = d.newControl(other)
		d.controls[other].start()
	}
	stream.stop(t)
}
