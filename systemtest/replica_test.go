package systemtest

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"toucantiller.dev/contract"
	"toucantiller.dev/control/api"
)

// wipe removes everything from the data folder of a replica that is not running.
func (d *deployment) wipe(i int) {
	d.t.Helper()
	entries, err := os.ReadDir(d.folders[i])
	assert.NilError(d.t, err)
	for _, e := range entries {
		assert.NilError(d.t, os.RemoveAll(filepath.Join(d.folders[i], e.Name())))
	}
}

// toucanctl runs one command against the deployment and returns what it printed.
func (d *deployment) toucanctl(args ...string) (string, error) {
	d.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*waitLimit)
	defer cancel()
	args = append(args, "--control", strings.Join(d.control, ","), "--timeout", waitLimit.String())
	out, err := exec.CommandContext(ctx, binary("toucanctl"), args...).CombinedOutput()
	d.t.Logf("toucanctl %s\n%s", strings.Join(args, " "), out)
	return string(out), err
}

// replicaAt returns the members at the address of a replica, as the leader lists them.
func (d *deployment) replicaAt(i int) []api.Replica {
	d.t.Helper()
	var out []api.Replica
	waitFor(d.t, "the members of the group", func() bool {
		s := d.status()
		if s == nil {
			return false
		}
		out = slices.DeleteFunc(slices.Clone(s.Replicas), func(r api.Replica) bool { return r.Address != d.control[i] })
		return true
	})
	return out
}

// addReplica replaces a lost replica, whose process runs on an empty data folder. It checks
// that the new identity votes in place of the former one.
func (d *deployment) addReplica(i int, former uint64, key string) {
	d.t.Helper()
	out, err := d.toucanctl("replica", "add", d.control[i], "--operator", "adaeze", "--key", key)
	assert.NilError(d.t, err)
	// An attempt whose answer was late is repeated, and then finds the member there.
	done := []string{"accepted: " + d.control[i] + " was added\n", "accepted: " + d.control[i] + " is a member already\n"}
	assert.Assert(d.t, slices.Contains(done, out), out)
	present := d.replicaAt(i)
	assert.Equal(d.t, len(present), 1)
	assert.Assert(d.t, present[0].Voter && present[0].ID != former)
	listed, err := d.toucanctl("replica", "status")
	assert.NilError(d.t, err)
	assert.Assert(d.t, strings.Contains(listed, "3 voters, quorum 2"), listed)
}

// Guards P11: against a replica that was replaced without its lost identity leaving the
// quorum, or without the accepted changes reaching its disk: the group must survive the
// loss of another disk right after the repair, whichever replica leads.
func TestSecondLossAfterReplacement(t *testing.T) {
	for _, second := range []string{"leader", "follower"} {
		t.Run(second, func(t *testing.T) {
			d := startControl(t)
			d.apply(1)
			key := filepath.Join(t.TempDir(), "adaeze.key")
			assert.NilError(t, contract.WriteKeyFile(key, contract.DemoKey("adaeze")))
			stream := d.startStream()
			d.progress()

			lost := (d.leader() + 1) % replicas
			former := d.replicaAt(lost)[0].ID
			d.controls[lost].kill()
			d.progress()
			d.wipe(lost)
			d.controls[lost] = d.newControl(lost)
			d.controls[lost].start()
			d.addReplica(lost, former, key)

			next := d.leader()
			for second == "follower" && (next == lost || next == d.leader()) {
				next = (next + 1) % replicas
			}
			former = d.replicaAt(next)[0].ID
			d.controls[next].kill()
			d.wipe(next)
			d.progress()
			stream.stop(t)

			// The second disk is replaced in the same way, and the group is whole again.
			d.controls[next] = d.newControl(next)
			d.controls[next].start()
			d.addReplica(next, former, key)
			waitFor(t, "the last accepted revision", func() bool {
				s := d.status()
				return s != nil && s.Revision >= stream.revision
			})
		})
	}
}
