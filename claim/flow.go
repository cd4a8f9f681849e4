package claim

import (
	"strconv"
	"time"

	"github.com/snipereach/snipereach/wire"
)

// Times of a Flow.
const (
	// RoundTimeout is how long one round waits for its registers, if its request
	// doesn't say.
	RoundTimeout = 250 * time.Millisecond
	// MinBackoff and MaxBackoff bound the time between two rounds.
	MinBackoff = 10 * time.Millisecond
	MaxBackoff = 100 * time.Millisecond
	// LostRounds is how many rounds in a row may find no majority. Registers that
	// are copying after a restart, or a ring that changes, take a few; ones that
	// are lost take minutes, and the caller is better told at once when to come
	// back than held until its deadline.
	LostRounds = 4
)

// JointPeriod is how long after a ring change a claim needs majorities of both
// rings. An entry that has not heard of the change may claim by the old ring for
// half a time to live (ConfirmPeriod); such a claim lasts a time to live more.
func JointPeriod(maxTTL time.Duration) time.Duration { return maxTTL + ConfirmPeriod(maxTTL) }

// ConfirmPeriod is how long an entry may claim by a ring that it can't confirm.
func ConfirmPeriod(maxTTL time.Duration) time.Duration { return maxTTL / 2 }

// Request is what a flow claims for.
type Request struct {
	Key *wire.ClaimKey
	// ID names the request; each round claims under a name of its own.
	ID       string
	Entry    *wire.Incarnation
	Digest   []byte
	TTL      time.Duration
	Deadline time.Time
	// Round is how long one round waits for its registers; RoundTimeout if zero.
	Round time.Duration
}

// RingState is what an entry knows of the ring.
type RingState struct {
	Ring *wire.Ring
	// Joint is true until a time to live has passed since the last change.
	Joint bool
	// Confirmed is false when the entry can't tell whether the ring has changed
	// for so long that another entry may already claim by a later one alone.
	Confirmed bool
}

// Choice is what a flow comes to.
type Choice int

// Choices.
const (
	// Wait: nothing is decided yet.
	Wait Choice = iota
	// Run: the request holds the key; it must run, or be settled as not run.
	Run
	// Replay: the answer was stored.
	Replay
	// Unknown: another request with the key has run or may have.
	Unknown
	// Mismatch: the key was used for another request.
	Mismatch
)

// Actions are what a driver must do after a Step.
type Actions struct {
	Choice Choice
	// Record is the one that decided, if any.
	Record *wire.ClaimRecord
	// Claim is to be sent to the targets, and their replies given to Reply.
	Claim *wire.ClaimRequest
	// Release is to be sent to the targets of an earlier round.
	Release        *wire.ClaimSettle
	ReleaseTargets []*wire.RingMember
	Targets        []*wire.RingMember
	// Wake is when to step again at the latest.
	Wake time.Time
}

// Flow carries one request through rounds of claiming until it holds its key,
// learns what became of it, or its deadline comes.
type Flow struct {
	req Request
	// gone says whether an entry's life has ended.
	gone func(*wire.Incarnation) bool
	// jitter draws a part of a duration, so that two entries that claim one key
	// don't step on each other for ever.
	jitter func(time.Duration) time.Duration

	round    int
	claimant *Claimant
	ends     time.Time
	next     time.Time
	backoff  time.Duration
	// lost counts rounds in a row that found no majority and no holder.
	lost int
	off  safeguards
}

// NewFlow starts a flow.
func NewFlow(req Request, gone func(*wire.Incarnation) bool, jitter func(time.Duration) time.Duration) *Flow {
	if req.Round <= 0 {
		req.Round = RoundTimeout
	}
	return &Flow{req: req, gone: gone, jitter: jitter, backoff: MinBackoff}
}

// Holder is the name that the current round claims under.
func (f *Flow) Holder() string { return f.req.ID + "#" + strconv.Itoa(f.round) }

// Reply takes a register's reply to a claim by this holder; nil is none.
func (f *Flow) Reply(holder, from string, reply *wire.ClaimReply) {
	if f.claimant == nil || holder != f.Holder() {
		return
	}
	if reply == nil {
		f.claimant.Fail(from)
		return
	}
	f.claimant.Take(from, reply)
}

// Step moves the flow on.
func (f *Flow) Step(now time.Time, ring RingState) Actions {
	if f.claimant != nil {
		a, over := f.judge(now)
		if !over {
			return a
		}
		if a.Choice != Wait || !now.Before(f.req.Deadline) {
			return a
		}
		f.next = now.Add(f.backoff/2 + f.jitter(f.backoff))
		f.backoff = min(2*f.backoff, MaxBackoff)
		a.Wake = f.next
		return a
	}
	if !now.Before(f.req.Deadline) {
		return Actions{Choice: Unknown}
	}
	if now.Before(f.next) {
		return Actions{Wake: f.next}
	}
	return f.ask(now, ring)
}

func (f *Flow) ask(now time.Time, ring RingState) Actions {
	if !ring.Confirmed || len(ring.Ring.GetMembers()) < Majority {
		f.next = now.Add(MaxBackoff)
		return Actions{Wake: f.next}
	}
	f.round++
	f.claimant = NewClaimant(ring.Ring, f.req.Key, ring.Joint)
	f.claimant.off = f.off
	f.ends = now.Add(f.req.Round)
	if f.ends.After(f.req.Deadline) {
		f.ends = f.req.Deadline
	}
	return Actions{
		Claim: &wire.ClaimRequest{
			Key: f.req.Key, RequestId: f.Holder(), Entry: f.req.Entry, RingEpoch: ring.Ring.Epoch,
			TtlMs: uint32(f.req.TTL.Milliseconds()), Digest: f.req.Digest,
		},
		Targets: f.claimant.Targets(),
		Wake:    f.ends,
	}
}

// judge looks at the round in progress; over says that it is finished.
func (f *Flow) judge(now time.Time) (a Actions, over bool) {
	v, rec := f.claimant.Verdict()
	late := !now.Before(f.ends)
	switch {
	case v == Won && now.Before(f.req.Deadline):
		return Actions{Choice: Run, Targets: f.claimant.Targets()}, true
	case v == Settled, v == Pending && late && rec != nil:
		return f.settled(rec), true
	case v == Pending && !late:
		return Actions{Wake: f.ends}, false
	}
	a = f.release()
	f.lost++
	if v == Held {
		f.lost = 0
	}
	switch {
	case f.lost >= LostRounds:
		a.Choice = Unknown
	case v == Held && !SameRequest(rec, f.req.Digest):
		a.Choice, a.Record = Mismatch, rec
	case v == Held && f.gone(rec.Entry), !now.Before(f.req.Deadline):
		// The entry that held the key has died with what it knew. Waiting longer
		// would only delay the answer.
		a.Choice, a.Record = Unknown, rec
	}
	return a, true
}

// release gives back what the round was granted, so that a split doesn't block
// the key until its time to live ends.
func (f *Flow) release() Actions {
	targets := f.claimant.Targets()
	holder := f.Holder()
	f.claimant = nil
	return Actions{
		ReleaseTargets: targets,
		Release:        &wire.ClaimSettle{Key: f.req.Key, RequestId: holder, State: wire.ClaimState_CLAIM_STATE_RELEASED},
	}
}

func (f *Flow) settled(rec *wire.ClaimRecord) Actions {
	a := f.release()
	a.Record = rec
	switch {
	case !SameRequest(rec, f.req.Digest):
		a.Choice = Mismatch
	case rec.State == wire.ClaimState_CLAIM_STATE_ANSWERED && !rec.Answer.GetDropped():
		a.Choice = Replay
	default:
		a.Choice = Unknown
	}
	return a
}
