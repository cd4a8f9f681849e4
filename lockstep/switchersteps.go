package lockstep

import (
	"time"

	"github.com/snipereach/snipereach/wire"
)

// Tick advances the switch and returns the orders to send now. HandleReply must be called for
// each of them, also if no reply came.
func (s *Switcher) Tick(now time.Time) []Order {
	if s.Fenced() || !s.allKnown() {
		return nil
	}
	switch s.phase {
	case Preparing:
		return s.prepareRanks(now)
	case Holding:
		return s.holdGroup(now)
	case Arming:
		return s.armRanks(now)
	case Releasing:
		return s.releaseGroup(now)
	case Cleaning:
		return s.cleanUp(now)
	default:
		return s.checkStaleHold(now)
	}
}

// allKnown reports whether the state of every rank has been read.
func (s *Switcher) allKnown() bool {
	for i := range s.ranks {
		if s.ranks[i].report == nil {
			return false
		}
	}
	return true
}

// canSend reports whether a rank can be sent an order: none awaits a reply, and the last one is
// older than ResendInterval.
func (s *Switcher) canSend(now time.Time, i int) bool {
	r := &s.ranks[i]
	return r.pending == nil && (r.sentAt.IsZero() || now.Sub(r.sentAt) >= s.cfg.ResendInterval)
}

// makeOrder returns an order to a rank, or nothing if it can't be sent now.
func (s *Switcher) makeOrder(now time.Time, i int, o *wire.RankOrder) []Order {
	if !s.canSend(now, i) {
		return nil
	}
	r := &s.ranks[i]
	o.Instance, o.FencingToken, o.Epoch = r.instance, s.cfg.Token, s.cfg.Epoch
	o.ExpectSequence = r.report.Sequence
	r.pending, r.pendingSince, r.sentAt = o, now, now
	return []Order{{i, o}}
}

// prepareRanks has each rank copy the experts that are new to it. As nothing is armed or held
// yet, the switch can be given up without a cleanup.
func (s *Switcher) prepareRanks(now time.Time) []Order {
	if s.allPrepared() {
		if s.mayHold(now) {
			s.enterPhase(now, Holding)
		}
		return nil
	}
	if now.Sub(s.phaseSince) > s.cfg.PrepareTimeout {
		s.outcome = "given up: not all ranks prepared the map in time"
		s.enterPhase(now, Idle)
		return nil
	}
	var out []Order
	for i := range s.ranks {
		r := &s.ranks[i]
		if r.report.Prepared != s.version && r.preparing != s.version {
			out = append(out, s.makeOrder(now, i, &wire.RankOrder{
				Kind: wire.RankOrderKind_RANK_ORDER_KIND_PREPARE, Version: s.version, Map: s.mapFor(r),
			})...)
		}
	}
	return out
}

// allPrepared reports whether every rank is known to have prepared the version of the switch.
func (s *Switcher) allPrepared() bool {
	for i := range s.ranks {
		if s.ranks[i].report.Prepared != s.version {
			return false
		}
	}
	return true
}

// pickStep chooses the step of the switch, far enough ahead that the hold arrives before it,
// and the rank that is to hold the group.
func (s *Switcher) pickStep(now time.Time) {
	pass := s.PassTime()
	ahead := uint64(s.cfg.Lead/pass) + leadPasses
	begun := s.latestStep
	if !s.latestStepAt.IsZero() && now.After(s.latestStepAt) {
		begun += uint64(min(now.Sub(s.latestStepAt), s.cfg.Lead) / pass)
	}
	s.step = begun + ahead
	s.holder = (s.holder + 1) % s.cfg.Ranks
	s.holdAttempts++
}

// holdGroup holds the group at the step of the switch. A rank that hasn't confirmed the hold
// may still carry it out later; that hold is released with the others.
func (s *Switcher) holdGroup(now time.Time) []Order {
	r := &s.ranks[s.holder]
	if r.report.Held == s.step || s.cfg.disabled.holdBeforeArm {
		s.enterPhase(now, Arming)
		return s.armRanks(now)
	}
	if r.pending != nil {
		return nil
	}
	if !r.sentAt.IsZero() {
		if s.holdAttempts >= maxHoldAttempts {
			s.giveUp(now, "no rank confirmed the hold")
			return nil
		}
		s.pickStep(now)
		r = &s.ranks[s.holder]
		r.sentAt = time.Time{}
	}
	return s.makeOrder(now, s.holder, &wire.RankOrder{Kind: wire.RankOrderKind_RANK_ORDER_KIND_HOLD, Step: s.step})
}

// armRanks tells each rank the step of the switch. As the group is held before that step, this
// may take any time up to HoldTimeout; requests wait meanwhile.
func (s *Switcher) armRanks(now time.Time) []Order {
	switch {
	case s.ranks[s.holder].report.Held != s.step && !s.cfg.disabled.holdBeforeArm:
		s.giveUp(now, "the group is no longer held")
		return nil
	case now.Sub(s.phaseSince) > s.cfg.HoldTimeout:
		s.giveUp(now, "not all ranks could be armed in time")
		return nil
	}
	var out []Order
	done := true
	for i := range s.ranks {
		if s.ranks[i].isArmed(s.version) {
			continue
		}
		done = false
		// An order that was replied to may still be carried out again: a relay may have sent it
		// twice. A second copy that arrives after the rank was disarmed would arm this rank only.
		s.ranks[i].mayArm = s.version
		out = append(out, s.makeOrder(now, i, &wire.RankOrder{
			Kind: wire.RankOrderKind_RANK_ORDER_KIND_ARM, Version: s.version, Step: s.step,
		})...)
	}
	if done {
		s.enterPhase(now, Releasing)
		return s.releaseGroup(now)
	}
	return out
}

// releaseGroup lets the group continue. All ranks switch when the step begins.
//
// The switch ends only when each rank has been read since it was armed. Until then, a hold of an
// earlier attempt may be unknown, and the next map could be sent as changes to a map that isn't
// in use yet.
func (s *Switcher) releaseGroup(now time.Time) []Order {
	out, released := s.releaseHolds(now)
	if released && !s.awaitsReportOfArmed() {
		s.current, s.outcome = s.target, "in force"
		s.enterPhase(now, Idle)
	}
	return out
}

// releaseHolds orders each rank that reports a hold to continue. released is true if no rank
// does.
func (s *Switcher) releaseHolds(now time.Time) (out []Order, released bool) {
	released = true
	for i := range s.ranks {
		r := &s.ranks[i]
		if r.report.Held == 0 {
			// An unconfirmed hold may still arrive. It is void once its step has begun;
			// checkStaleHold releases it if it arrives earlier.
			continue
		}
		released = false
		out = append(out, s.makeOrder(now, i, &wire.RankOrder{Kind: wire.RankOrderKind_RANK_ORDER_KIND_GO, Step: r.report.Held})...)
	}
	return out, released
}

// cleanUp disarms all ranks and makes sure that no outstanding order can arm one before it
// releases the group.
//
// If an arm order may still be carried out on a rank, the rank prepares the current map under a
// new version, which makes the order void.
func (s *Switcher) cleanUp(now time.Time) []Order {
	out, fencing := s.fenceHolders(now)
	if fencing {
		return out
	}
	if !s.fencedHold() && s.anyArmed() {
		// An earlier leader has released the group, so every rank is armed.
		s.enterPhase(now, Idle)
		return nil
	}
	if out := s.cleanRanks(now); out != nil || !s.allClean() {
		return out
	}
	out, released := s.releaseHolds(now)
	if released {
		s.enterPhase(now, Idle)
	}
	return out
}

// fenceHolders makes the ranks that hold the group reject orders of earlier leaders. Other
// ranks must not be disarmed before: if an earlier leader released the group between that and
// the next pass, a disarmed rank would be the only one without the new map. The order repeats
// the existing hold, so it changes nothing or restores a hold that was released meanwhile.
func (s *Switcher) fenceHolders(now time.Time) (out []Order, fencing bool) {
	for i := range s.ranks {
		r := &s.ranks[i]
		if r.report.Held == 0 || r.fenced {
			continue
		}
		out = append(out, s.makeOrder(now, i, &wire.RankOrder{Kind: wire.RankOrderKind_RANK_ORDER_KIND_HOLD, Step: r.report.Held})...)
		fencing = true
	}
	return out, fencing
}

// fencedHold reports whether a fenced rank holds the group.
func (s *Switcher) fencedHold() bool {
	for i := range s.ranks {
		if s.ranks[i].report.Held != 0 && s.ranks[i].fenced {
			return true
		}
	}
	return false
}

func (s *Switcher) anyArmed() bool {
	for i := range s.ranks {
		if s.ranks[i].report.Armed != 0 {
			return true
		}
	}
	return false
}

// cleanRanks disarms armed ranks and makes outstanding arm orders void.
func (s *Switcher) cleanRanks(now time.Time) []Order {
	var out []Order
	for i := range s.ranks {
		switch {
		case s.ranks[i].report.Armed != 0:
			out = append(out, s.makeOrder(now, i, &wire.RankOrder{
				Kind: wire.RankOrderKind_RANK_ORDER_KIND_DISARM, Version: s.ranks[i].report.Armed,
			})...)
		case !s.isClean(i):
			out = append(out, s.voidArmOrders(now, i)...)
		}
	}
	return out
}

// allClean reports whether no rank is armed or can still be armed by an order of this or an
// earlier leader.
func (s *Switcher) allClean() bool {
	for i := range s.ranks {
		if !s.isClean(i) {
			return false
		}
	}
	return true
}

// isClean reports whether a rank is not armed and can't be armed by an outstanding order.
func (s *Switcher) isClean(i int) bool {
	r := &s.ranks[i]
	noArmOrder := r.mayArm == 0 || r.report.Prepared != r.mayArm || s.cfg.disabled.voidArmOrders
	return r.report.Armed == 0 && noArmOrder && r.pending == nil && r.fenced
}

// voidArmOrders has a rank prepare the current map under a new version, which changes nothing
// but makes earlier arm orders void.
func (s *Switcher) voidArmOrders(now time.Time, i int) []Order {
	if !s.canSend(now, i) {
		return nil
	}
	s.lastVersion++
	return s.makeOrder(now, i, &wire.RankOrder{
		Kind: wire.RankOrderKind_RANK_ORDER_KIND_PREPARE, Version: s.lastVersion, Map: s.current.encode(),
	})
}

// checkStaleHold looks for a held group while no switch is in progress, left by an earlier
// leader or by an order that was delayed.
//
// An earlier leader may still complete its switch, so its hold is cleaned up only after
// TakeoverGrace; a live leader releases the group within a few passes. Armed ranks in a group
// that isn't held are left alone: the leader that armed them has released the group, so all
// ranks are armed.
func (s *Switcher) checkStaleHold(now time.Time) []Order {
	held, fenced, armed := false, true, 0
	for i := range s.ranks {
		held = held || s.ranks[i].report.Held != 0
		fenced = fenced && s.ranks[i].fenced
		if s.ranks[i].report.Armed != 0 {
			armed++
		}
	}
	switch {
	case !held:
		s.heldSince = time.Time{}
		return nil
	case s.heldSince.IsZero():
		s.heldSince = now
	}
	if fenced && armed == 0 {
		// A delayed hold order of this leader.
		out, _ := s.releaseHolds(now)
		return out
	}
	if now.Sub(s.heldSince) < s.cfg.TakeoverGrace {
		return nil
	}
	s.giveUp(now, "an earlier leader left the group held")
	return nil
}
