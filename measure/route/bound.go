package main

import (
	"math/rand/v2"
	"time"

	"github.com/snipereach/snipereach/route"
	"github.com/snipereach/snipereach/wire"
)

// offerGlobal puts a request into the single global queue, which learns without delay
// which upstream has a free slot.
func (m *system) offerGlobal(a *arrival) {
	m.central[a.class] = append(m.central[a.class], func(e *engine) {
		j := m.newJob(a)
		j.ended = func(_ wire.Outcome, reason wire.Reason, _ *wire.Load) {
			if reason != 0 && m.measured(a) {
				m.out.lost++
			}
			m.clock.schedule(0, m.drainGlobal)
		}
		e.offer(j)
	})
	m.clock.schedule(hop, m.drainGlobal)
}

func (m *system) drainGlobal() {
	for class := range m.central {
		for len(m.central[class]) > 0 {
			e := m.leastRunning()
			if e == nil {
				return
			}
			start := m.central[class][0]
			m.central[class] = m.central[class][1:]
			start(e)
		}
	}
}

func (m *system) leastRunning() *engine {
	var best *engine
	for _, e := range m.engines {
		if e.dead || e.stalled || e.full() {
			continue
		}
		if best == nil || len(e.running) < len(best.running) {
			best = e
		}
	}
	return best
}

// perfectWorth is the weight of a cached prompt for the policy "perfect". It is
// independent of the plug-in's default, so that the baseline stays the same.
const perfectWorth = 0.25

// perfect routes by the scoring rule of the plug-in "prefix", but with the current
// queues and caches of all engines.
type perfect struct {
	system *system
	rnd    *rand.Rand
}

func (p *perfect) SetUpstreams(time.Time, []route.Upstream)                       {}
func (p *perfect) ApplyLoadReport(time.Time, string, uint64, *wire.Load)          {}
func (p *perfect) ApplyCacheEvents(time.Time, string, uint64, []*wire.CacheEvent) {}
func (p *perfect) Done(time.Time, route.Upstream, *route.Request, route.Result)   {}

func (p *perfect) Pick(_ time.Time, r *route.Request) (route.Choice, bool) {
	best, least := -1, 0.0
	for _, i := range p.rnd.Perm(len(p.system.engines)) {
		e := p.system.engines[i]
		if e.dead || e.stalled || r.Exclude[upstreamID(i)] {
			continue
		}
		score := float64(len(e.running)+e.waiting+1) / float64(e.spec.slots)
		if len(r.Prefix) > 0 && e.spec.cache > 0 {
			worth := perfectWorth
			if p.system.prefix != nil {
				worth = p.system.prefix.PrefixBonus
			}
			score -= worth * float64(e.cache.cachedPrefixLen(r.Prefix)) / float64(len(r.Prefix))
		}
		if best < 0 || score < least {
			best, least = i, score
		}
	}
	if best < 0 {
		return route.Choice{}, false
	}
	return route.Choice{Upstream: route.Upstream{ID: upstreamID(best), Incarnation: 1}}, true
}
