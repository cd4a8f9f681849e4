package directory

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/wire"
)

// An upstream that restarts with its clock set back by ten minutes gets a lower
// incarnation number, and its announcements are ignored. The first reply names the
// earlier incarnation, and the next announcement uses a number above it.
func TestRestartWithClockSetBack(t *testing.T) {
	n := NewNode(noSettling(), func() time.Time { return testStart }, nil)
	before := NewIncarnation("u", testStart)
	announce := func(l *Incarnation, seq uint64) *wire.AnnounceReply {
		reply, err := n.Announce(context.Background(), upAnnouncement("u", l.Number(), seq))
		assert.NilError(t, err)
		return reply
	}
	assert.Assert(t, !announce(before, 9).Superseded)

	after := NewIncarnation("u", testStart.Add(-10*time.Minute))
	reply := announce(after, 1)
	assert.Assert(t, reply.Superseded)
	assert.Equal(t, reply.KnownIncarnation, before.Number())
	assert.Assert(t, after.RaiseAbove(reply.KnownIncarnation))
	assert.Assert(t, !announce(after, 2).Superseded)
	assert.Equal(t, n.Instances(wire.Role_ROLE_UPSTREAM)[0].Incarnation, after.Number())
	assert.Assert(t, announce(before, 10).Superseded, "delayed message of the earlier incarnation")
}

// Two processes with the same ID stop raising their incarnation numbers after one change
// each.
func TestTwoProcessesWithSameIDRaiseOnce(t *testing.T) {
	a, b := NewIncarnation("u", testStart), NewIncarnation("u", testStart.Add(time.Second))
	rounds := 0
	for a.RaiseAbove(b.Number()) || b.RaiseAbove(a.Number()) {
		rounds++
		assert.Assert(t, rounds < 10)
	}
	assert.Equal(t, rounds, 2)
	assert.Assert(t, a.Number() != b.Number())
	assert.Assert(t, !b.RaiseAbove(b.Number()), "its own number is not a later incarnation")
}
