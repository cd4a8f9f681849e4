package gateway

import (
	"time"

	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/route"
	"github.com/snipereach/snipereach/routing"
)

// responseTimes are when upstreams of a group last responded to this gateway, by ID.
type responseTimes map[string]time.Time

// retain drops those of upstreams that aren't known any more.
func (r responseTimes) retain(known map[string]*directory.Instance) {
	for id := range r {
		if known[id] == nil {
			delete(r, id)
		}
	}
}

// checkSilence clears res.SilentFor unless it shows that the upstream is silent: all ranks of a group
// in lock-step take part in each pass, so one that sends nothing while the group makes progress has
// failed. Elsewhere a single slow response is no evidence. A rank that has begun to respond to another
// request meanwhile is busy: the one that was given up may wait in its queue.
func (g *groupPool) checkSilence(now time.Time, upstream route.Upstream, res *route.Result) {
	if !g.tracksSilence() || g.responded[upstream.ID].After(now.Add(-res.SilentFor)) {
		res.SilentFor = 0
	}
}

// tracksSilence reports whether a single silent attempt tells that an upstream of the group has failed.
func (g *groupPool) tracksSilence() bool {
	return g.limiter.lockstep && g.service.policy.Enabled() && !g.service.ignoreSilence
}

// pickAvoiding chooses by pick an upstream that isn't avoided as silent, or any if there is none or the
// request may find out whether a silent one responds.
func (m *serviceManager) pickAvoiding(groups []*groupPool, r *route.Request, pick func(*route.Request) (route.Upstream, *groupPool, bool)) (upstream route.Upstream, holder *groupPool, ok bool) {
	avoided := m.avoided(groups)
	if len(avoided) == 0 {
		return pick(r)
	}
	gateways := max(m.position.Count, 1)
	if r.MayProbe && m.silent.probeDue(len(avoided), gateways) {
		if upstream, holder, ok = pick(r); ok && avoided[upstream.ID] {
			m.silent.recordProbe(len(avoided), gateways)
		}
		return upstream, holder, ok
	}
	if upstream, holder, ok = pick(r.Excluding(avoided)); ok {
		m.silent.countAvoided()
		return upstream, holder, ok
	}
	return pick(r)
}

// avoided returns which upstreams of groups are avoided as silent.
func (m *serviceManager) avoided(groups []*groupPool) (list map[string]bool) {
	for _, g := range groups {
		if !g.tracksSilence() {
			continue
		}
		for id := range m.silent.avoided(g.upstreams) {
			if list == nil {
				list = map[string]bool{}
			}
			list[id] = true
		}
	}
	return list
}

// mayProbe reports whether the next attempt may go to a silent upstream: another one can follow it.
func (c *call) mayProbe() bool {
	return routing.Retryable(c.route) && c.history.sent+1 < int(c.route.MaxAttempts)
}
