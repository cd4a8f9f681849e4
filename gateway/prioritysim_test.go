package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	simUrgent, simMiddle, simPatient = 0, 1, 2
	simPriorities                    = 3
	// simUsualGateways is the number of gateways of the profile.
	simUsualGateways = 40
	// simCapacity is the load, relative to the usual one, of which hardly any request is late or
	// refused at 40 gateways; at 1.6 some are.
	simCapacity = 1.4
	// Bursts begin at burstStart, just after a shift of demand, and last for burstLength. The time after
	// them that is looked at lasts for afterBurst. settleTime is the time after the last request that
	// is counted, by which most have had their first event.
	burstStart  = 4 * time.Second
	burstLength = 6 * time.Second
	afterBurst  = 4 * time.Second
	settleTime  = 1500 * time.Millisecond
	// urgentFloodLength is the length of floods of urgent requests, whose simulation takes longer.
	// It is twice the time over which the policy counts requests.
	urgentFloodLength = 4 * time.Second
	// frozenFrom is when surveys stop in tests of a frozen leader.
	frozenFrom = 3 * time.Second
	// maxAdaptTime is the time after the start and the end of a burst by which the gateways have
	// adapted.
	maxAdaptTime = time.Second
	// maxInVain is the largest fraction of requests that are refused after they were queued.
	maxInVain = 0.02
)

// priorityGroup is a group with callers of three priorities at 40 gateways. Its slots suffice for
// about 1.6 times its usual load.
var priorityGroup = simProfile{
	ranks: 72, slots: 10, stride: 6, step: 5.85, perRequest: 0.426, prompt: 800, readRate: 61.2, events: 23,
	slotsPerRank: true, surveyAge: 100 * time.Millisecond, targetGap: 120 * time.Millisecond, lateWorth: 0.3,
}

// scaled returns the profile and the usual load for a number of gateways. The group of a single
// gateway has a quarter of the ranks: with fewer, it would have too few requests to count.
func scaled(gateways int) (p simProfile, scale float64) {
	p = priorityGroup
	p.ranks = max(p.ranks*gateways/simUsualGateways, p.ranks/4)
	return p, float64(p.ranks) / float64(priorityGroup.ranks)
}

// usualRoutes returns the routes of three priorities at a multiple of their usual load.
func usualRoutes(load float64) []simRoute {
	return []simRoute{
		{priority: simUrgent, perSecond: 86 * load, targetFirstEvent: 400 * time.Millisecond, worth: 1},
		{priority: simMiddle, perSecond: 38 * load, targetFirstEvent: 400 * time.Millisecond, worth: 0.6},
		{priority: simPatient, perSecond: 114 * load, targetFirstEvent: time.Second, worth: 0.3},
	}
}

// usualRate is the usual rate of requests per second of all routes.
func usualRate() (sum float64) {
	for _, r := range usualRoutes(1) {
		sum += r.perSecond
	}
	return sum
}

// demandShifts is a shift of expert demand each 3.9 s, which is long over before the next one.
func demandShifts(_ int, at time.Duration) (skew float64, copies bool) {
	switch since := at % (3900 * time.Millisecond); {
	case at < 3900*time.Millisecond:
		return 1.22, false
	case since < 300*time.Millisecond:
		return 2.4, since > 200*time.Millisecond
	case since < 900*time.Millisecond:
		return 1.4, since > 600*time.Millisecond
	}
	return 1.22, false
}

func noShifts(int, time.Duration) (float64, bool) { return 1.22, false }

// conditions are what a simulation of priorities varies besides the load.
type conditions struct {
	name     string
	gateways int
	shifts   bool
	// frozen says that surveys stop before the burst.
	frozen bool
}

// allConditions are the conditions at the usual number of gateways.
var allConditions = []conditions{
	{name: "shifts", gateways: simUsualGateways, shifts: true},
	{name: "no shifts", gateways: simUsualGateways},
	{name: "frozen leader", gateways: simUsualGateways, frozen: true},
	{name: "frozen leader and shifts", gateways: simUsualGateways, shifts: true, frozen: true},
}

// sizes are the conditions at other numbers of gateways.
var sizes = []conditions{
	{name: "1 gateway", gateways: 1, shifts: true},
	{name: "400 gateways", gateways: 400, shifts: true},
}

// burst multiplies the load of some priorities from burstStart on.
type burst struct {
	priorities []uint32
	factor     float64
	length     time.Duration
}

// playBurst plays a load, relative to the usual one, with a burst, and goes on for untilAfter with
// requests that count.
func playBurst(c conditions, load float64, b burst, untilAfter time.Duration) *groupSim {
	p, scale := scaled(c.gateways)
	routes := usualRoutes(load * scale)
	for _, priority := range b.priorities {
		routes[priority].bursts = []simBurst{{from: burstStart, to: burstStart + b.length, factor: b.factor}}
	}
	s := newPrioritySim(p, 1, 1, c.gateways, routes)
	s.skew = noShifts
	if c.shifts {
		s.skew = demandShifts
	}
	if c.frozen {
		s.surveysEnd = frozenFrom
	}
	s.run(burstStart + b.length + untilAfter + settleTime)
	s.settle()
	return s
}

// inBurst counts the requests that came during a burst, by priority and all.
func inBurst(s *groupSim, b burst) (byPriority [simPriorities]simCounts, all simCounts) {
	end := burstStart + b.length
	for priority := range byPriority {
		byPriority[priority] = s.arrivedBetween(burstStart, end, uint32(priority))
	}
	return byPriority, s.count(func(r *simResult) bool { return r.at >= burstStart && r.at < end })
}

// logBurst logs what became of the requests of a burst, by priority.
func logBurst(t *testing.T, s *groupSim, b burst) {
	byPriority, _ := inBurst(s, b)
	for priority, n := range byPriority {
		t.Logf("priority %d in the burst: %s", priority, &n)
	}
}

// checkInVain checks that hardly any request is refused after it was queued.
func checkInVain(t *testing.T, s *groupSim, b burst) {
	t.Run("hardly any queued in vain", func(t *testing.T) {
		_, n := inBurst(s, b)
		assert.Assert(t, n.inVainFraction() <= maxInVain, "%s", &n)
	})
}

// A flood of patient requests leaves nearly all urgent ones in time, as those alone are below the
// capacity. Guards against urgent requests that wait for slots that patient ones have just taken.
func TestPatientFloodLeavesUrgentRequestsInTime(t *testing.T) {
	flood := burst{priorities: []uint32{simPatient}, factor: 2.6, length: burstLength}
	for _, c := range slices.Concat(allConditions, sizes) {
		t.Run(c.name, func(t *testing.T) {
			s := playBurst(c, 1, flood, 0)
			logBurst(t, s, flood)
			t.Run("urgent in time", func(t *testing.T) {
				byPriority, _ := inBurst(s, flood)
				n := byPriority[simUrgent]
				assert.Assert(t, n.onTimeFraction() >= 0.95, "%s", &n)
			})
			checkInVain(t, s, flood)
		})
	}
}

// A flood of urgent requests leaves the others a quarter of the overall admitted fraction. Guards
// against strict priority, with which they would get nothing.
func TestUrgentFloodLeavesOthersAPart(t *testing.T) {
	flood := burst{priorities: []uint32{simUrgent}, factor: 5, length: urgentFloodLength}
	for _, c := range slices.Concat(allConditions, sizes) {
		t.Run(c.name, func(t *testing.T) {
			s := playBurst(c, 1, flood, 0)
			logBurst(t, s, flood)
			byPriority, overall := inBurst(s, flood)
			for priority, n := range byPriority {
				t.Run(fmt.Sprint("priority ", priority), func(t *testing.T) {
					assert.Assert(t, n.admittedFraction() >= overall.admittedFraction()/4, "%s; overall %s", &n, &overall)
				})
			}
			checkInVain(t, s, flood)
		})
	}
}

// Without contention different priorities cost nothing: at least as many requests are in time as if
// all had the same one. Guards against slots that stay free for requests that don't come.
func TestPrioritiesCostNothingWithoutContention(t *testing.T) {
	for _, load := range []float64{1, simCapacity} {
		t.Run(fmt.Sprintf("%.1f times the usual load", load), func(t *testing.T) {
			play := func(routes []simRoute) simCounts {
				s := newPrioritySim(priorityGroup, 1, 1, simUsualGateways, routes)
				s.skew = demandShifts
				s.run(burstStart + burstLength + settleTime)
				s.settle()
				_, n := inBurst(s, burst{length: burstLength})
				return n
			}
			equal := usualRoutes(load)
			for i := range equal {
				equal[i].priority = simUrgent
			}
			different, same := play(usualRoutes(load)), play(equal)
			t.Logf("different priorities: %s; equal ones: %s", &different, &same)
			assert.Assert(t, different.onTimeFraction() >= same.onTimeFraction()-0.01, "%s; with equal priorities %s", &different, &same)
			assert.Assert(t, different.inVainFraction() <= maxInVain, "%s", &different)
		})
	}
}

// burstRates are the rates per second at which requests come and at which those that are in time come.
type burstRates struct{ came, inTime float64 }

func ratesBetween(s *groupSim, from, to time.Duration) burstRates {
	n := s.count(func(r *simResult) bool { return r.at >= from && r.at < to })
	return burstRates{came: float64(n.total()) / (to - from).Seconds(), inTime: float64(n.onTime) / (to - from).Seconds()}
}

// checkNearBest checks that the rate of requests in time is close to the best one, or to the rate at
// which requests come if that is lower.
func checkNearBest(t *testing.T, r burstRates, best float64, when string) {
	want := 0.9 * min(best, r.came)
	assert.Check(t, r.inTime >= want, "%s %.0f of %.0f a second are in time, of %.0f at best", when, r.inTime, r.came, best)
}

// The rate of requests in time stays close to its best at any load, from shortly after the start of
// a burst, and again from shortly after its end. Guards against work for requests that are late in
// the end, and against a backlog that outlasts the burst.
func TestOverloadKeepsRateOfRequestsInTime(t *testing.T) {
	for _, c := range allConditions {
		t.Run(c.name, func(t *testing.T) {
			sims := map[float64]*groupSim{}
			// The load of factor 1 can be served by definition, so the best is no less, also in
			// conditions in which it isn't reached.
			best, burstEnd := simCapacity*usualRate(), burstStart+burstLength
			factors := []float64{1, 1.5, 2, 3}
			b := burst{priorities: []uint32{simUrgent, simMiddle, simPatient}, length: burstLength}
			for _, b.factor = range factors {
				s := playBurst(c, simCapacity, b, afterBurst)
				sims[b.factor] = s
				best = max(best, ratesBetween(s, burstStart+maxAdaptTime, burstEnd).inTime)
			}
			for _, factor := range factors {
				t.Run(fmt.Sprintf("%.1f times the load", factor), func(t *testing.T) {
					s := sims[factor]
					during := ratesBetween(s, burstStart+maxAdaptTime, burstEnd)
					after := ratesBetween(s, burstEnd+maxAdaptTime, burstEnd+afterBurst)
					t.Logf("a second in the burst %.0f, after it %.0f", during, after)
					logBurst(t, s, b)
					checkNearBest(t, during, best, "in the burst")
					checkNearBest(t, after, best, "after the burst")
					checkInVain(t, s, b)
				})
			}
		})
	}
}
