// Package wal is a segmented write-ahead log with checksums. A batch is durable once Append
// has synced it. The log survives a crash at any step of a write, refuses to open when synced
// data is damaged, and accepts no more writes after the first disk failure. A full disk is no
// failure: the write is undone and may be repeated.
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

// DefaultSegmentSize is the size in bytes after which a new segment is started.
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
	// FS holds the files; OS by default.
	FS FS
	// SegmentSize is the size in bytes after which a new segment is started;
	// DefaultSegmentSize by default.
	SegmentSize int64
	// ReserveBytes is the size of a file that the log keeps in the folder and gives up when the
	// disk is full, so that small writes and a snapshot still succeed then; 0 for none.
	ReserveBytes int64
	// NewOwner returns the identity for a new data folder; random by default. It must not
	// return 0.
	NewOwner func() uint64
}

// Recovered is the content of the log when it was opened.
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
	// Discarded is true if an earlier log in the folder was removed by Discard.
	Discarded bool
	// TruncatedBytes is the number of bytes of a torn tail that were truncated.
	TruncatedBytes int64
}

// closedSegment is a segment that is no longer written to.
type closedSegment struct {
	sequence uint64
	// lastIndex is the highest index of an entry in the segment.
	lastIndex uint64
	// size is in bytes.
	size int64
}

// Log is an open log. It is not safe for concurrent use, except for WriteSnapshot.
type Log struct {
	fs          FS
	folder      string
	lock        io.Closer
	segmentSize int64
	owner       uint64

	current        segment
	file           File
	offset         int64
	lastIndex      uint64
	closedSegments []closedSegment
	state          []byte
	snapshotIndex  uint64
	snapshotBytes  int64
	reserve        reserve
	err            error
}

// Open creates the data folder if needed, locks it, recovers its content and truncates a torn
// tail. It returns a *CorruptError for damage that a torn write cannot have caused.
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
	l := &Log{
		fs: o.FS, folder: folder, lock: lock, segmentSize: o.SegmentSize,
		reserve: reserve{fs: o.FS, folder: folder, size: o.ReserveBytes},
	}
	discarded, err := completeDiscard(o.FS, folder)
	if err != nil {
		return nil, nil, errors.Join(err, lock.Close())
	}
	r, err := l.openWithReserve(o.NewOwner)
	if err != nil {
		return nil, nil, errors.Join(err, lock.Close())
	}
	l.owner, r.Discarded = r.Owner, discarded
	return l, r, nil
}

// randomOwner returns a random identity; the lowest bit is set, so that it is never 0.
func randomOwner() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error
	return binary.BigEndian.Uint64(b[:]) | 1
}

// Append makes a state (nil: unchanged) and entries durable in one sync. It fails with ErrNoSpace
// if the disk is full and the reserve is given up; the log is then unchanged and accepts further
// writes. After an error other than that and ErrFrameTooLarge all later writes fail, since it is
// unknown what the disk holds.
func (l *Log) Append(state []byte, entries []Entry) error {
	if l.err != nil {
		return l.err
	}
	return l.useReserve(func() error {
		if l.offset >= l.segmentSize {
			if err := l.rotate(nil); err != nil {
				return err
			}
		}
		return l.writeBatch(&batch{State: state, Entries: entries})
	})
}

// SaveSnapshot makes a snapshot durable, then removes the segments and snapshots that it
// replaces. Entries after the snapshot's index are kept if keep is set, which requires that
// the log holds the entry at that index with the snapshot's term. Otherwise all entries are
// dropped.
func (l *Log) SaveSnapshot(s *Snapshot, keep bool) error {
	if l.err != nil {
		return l.err
	}
	if err := l.useReserve(func() error { return l.WriteSnapshot(s) }); err != nil {
		return err
	}
	return l.AdoptSnapshot(s, keep)
}

// WriteSnapshot makes a snapshot durable and leaves the log unchanged until AdoptSnapshot. It
// may run concurrently with the other methods except Close, as long as no two snapshots have
// the same index. It fails with ErrNoSpace if the disk is full, and then leaves no file. After any
// other error the log must not be used further.
func (l *Log) WriteSnapshot(s *Snapshot) error {
	return writeSnapshot(l.fs, l.folder, l.owner, s)
}

// AdoptSnapshot replaces entries by a snapshot that WriteSnapshot made durable, and removes
// obsolete files, as SaveSnapshot does.
func (l *Log) AdoptSnapshot(s *Snapshot, keep bool) error {
	if l.err != nil {
		return l.err
	}
	if err := l.useReserve(func() error { return l.rotate(&mark{Index: s.Index, Keep: keep}) }); err != nil {
		return l.discardSnapshot(s.Index, err)
	}
	previous := l.snapshotIndex
	l.snapshotIndex, l.snapshotBytes = s.Index, s.size()
	if err := l.removeObsoleteFiles(previous); err != nil {
		return l.fail(err)
	}
	if err := l.reserve.grow(l.snapshotBytes); err != nil {
		return l.fail(err)
	}
	return nil
}

// DiskBytes returns the size of the segments and of the adopted snapshot in bytes. A few bytes of the
// snapshot's encoding, and a snapshot that is being written, are not in it.
func (l *Log) DiskBytes() int64 {
	n := l.offset + l.snapshotBytes
	for _, s := range l.closedSegments {
		n += s.size
	}
	return n
}

// discardSnapshot removes a snapshot that could not be adopted for want of space, which it would take
// from the next one. It returns cause, or why the snapshot could not be removed.
func (l *Log) discardSnapshot(index uint64, cause error) error {
	if !errors.Is(cause, ErrNoSpace) || index == l.snapshotIndex {
		return cause
	}
	name := filepath.Join(l.folder, snapshotName(index))
	if err := l.fs.Remove(name); err != nil {
		return l.fail(fmt.Errorf("remove %s: %w", name, err))
	}
	return cause
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

// fail stops the log: all later writes return err.
func (l *Log) fail(err error) error {
	l.err = fmt.Errorf("write-ahead log stopped: %w", err)
	return l.err
}

// writeBatch appends one frame and syncs it. A write for which the disk has no space is undone.
func (l *Log) writeBatch(b *batch) error {
	frame, err := l.current.encodeFrame(l.offset, b)
	if err != nil {
		return err
	}
	name := segmentName(l.current.sequence)
	if _, err := l.file.Write(frame); err != nil {
		err = fmt.Errorf("write %s at offset %d: %w", name, l.offset, err)
		if !isNoSpace(err) {
			return err
		}
		if undo := l.truncateSegment(); undo != nil {
			return fmt.Errorf("%w; it cannot be undone: %w", err, undo)
		}
		return noSpace(err)
	}
	if err := l.file.Sync(); err != nil {
		return fmt.Errorf("sync %s at offset %d: %w", name, l.offset, err)
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

// truncateSegment removes what follows the last complete frame of the current segment.
func (l *Log) truncateSegment() error {
	name := segmentName(l.current.sequence)
	if err := l.file.Close(); err != nil {
		return fmt.Errorf("close %s: %w", name, err)
	}
	f, err := l.fs.OpenAt(filepath.Join(l.folder, name), l.offset)
	if err != nil {
		return fmt.Errorf("truncate %s: %w", name, err)
	}
	l.file = f
	if err := f.Sync(); err != nil {
		return fmt.Errorf("sync %s after truncation: %w", name, err)
	}
	return nil
}

// position is the place at which the log is written.
type position struct {
	segment   segment
	file      File
	offset    int64
	lastIndex uint64
}

// rotate starts a new segment. Its first frame repeats the state, so that older segments can
// be removed, and records m if it is set. Without space for it the log stays at the old segment.
func (l *Log) rotate(m *mark) error {
	old := position{segment: l.current, file: l.file, offset: l.offset, lastIndex: l.lastIndex}
	err := l.startSegment(segment{owner: old.segment.owner, sequence: old.segment.sequence + 1})
	if err == nil && (l.state != nil || m != nil) {
		err = l.writeBatch(&batch{State: l.state, Mark: m})
	}
	if err != nil {
		return l.returnTo(old, err)
	}
	if err := old.file.Close(); err != nil {
		return fmt.Errorf("close %s: %w", segmentName(old.segment.sequence), err)
	}
	l.closedSegments = append(l.closedSegments, closedSegment{
		sequence: old.segment.sequence, lastIndex: old.lastIndex, size: old.offset,
	})
	return nil
}

// returnTo removes a segment that could not be started and continues the old one, if cause is
// ErrNoSpace. It returns cause, or why the segment could not be removed.
func (l *Log) returnTo(old position, cause error) error {
	if !errors.Is(cause, ErrNoSpace) {
		return cause
	}
	name := segmentName(old.segment.sequence + 1)
	if l.file != old.file {
		if err := l.file.Close(); err != nil {
			return fmt.Errorf("close %s: %w", name, err)
		}
	}
	l.current, l.file, l.offset, l.lastIndex = old.segment, old.file, old.offset, old.lastIndex
	if err := l.fs.Remove(filepath.Join(l.folder, name)); err != nil {
		return fmt.Errorf("remove %s: %w", name, err)
	}
	if err := l.fs.SyncFolder(l.folder); err != nil {
		return fmt.Errorf("sync folder %s: %w", l.folder, err)
	}
	return cause
}

// startSegment creates a segment file, makes it durable and uses it as the current one.
func (l *Log) startSegment(s segment) error {
	name := filepath.Join(l.folder, segmentName(s.sequence))
	f, err := l.fs.Create(name)
	if err != nil {
		return noSpace(fmt.Errorf("create %s: %w", name, err))
	}
	l.file, l.current, l.offset, l.lastIndex = f, s, headerSize, 0
	if _, err := f.Write(s.header()); err != nil {
		return noSpace(fmt.Errorf("write %s: %w", name, err))
	}
	if err := f.Sync(); err != nil {
		return fmt.Errorf("sync %s: %w", name, err)
	}
	if err := l.fs.SyncFolder(l.folder); err != nil {
		return fmt.Errorf("sync folder %s: %w", l.folder, err)
	}
	return nil
}

// removeObsoleteFiles removes the oldest segments that hold no entry after the snapshot, and
// the snapshot with the index previous (0: none).
func (l *Log) removeObsoleteFiles(previous uint64) error {
	for len(l.closedSegments) > 0 && l.closedSegments[0].lastIndex <= l.snapshotIndex {
		name := filepath.Join(l.folder, segmentName(l.closedSegments[0].sequence))
		if err := l.fs.Remove(name); err != nil {
			return fmt.Errorf("remove %s: %w", name, err)
		}
		// The folder is synced after each removal, oldest segment first, so that a crash
		// leaves no gap in the sequence.
		if err := l.fs.SyncFolder(l.folder); err != nil {
			return fmt.Errorf("sync folder %s: %w", l.folder, err)
		}
		l.closedSegments = l.closedSegments[1:]
	}
	if previous == 0 || previous == l.snapshotIndex {
		return nil
	}
	name := filepath.Join(l.folder, snapshotName(previous))
	if err := l.fs.Remove(name); err != nil {
		return fmt.Errorf("remove %s: %w", name, err)
	}
	return nil
}

// parseFileNumbers returns the numbers in the names of the files with a suffix, in ascending
// order.
func parseFileNumbers(names []string, suffix string) ([]uint64, error) {
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
