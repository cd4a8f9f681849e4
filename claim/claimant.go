package claim

import (
	"github.com/snipereach/snipereach/wire"
)

// Verdict is what a claimant's replies amount to.
type Verdict int

// Verdicts.
const (
	// Pending: more replies may decide it.
	Pending Verdict = iota
	// Won: the request holds a majority and may run, or be released as not run.
	Won
	// Held: another request holds the key; it may be running.
	Held
	// Settled: another request with the key has run, or may have.
	Settled
	// Lost: no majority can be had by this round.
	Lost
	// Outdated: the ring has changed; ask again by the new one.
	Outdated
)

// Claimant is one round of a request's claim to a key.
type Claimant struct {
	sets    [][]*wire.RingMember
	epoch   uint64
	replies map[string]*wire.ClaimReply
	failed  map[string]bool
	off     safeguards
}

// NewClaimant starts a round. joint is true for one time to live after a ring
// change: until then an entry that has not heard of it may claim by the old ring.
func NewClaimant(ring *wire.Ring, key *wire.ClaimKey, joint bool) *Claimant {
	all := sets(ring, key)
	if !joint {
		all = all[:1]
	}
	return &Claimant{
		sets: all, epoch: ring.GetEpoch(),
		replies: map[string]*wire.ClaimReply{}, failed: map[string]bool{},
	}
}

// Targets lists the registers to ask.
func (c *Claimant) Targets() []*wire.RingMember {
	var list []*wire.RingMember
	for _, set := range c.sets {
		for _, m := range set {
			if !Contains(list, m.Id) {
				list = append(list, m)
			}
		}
	}
	return list
}

// Take notes a register's reply.
func (c *Claimant) Take(id string, reply *wire.ClaimReply) { c.replies[id] = reply }

// Fail notes that a register gave none.
func (c *Claimant) Fail(id string) { c.failed[id] = true }

// Verdict judges the replies so far, and names the record that decided, if any.
// A record with Pending decides once no more replies are waited for.
func (c *Claimant) Verdict() (Verdict, *wire.ClaimRecord) {
	var held, ran *wire.ClaimRecord
	for _, m := range c.Targets() {
		r := c.replies[m.Id]
		if r == nil {
			continue
		}
		if r.RingEpoch > c.epoch {
			return Outdated, nil
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
		// A register that restarted on its folder has lost the answer's body;
		// another one may have it.
		if c.complete() {
			return Settled, ran
		}
		return Pending, ran
	}
	if c.won() {
		return Won, nil
	}
	if !c.complete() {
		return Pending, nil
	}
	if held != nil {
		return Held, held
	}
	return Lost, nil
}

func (c *Claimant) won() bool {
	for _, set := range c.sets {
		n := 0
		for _, m := range set {
			if c.granted(m.Id) {
				n++
			}
		}
		if n < Majority {
			return false
		}
	}
	return true
}

// granted says whether a register's grant counts. A grant that it gave in a life
// which has ended since is worth nothing: in its new life the register may have
// given the key to another, after copying from a peer that had not yet heard of
// this request. That peer names the new life in every reply after the copy.
func (c *Claimant) granted(id string) bool {
	r := c.replies[id]
	if r == nil || !r.Granted {
		return false
	}
	if c.off.lives {
		return true
	}
	for other, reply := range c.replies {
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

func (c *Claimant) complete() bool {
	for _, m := range c.Targets() {
		if c.replies[m.Id] == nil && !c.failed[m.Id] {
			return false
		}
	}
	return true
}
