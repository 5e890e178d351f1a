package wal

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// FS is the part of a file system that the log needs. Names are full paths.
type FS interface {
	// MakeFolder creates a folder and its parents, and makes them durable.
	MakeFolder(name string) error
	// List returns the base names of the files in a folder.
	List(folder string) ([]string, error)
	ReadFile(name string) ([]byte, error)
	// Create opens an empty file for writing, replacing an older one.
	Create(name string) (File, error)
	// OpenAt opens an existing file for writing, truncates it to size bytes and appends there.
	OpenAt(name string, size int64) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncFolder makes creations, renames and removals in a folder durable.
	SyncFolder(name string) error
	// Lock takes an exclusive lock without waiting, which the end of the process releases. It
	// returns ErrLocked if the lock is held.
	Lock(name string) (io.Closer, error)
}

// File is an open file of an FS.
type File interface {
	io.Writer
	// Sync makes everything written so far durable.
	Sync() error
	Close() error
}

// ErrLocked is returned by Lock when another process has locked the data folder.
var ErrLocked = errors.New("data folder is in use by another process")

// OS is the operating system's file system.
type OS struct{}

// MakeFolder creates a folder and its parents, and syncs the immediate parent.
func (o OS) MakeFolder(name string) error {
	if err := os.MkdirAll(name, 0o700); err != nil {
		return err
	}
	return o.SyncFolder(filepath.Dir(name))
}

// List returns the base names of the files in a folder.
func (OS) List(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		if !e.IsDir() {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// ReadFile reads a whole file.
func (OS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// Create opens an empty file for writing.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
}

// OpenAt opens a file for writing, truncates it to size bytes and appends there.
func (OS) OpenAt(name string, size int64) (File, error) {
	f, err := os.OpenFile(name, os.O_WRONLY, 0)
	if err != nil {
		return nil, err
	}
	if err := f.Truncate(size); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	if _, err := f.Seek(size, io.SeekStart); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

// Rename moves from to the name to, replacing an existing file.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file; a file that does not exist is no error.
func (OS) Remove(name string) error {
	err := os.Remove(name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return err
}

// SyncFolder calls fsync on a folder.
func (OS) SyncFolder(name string) error {
	d, err := os.Open(name)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// Lock takes an exclusive, non-blocking flock on the file, creating it if needed.
func (OS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if errors.Is(err, syscall.EWOULDBLOCK) {
		err = ErrLocked
	}
	if err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}
