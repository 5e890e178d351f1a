package link

import (
	"os"
	"sync"
	"time"
)

// memoryBuffer is one direction of an in-memory connection: unbounded bytes with a
// read deadline.
type memoryBuffer struct {
	mu       sync.Mutex
	cond     *sync.Cond
	data     []byte
	err      error
	deadline time.Time
	timer    *time.Timer
}

func newMemoryBuffer() *memoryBuffer {
	b := &memoryBuffer{}
	b.cond = sync.NewCond(&b.mu)
	return b
}

// Read blocks until bytes are available, the buffer is closed or the deadline passes. Bytes
// written before the close are still read.
func (b *memoryBuffer) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		if !b.deadline.IsZero() && !time.Now().Before(b.deadline) {
			return 0, os.ErrDeadlineExceeded
		}
		if len(b.data) > 0 {
			n := copy(p, b.data)
			b.data = b.data[n:]
			return n, nil
		}
		if b.err != nil {
			return 0, b.err
		}
		b.cond.Wait()
	}
}

// Write appends p without blocking. It fails once the buffer is closed.
func (b *memoryBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return 0, os.ErrClosed
	}
	b.data = append(b.data, p...)
	b.cond.Broadcast()
	return len(p), nil
}

// close makes reads of an empty buffer return err. Only the first close has an effect.
func (b *memoryBuffer) close(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil {
		b.err = err
	}
	b.cond.Broadcast()
}

func (b *memoryBuffer) setDeadline(t time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.deadline = t
	if b.timer != nil {
		b.timer.Stop()
		b.timer = nil
	}
	if !t.IsZero() {
		b.timer = time.AfterFunc(time.Until(t), b.notifyReaders)
	}
	b.cond.Broadcast()
}

// notifyReaders makes blocked reads check the deadline.
func (b *memoryBuffer) notifyReaders() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cond.Broadcast()
}
