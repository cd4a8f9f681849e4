package wal_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/fake"
	"github.com/snipereach/snipereach/wal"
	"github.com/snipereach/snipereach/wire"
)

func entries(from, to uint64, term uint64) []*wire.LogEntry {
	var list []*wire.LogEntry
	for i := from; i <= to; i++ {
		list = append(list, &wire.LogEntry{Index: i, Term: term, Data: []byte(fmt.Sprintf("row %d of term %d", i, term))})
	}
	return list
}

func open(t *testing.T, fs wal.FS) (*wal.Journal, *wal.State) {
	t.Helper()
	j, st, err := wal.Open(fs)
	assert.NilError(t, err)
	return j, st
}

func fill(t *testing.T, d *fake.Disk) *wal.Journal {
	t.Helper()
	j, st := open(t, d)
	assert.Assert(t, st.Identity == nil)
	assert.NilError(t, j.WriteIdentity(&wire.Identity{Name: "c1", Incarnation: "x"}))
	assert.NilError(t, j.Append(&wire.HardState{Term: 1, Vote: "c1/x"}, entries(1, 5, 1)))
	assert.NilError(t, j.Append(nil, entries(6, 8, 1)))
	return j
}

func logFile(t *testing.T, d *fake.Disk) string {
	t.Helper()
	names, err := d.List()
	assert.NilError(t, err)
	for _, n := range names {
		if strings.HasPrefix(n, "log-") {
			return n
		}
	}
	t.Fatal("no segment")
	return ""
}

// Power is lost while a batch is written; the disk keeps any part of it. All
// that was acknowledged before is there, and of the batch a prefix.
func TestTornWriteLosesNothingAcknowledged(t *testing.T) {
	for keep := 0; ; keep++ {
		d := fake.NewDisk()
		j := fill(t, d)
		before := d.Size(logFile(t, d))
		d.FailSync = true
		assert.ErrorIs(t, j.Append(nil, entries(9, 11, 1)), wal.ErrWrite)
		written := d.Size(logFile(t, d)) - before
		d.Crash(keep)
		j2, st := open(t, d)
		assert.Assert(t, len(st.Entries) >= 8, "keep %d", keep)
		for i, e := range st.Entries {
			assert.Equal(t, e.Index, uint64(i+1))
		}
		assert.NilError(t, j2.Append(nil, entries(uint64(len(st.Entries)+1), 20, 2)))
		j2.Close()
		_, again := open(t, d)
		assert.Equal(t, len(again.Entries), 20, "keep %d", keep)
		if keep > written {
			return
		}
	}
}

// One bit flips in a segment, an identity or a snapshot. Opening never yields
// other records than were written: it fails, naming the damage.
func TestFlippedBitIsNeverSkipped(t *testing.T) {
	d := fake.NewDisk()
	fill(t, d).Close()
	names, _ := d.List()
	for _, name := range names {
		for bit := range d.Size(name) * 8 {
			c := d.Clone()
			c.Flip(name, bit)
			_, _, err := wal.Open(c)
			assert.ErrorIs(t, err, wal.ErrCorrupt, "%s bit %d", name, bit)
		}
	}
}

// A sync fails once and the next one would succeed. The journal takes nothing
// more, because the second success would say nothing about the first write.
func TestFailedSyncIsNotRetried(t *testing.T) {
	d := fake.NewDisk()
	j := fill(t, d)
	d.FailSync = true
	assert.ErrorIs(t, j.Append(nil, entries(9, 9, 1)), wal.ErrWrite)
	assert.ErrorIs(t, j.Append(nil, entries(10, 10, 1)), wal.ErrFailed)
	assert.ErrorIs(t, j.Compact(&wire.LogSnapshot{Index: 4}, nil, nil), wal.ErrFailed)
	d.Crash(0)
	_, st := open(t, d)
	assert.Equal(t, len(st.Entries), 8)
}

func TestFullDiskStopsTheJournal(t *testing.T) {
	d := fake.NewDisk()
	j := fill(t, d)
	d.Full = true
	assert.ErrorIs(t, j.Append(nil, entries(9, 9, 1)), wal.ErrWrite)
	d.Full = false
	assert.ErrorIs(t, j.Append(nil, entries(9, 9, 1)), wal.ErrFailed)
	d.Crash(1000)
	_, st := open(t, d)
	assert.Equal(t, len(st.Entries), 8)
}

// The process crashes at each sync of a compaction. Afterwards the folder holds
// the state before it or after it, and no entry that it replaced.
func TestCrashDuringCompactionKeepsOneState(t *testing.T) {
	whole := fake.NewDisk()
	j := fill(t, whole)
	before := whole.Syncs
	snap := &wire.LogSnapshot{Index: 6, Term: 2, Data: []byte("state")}
	assert.NilError(t, j.Compact(snap, &wire.HardState{Term: 2}, entries(7, 7, 2)))
	steps := whole.Syncs - before
	assert.Assert(t, steps >= 4)
	for stop := range steps {
		d := fake.NewDisk()
		j := fill(t, d)
		crash := &crashingDisk{Disk: d, left: stop}
		j.Close()
		j, _ = open(t, crash)
		crash.armed = true
		err := j.Compact(snap, &wire.HardState{Term: 2}, entries(7, 7, 2))
		assert.Assert(t, err != nil, "stop %d", stop)
		d.Crash(0)
		_, st := open(t, d)
		if st.Snapshot == nil {
			assert.Equal(t, len(st.Entries), 8)
			continue
		}
		assert.Equal(t, st.Snapshot.Index, uint64(6))
		last := st.Entries[len(st.Entries)-1]
		assert.Assert(t, last.Index == 7 && last.Term == 2 || last.Index == 8 && last.Term == 1, "stop %d: %v", stop, last)
	}
}

func TestSecondProcessIsRefused(t *testing.T) {
	fs, err := wal.OpenFolder(t.TempDir())
	assert.NilError(t, err)
	j, _ := open(t, fs)
	_, _, err = wal.Open(fs)
	assert.ErrorIs(t, err, wal.ErrLocked)
	j.Close()
	j, _ = open(t, fs)
	j.Close()
}

func TestRealFolderKeepsRecords(t *testing.T) {
	dir := t.TempDir()
	fs, err := wal.OpenFolder(dir)
	assert.NilError(t, err)
	j, _ := open(t, fs)
	assert.NilError(t, j.WriteIdentity(&wire.Identity{Name: "c1"}))
	assert.NilError(t, j.Append(&wire.HardState{Term: 3}, entries(1, 50, 3)))
	assert.NilError(t, j.Compact(&wire.LogSnapshot{Index: 40, Term: 3, Data: []byte("s")}, nil, entries(41, 50, 3)))
	assert.NilError(t, j.Append(nil, entries(48, 60, 4)))
	j.Close()
	_, st := open(t, fs)
	assert.Equal(t, st.Identity.Name, "c1")
	assert.Equal(t, st.Snapshot.Index, uint64(40))
	assert.Equal(t, st.Hard.Term, uint64(3))
	assert.Equal(t, len(st.Entries), 20)
	assert.Equal(t, st.Entries[7].Term, uint64(4))
}

// crashingDisk fails every sync after a number of them.
type crashingDisk struct {
	*fake.Disk
	armed bool
	left  int
}

func (c *crashingDisk) spend() error {
	if !c.armed {
		return nil
	}
	if c.left == 0 {
		return fake.ErrSyncFailed
	}
	c.left--
	return nil
}

func (c *crashingDisk) SyncDir() error {
	if err := c.spend(); err != nil {
		return err
	}
	return c.Disk.SyncDir()
}

func (c *crashingDisk) Create(name string) (wal.File, error) {
	f, err := c.Disk.Create(name)
	return &crashingFile{f, c}, err
}

type crashingFile struct {
	wal.File
	disk *crashingDisk
}

func (f *crashingFile) Sync() error {
	if err := f.disk.spend(); err != nil {
		return err
	}
	return f.File.Sync()
}
