package claim

import (
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/snipereach/snipereach/wire"
)

// CheckPeriod is how long a register that came up from a data folder waits for
// all its peers to say how far they have seen it grant. After it one peer in
// another failure domain is enough: the others may be lost.
const CheckPeriod = time.Second

// durable is what a register with a data folder holds besides the keys' records.
type durable struct {
	on bool
	// sequence counts the grants of this life.
	sequence uint64
	// whole says that nothing an earlier life granted can still count.
	whole bool
	// resumed says that this life began in an earlier process.
	resumed bool
	// heard names the peers that have said how far they have seen this life grant.
	heard map[string]bool
	// full says that the folder is at its bound.
	full bool
	// failed says that a record couldn't be made durable.
	failed bool
	writes []*wire.ClaimStored
}

// Stored is what a data folder held.
type Stored struct {
	head     *wire.ClaimStoredHead
	sequence uint64
	// oldest is the first file that the last one needs.
	oldest uint64
	claims map[string]*wire.ClaimRecord
}

// Add takes the next record of the folder.
func (s *Stored) Add(rec *wire.ClaimStored) {
	s.sequence = max(s.sequence, rec.Sequence)
	if h := rec.GetHead(); h != nil {
		if h.Forgot {
			s.claims, s.sequence = nil, rec.Sequence
		}
		s.head = h
		s.oldest = max(s.oldest, h.Oldest)
		return
	}
	if s.claims == nil {
		s.claims = map[string]*wire.ClaimRecord{}
	}
	c := rec.GetClaim()
	s.claims[keyText(c.GetKey())] = c
}

func sameLife(a, b *wire.Incarnation) bool {
	return a.GetId() == b.GetId() && a.GetNumber() == b.GetNumber()
}

// NewDurableRegister makes the register of a process with a data folder. What
// the folder held is nil if that is nothing, or nothing that can be trusted: the
// register then begins a life with the process's number, and has forgotten.
//
// Else it goes on as if it had only been slow. A record's remaining time is that
// of its last write, and the time in between counts as none: no clock that runs
// on while the process is down can be trusted, and a record that expired early
// would let a request run again. One that is remembered for longer only costs
// memory.
func NewDurableRegister(s RegisterSettings, process *wire.Incarnation, st *Stored, now time.Time) *Register {
	r := NewRegister(s, process, now)
	r.on = true
	r.heard = map[string]bool{}
	if st == nil || st.head.GetSelf().GetId() != process.GetId() {
		r.writeHead(true)
		return r
	}
	r.self, r.sequence = st.head.Self, st.sequence
	r.whole, r.resumed = st.head.Whole, true
	for _, id := range st.head.Copied {
		r.copied[id] = true
	}
	for _, l := range st.head.Lives {
		r.lives[l.Id] = l.Number
	}
	r.writeHead(false)
	for text, c := range st.claims {
		r.put(now, text, c, now.Add(r.ttl(c.TtlLeftMs)))
	}
	return r
}

// TakeWrites returns the records that must be durable before a reply that was
// made after them leaves, in their order.
func (r *Register) TakeWrites() []*wire.ClaimStored {
	w := r.writes
	r.writes = nil
	return w
}

// Fail ends the granting: a record couldn't be made durable. Whether the disk
// holds it is not known, so nothing is tried again.
func (r *Register) Fail() {
	r.failed = true
	r.writes = nil
}

// write notes a key's record for the folder. The answer's body and headers stay
// in memory: a resend after a restart hears that the request ran.
func (r *Register) write(now time.Time, rec *record) {
	if !r.on || r.failed {
		return
	}
	c := &wire.ClaimRecord{
		Key: rec.Key, Holder: rec.Holder, Entry: rec.Entry, State: rec.State, Digest: rec.Digest,
		TtlLeftMs: uint32(max(rec.expires.Sub(now), time.Millisecond).Milliseconds()),
	}
	if rec.Answer != nil {
		c.Answer = &wire.StoredAnswer{Status: rec.Answer.Status, Dropped: true}
	}
	r.writes = append(r.writes, &wire.ClaimStored{Record: &wire.ClaimStored_Claim{Claim: c}, Sequence: r.sequence})
}

func (r *Register) writeHead(forgot bool) {
	if !r.on || r.failed {
		return
	}
	h := &wire.ClaimStoredHead{Self: r.self, Whole: r.whole, Forgot: forgot}
	for id := range r.copied {
		h.Copied = append(h.Copied, id)
	}
	sort.Strings(h.Copied)
	for id, n := range r.lives {
		h.Lives = append(h.Lives, &wire.Incarnation{Id: id, Number: n})
	}
	sort.Slice(h.Lives, func(i, j int) bool { return h.Lives[i].Id < h.Lives[j].Id })
	r.writes = append(r.writes, &wire.ClaimStored{Record: &wire.ClaimStored_Head{Head: h}, Sequence: r.sequence})
}

// advance notes durably that what was forgotten can't count any more: a restart
// begins to count the time anew.
func (r *Register) advance(now time.Time) {
	if r.on && !r.whole && now.Sub(r.started) >= r.settings.MaxTTL {
		r.whole = true
		r.writeHead(false)
	}
}

// Unheard lists the peers that have not said how far they have seen a register
// that came up from its folder.
func (r *Register) Unheard(now time.Time) []*wire.RingMember {
	if !r.resumed || now.Sub(r.started) >= r.settings.MaxTTL {
		return nil
	}
	var list []*wire.RingMember
	for _, m := range r.peers() {
		if !r.heard[m.Id] {
			list = append(list, m)
		}
	}
	return list
}

// unchecked says whether the folder may be an older copy: grants that it lacks
// would be given a second time. A peer that has seen them says so.
func (r *Register) unchecked(now time.Time) bool {
	if r.settings.off.rollback {
		return false
	}
	if r.resumed && r.ring.Epoch == 0 {
		return true
	}
	if len(r.Unheard(now)) == 0 {
		return false
	}
	return now.Sub(r.started) < CheckPeriod || !r.heardElsewhere()
}

// heardElsewhere says whether a peer in another failure domain has been heard.
func (r *Register) heardElsewhere() bool {
	domain := ""
	for _, m := range r.members() {
		if m.Id == r.self.Id {
			domain = m.FailureDomain
		}
	}
	for _, m := range r.peers() {
		if r.heard[m.Id] && m.FailureDomain != domain {
			return true
		}
	}
	return false
}

// TakeSeen takes what a peer has seen of this register. If that is more than the
// folder held, the folder is an older copy: the register then begins a new life
// and has forgotten all. It says whether that is so.
func (r *Register) TakeSeen(now time.Time, peer string, seen *wire.ClaimSeen, process uint64) (older bool) {
	if !r.resumed || r.settings.off.rollback {
		return false
	}
	life := seen.GetLife().GetNumber()
	if life > r.self.Number || life == r.self.Number && seen.Sequence > r.sequence {
		r.forget(now, max(process, r.self.Number+1, life+1))
		return true
	}
	r.heard[peer] = true
	return false
}

// SeenOf returns what an entry knows of another one's register: what it has seen
// it grant, or a later life, which its own register was told of. A folder that was
// put aside while the register ran in memory is older than that life.
func (r *Register) SeenOf(id string, seen Seen) *wire.ClaimSeen {
	s := seen.Of(id)
	if later := r.laterLife(&wire.Incarnation{Id: id, Number: s.GetLife().GetNumber()}); later != 0 {
		return &wire.ClaimSeen{Life: &wire.Incarnation{Id: id, Number: later}}
	}
	return s
}

// forget begins a life that knows nothing, as on an empty folder.
func (r *Register) forget(now time.Time, number uint64) {
	r.self = &wire.Incarnation{Id: r.self.Id, Number: number}
	r.started, r.sequence = now, 0
	r.whole, r.resumed = false, false
	r.records, r.expiry, r.held = map[string]*record{}, nil, 0
	clear(r.copied)
	clear(r.lives)
	r.writeHead(true)
}

// Life returns the register's life as others must know it.
func (r *Register) Life() *wire.ClaimRegister {
	return &wire.ClaimRegister{Life: r.self.Number, Durable: r.on && !r.failed}
}

// Seen is how far an entry has seen other entries' registers grant.
type Seen map[string]*wire.ClaimSeen

// Note takes a register's reply.
func (s Seen) Note(reply *wire.ClaimReply) {
	if reply.GetSequence() == 0 {
		return
	}
	id := reply.Self.GetId()
	old := s[id]
	newer := reply.Self.Number > old.GetLife().GetNumber() ||
		sameLife(reply.Self, old.GetLife()) && reply.Sequence > old.GetSequence()
	if newer {
		s[id] = &wire.ClaimSeen{Life: reply.Self, Sequence: reply.Sequence}
	}
}

// Of returns what was seen of an entry's register.
func (s Seen) Of(id string) *wire.ClaimSeen {
	if seen := s[id]; seen != nil {
		return proto.Clone(seen).(*wire.ClaimSeen)
	}
	return &wire.ClaimSeen{}
}
