package lockstep

import (
	"time"

	"github.com/snipereach/snipereach/wire"
)

// Phase is the phase of a switch.
type Phase int

// Phases of a switch.
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

// String returns the name of the phase as it is logged.
func (p Phase) String() string { return phaseNames[p] }

// Config configures a Switcher.
type Config struct {
	Ranks int
	// Token is the fencing token of the group's leader.
	Token uint64
	// Epoch identifies the current formation of the group.
	Epoch uint64
	// LastVersion is the highest map version that this leader used in an earlier epoch. Ranks that
	// have been running since then reject all versions up to it.
	LastVersion uint64
	// Lead is the minimum time from the hold order to the held step: the hold must arrive
	// before the group gets there.
	Lead time.Duration
	// PrepareTimeout bounds the copying of experts, HoldTimeout the time from the hold until
	// all ranks are armed. A switch that exceeds one of them is given up.
	PrepareTimeout, HoldTimeout time.Duration
	// MaxReadingAge is the age of the newest reading of a rank above which a hold isn't begun, and
	// MaxHoldDelay the time for which a hold is delayed at most.
	MaxReadingAge, MaxHoldDelay time.Duration
	// TakeoverGrace is the time for which a group that is held by an earlier leader's switch is
	// left alone.
	TakeoverGrace time.Duration
	// ResendInterval is the time after which an order without effect is sent again.
	ResendInterval time.Duration
	// DefaultPassTime is the assumed duration of a pass until it can be estimated.
	DefaultPassTime time.Duration

	// disabled turns safeguards off, so that tests can show that a missing safeguard is
	// detected.
	disabled safeguards
}

// safeguards lists safeguards that tests can disable.
type safeguards struct {
	// voidArmOrders: a rank that a late order may still arm doesn't count as clean.
	voidArmOrders bool
	// holdBeforeArm: the group is held before any rank is armed.
	holdBeforeArm bool
	// delayHold: the group isn't held while a rank is late.
	delayHold bool
	// reportBeforeEnd: a switch ends only when each rank has been read since it was armed.
	reportBeforeEnd bool
}

// DefaultConfig returns a configuration for passes of some tens of milliseconds and orders that
// take a few milliseconds.
func DefaultConfig(ranks int, token, epoch uint64) Config {
	return Config{
		Ranks: ranks, Token: token, Epoch: epoch,
		Lead: 60 * time.Millisecond, PrepareTimeout: 4 * time.Second, HoldTimeout: 1200 * time.Millisecond,
		MaxReadingAge: defaultMaxReadingAge, MaxHoldDelay: defaultMaxHoldDelay,
		TakeoverGrace:  300 * time.Millisecond,
		ResendInterval: 40 * time.Millisecond, DefaultPassTime: 50 * time.Millisecond,
	}
}

const (
	// versionBits is the size of the range of map versions of each fencing token. Versions of a
	// later leader are thus higher than those of any earlier one.
	versionBits = 20
	// leadPasses is added to the lead, because the latest known step has already begun.
	leadPasses = 2
	// minPass and maxPass bound the estimated duration of a pass.
	minPass = 10 * time.Millisecond
	maxPass = 500 * time.Millisecond
	// maxHoldAttempts bounds the attempts to hold a step before the group gets there.
	maxHoldAttempts = 4
)

// Order is an order to a rank.
type Order struct {
	Rank int
	*wire.RankOrder
}

// Switcher activates new maps on one group, for one leader and one epoch of the group.
//
// Invariant: no rank begins a step with another map than the other ranks. Otherwise tokens
// would be sent to ranks that don't hold their experts. To ensure this, ranks are armed only
// while the group is held at the step of the switch. The hold ends only when every rank is
// known to be armed, by a report or by its answer to the order, or when every rank is known
// not to be armed and no outstanding order can arm one.
//
// An order without a reply may be carried out seconds later, and one with a reply a second
// time. Such late copies are harmless once what they refer to is over: each switch has a
// version of its own, and a rank arms only a version that it has prepared, at a step that has
// not begun. So an arm order is void once the rank has prepared another version.
//
// A Switcher is not safe for concurrent use.
type Switcher struct {
	cfg   Config
	ranks []rank
	// phase is the current phase, phaseSince the time at which it began.
	phase      Phase
	phaseSince time.Time
	version    uint64
	// preparedAt is when all ranks were first known to have prepared the version, zero if they
	// haven't.
	preparedAt time.Time
	// holdDelay is the delay of the latest switch's hold, zero if there was none.
	holdDelay HoldDelay
	// target is the map of the latest switch, current the map in use; nil if unknown.
	target, current Map
	// targetEncoded is target as orders carry it. It is encoded only once per switch, because
	// Tick is called after each reply and encoding a large map is expensive.
	targetEncoded []byte
	// targetChanges is target as changes to the current map, nil if that has no version.
	targetChanges []byte
	// step is the step at which the group is held and switches.
	step uint64
	// holder is the rank that is ordered to hold the group, holdAttempts the number of attempts.
	holder, holdAttempts int
	// lastVersion is the highest version that was used.
	lastVersion uint64
	outcome     string
	// passTime is the estimated duration of a pass, 0 if unknown.
	passTime time.Duration
	// latestStep is the highest step that was reported, latestStepAt the time of that report.
	latestStep   uint64
	latestStepAt time.Time
	// heldSince is the time at which the group was first seen held while no switch is in
	// progress.
	heldSince time.Time
}

// rank is the known state of one rank.
type rank struct {
	instance string
	report   *wire.RankReport
	// reportAt is the time at which report was read.
	reportAt time.Time
	// pending is the order that awaits a reply, pendingSince the time at which it was sent.
	pending      *wire.RankOrder
	pendingSince time.Time
	// sentAt is the time of the last order in the current phase, zero if there was none.
	sentAt time.Time
	// armAnswer is the latest answer of the rank that it is armed.
	armAnswer armAnswer
	// mayArm is a version that an order sent earlier may still arm, 0 if none.
	mayArm uint64
	// preparing is the version that the rank has last begun to prepare.
	preparing uint64
	// fenced reports whether the rank has carried out an order of this leader, and so rejects
	// those of earlier leaders.
	fenced bool
	// lacksBase reports whether the sidecar of the rank didn't know the current map, as after a
	// restart. It is then sent full maps until it has accepted one.
	lacksBase bool
}

// mapFor returns the target in the encoding for a rank: as changes if it knows the base and
// they are shorter.
func (s *Switcher) mapFor(r *rank) []byte {
	if r.lacksBase || s.targetChanges == nil || len(s.targetChanges) >= len(s.targetEncoded) {
		return s.targetEncoded
	}
	return s.targetChanges
}

// New returns a Switcher in phase Idle that knows nothing of the ranks.
func New(cfg Config) *Switcher {
	return &Switcher{cfg: cfg, ranks: make([]rank, cfg.Ranks), phase: Idle, lastVersion: max(cfg.Token<<versionBits, cfg.LastVersion)}
}

// Phase returns the current phase.
func (s *Switcher) Phase() Phase { return s.phase }

// HoldsGroup reports whether the switch in progress holds the group, or may.
func (s *Switcher) HoldsGroup() bool { return s.phase != Idle && s.phase != Preparing }

// Outcome describes how the last switch ended.
func (s *Switcher) Outcome() string { return s.outcome }

// SetCurrent sets the current map, as learned from the ranks.
func (s *Switcher) SetCurrent(m Map) { s.current = m }

// Current returns the current map, nil if it is unknown.
func (s *Switcher) Current() Map { return s.current }

// LastVersion returns the highest map version that was used.
func (s *Switcher) LastVersion() uint64 { return s.lastVersion }

// Version returns the version of the latest switch.
func (s *Switcher) Version() uint64 { return s.version }

// Ready reports whether a switch may begin: all ranks are known and use the same map, and no
// order, armed map or hold of an earlier switch is left.
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

// AwaitsRank reports whether the switch is waiting for the state of a rank to change, or for a newer
// reading of it. Other ranks can be read less often.
func (s *Switcher) AwaitsRank(now time.Time, i int) bool {
	r := &s.ranks[i]
	switch {
	case s.phase == Idle:
		// The next switch can begin once no rank reports the last one's map as armed.
		return r.report != nil && r.report.Armed != 0
	case r.report == nil || s.phase == Cleaning:
		return true
	case s.phase == Preparing:
		return r.report.Prepared != s.version || s.holdAwaitsRank(now, i)
	case i == s.holder:
		// The hold must remain until all ranks are armed, and end after that.
		return true
	case s.phase == Arming:
		return !r.isArmed(s.version)
	default:
		return r.report.Held != 0 || r.isArmedByAnswer(s.version)
	}
}

// Begin starts a switch to another map.
func (s *Switcher) Begin(now time.Time, m Map) {
	s.lastVersion++
	s.version, s.target, s.targetEncoded, s.targetChanges = s.lastVersion, m, m.encode(), nil
	s.preparedAt, s.holdDelay = time.Time{}, HoldDelay{}
	if v := s.ranks[0].report.GetMap(); v != baseRoundRobin && s.current != nil {
		s.targetChanges = m.encodeChanges(s.current, v)
	}
	for i := range s.ranks {
		// Preparing the new version makes earlier arm orders void.
		s.ranks[i].mayArm = 0
	}
	s.enterPhase(now, Preparing)
}

func (s *Switcher) enterPhase(now time.Time, p Phase) {
	s.phase, s.phaseSince = p, now
	for i := range s.ranks {
		s.ranks[i].sentAt = time.Time{}
	}
	if p == Holding {
		s.holdAttempts = 0
		s.pickStep(now)
	}
}

// giveUp ends a switch before the group is released. Ranks may be armed and the group held.
func (s *Switcher) giveUp(now time.Time, why string) {
	s.outcome = "given up: " + why
	s.enterPhase(now, Cleaning)
}

// HandleReport takes the state of a rank as read at a given time. An older state than the known
// one is ignored.
func (s *Switcher) HandleReport(at time.Time, i int, instance string, report *wire.RankReport) {
	if i < 0 || i >= len(s.ranks) || report == nil {
		return
	}
	at = at.Add(-time.Duration(report.AgeMs) * time.Millisecond)
	r := &s.ranks[i]
	if r.instance != instance {
		// The rank has restarted: its sequence starts over, and the group will form again.
		*r = rank{instance: instance}
	}
	if r.report != nil && at.Before(r.reportAt) {
		return
	}
	r.report, r.reportAt = report, at
	s.observeStep(at, report.Step)
}

// observeStep updates the estimated duration of a pass.
func (s *Switcher) observeStep(at time.Time, step uint64) {
	if step <= s.latestStep {
		return
	}
	elapsed := at.Sub(s.latestStepAt)
	if s.latestStep > 0 && elapsed > 0 && elapsed < time.Second {
		perStep := min(max(elapsed/time.Duration(step-s.latestStep), minPass), maxPass)
		if s.passTime == 0 {
			s.passTime = perStep
		}
		s.passTime += (perStep - s.passTime) / 4
	}
	s.latestStep, s.latestStepAt = step, at
}

// PassTime returns the estimated duration of a pass.
func (s *Switcher) PassTime() time.Duration {
	if s.passTime == 0 {
		return s.cfg.DefaultPassTime
	}
	return s.passTime
}

// HandleReply takes the reply to an order, nil if there was none.
func (s *Switcher) HandleReply(at time.Time, i int, o *wire.RankOrder, reply *wire.RankOrderReply) {
	r := &s.ranks[i]
	if r.pending != o {
		return
	}
	r.pending = nil
	r.handleArmAnswer(o, reply.GetStatus())
	switch reply.GetStatus() {
	case wire.RankOrderStatus_RANK_ORDER_STATUS_BEGUN, wire.RankOrderStatus_RANK_ORDER_STATUS_DONE:
		r.fenced = true
		if o.Kind == wire.RankOrderKind_RANK_ORDER_KIND_PREPARE {
			r.preparing, r.lacksBase = o.Version, false
		}
	case wire.RankOrderStatus_RANK_ORDER_STATUS_NO_BASE:
		r.lacksBase, r.sentAt = true, time.Time{}
	case wire.RankOrderStatus_RANK_ORDER_STATUS_FENCED:
		s.outcome = "another leader has a higher fencing token"
	}
	if reply.GetAfter() != nil {
		s.HandleReport(at, i, o.Instance, reply.After)
	}
}

// Fenced reports whether a rank has rejected this leader's fencing token as too low. Tick then
// returns no more orders.
func (s *Switcher) Fenced() bool { return s.outcome == "another leader has a higher fencing token" }
