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
	teamSimRanks   = 24
	teamSimSlots   = 10
	teamSimHold    = 2 * time.Second
	impatientDelay = 100 * time.Millisecond
	impatientTime  = 8 * time.Second
	// teamSimCapacity is about how many requests a second the service takes.
	teamSimCapacity = maxFill * teamSimRanks * teamSimSlots / 2.0
)

// newTeamSim returns a simulation of teams that ask for load times the capacity together.
func newTeamSim(t *testing.T, seed uint64, gateways, teams int, load float64) *teamSim {
	s := &teamSim{rng: rand.New(rand.NewPCG(seed, 11)), now: start, shares: true}
	s.collector = teamshare.NewCollector(func() time.Time { return s.now })
	var insts []*directory.Instance
	for r := range teamSimRanks {
		insts = append(insts, &directory.Instance{Announcement: &wire.Announcement{
			Id: fmt.Sprint("rank-", r), Group: "g", Rank: uint32(r), Incarnation: 1, Pools: []string{simService},
			Phase: wire.Phase_PHASE_UP, Direct: &wire.DirectUpstream{Slots: teamSimSlots, GroupEpoch: 1, GroupSize: teamSimRanks},
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
		s.teams = append(s.teams, &simTeam{name: fmt.Sprint("team-", i), perSecond: load * teamSimCapacity / float64(teams)})
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
	for r := range teamSimRanks {
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

func TestTeamSimTrial(t *testing.T) {
	for _, gateways := range []int{4, 40} {
		for _, load := range []float64{0.8, 1.0, 1.2} {
			for _, mode := range []string{"base", "flood", "flood-off", "impatient", "impatient-off", "flood-impatient"} {
				s := newTeamSim(t, 1, gateways, 10, load)
				switch mode {
				case "flood", "flood-off", "flood-impatient":
					s.teams[0].perSecond *= 10
				case "base", "impatient", "impatient-off":
				}
				s.teams[0].impatient = mode == "impatient" || mode == "impatient-off" || mode == "flood-impatient"
				s.shares = mode != "flood-off" && mode != "impatient-off"
				s.measure(60 * time.Second)
				a, b := rates(s.teams[0])
				c, d := rates(s.teams[1:]...)
				t.Logf("gateways %d load %.1f %-16s first: served %.3f on time %.3f (%.1f/s)  others: served %.3f on time %.3f  ", gateways, load, mode, a, b, float64(s.teams[0].served)/60, c, d)
			}
		}
	}
}
