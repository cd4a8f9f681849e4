package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fullerLimiters returns the limiters of gateways at a group of the given fill, as they are just after
// a survey. All gateways have equally many requests, as far as these divide.
func fullerLimiters(gateways, slotsPerGateway int, fill float64) []*groupLimiter {
	slots := gateways * slotsPerGateway
	running := int(fill * float64(slots))
	list := make([]*groupLimiter, gateways)
	for i := range list {
		own := running / gateways
		if i < running%gateways {
			own++
		}
		list[i] = &groupLimiter{
			lockstep: true, slots: slots, occupancy: fill, occupancyAt: start, surveyedAt: start,
			inflight: own, reportedInflight: own, rounding: (float64(i) + 0.5) / float64(gateways),
		}
	}
	return list
}

// Reservations of a fraction of a slot add up over all gateways to what is to stay free. Guards
// against a whole slot at each of many gateways, which would be a twentieth of the group, and
// against none at all.
func TestFractionalReservationsAddUp(t *testing.T) {
	for _, gateways := range []int{1, 40, 400} {
		for _, reserved := range []float64{0.2, 0.65, 1.3} {
			kept := 0
			for _, g := range fullerLimiters(gateways, 18, 0.8) {
				kept += g.limitWithin(start, gateways, maxFill, 0) - g.limitWithin(start, gateways, maxFill, reserved)
			}
			want := reserved * float64(gateways)
			assert.Assert(t, float64(kept) > 0.9*want-1 && float64(kept) < 1.1*want+1, "%d gateways keep %d free, not %.1f", gateways, kept, want)
		}
	}
}

// Only less urgent requests leave slots free, and not while they get too little themselves.
func TestOnlyLessUrgentRequestsLeaveSlotsFree(t *testing.T) {
	p, g := poolWithSlots(144)
	g.occupancy, g.occupancyAt, g.rounding = 0.5, start, defaultRounding
	full := p.sorted[0].limit(start, 8, class{})
	limit := func(c class) int { return p.sorted[0].limit(start, 8, c) }
	for range 40 {
		p.policy.RecordArrival(start, 0)
	}
	assert.Equal(t, limit(class{priority: 1}), full, "all requests have the same priority")
	p.policy.SetRanks(2)
	for range 20 {
		p.policy.RecordArrival(start, 0)
	}
	assert.Equal(t, limit(class{}), full, "the most urgent priority")
	assert.Equal(t, limit(class{priority: 1}), full-3, "20 in 2 s need 3 slots in 0.3 s")
	assert.Equal(t, limit(class{priority: 1, starved: true}), full)
	later := start.Add(400 * time.Millisecond)
	assert.Assert(t, p.sorted[0].limit(later, 8, class{priority: 1}) > full-3, "the reservation wears off")
}

// A service of one priority is limited as before, whatever the priority of its requests.
func TestOnePriorityIsLimitedAsBefore(t *testing.T) {
	p, g := poolWithSlots(144)
	p.policy.SetRanks(1)
	for _, fill := range []float64{0, 0.3, 0.9, 1.2} {
		g.occupancy, g.occupancyAt, g.rounding, g.reportedInflight = fill, start, defaultRounding, 10
		for _, priority := range []uint32{0, 4, 9} {
			assert.Equal(t, p.sorted[0].limit(start, 8, class{priority: priority}), g.limit(start, 8))
		}
	}
}
