package gateway

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/snipereach/snipereach/route"
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
	// readRate is the number of prompt tokens that a rank reads per millisecond; simReadRate if 0.
	readRate float64
	// slotsPerRank says that a rank with all slots in use queues requests, by their priority, and
	// that responses carry its load. Otherwise a group runs as many requests as all its ranks have
	// slots.
	slotsPerRank bool
	// surveyAge is how old surveys are when they reach the gateways.
	surveyAge time.Duration
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

// simRoute describes the callers of one route.
type simRoute struct {
	priority uint32
	// perSecond is the arrival rate of new callers over all gateways.
	perSecond        float64
	targetFirstEvent time.Duration
	// worth is that of a response in time.
	worth  float64
	bursts []simBurst
}

// simBurst multiplies the arrival rate of a route for a time.
type simBurst struct {
	from, to time.Duration
	factor   float64
}

// rate returns the arrival rate per second at a time since the start.
func (r *simRoute) rate(at time.Duration) float64 {
	rate := r.perSecond
	for _, b := range r.bursts {
		if at >= b.from && at < b.to {
			rate *= b.factor
		}
	}
	return rate
}

// simCaller is one request over both of its tries.
type simCaller struct {
	route       *simRoute
	firstTryAt  time.Time
	arrivedAt   time.Time
	tries       int
	gateway     *simGateway
	waiter      *waiter
	upstream    route.Upstream
	rank        int
	sentAt      time.Time
	lastEventAt time.Time
	// firstEvent is the time from the first try to the first event.
	firstEvent time.Duration
	events     int
	late       bool
	lateFirst  bool
	// ended says that the stream has had its last event.
	ended bool
	// queuedInVain says that a try was refused after it had been queued.
	queuedInVain bool
	group        *groupPool
}

// simOutcome is how a request ended.
type simOutcome int

const (
	simOnTime simOutcome = iota
	simLate
	simRefused
)

func (c *simCaller) outcome() simOutcome {
	if c.late {
		return simLate
	}
	return simOnTime
}

// simResult is a request that has ended. at is the time of its first try since the start.
type simResult struct {
	route        *simRoute
	at           time.Duration
	outcome      simOutcome
	lateFirst    bool
	queuedInVain bool
	firstEvent   time.Duration
}

func (s *groupSim) record(c *simCaller, o simOutcome) {
	s.results = append(s.results, simResult{
		route: c.route, at: c.firstTryAt.Sub(start), outcome: o,
		lateFirst: o == simLate && c.lateFirst, queuedInVain: c.queuedInVain, firstEvent: c.firstEvent,
	})
}

// settle ends all requests in progress as they are now, so that results by time of arrival are
// complete. Those that have had no event count as late, those that would retry as refused.
func (s *groupSim) settle() {
	for _, g := range s.groups {
		for _, c := range g.running {
			c.late = c.late || c.events == 0
			s.record(c, c.outcome())
		}
		for _, c := range g.waiting {
			s.record(c, simLate)
		}
		g.running, g.waiting = nil, nil
	}
	for _, e := range s.gateways {
		for _, c := range e.waiting {
			s.record(c, simLate)
		}
		e.waiting = nil
	}
	for _, c := range s.retries {
		s.record(c, simRefused)
	}
	s.retries = nil
}

// perSecond returns the arrival rate of all routes now.
func (s *groupSim) perSecond() (sum float64) {
	for i := range s.routes {
		sum += s.routes[i].rate(s.elapsed())
	}
	return sum
}

func (s *groupSim) randomRoute() *simRoute {
	if len(s.routes) == 1 {
		return &s.routes[0]
	}
	x := s.rng.Float64() * s.perSecond()
	for i := range s.routes {
		if x -= s.routes[i].rate(s.elapsed()); x < 0 {
			return &s.routes[i]
		}
	}
	return &s.routes[len(s.routes)-1]
}

// newWaiter returns the waiter of a try. With several routes its times are those of call.newWaiter.
func (s *groupSim) newWaiter(c *simCaller) *waiter {
	w := newArrival(s.now)
	w.retried = c.tries > 1
	if len(s.routes) > 1 {
		w.priority = c.route.priority
		head := c.gateway.services.headTime(simService)
		w.giveUpAt = s.now.Add(firstEventTimeout - firstEventMargin - head)
		w.onTimeBy = c.firstTryAt.Add(c.route.targetFirstEvent - time.Duration(headTimeFactor*float64(head)))
	} else if w.retried {
		w.onTimeBy = c.firstTryAt.Add(c.route.targetFirstEvent - defaultHeadTime)
	}
	return w
}

// simCounts counts results.
type simCounts struct {
	onTime, late, refused int
	// lateFirst counts the late streams whose first event was late, inVain the requests of which a
	// try was refused after it had been queued.
	lateFirst, inVain int
	worth             float64
}

func (n *simCounts) total() int { return n.onTime + n.late + n.refused }

func (n *simCounts) onTimeFraction() float64 { return float64(n.onTime) / float64(max(n.total(), 1)) }

// admittedFraction is the fraction of requests that weren't refused in the end.
func (n *simCounts) admittedFraction() float64 {
	return float64(n.onTime+n.late) / float64(max(n.total(), 1))
}

func (n *simCounts) inVainFraction() float64 { return float64(n.inVain) / float64(max(n.total(), 1)) }

func (n *simCounts) String() string {
	return fmt.Sprintf("%d came, %d in time, %d late (%d by their first event), %d refused, %d queued in vain",
		n.total(), n.onTime, n.late, n.lateFirst, n.refused, n.inVain)
}

// count counts the results that a filter selects.
func (s *groupSim) count(selects func(*simResult) bool) (n simCounts) {
	for i := range s.results {
		r := &s.results[i]
		if !selects(r) {
			continue
		}
		if r.lateFirst {
			n.lateFirst++
		}
		if r.queuedInVain {
			n.inVain++
		}
		switch r.outcome {
		case simOnTime:
			n.onTime++
			n.worth += r.route.worth
		case simLate:
			n.late++
			n.worth += s.lateWorth * r.route.worth
		case simRefused:
			n.refused++
		}
	}
	return n
}

func (s *groupSim) all() simCounts { return s.count(func(*simResult) bool { return true }) }

// arrivedBetween counts the requests of a priority that came first in an interval since the start.
func (s *groupSim) arrivedBetween(from, to time.Duration, priority uint32) simCounts {
	return s.count(func(r *simResult) bool { return r.at >= from && r.at < to && r.route.priority == priority })
}

// resetCounts drops the counts of the warm-up phase.
func (s *groupSim) resetCounts() {
	s.arrived, s.results = 0, nil
	for _, g := range s.groups {
		g.passes = nil
	}
}

// worth returns the mean worth of the requests that ended.
func (s *groupSim) worth() float64 {
	n := s.all()
	return n.worth / float64(n.total())
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
	n := s.all()
	return fmt.Sprintf("%d came, %d in time, %d late (%d by their first event), %d refused; worth %.3f; passes p50 %d ms, p90 %d ms, p99 %d ms",
		s.arrived, n.onTime, n.late, n.lateFirst, n.refused, s.worth(), at(0.5), at(0.9), at(0.99))
}
