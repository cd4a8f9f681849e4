package gateway

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/evacuation"
	"github.com/snipereach/snipereach/overload"
	"github.com/snipereach/snipereach/route"
	"github.com/snipereach/snipereach/wire"
)

// servicePool is the state of one service at a gateway: its groups and its queue.
type servicePool struct {
	groups map[string]*groupPool
	// sorted holds the groups sorted by name.
	sorted []*groupPool
	queue  waitQueue
	policy overload.Policy
	// shareReserve tells how much room requests beyond the share of their team leave to others.
	shareReserve overload.ShareReserve
	late         lateByPriority
	retryAfter   retryAfterEstimator
	outages      outages
	// headTime is the EWMA of the time to the head of a response, holdTime that of the time that
	// a request holds its permit; 0 before the first.
	headTime, holdTime time.Duration
	// gateways is the number of gateways at the last request or timer tick. timerPending says
	// that the timer that admits queued requests is set.
	gateways     int
	timerPending bool
	rng          *rand.Rand
	cold         coldUpstreams
	// evacuated has the upstreams that are up in evacuated failure domains.
	evacuated map[string]bool
	// ignoreSilence is the setting.
	ignoreSilence bool
}

// groupPool is the state of one group at a gateway: upstreams that run in lock-step with each
// other. The upstreams of a plain service, which run independently, form one groupPool without a
// name.
//
// Admission is decided for each group separately. Groups of a service pass at different times,
// and one may be down: combined, the shorter passes of one group would hide the long ones of
// another, and one lost rank would close all groups.
type groupPool struct {
	service   *servicePool
	name      string
	balancer  route.Balancer
	upstreams map[string]*directory.Instance
	limiter   groupLimiter
	// registrations counts the upstreams that have registered anew, and incarnations has those of
	// the present ones by ID.
	registrations int
	incarnations  map[string]uint64
	// lastState is the state of the limiter at the last request.
	lastState groupState
	pacer     pacer
	responded responseTimes
	// stats counts the passes, for logs.
	stats passStats
}

func newServicePool(entryInfo route.EntryInfo) *servicePool {
	return &servicePool{groups: map[string]*groupPool{}, rng: rand.New(rand.NewPCG(entryInfo.Seed, 3))}
}

// update replaces the upstreams that are up.
func (p *servicePool) update(now time.Time, entryInfo route.EntryInfo, insts []*directory.Instance, in updateInputs) error {
	p.updateEvacuated(now, insts, in.evacuations)
	p.updateCold(now, insts, in.heardNow)
	byGroup := map[string][]*directory.Instance{}
	for _, i := range insts {
		byGroup[i.Group] = append(byGroup[i.Group], i)
	}
	for name := range byGroup {
		if p.groups[name] != nil {
			continue
		}
		b, err := route.New(balancerName, entryInfo)
		if err != nil {
			return err
		}
		p.groups[name] = &groupPool{service: p, name: name, balancer: b, responded: responseTimes{}}
	}
	for name, g := range p.groups {
		g.update(now, byGroup[name])
		if len(byGroup[name]) == 0 && g.limiter.inflight == 0 {
			delete(p.groups, name)
		}
	}
	p.sorted = slices.SortedFunc(maps.Values(p.groups), func(a, b *groupPool) int { return cmp.Compare(a.name, b.name) })
	p.observeOutages(now)
	return nil
}

// updateEvacuated updates which upstreams are evacuated. Those of a domain that was restored count as
// cold for as long as after a start: what they report of it comes later than the requests.
func (p *servicePool) updateEvacuated(now time.Time, insts []*directory.Instance, s *evacuation.State) {
	before := p.evacuated
	p.evacuated = map[string]bool{}
	for _, i := range insts {
		switch {
		case s.Contains(i.FailureDomain):
			p.evacuated[i.Id] = true
		case before[i.Id] && p.cold.limit.start > 0:
			p.cold.mark(i.Id, now.Add(p.cold.limit.start))
		}
	}
}

// updateCold records which upstreams report that they are cold. heardNow is the time by the clock of
// the directory.
func (p *servicePool) updateCold(now time.Time, insts []*directory.Instance, heardNow time.Time) {
	for _, i := range insts {
		left := time.Duration(i.Direct.ColdMs)*time.Millisecond - heardNow.Sub(i.Heard)
		if i.Direct.ColdMs > 0 && left > 0 {
			p.cold.mark(i.Id, now.Add(left))
		}
	}
}

// allEvacuated reports whether the service has upstreams and all of them are evacuated.
func (p *servicePool) allEvacuated() bool {
	return len(p.evacuated) > 0 && !slices.ContainsFunc(p.sorted, func(g *groupPool) bool { return len(g.upstreams) > 0 })
}

// update replaces the upstreams by those of insts that aren't evacuated. An evacuated rank still
// belongs to its group, which can't pass without it.
func (g *groupPool) update(now time.Time, insts []*directory.Instance) {
	g.upstreams = map[string]*directory.Instance{}
	var upstreams []route.Upstream
	for _, i := range insts {
		if g.service.evacuated[i.Id] {
			continue
		}
		g.upstreams[i.Id] = i
		upstreams = append(upstreams, route.Upstream{
			ID: i.Id, Incarnation: i.Incarnation, Address: i.Address, FailureDomain: i.FailureDomain,
			Load: &wire.Load{Seq: firstLoad, Slots: i.Direct.Slots},
		})
	}
	g.responded.retain(g.upstreams)
	g.countRegistrations(insts)
	g.balancer.SetUpstreams(now, upstreams)
	g.limiter.setUpstreams(now, insts, g.service.evacuated)
}

// applySurvey applies a survey of the group's ranks that are known here.
func (g *groupPool) applySurvey(now time.Time, v *route.Survey) {
	if b, ok := g.balancer.(route.SurveyReceiver); ok {
		b.Survey(now, v)
	}
	g.limiter.applySurvey(now, v, g.upstreams)
}

// availableGroups returns the number of available groups.
func (p *servicePool) availableGroups(now time.Time) (n int) {
	for _, g := range p.sorted {
		if g.limiter.available(now) {
			n++
		}
	}
	return n
}

// available reports whether any group is available.
func (p *servicePool) available(now time.Time) bool { return p.availableGroups(now) > 0 }

// hasLiveGroup reports whether any group has upstreams and isn't down. A stalled group counts.
func (p *servicePool) hasLiveGroup() bool {
	return slices.ContainsFunc(p.sorted, func(g *groupPool) bool { return len(g.upstreams) > 0 && !g.limiter.down })
}

// incomplete reports whether the service has groups and all of them are incomplete.
func (p *servicePool) incomplete(now time.Time) bool {
	for _, g := range p.sorted {
		if !g.limiter.incomplete(now) {
			return false
		}
	}
	return len(p.sorted) > 0
}

// lockstep reports whether the upstreams run in lock-step.
func (p *servicePool) lockstep() bool {
	return slices.ContainsFunc(p.sorted, func(g *groupPool) bool { return g.limiter.lockstep })
}

// limit returns how many requests the gateway may have in flight at the available groups when it
// admits one of a class, and how many it has. That late requests may not use all of it counts only
// where requests are ranked; elsewhere more of them are queued.
func (p *servicePool) limit(now time.Time, gateways int, c class) (limit, inflight int) {
	c.late = c.late && p.policy.Enabled()
	for _, g := range p.sorted {
		if g.limiter.available(now) {
			limit += g.limit(now, gateways, c)
			inflight += g.limiter.inflight
		}
	}
	return limit, inflight
}

// slotShare returns the number of slots of available groups that the gateway may use.
func (p *servicePool) slotShare(now time.Time, gateways int) (share float64) {
	for _, g := range p.sorted {
		if g.limiter.available(now) {
			share += g.slotShare(gateways)
		}
	}
	return share
}

// pickGroup returns a group that a request of a class may be admitted to now, or nil. It picks at random,
// weighted by permits: all gateways know the same loads, and if each took the emptiest group it
// would get all requests until the next report.
func (p *servicePool) pickGroup(now time.Time, gateways int, c class) *groupPool {
	permits := make([]int, len(p.sorted))
	sum := 0
	for i, g := range p.sorted {
		permits[i] = g.permits(now, gateways, c)
		sum += permits[i]
	}
	if sum == 0 {
		return nil
	}
	n := p.rng.IntN(sum)
	for i, g := range p.sorted {
		if n -= permits[i]; n < 0 {
			return g
		}
	}
	return nil
}

// alternative returns the least occupied available group other than from, or nil.
func (p *servicePool) alternative(now time.Time, from *groupPool) *groupPool {
	var best *groupPool
	for _, g := range p.sorted {
		if g != from && len(g.upstreams) > 0 && g.limiter.available(now) && (best == nil || g.limiter.occupancy < best.limiter.occupancy) {
			best = g
		}
	}
	return best
}

// refused records a refused request and returns its Retry-After.
func (p *servicePool) refused(now time.Time) time.Duration {
	switch {
	case p.incomplete(now):
		return retryAfterIncomplete
	case !p.available(now):
		return retryAfterDown
	}
	return p.retryAfter.refused()
}

func (p *servicePool) meanHoldTime() time.Duration { return cmp.Or(p.holdTime, defaultHoldTime) }

// recordHeadTime records the time to the head of a response.
func (p *servicePool) recordHeadTime(d time.Duration) {
	if p.headTime == 0 {
		p.headTime = d
	}
	p.headTime += time.Duration(latencySmoothing * float64(d-p.headTime))
}

// recordHoldTime records how long a request has held its permit.
func (p *servicePool) recordHoldTime(d time.Duration) {
	if p.holdTime == 0 {
		p.holdTime = d
	}
	p.holdTime += time.Duration(latencySmoothing * float64(d-p.holdTime))
}

// silenceLimit returns how long an upstream may be silent.
func (p *servicePool) silenceLimit() time.Duration {
	if p.headTime == 0 {
		return maxSilence
	}
	return min(max(silenceFactor*p.headTime, minSilence), maxSilence)
}

// describe returns the inputs of admission decisions with their ages, for logs.
func (p *servicePool) describe(now time.Time) string {
	var b strings.Builder
	for _, g := range p.sorted {
		fmt.Fprintf(&b, "%s, tokens %.1f; ", g.describe(now, p.gateways), g.pacer.tokens)
	}
	b.WriteString(p.describeOutages(now))
	fmt.Fprintf(&b, "%d queued, head time %d ms, hold time %d ms", len(p.queue.waiters), p.headTime.Milliseconds(), p.meanHoldTime().Milliseconds())
	return b.String()
}

func (g *groupPool) describe(now time.Time, gateways int) string {
	if g.name == "" {
		return g.limiter.describe(now, gateways)
	}
	return g.name + " " + g.limiter.describe(now, gateways)
}
