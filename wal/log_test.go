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

func named(name string) proto.Message { return &wire.Identity{Name: name} }

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

func fillLog(t *testing.T, fs wal.FS) *wal.Log {
	l, list, err := readLog(t, fs)
	assert.NilError(t, err)
	assert.Equal(t, len(list), 0)
	for file := range 3 {
		assert.NilError(t, l.Start(named(fmt.Sprint(file, "-0"))))
		assert.NilError(t, l.Append(named(fmt.Sprint(file, "-1")), named(fmt.Sprint(file, "-2"))))
	}
	return l
}

func TestLogKeepsItsOrderAndDropsOldFiles(t *testing.T) {
	d := fake.NewDisk()
	l := fillLog(t, d)
	assert.NilError(t, l.DropBefore(2))
	d.Crash(0)
	l, list, err := readLog(t, d)
	assert.NilError(t, err)
	assert.DeepEqual(t, list, []string{"1-0", "1-1", "1-2", "2-0", "2-1", "2-2"})
	assert.Assert(t, l.First() == 2 && l.Number() == 3)
}

// Power is lost in a write, and the log goes on in a new file. The torn end must
// be gone by then: in the middle of the log it would be damage.
func TestLogCutsATornEndOnce(t *testing.T) {
	for keep := range 30 {
		d := fake.NewDisk()
		l := fillLog(t, d)
		d.FailSync = true
		assert.ErrorIs(t, l.Append(named("lost")), wal.ErrWrite)
		d.Crash(keep)
		l, before, err := readLog(t, d)
		assert.NilError(t, err)
		assert.Assert(t, len(before) >= 9)
		assert.NilError(t, l.Start(named("new")))
		d.Crash(0)
		_, after, err := readLog(t, d)
		assert.NilError(t, err)
		assert.DeepEqual(t, after, append(before, "new"))
	}
}

// A bit flips, or a file in the middle is gone: the log says so, and can begin
// anew without the damaged files.
func TestDamagedLogSaysSo(t *testing.T) {
	whole := fake.NewDisk()
	fillLog(t, whole).Close()
	names, _ := whole.List()
	damaged := map[string]*fake.Disk{}
	for _, name := range names {
		for bit := range whole.Size(name) * 8 {
			c := whole.Clone()
			c.Flip(name, bit)
			damaged[fmt.Sprint(name, " bit ", bit)] = c
		}
	}
	gap := whole.Clone()
	assert.NilError(t, gap.Remove(names[1]))
	damaged["gap"] = gap
	for what, d := range damaged {
		l, _, err := readLog(t, d)
		assert.ErrorIs(t, err, wal.ErrCorrupt, what)
		assert.NilError(t, l.Start(named("new")))
		assert.NilError(t, l.DropBefore(l.Number()))
		d.Crash(0)
		_, list, err := readLog(t, d)
		assert.NilError(t, err)
		assert.DeepEqual(t, list, []string{"new"})
	}
}

// A sync fails once and the next would succeed: the log takes nothing more.
func TestFailedLogTakesNothingMore(t *testing.T) {
	d := fake.NewDisk()
	l := fillLog(t, d)
	d.FailSync = true
	assert.ErrorIs(t, l.Append(named("lost")), wal.ErrWrite)
	for _, err := range []error{l.Append(named("x")), l.Start(named("x")), l.DropBefore(2)} {
		assert.Assert(t, errors.Is(err, wal.ErrFailed))
	}
}
