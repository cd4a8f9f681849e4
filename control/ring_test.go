package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/claim"
	"github.com/snipereach/snipereach/wire"
)

// ringMember returns the entry with an ID such as "a1", in failure domain "a". An entry with an
// upper-case ID has a data folder.
func ringMember(id string) *wire.RingMember {
	domain := id[0]
	durable := domain < 'a'
	if durable {
		domain += 'a' - 'A'
	}
	return &wire.RingMember{Id: id, FailureDomain: string(domain), Durable: durable, Incarnation: 1}
}

func ringMembers(ids ...string) []*wire.RingMember {
	var list []*wire.RingMember
	for _, id := range ids {
		list = append(list, ringMember(id))
	}
	return list
}

func ringMemberIDs(r *wire.Ring) []string {
	var list []string
	for _, m := range r.GetMembers() {
		list = append(list, m.Id)
	}
	return list
}

// ringSim simulates a leader's ring decisions in virtual time.
type ringSim struct {
	tracker ringTracker
	ring    *wire.Ring
	began   time.Time
	now     time.Time
}

// advance simulates a time with these entries up and returns the number of ring changes.
func (r *ringSim) advance(d time.Duration, up []*wire.RingMember) (changes int) {
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(time.Second) {
		r.tracker.recordLive(up, r.now)
		if next := r.tracker.nextRing(r.ring, up, r.began, r.now); next != nil {
			r.ring = next
			changes++
		}
		r.tracker.setEpoch(r.ring.Epoch, r.now)
	}
	return changes
}

func newRingSim() *ringSim {
	at := time.Unix(1000, 0)
	return &ringSim{ring: &wire.Ring{}, began: at, now: at}
}

func jointPeriod() time.Duration { return claim.JointPeriod(claim.DefaultRegisterSettings().MaxTTL) }

func TestRingPrefersDurableEntries(t *testing.T) {
	r := newRingSim()
	r.advance(time.Minute, ringMembers("A1", "a2", "B1", "b2", "C1", "c2"))
	assert.DeepEqual(t, ringMemberIDs(r.ring), []string{"A1", "B1", "C1"})

	// Only two failure domains have durable entries.
	r = newRingSim()
	r.advance(time.Minute, ringMembers("A1", "a2", "B1", "b2", "c2"))
	assert.DeepEqual(t, ringMemberIDs(r.ring), []string{"A1", "B1", "a2", "b2", "c2"})
}

// When entries become durable, the ring changes at most once in a joint period, and the
// members that stay keep the incarnation with which they joined the ring.
func TestRingAdoptsNewDurableEntriesOncePerJointPeriod(t *testing.T) {
	r := newRingSim()
	r.advance(time.Minute, ringMembers("a1", "a2", "b1", "c1"))
	later := ringMembers("a1", "a2", "b1", "c1")
	for _, m := range later {
		m.Durable, m.Incarnation = m.Id != "a2", 2
	}
	assert.Equal(t, r.advance(jointPeriod()-2*time.Minute, later), 0)
	assert.Equal(t, r.advance(4*time.Minute, later), 1)
	assert.DeepEqual(t, ringMemberIDs(r.ring), []string{"a1", "b1", "c1"})
	assert.Equal(t, r.ring.Members[0].Incarnation, uint64(1))
	assert.Equal(t, len(r.ring.Previous), 4)
}

// A lost durable member is not replaced by entries that aren't durable until
// durableRingLeaveDelay has passed.
func TestRingKeepsLostDurableEntryForAnHour(t *testing.T) {
	r := newRingSim()
	r.advance(2*jointPeriod(), ringMembers("A1", "B1", "b2", "C1"))
	left := ringMembers("B1", "b2", "C1")
	assert.Equal(t, r.advance(durableRingLeaveDelay-time.Minute, left), 0)
	assert.Equal(t, r.advance(2*time.Minute, left), 1)
	assert.DeepEqual(t, ringMemberIDs(r.ring), []string{"B1", "C1", "b2"})
}

// A durable entry in the failure domain of a lost durable member joins at the next possible
// change, and the lost member leaves with the change after it.
func TestRingReplacesLostDurableEntryInSameDomain(t *testing.T) {
	r := newRingSim()
	r.advance(2*jointPeriod(), ringMembers("A1", "B1", "C1"))
	assert.Equal(t, r.advance(jointPeriod()+time.Minute, ringMembers("A2", "B1", "C1")), 2)
	assert.DeepEqual(t, ringMemberIDs(r.ring), []string{"A2", "B1", "C1"})
}
