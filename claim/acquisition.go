package claim

import (
	"strconv"
	"time"

	"github.com/snipereach/snipereach/wire"
)

const (
	// DefaultRoundTimeout is how long a round waits for replies if the request doesn't set a
	// timeout.
	DefaultRoundTimeout = 250 * time.Millisecond
	// MinBackoff and MaxBackoff bound the backoff between two rounds, before jitter.
	MinBackoff = 10 * time.Millisecond
	MaxBackoff = 100 * time.Millisecond
	// MaxFailedRounds is how many rounds in a row may fail to find a majority or a
	// holder before the outcome is reported as unknown. Registers that copy after a
	// restart and ring changes need a few rounds. Registers that are lost stay away
	// for minutes, so the caller is told at once rather than at its deadline.
	MaxFailedRounds = 4
)

// JointPeriod returns how long after a ring change a claim needs majorities of both
// rings. An entry that hasn't received the new ring may claim by the old one for
// ConfirmPeriod, and such a claim lasts up to maxTTL.
func JointPeriod(maxTTL time.Duration) time.Duration { return maxTTL + ConfirmPeriod(maxTTL) }

// ConfirmPeriod returns how long an entry may claim by a ring after it was last
// confirmed to be current.
func ConfirmPeriod(maxTTL time.Duration) time.Duration { return maxTTL / 2 }

// Request is a request that acquires an idempotency key.
type Request struct {
	Key *wire.ClaimKey
	// ID identifies the request. Each round claims under an ID of its own, see
	// Holder.
	ID       string
	Entry    *wire.Incarnation
	Digest   []byte
	TTL      time.Duration
	Deadline time.Time
	// RoundTimeout is the timeout of a round; DefaultRoundTimeout if zero.
	RoundTimeout time.Duration
}

// RingState is what an entry knows of the ring.
type RingState struct {
	Ring *wire.Ring
	// Joint is true until JointPeriod has passed since the last ring change.
	Joint bool
	// Confirmed is false if the ring was last confirmed more than ConfirmPeriod ago.
	// Other entries may then claim by a later ring alone.
	Confirmed bool
}

// Decision is the result of a step of an Acquisition.
type Decision int

// Decisions.
const (
	// Wait means that nothing is decided yet.
	Wait Decision = iota
	// Run means that the request holds the key. It must run, or be settled as not run.
	Run
	// Replay means that the answer of an earlier sending is stored.
	Replay
	// Unknown means that a request with the key may have run.
	Unknown
	// Mismatch means that the key was used for a different request.
	Mismatch
)

// Actions is what the caller of Step must do.
type Actions struct {
	Decision Decision
	// Record is the record that led to the decision, if any.
	Record *wire.ClaimRecord
	// Claim is to be sent to Targets, and the replies are to be passed to AddReply.
	Claim *wire.ClaimRequest
	// Release is to be sent to ReleaseTargets, which were claimed by an earlier round.
	Release        *wire.ClaimSettle
	ReleaseTargets []*wire.RingMember
	Targets        []*wire.RingMember
	// WakeAt is the time at which to call Step again, if no reply comes before.
	WakeAt time.Time
}

// Acquisition runs rounds of claims for one request until it holds its key, the
// outcome of an earlier sending is known, too many rounds have failed, or its
// deadline has passed.
type Acquisition struct {
	req Request
	// entryGone reports whether an entry's incarnation has ended.
	entryGone func(*wire.Incarnation) bool
	// jitter returns a random duration up to its argument, so that two entries that
	// claim the same key don't collide in every round.
	jitter func(time.Duration) time.Duration

	roundNumber   int
	round         *Round
	roundDeadline time.Time
	nextRoundAt   time.Time
	backoff       time.Duration
	// failedRounds counts the rounds in a row that found neither a majority nor a holder.
	failedRounds int
	disabled     disabledSafeguards
}

// NewAcquisition returns an Acquisition for a request. Its first round starts with Step.
func NewAcquisition(req Request, gone func(*wire.Incarnation) bool, jitter func(time.Duration) time.Duration) *Acquisition {
	if req.RoundTimeout <= 0 {
		req.RoundTimeout = DefaultRoundTimeout
	}
	return &Acquisition{req: req, entryGone: gone, jitter: jitter, backoff: MinBackoff}
}

// Holder returns the request ID under which the current round claims.
func (acq *Acquisition) Holder() string { return acq.req.ID + "#" + strconv.Itoa(acq.roundNumber) }

// AddReply adds a register's reply to a claim by this holder. A nil reply means that
// the register didn't reply. Replies to earlier rounds are ignored.
func (acq *Acquisition) AddReply(holder, from string, reply *wire.ClaimReply) {
	if acq.round == nil || holder != acq.Holder() {
		return
	}
	if reply == nil {
		acq.round.MarkFailed(from)
		return
	}
	acq.round.AddReply(from, reply)
}

// Step starts, evaluates or ends a round. It is to be called after each reply and at
// WakeAt, until it returns a decision other than Wait.
func (acq *Acquisition) Step(now time.Time, ring RingState) Actions {
	if acq.round != nil {
		a, over := acq.evaluateRound(now)
		if !over {
			return a
		}
		if a.Decision != Wait || !now.Before(acq.req.Deadline) {
			return a
		}
		acq.nextRoundAt = now.Add(acq.backoff/2 + acq.jitter(acq.backoff))
		acq.backoff = min(2*acq.backoff, MaxBackoff)
		a.WakeAt = acq.nextRoundAt
		return a
	}
	if !now.Before(acq.req.Deadline) {
		return Actions{Decision: Unknown}
	}
	if now.Before(acq.nextRoundAt) {
		return Actions{WakeAt: acq.nextRoundAt}
	}
	return acq.startRound(now, ring)
}

func (acq *Acquisition) startRound(now time.Time, ring RingState) Actions {
	if !ring.Confirmed || len(ring.Ring.GetMembers()) < Majority {
		acq.nextRoundAt = now.Add(MaxBackoff)
		return Actions{WakeAt: acq.nextRoundAt}
	}
	acq.roundNumber++
	acq.round = NewRound(ring.Ring, acq.req.Key, ring.Joint)
	acq.round.disabled = acq.disabled
	acq.roundDeadline = now.Add(acq.req.RoundTimeout)
	if acq.roundDeadline.After(acq.req.Deadline) {
		acq.roundDeadline = acq.req.Deadline
	}
	return Actions{
		Claim: &wire.ClaimRequest{
			Key: acq.req.Key, RequestId: acq.Holder(), Entry: acq.req.Entry, RingEpoch: ring.Ring.Epoch,
			TtlMs: uint32(acq.req.TTL.Milliseconds()), Digest: acq.req.Digest,
		},
		Targets: acq.round.Targets(),
		WakeAt:  acq.roundDeadline,
	}
}

// evaluateRound evaluates the current round; over is true if it has ended.
func (acq *Acquisition) evaluateRound(now time.Time) (a Actions, over bool) {
	v, rec := acq.round.Verdict()
	late := !now.Before(acq.roundDeadline)
	switch {
	case v == Won && now.Before(acq.req.Deadline):
		return Actions{Decision: Run, Targets: acq.round.Targets()}, true
	case v == Settled, v == Pending && late && rec != nil:
		return acq.finishSettled(rec), true
	case v == Pending && !late:
		return Actions{WakeAt: acq.roundDeadline}, false
	}
	a = acq.releaseRound()
	acq.failedRounds++
	if v == Held {
		acq.failedRounds = 0
	}
	switch {
	case acq.failedRounds >= MaxFailedRounds:
		a.Decision = Unknown
	case v == Held && !SameRequest(rec, acq.req.Digest):
		a.Decision, a.Record = Mismatch, rec
	case v == Held && acq.entryGone(rec.Entry), !now.Before(acq.req.Deadline):
		// The entry that held the key has died, and only it knew the outcome; or the
		// deadline has passed.
		a.Decision, a.Record = Unknown, rec
	}
	return a, true
}

// releaseRound ends the round and releases its grants, so that a round without a
// majority doesn't block the key until its records expire.
func (acq *Acquisition) releaseRound() Actions {
	targets := acq.round.Targets()
	holder := acq.Holder()
	acq.round = nil
	return Actions{
		ReleaseTargets: targets,
		Release:        &wire.ClaimSettle{Key: acq.req.Key, RequestId: holder, State: wire.ClaimState_CLAIM_STATE_RELEASED},
	}
}

func (acq *Acquisition) finishSettled(rec *wire.ClaimRecord) Actions {
	a := acq.releaseRound()
	a.Record = rec
	switch {
	case !SameRequest(rec, acq.req.Digest):
		a.Decision = Mismatch
	case rec.State == wire.ClaimState_CLAIM_STATE_ANSWERED && !rec.Answer.GetDropped():
		a.Decision = Replay
	default:
		a.Decision = Unknown
	}
	return a
}
