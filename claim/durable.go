package claim

import (
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/snipereach/snipereach/wire"
)

// RollbackCheckPeriod is how long a register that restarted with its data folder
// waits for all its peers to report the grants that they have seen. After it a
// report from one peer in another failure domain is enough, as the other peers may
// be lost.
const RollbackCheckPeriod = time.Second

// durableState is the state of a register with a data folder, apart from the records.
type durableState struct {
	// persistent is true if the register has a data folder.
	persistent bool
	// sequence counts the grants of this incarnation.
	sequence uint64
	// complete is true if no grant of an earlier incarnation can still count.
	complete bool
	// resumed is true if this incarnation began in an earlier process.
	resumed bool
	// checkedPeers holds the IDs of the peers that have reported the grants that they
	// have seen of this incarnation.
	checkedPeers map[string]bool
	// folderFull is true if the folder has reached MaxFolderBytes.
	folderFull bool
	// writeFailed is true if a record couldn't be made durable.
	writeFailed   bool
	pendingWrites []*wire.ClaimStored
}

// StoredState is the state that was read from a data folder.
type StoredState struct {
	head     *wire.ClaimStoredHead
	sequence uint64
	// oldestFile is the number of the first file that the last one depends on.
	oldestFile uint64
	claims     map[string]*wire.ClaimRecord
}

// AddRecord applies the next record of the folder.
func (s *StoredState) AddRecord(rec *wire.ClaimStored) {
	s.sequence = max(s.sequence, rec.Sequence)
	if h := rec.GetHead(); h != nil {
		if h.Forgot {
			s.claims, s.sequence = nil, rec.Sequence
		}
		s.head = h
		s.oldestFile = max(s.oldestFile, h.Oldest)
		return
	}
	if s.claims == nil {
		s.claims = map[string]*wire.ClaimRecord{}
	}
	c := rec.GetClaim()
	s.claims[encodeKey(c.GetKey())] = c
}

func sameIncarnation(a, b *wire.Incarnation) bool {
	return a.GetId() == b.GetId() && a.GetNumber() == b.GetNumber()
}

// NewDurableRegister returns the register of a process with a data folder. st is
// what was read from it, or nil if the folder is empty or can't be trusted; the
// register then starts a new incarnation with the process's number and no records.
//
// It does the same if the folder belongs to another entry. Otherwise the register
// continues as after a pause. The time for which the process
// was down isn't subtracted from a record's time to live, because no clock is
// trusted across a restart: a record that expired early would let a request run
// twice, while one that is kept for too long only takes memory.
func NewDurableRegister(s RegisterSettings, process *wire.Incarnation, st *StoredState, now time.Time) *Register {
	r := NewRegister(s, process, now)
	r.persistent = true
	r.checkedPeers = map[string]bool{}
	if st == nil || st.head.GetSelf().GetId() != process.GetId() {
		r.queueHead(true)
		return r
	}
	r.self, r.sequence = st.head.Self, st.sequence
	r.complete, r.resumed = st.head.Whole, true
	for _, id := range st.head.Copied {
		r.copiedFrom[id] = true
	}
	for _, l := range st.head.Lives {
		r.copierIncarnations[l.Id] = l.Number
	}
	r.queueHead(false)
	for encKey, c := range st.claims {
		r.putRecord(now, encKey, c, now.Add(r.boundedTTL(c.TtlLeftMs)))
	}
	return r
}

// TakeWrites returns and clears the pending writes, in order. They must be durable
// before a reply that was made after them is sent.
func (r *Register) TakeWrites() []*wire.ClaimStored {
	w := r.pendingWrites
	r.pendingWrites = nil
	return w
}

// MarkWriteFailed stops all granting, since a record couldn't be made durable. The
// write isn't retried, because it is unknown whether the disk holds it.
func (r *Register) MarkWriteFailed() {
	r.writeFailed = true
	r.pendingWrites = nil
}

// queueRecord queues a key's record for the data folder. The body and headers of
// its answer are kept only in memory; after a restart, a resend is told that the
// request ran.
func (r *Register) queueRecord(now time.Time, rec *record) {
	if !r.persistent || r.writeFailed {
		return
	}
	c := &wire.ClaimRecord{
		Key: rec.Key, Holder: rec.Holder, Entry: rec.Entry, State: rec.State, Digest: rec.Digest,
		TtlLeftMs: uint32(max(rec.expires.Sub(now), time.Millisecond).Milliseconds()),
	}
	if rec.Answer != nil {
		c.Answer = &wire.StoredAnswer{Status: rec.Answer.Status, Dropped: true}
	}
	r.pendingWrites = append(r.pendingWrites, &wire.ClaimStored{Record: &wire.ClaimStored_Claim{Claim: c}, Sequence: r.sequence})
}

// queueHead queues the state besides the keys' records for the data folder. With
// discardEarlier, records stored before it are discarded when the folder is read.
func (r *Register) queueHead(discardEarlier bool) {
	if !r.persistent || r.writeFailed {
		return
	}
	h := &wire.ClaimStoredHead{Self: r.self, Whole: r.complete, Forgot: discardEarlier}
	for id := range r.copiedFrom {
		h.Copied = append(h.Copied, id)
	}
	sort.Strings(h.Copied)
	for id, n := range r.copierIncarnations {
		h.Lives = append(h.Lives, &wire.Incarnation{Id: id, Number: n})
	}
	sort.Slice(h.Lives, func(i, j int) bool { return h.Lives[i].Id < h.Lives[j].Id })
	r.pendingWrites = append(r.pendingWrites, &wire.ClaimStored{Record: &wire.ClaimStored_Head{Head: h}, Sequence: r.sequence})
}

// updateComplete records durably that MaxTTL has passed since the start, as the
// period begins again with every restart.
func (r *Register) updateComplete(now time.Time) {
	if r.persistent && !r.complete && now.Sub(r.started) >= r.settings.MaxTTL {
		r.complete = true
		r.queueHead(false)
	}
}

// UncheckedPeers lists the peers that haven't yet reported the grants that they
// have seen, if this register restarted with its folder.
func (r *Register) UncheckedPeers(now time.Time) []*wire.RingMember {
	if !r.resumed || now.Sub(r.started) >= r.settings.MaxTTL {
		return nil
	}
	var list []*wire.RingMember
	for _, m := range r.peers() {
		if !r.checkedPeers[m.Id] {
			list = append(list, m)
		}
	}
	return list
}

// mayBeRolledBack reports whether the folder may still turn out to be an older
// copy, in which case the register would grant a key for a second time.
func (r *Register) mayBeRolledBack(now time.Time) bool {
	if r.settings.disabled.rollbackCheck {
		return false
	}
	if r.resumed && r.ring.Epoch == 0 {
		return true
	}
	if len(r.UncheckedPeers(now)) == 0 {
		return false
	}
	return now.Sub(r.started) < RollbackCheckPeriod || !r.checkedOtherDomain()
}

// checkedOtherDomain reports whether a peer in another failure domain has reported.
func (r *Register) checkedOtherDomain() bool {
	domain := ""
	for _, m := range r.members() {
		if m.Id == r.self.Id {
			domain = m.FailureDomain
		}
	}
	for _, m := range r.peers() {
		if r.checkedPeers[m.Id] && m.FailureDomain != domain {
			return true
		}
	}
	return false
}

// ApplySeen takes a peer's report of the grants that it has seen of this register.
// If the folder lacks one of them, it is an older copy: the register starts a new
// incarnation without records, and ApplySeen returns true. process is the number of
// the process's incarnation.
func (r *Register) ApplySeen(now time.Time, peer string, seen *wire.ClaimSeen, process uint64) (older bool) {
	if !r.resumed || r.settings.disabled.rollbackCheck {
		return false
	}
	incarnation := seen.GetLife().GetNumber()
	if incarnation > r.self.Number || incarnation == r.self.Number && seen.Sequence > r.sequence {
		r.reset(now, max(process, r.self.Number+1, incarnation+1))
		return true
	}
	r.checkedPeers[peer] = true
	return false
}

// SeenOfEntry returns what this entry knows of another entry's register: the latest
// grant seen, or a later incarnation that this register knows of. The latter covers
// a folder that was set aside while the register ran in memory.
func (r *Register) SeenOfEntry(id string, seen SeenGrants) *wire.ClaimSeen {
	s := seen.For(id)
	if later := r.laterIncarnation(&wire.Incarnation{Id: id, Number: s.GetLife().GetNumber()}); later != 0 {
		return &wire.ClaimSeen{Life: &wire.Incarnation{Id: id, Number: later}}
	}
	return s
}

// reset starts a new incarnation without records, as with an empty folder.
func (r *Register) reset(now time.Time, number uint64) {
	r.self = &wire.Incarnation{Id: r.self.Id, Number: number}
	r.started, r.sequence = now, 0
	r.complete, r.resumed = false, false
	r.records, r.expiry, r.answerBytes = map[string]*record{}, nil, 0
	clear(r.copiedFrom)
	clear(r.copierIncarnations)
	r.queueHead(true)
}

// Status returns the incarnation number to announce, and whether records are durable.
func (r *Register) Status() *wire.ClaimRegister {
	return &wire.ClaimRegister{Life: r.self.Number, Durable: r.persistent && !r.writeFailed}
}

// SeenGrants holds, by entry ID, the latest grant that this entry has seen of other
// entries' registers.
type SeenGrants map[string]*wire.ClaimSeen

// Record notes the grant in a register's reply, if it has a sequence number.
func (s SeenGrants) Record(reply *wire.ClaimReply) {
	if reply.GetSequence() == 0 {
		return
	}
	id := reply.Self.GetId()
	old := s[id]
	newer := reply.Self.Number > old.GetLife().GetNumber() ||
		sameIncarnation(reply.Self, old.GetLife()) && reply.Sequence > old.GetSequence()
	if newer {
		s[id] = &wire.ClaimSeen{Life: reply.Self, Sequence: reply.Sequence}
	}
}

// For returns the latest grant seen of an entry's register; an empty message if
// there is none.
func (s SeenGrants) For(id string) *wire.ClaimSeen {
	if seen := s[id]; seen != nil {
		return proto.Clone(seen).(*wire.ClaimSeen)
	}
	return &wire.ClaimSeen{}
}
