package gateway

import (
	"time"

	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/route"
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
func (g *groupPool) tracksSilence() bool { return g.limiter.lockstep && g.service.policy.Enabled() }
