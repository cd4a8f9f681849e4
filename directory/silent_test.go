package directory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/wire"
)

// Of three entries one says that it is gone, one falls silent, one goes on. Only
// the silent one may still be serving somewhere with what it knew last; it is no
// longer named once it is heard again.
func TestSilentIsNotGone(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	n := NewNode(DefaultSettings(), func() time.Time { return now }, nil)
	seq := uint64(0)
	say := func(id string, phase wire.Phase) {
		seq++
		n.take(&wire.Announcement{Id: id, Incarnation: 1, Seq: seq, Role: wire.Role_ROLE_ENTRY, Phase: phase, Revision: 7}, 0, true)
	}
	names := func() []string {
		n.state.Tick(now)
		list := []string{}
		for _, i := range n.Silent(wire.Role_ROLE_ENTRY) {
			assert.Equal(t, i.Revision, uint64(7))
			list = append(list, i.Id)
		}
		return list
	}
	for _, id := range []string{"goes-on", "leaves", "falls-silent"} {
		say(id, wire.Phase_PHASE_UP)
	}
	say("leaves", wire.Phase_PHASE_GONE)
	assert.DeepEqual(t, names(), []string{})
	now = now.Add(DefaultSettings().SettleTime)
	say("goes-on", wire.Phase_PHASE_UP)
	assert.DeepEqual(t, names(), []string{"falls-silent"})
	assert.Equal(t, len(n.Silent(wire.Role_ROLE_UPSTREAM)), 0)
	say("falls-silent", wire.Phase_PHASE_UP)
	assert.DeepEqual(t, names(), []string{})
}
