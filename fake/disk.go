package fake

import (
	"errors"
	"io/fs"
	"sort"
	"sync"

	"github.com/snipereach/snipereach/wal"
)

// Errors returned by a Disk with Full or FailSync set.
var (
	ErrDiskFull   = errors.New("no space left on device")
	ErrSyncFailed = errors.New("input/output error")
)

// Disk is a data directory in memory; Crash discards what was not synced. It
// implements wal.FS. File contents and names are synced separately: a file whose
// name was not synced by SyncDir is gone after a crash.
type Disk struct {
	mu    sync.Mutex
	files map[string]*diskFile
	// durableNames are the names that survive a crash.
	durableNames map[string]*diskFile
	locked       bool

	// Full makes every write fail.
	Full bool
	// FailSync makes the next sync of a file fail. What was written to that file
	// is never synced, although later syncs succeed, as with a real kernel.
	FailSync bool
	// Syncs counts the syncs of files and of the directory.
	Syncs int
}

type diskFile struct {
	data   []byte
	synced int
	// syncFailed is set once a sync has failed; no later sync takes effect.
	syncFailed bool
}

// NewDisk returns an empty Disk.
func NewDisk() *Disk {
	return &Disk{files: map[string]*diskFile{}, durableNames: map[string]*diskFile{}}
}

// Crash discards what was not synced, except for the first keep bytes of each
// file's unsynced tail, which simulate a torn write. It releases the lock, as the
// end of a process does.
func (d *Disk) Crash(keep int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.locked = false
	d.files = map[string]*diskFile{}
	for name, f := range d.durableNames {
		end := min(f.synced+keep, len(f.data))
		f.data = append([]byte(nil), f.data[:end]...)
		f.synced = end
		d.files[name] = f
	}
}

// FlipBit inverts one bit of a file's durable content.
func (d *Disk) FlipBit(name string, bit int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.files[name].data[bit/8] ^= 1 << (bit % 8)
}

// Size returns a file's length in bytes, or -1 if there is no such file.
func (d *Disk) Size(name string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f := d.files[name]; f != nil {
		return len(f.data)
	}
	return -1
}

// Clone returns an unlocked copy of the disk with its current contents.
func (d *Disk) Clone() *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := NewDisk()
	for name, f := range d.files {
		c.files[name] = &diskFile{data: append([]byte(nil), f.data...), synced: f.synced}
		if d.durableNames[name] == f {
			c.durableNames[name] = c.files[name]
		}
	}
	return c
}

// Create implements wal.FS.
func (d *Disk) Create(name string) (wal.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := &diskFile{}
	d.files[name] = f
	return &diskHandle{d, f}, nil
}

// Append implements wal.FS.
func (d *Disk) Append(name string) (wal.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.files[name]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	return &diskHandle{d, f}, nil
}

// ReadFile implements wal.FS.
func (d *Disk) ReadFile(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.files[name]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	return append([]byte(nil), f.data...), nil
}

// Rename implements wal.FS.
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.files[from]
	if f == nil {
		return fs.ErrNotExist
	}
	delete(d.files, from)
	d.files[to] = f
	return nil
}

// Remove implements wal.FS.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.files, name)
	return nil
}

// Truncate implements wal.FS.
func (d *Disk) Truncate(name string, size int64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.files[name]
	f.data = f.data[:size]
	f.synced = len(f.data)
	return nil
}

// List implements wal.FS.
func (d *Disk) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for n := range d.files {
		names = append(names, n)
	}
	sort.Strings(names)
	return names, nil
}

// SyncDir implements wal.FS.
func (d *Disk) SyncDir() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Syncs++
	d.durableNames = make(map[string]*diskFile, len(d.files))
	for n, f := range d.files {
		d.durableNames[n] = f
	}
	return nil
}

// Lock implements wal.FS.
func (d *Disk) Lock() (func(), error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.locked {
		return nil, wal.ErrLocked
	}
	d.locked = true
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.locked = false
	}, nil
}

type diskHandle struct {
	disk *Disk
	file *diskFile
}

func (h *diskHandle) Write(b []byte) (int, error) {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	if h.disk.Full {
		n := len(b) / 2
		h.file.data = append(h.file.data, b[:n]...)
		return n, ErrDiskFull
	}
	h.file.data = append(h.file.data, b...)
	return len(b), nil
}

func (h *diskHandle) Sync() error {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	h.disk.Syncs++
	if h.disk.FailSync {
		h.disk.FailSync = false
		// After a failed fsync the kernel marks the dirty pages clean: they never
		// reach the disk, although later syncs report success.
		h.file.syncFailed = true
		return ErrSyncFailed
	}
	if !h.file.syncFailed {
		h.file.synced = len(h.file.data)
	}
	return nil
}

func (h *diskHandle) Close() error { return nil }
