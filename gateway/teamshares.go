package gateway

import "time"

// Requests of services with several priorities are counted by team, so that those beyond the fair share of
// their team are admitted after the others of the same priority, and leave room for these.

// acquire admits the request to its service, and counts what becomes of it. A request whose caller has left
// is neither admitted nor refused.
func (c *call) acquire() admission {
	w := c.newWaiter()
	if !c.countsForTeam() {
		return c.services.acquire(c.ctx, c.service, w)
	}
	w.onQueued = func() { c.teamShares.Queued(c.service) }
	c.teamShares.Arrived(c.service, c.team.GetName(), *c.priority)
	a := c.services.acquire(c.ctx, c.service, w)
	if c.overShare {
		c.metrics.countOverShare(a.ok)
	}
	switch {
	case a.ok:
		c.teamShares.Admitted(c.service, c.team.GetName(), *c.priority)
	case c.r.Context().Err() == nil:
		c.teamShares.Refused(c.service, c.team.GetName(), *c.priority, a.reason)
	}
	return a
}

// countsForTeam reports whether the service is shared between teams: only those with several priorities are.
func (c *call) countsForTeam() bool { return c.teamShares != nil && c.priority != nil }

// beyondTeamShare reports whether the request is beyond its team's share of the service.
func (c *call) beyondTeamShare() bool {
	return c.countsForTeam() && c.teamShares.Over(c.service, c.team.GetName())
}

// reservedForShares returns how many slots a request of a class leaves free for requests of the same priority
// that are within the share of their team; 0 if it is one of these.
func (p *servicePool) reservedForShares(now time.Time, c class) float64 {
	if !c.overShare {
		return 0
	}
	return p.shareReserve.Reserved(now, c.priority)
}

// countOverShare counts a request beyond its team's share.
func (m *gatewayMetrics) countOverShare(admitted bool) {
	if admitted {
		m.Count("gateway.team_shares.over_admitted")
	} else {
		m.Count("gateway.team_shares.over_refused")
	}
}
