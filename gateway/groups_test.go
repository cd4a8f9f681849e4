package gateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// shiftsEach is a group for which other experts come into demand once in a period, as the leader of three groups of 24
// ranks told it: a skew of 3.4 that is seen after a quarter of a second, and three switches that bring it to 1.6.
func shiftsEach(period time.Duration) func(int, time.Duration) (float64, bool) {
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

// What callers see: four of five streams are late by one pause of 121 to 145 ms, of 120 that they are content with; few are refused.
// What happens: other experts come into demand each two seconds, and until copies are made the passes of all three groups of
// a service take as long as that, with the requests that their slots allow; each stream lives through one such second.
// Why: entries took the passes of three groups for those of one, each read prompts for a part of a slot at once, and fewer slots
// were used only if passes were long most of the time. A fifth to two fifths of them were; the lines showed all slots in use.
// Bound: the mark of a full score on the day whose load this is, a worth of 0.53 of all that is wanted.
func TestGroupsWhoseDemandShiftsServeInTime(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := newGroupSim(smallGroups, seed, 3, 28, 298)
			s.skew = shiftsEach(2130 * time.Millisecond)
			s.run(4 * time.Second)
			s.forget()
			s.run(30 * time.Second)
			t.Log(s)
			assert.Assert(t, s.worth() > 0.53, "%s", s)
		})
	}
}

// What callers see: their streams wait at entries for 0.9 s and are late, and some are refused, while a third of the slots is free.
// What happens: two of five entries have callers; the others have none. Passes are short enough, and no entry is at its limit.
// Why: each entry kept to the pace of an even part of the slots, so that three fifths of the pace at which the groups can take
// requests stayed with entries that had none.
// Bound: callers are served as well as if they came to all entries, but for 0.03.
func TestCallersAtFewEntriesAreServedAsWell(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			play := func(withCallers int) *groupSim {
				s := newGroupSim(largeGroup, seed, 1, 147, 470)
				s.onlyAt(withCallers)
				s.skew = func(int, time.Duration) (float64, bool) { return 1.6, false }
				s.run(4 * time.Second)
				s.forget()
				s.run(12 * time.Second)
				return s
			}
			all, few := play(147), play(64)
			t.Logf("at all: %s", all)
			t.Logf("at 64: %s", few)
			assert.Assert(t, few.worth() > all.worth()-0.03, "at all entries: %s; at 64 of 147: %s", all, few)
		})
	}
}
