package lockstep

import (
	"time"

	"github.com/snipereach/snipereach/wire"
)

// Phase is how far a switch has come.
type Phase int

// Phases.
const (
	// Idle: no switch is in progress.
	Idle Phase = iota
	// Preparing: ranks copy the experts that are new to them.
	Preparing
	// Holding: the group is kept from the step at which it is to switch.
	Holding
	// Arming: each rank is told the step.
	Arming
	// Releasing: all ranks are armed and the group goes on.
	Releasing
	// Cleaning: a switch was given up; ranks are disarmed before the group goes on.
	Cleaning
)

var phaseNames = [...]string{"idle", "preparing", "holding", "arming", "releasing", "cleaning"}

// String returns the phase as logs show it.
func (p Phase) String() string { return phaseNames[p] }

// Config of a Switcher.
type Config struct {
	Ranks int
	// Token is the fencing token of who leads the group.
	Token uint64
	// Epoch is how the group was formed last.
	Epoch uint64
	// Used is the last version that this leader has used in an earlier epoch. A rank
	// that outlived it takes none that isn't higher.
	Used uint64
	// Lead is the time between the hold and its step, at least: the ranks are to be
	// armed before the group gets there.
	Lead time.Duration
	// PrepareLimit bounds the copying, HoldLimit the time from the hold until all are
	// armed. A switch that takes longer is given up.
	PrepareLimit, HoldLimit time.Duration
	// TakeoverGrace is how long a group that an earlier leader holds is left to it.
	TakeoverGrace time.Duration
	// Resend is the time after which an order that brought nothing is sent again.
	Resend time.Duration
	// UsualPass is taken for a pass's time until two readings tell it.
	UsualPass time.Duration

	// off turns safeguards off, to show that tests catch what they prevent.
	off safeguards
}

// safeguards of a Switcher.
type safeguards struct {
	// settle: a rank that a late order may arm doesn't count as clean.
	settle bool
	// hold: the group is held before any rank is armed.
	hold bool
}

// DefaultConfig suits passes of some tens of milliseconds and orders that take a few.
func DefaultConfig(ranks int, token, epoch uint64) Config {
	return Config{
		Ranks: ranks, Token: token, Epoch: epoch,
		Lead: 60 * time.Millisecond, PrepareLimit: 4 * time.Second, HoldLimit: 1200 * time.Millisecond,
		TakeoverGrace: 300 * time.Millisecond,
		Resend:        40 * time.Millisecond, UsualPass: 50 * time.Millisecond,
	}
}

const (
	// versionBits leave each fencing token a range of map versions: versions of a
	// later leader are higher than any that an earlier one may have used.
	versionBits = 20
	// leadPasses are added to the lead: the step that is read is already under way.
	leadPasses = 2
	// minPass and maxPass bound what is believed of a pass's time.
	minPass = 10 * time.Millisecond
	maxPass = 500 * time.Millisecond
	// maxHolds bounds the tries to hold a step before the group gets there.
	maxHolds = 4
)

// Order is an order to a rank.
type Order struct {
	Rank int
	*wire.RankOrder
}

// Switcher brings maps into force on one group in one epoch, for one leader.
//
// Invariant: no rank begins a step with another map than the others. A rank is armed
// only while the group is held at that step, and the hold ends only when every rank
// is known to be armed, or every rank is known not to be and no order is left that
// could still arm one.
//
// An order without an answer may be carried out seconds later, and one with an answer a
// second time. A late copy does nothing once what it names is over: each switch has a version of its own, and a
// rank arms only a version that it has prepared and a step that has not begun. So an
// arm order is void as soon as the rank has prepared another version.
//
// What breaks without it: one rank that is armed late, or not at all, begins a step
// with another map, and tokens go to ranks that don't hold their experts.
//
// It is not safe for use by several goroutines.
type Switcher struct {
	cfg     Config
	ranks   []rank
	phase   Phase
	since   time.Time
	version uint64
	// target is the map of the switch, current the one in force.
	target, current Map
	// targetEncoded is the target as orders carry it. It is made once a switch: a tick
	// follows each answer of a rank, and made for each rank in each of them it took the
	// leader of 72 ranks 0.15 s of processor time a switch, in which it gave no sign of
	// life to its followers.
	targetEncoded []byte
	// targetChanges is the target as changes to the map in force; nil if that has no version.
	targetChanges []byte
	step          uint64
	// holder is the rank at which the group is held, holds how often it was tried.
	holder, holds int
	used          uint64
	outcome       string
	pass          time.Duration
	seenStep      uint64
	seenAt        time.Time
	// heldSince is when the group was first seen held while no switch is in progress.
	heldSince time.Time
}

// rank is what is known of one rank.
type rank struct {
	instance string
	report   *wire.RankReport
	// at is when the report was read.
	at time.Time
	// pending is the order that is on its way; sent is when the last one left.
	pending *wire.RankOrder
	sent    time.Time
	// armDoubt is a version that an order which was given may arm yet, or again; 0 is none.
	armDoubt uint64
	// accepted is the version that the rank has begun to prepare.
	accepted uint64
	// fenced says that the rank has carried out an order of this leader.
	fenced bool
	// lacksBase says that the process beside the rank didn't know the map in force when it
	// was told of changes to it: it has started since. Whole maps are told until it has one.
	lacksBase bool
}

// mapFor is the target as a rank is to be told of it.
func (s *Switcher) mapFor(r *rank) []byte {
	if r.lacksBase || s.targetChanges == nil || len(s.targetChanges) >= len(s.targetEncoded) {
		return s.targetEncoded
	}
	return s.targetChanges
}

// New makes a switcher that has heard of nothing.
func New(cfg Config) *Switcher {
	return &Switcher{cfg: cfg, ranks: make([]rank, cfg.Ranks), phase: Idle, used: max(cfg.Token<<versionBits, cfg.Used)}
}

// Phase returns how far a switch has come.
func (s *Switcher) Phase() Phase { return s.phase }

// Outcome says how the last switch ended.
func (s *Switcher) Outcome() string { return s.outcome }

// SetCurrent tells the map in force, once, as the ranks hold it.
func (s *Switcher) SetCurrent(m Map) { s.current = m }

// Current is the map in force; nil if it isn't known.
func (s *Switcher) Current() Map { return s.current }

// Used is the last version that was used.
func (s *Switcher) Used() uint64 { return s.used }

// Version is that of the switch in progress, or of the last one.
func (s *Switcher) Version() uint64 { return s.version }

// Ready says whether a switch may begin: all ranks are known, use one map, and
// nothing is left of an earlier switch.
func (s *Switcher) Ready(now time.Time) bool {
	if s.phase != Idle || s.current == nil {
		return false
	}
	for i := range s.ranks {
		r := &s.ranks[i]
		if r.report == nil || r.pending != nil || r.report.Armed != 0 || r.report.Held != 0 || r.report.Map != s.ranks[0].report.Map {
			return false
		}
	}
	return true
}

// Awaits says whether the switch goes on when the state of a rank has changed: the
// others need no closer look.
func (s *Switcher) Awaits(i int) bool {
	r := &s.ranks[i]
	switch {
	case s.phase == Idle:
		// The next switch begins when all ranks have told that they use the map of this one.
		return r.report != nil && r.report.Armed != 0
	case r.report == nil || s.phase == Cleaning:
		return true
	case s.phase == Preparing:
		return r.report.Prepared != s.version
	case i == s.holder:
		// The hold must stand until all are armed, and be gone after it.
		return true
	case s.phase == Arming:
		return r.report.Armed != s.version
	default:
		return r.report.Held != 0
	}
}

// Begin starts a switch to another map.
func (s *Switcher) Begin(now time.Time, m Map) {
	s.used++
	s.version, s.target, s.targetEncoded, s.targetChanges = s.used, m, m.encode(), nil
	if v := s.ranks[0].report.GetMap(); v != baseInTurn && s.current != nil {
		s.targetChanges = m.encodeChanges(s.current, v)
	}
	for i := range s.ranks {
		// Each rank prepares another version now.
		s.ranks[i].armDoubt = 0
	}
	s.enter(now, Preparing)
}

func (s *Switcher) enter(now time.Time, p Phase) {
	s.phase, s.since = p, now
	for i := range s.ranks {
		s.ranks[i].sent = time.Time{}
	}
	if p == Holding {
		s.holds = 0
		s.pickStep(now)
	}
}

// giveUp ends a switch before it is certain. Ranks may be armed, and the group held.
func (s *Switcher) giveUp(now time.Time, why string) {
	s.outcome = "given up: " + why
	s.enter(now, Cleaning)
}

// Heard takes a rank's state as it was read at a time.
func (s *Switcher) Heard(at time.Time, i int, instance string, report *wire.RankReport) {
	if i < 0 || i >= len(s.ranks) || report == nil {
		return
	}
	at = at.Add(-time.Duration(report.AgeMs) * time.Millisecond)
	r := &s.ranks[i]
	if r.instance != instance {
		// A new start of the rank: its sequence begins anew, and the group forms again.
		*r = rank{instance: instance}
	}
	if r.report != nil && at.Before(r.at) {
		return
	}
	r.report, r.at = report, at
	s.time(at, report.Step)
}

// time estimates the time of a pass from the steps that were read.
func (s *Switcher) time(at time.Time, step uint64) {
	if step <= s.seenStep {
		return
	}
	passed := at.Sub(s.seenAt)
	if s.seenStep > 0 && passed > 0 && passed < time.Second {
		each := min(max(passed/time.Duration(step-s.seenStep), minPass), maxPass)
		if s.pass == 0 {
			s.pass = each
		}
		s.pass += (each - s.pass) / 4
	}
	s.seenStep, s.seenAt = step, at
}

// PassTime is the estimated time of a pass.
func (s *Switcher) PassTime() time.Duration {
	if s.pass == 0 {
		return s.cfg.UsualPass
	}
	return s.pass
}

// Replied takes the answer to an order; nil if none came.
func (s *Switcher) Replied(at time.Time, i int, o *wire.RankOrder, reply *wire.RankOrderReply) {
	r := &s.ranks[i]
	if r.pending != o {
		return
	}
	r.pending = nil
	switch reply.GetStatus() {
	case wire.RankOrderStatus_RANK_ORDER_STATUS_BEGUN, wire.RankOrderStatus_RANK_ORDER_STATUS_DONE:
		r.fenced = true
		if o.Kind == wire.RankOrderKind_RANK_ORDER_KIND_PREPARE {
			r.accepted, r.lacksBase = o.Version, false
		}
	case wire.RankOrderStatus_RANK_ORDER_STATUS_NO_BASE:
		r.lacksBase, r.sent = true, time.Time{}
	case wire.RankOrderStatus_RANK_ORDER_STATUS_FENCED:
		s.outcome = "another leader has a higher fencing token"
	}
	if reply.GetAfter() != nil {
		s.Heard(at, i, o.Instance, reply.After)
	}
}

// Fenced says whether a rank has refused this leader for a higher token. It must
// give no more orders.
func (s *Switcher) Fenced() bool { return s.outcome == "another leader has a higher fencing token" }
