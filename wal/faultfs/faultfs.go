// Package faultfs is an in-memory file system for tests of the write-ahead log. It
// keeps only what was synced across a crash, and can crash or fail at a chosen step.
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

// ErrCrashed is returned by every operation between a crash and Restart.
var ErrCrashed = errors.New("machine crashed")

// ErrFull is returned when the disk is full.
var ErrFull error = syscall.ENOSPC

// ErrIO is returned by an injected failure.
var ErrIO error = syscall.EIO

// inode is the content of a file.
type inode struct {
	data   []byte
	synced []byte
	// flushed is the length of the prefix of data that holds synced bytes.
	flushed int
}

// FS is one disk. It is safe for concurrent use.
type FS struct {
	mu      sync.Mutex
	rand    *rand.Rand
	names   map[string]*inode
	durable map[string]*inode
	pending []func(map[string]*inode)
	locked  map[string]bool
	boot    int

	crashed   bool
	steps     int
	crashAt   int
	syncFails int
	syncDelay time.Duration
	capacity  int
}

var _ wal.FS = (*FS)(nil)

// New returns an empty disk whose torn writes follow the seed.
func New(seed uint64) *FS {
	return &FS{
		rand:    rand.New(rand.NewPCG(seed, 0)),
		names:   make(map[string]*inode),
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
	d.syncFails = n
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
// changes of folders. It also releases locks and disables faults.
func (d *FS) Restart() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, change := range d.pending[:d.rand.IntN(len(d.pending)+1)] {
		change(d.durable)
	}
	d.pending = nil
	d.names = make(map[string]*inode, len(d.durable))
	for name, n := range d.durable {
		n.data = d.torn(n)
		n.synced = append([]byte(nil), n.data...)
		n.flushed = len(n.data)
		d.names[name] = n
	}
	d.locked = make(map[string]bool)
	d.boot++
	d.crashed, d.crashAt, d.steps, d.syncFails = false, 0, 0, 0
}

// Kill ends the process that uses the disk while the machine runs on: content that was
// not synced stays visible and can still be lost. A machine that crashed restarts.
func (d *FS) Kill() {
	d.mu.Lock()
	if d.crashed {
		d.mu.Unlock()
		d.Restart()
		return
	}
	defer d.mu.Unlock()
	d.locked = make(map[string]bool)
	d.boot++
}

func (d *FS) torn(n *inode) []byte {
	if n.flushed < len(n.synced) || len(n.data) == n.flushed {
		// A cut or replacement that was not synced is undone.
		return append([]byte(nil), n.synced...)
	}
	out := append([]byte(nil), n.data[:n.flushed+d.rand.IntN(len(n.data)-n.flushed+1)]...)
	if fresh := len(out) - n.flushed; fresh > 0 && d.rand.IntN(2) == 0 {
		at := n.flushed + d.rand.IntN(fresh)
		clear(out[at:min(len(out), at+1+d.rand.IntN(64))])
	}
	return out
}

// Damage inverts one byte of a file, as a failing medium would.
func (d *FS) Damage(name string, offset int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.names[name]
	n.data[offset] ^= 0xFF
	n.synced = append([]byte(nil), n.data...)
	n.flushed = len(n.data)
}

// step counts a change and crashes at the chosen one. The lock is held.
func (d *FS) step() error {
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

// change applies a change of a folder now and makes it durable at the next SyncFolder.
func (d *FS) change(f func(map[string]*inode)) {
	f(d.names)
	d.pending = append(d.pending, f)
}

// MakeFolder does nothing: folders are implied by names.
func (d *FS) MakeFolder(string) error { return d.check() }

func (d *FS) check() error {
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
	for name := range d.names {
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
	n, ok := d.names[name]
	if !ok {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return append([]byte(nil), n.data...), nil
}

// Create opens an empty file for writing.
func (d *FS) Create(name string) (wal.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.step(); err != nil {
		return nil, err
	}
	n := &inode{}
	d.change(func(m map[string]*inode) { m[name] = n })
	return &file{disk: d, node: n, boot: d.boot}, nil
}

// OpenAt opens a file, cuts it to size and writes from there.
func (d *FS) OpenAt(name string, size int64) (wal.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.step(); err != nil {
		return nil, err
	}
	n, ok := d.names[name]
	if !ok {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	n.data = n.data[:size:size]
	n.flushed = min(n.flushed, int(size))
	return &file{disk: d, node: n, boot: d.boot}, nil
}

// Rename replaces to by from.
func (d *FS) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.step(); err != nil {
		return err
	}
	n, ok := d.names[from]
	if !ok {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	d.change(func(m map[string]*inode) {
		delete(m, from)
		m[to] = n
	})
	return nil
}

// Remove removes a file.
func (d *FS) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.step(); err != nil {
		return err
	}
	d.change(func(m map[string]*inode) { delete(m, name) })
	return nil
}

// SyncFolder makes the changes of folders durable.
func (d *FS) SyncFolder(string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.sync(); err != nil {
		return err
	}
	for _, change := range d.pending {
		change(d.durable)
	}
	d.pending = nil
	return nil
}

// sync counts a sync and fails it if asked to. The lock is held.
func (d *FS) sync() error {
	if err := d.step(); err != nil {
		return err
	}
	if d.syncFails > 0 {
		d.syncFails--
		if d.syncFails == 0 {
			return ErrIO
		}
	}
	return nil
}

// Lock takes an exclusive lock that ends with Restart.
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
	return &lock{disk: d, name: name, boot: d.boot}, nil
}

type lock struct {
	disk *FS
	name string
	boot int
}

// Close releases the lock.
func (l *lock) Close() error {
	l.disk.mu.Lock()
	defer l.disk.mu.Unlock()
	if l.boot == l.disk.boot {
		delete(l.disk.locked, l.name)
	}
	return nil
}

type file struct {
	disk *FS
	node *inode
	boot int
}

// Write appends to the file. A crash or a full disk leaves a prefix of the bytes.
func (f *file) Write(p []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.boot != f.disk.boot {
		return 0, ErrCrashed
	}
	was := f.disk.crashed
	err := f.disk.step()
	n := len(p)
	if err != nil {
		if was {
			return 0, err
		}
		n = f.disk.rand.IntN(len(p) + 1)
	}
	if room := f.disk.room(); err == nil && room >= 0 && n > room {
		n, err = room, ErrFull
	}
	f.node.data = append(f.node.data, p[:n]...)
	return n, err
}

// room returns the free bytes, or -1 without a bound. The lock is held.
func (d *FS) room() int {
	if d.capacity == 0 {
		return -1
	}
	used := 0
	for _, n := range d.names {
		used += len(n.data)
	}
	return max(0, d.capacity-used)
}

// Sync makes the content durable. A failed sync leaves it undecided.
func (f *file) Sync() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.boot != f.disk.boot {
		return ErrCrashed
	}
	if f.disk.syncDelay > 0 {
		delay := f.disk.syncDelay
		f.disk.mu.Unlock()
		time.Sleep(delay)
		f.disk.mu.Lock()
	}
	if err := f.disk.sync(); err != nil {
		return err
	}
	f.node.synced = append([]byte(nil), f.node.data...)
	f.node.flushed = len(f.node.data)
	return nil
}

// Close does not sync.
func (f *file) Close() error { return nil }
