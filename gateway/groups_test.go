package gateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// periodicShifts returns the skew of a group whose expert demand shifts once per period: it rises
// to 3.4, and three steps of replication reduce it to 1.6.
func periodicShifts(period time.Duration) func(int, time.Duration) (float64, bool) {
	return func(_ int, at time.Duration) (float64, bool) {
		switch since := at % period; {
		case at < period:
			return 1.6, false
		case since < 250*time.Millisecond:
			return 3.4, false
		case since < 400*time.Millisecond:
			return 3.4, true
		case since < 900*time.Millisecond:
			return 2, since > 600*time.Millisecond
		case since < 1300*time.Millisecond:
			return 1.7, true
		}
		return 1.6, false
	}
}

// Three groups whose expert demand shifts every two seconds serve enough streams on time. Guards
// against treating the passes of three groups as one, against all gateways admitting at once, and
// against using all slots while passes after each shift are too long.
func TestGroupsWithDemandShiftsMeetTargets(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := newGroupSim(smallGroups, seed, 3, 28, 298)
			s.skew = periodicShifts(2130 * time.Millisecond)
			s.run(4 * time.Second)
			s.resetCounts()
			s.run(30 * time.Second)
			t.Log(s)
			assert.Assert(t, s.worth() > 0.53, "%s", s)
		})
	}
}

// Callers that use some of the gateways only are served about as well as callers that use all of
// them. Guards against shares of the slots and of the admission rate being left with idle
// gateways.
func TestUnevenCallersAreServedAsWell(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			play := func(withCallers int) *groupSim {
				s := newGroupSim(largeGroup, seed, 1, 147, 470)
				s.limitCallersTo(withCallers)
				s.skew = func(int, time.Duration) (float64, bool) { return 1.6, false }
				s.run(4 * time.Second)
				s.resetCounts()
				s.run(12 * time.Second)
				return s
			}
			all, few := play(147), play(64)
			t.Logf("all gateways: %s", all)
			t.Logf("64 gateways: %s", few)
			assert.Assert(t, few.worth() > all.worth()-0.03, "all gateways: %s; 64 of 147: %s", all, few)
		})
	}
}
