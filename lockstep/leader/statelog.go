package leader

import (
	"math"
	"time"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/lockstep"
)

// stateLogPeriod is the interval at which a group's state is logged.
const stateLogPeriod = time.Second

// incompleteLogPeriod is the interval at which an incomplete group is logged.
const incompleteLogPeriod = 5 * time.Second

// logIncomplete logs, once per incompleteLogPeriod, that ranks of the group aren't registered,
// so that it is neither read nor switched.
func (g *group) logIncomplete(now time.Time, found registeredGroup) {
	if found.complete() || now.Sub(g.incompleteLoggedAt) < incompleteLogPeriod {
		return
	}
	g.incompleteLoggedAt = now
	kernel.Warn(g.log, "Group is incomplete.", "group", g.name, "epoch", found.latestEpoch.Epoch, "broken", found.latestEpoch.Broken, "ranks", len(found.ranks), "size", found.size, "token", g.token)
}

// logState logs the group's load, skew and pass time once per stateLogPeriod.
func (g *group) logState(now time.Time) {
	if now.Sub(g.stateLoggedAt) < stateLogPeriod || g.switcher.Current() == nil {
		return
	}
	g.stateLoggedAt = now
	running, waiting, busiest, oldest := uint32(0), uint32(0), uint32(0), time.Duration(0)
	for _, link := range g.links {
		running += link.running
		waiting += link.waiting
		busiest = max(busiest, link.running+link.waiting)
		oldest = max(oldest, now.Sub(link.stateAt))
	}
	skew, latest := 0.0, 0.0
	if load := g.demand.Load(); load != nil {
		skew = g.switcher.Current().Skew(load, g.rankSlowdowns())
		latest = g.switcher.Current().Skew(g.demand.LatestShares(), g.rankSlowdowns())
	}
	kernel.Info(g.log, "Group's state.", "group", g.name, "epoch", g.epoch, "pass", g.switcher.PassTime().Round(time.Millisecond), "skew", math.Round(100*skew)/100, "latest_skew", math.Round(100*latest)/100,
		"running", running, "waiting", waiting, "busiest", busiest, "oldest_ms", oldest.Milliseconds(), "phase", g.switcher.Phase(), "windows", g.demand.Windows())
}

// recordPhase counts switches, and records how long each one took and held the group.
func (g *group) recordPhase(now time.Time, phase lockstep.Phase) {
	switch phase {
	case lockstep.Preparing:
		g.metrics.Count("lockstep.switches.begun")
	case lockstep.Holding:
		g.holdBeganAt = now
	case lockstep.Releasing:
		if !g.holdBeganAt.IsZero() {
			g.holdCost.Record(now, now.Sub(g.holdBeganAt))
		}
	case lockstep.Cleaning:
		g.metrics.Count("lockstep.switches.given_up")
	case lockstep.Idle:
		if g.loggedPhase == lockstep.Releasing {
			g.metrics.Count("lockstep.switches.in_force")
			g.metrics.Latency("lockstep.switch_seconds").Record(now.Sub(g.switchBeganAt))
		}
		if !g.holdBeganAt.IsZero() {
			g.metrics.Latency("lockstep.hold_seconds").Record(now.Sub(g.holdBeganAt))
			g.holdBeganAt = time.Time{}
		}
	}
}

// logPhase logs and counts the phases of a switch.
func (g *group) logPhase(now time.Time) {
	phase := g.switcher.Phase()
	if phase == g.loggedPhase {
		return
	}
	g.recordPhase(now, phase)
	kv := []any{"group", g.name, "epoch", g.epoch, "version", g.switcher.Version(), "phase", phase, "after", now.Sub(g.switchBeganAt).Round(time.Millisecond)}
	if phase == lockstep.Preparing {
		kv = append(kv, "copies", g.proposal.Copies, "skew", g.proposal.SkewBefore, "skew_after", g.proposal.SkewAfter, "windows", g.demand.Windows())
	}
	if d, ok := g.switcher.HoldDelay(); ok && phase == lockstep.Holding {
		kv = append(kv, "hold_delay_ms", now.Sub(d.Since).Milliseconds())
	}
	if phase == lockstep.Idle || phase == lockstep.Cleaning {
		kv = append(kv, "outcome", g.switcher.Outcome())
	}
	kernel.Info(g.log, "Switch of expert maps.", kv...)
	g.loggedPhase = phase
}

// logHoldDelay logs and counts a delay of the hold, once per switch.
func (g *group) logHoldDelay() {
	d, ok := g.switcher.HoldDelay()
	if !ok || g.delayLogged == g.switcher.Version() {
		return
	}
	g.delayLogged = g.switcher.Version()
	g.metrics.Count("lockstep.holds.delayed")
	kernel.Info(g.log, "Hold of the group is delayed: a rank is late.", "group", g.name, "epoch", g.epoch, "version", g.switcher.Version(),
		"rank", d.Rank, "upstream", g.links[d.Rank].instance, "reading_age_ms", d.ReadingAge.Milliseconds())
}
