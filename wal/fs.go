package wal

import (
	"io"
	"os"
	"path/filepath"
	"sort"
	"syscall"

	"github.com/ansel1/merry/v2"
)

// File is one file of a data folder.
type File interface {
	io.Writer
	io.Closer
	// Sync returns once all that was written is durable.
	Sync() error
}

// FS is one data folder. Names have no separators. A name that was created,
// renamed or removed is durable only after SyncDir.
type FS interface {
	Create(name string) (File, error)
	ReadFile(name string) ([]byte, error)
	Rename(from, to string) error
	Remove(name string) error
	// Truncate cuts a file and makes the cut durable.
	Truncate(name string, size int64) error
	// Append opens a file to write at its end.
	Append(name string) (File, error)
	List() ([]string, error)
	SyncDir() error
	// Lock takes the folder for this process; a second holder is refused.
	Lock() (unlock func(), err error)
}

const lockName = "LOCK"

// osFS is a folder of the operating system.
type osFS struct{ dir string }

// OpenFolder makes a data folder if it isn't there.
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

// Lock holds an advisory lock on a file. The kernel drops it with the process,
// so a crash leaves nothing to clean up.
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
