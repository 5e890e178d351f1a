package wal

import (
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"syscall"
)

// reserveName is the name of the file that keeps space on the disk for when it is full.
const reserveName = "reserve"

// reserveBlock is the size in bytes of one write of the reserve.
const reserveBlock = 256 << 10

// ErrNoSpace is returned by writes for which the disk has no space. The log is as it was before
// the write, and accepts further ones.
var ErrNoSpace = errors.New("no space on the disk of the log")

// isNoSpace reports whether a write failed for want of space.
func isNoSpace(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// noSpace marks the error of a write that is undone as ErrNoSpace if it failed for want of space.
// A failed sync is not marked, as it is unknown what the disk holds.
func noSpace(err error) error {
	if isNoSpace(err) {
		return fmt.Errorf("%w: %w", ErrNoSpace, err)
	}
	return err
}

// reserve is a file whose space the log takes back when the disk is full.
type reserve struct {
	fs     FS
	folder string
	size   int64
	held   bool
}

func (r *reserve) path() string { return filepath.Join(r.folder, reserveName) }

// find records whether an earlier process left the reserve.
func (r *reserve) find() error {
	names, err := r.fs.List(r.folder)
	if err != nil {
		return fmt.Errorf("list data folder %s: %w", r.folder, err)
	}
	r.held = slices.Contains(names, reserveName)
	return nil
}

// release removes the reserve and reports whether there was one.
func (r *reserve) release() (bool, error) {
	if !r.held {
		return false, nil
	}
	r.held = false
	if err := r.fs.Remove(r.path()); err != nil {
		return false, fmt.Errorf("remove %s: %w", r.path(), err)
	}
	if err := r.fs.SyncFolder(r.folder); err != nil {
		return false, fmt.Errorf("sync folder %s: %w", r.folder, err)
	}
	return true, nil
}

// grow enlarges the reserve so that a snapshot of the given size fits in it, with a quarter to spare.
// Without space for that the reserve is given up, as on a full disk.
func (r *reserve) grow(snapshot int64) error {
	need := snapshot + snapshot/4
	if r.size == 0 || need <= r.size {
		return nil
	}
	r.size = need
	if _, err := r.release(); err != nil {
		return err
	}
	if err := r.restore(); err != nil && !errors.Is(err, ErrNoSpace) {
		return err
	}
	return nil
}

// restore creates the reserve. Without space for all of it, no part of it is kept.
func (r *reserve) restore() error {
	if r.held || r.size == 0 {
		return nil
	}
	err := r.write()
	if err == nil {
		r.held = true
		return nil
	}
	return errors.Join(noSpace(err), r.fs.Remove(r.path()))
}

func (r *reserve) write() error {
	f, err := r.fs.Create(r.path())
	if err != nil {
		return fmt.Errorf("create %s: %w", r.path(), err)
	}
	block := make([]byte, min(r.size, reserveBlock))
	for left := r.size; left > 0; left -= int64(len(block)) {
		if _, err := f.Write(block[:min(left, int64(len(block)))]); err != nil {
			return errors.Join(fmt.Errorf("write %s: %w", r.path(), err), f.Close())
		}
	}
	if err := f.Sync(); err != nil {
		return errors.Join(fmt.Errorf("sync %s: %w", r.path(), err), f.Close())
	}
	return f.Close()
}

// openWithReserve recovers the log; if the disk is full, once more without the reserve. A reserve
// that is missing is created if there is space.
func (l *Log) openWithReserve(newOwner func() uint64) (*Recovered, error) {
	if err := l.reserve.find(); err != nil {
		return nil, err
	}
	r, err := l.recover(newOwner)
	if errors.Is(err, ErrNoSpace) {
		released, releaseErr := l.reserve.release()
		if releaseErr != nil || !released {
			return nil, errors.Join(err, releaseErr)
		}
		l.closedSegments = nil
		r, err = l.recover(newOwner)
	}
	if err != nil {
		return nil, err
	}
	if err := l.reserve.restore(); err != nil && !errors.Is(err, ErrNoSpace) {
		return nil, err
	}
	return r, nil
}

// useReserve calls a write, and calls it again without the reserve if the disk is full. An error
// other than ErrNoSpace and ErrFrameTooLarge stops the log.
func (l *Log) useReserve(write func() error) error {
	err := write()
	if errors.Is(err, ErrNoSpace) {
		released, releaseErr := l.reserve.release()
		if releaseErr != nil {
			return l.fail(releaseErr)
		}
		if released {
			err = write()
		}
	}
	if err == nil || errors.Is(err, ErrNoSpace) || errors.Is(err, ErrFrameTooLarge) {
		return err
	}
	return l.fail(err)
}

// Full reports whether the disk was full, so that the reserve was given up. Only small writes
// should follow until RestoreReserve succeeds.
func (l *Log) Full() bool { return l.reserve.size > 0 && !l.reserve.held }

// ReleaseReserve gives the reserve up for a snapshot.
func (l *Log) ReleaseReserve() error {
	if l.err != nil {
		return l.err
	}
	if _, err := l.reserve.release(); err != nil {
		return l.fail(err)
	}
	return nil
}

// RestoreReserve takes the reserve again after space was freed. It fails with ErrNoSpace while
// there is too little.
func (l *Log) RestoreReserve() error {
	if l.err != nil {
		return l.err
	}
	err := l.reserve.restore()
	if err == nil || errors.Is(err, ErrNoSpace) {
		return err
	}
	return l.fail(err)
}
