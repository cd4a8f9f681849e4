package control

import (
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/snipereach/snipereach/claim"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

// Times after which the ring of claim registers follows the directory.
const (
	// firstRingAfter lets the entries of a new cluster announce themselves.
	firstRingAfter = 500 * time.Millisecond
	// joinRingAfter and leaveRingAfter keep a restart from changing the ring.
	joinRingAfter  = 10 * time.Second
	leaveRingAfter = time.Minute
	// leaveDurableAfter is for members with a data folder, while without them too
	// few failure domains have one.
	leaveDurableAfter = time.Hour
)

// ringClock is a replica's soft knowledge about the ring: since when it knows
// the epoch, and since when a leader has seen each entry up or missed it.
type ringClock struct {
	epoch   uint64
	changed time.Time
	since   map[string]time.Time
	seen    map[string]time.Time
}

func (c *ringClock) follow(epoch uint64, now time.Time) {
	if epoch != c.epoch {
		c.epoch = epoch
		c.changed = now
	}
}

// observe notes which entries are up.
func (c *ringClock) observe(up []*wire.RingMember, now time.Time) {
	if c.since == nil {
		c.since, c.seen = map[string]time.Time{}, map[string]time.Time{}
	}
	live := map[string]bool{}
	for _, m := range up {
		live[m.Id] = true
		c.seen[m.Id] = now
		if _, ok := c.since[m.Id]; !ok {
			c.since[m.Id] = now
		}
	}
	for id := range c.since {
		if !live[id] {
			delete(c.since, id)
		}
	}
}

// nextRing returns the ring that should follow, or nil. A ring is changed at
// most once in the period in which claims need majorities of two rings, so that
// two are always enough.
func (c *ringClock) nextRing(ring *wire.Ring, up []*wire.RingMember, leadingSince, now time.Time) *wire.Ring {
	if len(ring.Members) == 0 {
		if now.Sub(leadingSince) < firstRingAfter || len(up) < claim.Majority {
			return nil
		}
		first, _ := durableFirst(up)
		return &wire.Ring{Epoch: ring.Epoch + 1, Members: sorted(first)}
	}
	maxTTL := claim.DefaultRegisterSettings().MaxTTL
	if now.Sub(c.changed) < claim.JointPeriod(maxTTL) {
		return nil
	}
	members, durable := durableFirst(c.candidates(ring, up, leadingSince, now, leaveRingAfter))
	if !durable {
		// Better two of three registers that forget nothing than more that do. A
		// host that stays away for longer is left out all the same.
		if waited, ok := durableFirst(c.candidates(ring, up, leadingSince, now, leaveDurableAfter)); ok {
			members = waited
		}
	}
	if sameMembers(members, ring.Members) || len(members) < claim.Majority {
		return nil
	}
	return &wire.Ring{Epoch: ring.Epoch + 1, Members: sorted(members), Previous: ring.Members}
}

// durableFirst returns the members with a data folder, if those cover as many
// failure domains as a key has registers; else all.
func durableFirst(members []*wire.RingMember) (chosen []*wire.RingMember, durable bool) {
	domains := map[string]bool{}
	for _, m := range members {
		if m.Durable {
			chosen = append(chosen, m)
			domains[m.FailureDomain] = true
		}
	}
	if len(domains) >= claim.Copies {
		return chosen, true
	}
	return members, false
}

func sameMembers(a, b []*wire.RingMember) bool {
	for _, m := range a {
		if !claim.Contains(b, m.Id) {
			return false
		}
	}
	return len(a) == len(b)
}

// candidates lists the members that were up lately, as far as this leader can
// tell, and those that have been up for long enough to join.
func (c *ringClock) candidates(ring *wire.Ring, up []*wire.RingMember, leadingSince, now time.Time, patience time.Duration) []*wire.RingMember {
	var list []*wire.RingMember
	for _, m := range ring.Members {
		last := leadingSince
		if at, ok := c.seen[m.Id]; ok && at.After(last) {
			last = at
		}
		if now.Sub(last) < patience {
			list = append(list, asAnnounced(m, up))
		}
	}
	for _, m := range up {
		if !claim.Contains(list, m.Id) && now.Sub(c.since[m.Id]) >= joinRingAfter {
			list = append(list, m)
		}
	}
	return list
}

// asAnnounced returns a member of the ring with what it says of its data folder
// now. Its life stays the one that the ring took in: a later one has forgotten.
func asAnnounced(m *wire.RingMember, up []*wire.RingMember) *wire.RingMember {
	for _, u := range up {
		if u.Id == m.Id && u.Durable != m.Durable {
			c := proto.Clone(m).(*wire.RingMember)
			c.Durable = u.Durable
			return c
		}
	}
	return m
}

func sorted(list []*wire.RingMember) []*wire.RingMember {
	out := append([]*wire.RingMember(nil), list...)
	sort.Slice(out, func(i, j int) bool { return out[i].Id < out[j].Id })
	return out
}

// careRing lets a leader propose the next ring.
func (r *Replica) careRing() {
	if r.entries == nil || !r.machine.formed {
		return
	}
	now := r.clock()
	up := r.entries()
	r.rings.observe(up, now)
	next := r.rings.nextRing(r.machine.ring, up, r.leads.since, now)
	if next == nil || r.ringPending(next.Epoch) {
		return
	}
	data, err := encode(&wire.Command{Command: &wire.Command_Ring{Ring: next}})
	if err != nil {
		return
	}
	if _, _, err := r.node.Propose(r.now(), data); err == nil {
		kernel.Info(r.log, "Ring of claim registers changes.", "epoch", next.Epoch, "members", len(next.Members))
	}
}

// ringPending says whether this epoch was proposed within the last second, so
// that one change is not proposed at every look.
func (r *Replica) ringPending(epoch uint64) bool {
	if r.proposedEpoch == epoch && r.clock().Sub(r.proposedAt) < time.Second {
		return true
	}
	r.proposedEpoch, r.proposedAt = epoch, r.clock()
	return false
}
