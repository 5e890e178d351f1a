package memory

import "sync/atomic"

// Bound counts bytes that are held, up to a limit. It is safe for concurrent use.
type Bound struct {
	held  atomic.Int64
	limit int64
}

// NewBound returns a bound of limit bytes.
func NewBound(limit int64) *Bound { return &Bound{limit: limit} }

// Hold counts n bytes. It returns false, and counts nothing, if there is no room for them. What is
// larger than the limit is held alone.
func (b *Bound) Hold(n int64) bool {
	for {
		held := b.held.Load()
		if held > 0 && held+n > b.limit {
			return n == 0
		}
		if b.held.CompareAndSwap(held, held+n) {
			return true
		}
	}
}

// Release gives back n bytes that are held.
func (b *Bound) Release(n int64) { b.held.Add(-n) }
