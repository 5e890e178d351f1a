package wal_test

import (
	"path/filepath"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"toucantiller.dev/wal"
	"toucantiller.dev/wal/faultfs"
)

// Guards against a crash during Discard, or during the Open that completes it, that leaves a
// part of the log, the former identity with another log, or a mark that removes the next log.
func TestDiscardSurvivesACrashAtEveryStep(t *testing.T) {
	const steps, nextSteps, seeds = 24, 12, 3
	discarded := 0
	for first := range steps {
		for next := range nextSteps {
			for seed := range uint64(seeds) {
				if discardWithCrashes(t, seed, first, next) {
					discarded++
				}
			}
		}
	}
	assert.Assert(t, discarded > 0 && discarded < steps*nextSteps*seeds, "the crashes do not reach what they test")
}

// discardWithCrashes crashes during Discard at step first and during the next Open at step next
// (0: no crash), and reports whether the log was discarded.
func discardWithCrashes(t *testing.T, seed uint64, first, next int) bool {
	t.Helper()
	fs := faultfs.New(seed)
	m := fillDiscardedLog(t, fs)
	log, r, err := wal.Open(folder, testOptions(fs))
	assert.NilError(t, err)
	former := r.Owner
	assert.ErrorIs(t, wal.Discard(folder, fs), wal.ErrLocked)
	assert.NilError(t, log.Close())

	fs.CrashAt(first)
	done := wal.Discard(folder, fs) == nil
	fs.Restart()
	fs.CrashAt(next)
	if log, _, err = wal.Open(folder, testOptions(fs)); err == nil {
		assert.NilError(t, log.Close())
	}
	fs.Restart()
	fs.CrashAt(0)
	log, r, err = wal.Open(folder, testOptions(fs))
	assert.NilError(t, err)
	assert.Equal(t, r.Discarded, r.Owner != former)
	if !r.Discarded {
		assert.Assert(t, !done && m.equal(r), "recovered %+v", r)
		assert.NilError(t, log.Close())
		return false
	}
	var empty model
	assert.Assert(t, empty.equal(r), "recovered %+v", r)
	assert.NilError(t, log.Append([]byte("next"), nil))
	assert.NilError(t, log.Close())
	fs.Restart()
	log, again, err := wal.Open(folder, testOptions(fs))
	assert.NilError(t, err)
	assert.Equal(t, again.Owner, r.Owner)
	assert.Equal(t, string(again.State), "next")
	assert.Assert(t, again.Discarded)
	assert.NilError(t, log.Close())
	return true
}

// fillDiscardedLog writes a log of a snapshot and several segments.
func fillDiscardedLog(t *testing.T, fs wal.FS) *model {
	t.Helper()
	log, _, err := wal.Open(folder, testOptions(fs))
	assert.NilError(t, err)
	m := &model{state: "state"}
	assert.NilError(t, log.Append([]byte(m.state), m.appendFrom(1, 2, 1)))
	s := wal.Snapshot{Index: 2, Term: 1, Data: []byte("data")}
	m.applySnapshot(s, true)
	assert.NilError(t, log.SaveSnapshot(&s, true))
	for range 8 {
		assert.NilError(t, log.Append(nil, m.appendFrom(m.lastIndex()+1, 1, 1)))
	}
	assert.NilError(t, log.Close())
	return m
}

// folderChanges records the order of the folder's changes and syncs.
type folderChanges struct {
	*faultfs.FS
	steps []string
}

func (f *folderChanges) record(step, name string) {
	if step = step + " " + filepath.Ext(name); len(f.steps) == 0 || f.steps[len(f.steps)-1] != step {
		f.steps = append(f.steps, step)
	}
}

func (f *folderChanges) Create(name string) (wal.File, error) {
	f.record("create", name)
	return f.FS.Create(name)
}

func (f *folderChanges) Remove(name string) error {
	f.record("remove", "")
	return f.FS.Remove(name)
}

func (f *folderChanges) Rename(from, to string) error {
	f.record("rename", to)
	return f.FS.Rename(from, to)
}

func (f *folderChanges) SyncFolder(name string) error {
	f.record("sync", "")
	return f.FS.SyncFolder(name)
}

// Guards against a mark that reaches the disk after the first removal, and a mark that is taken
// away before the last one: file systems may reorder changes that are not synced.
func TestDiscardSyncsItsMarkBeforeTheRemovals(t *testing.T) {
	fs := &folderChanges{FS: faultfs.New(1)}
	fillDiscardedLog(t, fs)
	fs.steps = nil
	assert.NilError(t, wal.Discard(folder, fs))
	log, _, err := wal.Open(folder, testOptions(fs))
	assert.NilError(t, err)
	assert.NilError(t, log.Close())
	want := []string{"create ", "sync ", "remove ", "sync ", "rename ", "create .log", "sync "}
	assert.Assert(t, slices.Equal(fs.steps, want), "%q", fs.steps)
}
