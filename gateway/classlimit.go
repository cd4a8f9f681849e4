package gateway

import (
	"time"

	"github.com/snipereach/snipereach/overload"
)

// The concurrency limit of a group at this gateway depends on the class of the request: less urgent, late and
// over-share requests leave slots free for others.

// limit returns how many requests this gateway may have in flight at the group when it admits one
// of a class. Requests that aren't of the most urgent priority leave room for more urgent ones, and
// for long passes after the next shift of expert demand; those beyond the share of their team leave
// room for the others of their priority.
func (g *groupPool) limit(now time.Time, gateways int, c class) int {
	limit := g.onTimeLimit(now, gateways, c)
	if c.late {
		return max(int(lateLimitFraction*float64(limit)), 1)
	}
	return limit
}

// onTimeLimit returns the limit of a class as if its requests could be on time.
func (g *groupPool) onTimeLimit(now time.Time, gateways int, c class) int {
	policy := &g.service.policy
	urgent := !policy.Enabled() || c.priority == 0 || c.starved
	if urgent && !c.overShare {
		return g.limiter.limit(now, gateways)
	}
	fill, reserved := maxFill, g.service.reservedForShares(now, c)
	if !urgent {
		fill = g.limiter.fillFor(now, policy.UrgentFraction(now, c.priority))
		reserved += policy.Reserved(now, c.priority)
	}
	fraction := g.slotShare(gateways) / max(g.service.slotShare(now, gateways), 1)
	return g.limiter.limitWithin(now, gateways, fill, reserved*min(fraction, 1))
}

// slotShare returns the number of the group's slots that this gateway may use.
func (g *groupPool) slotShare(gateways int) float64 {
	return float64(g.limiter.slots) * g.limiter.share(gateways)
}

// permits returns how many more requests of a class the group's concurrency limit allows this
// gateway; 0 if none may be admitted now.
func (g *groupPool) permits(now time.Time, gateways int, c class) int {
	limit := g.limit(now, gateways, c)
	if len(g.upstreams) == 0 || g.limiter.inflight >= limit || !g.limiter.mayAdmit(now, g.service.available(now) || g.cannotForm(now)) {
		return 0
	}
	if g.limiter.lockstep && !g.paceAllows(now, gateways, c.late) {
		return 0
	}
	return limit - g.limiter.inflight
}

// paceAllows refills the pacer and reports whether it and the duration of passes allow another
// request now.
func (g *groupPool) paceAllows(now time.Time, gateways int, late bool) bool {
	fraction := g.limiter.throttle.admitFraction(now)
	if late && g.service.queue.hasExpiring(now) {
		fraction = max(fraction, expiringAdmitFraction)
	}
	share := fraction * g.slotShare(gateways)
	g.pacer.refill(now, share, max(paceBurst/float64(max(g.service.availableGroups(now), 1)), g.service.minBurst(share)))
	return fraction > 0 && g.pacer.hasToken()
}

// limitWithin returns the limit if gateways fill the group up to a fraction of its slots and this
// one leaves a number of its own free. The number may be a fraction: the rounding differs between
// gateways and from survey to survey, so that all together leave free what the fractions add up to.
func (g *groupLimiter) limitWithin(now time.Time, gateways int, fill, reserved float64) int {
	if !g.lockstep {
		return max(g.plainLimit(gateways)-int(reserved+g.rounding), 0)
	}
	slots, share := float64(g.slots), g.share(gateways)
	if now.Sub(g.occupancyAt) >= occupancyStaleness {
		return max(int(evenShareMargin*slots*share*(fill/maxFill)-reserved), 0)
	}
	used, usable := g.occupancy*slots, min(fill, g.slotCap.fraction(now))*slots
	own := float64(g.reportedInflight)
	if usable > used {
		own += freeSlotMargin * (usable - used) * share
	} else {
		own *= usable / used
	}
	return max(int(own+g.rounding-reserved), 0)
}

// fillFor returns the fraction of the slots that requests may fill, if those that are a given
// fraction of all are more urgent: passes are to stay within the target gap after the next shift of
// expert demand.
func (g *groupLimiter) fillFor(now time.Time, urgentFraction float64) float64 {
	return overload.FillFor(g.headroom.fill(now), maxFill, urgentFraction)
}
