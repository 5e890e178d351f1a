// Package faultfs is an in-memory file system for tests of the write-ahead log. A crash
// preserves synced content and loses a random part of the rest; crashes and failures can be
// injected at a chosen step.
package faultfs

import (
	"errors"
	"io"
	"io/fs"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"toucantiller.dev/wal"
)

// ErrCrashed is returned by every operation between a crash and Restart, and by files that
// were opened before the last Restart or Kill.
var ErrCrashed = errors.New("machine crashed")

// ErrFull is returned by writes that exceed the capacity.
var ErrFull error = syscall.ENOSPC

// ErrIO is returned by a sync that FailSync makes fail.
var ErrIO error = syscall.EIO

// inode is the content of a file.
type inode struct {
	data   []byte
	synced []byte
	// syncedPrefix is the length of the prefix of data that equals synced.
	syncedPrefix int
}

// FS is one disk. It is safe for concurrent use.
type FS struct {
	mu   sync.Mutex
	rand *rand.Rand
	// visible maps names to files as the running process sees them, durable as a crash
	// preserves them.
	visible map[string]*inode
	durable map[string]*inode
	// pendingChanges are the folder changes since the last SyncFolder.
	pendingChanges []func(map[string]*inode)
	locked         map[string]bool
	// generation is raised by Restart and Kill; files and locks of an earlier one are invalid.
	generation int

	crashed        bool
	steps          int
	crashAt        int
	syncsToFailure int // counts down to the sync that fails; 0 is off
	syncDelay      time.Duration
	capacity       int // in bytes; 0 is unbounded
}

var _ wal.FS = (*FS)(nil)

// New returns an empty disk. The seed determines what a crash loses.
func New(seed uint64) *FS {
	return &FS{
		rand:    rand.New(rand.NewPCG(seed, 0)),
		visible: make(map[string]*inode),
		durable: make(map[string]*inode),
		locked:  make(map[string]bool),
	}
}

// CrashAt makes the machine crash during the n-th step from now; 0 disables it. Every
// change of a file or folder and every sync is one step.
func (d *FS) CrashAt(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.steps, d.crashAt = 0, n
}

// FailSync makes the n-th sync from now fail once; 0 disables it.
func (d *FS) FailSync(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.syncsToFailure = n
}

// DelaySync makes every sync take the given time.
func (d *FS) DelaySync(t time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.syncDelay = t
}

// SetCapacity bounds the total size of the files in bytes; 0 means no bound.
func (d *FS) SetCapacity(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.capacity = n
}

// Steps returns the number of steps since the last CrashAt.
func (d *FS) Steps() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.steps
}

// Restart loses what was not synced, except for a random part of it: a prefix of the
// unsynced bytes of each file, partly replaced by zeros, and a prefix of the unsynced
// changes of folders. It also releases locks and disables CrashAt and FailSync.
func (d *FS) Restart() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, change := range d.pendingChanges[:d.rand.IntN(len(d.pendingChanges)+1)] {
		change(d.durable)
	}
	d.pendingChanges = nil
	d.visible = make(map[string]*inode, len(d.durable))
	for name, n := range d.durable {
		n.data = d.contentAfterCrash(n)
		n.synced = append([]byte(nil), n.data...)
		n.syncedPrefix = len(n.data)
		d.visible[name] = n
	}
	d.locked = make(map[string]bool)
	d.generation++
	d.crashed, d.crashAt, d.steps, d.syncsToFailure = false, 0, 0, 0
}

// Kill ends the process that uses the disk while the machine keeps running: unsynced content
// stays visible and a later crash can still lose it. After a crash Kill is the same as Restart.
func (d *FS) Kill() {
	d.mu.Lock()
	if d.crashed {
		d.mu.Unlock()
		d.Restart()
		return
	}
	defer d.mu.Unlock()
	d.locked = make(map[string]bool)
	d.generation++
}

// contentAfterCrash returns the synced bytes of a file and a random prefix of the appended
// bytes that were not synced, in half of the cases with up to 64 bytes of it zeroed.
func (d *FS) contentAfterCrash(n *inode) []byte {
	if n.syncedPrefix < len(n.synced) || len(n.data) == n.syncedPrefix {
		// Nothing was appended, or a truncation was not synced: it is undone, with what was
		// written after it.
		return append([]byte(nil), n.synced...)
	}
	out := append([]byte(nil), n.data[:n.syncedPrefix+d.rand.IntN(len(n.data)-n.syncedPrefix+1)]...)
	if fresh := len(out) - n.syncedPrefix; fresh > 0 && d.rand.IntN(2) == 0 {
		at := n.syncedPrefix + d.rand.IntN(fresh)
		clear(out[at:min(len(out), at+1+d.rand.IntN(64))])
	}
	return out
}

// Damage inverts one byte of a file durably, which simulates a media failure.
func (d *FS) Damage(name string, offset int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.visible[name]
	n.data[offset] ^= 0xFF
	n.synced = append([]byte(nil), n.data...)
	n.syncedPrefix = len(n.data)
}

// countStep counts a step and crashes the machine at step crashAt. The lock is held.
func (d *FS) countStep() error {
	if d.crashed {
		return ErrCrashed
	}
	d.steps++
	if d.crashAt > 0 && d.steps >= d.crashAt {
		d.crashed = true
		return ErrCrashed
	}
	return nil
}

// applyFolderChange makes a folder change visible now and durable at the next SyncFolder. The
// lock is held.
func (d *FS) applyFolderChange(f func(map[string]*inode)) {
	f(d.visible)
	d.pendingChanges = append(d.pendingChanges, f)
}

// MakeFolder creates nothing: folders exist as parts of file names.
func (d *FS) MakeFolder(string) error { return d.checkRunning() }

// checkRunning returns ErrCrashed between a crash and Restart.
func (d *FS) checkRunning() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.crashed {
		return ErrCrashed
	}
	return nil
}

// List returns the base names of the files in a folder.
func (d *FS) List(folder string) ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.crashed {
		return nil, ErrCrashed
	}
	var out []string
	for name := range d.visible {
		if filepath.Dir(name) == filepath.Clean(folder) {
			out = append(out, filepath.Base(name))
		}
	}
	return out, nil
}

// ReadFile returns the content of a file.
func (d *FS) ReadFile(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.crashed {
		return nil, ErrCrashed
	}
	n, ok := d.visible[name]
	if !ok {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return append([]byte(nil), n.data...), nil
}

// Create opens an empty file for writing.
func (d *FS) Create(name string) (wal.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.countStep(); err != nil {
		return nil, err
	}
	n := &inode{}
	d.applyFolderChange(func(m map[string]*inode) { m[name] = n })
	return &file{disk: d, node: n, generation: d.generation}, nil
}

// OpenAt opens a file for writing, truncates it to size bytes and appends there.
func (d *FS) OpenAt(name string, size int64) (wal.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.countStep(); err != nil {
		return nil, err
	}
	n, ok := d.visible[name]
	if !ok {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	n.data = n.data[:size:size]
	n.syncedPrefix = min(n.syncedPrefix, int(size))
	return &file{disk: d, node: n, generation: d.generation}, nil
}

// Rename moves from to the name to, replacing an existing file.
func (d *FS) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.countStep(); err != nil {
		return err
	}
	n, ok := d.visible[from]
	if !ok {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	d.applyFolderChange(func(m map[string]*inode) {
		delete(m, from)
		m[to] = n
	})
	return nil
}

// Remove removes a file; a file that does not exist is no error.
func (d *FS) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.countStep(); err != nil {
		return err
	}
	d.applyFolderChange(func(m map[string]*inode) { delete(m, name) })
	return nil
}

// SyncFolder makes the pending changes of all folders durable.
func (d *FS) SyncFolder(string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.countSync(); err != nil {
		return err
	}
	for _, change := range d.pendingChanges {
		change(d.durable)
	}
	d.pendingChanges = nil
	return nil
}

// countSync counts a sync as a step and returns ErrIO if FailSync selected it. The lock is held.
func (d *FS) countSync() error {
	if err := d.countStep(); err != nil {
		return err
	}
	if d.syncsToFailure > 0 {
		d.syncsToFailure--
		if d.syncsToFailure == 0 {
			return ErrIO
		}
	}
	return nil
}

// Lock takes an exclusive lock without waiting, which Close, Restart and Kill release.
func (d *FS) Lock(name string) (io.Closer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.crashed {
		return nil, ErrCrashed
	}
	if d.locked[name] {
		return nil, wal.ErrLocked
	}
	d.locked[name] = true
	return &lock{disk: d, name: name, generation: d.generation}, nil
}

type lock struct {
	disk       *FS
	name       string
	generation int
}

// Close releases the lock unless Restart or Kill released it before.
func (l *lock) Close() error {
	l.disk.mu.Lock()
	defer l.disk.mu.Unlock()
	if l.generation == l.disk.generation {
		delete(l.disk.locked, l.name)
	}
	return nil
}

type file struct {
	disk       *FS
	node       *inode
	generation int
}

// Write appends to the file. A crash during the write stores a random prefix of the bytes, a
// full disk those that fit.
func (f *file) Write(p []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.generation != f.disk.generation {
		return 0, ErrCrashed
	}
	crashedBefore := f.disk.crashed
	err := f.disk.countStep()
	n := len(p)
	if err != nil {
		if crashedBefore {
			return 0, err
		}
		n = f.disk.rand.IntN(len(p) + 1)
	}
	if free := f.disk.freeBytes(); err == nil && free >= 0 && n > free {
		n, err = free, ErrFull
	}
	f.node.data = append(f.node.data, p[:n]...)
	return n, err
}

// Used returns the total size of the files in bytes.
func (d *FS) Used() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.used()
}

// used returns the total size of the files in bytes. The lock is held.
func (d *FS) used() int {
	n := 0
	for _, f := range d.visible {
		n += len(f.data)
	}
	return n
}

// freeBytes returns the remaining capacity in bytes, or -1 if it is unbounded. The lock is held.
func (d *FS) freeBytes() int {
	if d.capacity == 0 {
		return -1
	}
	return max(0, d.capacity-d.used())
}

// Sync makes the content durable. After a failed sync a crash may preserve or lose it.
func (f *file) Sync() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.generation != f.disk.generation {
		return ErrCrashed
	}
	if f.disk.syncDelay > 0 {
		delay := f.disk.syncDelay
		f.disk.mu.Unlock()
		time.Sleep(delay)
		f.disk.mu.Lock()
	}
	if err := f.disk.countSync(); err != nil {
		return err
	}
	f.node.synced = append([]byte(nil), f.node.data...)
	f.node.syncedPrefix = len(f.node.data)
	return nil
}

// Close does not sync.
func (f *file) Close() error { return nil }
