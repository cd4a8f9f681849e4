package directory

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/wire"
)

// fleetState returns a replica's directory with n ranks that have announced to it.
func fleetState(n int) *State {
	s := New(DefaultSettings(), testStart, 0)
	for i := range n {
		a := upAnnouncement(fmt.Sprintf("i-abcdef%04d", i), 1, 1)
		a.Address, a.FailureDomain, a.Group, a.Rank = "10.128.0.9:8080", "hall-a", "g0-0", uint32(i)
		a.Pools, a.Incarnation = []string{"huvo11a"}, uint64(testStart.UnixNano())
		a.Direct = &wire.DirectUpstream{Slots: 6, GroupEpoch: 1, GroupSize: uint32(n)}
		s.Announce(testStart, a, 0, true)
	}
	return s
}

// transfer applies all pending updates of a view and returns their size in bytes.
func transfer(now time.Time, from, to *State, v *View, src *Source) (size int) {
	for {
		u, more := from.Update(now, v)
		size += proto.Size(u)
		to.Apply(now, src, u)
		if !more {
			return size
		}
	}
}

// Guards against bytes to each gateway that grow with instances x replicas: replicas beyond the first send
// a tenth of the bytes, and vouch for all instances nevertheless.
func TestReferencesTakeATenthOfTheBytes(t *testing.T) {
	for _, n := range []int{100, 1000, 5000} {
		replica, gateway := fleetState(n), New(DefaultSettings(), testStart, 0)
		first, other := &Source{FullCopy: true}, &Source{FullCopy: true}
		whole := transfer(testStart, replica, gateway, &View{}, first)
		short := transfer(testStart, replica, gateway, &View{References: true}, other)
		assert.Assert(t, short*9 <= whole, "%d of %d bytes for %d instances", short, whole, n)
		for _, i := range gateway.Instances(wire.Role_ROLE_UPSTREAM) {
			assert.Assert(t, slices.Contains(i.sources, first) && slices.Contains(i.sources, other))
		}
		assert.Equal(t, len(other.references.since), 0)
	}
}

// Guards against an instance that stays unknown because only a replica that sends references knows it.
func TestUnknownReferenceIsResolvedFromItsSource(t *testing.T) {
	replica, gateway := fleetState(3), New(DefaultSettings(), testStart, 0)
	src := &Source{FullCopy: true}
	transfer(testStart, replica, gateway, &View{References: true}, src)
	assert.Equal(t, gateway.Len(), 0)
	assert.Equal(t, len(src.references.takeOverdue(testStart.Add(resolveDelay-1))), 0)
	overdue := src.references.takeOverdue(testStart.Add(resolveDelay))
	assert.Equal(t, len(overdue), 3)
	gateway.applyResolved(testStart, src, replica.Resolve(testStart, overdue))
	assert.Equal(t, gateway.Len(), 3)
	assert.Assert(t, slices.Contains(gateway.Get("i-abcdef0001").sources, src))
}

// Guards against a replica that vouches for a dead instance for good: it has withdrawn the instance after
// its reference and before the gateway learned from another replica what the reference stands for.
func TestWithdrawnReferenceIsNotVouchedFor(t *testing.T) {
	replica, gateway := fleetState(1), New(DefaultSettings(), testStart, 0)
	src, first := &Source{FullCopy: true}, &Source{FullCopy: true}
	v := &View{References: true}
	transfer(testStart, replica, gateway, v, src)
	now := testStart.Add(DefaultSettings().DefaultLease + time.Second)
	replica.settled = true
	replica.Tick(now)
	transfer(now, replica, gateway, v, src)

	late := fleetState(1)
	transfer(testStart, late, gateway, &View{}, first)
	transfer(now, replica, gateway, v, src)
	i := gateway.Get("i-abcdef0000")
	assert.Assert(t, i != nil && !slices.Contains(i.sources, src))
}

// Guards against references to an earlier incarnation or state that bring it back.
func TestReferenceOfAnEarlierStateChangesNothing(t *testing.T) {
	replica, gateway := fleetState(1), New(DefaultSettings(), testStart, 0)
	old := hashAnnouncement(replica.Get("i-abcdef0000").Announcement)
	src := &Source{FullCopy: true}
	next := upAnnouncement("i-abcdef0000", replica.Get("i-abcdef0000").Incarnation+1, 1)
	gateway.Announce(testStart, next, 0, false)
	gateway.Apply(testStart, src, &wire.DirectoryUpdate{References: []uint64{old}})
	gateway.applyResolved(testStart, src, replica.Resolve(testStart, src.references.takeOverdue(testStart.Add(resolveDelay))))
	assert.Equal(t, gateway.Get("i-abcdef0000").Incarnation, next.Incarnation)
}
