package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	reliefContent = 120 * time.Millisecond
	reliefFixed   = 45 * time.Millisecond
)

// reliefRun is a group whose passes take longer the more requests run, with callers for all
// of its slots.
func reliefRun(d time.Duration, passOf func(part float64, at time.Duration) time.Duration) (r relief, long, passes int) {
	for t := time.Duration(0); t < d; {
		part := min(r.part(start.Add(t)), fillPart)
		pass := passOf(part, t)
		t += pass
		r.passed(start.Add(t), pass, reliefContent, reliefFixed, part)
		if t > d/2 {
			passes++
			if pass > reliefContent {
				long++
			}
		}
	}
	return r, long, passes
}

// shiftedPass is a pass of a group for which other experts come into demand once in a period: until they are
// copied the part of it that grows with the requests takes twice as long.
func shiftedPass(period time.Duration) func(float64, time.Duration) time.Duration {
	return func(part float64, at time.Duration) time.Duration {
		each := 45.0
		if at%period < 400*time.Millisecond {
			each = 100
		}
		return reliefFixed + time.Duration(each*part*float64(time.Millisecond))
	}
}

// The load: twice the callers that a group can serve, for half a minute. With all slots in use
// each pass takes 135 ms of 120 that callers are content with, and every stream is late. The
// entries use fewer slots until passes are in time, and not fewer than that needs.
func TestFewerRequestsRunWhilePassesAreLong(t *testing.T) {
	r, long, passes := reliefRun(30*time.Second, func(part float64, _ time.Duration) time.Duration {
		return time.Duration(45+90*part) * time.Millisecond
	})
	assert.Assert(t, long*5 < passes, "%d of %d passes are long", long, passes)
	part := r.part(start.Add(30 * time.Second))
	assert.Assert(t, part > 0.7, "%f", part)
}

// The load: other experts come into demand each two seconds, for half a minute, and make four passes of 145 ms with all slots in use.
// Each stream lives through them, and one is enough to be late, though the passes in between take 90. As many requests run as the
// passes after a shift bear, and not fewer.
func TestFewerRequestsRunWhereEachStreamMeetsAShift(t *testing.T) {
	r, long, passes := reliefRun(30*time.Second, shiftedPass(2*time.Second))
	assert.Assert(t, long*50 < passes, "%d of %d passes are long", long, passes)
	part := r.part(start.Add(30 * time.Second))
	assert.Assert(t, part > 0.7 && part < 0.8, "%f", part)
}

// Where shifts are rare, most streams meet none. Those that were refused between two of them would be so for nothing.
func TestRareShiftsCutNothing(t *testing.T) {
	for _, period := range []time.Duration{5 * time.Second, 6500 * time.Millisecond, 9 * time.Second} {
		cut, looks := 0, 0
		_, _, _ = reliefRun(60*time.Second, func(part float64, at time.Duration) time.Duration {
			looks++
			if part < fillPart {
				cut++
			}
			return shiftedPass(period)(part, at)
		})
		assert.Equal(t, cut, 0, "of %d, each %v", looks, period)
	}
}

// The load: other experts come into demand each five seconds; a stream runs for under two. Two shifts are remembered for some of
// the time: slots were closed then, by what the milder one bore, and open again when the next one came. Callers were refused, and as
// many were late as if all slots were in use all the time.
func TestSlotsAreNotClosedInVainBetweenShifts(t *testing.T) {
	for seed := range uint64(3) {
		s := newGroupSim(smallGroups, seed, 3, 28, 298)
		s.skew = shiftsEach(5 * time.Second)
		s.run(8 * time.Second)
		s.forget()
		s.run(25 * time.Second)
		t.Log(s)
		assert.Assert(t, s.refused*100 <= s.came, "%s", s)
	}
}

// A group that is held for a switch, a rank that stands still or that takes ten times as long make pauses that fewer requests don't
// shorten. Nor do short passes, or those of a group that is nearly empty, tell how many it bears.
func TestHoldsSlowRanksAndShortPassesCutNothing(t *testing.T) {
	for _, c := range []struct {
		pass time.Duration
		used float64
	}{{400 * time.Millisecond, 0.9}, {250 * time.Millisecond, 0.9}, {100 * time.Millisecond, 0.9}, {130 * time.Millisecond, 0.4}, {40 * time.Millisecond, 0.9}} {
		r := relief{}
		now := start
		for range 60 {
			now = now.Add(c.pass)
			r.passed(now, c.pass, reliefContent, reliefFixed, c.used)
		}
		assert.Equal(t, r.part(now), 1.0, "%v at %f", c.pass, c.used)
	}
}

// The crowd is gone: as soon as no pass of it is remembered, all slots are used again.
func TestSlotsAreUsedAgainAfterACrowd(t *testing.T) {
	r := relief{}
	now := start
	for now.Before(start.Add(10 * time.Second)) {
		now = now.Add(140 * time.Millisecond)
		r.passed(now, 140*time.Millisecond, reliefContent, reliefFixed, 0.9)
	}
	assert.Assert(t, r.part(now) < 0.75)
	assert.Equal(t, r.part(now.Add(reliefMemory)), 1.0)
}

// Whatever passes come, the part stays between the least and one, and what is told in no order of time does no harm.
func TestPartStaysWithinItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := relief{}
		for range rapid.IntRange(0, 200).Draw(t, "passes") {
			now := start.Add(time.Duration(rapid.IntRange(-5000, 30000).Draw(t, "at")) * time.Millisecond)
			pass := time.Duration(rapid.IntRange(0, 500).Draw(t, "pass")) * time.Millisecond
			content := time.Duration(rapid.IntRange(0, 200).Draw(t, "content")) * time.Millisecond
			r.passed(now, pass, content, time.Duration(rapid.IntRange(0, 200).Draw(t, "fixed"))*time.Millisecond, rapid.Float64Range(0, 1.5).Draw(t, "used"))
			if part := r.part(now); part < leastRelief || part > 1 {
				t.Fatalf("part %f", part)
			}
		}
	})
}
