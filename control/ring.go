package control

import (
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/snipereach/snipereach/claim"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

// Delays with which the ring of claim registers follows the directory.
const (
	// firstRingDelay lets the entries of a new cluster announce themselves before the first
	// ring is made.
	firstRingDelay = 500 * time.Millisecond
	// ringJoinDelay and ringLeaveDelay prevent ring changes when an entry restarts.
	ringJoinDelay  = 10 * time.Second
	ringLeaveDelay = time.Minute
	// durableRingLeaveDelay replaces ringLeaveDelay if otherwise the members with a data
	// folder would cover too few failure domains.
	durableRingLeaveDelay = time.Hour
)

// ringTracker is soft state from which a leader decides about ring changes. Every replica
// records the ring's epoch; only a leader records which entries are up.
type ringTracker struct {
	epoch uint64
	// changed is when this replica applied the epoch.
	changed time.Time
	// upSince is when each entry that is up came up, and lastSeen when each entry was last seen
	// up.
	upSince  map[string]time.Time
	lastSeen map[string]time.Time
}

// setEpoch records the epoch of the ring in force, and the time if it has changed.
func (c *ringTracker) setEpoch(epoch uint64, now time.Time) {
	if epoch != c.epoch {
		c.epoch = epoch
		c.changed = now
	}
}

// recordLive records which entries are up.
func (c *ringTracker) recordLive(up []*wire.RingMember, now time.Time) {
	if c.upSince == nil {
		c.upSince, c.lastSeen = map[string]time.Time{}, map[string]time.Time{}
	}
	live := map[string]bool{}
	for _, m := range up {
		live[m.Id] = true
		c.lastSeen[m.Id] = now
		if _, ok := c.upSince[m.Id]; !ok {
			c.upSince[m.Id] = now
		}
	}
	for id := range c.upSince {
		if !live[id] {
			delete(c.upSince, id)
		}
	}
}

// nextRing returns the next ring to propose, or nil if the ring should stay. The ring changes
// at most once per claim.JointPeriod, so that a claim never needs majorities of more than two
// rings.
func (c *ringTracker) nextRing(ring *wire.Ring, up []*wire.RingMember, leadingSince, now time.Time) *wire.Ring {
	if len(ring.Members) == 0 {
		if now.Sub(leadingSince) < firstRingDelay || len(up) < claim.Majority {
			return nil
		}
		first, _ := preferDurable(up)
		return &wire.Ring{Epoch: ring.Epoch + 1, Members: sortedByID(first)}
	}
	maxTTL := claim.DefaultRegisterSettings().MaxTTL
	if now.Sub(c.changed) < claim.JointPeriod(maxTTL) {
		return nil
	}
	members, durable := preferDurable(c.candidates(ring, up, leadingSince, now, ringLeaveDelay))
	if !durable {
		// Two of three durable registers are safer than three of which some lose their state
		// in a restart, so an absent durable member is kept for durableRingLeaveDelay.
		if withAbsent, ok := preferDurable(c.candidates(ring, up, leadingSince, now, durableRingLeaveDelay)); ok {
			members = withAbsent
		}
	}
	if sameMembers(members, ring.Members) || len(members) < claim.Majority {
		return nil
	}
	return &wire.Ring{Epoch: ring.Epoch + 1, Members: sortedByID(members), Previous: ring.Members}
}

// preferDurable returns the members with a data folder if they cover at least claim.RegistersPerKey
// failure domains, else all members. durable reports which.
func preferDurable(members []*wire.RingMember) (chosen []*wire.RingMember, durable bool) {
	domains := map[string]bool{}
	for _, m := range members {
		if m.Durable {
			chosen = append(chosen, m)
			domains[m.FailureDomain] = true
		}
	}
	if len(domains) >= claim.RegistersPerKey {
		return chosen, true
	}
	return members, false
}

func sameMembers(a, b []*wire.RingMember) bool {
	for _, m := range a {
		if !claim.ContainsMember(b, m.Id) {
			return false
		}
	}
	return len(a) == len(b)
}

// candidates returns the members of the ring that were up within maxAbsence, and the other
// entries that have been up for ringJoinDelay. A member that this leader has not seen counts
// as up until leadingSince.
func (c *ringTracker) candidates(ring *wire.Ring, up []*wire.RingMember, leadingSince, now time.Time, maxAbsence time.Duration) []*wire.RingMember {
	var list []*wire.RingMember
	for _, m := range ring.Members {
		last := leadingSince
		if at, ok := c.lastSeen[m.Id]; ok && at.After(last) {
			last = at
		}
		if now.Sub(last) < maxAbsence {
			list = append(list, withCurrentDurability(m, up))
		}
	}
	for _, m := range up {
		if !claim.ContainsMember(list, m.Id) && now.Sub(c.upSince[m.Id]) >= ringJoinDelay {
			list = append(list, m)
		}
	}
	return list
}

// withCurrentDurability returns a member of the ring with its Durable flag as announced now.
// Its incarnation stays the one that joined the ring, because a later one may have lost the
// registers' state.
func withCurrentDurability(m *wire.RingMember, up []*wire.RingMember) *wire.RingMember {
	for _, u := range up {
		if u.Id == m.Id && u.Durable != m.Durable {
			c := proto.Clone(m).(*wire.RingMember)
			c.Durable = u.Durable
			return c
		}
	}
	return m
}

func sortedByID(list []*wire.RingMember) []*wire.RingMember {
	out := append([]*wire.RingMember(nil), list...)
	sort.Slice(out, func(i, j int) bool { return out[i].Id < out[j].Id })
	return out
}

// proposeNextRing lets a leader propose the next ring.
func (r *Replica) proposeNextRing() {
	if r.liveEntries == nil || !r.machine.formed {
		return
	}
	now := r.clock()
	up := r.liveEntries()
	r.ringTracker.recordLive(up, now)
	next := r.ringTracker.nextRing(r.machine.ring, up, r.leadership().leadingSince, now)
	if next == nil || r.ringProposedRecently(next.Epoch) {
		return
	}
	data, err := encode(&wire.Command{Command: &wire.Command_Ring{Ring: next}})
	if err != nil {
		return
	}
	if _, _, err := r.node.Propose(r.now(), data); err == nil {
		kernel.Info(r.log, "Ring change of claim registers proposed.", "epoch", next.Epoch, "members", len(next.Members))
	}
}

// ringProposedRecently reports whether this epoch was proposed within the last second, so that
// a change isn't proposed again on each check. Otherwise it records a proposal now.
func (r *Replica) ringProposedRecently(epoch uint64) bool {
	if r.proposedEpoch == epoch && r.clock().Sub(r.proposedAt) < time.Second {
		return true
	}
	r.proposedEpoch, r.proposedAt = epoch, r.clock()
	return false
}
