package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/evacuation"
	"github.com/snipereach/snipereach/wire"
)

// changingReplica returns a replica that applies and confirms another change each time that its clock is
// read, as its loop may do while a watcher's message is put together. changes is how many there were.
func changingReplica() (r *Replica, changes *uint64) {
	started := time.Unix(1000, 0)
	r, changes = &Replica{started: started}, new(uint64)
	r.evacuations.Store(&evacuation.State{})
	r.clock = func() time.Time {
		*changes++
		r.routingVersion.Store(*changes)
		r.feed.state.Store(&feedState{revision: *changes, ring: &wire.Ring{}})
		r.feed.setConfirmedAt(time.Hour)
		return started.Add(time.Hour)
	}
	r.clock()
	return r, changes
}

// Guards against a watcher that is told that an old version is current: the replica reads the version, applies a
// newer one, and reads an age that already includes it.
func TestWatchedVersionIsNotOlderThanItsAge(t *testing.T) {
	r, changes := changingReplica()
	c := &Control{replica: r, suspicions: newSuspicionStore(r.clock), statements: newStatementStore(r.clock)}
	v, _ := (&routingUpdates{}).next(routingService{&service{c}}, r, true)
	assert.Equal(t, v.ConfirmedAgeMs, uint32(0))
	assert.Equal(t, v.Version, *changes)
}

// Guards against the same in the confirmation that a gateway asks for.
func TestConfirmedVersionIsNotOlderThanItsAge(t *testing.T) {
	r, changes := changingReplica()
	v, err := routingService{&service{&Control{replica: r}}}.Confirm(t.Context(), nil)
	assert.NilError(t, err)
	assert.Equal(t, v.ConfirmedAgeMs, uint32(0))
	assert.Equal(t, v.Version, *changes)
}

// Guards against the same for the rows of the table.
func TestWatchedRevisionIsNotOlderThanItsAge(t *testing.T) {
	r, _ := changingReplica()
	c := &Control{replica: r, identity: &wire.Identity{}}
	u, err := (&service{c}).tableUpdate(t.Context(), r, 1)
	assert.NilError(t, err)
	assert.Equal(t, u.ConfirmedAgeMs, uint32(0))
	assert.Assert(t, u.Revision > 1, "revision %d is said to be current", u.Revision)
}
