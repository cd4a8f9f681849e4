package gateway

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/outage"
	"github.com/snipereach/snipereach/wire"
)

const (
	// maxGoneTime is how long a group without any registered rank is expected to come back. After
	// that it counts as removed.
	maxGoneTime = 10 * time.Minute
	// backlogFillFraction is the fraction of a recovered group's slots that its backlog is expected
	// to fill at first. The rest is for new requests.
	backlogFillFraction = 0.5
	// maxReturnTime bounds the time after a recovery over which callers are told to come back.
	maxReturnTime = 10 * time.Second
	// recoveryTime is how long after an outage of a service its backlog is expected to last.
	recoveryTime = 2 * time.Second
)

// outages tracks the outages of a prioritized service's groups. Other services don't use it.
type outages struct {
	// off says that the gateway's settings turn it off.
	off      bool
	formTime time.Duration
	trackers map[string]*outage.Tracker
	returns  outage.Returns
}

// setFormTimes sets the times that groups need to form from a routing configuration.
func (m *serviceManager) setFormTimes(c *wire.RoutingConfig) {
	times := map[string]time.Duration{}
	for _, s := range c.Services {
		times[s.Name] = time.Duration(s.GetEngine().GetFormMs() * float64(time.Millisecond))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.formTimes = times
	for name, p := range m.services {
		p.outages.formTime = times[name]
	}
}

// observeOutages records the states of the groups.
func (p *servicePool) observeOutages(now time.Time) {
	if !p.tracksOutages() {
		p.outages.trackers, p.queue.backlogUntil = nil, time.Time{}
		return
	}
	if p.outages.trackers == nil {
		p.outages.trackers = map[string]*outage.Tracker{}
	}
	for name, t := range p.outages.trackers {
		if p.groups[name] != nil {
			continue
		}
		t.Observe(now, outage.Observation{Down: true})
		if f, _ := t.Forecast(now, p.outages.formTime); now.Sub(f.DownSince) > maxGoneTime {
			delete(p.outages.trackers, name)
		}
	}
	for _, g := range p.sorted {
		t := p.outages.trackers[g.name]
		if t == nil && !g.limiter.lockstep {
			continue
		}
		if t == nil {
			t = &outage.Tracker{}
			p.outages.trackers[g.name] = t
		}
		t.Observe(now, g.observation())
	}
	if _, down := p.outage(now); down {
		p.queue.backlogUntil = now.Add(recoveryTime)
	}
}

// minBurst returns the least burst of the pacer for a number of slots to be filled in minFillTime.
// While requests are queued, others are admitted only each admitInterval and when one ends. Just
// after an outage none does, and those of a group end together with its passes, so a gateway with
// many slots would fill them too slowly otherwise.
func (p *servicePool) minBurst(share float64) float64 {
	if !p.policy.Enabled() {
		return 1
	}
	return max(share*admitInterval.Seconds()/minFillTime.Seconds(), 1)
}

// tracksOutages reports whether outages of the service are predicted: of prioritized services whose
// upstreams run in lock-step, also while none of them is registered.
func (p *servicePool) tracksOutages() bool {
	return p.policy.Enabled() && !p.outages.off && (p.lockstep() || !p.hasRanks())
}

// hasRanks reports whether any upstream of the service is registered. A group without any is kept while
// it has requests in flight, but isn't known to run in lock-step.
func (p *servicePool) hasRanks() bool {
	return slices.ContainsFunc(p.sorted, func(g *groupPool) bool { return g.limiter.ranks > 0 })
}

// countRegistrations counts the ranks that have registered anew.
func (g *groupPool) countRegistrations(insts []*directory.Instance) {
	known := make(map[string]uint64, len(insts))
	for _, i := range insts {
		known[i.Id] = i.Incarnation
		if before, ok := g.incarnations[i.Id]; !ok || i.Incarnation > before {
			g.registrations++
		}
	}
	g.incarnations = known
}

func (g *groupPool) observation() outage.Observation {
	l := &g.limiter
	return outage.Observation{Down: l.down || l.ranks == 0, Ranks: l.ranks, Size: l.size, Registrations: g.registrations}
}

// outage returns the forecast of the service if all its groups are down and it is tracked.
func (p *servicePool) outage(now time.Time) (f outage.Forecast, down bool) {
	for _, t := range p.outages.trackers {
		one, groupDown := t.Forecast(now, p.outages.formTime)
		if !groupDown {
			return outage.Forecast{}, false
		}
		if down {
			one = f.Sooner(one)
		}
		f, down = one, true
	}
	return f, down
}

// cannotForm reports whether a probe of the group is certain to fail, as it can't have formed yet.
func (g *groupPool) cannotForm(now time.Time) bool {
	t := g.service.outages.trackers[g.name]
	if t == nil {
		return false
	}
	f, down := t.Forecast(now, g.service.outages.formTime)
	return down && f.Earliest.After(now)
}

// outageRequest returns what decides on a request during an outage, with a number of others ahead
// of it in the queue.
func (p *servicePool) outageRequest(w *waiter, ahead float64) *outage.Request {
	r := &outage.Request{GiveUpAt: w.giveUpAt, Deadline: w.deadline, LastStart: w.lastStart, Hold: w.hold, Retried: w.retried}
	if ahead > 0 {
		r.AdmitTime = p.admitTimeAfterRecovery(ahead)
	}
	return r
}

// admitTimeAfterRecovery returns how long it takes after the recovery to admit a number of requests
// of the backlog beside new ones: at first as the groups are filled, and then as slots become free.
func (p *servicePool) admitTimeAfterRecovery(n float64) time.Duration {
	slots := p.recoverySlots()
	fill := min(n, backlogFillFraction*slots)
	seconds := fill/(backlogFillFraction*slots)*minFillTime.Seconds() + (n-fill)/(lateSlotFraction*slots)*p.meanHoldTime().Seconds()
	return time.Duration(min(seconds, maxReturnTime.Seconds()) * float64(time.Second))
}

// backlogAdmitted reports whether a late request that arrives just after an outage is expected to be
// admitted in time.
func (p *servicePool) backlogAdmitted(now time.Time, w *waiter) bool {
	return p.admitTimeAfterRecovery(p.backlogAhead(now, w)) <= w.giveUpAt.Sub(now)
}

// backlogAhead returns how many requests are expected to be admitted before one that arrives now:
// those ahead of it in the queue, and as many more urgent ones as are queued, as those came within
// the time that this one may be held, and others will come while it is.
func (p *servicePool) backlogAhead(now time.Time, w *waiter) float64 {
	n := p.ahead(now, p.classOf(now, w))
	for _, q := range p.queue.waiters {
		if q.priority < w.priority {
			n++
		}
	}
	return float64(n)
}

// recoverySlots returns how many slots this gateway may use once all groups have recovered; at
// least 1.
func (p *servicePool) recoverySlots() float64 {
	slots := 0.0
	for _, g := range p.sorted {
		slots += g.slotShare(p.gateways)
	}
	return max(slots, 1)
}

// outageRetryAfter returns the Retry-After of a request that is refused during an outage, and
// records its caller if it comes back.
func (p *servicePool) outageRetryAfter(now time.Time, f outage.Forecast, w *waiter) time.Duration {
	offset := p.admitTimeAfterRecovery(p.outages.returns.Position(now, f, w.priority, p.rng.Float64()))
	r := p.outageRequest(w, 0)
	wait := r.RetryAfter(now, f, offset)
	if r.ReturnsAfterRecovery(now, f, wait) {
		p.outages.returns.Record(now, f, w.priority)
	}
	return wait
}

// refusedRequest records a refused request and returns its Retry-After.
func (p *servicePool) refusedRequest(now time.Time, w *waiter) time.Duration {
	if f, down := p.outage(now); down {
		return p.outageRetryAfter(now, f, w)
	}
	return p.refused(now)
}

// refuseHopeless refuses the queued requests that aren't worth holding any longer during an outage,
// as the recovery will come too late for them.
func (p *servicePool) refuseHopeless(now time.Time) {
	f, down := p.outage(now)
	if !down {
		return
	}
	for _, w := range slices.Clone(p.queue.waiters) {
		if w.refused == nil || p.outageRequest(w, 0).Holds(now, f) {
			continue
		}
		p.queue.remove(w)
		w.cause = p.describe(now)
		close(w.refused)
	}
}

// retryAfterOutage returns the Retry-After of a request that a group has refused; down is false if
// its service isn't down or its outages aren't tracked.
func (m *serviceManager) retryAfterOutage(now time.Time, service string, w *waiter) (wait time.Duration, cause string, down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.services[service]
	if p == nil || w == nil {
		return 0, "", false
	}
	p.observeOutages(now)
	f, down := p.outage(now)
	if !down {
		return 0, "", false
	}
	return p.outageRetryAfter(now, f, w), p.describe(now), true
}

// describeOutages returns the forecasts of the groups that are down, for logs.
func (p *servicePool) describeOutages(now time.Time) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(p.outages.trackers)) {
		if f, down := p.outages.trackers[name].Forecast(now, p.outages.formTime); down {
			fmt.Fprintf(&b, "%s %s; ", name, f.Describe(now))
		}
	}
	return b.String()
}
