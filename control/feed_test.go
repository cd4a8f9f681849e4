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

// sentVersions keeps what a watch of the configuration sends.
type sentVersions struct {
	wire.DRPCRouting_WatchStream
	sent []*wire.RoutingVersion
}

func (s *sentVersions) Send(v *wire.RoutingVersion) error {
	s.sent = append(s.sent, v)
	return nil
}

// A gateway starts beside a replica that has been alone for longer than the
// message's field counts. It must not take the replica's configuration for the
// current one, so the age stays large: it doesn't begin again at zero.
func TestAgeOfALonelyReplicaStaysLarge(t *testing.T) {
	started := time.Now()
	for _, alone := range []time.Duration{time.Hour, 49 * 24 * time.Hour, 50 * 24 * time.Hour, 400 * 24 * time.Hour} {
		r := &Replica{started: started}
		r.clock = func() time.Time { return started.Add(alone) }
		r.feed.reset(1, &wire.Ring{}, started)
		var stream sentVersions
		assert.NilError(t, sendVersion(&stream, r, 1, time.Second, nil))
		age := time.Duration(stream.sent[0].ConfirmedAgeMs) * time.Millisecond
		assert.Assert(t, age >= min(alone, 24*24*time.Hour), "%s after %s", age, alone)
	}
}
