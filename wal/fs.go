package wal

import (
	"io"
	"os"
	"path/filepath"
	"sort"
	"syscall"

	"github.com/ansel1/merry/v2"
)

// File is an open file of a data folder.
type File interface {
	io.Writer
	io.Closer
	// Sync returns once all data written so far is durable.
	Sync() error
}

// FS is a data folder. File names have no separators. Creating, renaming or removing a
// file is durable only after SyncDir.
type FS interface {
	Create(name string) (File, error)
	ReadFile(name string) ([]byte, error)
	Rename(from, to string) error
	Remove(name string) error
	// Truncate sets the size of a file and makes the change durable.
	Truncate(name string, size int64) error
	// Append opens a file for writing at its end.
	Append(name string) (File, error)
	List() ([]string, error)
	SyncDir() error
	// Lock locks the folder for this process. It returns ErrLocked if another process
	// has locked it.
	Lock() (unlock func(), err error)
}

const lockName = "LOCK"

// osFS is a directory of the operating system.
type osFS struct{ dir string }

// OpenFolder returns the data folder in a directory, which it creates if needed.
func OpenFolder(dir string) (FS, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, merry.Prepend(ErrFolder, err.Error())
	}
	fs := &osFS{dir: dir}
	if err := (&osFS{dir: filepath.Dir(dir)}).SyncDir(); err != nil {
		return nil, merry.Prepend(ErrFolder, err.Error())
	}
	return fs, nil
}

func (f *osFS) path(name string) string { return filepath.Join(f.dir, name) }

func (f *osFS) Create(name string) (File, error) {
	return os.OpenFile(f.path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

func (f *osFS) Append(name string) (File, error) {
	return os.OpenFile(f.path(name), os.O_APPEND|os.O_WRONLY, 0o600)
}

func (f *osFS) ReadFile(name string) ([]byte, error) { return os.ReadFile(f.path(name)) }

func (f *osFS) Rename(from, to string) error { return os.Rename(f.path(from), f.path(to)) }

func (f *osFS) Remove(name string) error { return os.Remove(f.path(name)) }

func (f *osFS) Truncate(name string, size int64) error {
	file, err := os.OpenFile(f.path(name), os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	defer file.Close()
	if err := file.Truncate(size); err != nil {
		return err
	}
	return file.Sync()
}

func (f *osFS) List() ([]string, error) {
	entries, err := os.ReadDir(f.dir)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if !e.IsDir() && e.Name() != lockName {
			names = append(names, e.Name())
		}
	}
	sort.Strings(names)
	return names, nil
}

func (f *osFS) SyncDir() error {
	d, err := os.Open(f.dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Lock takes an advisory lock on a file. The kernel releases it when the process ends,
// so a crash leaves no stale lock.
func (f *osFS) Lock() (func(), error) {
	file, err := os.OpenFile(f.path(lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, merry.Prepend(ErrFolder, err.Error())
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = file.Close()
		return nil, merry.Prepend(ErrLocked, f.dir)
	}
	return func() { _ = file.Close() }, nil
}
