package directory

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/wire"
)

// An upstream's host restarts with its clock set back by ten minutes. Callers would get
// no answer from that upstream until its earlier life is forgotten, a while
// later: the announcements of the new life have the lower number and change
// nothing. The first answer names the earlier life, and the second announcement,
// under a number above it, brings the upstream back.
func TestClockSetBackBeforeARestart(t *testing.T) {
	n := NewNode(unsettled(), func() time.Time { return epoch }, nil)
	before := NewLife("u", epoch)
	announce := func(l *Life, seq uint64) *wire.AnnounceReply {
		reply, err := n.Announce(context.Background(), up("u", l.Number(), seq))
		assert.NilError(t, err)
		return reply
	}
	assert.Assert(t, !announce(before, 9).Superseded)

	after := NewLife("u", epoch.Add(-10*time.Minute))
	reply := announce(after, 1)
	assert.Assert(t, reply.Superseded)
	assert.Equal(t, reply.KnownIncarnation, before.Number())
	assert.Assert(t, after.Supersede(reply.KnownIncarnation))
	assert.Assert(t, !announce(after, 2).Superseded)
	assert.Equal(t, n.Instances(wire.Role_ROLE_UPSTREAM)[0].Incarnation, after.Number())
	assert.Assert(t, announce(before, 10).Superseded, "a late message of the earlier life")
}

// Two processes were given one ID. Each is told of the other; after one change of
// number each, one of them is known for good, and they don't go on for ever.
func TestTwoProcessesWithOneIDSettle(t *testing.T) {
	a, b := NewLife("u", epoch), NewLife("u", epoch.Add(time.Second))
	rounds := 0
	for a.Supersede(b.Number()) || b.Supersede(a.Number()) {
		rounds++
		assert.Assert(t, rounds < 10)
	}
	assert.Equal(t, rounds, 2)
	assert.Assert(t, a.Number() != b.Number())
	assert.Assert(t, !b.Supersede(b.Number()), "its own number is no later life")
}
