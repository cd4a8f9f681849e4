package claim

import (
	"bytes"
	"container/heap"
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
	// early lets a durable register's replies leave before their records are synced.
	early bool
	// rollback lets a register trust an older copy of its folder.
	rollback bool
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
	durable
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
	reply.Full = r.failed
	if old != nil && !r.reusable(old, q) {
		own := old.Holder == q.RequestId && old.State == wire.ClaimState_CLAIM_STATE_HELD
		// Even a holder that a peer's copy names gets no grant yet: another peer's
		// copy may name one that has run.
		reply.Granted = own && !reply.Forgetful
		if reply.Granted {
			reply.Sequence = r.seen()
		}
		if !own {
			reply.Record = r.view(now, old)
		}
		return reply
	}
	if reply.Forgetful {
		return reply
	}
	if r.full || old == nil && len(r.records) >= r.settings.MaxRecords {
		reply.Full = true
		return reply
	}
	r.sequence++
	r.put(now, text, &wire.ClaimRecord{
		Key: q.Key, Holder: q.RequestId, Entry: q.Entry,
		State: wire.ClaimState_CLAIM_STATE_HELD, Digest: q.Digest,
	}, now.Add(r.ttl(q.TtlMs)))
	reply.Granted = true
	reply.Sequence = r.seen()
	return reply
}

// seen is the sequence that a grant shows; a register without a folder shows
// none, since its grants can't go back.
func (r *Register) seen() uint64 {
	if !r.on {
		return 0
	}
	return r.sequence
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
		r.put(now, text, &wire.ClaimRecord{Key: s.Key, Holder: s.RequestId, State: s.State}, now.Add(r.settings.MaxTTL))
	}
	if old == nil || old.Holder != s.RequestId && !settlesDisputed(old.ClaimRecord, s) {
		return reply
	}
	reply.Granted = !r.failed
	if old.State != wire.ClaimState_CLAIM_STATE_HELD {
		return reply
	}
	next := proto.Clone(old.ClaimRecord).(*wire.ClaimRecord)
	next.State = s.State
	if s.State == wire.ClaimState_CLAIM_STATE_ANSWERED {
		next.Answer = r.keep(s.Answer)
	}
	r.put(now, old.text, next, old.expires)
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

func (r *Register) put(now time.Time, text string, c *wire.ClaimRecord, expires time.Time) {
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
	r.write(now, r.records[text])
}

func (r *Register) expire(now time.Time) {
	r.advance(now)
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
