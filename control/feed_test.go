package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/wire"
)

// A watcher that lags by any number of edits gets every row that changed since,
// whole edits only, or is told to take the whole table.
func TestFeedGivesEveryChangeOrNone(t *testing.T) {
	var f feed
	f.reset(10, &wire.Ring{}, time.Time{})
	const edits = 3 * keptChanges
	for i := range uint64(edits) {
		rev := 11 + i
		f.add(rev, []*wire.Row{{Key: "a", Revision: rev}, {Key: "b", Revision: rev}}, &wire.Ring{}, time.Time{})
	}
	st := f.state.Load()
	last := uint64(10 + edits)
	assert.Equal(t, st.revision, last)
	for _, lag := range []uint64{0, 1, 2, 100, keptChanges / 2} {
		rows, ok := st.since(last - lag)
		assert.Assert(t, ok)
		assert.Equal(t, uint64(len(rows)), 2*lag)
	}
	_, ok := st.since(11)
	assert.Assert(t, !ok, "too far behind")
	_, ok = st.since(last + 1)
	assert.Assert(t, !ok, "of another history")
	assert.Assert(t, len(st.changes) <= keptChanges*5/4+2)
}
