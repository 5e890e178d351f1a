// Package lastrun keeps a record of how a process runs and ends in its data folder, and logs the
// record of the previous run at the next start. A process that is killed, exceeds a memory limit
// or loses power cannot write how it ended; its record still says that it runs.
//
// The record is best effort: no failure of the disk reaches the process, and nothing is synced.
package lastrun

import (
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-kit/log"

	"toucantiller.dev/wal"
)

// Times between two updates of the record of a running process: the first one, which doubles up to
// the last one, so that the record of a process that soon ends has late figures too.
const (
	firstRefreshInterval = 125 * time.Millisecond
	refreshInterval      = 2 * time.Second
)

// lockName is the file whose lock the process holds, so that a second process with the same
// folder leaves the record alone.
const lockName = "lastrun.lock"

// Run is the record of this process. All methods do nothing on a nil Run, which a process
// without a data folder has.
type Run struct {
	folder string
	logger log.Logger
	lock   io.Closer
	crash  *os.File
	stop   chan struct{}
	done   chan struct{}

	mu       sync.Mutex
	record   record
	logBytes func() int64
}

// Start logs how the previous run in the folder ended, and begins the record of this one. It
// returns nil, after logging why, if the folder cannot be used or another process uses it.
func Start(folder string, logger log.Logger) *Run {
	lock, err := wal.OS{}.Lock(filepath.Join(folder, lockName))
	if err != nil {
		_ = logger.Log("msg", "run not recorded", "err", err)
		return nil
	}
	if previous, ok := readPrevious(folder); ok {
		previous.log(logger)
	}
	now := time.Now()
	r := &Run{
		folder: folder, logger: logger, lock: lock,
		stop: make(chan struct{}), done: make(chan struct{}),
		record:   record{PID: os.Getpid(), Started: now, End: endRunning},
		logBytes: func() int64 { return 0 },
	}
	if r.crash, err = captureCrash(folder); err != nil {
		_ = logger.Log("msg", "crash output not recorded", "err", err)
	}
	if err := r.refresh(); err != nil {
		_ = logger.Log("msg", "run not recorded", "err", err)
	}
	go r.refreshUntilEnd()
	return r
}

// SetLogBytes sets the source of the size of the log in the record, in bytes, and updates the record.
func (r *Run) SetLogBytes(logBytes func() int64) {
	if r == nil {
		return
	}
	r.mu.Lock()
	r.logBytes = logBytes
	r.mu.Unlock()
	_ = r.refresh() // the next one may succeed
}

// Fail records that the process failed with an error, and keeps the record at that.
func (r *Run) Fail(err error) {
	if r == nil || err == nil {
		return
	}
	r.mu.Lock()
	if r.record.End == endRunning {
		r.record.End, r.record.Err = endFailed, err.Error()
	}
	r.mu.Unlock()
	_ = r.refresh() // the disk may be what failed
}

// End completes the record: the process stopped as asked, or failed if err is set or Fail was
// called before. It is called once.
func (r *Run) End(err error) {
	if r == nil {
		return
	}
	close(r.stop)
	<-r.done
	r.Fail(err)
	r.mu.Lock()
	if r.record.End == endRunning {
		r.record.End = endStopped
	}
	r.mu.Unlock()
	_ = r.refresh() // the previous record remains, which says that the process runs
	releaseCrash(r.crash)
	_ = r.lock.Close()
}

func (r *Run) refreshUntilEnd() {
	defer close(r.done)
	for interval := firstRefreshInterval; ; interval = min(2*interval, refreshInterval) {
		select {
		case <-r.stop:
			return
		case <-time.After(interval):
			_ = r.refresh() // the next one may succeed
		}
	}
}

// refresh writes the record with the present figures.
func (r *Run) refresh() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Seen = time.Now()
	r.record.Resident, r.record.Peak = memory()
	r.record.LogBytes = r.logBytes()
	return r.record.write(r.folder)
}
