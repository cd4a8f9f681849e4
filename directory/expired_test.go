package directory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/wire"
)

// Only an instance whose lease expired is listed, not one that announced its end, and
// only until it announces again.
func TestExpiredListsInstancesWithExpiredLease(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	n := NewNode(DefaultSettings(), func() time.Time { return now }, nil)
	seq := uint64(0)
	announce := func(id string, phase wire.Phase) {
		seq++
		n.applyAnnouncement(&wire.Announcement{Id: id, Incarnation: 1, Seq: seq, Role: wire.Role_ROLE_ENTRY, Phase: phase, Revision: 7}, 0, true)
	}
	expiredIDs := func() []string {
		n.state.Tick(now)
		list := []string{}
		for _, i := range n.Expired(wire.Role_ROLE_ENTRY) {
			assert.Equal(t, i.Revision, uint64(7))
			list = append(list, i.Id)
		}
		return list
	}
	for _, id := range []string{"goes-on", "leaves", "falls-silent"} {
		announce(id, wire.Phase_PHASE_UP)
	}
	announce("leaves", wire.Phase_PHASE_GONE)
	assert.DeepEqual(t, expiredIDs(), []string{})
	now = now.Add(DefaultSettings().SettleTime)
	announce("goes-on", wire.Phase_PHASE_UP)
	assert.DeepEqual(t, expiredIDs(), []string{"falls-silent"})
	assert.Equal(t, len(n.Expired(wire.Role_ROLE_UPSTREAM)), 0)
	announce("falls-silent", wire.Phase_PHASE_UP)
	assert.DeepEqual(t, expiredIDs(), []string{})
}
