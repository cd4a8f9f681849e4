package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/evacuation"
	"github.com/snipereach/snipereach/wire"
)

// A watcher that is behind gets all rows changed since its revision, never a part of an
// edit, or is told to fetch the whole table.
func TestFeedReturnsAllChangesOrNone(t *testing.T) {
	var f feed
	f.reset(10, &wire.Ring{}, time.Time{})
	const edits = 3 * maxKeptChanges
	for i := range uint64(edits) {
		rev := 11 + i
		f.add(rev, []*wire.Row{{Key: "a", Revision: rev}, {Key: "b", Revision: rev}}, &wire.Ring{}, time.Time{})
	}
	st := f.state.Load()
	last := uint64(10 + edits)
	assert.Equal(t, st.revision, last)
	for _, lag := range []uint64{0, 1, 2, 100, maxKeptChanges / 2} {
		rows, ok := st.since(last - lag)
		assert.Assert(t, ok)
		assert.Equal(t, uint64(len(rows)), 2*lag)
	}
	_, ok := st.since(11)
	assert.Assert(t, !ok, "the changes are no longer kept")
	_, ok = st.since(last + 1)
	assert.Assert(t, !ok, "the revision is unknown")
	assert.Assert(t, len(st.changes) <= maxKeptChanges*5/4+2)
}

// The confirmed age must not wrap around to zero when it exceeds the range of the message
// field: a gateway would take the stale configuration of an isolated replica for current.
func TestConfirmedAgeStaysLargeAfterLongIsolation(t *testing.T) {
	started := time.Now()
	for _, isolated := range []time.Duration{time.Hour, 49 * 24 * time.Hour, 50 * 24 * time.Hour, 400 * 24 * time.Hour} {
		r := &Replica{started: started}
		r.clock = func() time.Time { return started.Add(isolated) }
		r.feed.reset(1, &wire.Ring{}, started)
		r.evacuations.Store(&evacuation.State{})
		c := &Control{suspicions: newSuspicionStore(time.Now), statements: newStatementStore(time.Now)}
		v, _ := new(routingUpdates).next(routingService{&service{c}}, r, true)
		age := time.Duration(v.ConfirmedAgeMs) * time.Millisecond
		assert.Assert(t, age >= min(isolated, 24*24*time.Hour), "%s after %s", age, isolated)
	}
}
