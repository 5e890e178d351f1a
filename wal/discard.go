package wal

import (
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
)

// discardName marks a folder whose log is to be removed, discardedName one whose log was.
const (
	discardName   = "discard"
	discardedName = "discarded"
)

// Discard durably removes the log in a folder. The next Open creates a new identity and reports
// it in Recovered.Discarded, as every later Open does. After a crash the folder holds the whole
// log, or the next Open completes the removal. It fails with ErrLocked while the log is open.
// fsys is OS if nil.
func Discard(folder string, fsys FS) error {
	if fsys == nil {
		fsys = OS{}
	}
	lock, err := fsys.Lock(filepath.Join(folder, lockName))
	if err != nil {
		return fmt.Errorf("lock data folder %s: %w", folder, err)
	}
	err = markDiscard(fsys, folder)
	if err == nil {
		_, err = completeDiscard(fsys, folder)
	}
	return errors.Join(err, lock.Close())
}

// markDiscard makes the decision durable before the first file is removed.
func markDiscard(fsys FS, folder string) error {
	f, err := fsys.Create(filepath.Join(folder, discardName))
	if err != nil {
		return fmt.Errorf("create %s: %w", discardName, err)
	}
	if err := errors.Join(f.Sync(), f.Close()); err != nil {
		return fmt.Errorf("sync %s: %w", discardName, err)
	}
	if err := fsys.SyncFolder(folder); err != nil {
		return fmt.Errorf("sync folder %s: %w", folder, err)
	}
	return nil
}

// completeDiscard removes the log of a marked folder. It reports whether a log was discarded
// from the folder, now or earlier.
func completeDiscard(fsys FS, folder string) (bool, error) {
	names, err := fsys.List(folder)
	if err != nil {
		return false, fmt.Errorf("list data folder %s: %w", folder, err)
	}
	if !slices.Contains(names, discardName) {
		return slices.Contains(names, discardedName), nil
	}
	for _, n := range names {
		if !strings.HasSuffix(n, segmentSuffix) && !strings.HasSuffix(n, snapshotSuffix) {
			continue
		}
		if err := fsys.Remove(filepath.Join(folder, n)); err != nil {
			return false, fmt.Errorf("remove %s: %w", n, err)
		}
	}
	// The mark stays until the removals are durable.
	if err := fsys.SyncFolder(folder); err != nil {
		return false, fmt.Errorf("sync folder %s: %w", folder, err)
	}
	if err := fsys.Rename(filepath.Join(folder, discardName), filepath.Join(folder, discardedName)); err != nil {
		return false, fmt.Errorf("rename %s: %w", discardName, err)
	}
	// The sync of the next log's first segment makes this durable, before its identity is used.
	return true, nil
}
