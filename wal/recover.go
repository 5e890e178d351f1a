package wal

import (
	"errors"
	"fmt"
	"path/filepath"
	"strings"
)

// replay rebuilds the state and the entries by applying the batches of the segments in order.
type replay struct {
	state   []byte
	entries []Entry
	// lastMark is the snapshot index of the last mark, 0 if there was none.
	lastMark uint64
}

func (r *replay) applyBatch(b *batch) error {
	if b.State != nil {
		r.state = b.State
	}
	if b.Mark != nil {
		r.applyMark(b.Mark.Index, b.Mark.Keep)
	}
	for _, e := range b.Entries {
		if err := r.applyEntry(e); err != nil {
			return err
		}
	}
	return nil
}

// applyEntry appends an entry and drops the entries at its index and after it.
func (r *replay) applyEntry(e Entry) error {
	if e.Index == 0 {
		return errors.New("entry with index 0")
	}
	if len(r.entries) == 0 {
		r.entries = append(r.entries, e)
		return nil
	}
	first, next := r.entries[0].Index, r.entries[len(r.entries)-1].Index+1
	if e.Index > next {
		return fmt.Errorf("entry %d follows entry %d", e.Index, next-1)
	}
	keep := uint64(0)
	if e.Index > first {
		keep = e.Index - first
	}
	r.entries = append(r.entries[:keep], e)
	return nil
}

// applyMark drops the entries up to the snapshot's index, or all entries unless keep is set.
func (r *replay) applyMark(index uint64, keep bool) {
	r.lastMark = index
	if !keep {
		r.entries = nil
		return
	}
	for len(r.entries) > 0 && r.entries[0].Index <= index {
		r.entries = r.entries[1:]
	}
}

// containsLastEntry reports whether the log holds the snapshot's last entry, with the same
// index and term.
func (r *replay) containsLastEntry(s *Snapshot) bool {
	for _, e := range r.entries {
		if e.Index == s.Index {
			return e.Term == s.Term
		}
	}
	return false
}

// recover removes temporary files and then either starts an empty log or loads the existing
// one.
func (l *Log) recover(newOwner func() uint64) (*Recovered, error) {
	names, err := l.fs.List(l.folder)
	if err != nil {
		return nil, fmt.Errorf("list data folder %s: %w", l.folder, err)
	}
	if err := l.removeTemporaryFiles(names); err != nil {
		return nil, err
	}
	segments, err := parseFileNumbers(names, segmentSuffix)
	if err != nil {
		return nil, err
	}
	snapshots, err := parseFileNumbers(names, snapshotSuffix)
	if err != nil {
		return nil, err
	}
	if len(snapshots) == 0 && len(segments) <= 1 {
		if done, r, err := l.createNew(segments, newOwner); done || err != nil {
			return r, err
		}
	}
	return l.loadExisting(segments, snapshots)
}

func (l *Log) removeTemporaryFiles(names []string) error {
	for _, n := range names {
		if strings.HasSuffix(n, temporarySuffix) {
			if err := l.fs.Remove(filepath.Join(l.folder, n)); err != nil {
				return fmt.Errorf("remove %s: %w", n, err)
			}
		}
	}
	return nil
}

// createNew starts the first segment of an empty folder and returns false if the folder
// holds a log already. A first segment without a complete header is left over from a crash
// during creation, before its identity was used, and is replaced.
func (l *Log) createNew(segments []uint64, newOwner func() uint64) (bool, *Recovered, error) {
	if len(segments) == 1 {
		data, err := l.fs.ReadFile(filepath.Join(l.folder, segmentName(segments[0])))
		if err != nil {
			return false, nil, fmt.Errorf("read %s: %w", segmentName(segments[0]), err)
		}
		if segments[0] != 1 || len(data) > headerSize {
			return false, nil, nil
		}
		if _, ok := parseHeader(data); ok {
			return false, nil, nil
		}
	}
	owner := newOwner()
	if err := l.startSegment(segment{owner: owner, sequence: 1}); err != nil {
		return false, nil, err
	}
	return true, &Recovered{Owner: owner, New: true}, nil
}

// loadExisting restores the latest snapshot and replays all segments, then removes older
// snapshots.
func (l *Log) loadExisting(segments, snapshots []uint64) (*Recovered, error) {
	r := &Recovered{}
	if len(segments) == 0 {
		return nil, fmt.Errorf("data folder %s has a snapshot and no segment", l.folder)
	}
	if n := len(snapshots); n > 0 {
		if err := l.loadSnapshot(r, snapshots[n-1]); err != nil {
			return nil, err
		}
	}
	var content replay
	for i, sequence := range segments {
		if i > 0 && sequence != segments[i-1]+1 {
			return nil, fmt.Errorf("segment %s is missing in %s", segmentName(segments[i-1]+1), l.folder)
		}
		if err := l.loadSegment(r, &content, sequence, i == len(segments)-1); err != nil {
			return nil, err
		}
	}
	l.state = content.state
	if err := l.completeRecovery(r.Snapshot, &content); err != nil {
		return nil, err
	}
	if err := checkFirstIndex(r.Snapshot, content.entries); err != nil {
		return nil, fmt.Errorf("data folder %s: %w", l.folder, err)
	}
	r.State, r.Entries = content.state, content.entries
	for _, old := range snapshots[:max(0, len(snapshots)-1)] {
		if err := l.fs.Remove(filepath.Join(l.folder, snapshotName(old))); err != nil {
			return nil, fmt.Errorf("remove %s: %w", snapshotName(old), err)
		}
	}
	return r, nil
}

// completeRecovery syncs what a previous process wrote without syncing. If that process ended
// after it saved a snapshot and before it wrote the snapshot's mark, the mark is written here.
func (l *Log) completeRecovery(s *Snapshot, content *replay) error {
	if err := l.file.Sync(); err != nil {
		return fmt.Errorf("sync %s: %w", segmentName(l.current.sequence), err)
	}
	if err := l.fs.SyncFolder(l.folder); err != nil {
		return fmt.Errorf("sync folder %s: %w", l.folder, err)
	}
	if s == nil || content.lastMark == s.Index {
		return nil
	}
	if len(content.entries) > 0 && content.entries[0].Index > s.Index {
		// Segments are removed only after the mark is durable, so without a mark the log
		// still starts at or before the snapshot.
		return fmt.Errorf("the log starts at entry %d and does not mention snapshot %d: a segment is missing",
			content.entries[0].Index, s.Index)
	}
	m := &mark{Index: s.Index, Keep: content.containsLastEntry(s)}
	err := l.rotate(m)
	if errors.Is(err, ErrNoSpace) && m.Keep && !l.reserve.held {
		// The log goes on from the snapshot's last entry with or without the mark, which the next
		// start writes. Until then the older segments are needed.
		content.applyMark(m.Index, m.Keep)
		return nil
	}
	if err != nil {
		return err
	}
	content.applyMark(m.Index, m.Keep)
	return l.removeObsoleteFiles(0)
}

// checkFirstIndex returns an error if the first entry does not directly follow the snapshot,
// or is not entry 1 when there is no snapshot.
func checkFirstIndex(s *Snapshot, entries []Entry) error {
	if len(entries) == 0 {
		return nil
	}
	want := uint64(1)
	if s != nil {
		want = s.Index + 1
	}
	if entries[0].Index != want {
		return fmt.Errorf("the log starts at entry %d instead of %d: a snapshot or segment is missing", entries[0].Index, want)
	}
	return nil
}

// loadSnapshot reads the snapshot file of an index into r.
func (l *Log) loadSnapshot(r *Recovered, index uint64) error {
	name := filepath.Join(l.folder, snapshotName(index))
	data, err := l.fs.ReadFile(name)
	if err != nil {
		return fmt.Errorf("read %s: %w", name, err)
	}
	owner, s, err := decodeSnapshot(name, data)
	if err != nil {
		return err
	}
	if s.Index != index {
		return &CorruptError{name, snapshotHeaderSize, fmt.Sprintf("snapshot holds index %d", s.Index)}
	}
	r.Owner, r.Snapshot, l.snapshotIndex, l.snapshotBytes = owner, s, index, s.size()
	return nil
}

// loadSegment replays one segment. The last one becomes the current segment, with a torn
// tail truncated.
func (l *Log) loadSegment(r *Recovered, content *replay, sequence uint64, last bool) error {
	name := filepath.Join(l.folder, segmentName(sequence))
	data, err := l.fs.ReadFile(name)
	if err != nil {
		return fmt.Errorf("read %s: %w", name, err)
	}
	s, ok := parseHeader(data)
	if !ok && last && len(data) <= headerSize && r.Owner != 0 {
		// A crash interrupted the creation of this segment.
		return l.startSegment(segment{owner: r.Owner, sequence: sequence})
	}
	if !ok || s.sequence != sequence {
		return &CorruptError{name, 0, "segment header is damaged"}
	}
	if r.Owner != 0 && r.Owner != s.owner {
		return &CorruptError{name, 8, "the segment belongs to another replica"}
	}
	r.Owner = s.owner
	var lastIndex uint64
	end, err := s.scan(name, data, last, func(b *batch) error {
		for _, e := range b.Entries {
			lastIndex = max(lastIndex, e.Index)
		}
		return content.applyBatch(b)
	})
	if err != nil {
		return err
	}
	if !last {
		l.closedSegments = append(l.closedSegments, closedSegment{sequence: sequence, lastIndex: lastIndex, size: int64(len(data))})
		return nil
	}
	r.TruncatedBytes = int64(len(data)) - end
	l.current, l.offset, l.lastIndex = s, end, lastIndex
	if l.file, err = l.fs.OpenAt(name, end); err != nil {
		return fmt.Errorf("open %s: %w", name, err)
	}
	return nil
}
