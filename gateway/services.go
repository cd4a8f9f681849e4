package gateway

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/snipereach/snipereach/dialect"
	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/evacuation"
	"github.com/snipereach/snipereach/lockstep"
	"github.com/snipereach/snipereach/quota"
	"github.com/snipereach/snipereach/route"
	"github.com/snipereach/snipereach/routing"
	"github.com/snipereach/snipereach/wire"
)

// balancerName selects the balancer plug-in. It uses the loads that come with responses, and for
// groups in lock-step the surveys of their leader.
const balancerName = "load-interpretation"

// firstLoad is the sequence number of the load of an upstream that has not responded yet.
const firstLoad = 1

// serviceManager holds the state of each service over the upstreams that are up.
type serviceManager struct {
	entryInfo route.EntryInfo

	mu       sync.Mutex
	services map[string]*servicePool
	// loadSeq numbers the loads that come with responses. Their order of arrival is all that is
	// known of their age.
	loadSeq uint64
	// onStateChange is called, without the lock, when the state of a group has changed.
	onStateChange func(service string, c stateChange)
	// onPasses is called, without the lock, with the passes of a group since the last call.
	onPasses func(service, group string, stats passStats, inputs string)
	// gateways returns the number of gateways that are up, restraints what upstreams have asked
	// for. They are called without the lock.
	gateways   func() int
	restraints func() restraints
	// silent are the upstreams that gateways found silent. Its lock is taken after that of the manager.
	silent *silentUpstreams
	// ignoreSilence is the setting.
	ignoreSilence bool
	// onHeldBack is called with the cause for each upstream that is left out of a choice.
	onHeldBack func(cause string)
	// position is that of this gateway at the last update.
	position quota.Position
	// coldLimits has the limits of services whose upstreams start cold.
	coldLimits map[string]coldLimit
	// formTimes has the times that the groups of each service need to form.
	formTimes map[string]time.Duration
	// outagesOff says that the settings turn off the forecasts of outages.
	outagesOff bool
	// ranks has the number of ranks that requests of each service may have.
	ranks map[string]int
}

// updateInputs is what else than the upstreams themselves decides on which of them are used.
type updateInputs struct {
	evacuations *evacuation.State
	position    quota.Position
	// heardNow is the time by the directory's clock.
	heardNow time.Time
}

// setRanks sets how many ranks the requests of each service may have in a routing configuration.
func (m *serviceManager) setRanks(t *routing.Table) {
	ranks := map[string]int{}
	for _, s := range t.Config.Services {
		ranks[s.Name] = t.Urgencies(s.Name)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ranks = ranks
	for name, p := range m.services {
		p.policy.SetRanks(ranks[name])
	}
}

// setColdLimits sets the limits of a routing configuration.
func (m *serviceManager) setColdLimits(c *wire.RoutingConfig) {
	limits := map[string]coldLimit{}
	for _, s := range c.Services {
		limits[s.Name] = newColdLimit(s)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.coldLimits = limits
	for name, p := range m.services {
		p.cold.limit = limits[name]
	}
}

func newServiceManager(s *Settings) *serviceManager {
	return &serviceManager{
		entryInfo: route.EntryInfo{ID: s.ID, FailureDomain: s.FailureDomain, Seed: rand.Uint64()},
		services:  map[string]*servicePool{}, loadSeq: firstLoad, outagesOff: s.IgnoreOutageForecast,
		restraints: func() restraints { return nil }, onHeldBack: func(string) {},
		silent: &silentUpstreams{}, ignoreSilence: s.IgnoreSilence,
	}
}

// update replaces the upstreams by those of insts that are up.
func (m *serviceManager) update(now time.Time, insts []*directory.Instance, in updateInputs) error {
	byService := map[string][]*directory.Instance{}
	for _, i := range insts {
		if i.Direct == nil || !i.Up() {
			continue
		}
		for _, name := range i.Pools {
			byService[name] = append(byService[name], i)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.position = in.position
	for name := range byService {
		if m.services[name] == nil {
			m.services[name] = newServicePool(m.entryInfo)
			m.services[name].policy.SetRanks(m.ranks[name])
			m.services[name].ignoreSilence = m.ignoreSilence
		}
	}
	for name, p := range m.services {
		p.cold.limit = m.coldLimits[name]
		p.outages.formTime, p.outages.off = m.formTimes[name], m.outagesOff
		if err := p.update(now, m.entryInfo, byService[name], in); err != nil {
			return err
		}
	}
	return nil
}

// applySurvey applies the states of ranks that the leader of their groups has read. It returns the
// upstreams that running requests should leave because they are slow.
func (m *serviceManager) applySurvey(now time.Time, number uint64, ranks []*wire.RankState, position quota.Position) (slow []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loadSeq++
	for _, p := range m.services {
		for _, g := range p.sorted {
			known := slices.DeleteFunc(slices.Clone(ranks), func(r *wire.RankState) bool { return g.upstreams[r.Upstream] == nil })
			if len(known) == 0 {
				continue
			}
			g.applySurvey(now, &route.Survey{
				Entries: position.Count, Index: position.Index, Number: number,
				Seq: m.loadSeq, Loads: surveyedLoads(known),
			})
			slow = append(slow, ranksToLeave(known)...)
		}
	}
	return slow
}

func surveyedLoads(ranks []*wire.RankState) []route.SurveyedLoad {
	loads := make([]route.SurveyedLoad, len(ranks))
	for i, r := range ranks {
		loads[i] = route.SurveyedLoad{
			ID: r.Upstream, Requests: int(r.Running + r.Waiting),
			Slow: paceOf(r) >= lockstep.StragglerSlowdown, Age: time.Duration(r.AgeMs) * time.Millisecond,
		}
	}
	return loads
}

// paceOf returns how many times as long as usual a rank takes for its work.
func paceOf(r *wire.RankState) float64 { return float64(r.PacePercent) / 100 }

// recordProgress records an event of a stream.
func (m *serviceManager) recordProgress(now time.Time, group *groupPool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	group.limiter.recordProgress(now)
}

// observeGap records the gap between two events of a stream, the target gap, and the fixed part
// of a pass.
func (m *serviceManager) observeGap(now time.Time, service string, group *groupPool, gap, targetGap, fixed time.Duration) {
	m.mu.Lock()
	if pass, done := group.limiter.observeGap(now, group.service.gateways, gap, targetGap, fixed); done {
		group.stats.record(pass, targetGap)
	}
	stats, ok := group.stats.flush(now)
	inputs := ""
	if ok {
		inputs = group.limiter.describe(now, group.service.gateways)
	}
	m.mu.Unlock()
	if ok && m.onPasses != nil {
		m.onPasses(service, group.name, stats, inputs)
	}
}

// headTime returns the usual time to the head of a service's response.
func (m *serviceManager) headTime(service string) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.services[service]; p != nil && p.headTime > 0 {
		return p.headTime
	}
	return defaultHeadTime
}

// silenceLimit returns how long an upstream of a group may be silent.
func (m *serviceManager) silenceLimit(group *groupPool) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return group.service.silenceLimit()
}

// progressing reports whether a group has made progress lately.
func (m *serviceManager) progressing(now time.Time, group *groupPool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return group.limiter.progressing(now)
}

// recordGroupDown records that a rank refused a request because its group is down.
func (m *serviceManager) recordGroupDown(now time.Time, group *groupPool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	group.limiter.markDown(now)
}

// pick chooses an upstream for a request that holds a permit of a group. If the group is
// unavailable or has no upstream left, another group is used and the permit moves there. finish
// must be called with the result.
func (m *serviceManager) pick(now time.Time, group *groupPool, r *route.Request) (upstream route.Upstream, holder *groupPool, ok bool) {
	held := m.restraints()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pickAvoiding(group.candidates(now), r, func(r *route.Request) (route.Upstream, *groupPool, bool) {
		return m.pickAllowed(now, group, r, held)
	})
}

// pickAllowed chooses an upstream that the request doesn't exclude and that isn't held.
func (m *serviceManager) pickAllowed(now time.Time, group *groupPool, r *route.Request, held restraints) (upstream route.Upstream, holder *groupPool, ok bool) {
	for _, g := range group.candidates(now) {
		allowed := r.Excluding(g.service.cold.exhausted(now, m.position)).Excluding(held.excluded(g.upstreams, m.onHeldBack))
		c, ok := g.balancer.Pick(now, allowed)
		if !ok {
			continue
		}
		g.service.cold.recordSend(now, c.Upstream.ID, m.position)
		if g != group {
			group.limiter.release()
			g.limiter.acquire(now)
		}
		return c.Upstream, g, true
	}
	return route.Upstream{}, group, false
}

// candidates returns the groups at which an attempt may be made, the best first.
func (g *groupPool) candidates(now time.Time) []*groupPool {
	other := g.service.alternative(now, g)
	switch {
	case other == nil:
		return []*groupPool{g}
	case g.limiter.available(now):
		return []*groupPool{g, other}
	}
	return []*groupPool{other, g}
}

// unpick takes back a choice of pick: nothing was sent.
func (m *serviceManager) unpick(now time.Time, group *groupPool, upstream route.Upstream, r *route.Request) {
	m.finish(now, group, upstream, r, route.Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN, CallerGone: true})
}

// finish ends an attempt at an upstream that pick chose. It reports whether the attempt shows that
// the upstream is silent.
func (m *serviceManager) finish(now time.Time, group *groupPool, upstream route.Upstream, r *route.Request, res route.Result) (silent bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	group.checkSilence(now, upstream, &res)
	group.balancer.Done(now, upstream, r, res)
	return res.SilentFor > 0
}

// recordHead records the head of a response after the given time, with the upstream's load if it
// tells it. ran says that the upstream has begun to run the request.
func (m *serviceManager) recordHead(now time.Time, group *groupPool, upstream route.Upstream, load *dialect.Load, after time.Duration, ran bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	group.responded[upstream.ID] = now
	var l *wire.Load
	if load != nil {
		m.loadSeq++
		l = &wire.Load{
			Seq: m.loadSeq, Running: uint32(load.Running), Waiting: uint32(load.Waiting), Slots: uint32(load.Slots),
		}
		group.limiter.recordLoad(now, load)
	}
	if ran {
		group.limiter.markUp()
		group.limiter.recordProgress(now)
		group.service.recordHeadTime(after)
	}
	if b, ok := group.balancer.(route.ResponseStartObserver); ok {
		b.ResponseStarted(now, upstream, l, after)
	}
}

// addresses returns the set of addresses of all upstreams that are up.
func (m *serviceManager) addresses() map[string]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := map[string]bool{}
	for _, p := range m.services {
		for _, g := range p.sorted {
			for _, i := range g.upstreams {
				list[i.Address] = true
			}
		}
	}
	return list
}
