package wal_test

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"toucantiller.dev/wal"
	"toucantiller.dev/wal/faultfs"
)

const folder = "/data"

// model is the reference implementation of a log: the content that recovery must return.
type model struct {
	state    string
	snapshot wal.Snapshot
	entries  []wal.Entry
}

func (m model) clone() model {
	m.entries = slices.Clone(m.entries)
	return m
}

func (m *model) lastIndex() uint64 { return m.snapshot.Index + uint64(len(m.entries)) }

// appendFrom replaces the entries from index on by count new ones.
func (m *model) appendFrom(index uint64, count int, term uint64) []wal.Entry {
	var added []wal.Entry
	for i := range uint64(count) {
		added = append(added, wal.Entry{Index: index + i, Term: term, Data: fmt.Appendf(nil, "%d/%d", index+i, term)})
	}
	m.entries = append(m.entries[:index-m.snapshot.Index-1], added...)
	return added
}

// applySnapshot replaces the entries up to the snapshot's index, or all unless keep is set.
func (m *model) applySnapshot(s wal.Snapshot, keep bool) {
	if keep {
		m.entries = m.entries[s.Index-m.snapshot.Index:]
	} else {
		m.entries = nil
	}
	m.snapshot = s
}

// equal reports whether recovery returned the model's content.
func (m *model) equal(r *wal.Recovered) bool {
	var snapshot wal.Snapshot
	if r.Snapshot != nil {
		snapshot = *r.Snapshot
	}
	sameEntries := slices.EqualFunc(m.entries, r.Entries, func(a, b wal.Entry) bool {
		return a.Index == b.Index && a.Term == b.Term && bytes.Equal(a.Data, b.Data)
	})
	return m.state == string(r.State) && sameEntries && m.snapshot.Index == snapshot.Index &&
		m.snapshot.Term == snapshot.Term && bytes.Equal(m.snapshot.Data, snapshot.Data)
}

// testOptions sets a small segment size, so that a few batches fill a segment.
func testOptions(fs wal.FS) wal.Options { return wal.Options{FS: fs, SegmentSize: 200} }

// drawChange draws one random change, applies it to the model and returns a function that
// applies it to the log.
func drawChange(t *rapid.T, m *model) func(*wal.Log) error {
	term := uint64(rapid.IntRange(1, 9).Draw(t, "term"))
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		m.state = fmt.Sprintf("state %d", rapid.Uint16().Draw(t, "state"))
		state := []byte(m.state)
		return func(l *wal.Log) error { return l.Append(state, nil) }
	case 1:
		if len(m.entries) == 0 {
			return func(*wal.Log) error { return nil }
		}
		e := m.entries[rapid.IntRange(0, len(m.entries)-1).Draw(t, "at")]
		s := wal.Snapshot{Index: e.Index, Term: e.Term, Data: fmt.Appendf(nil, "data %d", e.Index)}
		m.applySnapshot(s, true)
		return func(l *wal.Log) error { return l.SaveSnapshot(&s, true) }
	case 2:
		// A snapshot of another replica whose last entry is not in this log.
		index := m.snapshot.Index + uint64(rapid.IntRange(1, len(m.entries)+3).Draw(t, "ahead"))
		s := wal.Snapshot{Index: index, Term: 10 + term, Data: []byte("theirs")}
		m.applySnapshot(s, false)
		return func(l *wal.Log) error { return l.SaveSnapshot(&s, false) }
	default:
		index := m.lastIndex() + 1 - uint64(rapid.IntRange(0, min(3, len(m.entries))).Draw(t, "back"))
		added := m.appendFrom(index, rapid.IntRange(1, 4).Draw(t, "count"), term)
		return func(l *wal.Log) error { return l.Append(nil, added) }
	}
}

// Guards against a log that loses, invents or reorders content when the machine crashes or
// the process is killed at any step of a write, including the writes of recovery.
func TestCrashAtEveryStep(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fs := faultfs.New(rapid.Uint64().Draw(t, "seed"))
		fs.CrashAt(rapid.IntRange(1, 40).Draw(t, "first crash"))
		var m model
		before := m
		owner := uint64(0)
		for range rapid.IntRange(1, 6).Draw(t, "runs") {
			log, r, err := wal.Open(folder, testOptions(fs))
			if err == nil {
				if owner != 0 && m.lastIndex() > 0 {
					assert.Equal(t, r.Owner, owner, "identity changed over a crash")
				}
				owner = r.Owner
				switch {
				case m.equal(r):
				case before.equal(r):
					m = before
				default:
					t.Fatalf("recovered %+v, want %+v or %+v", r, before, m)
				}
				before = m.clone()
				err = runUntilInterrupted(t, log, &m, &before)
			}
			assert.Assert(t, errors.Is(err, faultfs.ErrCrashed) || errors.Is(err, errKilled), "%v", err)
			if errors.Is(err, errKilled) {
				fs.Kill()
			} else {
				fs.Restart()
			}
			fs.CrashAt(rapid.IntRange(1, 60).Draw(t, "next crash"))
		}
	})
}

var errKilled = errors.New("process killed")

// runUntilInterrupted changes the log until the machine crashes or the process is killed.
// before is the model without the change that the crash interrupted.
func runUntilInterrupted(t *rapid.T, log *wal.Log, m, before *model) error {
	for {
		*before = m.clone()
		if rapid.IntRange(0, 9).Draw(t, "kill") == 0 {
			return errKilled
		}
		change := drawChange(t, m)
		if err := change(log); err != nil {
			assert.Assert(t, log.Err() != nil, "a failed log accepts changes")
			return err
		}
	}
}

// fillLog appends a state and n entries, each in a batch of its own, and closes the log.
func fillLog(t *testing.T, fs wal.FS, n int) *model {
	t.Helper()
	log, _, err := wal.Open(folder, wal.Options{FS: fs})
	assert.NilError(t, err)
	m := &model{state: "state"}
	assert.NilError(t, log.Append([]byte(m.state), nil))
	for range n {
		assert.NilError(t, log.Append(nil, m.appendFrom(m.lastIndex()+1, 1, 1)))
	}
	assert.NilError(t, log.Close())
	return m
}

const firstSegment = folder + "/0000000000000001.log"

// Guards against a damaged byte that is not detected, or that makes recovery truncate synced
// data in the middle of the log. Damage to the last frame looks like a torn write and is truncated.
func TestDamagedByte(t *testing.T) {
	fs := faultfs.New(1)
	fillLog(t, fs, 10)
	data, err := fs.ReadFile(firstSegment)
	assert.NilError(t, err)
	last := bytes.LastIndex(data, []byte("FRM")) - 1
	for offset := range data {
		fs := faultfs.New(1)
		m := fillLog(t, fs, 10)
		fs.Damage(firstSegment, offset)
		log, r, err := wal.Open(folder, wal.Options{FS: fs})
		if offset < last {
			var corrupt *wal.CorruptError
			assert.Assert(t, errors.As(err, &corrupt), "offset %d: %v", offset, err)
			assert.Equal(t, corrupt.File, firstSegment)
			assert.Assert(t, corrupt.Offset <= int64(offset))
			continue
		}
		assert.NilError(t, err)
		assert.Assert(t, r.TruncatedBytes > 0)
		m.entries = m.entries[:9]
		assert.Assert(t, m.equal(r))
		assert.NilError(t, log.Close())
	}
}

// Guards against a damaged snapshot that is restored or silently skipped.
func TestDamagedSnapshot(t *testing.T) {
	const name = folder + "/0000000000000002.snap"
	for offset, size := 0, 1; offset < size; offset++ {
		fs := faultfs.New(1)
		fillLog(t, fs, 3)
		log, _, err := wal.Open(folder, wal.Options{FS: fs})
		assert.NilError(t, err)
		assert.NilError(t, log.SaveSnapshot(&wal.Snapshot{Index: 2, Term: 1, Data: []byte("data")}, true))
		assert.NilError(t, log.Close())
		data, err := fs.ReadFile(name)
		assert.NilError(t, err)
		size = len(data)
		fs.Damage(name, offset)
		_, _, err = wal.Open(folder, wal.Options{FS: fs})
		var corrupt *wal.CorruptError
		assert.Assert(t, errors.As(err, &corrupt), "offset %d: %v", offset, err)
		assert.Equal(t, corrupt.File, name)
	}
}

// Guards against a log that opens although a segment or the snapshot is missing.
func TestMissingFile(t *testing.T) {
	for _, missing := range []string{"0000000000000002.log", "0000000000000002.snap"} {
		fs := faultfs.New(1)
		log, _, err := wal.Open(folder, testOptions(fs))
		assert.NilError(t, err)
		m := &model{}
		for range 30 {
			assert.NilError(t, log.Append(nil, m.appendFrom(m.lastIndex()+1, 2, 1)))
			if m.lastIndex() == 2 {
				assert.NilError(t, log.SaveSnapshot(&wal.Snapshot{Index: 2, Term: 1, Data: []byte("x")}, true))
			}
		}
		assert.NilError(t, log.Close())
		assert.NilError(t, fs.Remove(filepath.Join(folder, missing)))
		_, _, err = wal.Open(folder, testOptions(fs))
		assert.ErrorContains(t, err, "missing", missing)
	}
}

// Guards against writes that are accepted after a failed sync, when it is unknown what the disk
// holds.
func TestFailedSyncStopsTheLog(t *testing.T) {
	fs := faultfs.New(1)
	m := fillLog(t, fs, 10)
	log, _, err := wal.Open(folder, wal.Options{FS: fs})
	assert.NilError(t, err)
	fs.FailSync(1)
	before := m.clone()
	err = log.Append(nil, m.appendFrom(m.lastIndex()+1, 1, 1))
	assert.ErrorIs(t, err, faultfs.ErrIO)
	assert.ErrorContains(t, err, "0000000000000001.log at offset")
	assert.ErrorIs(t, log.Append([]byte("later"), nil), faultfs.ErrIO)
	assert.ErrorIs(t, log.SaveSnapshot(&wal.Snapshot{Index: 1, Term: 1}, true), faultfs.ErrIO)
	assert.NilError(t, log.Close())
	log, r, err := wal.Open(folder, wal.Options{FS: fs})
	assert.NilError(t, err)
	assert.Assert(t, before.equal(r) || m.equal(r))
	assert.NilError(t, log.Close())
}

// Guards against a full disk that stops the log for good, or that leaves a part of a refused
// write in it.
func TestFullDiskRefusesWritesAndLeavesTheLogUsable(t *testing.T) {
	for capacity := 700; capacity < 3000; capacity += 7 {
		fs := faultfs.New(uint64(capacity))
		m := fillLog(t, fs, 10)
		log, _, err := wal.Open(folder, wal.Options{FS: fs, SegmentSize: 500})
		assert.NilError(t, err)
		fs.SetCapacity(capacity)
		var before model
		for err == nil {
			before = m.clone()
			err = log.Append(nil, m.appendFrom(m.lastIndex()+1, 1, 1))
		}
		assert.ErrorIs(t, err, wal.ErrNoSpace)
		assert.ErrorIs(t, err, faultfs.ErrFull)
		assert.ErrorIs(t, log.SaveSnapshot(&wal.Snapshot{Index: 1, Term: 1, Data: make([]byte, capacity)}, true), wal.ErrNoSpace)
		fs.SetCapacity(0)
		fs.Kill() // what a process leaves that ends on the full disk
		log, r, err := wal.Open(folder, wal.Options{FS: fs, SegmentSize: 500})
		assert.NilError(t, err)
		assert.Assert(t, before.equal(r))
		m = &before
		fs.SetCapacity(1)
		refused := m.clone()
		assert.ErrorIs(t, log.Append(nil, refused.appendFrom(m.lastIndex()+1, 1, 1)), wal.ErrNoSpace)
		fs.SetCapacity(0)
		assert.NilError(t, log.Append(nil, m.appendFrom(m.lastIndex()+1, 1, 1)))
		assert.NilError(t, log.Close())
		log, r, err = wal.Open(folder, wal.Options{FS: fs})
		assert.NilError(t, err)
		assert.Assert(t, m.equal(r))
		assert.NilError(t, log.Close())
	}
}

// Guards against a reserve that is smaller than the snapshot for which it keeps space.
func TestReserveGrowsWithTheSnapshot(t *testing.T) {
	fs := faultfs.New(1)
	options := wal.Options{FS: fs, ReserveBytes: 1000}
	m := fillLog(t, fs, 20)
	log, _, err := wal.Open(folder, options)
	assert.NilError(t, err)
	state := make([]byte, 5000)
	index := m.lastIndex() - 10
	assert.NilError(t, log.SaveSnapshot(&wal.Snapshot{Index: index, Term: 1, Data: state}, true))
	assert.Assert(t, !log.Full())
	fs.SetCapacity(fs.Used() + 500) // for the next segment
	assert.NilError(t, log.SaveSnapshot(&wal.Snapshot{Index: index + 1, Term: 1, Data: state}, true))
	assert.NilError(t, log.RestoreReserve())
	assert.NilError(t, log.Close())
}

// Guards against snapshots that stay on a full disk although they could not be adopted, and make
// every later start fail.
func TestUnadoptedSnapshotsLeaveNoTrace(t *testing.T) {
	for free := 0; free < 400; free += 3 {
		fs := faultfs.New(1)
		m := fillLog(t, fs, 10)
		log, _, err := wal.Open(folder, wal.Options{FS: fs})
		assert.NilError(t, err)
		fs.SetCapacity(fs.Used() + free)
		for i := range 3 {
			index := m.lastIndex() - 3 + uint64(i)
			err := log.SaveSnapshot(&wal.Snapshot{Index: index, Term: 1, Data: make([]byte, 100)}, true)
			assert.Assert(t, err == nil || errors.Is(err, wal.ErrNoSpace), "%v", err)
		}
		assert.NilError(t, log.Close())
		for range 2 {
			log, _, err = wal.Open(folder, wal.Options{FS: fs})
			assert.NilError(t, err, "%d bytes free", free)
			assert.NilError(t, log.Close())
		}
	}
}

// Guards against a disk that fills up and leaves no space for the snapshot that would free it,
// also after a restart on the full disk.
func TestReserveMakesSpaceForASnapshot(t *testing.T) {
	for _, restart := range []bool{false, true} {
		fs := faultfs.New(1)
		options := wal.Options{FS: fs, SegmentSize: 500, ReserveBytes: 1000}
		m := fillLog(t, fs, 10)
		log, _, err := wal.Open(folder, options)
		assert.NilError(t, err)
		assert.Assert(t, !log.Full())
		fs.SetCapacity(fs.Used() + 2000)
		for !log.Full() {
			assert.NilError(t, log.Append(nil, m.appendFrom(m.lastIndex()+1, 1, 1)))
		}
		assert.ErrorIs(t, log.RestoreReserve(), wal.ErrNoSpace)
		if restart {
			assert.NilError(t, log.Close())
			log, _, err = wal.Open(folder, options)
			assert.NilError(t, err)
			assert.Assert(t, log.Full())
		}
		s := &wal.Snapshot{Index: m.lastIndex(), Term: 1, Data: []byte("state")}
		assert.NilError(t, log.SaveSnapshot(s, true))
		assert.NilError(t, log.RestoreReserve())
		assert.Assert(t, !log.Full())
		assert.NilError(t, log.Close())
	}
}

// Guards against two processes that write to the same data folder, on the operating system's
// file system.
func TestDataFolderIsLocked(t *testing.T) {
	dir := t.TempDir()
	log, r, err := wal.Open(dir, wal.Options{})
	assert.NilError(t, err)
	assert.Assert(t, r.New)
	_, _, err = wal.Open(dir, wal.Options{})
	assert.ErrorIs(t, err, wal.ErrLocked)
	assert.NilError(t, log.Append([]byte("state"), []wal.Entry{{Index: 1, Term: 1, Data: []byte("x")}}))
	assert.NilError(t, log.SaveSnapshot(&wal.Snapshot{Index: 1, Term: 1, Data: []byte("s")}, true))
	assert.NilError(t, log.Close())
	log, again, err := wal.Open(dir, wal.Options{})
	assert.NilError(t, err)
	assert.Equal(t, again.Owner, r.Owner)
	assert.Equal(t, string(again.State), "state")
	assert.Equal(t, again.Snapshot.Index, uint64(1))
	assert.NilError(t, log.Close())
}

// Guards against segments that are not removed after a snapshot replaced them.
func TestSegmentsAreReleased(t *testing.T) {
	fs := faultfs.New(1)
	log, _, err := wal.Open(folder, testOptions(fs))
	assert.NilError(t, err)
	m := &model{}
	for range 200 {
		assert.NilError(t, log.Append(nil, m.appendFrom(m.lastIndex()+1, 1, 1)))
	}
	before, _ := fs.List(folder)
	assert.NilError(t, log.SaveSnapshot(&wal.Snapshot{Index: 200, Term: 1, Data: []byte("x")}, true))
	after, _ := fs.List(folder)
	assert.Assert(t, len(before) > 20 && len(after) == 2, "%d files before, %d after", len(before), len(after))
}

// Guards against a size of the log that differs from that of its files: the bound of the disk
// would come unseen.
func TestDiskBytesAreThoseOfTheFiles(t *testing.T) {
	folder := t.TempDir()
	options := wal.Options{SegmentSize: 1000}
	log, _, err := wal.Open(folder, options)
	assert.NilError(t, err)
	check := func() {
		t.Helper()
		var files int64
		for _, pattern := range []string{"*.log", "*.snap"} {
			names, err := filepath.Glob(filepath.Join(folder, pattern))
			assert.NilError(t, err)
			for _, n := range names {
				info, err := os.Stat(n)
				assert.NilError(t, err)
				files += info.Size()
			}
		}
		// The encoding of the fields of a snapshot is not counted.
		assert.Assert(t, log.DiskBytes() <= files && files-log.DiskBytes() < 64, "counted %d, files %d", log.DiskBytes(), files)
	}
	m := &model{}
	for i := range uint64(60) {
		assert.NilError(t, log.Append([]byte("state"), m.appendFrom(m.lastIndex()+1, 3, 1)))
		if i == 20 || i == 40 {
			s := wal.Snapshot{Index: 2 * i, Term: 1, Data: make([]byte, 5000)}
			assert.NilError(t, log.SaveSnapshot(&s, true))
		}
		check()
	}
	assert.NilError(t, log.Close())
	log, _, err = wal.Open(folder, options)
	assert.NilError(t, err)
	check()
	assert.NilError(t, log.Close())
}
