package daemon

import (
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/wire"
)

// Guards against registrations that are restored from a file that is torn, from another time, or written
// before the clock was set back.
func TestSavedRegistrationsAreCheckedBeforeUse(t *testing.T) {
	now := time.Now()
	store := registrationStore{folder: t.TempDir(), wallClock: func() time.Time { return now }}
	list, err := store.load()
	assert.Assert(t, err == nil && list == nil, "there is no file yet")
	assert.NilError(t, store.save([]*wire.Announcement{{Id: "a"}, {Id: "b"}}))
	list, err = store.load()
	assert.NilError(t, err)
	assert.Equal(t, len(list), 2)

	now = now.Add(maxSavedAge + time.Second)
	_, err = store.load()
	assert.ErrorIs(t, err, ErrSaved)
	now = now.Add(-2 * maxSavedAge)
	_, err = store.load()
	assert.ErrorIs(t, err, ErrSaved)

	now = time.Now()
	file, err := os.ReadFile(store.path())
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(store.path(), file[:len(file)-1], 0o600))
	_, err = store.load()
	assert.ErrorIs(t, err, ErrSaved)
}
