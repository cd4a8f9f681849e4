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

func openJournal(t *testing.T, fs wal.FS) (*wal.Journal, *wal.State) {
	t.Helper()
	j, st, err := wal.Open(fs)
	assert.NilError(t, err)
	return j, st
}

func newFilledJournal(t *testing.T, d *fake.Disk) *wal.Journal {
	t.Helper()
	j, st := openJournal(t, d)
	assert.Assert(t, st.Identity == nil)
	assert.NilError(t, j.WriteIdentity(&wire.Identity{Name: "c1", Incarnation: "x"}))
	assert.NilError(t, j.Append(&wire.HardState{Term: 1, Vote: "c1/x"}, entries(1, 5, 1)))
	assert.NilError(t, j.Append(nil, entries(6, 8, 1)))
	return j
}

func segmentFile(t *testing.T, d *fake.Disk) string {
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

// A power loss tears a batch at any byte. All acknowledged records are recovered, and a
// prefix of the batch.
func TestTornWriteKeepsAcknowledgedRecords(t *testing.T) {
	for keep := 0; ; keep++ {
		d := fake.NewDisk()
		j := newFilledJournal(t, d)
		before := d.Size(segmentFile(t, d))
		d.FailSync = true
		assert.ErrorIs(t, j.Append(nil, entries(9, 11, 1)), wal.ErrWrite)
		written := d.Size(segmentFile(t, d)) - before
		d.Crash(keep)
		j2, st := openJournal(t, d)
		assert.Assert(t, len(st.Entries) >= 8, "keep %d", keep)
		for i, e := range st.Entries {
			assert.Equal(t, e.Index, uint64(i+1))
		}
		assert.NilError(t, j2.Append(nil, entries(uint64(len(st.Entries)+1), 20, 2)))
		j2.Close()
		_, again := openJournal(t, d)
		assert.Equal(t, len(again.Entries), 20, "keep %d", keep)
		if keep > written {
			return
		}
	}
}

// One bit flips in any file. Opening the folder fails with ErrCorrupt and never returns
// other records than were written.
func TestFlippedBitIsReported(t *testing.T) {
	d := fake.NewDisk()
	newFilledJournal(t, d).Close()
	names, _ := d.List()
	for _, name := range names {
		for bit := range d.Size(name) * 8 {
			c := d.Clone()
			c.FlipBit(name, bit)
			_, _, err := wal.Open(c)
			assert.ErrorIs(t, err, wal.ErrCorrupt, "%s bit %d", name, bit)
		}
	}
}

// A journal rejects all writes after a failed sync, even if the next sync would succeed:
// that says nothing about the failed write.
func TestFailedSyncIsNotRetried(t *testing.T) {
	d := fake.NewDisk()
	j := newFilledJournal(t, d)
	d.FailSync = true
	assert.ErrorIs(t, j.Append(nil, entries(9, 9, 1)), wal.ErrWrite)
	assert.ErrorIs(t, j.Append(nil, entries(10, 10, 1)), wal.ErrFailed)
	assert.ErrorIs(t, j.Compact(&wire.LogSnapshot{Index: 4}, nil, nil), wal.ErrFailed)
	d.Crash(0)
	_, st := openJournal(t, d)
	assert.Equal(t, len(st.Entries), 8)
}

func TestFullDiskStopsJournal(t *testing.T) {
	d := fake.NewDisk()
	j := newFilledJournal(t, d)
	d.Full = true
	assert.ErrorIs(t, j.Append(nil, entries(9, 9, 1)), wal.ErrWrite)
	d.Full = false
	assert.ErrorIs(t, j.Append(nil, entries(9, 9, 1)), wal.ErrFailed)
	d.Crash(1000)
	_, st := openJournal(t, d)
	assert.Equal(t, len(st.Entries), 8)
}

// The process crashes at each sync of a compaction. The folder holds the state before or
// after the compaction, without the entries that the snapshot replaced.
func TestCrashDuringCompactionKeepsOneState(t *testing.T) {
	whole := fake.NewDisk()
	j := newFilledJournal(t, whole)
	before := whole.Syncs
	snap := &wire.LogSnapshot{Index: 6, Term: 2, Data: []byte("state")}
	assert.NilError(t, j.Compact(snap, &wire.HardState{Term: 2}, entries(7, 7, 2)))
	steps := whole.Syncs - before
	assert.Assert(t, steps >= 4)
	for stop := range steps {
		d := fake.NewDisk()
		j := newFilledJournal(t, d)
		crash := &failingSyncDisk{Disk: d, syncsLeft: stop}
		j.Close()
		j, _ = openJournal(t, crash)
		crash.armed = true
		err := j.Compact(snap, &wire.HardState{Term: 2}, entries(7, 7, 2))
		assert.Assert(t, err != nil, "stop %d", stop)
		d.Crash(0)
		_, st := openJournal(t, d)
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
	j, _ := openJournal(t, fs)
	_, _, err = wal.Open(fs)
	assert.ErrorIs(t, err, wal.ErrLocked)
	j.Close()
	j, _ = openJournal(t, fs)
	j.Close()
}

func TestRealFolderKeepsRecords(t *testing.T) {
	dir := t.TempDir()
	fs, err := wal.OpenFolder(dir)
	assert.NilError(t, err)
	j, _ := openJournal(t, fs)
	assert.NilError(t, j.WriteIdentity(&wire.Identity{Name: "c1"}))
	assert.NilError(t, j.Append(&wire.HardState{Term: 3}, entries(1, 50, 3)))
	assert.NilError(t, j.Compact(&wire.LogSnapshot{Index: 40, Term: 3, Data: []byte("s")}, nil, entries(41, 50, 3)))
	assert.NilError(t, j.Append(nil, entries(48, 60, 4)))
	j.Close()
	_, st := openJournal(t, fs)
	assert.Equal(t, st.Identity.Name, "c1")
	assert.Equal(t, st.Snapshot.Index, uint64(40))
	assert.Equal(t, st.HardState.Term, uint64(3))
	assert.Equal(t, len(st.Entries), 20)
	assert.Equal(t, st.Entries[7].Term, uint64(4))
}

// failingSyncDisk fails every sync after syncsLeft further ones, once it is armed.
type failingSyncDisk struct {
	*fake.Disk
	armed     bool
	syncsLeft int
}

func (c *failingSyncDisk) countSync() error {
	if !c.armed {
		return nil
	}
	if c.syncsLeft == 0 {
		return fake.ErrSyncFailed
	}
	c.syncsLeft--
	return nil
}

func (c *failingSyncDisk) SyncDir() error {
	if err := c.countSync(); err != nil {
		return err
	}
	return c.Disk.SyncDir()
}

func (c *failingSyncDisk) Create(name string) (wal.File, error) {
	f, err := c.Disk.Create(name)
	return &failingSyncFile{f, c}, err
}

type failingSyncFile struct {
	wal.File
	disk *failingSyncDisk
}

func (f *failingSyncFile) Sync() error {
	if err := f.disk.countSync(); err != nil {
		return err
	}
	return f.File.Sync()
}

// A replica restarts with a full segment. The journal must still report it as full;
// otherwise the segment would grow with each restart.
func TestReopenedSegmentKeepsItsSize(t *testing.T) {
	d := fake.NewDisk()
	j := newFilledJournal(t, d)
	large := []*wire.LogEntry{{Index: 9, Term: 1, Data: make([]byte, 16<<20)}}
	assert.Assert(t, !j.SegmentFull())
	assert.NilError(t, j.Append(nil, large))
	assert.Assert(t, j.SegmentFull())
	j.Close()
	j, _ = openJournal(t, d)
	assert.Assert(t, j.SegmentFull())
	assert.NilError(t, j.Compact(&wire.LogSnapshot{Index: 9, Term: 1}, nil, nil))
	assert.Assert(t, !j.SegmentFull())
}
