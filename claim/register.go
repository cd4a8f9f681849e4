package claim

import (
	"bytes"
	"container/heap"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/snipereach/snipereach/wire"
)

// RegisterSettings holds the limits of a Register.
type RegisterSettings struct {
	// MaxRecords is the maximum number of keys with a record.
	MaxRecords int
	// MaxAnswerBytes is the maximum total size of the stored answer bodies. Above
	// it an answer is stored without its body.
	MaxAnswerBytes int64
	// MaxTTL is the longest time to live that a request may ask for. It is also
	// how long a register that can't copy from its peers grants nothing.
	MaxTTL time.Duration

	// disabled turns safeguards off. Only tests of this package can set it.
	disabled disabledSafeguards
}

// disabledSafeguards says which safeguards are turned off: tests check that the
// simulation then finds a violation.
type disabledSafeguards struct {
	// waitForCopies: a register grants nothing after a restart until it has copied
	// its peers' records.
	waitForCopies bool
	// incarnationCheck: a grant of an earlier incarnation of a register isn't
	// counted.
	incarnationCheck bool
	// syncBeforeReply: a reply of a register with a data folder leaves only after its
	// records are synced.
	syncBeforeReply bool
	// rollbackCheck: a register detects that its data folder is an older copy.
	rollbackCheck bool
}

// DefaultRegisterSettings returns the settings that entries use.
func DefaultRegisterSettings() RegisterSettings {
	return RegisterSettings{MaxRecords: 200_000, MaxAnswerBytes: 64 << 20, MaxTTL: 10 * time.Minute}
}

// Register holds the claim records of one host. It is not safe for concurrent use.
type Register struct {
	settings RegisterSettings
	self     *wire.Incarnation
	ring     *wire.Ring
	started  time.Time
	records  map[string]*record
	expiry   expiryHeap
	// answerBytes is the total size of the stored answer bodies.
	answerBytes int64
	// copiedFrom holds the IDs of the peers whose records were copied in this
	// incarnation.
	copiedFrom map[string]bool
	// copierIncarnations holds the number of the latest incarnation of each peer
	// that copied from this register, by ID.
	copierIncarnations map[string]uint64
	durableState
}

type record struct {
	*wire.ClaimRecord
	encKey    string
	expires   time.Time
	heapIndex int
}

// NewRegister returns the register of a process that has just started.
func NewRegister(s RegisterSettings, self *wire.Incarnation, now time.Time) *Register {
	return &Register{
		settings: s, self: self, started: now,
		ring: &wire.Ring{}, records: map[string]*record{},
		copiedFrom: map[string]bool{}, copierIncarnations: map[string]uint64{},
	}
}

// SetRing adopts a ring whose epoch is higher than that of the current ring, and
// ignores others.
func (r *Register) SetRing(ring *wire.Ring) {
	if ring.Epoch > r.ring.Epoch {
		r.ring = ring
	}
}

// Epoch returns the epoch of the current ring.
func (r *Register) Epoch() uint64 { return r.ring.Epoch }

// Grant grants the register to a request if no other request holds it, the
// request's ring epoch is current and no earlier grant can be missing here.
func (r *Register) Grant(now time.Time, q *wire.ClaimRequest) *wire.ClaimReply {
	r.removeExpired(now)
	reply := &wire.ClaimReply{RingEpoch: r.ring.Epoch, Self: r.self, Known: r.knownIncarnations(q.Key)}
	if q.RingEpoch != r.ring.Epoch {
		return reply
	}
	encKey := encodeKey(q.Key)
	old := r.records[encKey]
	reply.Forgetful = r.mayMissGrants(now, q.Key)
	reply.Full = r.writeFailed
	if old != nil && !r.canTakeOver(old, q) {
		own := old.Holder == q.RequestId && old.State == wire.ClaimState_CLAIM_STATE_HELD
		// While grants may be missing here, not even the recorded holder is granted: it
		// may be from one peer's copy, and another copy may name a request that has run.
		reply.Granted = own && !reply.Forgetful
		if reply.Granted {
			reply.Sequence = r.grantSequence()
		}
		if !own {
			reply.Record = r.recordWithTTL(now, old)
		}
		return reply
	}
	if reply.Forgetful {
		return reply
	}
	if r.folderFull || old == nil && len(r.records) >= r.settings.MaxRecords {
		reply.Full = true
		return reply
	}
	r.sequence++
	r.putRecord(now, encKey, &wire.ClaimRecord{
		Key: q.Key, Holder: q.RequestId, Entry: q.Entry,
		State: wire.ClaimState_CLAIM_STATE_HELD, Digest: q.Digest,
	}, now.Add(r.boundedTTL(q.TtlMs)))
	reply.Granted = true
	reply.Sequence = r.grantSequence()
	return reply
}

// grantSequence returns the sequence number that a grant reports, or 0 if the
// register has no data folder that could be rolled back.
func (r *Register) grantSequence() uint64 {
	if !r.persistent {
		return 0
	}
	return r.sequence
}

// canTakeOver reports whether a request may replace a record. A released record
// may be replaced by another request, but not by the one that released it: a
// delayed duplicate of its claim would hold the register for a finished request.
func (r *Register) canTakeOver(old *record, q *wire.ClaimRequest) bool {
	return old.State == wire.ClaimState_CLAIM_STATE_RELEASED && old.Holder != q.RequestId
}

func (r *Register) boundedTTL(ms uint32) time.Duration {
	d := time.Duration(ms) * time.Millisecond
	if d <= 0 || d > r.settings.MaxTTL {
		return r.settings.MaxTTL
	}
	return d
}

// knownIncarnations lists the incarnations of the key's other registers that
// copied from this one.
func (r *Register) knownIncarnations(key *wire.ClaimKey) []*wire.Incarnation {
	if len(r.copierIncarnations) == 0 {
		return nil
	}
	var list []*wire.Incarnation
	for _, set := range registerSets(r.ring, key) {
		for _, m := range set {
			if n := r.copierIncarnations[m.Id]; n != 0 && m.Id != r.self.Id {
				list = append(list, &wire.Incarnation{Id: m.Id, Number: n})
			}
		}
	}
	return list
}

// Settle records the outcome of a claim. Only the holder can settle a claim, apart
// from one whose holder is in dispute, and only once.
func (r *Register) Settle(now time.Time, s *wire.ClaimSettle) *wire.ClaimReply {
	r.removeExpired(now)
	reply := &wire.ClaimReply{RingEpoch: r.ring.Epoch, Self: r.self}
	encKey := encodeKey(s.Key)
	old := r.records[encKey]
	if old == nil && s.State == wire.ClaimState_CLAIM_STATE_RELEASED && len(r.records) < r.settings.MaxRecords {
		// The release arrived before its claim. Without a record of it the delayed
		// claim would hold the register for a finished request.
		r.putRecord(now, encKey, &wire.ClaimRecord{Key: s.Key, Holder: s.RequestId, State: s.State}, now.Add(r.settings.MaxTTL))
	}
	if old == nil || old.Holder != s.RequestId && !resolvesDispute(old.ClaimRecord, s) {
		return reply
	}
	reply.Granted = !r.writeFailed
	if old.State != wire.ClaimState_CLAIM_STATE_HELD {
		return reply
	}
	next := proto.Clone(old.ClaimRecord).(*wire.ClaimRecord)
	next.State = s.State
	if s.State == wire.ClaimState_CLAIM_STATE_ANSWERED {
		next.Answer = r.limitAnswer(s.Answer)
	}
	r.putRecord(now, old.encKey, next, old.expires)
	return reply
}

// resolvesDispute reports whether a settlement resolves a record without a holder,
// which mergeRecords leaves when copies name two holders. The request that ran had
// a majority, so its settlement is the right one.
func resolvesDispute(old *wire.ClaimRecord, s *wire.ClaimSettle) bool {
	return old.Holder == "" && s.State != wire.ClaimState_CLAIM_STATE_RELEASED
}

// limitAnswer returns the answer without its body if the body would exceed
// MaxAnswerBytes. A resend then gets no answer, but the request doesn't run again.
func (r *Register) limitAnswer(a *wire.StoredAnswer) *wire.StoredAnswer {
	if a == nil {
		return &wire.StoredAnswer{Dropped: true}
	}
	if r.answerBytes+int64(len(a.Body)) > r.settings.MaxAnswerBytes {
		return &wire.StoredAnswer{Status: a.Status, Dropped: true}
	}
	return a
}

func (r *Register) putRecord(now time.Time, encKey string, c *wire.ClaimRecord, expires time.Time) {
	if old := r.records[encKey]; old != nil {
		r.answerBytes -= int64(len(old.Answer.GetBody()))
		old.ClaimRecord = c
		old.expires = expires
		heap.Fix(&r.expiry, old.heapIndex)
	} else {
		rec := &record{ClaimRecord: c, encKey: encKey, expires: expires}
		r.records[encKey] = rec
		heap.Push(&r.expiry, rec)
	}
	r.answerBytes += int64(len(c.Answer.GetBody()))
	r.queueRecord(now, r.records[encKey])
}

func (r *Register) removeExpired(now time.Time) {
	r.updateComplete(now)
	for len(r.expiry) > 0 && !now.Before(r.expiry[0].expires) {
		rec := heap.Pop(&r.expiry).(*record)
		r.answerBytes -= int64(len(rec.Answer.GetBody()))
		delete(r.records, rec.encKey)
	}
}

func (r *Register) recordWithTTL(now time.Time, rec *record) *wire.ClaimRecord {
	c := proto.Clone(rec.ClaimRecord).(*wire.ClaimRecord)
	c.TtlLeftMs = uint32(max(rec.expires.Sub(now), 0).Milliseconds())
	return c
}

// SameRequest reports whether a record belongs to a request with this digest.
func SameRequest(rec *wire.ClaimRecord, digest []byte) bool {
	return bytes.Equal(rec.GetDigest(), digest)
}

// Len returns the number of keys with a record.
func (r *Register) Len() int { return len(r.records) }

type expiryHeap []*record

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *expiryHeap) Push(x any) {
	rec := x.(*record)
	rec.heapIndex = len(*h)
	*h = append(*h, rec)
}
func (h *expiryHeap) Pop() any {
	old := *h
	rec := old[len(old)-1]
	*h = old[:len(old)-1]
	return rec
}
