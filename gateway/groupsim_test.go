package gateway

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

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
	skew func(group int, at time.Duration) (skew float64, copies bool)
	// perSecond is the arrival rate of new callers over all gateways.
	perSecond float64
	retries   []*simCaller

	arrived, onTime, late, refused int
	// lateFirst counts the late streams whose first event was late.
	lateFirst int
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

// simProfile describes the groups of a service and its callers.
type simProfile struct {
	ranks, slots int
	// A pass has stride steps. A step takes step ms, plus perRequest ms for each request that
	// runs on a rank.
	stride           float64
	step, perRequest float64
	// prompt is the length of a prompt in tokens, events the mean number of events of a stream.
	prompt, events float64
	// targetGap and targetFirstEvent are the targets of the route.
	targetGap, targetFirstEvent time.Duration
	// lateWorth is the worth of a late response, relative to one on time.
	lateWorth float64
}

// smallGroups are groups of 24 ranks with many slots, whose passes come close to the target gap
// if all slots are in use. largeGroup is a group of 192 ranks with fewer slots each.
var (
	smallGroups = simProfile{
		ranks: 24, slots: 10, stride: 7, step: 4.84, perRequest: 0.435, prompt: 800, events: 22.7,
		targetGap: 120 * time.Millisecond, targetFirstEvent: 400 * time.Millisecond, lateWorth: 0.3,
	}
	largeGroup = simProfile{
		ranks: 192, slots: 6, stride: 9, step: 4.84, perRequest: 0.797, prompt: 800, events: 16.9,
		targetGap: 150 * time.Millisecond, targetFirstEvent: 500 * time.Millisecond, lateWorth: 0.5,
	}
)

// fixedPass returns the part of a pass that doesn't depend on the running requests.
func (p *simProfile) fixedPass() time.Duration {
	return time.Duration(p.stride * p.step * float64(time.Millisecond))
}

// simGroup models one group.
type simGroup struct {
	running  []*simCaller
	waiting  []*simCaller
	passEnds time.Time
	passes   []time.Duration
}

// simCaller is one request over both of its tries.
type simCaller struct {
	firstTryAt  time.Time
	arrivedAt   time.Time
	tries       int
	gateway     *simGateway
	waiter      *waiter
	upstream    route.Upstream
	sentAt      time.Time
	lastEventAt time.Time
	events      int
	late        bool
	lateFirst   bool
	group       *groupPool
}

// simGateway drives the real code of a gateway in virtual time.
type simGateway struct {
	services *serviceManager
	weight   float64
	waiting  []*simCaller
}

func newGroupSim(p simProfile, seed uint64, groups, gateways int, perSecond float64) *groupSim {
	s := &groupSim{simProfile: p, rng: rand.New(rand.NewPCG(seed, 7)), now: start, perSecond: perSecond}
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
	number := uint64(0)
	for s.now.Before(end) {
		g := slices.MinFunc(s.groups, func(a, b *simGroup) int { return a.passEnds.Compare(b.passEnds) })
		s.now = slices.MinFunc([]time.Time{g.passEnds, arrival, survey, turn}, time.Time.Compare)
		switch {
		case s.now.Equal(g.passEnds):
			s.pass(slices.Index(s.groups, g))
		case s.now.Equal(survey):
			number++
			s.survey(number)
			survey = survey.Add(200 * time.Millisecond)
		case s.now.Equal(turn):
			s.tick()
			turn = turn.Add(admitInterval)
		default:
			s.arrive(&simCaller{firstTryAt: s.now, gateway: s.randomGateway()})
			arrival = arrival.Add(time.Duration(s.rng.ExpFloat64() / s.perSecond * float64(time.Second)))
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
	c.waiter = newArrival(s.now)
	if c.tries > 1 {
		c.waiter.retried, c.waiter.onTimeBy = true, c.firstTryAt.Add(s.targetFirstEvent-defaultHeadTime)
	}
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
		s.refused++
		return
	}
	c.sentAt = s.now.Add(wait)
	s.retries = append(s.retries, c)
}

// send sends a request to the rank that its gateway chooses.
func (s *groupSim) send(c *simCaller) {
	c.sentAt, c.upstream = s.now, c.gateway.pick(s.now, c)
	g := s.groups[c.upstream.ID[0]-'0']
	g.waiting = append(g.waiting, c)
}

// tick admits queued requests and lets refused callers retry.
func (s *groupSim) tick() {
	for _, e := range s.gateways {
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
			s.refuse(c, e.giveUp(s.now, c.waiter))
		default:
			e.waiting = append(e.waiting, c)
		}
	}
}

func (s *groupSim) survey(number uint64) {
	var states []*wire.RankState
	for i, g := range s.groups {
		perRank := make([]uint32, s.ranks)
		for _, c := range slices.Concat(g.running, g.waiting) {
			r := 0
			_, _ = fmt.Sscanf(c.upstream.ID[2:], "%d", &r)
			perRank[r]++
		}
		for r, n := range perRank {
			states = append(states, &wire.RankState{Upstream: simUpstream(i, r), Running: n, PacePercent: 100, AgeMs: 100})
		}
	}
	for i, e := range s.gateways {
		e.services.applySurvey(s.now, number, states, quota.Position{Index: i, Count: len(s.gateways)})
	}
}

// pass ends a pass of a group and begins the next one.
func (s *groupSim) pass(i int) {
	g := s.groups[i]
	for _, c := range slices.Clone(g.running) {
		s.event(g, c)
	}
	// New requests are read in the next pass and get their first event at its end.
	read := 0
	for len(g.waiting) > 0 && len(g.running) < s.ranks*s.slots {
		g.running = append(g.running, g.waiting[0])
		g.waiting = g.waiting[1:]
		read++
	}
	work := (s.stride*s.perRequest*float64(len(g.running)) + s.prompt/simReadRate*float64(read)) / float64(s.ranks)
	skew, copies := s.skew(i, s.elapsed())
	ms := s.stride*s.step + work*((1-simExpertShare)*simBusiest+simExpertShare*skew)
	if copies {
		ms *= simCopying
	}
	pass := time.Duration(ms * float64(time.Millisecond))
	g.passes = append(g.passes, pass)
	g.passEnds = s.now.Add(pass)
}

func (s *groupSim) event(g *simGroup, c *simCaller) {
	c.events++
	if c.events == 1 {
		c.lateFirst = s.now.Sub(c.firstTryAt) > s.targetFirstEvent
		c.late = c.lateFirst
		c.gateway.recordHead(s.now, c, s.now.Sub(c.sentAt))
	} else {
		pause := s.now.Sub(c.lastEventAt)
		c.late = c.late || pause > s.targetGap
		c.gateway.recordGap(s.now, c, pause, &s.simProfile)
	}
	c.lastEventAt = s.now
	if s.rng.Float64() > 1/s.events {
		return
	}
	g.running = slices.DeleteFunc(g.running, func(o *simCaller) bool { return o == c })
	if c.lateFirst {
		s.lateFirst++
	}
	if c.late {
		s.late++
	} else {
		s.onTime++
	}
	c.gateway.release(s.now, c)
	s.sendAdmitted(c.gateway)
}

// resetCounts drops the counts of the warm-up phase.
func (s *groupSim) resetCounts() {
	s.arrived, s.onTime, s.late, s.lateFirst, s.refused = 0, 0, 0, 0, 0
	for _, g := range s.groups {
		g.passes = nil
	}
}

// worth returns the mean worth of the requests that ended.
func (s *groupSim) worth() float64 {
	return (float64(s.onTime) + s.lateWorth*float64(s.late)) / float64(s.onTime+s.late+s.refused)
}

// String summarizes the results.
func (s *groupSim) String() string {
	var all []time.Duration
	for _, g := range s.groups {
		all = append(all, g.passes...)
	}
	slices.SortFunc(all, cmp.Compare[time.Duration])
	at := func(q float64) int64 {
		return all[int(math.Min(q*float64(len(all)), float64(len(all)-1)))].Milliseconds()
	}
	return fmt.Sprintf("%d came, %d in time, %d late (%d by their first event), %d refused; worth %.3f; passes p50 %d ms, p90 %d ms, p99 %d ms",
		s.arrived, s.onTime, s.late, s.lateFirst, s.refused, s.worth(), at(0.5), at(0.9), at(0.99))
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

func (e *simGateway) recordHead(now time.Time, c *simCaller, after time.Duration) {
	e.services.recordHead(now, c.group, c.upstream, nil, after, true)
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
