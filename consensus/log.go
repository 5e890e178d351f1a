package consensus

import "slices"

// entryOverhead is counted for each entry in addition to its data, in bytes: its place in the
// log and its encoding around the data.
const entryOverhead = 64

// entryLog is the in-memory part of the log: the entries after base, which is the index
// of the last compacted entry.
type entryLog struct {
	base     uint64
	baseTerm uint64
	entries  []Entry
	// ends holds, for each entry, the bytes of the log up to its end. Only differences count:
	// start is the value at base.
	ends  []uint64
	start uint64
	// stable is the last index that is persisted.
	stable uint64
}

func (l *entryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

// term returns the term of an entry, or false if the log does not hold it.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.last():
		return 0, false
	default:
		return l.entries[index-l.base-1].Term, true
	}
}

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// matches reports whether the log holds the entry.
func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// entriesFrom returns a copy of the entries from index on: as many as fit in maxBytes of
// data, but at least one, or nil if index is after the last entry.
func (l *entryLog) entriesFrom(index uint64, maxBytes int) []Entry {
	if index > l.last() {
		return nil
	}
	rest := l.entries[index-l.base-1:]
	size := 0
	for i := range rest {
		size += len(rest[i].Data)
		if i > 0 && size > maxBytes {
			rest = rest[:i]
			break
		}
	}
	return append([]Entry(nil), rest...)
}

// entriesBetween returns a copy of the entries low+1 to high.
func (l *entryLog) entriesBetween(low, high uint64) []Entry {
	if low >= high {
		return nil
	}
	return append([]Entry(nil), l.entries[low-l.base:high-l.base]...)
}

// end returns the bytes of the log up to the end of the entry at index; an index before the
// log counts as base.
func (l *entryLog) end(index uint64) uint64 {
	if index <= l.base {
		return l.start
	}
	return l.ends[index-l.base-1]
}

// bytesBetween returns the size in bytes of the entries low+1 to high that the log holds.
func (l *entryLog) bytesBetween(low, high uint64) uint64 { return l.end(high) - l.end(low) }

// truncate removes the entry at index and all later ones.
func (l *entryLog) truncate(index uint64) {
	keep := index - l.base - 1
	l.entries = l.entries[:keep:keep]
	l.ends = l.ends[:keep:keep]
	l.stable = min(l.stable, index-1)
}

func (l *entryLog) append(entries ...Entry) {
	end := l.end(l.last())
	l.entries = append(l.entries, entries...)
	for i := range entries {
		end += entryOverhead + uint64(len(entries[i].Data))
		l.ends = append(l.ends, end)
	}
}

// compact removes the entries up to and including index.
func (l *entryLog) compact(index uint64) {
	if index <= l.base {
		return
	}
	term, _ := l.term(index)
	start := l.end(index)
	l.entries = slices.Clone(l.entries[index-l.base:])
	l.ends = slices.Clone(l.ends[index-l.base:])
	l.base, l.baseTerm, l.start = index, term, start
}

// compactBefore removes entries up to and including index, except for the last ones before it
// that number at most trailing and hold at most trailingBytes.
func (l *entryLog) compactBefore(index, trailing, trailingBytes uint64) {
	low := l.base
	if index > trailing {
		low = max(low, index-trailing)
	}
	for low < index && l.bytesBetween(low, index) > trailingBytes {
		low++
	}
	l.compact(low)
}

// reset empties the log and starts it after a snapshot at index.
func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{base: index, baseTerm: term, stable: index}
}

// lastWithTermAtMost returns the index and term of the last entry at or before index whose
// term is at most term. Entries of higher terms in between cannot match the other log, so
// that one exchange skips all entries of a term. It returns base-1 if only compacted
// entries qualify.
func (l *entryLog) lastWithTermAtMost(index, term uint64) (uint64, uint64) {
	for i := min(index, l.last()); i >= l.base && i > 0; i-- {
		if t, ok := l.term(i); ok && t <= term {
			return i, t
		}
	}
	return max(l.base, 1) - 1, 0
}
