package lockstep

import (
	"time"

	"github.com/snipereach/snipereach/wire"
)

// Tick moves the switch on and returns the orders to give now. Each is to be answered
// by Replied, also when nothing came back.
func (s *Switcher) Tick(now time.Time) []Order {
	if s.Fenced() || !s.known() {
		return nil
	}
	switch s.phase {
	case Preparing:
		return s.prepare(now)
	case Holding:
		return s.hold(now)
	case Arming:
		return s.arm(now)
	case Releasing:
		return s.release(now)
	case Cleaning:
		return s.clean(now)
	default:
		return s.idle(now)
	}
}

func (s *Switcher) known() bool {
	for i := range s.ranks {
		if s.ranks[i].report == nil {
			return false
		}
	}
	return true
}

// mayOrder says whether no order to a rank is on its way or has just been sent.
func (s *Switcher) mayOrder(now time.Time, i int) bool {
	r := &s.ranks[i]
	return r.pending == nil && (r.sent.IsZero() || now.Sub(r.sent) >= s.cfg.Resend)
}

// order makes an order to a rank, unless one is on its way or has just been sent.
func (s *Switcher) order(now time.Time, i int, o *wire.RankOrder) []Order {
	if !s.mayOrder(now, i) {
		return nil
	}
	r := &s.ranks[i]
	o.Instance, o.FencingToken, o.Epoch = r.instance, s.cfg.Token, s.cfg.Epoch
	o.ExpectSequence = r.report.Sequence
	r.pending, r.sent = o, now
	return []Order{{i, o}}
}

// prepare has each rank copy what is new to it. Nothing is armed or held yet, so a
// switch that is given up here leaves nothing behind.
func (s *Switcher) prepare(now time.Time) []Order {
	if now.Sub(s.since) > s.cfg.PrepareLimit {
		s.outcome = "given up: ranks did not prepare in time"
		s.enter(now, Idle)
		return nil
	}
	var out []Order
	done := true
	for i := range s.ranks {
		r := &s.ranks[i]
		if r.report.Prepared == s.version {
			continue
		}
		done = false
		if r.accepted != s.version {
			out = append(out, s.order(now, i, &wire.RankOrder{
				Kind: wire.RankOrderKind_RANK_ORDER_KIND_PREPARE, Version: s.version, Map: s.mapFor(r),
			})...)
		}
	}
	if done {
		s.enter(now, Holding)
	}
	return out
}

// pickStep chooses the step of the switch, far enough ahead for the hold to come
// before it.
func (s *Switcher) pickStep(now time.Time) {
	pass := s.PassTime()
	ahead := uint64(s.cfg.Lead/pass) + leadPasses
	begun := s.seenStep
	if !s.seenAt.IsZero() && now.After(s.seenAt) {
		begun += uint64(min(now.Sub(s.seenAt), s.cfg.Lead) / pass)
	}
	s.step = begun + ahead
	s.holder = (s.holder + 1) % s.cfg.Ranks
	s.holds++
}

// hold keeps the group from the step of the switch. A rank that doesn't confirm it
// may hold all the same, later: it is remembered, and released with the others.
func (s *Switcher) hold(now time.Time) []Order {
	r := &s.ranks[s.holder]
	if r.report.Held == s.step || s.cfg.off.hold {
		s.enter(now, Arming)
		return s.arm(now)
	}
	if r.pending != nil {
		return nil
	}
	if !r.sent.IsZero() {
		if s.holds >= maxHolds {
			s.giveUp(now, "no rank confirmed the hold")
			return nil
		}
		s.pickStep(now)
		r = &s.ranks[s.holder]
		r.sent = time.Time{}
	}
	return s.order(now, s.holder, &wire.RankOrder{Kind: wire.RankOrderKind_RANK_ORDER_KIND_HOLD, Step: s.step})
}

// arm tells each rank the step. The group is held before it, so that time does no
// harm but to callers who wait.
func (s *Switcher) arm(now time.Time) []Order {
	switch {
	case s.ranks[s.holder].report.Held != s.step && !s.cfg.off.hold:
		s.giveUp(now, "the hold is gone")
		return nil
	case now.Sub(s.since) > s.cfg.HoldLimit:
		s.giveUp(now, "not all ranks could be armed in time")
		return nil
	}
	var out []Order
	done := true
	for i := range s.ranks {
		if s.ranks[i].report.Armed == s.version {
			continue
		}
		done = false
		// Also one that is answered may come once more: whoever passes it on may have done so
		// twice, and a second copy that comes after the rank was disarmed arms it alone.
		s.ranks[i].armDoubt = s.version
		out = append(out, s.order(now, i, &wire.RankOrder{
			Kind: wire.RankOrderKind_RANK_ORDER_KIND_ARM, Version: s.version, Step: s.step,
		})...)
	}
	if done {
		s.enter(now, Releasing)
		return s.release(now)
	}
	return out
}

// release lets the group go on. All ranks switch as the step begins.
func (s *Switcher) release(now time.Time) []Order {
	out, free := s.letGo(now)
	if free {
		s.current, s.outcome = s.target, "in force"
		s.enter(now, Idle)
	}
	return out
}

// letGo orders each rank that holds, or may, to go on. free says that none holds and
// none may yet.
func (s *Switcher) letGo(now time.Time) (out []Order, free bool) {
	free = true
	for i := range s.ranks {
		r := &s.ranks[i]
		if r.report.Held == 0 {
			// A hold in doubt that comes after this is void once its step has begun;
			// idle looks for one that came before.
			continue
		}
		free = false
		out = append(out, s.order(now, i, &wire.RankOrder{Kind: wire.RankOrderKind_RANK_ORDER_KIND_GO, Step: r.report.Held})...)
	}
	return out, free
}

// clean disarms every rank and makes sure that no order is left that could arm one,
// and only then lets the group go on.
//
// Where an order without an answer might arm the rank later, the rank prepares the
// map in force under a new version: what is no longer prepared can't be armed.
func (s *Switcher) clean(now time.Time) []Order {
	out, fencing := s.fenceHolders(now)
	if fencing {
		return out
	}
	if !s.held() && s.anyArmed() {
		// An earlier leader has let the group go, so every rank is armed.
		s.enter(now, Idle)
		return nil
	}
	if out := s.cleanRanks(now); out != nil || !s.cleaned() {
		return out
	}
	out, free := s.letGo(now)
	if free {
		s.enter(now, Idle)
	}
	return out
}

// fenceHolders makes the ranks that hold the group obey this leader only. The others
// wait meanwhile: an earlier leader may still let the group go, and a rank that was
// disarmed between that and the next pass would be the only one without the map. The
// order is to hold the same step once more: it changes nothing, or takes the hold back.
func (s *Switcher) fenceHolders(now time.Time) (out []Order, fencing bool) {
	for i := range s.ranks {
		r := &s.ranks[i]
		if r.report.Held == 0 || r.fenced {
			continue
		}
		out = append(out, s.order(now, i, &wire.RankOrder{Kind: wire.RankOrderKind_RANK_ORDER_KIND_HOLD, Step: r.report.Held})...)
		fencing = true
	}
	return out, fencing
}

// held says whether a rank holds the group that obeys this leader only.
func (s *Switcher) held() bool {
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

func (s *Switcher) cleanRanks(now time.Time) []Order {
	var out []Order
	for i := range s.ranks {
		switch {
		case s.ranks[i].report.Armed != 0:
			out = append(out, s.order(now, i, &wire.RankOrder{
				Kind: wire.RankOrderKind_RANK_ORDER_KIND_DISARM, Version: s.ranks[i].report.Armed,
			})...)
		case !s.isClean(i):
			out = append(out, s.settle(now, i)...)
		}
	}
	return out
}

// cleaned says whether no rank is armed or can still become so by an order of this
// leader or an earlier one.
func (s *Switcher) cleaned() bool {
	for i := range s.ranks {
		if !s.isClean(i) {
			return false
		}
	}
	return true
}

// isClean says whether a rank is not armed and can't become so.
func (s *Switcher) isClean(i int) bool {
	r := &s.ranks[i]
	settled := r.armDoubt == 0 || r.report.Prepared != r.armDoubt || s.cfg.off.settle
	return r.report.Armed == 0 && settled && r.pending == nil && r.fenced
}

// settle gives a rank an order that changes nothing and makes earlier ones void.
func (s *Switcher) settle(now time.Time, i int) []Order {
	if !s.mayOrder(now, i) {
		return nil
	}
	s.used++
	return s.order(now, i, &wire.RankOrder{
		Kind: wire.RankOrderKind_RANK_ORDER_KIND_PREPARE, Version: s.used, Map: s.current.encode(),
	})
}

// idle looks for what an earlier leader, or a late order, has left: a held group.
//
// What an earlier leader began is given some time to come to its end, and undone
// then: a group that is held while its leader lives is let go within a few passes.
// Ranks that are armed while nothing holds the group are left alone: the leader that
// armed them has let the group go, so all are.
func (s *Switcher) idle(now time.Time) []Order {
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
		// A hold of this leader's own that came late.
		out, _ := s.letGo(now)
		return out
	}
	if now.Sub(s.heldSince) < s.cfg.TakeoverGrace {
		return nil
	}
	s.giveUp(now, "an earlier leader left the group held")
	return nil
}
