package program

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// logQueueLength is the number of lines buffered for a slow reader of the log.
	logQueueLength = 4096
	// logFlushTimeout bounds how long a stopping process waits for its last lines.
	logFlushTimeout = 500 * time.Millisecond
)

// LogWriter writes log lines in its own goroutine, so that a slow or blocked reader never
// delays the process. Lines are dropped while the queue is full, and their count is written
// before the next line.
type LogWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
	// pending counts the lines that have been queued and not written yet.
	pending atomic.Int64
}

// NewLogWriter returns a writer to w. Its goroutine runs as long as the process.
func NewLogWriter(w io.Writer) *LogWriter {
	l := &LogWriter{lines: make(chan []byte, logQueueLength)}
	go l.run(w)
	return l
}

// Write queues one line or drops it; it never blocks and never fails.
func (l *LogWriter) Write(line []byte) (int, error) {
	l.pending.Add(1)
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.pending.Add(-1)
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Flush waits until the queued lines have been written, at most logFlushTimeout.
func (l *LogWriter) Flush() {
	deadline := time.Now().Add(logFlushTimeout)
	for l.pending.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
}

func (l *LogWriter) run(w io.Writer) {
	for line := range l.lines {
		if n := l.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w, "msg=\"log lines dropped\" count=%d\n", n) // there is nowhere to report it
		}
		_, _ = w.Write(line) // there is nowhere to report it
		l.pending.Add(-1)
	}
}
