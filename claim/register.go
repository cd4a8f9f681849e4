package claim

import (
	"bytes"
	"container/heap"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/snipereach/snipereach/wire"
)

// RegisterSettings bound a Register.
type RegisterSettings struct {
	// MaxRecords bounds keys that are remembered.
	MaxRecords int
	// MaxAnswerBytes bounds the bodies of answers that are kept, in all; beyond
	// it an answer is remembered without its body.
	MaxAnswerBytes int64
	// MaxTTL is the longest time to live that a request may ask for, and how
	// long a register that can't copy from its peers grants nothing.
	MaxTTL time.Duration

	// off turns safeguards off; only this package's tests can set it.
	off safeguards
}

// safeguards names what tests turn off.
type safeguards struct {
	// forget lets a register grant right after its restart.
	forget bool
	// lives lets a request count grants of a register's earlier life.
	lives bool
}

// DefaultRegisterSettings are those of an entry.
func DefaultRegisterSettings() RegisterSettings {
	return RegisterSettings{MaxRecords: 200_000, MaxAnswerBytes: 64 << 20, MaxTTL: 10 * time.Minute}
}

// Register holds one host's records. It is not safe for use by several
// goroutines.
type Register struct {
	settings RegisterSettings
	self     *wire.Incarnation
	ring     *wire.Ring
	started  time.Time
	records  map[string]*record
	expiry   expiryHeap
	held     int64
	// copied names the peers whose records were copied in this life.
	copied map[string]bool
	// lives holds the latest life of each peer that copied from this register.
	lives map[string]uint64
}

type record struct {
	*wire.ClaimRecord
	text    string
	expires time.Time
	index   int
}

// NewRegister makes the register of a process that has just started.
func NewRegister(s RegisterSettings, self *wire.Incarnation, now time.Time) *Register {
	return &Register{
		settings: s, self: self, started: now,
		ring: &wire.Ring{}, records: map[string]*record{},
		copied: map[string]bool{}, lives: map[string]uint64{},
	}
}

// SetRing takes a ring of a higher epoch.
func (r *Register) SetRing(ring *wire.Ring) {
	if ring.Epoch > r.ring.Epoch {
		r.ring = ring
	}
}

// Epoch returns the epoch of the ring in force.
func (r *Register) Epoch() uint64 { return r.ring.Epoch }

// Missing lists the peers that this register must still copy from; none if it
// has forgotten nothing, or once what it forgot can't matter any more.
func (r *Register) Missing(now time.Time) []*wire.RingMember {
	if r.clean(now) {
		return nil
	}
	var list []*wire.RingMember
	for _, m := range append(r.ring.Members[:len(r.ring.Members):len(r.ring.Members)], r.ring.Previous...) {
		if m.Id != r.self.Id && !r.copied[m.Id] && !Contains(list, m.Id) {
			list = append(list, m)
		}
	}
	return list
}

// clean says whether no grant of an earlier life can still count: this life was
// there when the ring took the host in, or the longest time to live has passed.
func (r *Register) clean(now time.Time) bool {
	if now.Sub(r.started) >= r.settings.MaxTTL {
		return true
	}
	in := false
	for _, m := range append(r.ring.Members[:len(r.ring.Members):len(r.ring.Members)], r.ring.Previous...) {
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

// Grant gives the register to a request if no other holds it.
func (r *Register) Grant(now time.Time, q *wire.ClaimRequest) *wire.ClaimReply {
	r.expire(now)
	reply := &wire.ClaimReply{RingEpoch: r.ring.Epoch, Self: r.self, Known: r.known(q.Key)}
	if q.RingEpoch != r.ring.Epoch {
		return reply
	}
	text := keyText(q.Key)
	old := r.records[text]
	reply.Forgetful = r.forgetful(now, q.Key)
	if old != nil && !r.reusable(old, q) {
		own := old.Holder == q.RequestId && old.State == wire.ClaimState_CLAIM_STATE_HELD
		// Even a holder that a peer's copy names gets no grant yet: another peer's
		// copy may name one that has run.
		reply.Granted = own && !reply.Forgetful
		if !own {
			reply.Record = r.view(now, old)
		}
		return reply
	}
	if reply.Forgetful {
		return reply
	}
	if old == nil && len(r.records) >= r.settings.MaxRecords {
		reply.Full = true
		return reply
	}
	r.put(text, &wire.ClaimRecord{
		Key: q.Key, Holder: q.RequestId, Entry: q.Entry,
		State: wire.ClaimState_CLAIM_STATE_HELD, Digest: q.Digest,
	}, now.Add(r.ttl(q.TtlMs)))
	reply.Granted = true
	return reply
}

// reusable says whether a request may take over a record. A released record
// goes to another request, never back to the one that released it: a late copy
// of its claim would hold the register for a request that is over.
func (r *Register) reusable(old *record, q *wire.ClaimRequest) bool {
	return old.State == wire.ClaimState_CLAIM_STATE_RELEASED && old.Holder != q.RequestId
}

func (r *Register) ttl(ms uint32) time.Duration {
	d := time.Duration(ms) * time.Millisecond
	if d <= 0 || d > r.settings.MaxTTL {
		return r.settings.MaxTTL
	}
	return d
}

// known names the lives of the key's other registers that copied from this one.
func (r *Register) known(key *wire.ClaimKey) []*wire.Incarnation {
	if len(r.lives) == 0 {
		return nil
	}
	var list []*wire.Incarnation
	for _, set := range sets(r.ring, key) {
		for _, m := range set {
			if n := r.lives[m.Id]; n != 0 && m.Id != r.self.Id {
				list = append(list, &wire.Incarnation{Id: m.Id, Number: n})
			}
		}
	}
	return list
}

// Settle ends a claim. Only its holder can, and only once.
func (r *Register) Settle(now time.Time, s *wire.ClaimSettle) *wire.ClaimReply {
	r.expire(now)
	reply := &wire.ClaimReply{RingEpoch: r.ring.Epoch, Self: r.self}
	text := keyText(s.Key)
	old := r.records[text]
	if old == nil && s.State == wire.ClaimState_CLAIM_STATE_RELEASED && len(r.records) < r.settings.MaxRecords {
		// The release overtook its own claim, which would otherwise come late and
		// hold the register for a request that is over.
		r.put(text, &wire.ClaimRecord{Key: s.Key, Holder: s.RequestId, State: s.State}, now.Add(r.settings.MaxTTL))
	}
	if old == nil || old.Holder != s.RequestId && !settlesDisputed(old.ClaimRecord, s) {
		return reply
	}
	reply.Granted = true
	if old.State != wire.ClaimState_CLAIM_STATE_HELD {
		return reply
	}
	next := proto.Clone(old.ClaimRecord).(*wire.ClaimRecord)
	next.State = s.State
	if s.State == wire.ClaimState_CLAIM_STATE_ANSWERED {
		next.Answer = r.keep(s.Answer)
	}
	r.put(old.text, next, old.expires)
	return reply
}

// settlesDisputed says whether a settlement ends a dispute between two holders
// that copies left: the one that ran had the majority.
func settlesDisputed(old *wire.ClaimRecord, s *wire.ClaimSettle) bool {
	return old.Holder == "" && s.State != wire.ClaimState_CLAIM_STATE_RELEASED
}

// keep bounds the bodies that are stored. A dropped body costs a resend its
// answer; it never lets the request run again.
func (r *Register) keep(a *wire.StoredAnswer) *wire.StoredAnswer {
	if a == nil {
		return &wire.StoredAnswer{Dropped: true}
	}
	if r.held+int64(len(a.Body)) > r.settings.MaxAnswerBytes {
		return &wire.StoredAnswer{Status: a.Status, Dropped: true}
	}
	return a
}

func (r *Register) put(text string, c *wire.ClaimRecord, expires time.Time) {
	if old := r.records[text]; old != nil {
		r.held -= int64(len(old.Answer.GetBody()))
		old.ClaimRecord = c
		old.expires = expires
		heap.Fix(&r.expiry, old.index)
	} else {
		rec := &record{ClaimRecord: c, text: text, expires: expires}
		r.records[text] = rec
		heap.Push(&r.expiry, rec)
	}
	r.held += int64(len(c.Answer.GetBody()))
}

func (r *Register) expire(now time.Time) {
	for len(r.expiry) > 0 && !now.Before(r.expiry[0].expires) {
		rec := heap.Pop(&r.expiry).(*record)
		r.held -= int64(len(rec.Answer.GetBody()))
		delete(r.records, rec.text)
	}
}

func (r *Register) view(now time.Time, rec *record) *wire.ClaimRecord {
	c := proto.Clone(rec.ClaimRecord).(*wire.ClaimRecord)
	c.TtlLeftMs = uint32(max(rec.expires.Sub(now), 0).Milliseconds())
	return c
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
	r.lives[from.Id] = from.Number
	reply := &wire.ClaimCopy{Last: true, Forgetful: q.RingEpoch != r.ring.Epoch}
	// Of what this register has itself forgotten it can't tell.
	if len(r.Missing(now)) > 0 {
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
		r.put(text, rec, now.Add(r.ttl(rec.TtlLeftMs)))
	}
	if c.Last && !c.Forgetful {
		r.copied[peer] = true
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

// SameRequest says whether a record belongs to a request with this digest.
func SameRequest(rec *wire.ClaimRecord, digest []byte) bool {
	return bytes.Equal(rec.GetDigest(), digest)
}

// Len returns how many keys are remembered.
func (r *Register) Len() int { return len(r.records) }

type expiryHeap []*record

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *expiryHeap) Push(x any) {
	rec := x.(*record)
	rec.index = len(*h)
	*h = append(*h, rec)
}
func (h *expiryHeap) Pop() any {
	old := *h
	rec := old[len(old)-1]
	*h = old[:len(old)-1]
	return rec
}
