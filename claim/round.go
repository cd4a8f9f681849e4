package claim

import (
	"github.com/snipereach/snipereach/wire"
)

// Verdict is the result of a round, from the replies so far.
type Verdict int

// Verdicts.
const (
	// Pending means that further replies may decide the round.
	Pending Verdict = iota
	// Won means that the request holds a majority. It may run, or be settled as not run.
	Won
	// Held means that another request holds the key; it may be running.
	Held
	// Settled means that another request with the key has run, or may have.
	Settled
	// NoMajority means that the round can't get a majority.
	NoMajority
	// RingChanged means that a register has a newer ring; the next round must use it.
	RingChanged
)

// Round is one round of claims for a key by one request.
type Round struct {
	sets     [][]*wire.RingMember
	epoch    uint64
	replies  map[string]*wire.ClaimReply
	failed   map[string]bool
	disabled disabledSafeguards
}

// NewRound returns a round without replies. With joint, the claim needs majorities
// of both the ring and its predecessor; see JointPeriod.
func NewRound(ring *wire.Ring, key *wire.ClaimKey, joint bool) *Round {
	all := registerSets(ring, key)
	if !joint {
		all = all[:1]
	}
	return &Round{
		sets: all, epoch: ring.GetEpoch(),
		replies: map[string]*wire.ClaimReply{}, failed: map[string]bool{},
	}
}

// Targets lists the registers to send the claim to.
func (rd *Round) Targets() []*wire.RingMember {
	var list []*wire.RingMember
	for _, set := range rd.sets {
		for _, m := range set {
			if !ContainsMember(list, m.Id) {
				list = append(list, m)
			}
		}
	}
	return list
}

// AddReply adds a register's reply.
func (rd *Round) AddReply(id string, reply *wire.ClaimReply) { rd.replies[id] = reply }

// MarkFailed notes that a register didn't reply.
func (rd *Round) MarkFailed(id string) { rd.failed[id] = true }

// Verdict evaluates the replies so far, and returns the record that led to the
// verdict, if any. A record returned with Pending decides the round if it times out.
func (rd *Round) Verdict() (Verdict, *wire.ClaimRecord) {
	var held, ran *wire.ClaimRecord
	for _, m := range rd.Targets() {
		r := rd.replies[m.Id]
		if r == nil {
			continue
		}
		if r.RingEpoch > rd.epoch {
			return RingChanged, nil
		}
		if rec := r.Record; rec != nil {
			switch {
			case rec.State == wire.ClaimState_CLAIM_STATE_ANSWERED && rec.Answer.GetDropped():
				ran = rec
			case rec.State == wire.ClaimState_CLAIM_STATE_ANSWERED, rec.State == wire.ClaimState_CLAIM_STATE_UNKNOWN:
				return Settled, rec
			default:
				held = rec
			}
		}
	}
	if ran != nil {
		// A register that restarted with its folder has lost the body of the answer;
		// another one may still have it.
		if rd.complete() {
			return Settled, ran
		}
		return Pending, ran
	}
	if rd.hasMajority() {
		return Won, nil
	}
	if !rd.complete() {
		return Pending, nil
	}
	if held != nil {
		return Held, held
	}
	return NoMajority, nil
}

func (rd *Round) hasMajority() bool {
	for _, set := range rd.sets {
		n := 0
		for _, m := range set {
			if rd.grantCounts(m.Id) {
				n++
			}
		}
		if n < Majority {
			return false
		}
	}
	return true
}

// grantCounts reports whether a register's grant counts. A grant of an earlier
// incarnation doesn't: in its new incarnation, the register may have granted the key
// to another request, after it copied from a peer that hadn't yet received this
// claim. That peer names the new incarnation in its replies after the copy.
func (rd *Round) grantCounts(id string) bool {
	r := rd.replies[id]
	if r == nil || !r.Granted {
		return false
	}
	if rd.disabled.incarnationCheck {
		return true
	}
	for other, reply := range rd.replies {
		if other == id {
			continue
		}
		for _, known := range reply.Known {
			if known.Id == id && known.Number > r.Self.GetNumber() {
				return false
			}
		}
	}
	return true
}

func (rd *Round) complete() bool {
	for _, m := range rd.Targets() {
		if rd.replies[m.Id] == nil && !rd.failed[m.Id] {
			return false
		}
	}
	return true
}
