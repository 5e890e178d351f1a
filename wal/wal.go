// Package wal is a segmented write-ahead log with checksums. A batch counts only
// once it is synced. The log survives a crash at any step of a write, refuses to open
// when synced data is damaged, and stops for good at the first failure of the disk.
package wal

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strings"
)

// DefaultSegmentSize is the size in bytes after which a new segment is begun.
const DefaultSegmentSize = 16 << 20

const (
	segmentSuffix   = ".log"
	snapshotSuffix  = ".snap"
	temporarySuffix = ".tmp"
	lockName        = "lock"
)

func segmentName(sequence uint64) string { return fmt.Sprintf("%016x%s", sequence, segmentSuffix) }

func snapshotName(index uint64) string { return fmt.Sprintf("%016x%s", index, snapshotSuffix) }

// ErrClosed is returned by calls after Close.
var ErrClosed = errors.New("log is closed")

// Options configure a log.
type Options struct {
	// FS is the operating system's file system by default.
	FS FS
	// SegmentSize is DefaultSegmentSize by default, in bytes.
	SegmentSize int64
	// NewOwner issues the identity of a new data folder; random by default. It never
	// returns 0.
	NewOwner func() uint64
}

// Recovered is what an opened log holds.
type Recovered struct {
	// Owner is the identity that was created with the data folder.
	Owner uint64
	// New is true if the folder was empty.
	New bool
	// State is the last state that was appended, nil if none was.
	State []byte
	// Snapshot is the last snapshot, nil if there is none.
	Snapshot *Snapshot
	// Entries follow the snapshot without a gap.
	Entries []Entry
	// Cut is the number of bytes of a torn tail that were removed.
	Cut int64
}

// stored is a segment that is no longer written to.
type stored struct {
	sequence uint64
	// lastIndex is the highest index of an entry in the segment.
	lastIndex uint64
}

// Log is an open log. It is used from one goroutine.
type Log struct {
	fs          FS
	folder      string
	lock        io.Closer
	segmentSize int64
	owner       uint64

	current   segment
	file      File
	offset    int64
	lastIndex uint64
	older     []stored
	state     []byte
	snapshot  uint64
	err       error
}

// Open locks the data folder, creates it if needed, recovers its content and cuts a
// torn tail. A *CorruptError names damage that a crash cannot explain.
func Open(folder string, o Options) (*Log, *Recovered, error) {
	if o.FS == nil {
		o.FS = OS{}
	}
	if o.SegmentSize <= 0 {
		o.SegmentSize = DefaultSegmentSize
	}
	if o.NewOwner == nil {
		o.NewOwner = randomOwner
	}
	if err := o.FS.MakeFolder(folder); err != nil {
		return nil, nil, fmt.Errorf("create data folder %s: %w", folder, err)
	}
	lock, err := o.FS.Lock(filepath.Join(folder, lockName))
	if err != nil {
		return nil, nil, fmt.Errorf("lock data folder %s: %w", folder, err)
	}
	l := &Log{fs: o.FS, folder: folder, lock: lock, segmentSize: o.SegmentSize}
	r, err := l.recover(o.NewOwner)
	if err != nil {
		return nil, nil, errors.Join(err, lock.Close())
	}
	l.owner = r.Owner
	return l, r, nil
}

func randomOwner() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error
	return binary.BigEndian.Uint64(b[:]) | 1
}

// Append makes a state (nil: unchanged) and entries durable in one sync. After an
// error other than ErrFrameTooLarge the log refuses everything, since it cannot tell
// what the disk holds.
func (l *Log) Append(state []byte, entries []Entry) error {
	if l.err != nil {
		return l.err
	}
	if l.offset >= l.segmentSize {
		if err := l.rotate(nil); err != nil {
			return l.fail(err)
		}
	}
	return l.write(&batch{State: state, Entries: entries})
}

// SaveSnapshot makes a snapshot durable, then releases the segments and snapshots it
// replaces. Entries after the snapshot's index are kept if keep is set, which requires
// that the log holds the entry at that index with the snapshot's term. Otherwise all
// entries are dropped.
func (l *Log) SaveSnapshot(s *Snapshot, keep bool) error {
	if l.err != nil {
		return l.err
	}
	if err := l.WriteSnapshot(s); err != nil {
		return l.fail(err)
	}
	return l.AdoptSnapshot(s, keep)
}

// WriteSnapshot makes a snapshot durable without using it. It may run at the same time as
// the other methods but Close, as long as no two snapshots have the same index. After an
// error the log must not be used further.
func (l *Log) WriteSnapshot(s *Snapshot) error {
	return writeSnapshot(l.fs, l.folder, l.owner, s)
}

// AdoptSnapshot does what SaveSnapshot does with a snapshot that WriteSnapshot made durable.
func (l *Log) AdoptSnapshot(s *Snapshot, keep bool) error {
	if l.err != nil {
		return l.err
	}
	if err := l.rotate(&mark{Index: s.Index, Keep: keep}); err != nil {
		return l.fail(err)
	}
	previous := l.snapshot
	l.snapshot = s.Index
	if err := l.release(previous); err != nil {
		return l.fail(err)
	}
	return nil
}

// Err returns the error that stopped the log, or nil.
func (l *Log) Err() error { return l.err }

// Close closes the files and releases the lock.
func (l *Log) Close() error {
	if errors.Is(l.err, ErrClosed) {
		return nil
	}
	l.err = ErrClosed
	return errors.Join(l.file.Close(), l.lock.Close())
}

func (l *Log) fail(err error) error {
	l.err = fmt.Errorf("write-ahead log stopped: %w", err)
	return l.err
}

// write appends one frame and syncs it.
func (l *Log) write(b *batch) error {
	frame, err := l.current.encodeFrame(l.offset, b)
	if errors.Is(err, ErrFrameTooLarge) {
		return err
	}
	if err != nil {
		return l.fail(err)
	}
	name := segmentName(l.current.sequence)
	if _, err := l.file.Write(frame); err != nil {
		return l.fail(fmt.Errorf("write %s at offset %d: %w", name, l.offset, err))
	}
	if err := l.file.Sync(); err != nil {
		return l.fail(fmt.Errorf("sync %s at offset %d: %w", name, l.offset, err))
	}
	l.offset += int64(len(frame))
	if b.State != nil {
		l.state = slices.Clone(b.State)
	}
	for _, e := range b.Entries {
		l.lastIndex = max(l.lastIndex, e.Index)
	}
	return nil
}

// rotate begins a new segment whose first frame repeats the state, so that older
// segments can be released.
func (l *Log) rotate(m *mark) error {
	old := stored{sequence: l.current.sequence, lastIndex: l.lastIndex}
	if err := l.file.Close(); err != nil {
		return fmt.Errorf("close %s: %w", segmentName(old.sequence), err)
	}
	if err := l.begin(segment{owner: l.current.owner, sequence: old.sequence + 1}); err != nil {
		return err
	}
	l.older = append(l.older, old)
	if l.state == nil && m == nil {
		return nil
	}
	return l.write(&batch{State: l.state, Mark: m})
}

// begin creates a segment file durably and makes it the current one.
func (l *Log) begin(s segment) error {
	name := filepath.Join(l.folder, segmentName(s.sequence))
	f, err := l.fs.Create(name)
	if err != nil {
		return fmt.Errorf("create %s: %w", name, err)
	}
	l.file, l.current, l.offset, l.lastIndex = f, s, headerSize, 0
	if _, err := f.Write(s.header()); err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	if err := f.Sync(); err != nil {
		return fmt.Errorf("sync %s: %w", name, err)
	}
	if err := l.fs.SyncFolder(l.folder); err != nil {
		return fmt.Errorf("sync folder %s: %w", l.folder, err)
	}
	return nil
}

// release removes the oldest segments that hold no entry after the snapshot, and the
// previous snapshot.
func (l *Log) release(previous uint64) error {
	for len(l.older) > 0 && l.older[0].lastIndex <= l.snapshot {
		name := filepath.Join(l.folder, segmentName(l.older[0].sequence))
		if err := l.fs.Remove(name); err != nil {
			return fmt.Errorf("remove %s: %w", name, err)
		}
		// Segments are removed durably one after the other, oldest first, so that a
		// crash leaves no gap.
		if err := l.fs.SyncFolder(l.folder); err != nil {
			return fmt.Errorf("sync folder %s: %w", l.folder, err)
		}
		l.older = l.older[1:]
	}
	if previous == 0 || previous == l.snapshot {
		return nil
	}
	name := filepath.Join(l.folder, snapshotName(previous))
	if err := l.fs.Remove(name); err != nil {
		return fmt.Errorf("remove %s: %w", name, err)
	}
	return nil
}

// named returns the numbers of the files with a suffix, in order.
func named(names []string, suffix string) ([]uint64, error) {
	var out []uint64
	for _, n := range names {
		base, ok := strings.CutSuffix(n, suffix)
		if !ok {
			continue
		}
		var v uint64
		if _, err := fmt.Sscanf(base, "%016x", &v); err != nil || n != fmt.Sprintf("%016x%s", v, suffix) {
			return nil, fmt.Errorf("file %q does not belong to the log", n)
		}
		out = append(out, v)
	}
	slices.Sort(out)
	return out, nil
}
