package wal_test

import (
	"errors"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/fake"
	"github.com/snipereach/snipereach/wal"
	"github.com/snipereach/snipereach/wire"
)

func namedRecord(name string) proto.Message { return &wire.Identity{Name: name} }

// readLog opens a log and returns the names of its records.
func readLog(t *testing.T, fs wal.FS) (*wal.Log, []string, error) {
	t.Helper()
	var list []string
	l, err := wal.OpenLog(fs, func(payload []byte) error {
		rec := &wire.Identity{}
		assert.NilError(t, proto.Unmarshal(payload, rec))
		list = append(list, rec.Name)
		return nil
	})
	return l, list, err
}

func newFilledLog(t *testing.T, fs wal.FS) *wal.Log {
	l, list, err := readLog(t, fs)
	assert.NilError(t, err)
	assert.Equal(t, len(list), 0)
	for file := range 3 {
		assert.NilError(t, l.StartFile(namedRecord(fmt.Sprint(file, "-0"))))
		assert.NilError(t, l.Append(namedRecord(fmt.Sprint(file, "-1")), namedRecord(fmt.Sprint(file, "-2"))))
	}
	return l
}

func TestLogKeepsOrderAndDropsOldFiles(t *testing.T) {
	d := fake.NewDisk()
	l := newFilledLog(t, d)
	assert.NilError(t, l.DropBefore(2))
	d.Crash(0)
	l, list, err := readLog(t, d)
	assert.NilError(t, err)
	assert.DeepEqual(t, list, []string{"1-0", "1-1", "1-2", "2-0", "2-1", "2-2"})
	assert.Assert(t, l.FirstFile() == 2 && l.LastFile() == 3)
}

// A write is torn by a power loss, and the log continues in a new file. The torn write
// must be cut off before that: in any file but the last one it counts as damage.
func TestLogTruncatesTornTail(t *testing.T) {
	for keep := range 30 {
		d := fake.NewDisk()
		l := newFilledLog(t, d)
		d.FailSync = true
		assert.ErrorIs(t, l.Append(namedRecord("lost")), wal.ErrWrite)
		d.Crash(keep)
		l, before, err := readLog(t, d)
		assert.NilError(t, err)
		assert.Assert(t, len(before) >= 9)
		assert.NilError(t, l.StartFile(namedRecord("new")))
		d.Crash(0)
		_, after, err := readLog(t, d)
		assert.NilError(t, err)
		assert.DeepEqual(t, after, append(before, "new"))
	}
}

// A flipped bit or a missing file is reported as ErrCorrupt, and the log can be started
// again without the damaged files.
func TestDamagedLogIsReportedAndCanRestart(t *testing.T) {
	whole := fake.NewDisk()
	newFilledLog(t, whole).Close()
	names, _ := whole.List()
	damaged := map[string]*fake.Disk{}
	for _, name := range names {
		for bit := range whole.Size(name) * 8 {
			c := whole.Clone()
			c.FlipBit(name, bit)
			damaged[fmt.Sprint(name, " bit ", bit)] = c
		}
	}
	gap := whole.Clone()
	assert.NilError(t, gap.Remove(names[1]))
	damaged["gap"] = gap
	for what, d := range damaged {
		l, _, err := readLog(t, d)
		assert.ErrorIs(t, err, wal.ErrCorrupt, what)
		assert.NilError(t, l.StartFile(namedRecord("new")))
		assert.NilError(t, l.DropBefore(l.LastFile()))
		d.Crash(0)
		_, list, err := readLog(t, d)
		assert.NilError(t, err)
		assert.DeepEqual(t, list, []string{"new"})
	}
}

// A log rejects all writes after one failed sync, even if the next sync would succeed.
func TestFailedLogRejectsWrites(t *testing.T) {
	d := fake.NewDisk()
	l := newFilledLog(t, d)
	d.FailSync = true
	assert.ErrorIs(t, l.Append(namedRecord("lost")), wal.ErrWrite)
	for _, err := range []error{l.Append(namedRecord("x")), l.StartFile(namedRecord("x")), l.DropBefore(2)} {
		assert.Assert(t, errors.Is(err, wal.ErrFailed))
	}
}

// A Log and a Journal may share a folder, and each is opened again after an error while the other writes. Neither may
// remove the temporary file that the other is about to rename.
func TestLogAndJournalLeaveEachOthersTemporaryFiles(t *testing.T) {
	const ofLog, ofJournal = "records-00000000000000000007.tmp", "snapshot-9.tmp"
	create := func(d *fake.Disk, name string) {
		f, err := d.Create(name)
		assert.NilError(t, err)
		assert.NilError(t, f.Close())
	}
	d := fake.NewDisk()
	create(d, ofLog)
	j, _, err := wal.Open(d)
	assert.NilError(t, err)
	j.Close()
	assert.Assert(t, d.Size(ofLog) >= 0, "the journal removed a file of the log")
	create(d, ofJournal)
	l, _, err := readLog(t, d)
	assert.NilError(t, err)
	l.Close()
	assert.Assert(t, d.Size(ofJournal) >= 0, "the log removed a file of the journal")
	assert.Equal(t, d.Size(ofLog), -1)
}
