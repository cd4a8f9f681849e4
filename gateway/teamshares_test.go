package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/quota"
	"github.com/snipereach/snipereach/route"
	"github.com/snipereach/snipereach/teamshare"
	"github.com/snipereach/snipereach/wire"
)

// teamSim simulates, in virtual time, teams that compete for a service at several gateways. Admission and
// shares are the real code; a request that is admitted holds its slot for a random time.
type teamSim struct {
	rng       *rand.Rand
	now       time.Time
	gateways  []*teamGateway
	collector *teamshare.Collector
	teams     []*simTeam
	retries   []*teamCaller
	// ranks is the number of ranks of the service's group.
	ranks int
	// shares turns the shares of teams on.
	shares bool
}

// simTeam is a team whose callers arrive at a rate.
type simTeam struct {
	name      string
	perSecond float64
	// impatient callers ignore Retry-After: they try again after impatientDelay until they are served or
	// leave after impatientTime.
	impatient              bool
	callers, served, tries int
	onTime                 int
}

// teamCaller is a request of a team over all its tries.
type teamCaller struct {
	team    *simTeam
	firstAt time.Time
	tries   int
	waiter  *waiter
	// retryAt is the time of the next try.
	retryAt time.Time
	// endsAt is when an admitted request releases its slot, group what it holds it of.
	sentAt, endsAt time.Time
	upstream       route.Upstream
	group          *groupPool
}

// teamGateway is a gateway of a teamSim.
type teamGateway struct {
	services    *serviceManager
	counter     teamshare.Counter
	shares      *teamshare.Shares
	contendedAt time.Time
	waiting     []*teamCaller
	running     []*teamCaller
}

const (
	teamSimStep    = 5 * time.Millisecond
	teamSimSlots   = 10
	teamSimHold    = 2 * time.Second
	impatientDelay = 100 * time.Millisecond
	impatientTime  = 8 * time.Second
)

// newTeamSim returns a simulation of teams that ask for load times the capacity together.
func newTeamSim(t *testing.T, seed uint64, ranks, gateways, teams int, load float64) *teamSim {
	s := &teamSim{rng: rand.New(rand.NewPCG(seed, 11)), now: start, ranks: ranks, shares: true}
	s.collector = teamshare.NewCollector(func() time.Time { return s.now })
	var insts []*directory.Instance
	for r := range s.ranks {
		insts = append(insts, &directory.Instance{Announcement: &wire.Announcement{
			Id: fmt.Sprint("rank-", r), Group: "g", Rank: uint32(r), Incarnation: 1, Pools: []string{simService},
			Phase: wire.Phase_PHASE_UP, Direct: &wire.DirectUpstream{Slots: teamSimSlots, GroupEpoch: 1, GroupSize: uint32(ranks)},
		}})
	}
	for i := range gateways {
		m := newServiceManager(&Settings{ID: fmt.Sprint("gateway-", i)})
		m.entryInfo.Seed = seed*1000 + uint64(i)
		m.gateways = func() int { return gateways }
		assert.NilError(t, m.update(s.now, insts, updateInputs{}))
		s.gateways = append(s.gateways, &teamGateway{services: m})
	}
	for i := range teams {
		s.teams = append(s.teams, &simTeam{name: fmt.Sprint("team-", i), perSecond: load * maxFill * float64(ranks) * teamSimSlots / teamSimHold.Seconds() / float64(teams)})
	}
	return s
}

func (g *teamGateway) pool() *servicePool { return g.services.services[simService] }

// run simulates a duration.
func (s *teamSim) run(d time.Duration) {
	every := func(period time.Duration) bool { return s.now.Sub(start)%period == 0 }
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(teamSimStep) {
		for _, g := range s.gateways {
			s.step(g, every(admitInterval))
		}
		if every(200 * time.Millisecond) {
			s.survey()
		}
		if every(time.Second) {
			s.report()
		}
		for _, t := range s.teams {
			if s.rng.Float64() < t.perSecond*teamSimStep.Seconds() {
				t.callers++
				s.arrive(&teamCaller{team: t, firstAt: s.now})
			}
		}
		due := s.retries
		s.retries = nil
		for _, c := range due {
			if s.now.Before(c.retryAt) {
				s.retries = append(s.retries, c)
				continue
			}
			s.arrive(c)
		}
	}
}

// step ends requests and, if tick is set, admits queued ones.
func (s *teamSim) step(g *teamGateway, tick bool) {
	g.pool().sorted[0].limiter.recordProgress(s.now)
	var running []*teamCaller
	for _, c := range g.running {
		if s.now.Before(c.endsAt) {
			running = append(running, c)
			continue
		}
		g.services.finish(s.now, c.group, c.upstream, &route.Request{}, route.Result{Elapsed: s.now.Sub(c.sentAt)})
		c.group.limiter.release()
		g.pool().recordHoldTime(s.now.Sub(c.sentAt))
		tick = true
	}
	g.running = running
	if !tick {
		return
	}
	g.pool().admitQueued(s.now, len(s.gateways))
	waiting := g.waiting
	g.waiting = nil
	for _, c := range waiting {
		switch {
		case isAdmitted(c.waiter):
			s.admitted(g, c)
		case s.now.After(c.waiter.giveUpAt):
			g.pool().queue.remove(c.waiter)
			s.refused(g, c, g.pool().refused(s.now))
		default:
			g.waiting = append(g.waiting, c)
		}
	}
}

// arrive simulates one try of a caller at a random gateway.
func (s *teamSim) arrive(c *teamCaller) {
	g := s.gateways[s.rng.IntN(len(s.gateways))]
	c.tries++
	c.team.tries++
	c.waiter = newArrival(s.now)
	if c.tries > 1 {
		c.waiter.retried, c.waiter.onTimeBy = true, newArrival(c.firstAt).onTimeBy
	}
	c.waiter.overShare = g.shares != nil && g.shares.Beyond(c.team.name, s.rng.Float64())
	g.counter.Arrived(s.now, c.team.name, 1)
	switch d, wait := g.pool().decide(s.now, len(s.gateways), c.waiter); d {
	case decisionAdmit:
		s.admitted(g, c)
	case decisionQueue:
		g.contendedAt = s.now
		g.waiting = append(g.waiting, c)
	case decisionRefuse:
		s.refused(g, c, wait)
	}
}

func (s *teamSim) admitted(g *teamGateway, c *teamCaller) {
	g.counter.Admitted(s.now, c.team.name, 1)
	c.team.served++
	if !s.now.After(newArrival(c.firstAt).onTimeBy) {
		c.team.onTime++
	}
	var ok bool
	c.upstream, c.group, ok = g.services.pick(s.now, c.waiter.group, &route.Request{})
	if !ok {
		panic("no upstream")
	}
	c.sentAt, c.endsAt = s.now, s.now.Add(time.Duration(s.rng.ExpFloat64()*float64(teamSimHold)))
	g.running = append(g.running, c)
}

func (s *teamSim) refused(g *teamGateway, c *teamCaller, wait time.Duration) {
	g.contendedAt = s.now
	g.counter.Refused(s.now, c.team.name, 1, reasonUpstreamsBusy)
	if c.team.impatient {
		if s.now.Sub(c.firstAt) < impatientTime {
			c.retryAt = s.now.Add(impatientDelay)
			s.retries = append(s.retries, c)
		}
		return
	}
	if c.tries == 1 {
		c.retryAt = s.now.Add(wait)
		s.retries = append(s.retries, c)
	}
}

// report has the contended gateways report, and use the sums.
func (s *teamSim) report() {
	for i, g := range s.gateways {
		if !s.shares || g.contendedAt.IsZero() || s.now.Sub(g.contendedAt) >= 2*time.Second {
			g.shares = nil
			continue
		}
		totals, err := s.collector.Report(&wire.DemandReport{
			Gateway: fmt.Sprint(i), Service: simService, SpanMs: uint32(teamshare.Span.Milliseconds()), Teams: teamshare.ToWire(g.counter.Recent(s.now)),
		})
		if err != nil {
			panic(err)
		}
		g.shares = teamshare.NewShares(teamshare.FromWire(totals.Teams))
	}
}

func (s *teamSim) survey() {
	perRank := map[string]uint32{}
	for _, g := range s.gateways {
		for _, c := range g.running {
			perRank[c.upstream.ID]++
		}
	}
	var states []*wire.RankState
	for r := range s.ranks {
		id := fmt.Sprint("rank-", r)
		states = append(states, &wire.RankState{Upstream: id, Running: perRank[id], PacePercent: 100, AgeMs: 100})
	}
	number := uint64(s.now.Sub(start)/(200*time.Millisecond)) + 1
	for i, g := range s.gateways {
		g.services.applySurvey(s.now, number, states, quota.Position{Index: i, Count: len(s.gateways)})
	}
}

// measure runs a warm-up and then a time over which callers are counted.
func (s *teamSim) measure(d time.Duration) {
	s.run(10 * time.Second)
	for _, t := range s.teams {
		t.callers, t.served, t.onTime, t.tries = 0, 0, 0, 0
	}
	s.run(d)
}

// rates returns which fraction of the callers of the teams was served, and which in time.
func rates(teams ...*simTeam) (served, onTime float64) {
	callers, s, o := 0, 0, 0
	for _, t := range teams {
		callers, s, o = callers+t.callers, s+t.served, o+t.onTime
	}
	return float64(s) / float64(callers), float64(o) / float64(callers)
}

// teamScenario is a case in which teams compete for a service.
type teamScenario struct {
	ranks, gateways int
	// load is what all teams ask for without a flood, relative to the capacity.
	load float64
	// flood has the first team ask for ten times as much, impatient has its callers ignore Retry-After.
	flood, impatient bool
}

// play returns the simulation of a scenario after its run.
func (c teamScenario) play(t *testing.T, seed uint64) *teamSim {
	s := newTeamSim(t, seed, c.ranks, c.gateways, 10, c.load)
	if c.flood {
		s.teams[0].perSecond *= 10
	}
	s.teams[0].impatient = c.impatient
	s.measure(measured)
	return s
}

// measured is the time over which callers are counted.
const measured = 30 * time.Second

// maxPointsLost is what a flood of one team may cost the requests of the others.
const maxPointsLost = 0.03

// checkFlood fails if a flood of one team costs the others more of their requests in time than allowed.
func checkFlood(t *testing.T, c teamScenario) {
	t.Helper()
	c.flood, c.impatient = false, false
	_, without := rates(c.play(t, 1).teams[1:]...)
	c.flood = true
	for _, c.impatient = range []bool{false, true} {
		s := c.play(t, 1)
		_, with := rates(s.teams[1:]...)
		own, _ := rates(s.teams[0])
		t.Logf("%+v: %.3f of the others' requests in time, %.3f without the flood; %.3f of the flood served", c, with, without, own)
		assert.Check(t, with > without-maxPointsLost, "%+v: %.3f in time, %.3f without the flood", c, with, without)
	}
}

// Guards against a team at ten times its usual rate that takes the slots of the other teams, also if its
// callers ignore Retry-After. Without shares the others lose 36 points and more.
func TestFloodOfOneTeamCostsOthersLittle(t *testing.T) {
	for _, c := range []teamScenario{
		{ranks: 24, gateways: 4, load: 0.8}, {ranks: 24, gateways: 4, load: 1}, {ranks: 24, gateways: 4, load: 1.2},
		{ranks: 72, gateways: 40, load: 0.8}, {ranks: 72, gateways: 40, load: 1},
	} {
		t.Run(fmt.Sprintf("%d ranks, %d gateways, load %.1f", c.ranks, c.gateways, c.load), func(t *testing.T) {
			t.Parallel()
			checkFlood(t, c)
		})
	}
}

// Guards against the same with six slots at each gateway, where a free slot is seldom at the gateway that
// needs it.
func TestFloodAtFewSlotsPerGateway(t *testing.T) {
	checkFlood(t, teamScenario{ranks: 24, gateways: 40, load: 0.8})
}

// Guards against teams that are served more because their callers ignore Retry-After, in a service that all
// teams together ask too much of.
func TestIgnoringRetryAfterGainsNothing(t *testing.T) {
	for _, c := range []teamScenario{
		{ranks: 24, gateways: 4, load: 1.2}, {ranks: 24, gateways: 4, load: 1.5}, {ranks: 72, gateways: 40, load: 1.2},
	} {
		t.Run(fmt.Sprintf("%d ranks, %d gateways, load %.1f", c.ranks, c.gateways, c.load), func(t *testing.T) {
			t.Parallel()
			inTime := func(impatient bool) float64 {
				sum := 0.0
				for seed := range uint64(2) {
					c.impatient = impatient
					_, r := rates(c.play(t, seed+1).teams[0])
					sum += r
				}
				return sum / 2
			}
			patient, impatient := inTime(false), inTime(true)
			t.Logf("%.3f in time, %.3f if Retry-After is honored", impatient, patient)
			assert.Check(t, impatient <= patient+maxPointsLost)
		})
	}
}

// Guards against capacity that is kept free for teams that don't use it.
func TestFloodUsesWhatOthersLeave(t *testing.T) {
	c := teamScenario{ranks: 24, gateways: 4, load: 0.8, flood: true}
	served := 0
	for _, team := range c.play(t, 1).teams {
		served += team.served
	}
	perSecond, capacity := float64(served)/measured.Seconds(), maxFill*float64(c.ranks*teamSimSlots)/teamSimHold.Seconds()
	assert.Assert(t, perSecond > 0.85*capacity, "%.1f requests a second are served, capacity %.1f", perSecond, capacity)
}

// Guards against shares that cost requests where no team is over its share.
func TestSharesCostNothingWithoutFlood(t *testing.T) {
	for _, load := range []float64{0.8, 1, 1.2} {
		c := teamScenario{ranks: 24, gateways: 4, load: load}
		off := newTeamSim(t, 1, c.ranks, c.gateways, 10, c.load)
		off.shares = false
		off.measure(measured)
		_, without := rates(off.teams...)
		_, with := rates(c.play(t, 1).teams...)
		t.Logf("load %.1f: %.3f in time, %.3f without shares", load, with, without)
		assert.Check(t, with > without-maxPointsLost)
	}
}
