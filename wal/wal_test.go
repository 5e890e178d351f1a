package wal_test

import (
	"bytes"
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"toucantiller.dev/wal"
	"toucantiller.dev/wal/faultfs"
)

const folder = "/data"

// model is the naive version of a log: what a reader must find.
type model struct {
	state    string
	snapshot wal.Snapshot
	entries  []wal.Entry
}

func (m model) clone() model {
	m.entries = slices.Clone(m.entries)
	return m
}

func (m *model) last() uint64 { return m.snapshot.Index + uint64(len(m.entries)) }

// appendFrom replaces the entries from index on by count new ones.
func (m *model) appendFrom(index uint64, count int, term uint64) []wal.Entry {
	var added []wal.Entry
	for i := range uint64(count) {
		added = append(added, wal.Entry{Index: index + i, Term: term, Data: fmt.Appendf(nil, "%d/%d", index+i, term)})
	}
	m.entries = append(m.entries[:index-m.snapshot.Index-1], added...)
	return added
}

// take replaces the log by a snapshot.
func (m *model) take(s wal.Snapshot, keep bool) {
	if keep {
		m.entries = m.entries[s.Index-m.snapshot.Index:]
	} else {
		m.entries = nil
	}
	m.snapshot = s
}

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

func options(fs wal.FS) wal.Options { return wal.Options{FS: fs, SegmentSize: 200} }

// step draws one change, applies it to the model and returns it for the log.
func step(t *rapid.T, m *model) func(*wal.Log) error {
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
		m.take(s, true)
		return func(l *wal.Log) error { return l.SaveSnapshot(&s, true) }
	case 2:
		// A snapshot of another replica that the log does not agree with.
		index := m.snapshot.Index + uint64(rapid.IntRange(1, len(m.entries)+3).Draw(t, "ahead"))
		s := wal.Snapshot{Index: index, Term: 10 + term, Data: []byte("theirs")}
		m.take(s, false)
		return func(l *wal.Log) error { return l.SaveSnapshot(&s, false) }
	default:
		index := m.last() + 1 - uint64(rapid.IntRange(0, min(3, len(m.entries))).Draw(t, "back"))
		added := m.appendFrom(index, rapid.IntRange(1, 4).Draw(t, "count"), term)
		return func(l *wal.Log) error { return l.Append(nil, added) }
	}
}

// Guards against a log that loses, invents or reorders anything over crashes at any step
// of a write, also of the writes of recovery itself.
func TestCrashAtEveryStep(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fs := faultfs.New(rapid.Uint64().Draw(t, "seed"))
		fs.CrashAt(rapid.IntRange(1, 40).Draw(t, "first crash"))
		var m model
		before := m
		owner := uint64(0)
		for range rapid.IntRange(1, 6).Draw(t, "runs") {
			log, r, err := wal.Open(folder, options(fs))
			if err == nil {
				if owner != 0 && m.last() > 0 {
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
				err = run(t, log, &m, &before)
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

// run changes the log until the machine crashes or the process is killed. before lags m by the change that the
// crash interrupted.
func run(t *rapid.T, log *wal.Log, m, before *model) error {
	for {
		*before = m.clone()
		if rapid.IntRange(0, 9).Draw(t, "kill") == 0 {
			return errKilled
		}
		change := step(t, m)
		if err := change(log); err != nil {
			assert.Assert(t, log.Err() != nil, "a failed log accepts changes")
			return err
		}
	}
}

// fill appends n entries of one batch each and closes the log.
func fill(t *testing.T, fs wal.FS, n int) *model {
	t.Helper()
	log, _, err := wal.Open(folder, wal.Options{FS: fs})
	assert.NilError(t, err)
	m := &model{state: "state"}
	assert.NilError(t, log.Append([]byte(m.state), nil))
	for range n {
		assert.NilError(t, log.Append(nil, m.appendFrom(m.last()+1, 1, 1)))
	}
	assert.NilError(t, log.Close())
	return m
}

const firstSegment = folder + "/0000000000000001.log"

// Guards against a damaged byte that goes unnoticed or that silently cuts synced data
// in the middle of the log.
func TestDamagedByte(t *testing.T) {
	fs := faultfs.New(1)
	fill(t, fs, 10)
	data, err := fs.ReadFile(firstSegment)
	assert.NilError(t, err)
	last := bytes.LastIndex(data, []byte("FRM")) - 1
	for offset := range data {
		fs := faultfs.New(1)
		m := fill(t, fs, 10)
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
		assert.Assert(t, r.Cut > 0)
		m.entries = m.entries[:9]
		assert.Assert(t, m.equal(r))
		assert.NilError(t, log.Close())
	}
}

// Guards against a damaged snapshot that is restored or skipped.
func TestDamagedSnapshot(t *testing.T) {
	const name = folder + "/0000000000000002.snap"
	for offset, size := 0, 1; offset < size; offset++ {
		fs := faultfs.New(1)
		fill(t, fs, 3)
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

// Guards against a replica that runs on without a part of its log.
func TestMissingFile(t *testing.T) {
	for _, missing := range []string{"0000000000000002.log", "0000000000000002.snap"} {
		fs := faultfs.New(1)
		log, _, err := wal.Open(folder, options(fs))
		assert.NilError(t, err)
		m := &model{}
		for range 30 {
			assert.NilError(t, log.Append(nil, m.appendFrom(m.last()+1, 2, 1)))
			if m.last() == 2 {
				assert.NilError(t, log.SaveSnapshot(&wal.Snapshot{Index: 2, Term: 1, Data: []byte("x")}, true))
			}
		}
		assert.NilError(t, log.Close())
		assert.NilError(t, fs.Remove(filepath.Join(folder, missing)))
		_, _, err = wal.Open(folder, options(fs))
		assert.ErrorContains(t, err, "missing", missing)
	}
}

// Guards against writes after a failed sync or on a full disk, when it is unknown what
// the disk holds.
func TestDiskFailureStopsTheLog(t *testing.T) {
	for name, c := range map[string]struct {
		fault func(*faultfs.FS)
		want  error
	}{
		"failed sync": {func(fs *faultfs.FS) { fs.FailSync(1) }, faultfs.ErrIO},
		"full disk":   {func(fs *faultfs.FS) { fs.SetCapacity(600) }, faultfs.ErrFull},
	} {
		t.Run(name, func(t *testing.T) {
			fs := faultfs.New(1)
			m := fill(t, fs, 10)
			log, _, err := wal.Open(folder, wal.Options{FS: fs})
			assert.NilError(t, err)
			c.fault(fs)
			before := m.clone()
			for err == nil {
				before = m.clone()
				err = log.Append(nil, m.appendFrom(m.last()+1, 1, 1))
			}
			assert.ErrorIs(t, err, c.want)
			assert.ErrorContains(t, err, "0000000000000001.log at offset")
			fs.SetCapacity(0)
			assert.ErrorIs(t, log.Append([]byte("later"), nil), c.want)
			assert.ErrorIs(t, log.SaveSnapshot(&wal.Snapshot{Index: 1, Term: 1}, true), c.want)
			assert.NilError(t, log.Close())
			log, r, err := wal.Open(folder, wal.Options{FS: fs})
			assert.NilError(t, err)
			assert.Assert(t, before.equal(r) || m.equal(r))
			assert.NilError(t, log.Close())
		})
	}
}

// Guards against two processes that write to one data folder, on the real file system.
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

// Guards against segments that stay after a snapshot replaced them.
func TestSegmentsAreReleased(t *testing.T) {
	fs := faultfs.New(1)
	log, _, err := wal.Open(folder, options(fs))
	assert.NilError(t, err)
	m := &model{}
	for range 200 {
		assert.NilError(t, log.Append(nil, m.appendFrom(m.last()+1, 1, 1)))
	}
	before, _ := fs.List(folder)
	assert.NilError(t, log.SaveSnapshot(&wal.Snapshot{Index: 200, Term: 1, Data: []byte("x")}, true))
	after, _ := fs.List(folder)
	assert.Assert(t, len(before) > 20 && len(after) == 2, "%d files before, %d after", len(before), len(after))
}
