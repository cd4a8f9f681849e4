package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/claim"
	"github.com/snipereach/snipereach/wire"
)

// ringHost is an entry "aN" in failure domain "a"; a capital has a data folder.
func ringHost(id string) *wire.RingMember {
	domain := id[0]
	durable := domain < 'a'
	if durable {
		domain += 'a' - 'A'
	}
	return &wire.RingMember{Id: id, FailureDomain: string(domain), Durable: durable, Incarnation: 1}
}

func hosts(ids ...string) []*wire.RingMember {
	var list []*wire.RingMember
	for _, id := range ids {
		list = append(list, ringHost(id))
	}
	return list
}

func names(r *wire.Ring) []string {
	var list []string
	for _, m := range r.GetMembers() {
		list = append(list, m.Id)
	}
	return list
}

// ringRun drives a leader's view of the ring in virtual time.
type ringRun struct {
	clock ringClock
	ring  *wire.Ring
	began time.Time
	now   time.Time
}

// pass lets time pass with these entries up, and counts the ring's changes.
func (r *ringRun) pass(d time.Duration, up []*wire.RingMember) (changes int) {
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(time.Second) {
		r.clock.observe(up, r.now)
		if next := r.clock.nextRing(r.ring, up, r.began, r.now); next != nil {
			r.ring = next
			changes++
		}
		r.clock.follow(r.ring.Epoch, r.now)
	}
	return changes
}

func newRingRun() *ringRun {
	at := time.Unix(1000, 0)
	return &ringRun{ring: &wire.Ring{}, began: at, now: at}
}

func joint() time.Duration { return claim.JointPeriod(claim.DefaultRegisterSettings().MaxTTL) }

func TestRingIsMadeOfEntriesWithFolders(t *testing.T) {
	r := newRingRun()
	r.pass(time.Minute, hosts("A1", "a2", "B1", "b2", "C1", "c2"))
	assert.DeepEqual(t, names(r.ring), []string{"A1", "B1", "C1"})

	// Folders in two failure domains only.
	r = newRingRun()
	r.pass(time.Minute, hosts("A1", "a2", "B1", "b2", "c2"))
	assert.DeepEqual(t, names(r.ring), []string{"A1", "B1", "a2", "b2", "c2"})
}

// Hosts get disks one after the other while the cluster runs. The ring follows
// once they cover three failure domains, at most once in a joint period, and the
// entries that stay keep the life that the ring took in.
func TestRingFollowsNewFoldersOnceInAJointPeriod(t *testing.T) {
	r := newRingRun()
	r.pass(time.Minute, hosts("a1", "a2", "b1", "c1"))
	later := hosts("a1", "a2", "b1", "c1")
	for _, m := range later {
		m.Durable, m.Incarnation = m.Id != "a2", 2
	}
	assert.Equal(t, r.pass(joint()-2*time.Minute, later), 0)
	assert.Equal(t, r.pass(4*time.Minute, later), 1)
	assert.DeepEqual(t, names(r.ring), []string{"a1", "b1", "c1"})
	assert.Equal(t, r.ring.Members[0].Incarnation, uint64(1))
	assert.Equal(t, len(r.ring.Previous), 4)
}

// A failure domain is lost. Taking in hosts without folders would bring back
// registers that forget; the ring waits an hour, and then does.
func TestRingWaitsForALostDomain(t *testing.T) {
	r := newRingRun()
	r.pass(2*joint(), hosts("A1", "B1", "b2", "C1"))
	left := hosts("B1", "b2", "C1")
	assert.Equal(t, r.pass(leaveDurableAfter-time.Minute, left), 0)
	assert.Equal(t, r.pass(2*time.Minute, left), 1)
	assert.DeepEqual(t, names(r.ring), []string{"B1", "C1", "b2"})
}

// A second host with a folder in the lost one's failure domain joins at
// once, and the lost one leaves with the next change.
func TestRingTakesAnotherFolderInTheDomain(t *testing.T) {
	r := newRingRun()
	r.pass(2*joint(), hosts("A1", "B1", "C1"))
	assert.Equal(t, r.pass(joint()+time.Minute, hosts("A2", "B1", "C1")), 2)
	assert.DeepEqual(t, names(r.ring), []string{"A2", "B1", "C1"})
}
