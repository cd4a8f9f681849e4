package table

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/wire"
)

var now = time.Unix(1000, 0)

func poolUpdate(rev uint64, slots string) *wire.TableUpdate {
	return &wire.TableUpdate{
		Revision: rev, Cluster: "c",
		Rows: []*wire.Row{{Kind: KindPool, Key: "lm", Revision: rev, Columns: map[string]string{"slots": slots}}},
	}
}

// After a restart, a lagging replica must bring no row into effect that was replaced before the start,
// and take none back later.
func TestLaggingReplicaNeverRevertsRows(t *testing.T) {
	f := NewFollower()
	v, err := f.Apply(now, poolUpdate(3, "3"))
	assert.NilError(t, err)
	assert.Assert(t, v == nil, "before the linearizable read nothing is in force")
	assert.NilError(t, f.SetFloor("c", 7))
	v, err = f.Apply(now, poolUpdate(5, "5"))
	assert.NilError(t, err)
	assert.Assert(t, v == nil, "revision 7 was accepted before the start")
	v, err = f.Apply(now, poolUpdate(8, "8"))
	assert.NilError(t, err)
	assert.Equal(t, v.Pools["lm"].Slots, 8)
	v, err = f.Apply(now, poolUpdate(5, "5"))
	assert.NilError(t, err)
	assert.Assert(t, v == nil)
	assert.Equal(t, f.Revision(), uint64(8))
}

// An address may be reused by a host of another cluster.
func TestFollowerRejectsForeignCluster(t *testing.T) {
	f := NewFollower()
	assert.NilError(t, f.SetFloor("c", 1))
	u := poolUpdate(9, "9")
	u.Cluster = "d"
	_, err := f.Apply(now, u)
	assert.ErrorIs(t, err, ErrForeignCluster)
	assert.ErrorIs(t, f.SetFloor("d", 1), ErrForeignCluster)
}

func TestConfirmedIsMonotonic(t *testing.T) {
	f := NewFollower()
	assert.NilError(t, f.SetFloor("c", 0))
	u := poolUpdate(1, "1")
	_, err := f.Apply(now, u)
	assert.NilError(t, err)
	assert.Equal(t, f.ConfirmedAt(), now)
	late := &wire.TableUpdate{Revision: 1, Cluster: "c", ConfirmedAgeMs: 5000}
	_, err = f.Apply(now.Add(time.Second), late)
	assert.NilError(t, err)
	assert.Equal(t, f.ConfirmedAt(), now)
}
