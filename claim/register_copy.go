package claim

import (
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/snipereach/snipereach/wire"
)

// PeersToCopy lists the peers whose records this register must still copy. It is
// empty if no grant of an earlier incarnation can still count.
func (r *Register) PeersToCopy(now time.Time) []*wire.RingMember {
	if r.hasCompleteRecords(now) {
		return nil
	}
	var list []*wire.RingMember
	for _, m := range r.peers() {
		if !r.copiedFrom[m.Id] {
			list = append(list, m)
		}
	}
	return list
}

// members lists the members of the ring and of its predecessor.
func (r *Register) members() []*wire.RingMember {
	return append(r.ring.Members[:len(r.ring.Members):len(r.ring.Members)], r.ring.Previous...)
}

// peers lists the other members of the ring and of its predecessor, without
// duplicates.
func (r *Register) peers() []*wire.RingMember {
	var list []*wire.RingMember
	for _, m := range r.members() {
		if m.Id != r.self.Id && !ContainsMember(list, m.Id) {
			list = append(list, m)
		}
	}
	return list
}

// hasCompleteRecords reports whether no grant of an earlier incarnation can still
// count: this incarnation is the one that the ring admitted, or MaxTTL has passed
// since the register started.
func (r *Register) hasCompleteRecords(now time.Time) bool {
	if r.complete || now.Sub(r.started) >= r.settings.MaxTTL {
		return true
	}
	in := false
	for _, m := range r.members() {
		if m.Id != r.self.Id {
			continue
		}
		if m.Incarnation != r.self.Number {
			return false
		}
		in = true
	}
	return in
}

// mayMissGrants reports whether this register may lack a grant for a key: one from
// before its restart, one that its data folder lacks, or one that couldn't be
// written. A peer's copy has only the grants of that peer, so after a restart copies
// of all the key's other registers are needed.
func (r *Register) mayMissGrants(now time.Time, key *wire.ClaimKey) bool {
	if r.writeFailed || r.mayBeRolledBack(now) {
		return true
	}
	if r.settings.disabled.waitForCopies || r.hasCompleteRecords(now) {
		return false
	}
	for _, set := range registerSets(r.ring, key) {
		if !ContainsMember(set, r.self.Id) {
			continue
		}
		for _, m := range set {
			if m.Id != r.self.Id && !r.copiedFrom[m.Id] {
				return true
			}
		}
	}
	return false
}

// laterIncarnation returns the number of a peer's incarnation that is higher than
// that of the asking one, or 0 if there is none.
//
// A running incarnation has a lower number than an earlier one if the clock of its
// host was set back. If the peer copied under the lower number, requests would go on
// counting the grants of the earlier incarnation, which the peer has no record of.
func (r *Register) laterIncarnation(from *wire.Incarnation) uint64 {
	later := r.copierIncarnations[from.Id]
	for _, members := range [][]*wire.RingMember{r.ring.Members, r.ring.Previous} {
		for _, m := range members {
			if m.Id == from.Id {
				later = max(later, m.Incarnation)
			}
		}
	}
	if later > from.Number {
		return later
	}
	return 0
}

// RaiseIncarnation gives the register a higher incarnation number; a number that isn't
// higher is ignored. The register must copy from all peers again, so that they know the
// incarnation by the new number.
func (r *Register) RaiseIncarnation(number uint64) {
	if number <= r.self.Number {
		return
	}
	r.self = &wire.Incarnation{Id: r.self.Id, Number: number}
	clear(r.copiedFrom)
	r.queueHead(false)
}

// CopyRecords returns the records that a restarted peer shares with this register.
// Replies to grants name the peer's incarnation from then on.
func (r *Register) CopyRecords(now time.Time, q *wire.ClaimCopyRequest) *wire.ClaimCopy {
	r.removeExpired(now)
	from := q.From
	if later := r.laterIncarnation(from); later != 0 {
		return &wire.ClaimCopy{Last: true, Forgetful: true, SupersededBy: later}
	}
	if r.copierIncarnations[from.Id] != from.Number {
		r.copierIncarnations[from.Id] = from.Number
		r.queueHead(false)
	}
	reply := &wire.ClaimCopy{Last: true, Forgetful: q.RingEpoch != r.ring.Epoch}
	// This register may itself lack records that the peer needs.
	if r.writeFailed || r.mayBeRolledBack(now) || len(r.PeersToCopy(now)) > 0 {
		reply.Forgetful = true
	}
	var encKeys []string
	for encKey := range r.records {
		encKeys = append(encKeys, encKey)
	}
	sort.Strings(encKeys)
	for _, encKey := range encKeys {
		rec := r.records[encKey]
		for _, set := range registerSets(r.ring, rec.Key) {
			if ContainsMember(set, from.Id) {
				reply.Records = append(reply.Records, r.recordWithTTL(now, rec))
				break
			}
		}
	}
	return reply
}

// ApplyCopy merges a peer's records. The peer counts as copied from only if its
// own records were complete.
func (r *Register) ApplyCopy(now time.Time, peer string, c *wire.ClaimCopy) {
	for _, rec := range c.Records {
		encKey := encodeKey(rec.Key)
		if old := r.records[encKey]; old != nil {
			rec = mergeRecords(old.ClaimRecord, rec)
		}
		r.putRecord(now, encKey, rec, now.Add(r.boundedTTL(rec.TtlLeftMs)))
	}
	if c.Last && !c.Forgetful && !r.copiedFrom[peer] {
		r.copiedFrom[peer] = true
		r.queueHead(false)
	}
}

// statePrecedence orders states for merging: a request that has run, or may have,
// takes precedence over one that holds the key, and that over a released one.
var statePrecedence = map[wire.ClaimState]int{
	wire.ClaimState_CLAIM_STATE_RELEASED: 1,
	wire.ClaimState_CLAIM_STATE_HELD:     2,
	wire.ClaimState_CLAIM_STATE_UNKNOWN:  3,
	wire.ClaimState_CLAIM_STATE_ANSWERED: 3,
}

// mergeRecords merges the records of two peers for one key.
//
// If they name different holders, a grant that this register has lost may have
// given either one its majority. The merged record then has no holder, so that the
// register is granted to neither: both could run otherwise.
func mergeRecords(a, b *wire.ClaimRecord) *wire.ClaimRecord {
	if statePrecedence[b.State] > statePrecedence[a.State] {
		a, b = b, a
	}
	if a.State == wire.ClaimState_CLAIM_STATE_HELD && b.State == a.State && a.Holder != b.Holder {
		c := proto.Clone(a).(*wire.ClaimRecord)
		c.Holder = ""
		c.TtlLeftMs = max(a.TtlLeftMs, b.TtlLeftMs)
		return c
	}
	return a
}
