package claim

import (
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/snipereach/snipereach/wire"
)

// Missing lists the peers that this register must still copy from; none if it
// has forgotten nothing, or once what it forgot can't matter any more.
func (r *Register) Missing(now time.Time) []*wire.RingMember {
	if r.clean(now) {
		return nil
	}
	var list []*wire.RingMember
	for _, m := range r.peers() {
		if !r.copied[m.Id] {
			list = append(list, m)
		}
	}
	return list
}

// members lists those of the ring and of the one before it.
func (r *Register) members() []*wire.RingMember {
	return append(r.ring.Members[:len(r.ring.Members):len(r.ring.Members)], r.ring.Previous...)
}

// peers lists the other members of the ring and of the one before it, once each.
func (r *Register) peers() []*wire.RingMember {
	var list []*wire.RingMember
	for _, m := range r.members() {
		if m.Id != r.self.Id && !Contains(list, m.Id) {
			list = append(list, m)
		}
	}
	return list
}

// clean says whether no grant of an earlier life can still count: this life was
// there when the ring took the host in, or the longest time to live has passed.
func (r *Register) clean(now time.Time) bool {
	if r.whole || now.Sub(r.started) >= r.settings.MaxTTL {
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

// forgetful says whether a grant for a key from before the restart may be
// unknown to this register. A peer's copy holds only what that peer granted, so
// the copies of all the key's other registers are needed.
func (r *Register) forgetful(now time.Time, key *wire.ClaimKey) bool {
	if r.failed || r.unchecked(now) {
		return true
	}
	if r.settings.off.forget || r.clean(now) {
		return false
	}
	for _, set := range sets(r.ring, key) {
		if !Contains(set, r.self.Id) {
			continue
		}
		for _, m := range set {
			if m.Id != r.self.Id && !r.copied[m.Id] {
				return true
			}
		}
	}
	return false
}

// laterLife returns the number of a life of a peer that counts as later than the
// one that asks, or 0.
//
// The asking life runs now and the other one doesn't: its host's clock was set
// back in between. If it copied under that number, requests would not be told of it: a grant
// that its earlier life gave, and that it has forgotten, would still count.
func (r *Register) laterLife(from *wire.Incarnation) uint64 {
	later := r.lives[from.Id]
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

// Renumber gives the register's life a higher number. What it copied under the
// lower one is copied again, so that its peers know the life by the new number.
func (r *Register) Renumber(number uint64) {
	if number <= r.self.Number {
		return
	}
	r.self = &wire.Incarnation{Id: r.self.Id, Number: number}
	clear(r.copied)
	r.writeHead(false)
}

// Copy returns the records that a peer shares with this register, for a life of
// the peer that has just begun. From here on this register tells every request
// of that life.
func (r *Register) Copy(now time.Time, q *wire.ClaimCopyRequest) *wire.ClaimCopy {
	r.expire(now)
	from := q.From
	if later := r.laterLife(from); later != 0 {
		return &wire.ClaimCopy{Last: true, Forgetful: true, SupersededBy: later}
	}
	if r.lives[from.Id] != from.Number {
		r.lives[from.Id] = from.Number
		r.writeHead(false)
	}
	reply := &wire.ClaimCopy{Last: true, Forgetful: q.RingEpoch != r.ring.Epoch}
	// Of what this register has itself forgotten it can't tell.
	if r.failed || r.unchecked(now) || len(r.Missing(now)) > 0 {
		reply.Forgetful = true
	}
	var texts []string
	for text := range r.records {
		texts = append(texts, text)
	}
	sort.Strings(texts)
	for _, text := range texts {
		rec := r.records[text]
		for _, set := range sets(r.ring, rec.Key) {
			if Contains(set, from.Id) {
				reply.Records = append(reply.Records, r.view(now, rec))
				break
			}
		}
	}
	return reply
}

// TakeCopy takes a peer's records. A copy from a peer that had itself not caught
// up is taken, but doesn't count.
func (r *Register) TakeCopy(now time.Time, peer string, c *wire.ClaimCopy) {
	for _, rec := range c.Records {
		text := keyText(rec.Key)
		if old := r.records[text]; old != nil {
			rec = merge(old.ClaimRecord, rec)
		}
		r.put(now, text, rec, now.Add(r.ttl(rec.TtlLeftMs)))
	}
	if c.Last && !c.Forgetful && !r.copied[peer] {
		r.copied[peer] = true
		r.writeHead(false)
	}
}

// standing orders what records say: a request that has run, or may have, stands
// above one that holds the key, and that above one that gave it back.
var standing = map[wire.ClaimState]int{
	wire.ClaimState_CLAIM_STATE_RELEASED: 1,
	wire.ClaimState_CLAIM_STATE_HELD:     2,
	wire.ClaimState_CLAIM_STATE_UNKNOWN:  3,
	wire.ClaimState_CLAIM_STATE_ANSWERED: 3,
}

// merge joins what two peers say of one key.
//
// When each names another holder, this register's forgotten grant may have made
// either one's majority. It is then held by nobody that could come back for it:
// granting it again to the one that it happens to hear of first would let that
// one run beside the other.
func merge(a, b *wire.ClaimRecord) *wire.ClaimRecord {
	if standing[b.State] > standing[a.State] {
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
