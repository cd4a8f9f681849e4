package gateway

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/snipereach/snipereach/dialect"
	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/quota"
	"github.com/snipereach/snipereach/route"
	"github.com/snipereach/snipereach/wire"
)

// groupSim simulates, in virtual time, the gateways of a service whose upstreams form several
// groups. The gateways run the real code; a group is a model of its passes: a fixed part, and a
// part that grows with the running requests and the prompts, whose expert share grows with the
// skew.
type groupSim struct {
	simProfile
	rng      *rand.Rand
	now      time.Time
	groups   []*simGroup
	gateways []*simGateway
	// skew returns the skew of a group at a time since the start, and whether its ranks are
	// replicating experts.
	skew    func(group int, at time.Duration) (skew float64, copies bool)
	routes  []simRoute
	retries []*simCaller
	// surveysEnd is the time since the start from which the leader of the groups sends no surveys;
	// 0 if it always does.
	surveysEnd time.Duration

	arrived int
	results []simResult
}

const (
	simService = "pool"
	// simExpertShare is the fraction of the work for requests and prompts done by experts.
	simExpertShare = 0.85
	// simReadRate is the number of prompt tokens that a rank reads per millisecond.
	simReadRate = 74.8
	// simBusiest is the load of the busiest rank relative to the mean. simCopying is the factor
	// by which passes are longer while ranks replicate experts.
	simBusiest, simCopying = 2, 1.15
)

// simGroup models one group.
type simGroup struct {
	running  []*simCaller
	waiting  []*simCaller
	passEnds time.Time
	passes   []time.Duration
}

// simGateway drives the real code of a gateway in virtual time.
type simGateway struct {
	services *serviceManager
	weight   float64
	waiting  []*simCaller
}

func newGroupSim(p simProfile, seed uint64, groups, gateways int, perSecond float64) *groupSim {
	return newPrioritySim(p, seed, groups, gateways, []simRoute{{perSecond: perSecond, targetFirstEvent: p.targetFirstEvent, worth: 1}})
}

// newPrioritySim returns a simulation with callers of several routes.
func newPrioritySim(p simProfile, seed uint64, groups, gateways int, routes []simRoute) *groupSim {
	s := &groupSim{simProfile: p, rng: rand.New(rand.NewPCG(seed, 7)), now: start, routes: routes}
	var insts []*directory.Instance
	for g := range groups {
		s.groups = append(s.groups, &simGroup{passEnds: start.Add(time.Duration(g*29) * time.Millisecond)})
		for r := range p.ranks {
			insts = append(insts, &directory.Instance{Announcement: &wire.Announcement{
				Id: simUpstream(g, r), Group: fmt.Sprint("g", g), Rank: uint32(r), Incarnation: 1, Pools: []string{simService},
				Phase: wire.Phase_PHASE_UP, Address: simUpstream(g, r), Direct: &wire.DirectUpstream{Slots: uint32(p.slots), GroupEpoch: 1, GroupSize: uint32(p.ranks)},
			}})
		}
	}
	for i := range gateways {
		f := newServiceManager(&Settings{ID: fmt.Sprint("entry-", i)})
		f.entryInfo.Seed = seed*1000 + uint64(i)
		f.gateways = func() int { return gateways }
		f.ranks = map[string]int{simService: len(s.routes)}
		if err := f.update(s.now, insts, updateInputs{}); err != nil {
			panic(err)
		}
		e := &simGateway{services: f, weight: 0.6 + 0.8*s.rng.Float64()}
		s.gateways = append(s.gateways, e)
	}
	s.limitCallersTo(gateways)
	return s
}

// limitCallersTo sends callers to the first gateways only.
func (s *groupSim) limitCallersTo(gateways int) {
	sum := 0.0
	for i, e := range s.gateways {
		if i >= gateways {
			e.weight = 0
		}
		sum += e.weight
	}
	for _, e := range s.gateways {
		e.weight /= sum
	}
}

func simUpstream(group, rank int) string { return fmt.Sprintf("%d-%02d", group, rank) }

func (s *groupSim) elapsed() time.Duration { return s.now.Sub(start) }

// run simulates a duration, in order of the events' times.
func (s *groupSim) run(d time.Duration) {
	end := s.now.Add(d)
	arrival, survey, turn := s.now, s.now, s.now
	// A survey of the ranks reaches the gateways surveyAge after it was read.
	never := end.Add(time.Hour)
	delivery := never
	var states []*wire.RankState
	number := uint64(0)
	for s.now.Before(end) {
		g := slices.MinFunc(s.groups, func(a, b *simGroup) int { return a.passEnds.Compare(b.passEnds) })
		s.now = slices.MinFunc([]time.Time{g.passEnds, arrival, survey, delivery, turn}, time.Time.Compare)
		switch {
		case s.now.Equal(g.passEnds):
			s.pass(slices.Index(s.groups, g))
		case s.now.Equal(survey):
			number++
			if states = s.rankStates(); s.surveyAge == 0 {
				s.deliver(number, states)
			} else {
				delivery = s.now.Add(s.surveyAge)
			}
			survey = survey.Add(200 * time.Millisecond)
		case s.now.Equal(delivery):
			s.deliver(number, states)
			delivery = never
		case s.now.Equal(turn):
			s.tick()
			turn = turn.Add(admitInterval)
		default:
			s.arrive(&simCaller{route: s.randomRoute(), firstTryAt: s.now, gateway: s.randomGateway()})
			arrival = arrival.Add(time.Duration(s.rng.ExpFloat64() / s.perSecond() * float64(time.Second)))
		}
	}
}

func (s *groupSim) randomGateway() *simGateway {
	x := s.rng.Float64()
	for _, e := range s.gateways {
		if x -= e.weight; x < 0 {
			return e
		}
	}
	return s.gateways[0]
}

// arrive simulates one try of a caller.
func (s *groupSim) arrive(c *simCaller) {
	c.arrivedAt = s.now
	c.tries++
	if c.tries == 1 {
		s.arrived++
	}
	c.waiter = s.newWaiter(c)
	v, wait := c.gateway.decide(s.now, c.waiter)
	switch v {
	case decisionAdmit:
		s.send(c)
	case decisionQueue:
		c.gateway.waiting = append(c.gateway.waiting, c)
	case decisionRefuse:
		s.refuse(c, wait)
	}
}

func (s *groupSim) refuse(c *simCaller, wait time.Duration) {
	if c.tries > 1 {
		s.record(c, simRefused)
		return
	}
	c.sentAt = s.now.Add(wait)
	s.retries = append(s.retries, c)
}

// send sends a request to the rank that its gateway chooses.
func (s *groupSim) send(c *simCaller) {
	c.sentAt, c.upstream = s.now, c.gateway.pick(s.now, c)
	_, _ = fmt.Sscanf(c.upstream.ID[2:], "%d", &c.rank)
	g := s.groups[c.upstream.ID[0]-'0']
	g.waiting = append(g.waiting, c)
}

// tick admits queued requests and lets refused callers retry.
func (s *groupSim) tick() {
	for _, e := range s.gateways {
		if s.slotsPerRank && len(e.waiting) == 0 {
			// The timer of a gateway runs only while requests are queued. The other profiles keep the
			// extra calls, with which their bounds were chosen.
			continue
		}
		e.admitQueued(s.now)
		s.sendAdmitted(e)
	}
	back := s.retries
	s.retries = nil
	for _, c := range back {
		if s.now.Before(c.sentAt) {
			s.retries = append(s.retries, c)
			continue
		}
		c.gateway = s.randomGateway()
		s.arrive(c)
	}
}

// sendAdmitted sends the queued requests that a gateway has admitted.
func (s *groupSim) sendAdmitted(e *simGateway) {
	left := e.waiting
	e.waiting = nil
	for _, c := range left {
		switch {
		case isAdmitted(c.waiter):
			s.send(c)
		case s.now.After(c.waiter.giveUpAt):
			c.queuedInVain = true
			s.refuse(c, e.giveUp(s.now, c.waiter))
		default:
			e.waiting = append(e.waiting, c)
		}
	}
}

// rankStates reads the states of all ranks.
func (s *groupSim) rankStates() (states []*wire.RankState) {
	for i, g := range s.groups {
		perRank := make([]uint32, s.ranks)
		for _, c := range slices.Concat(g.running, g.waiting) {
			perRank[c.rank]++
		}
		for r, n := range perRank {
			states = append(states, &wire.RankState{Upstream: simUpstream(i, r), Running: n, PacePercent: 100, AgeMs: 100})
		}
	}
	return states
}

// deliver delivers a survey to all gateways, unless the leader is frozen.
func (s *groupSim) deliver(number uint64, states []*wire.RankState) {
	if s.surveysEnd > 0 && s.elapsed() >= s.surveysEnd {
		return
	}
	for i, e := range s.gateways {
		e.services.applySurvey(s.now, number, states, quota.Position{Index: i, Count: len(s.gateways)})
	}
}

// pass ends a pass of a group and begins the next one.
func (s *groupSim) pass(i int) {
	g := s.groups[i]
	for _, c := range g.running {
		s.event(g, c)
	}
	g.running = slices.DeleteFunc(g.running, func(c *simCaller) bool { return c.ended })
	// New requests are read in the next pass and get their first event at its end.
	read := s.startWaiting(g)
	work := (s.stride*s.perRequest*float64(len(g.running)) + s.prompt/cmp.Or(s.readRate, simReadRate)*float64(read)) / float64(s.ranks)
	skew, copies := s.skew(i, s.elapsed())
	ms := s.stride*s.step + work*((1-simExpertShare)*simBusiest+simExpertShare*skew)
	if copies {
		ms *= simCopying
	}
	pass := time.Duration(ms * float64(time.Millisecond))
	g.passes = append(g.passes, pass)
	g.passEnds = s.now.Add(pass)
}

// load returns the load of a rank as it comes with a response; nil if ranks don't tell it.
func (s *groupSim) load(g *simGroup, rank int) *dialect.Load {
	if !s.slotsPerRank {
		return nil
	}
	at := func(list []*simCaller) (n int) {
		for _, c := range list {
			if c.rank == rank && !c.ended {
				n++
			}
		}
		return n
	}
	return &dialect.Load{Running: at(g.running), Waiting: at(g.waiting), Slots: s.slots}
}

// startWaiting starts waiting requests of a group as far as slots are free, and returns how many.
func (s *groupSim) startWaiting(g *simGroup) (started int) {
	if s.slotsPerRank {
		return s.startAtRanks(g)
	}
	for len(g.waiting) > 0 && len(g.running) < s.ranks*s.slots {
		g.running = append(g.running, g.waiting[0])
		g.waiting = g.waiting[1:]
		started++
	}
	return started
}

// startAtRanks starts waiting requests at the ranks that they were sent to: the most urgent first,
// those of one priority in the order in which they came.
func (s *groupSim) startAtRanks(g *simGroup) (started int) {
	free := make([]int, s.ranks)
	for r := range free {
		free[r] = s.slots
	}
	for _, c := range g.running {
		free[c.rank]--
	}
	slices.SortStableFunc(g.waiting, func(a, b *simCaller) int { return cmp.Compare(a.route.priority, b.route.priority) })
	g.waiting = slices.DeleteFunc(g.waiting, func(c *simCaller) bool {
		if free[c.rank] == 0 {
			return false
		}
		free[c.rank]--
		started++
		g.running = append(g.running, c)
		return true
	})
	return started
}

func (s *groupSim) event(g *simGroup, c *simCaller) {
	c.events++
	if c.events == 1 {
		c.firstEvent = s.now.Sub(c.firstTryAt)
		c.lateFirst = c.firstEvent > c.route.targetFirstEvent
		c.late = c.lateFirst
		c.gateway.recordHead(s.now, c, s.load(g, c.rank), s.now.Sub(c.sentAt))
	} else {
		pause := s.now.Sub(c.lastEventAt)
		c.late = c.late || pause > s.targetGap
		c.gateway.recordGap(s.now, c, pause, &s.simProfile)
	}
	c.lastEventAt = s.now
	if s.rng.Float64() > 1/s.events {
		return
	}
	c.ended = true
	s.record(c, c.outcome())
	c.gateway.release(s.now, c)
	s.sendAdmitted(c.gateway)
}

func (e *simGateway) pool() *servicePool { return e.services.services[simService] }

func (e *simGateway) decide(now time.Time, w *waiter) (decision, time.Duration) {
	return e.pool().decide(now, e.services.gateways(), w)
}

func (e *simGateway) admitQueued(now time.Time) { e.pool().admitQueued(now, e.services.gateways()) }

func (e *simGateway) giveUp(now time.Time, w *waiter) time.Duration {
	e.pool().queue.remove(w)
	return e.pool().refused(now)
}

func (e *simGateway) pick(now time.Time, c *simCaller) route.Upstream {
	up, at, ok := e.services.pick(now, c.waiter.group, &route.Request{})
	if !ok {
		panic("no upstream")
	}
	c.group = at
	return up
}

func (e *simGateway) recordHead(now time.Time, c *simCaller, load *dialect.Load, after time.Duration) {
	e.services.recordHead(now, c.group, c.upstream, load, after, true)
}

func (e *simGateway) recordGap(now time.Time, c *simCaller, pause time.Duration, p *simProfile) {
	e.services.recordProgress(now, c.group)
	e.services.observeGap(now, simService, c.group, pause, p.targetGap, p.fixedPass())
}

func (e *simGateway) release(now time.Time, c *simCaller) {
	e.services.finish(now, c.group, c.upstream, &route.Request{}, route.Result{Elapsed: now.Sub(c.sentAt)})
	c.group.limiter.release()
	e.pool().recordHoldTime(now.Sub(c.sentAt))
	e.pool().admitQueued(now, e.services.gateways())
}
