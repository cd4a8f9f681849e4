package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	capTestGap       = 120 * time.Millisecond
	capTestFixedPass = 45 * time.Millisecond
)

// runSlotCap simulates a fully used group whose passes depend on the fraction of slots in use. It
// returns the number of long passes and of all passes in the second half.
func runSlotCap(d time.Duration, passOf func(part float64, at time.Duration) time.Duration) (r slotCap, long, passes int) {
	for t := time.Duration(0); t < d; {
		part := min(r.fraction(start.Add(t)), maxFill)
		pass := passOf(part, t)
		t += pass
		r.observePass(start.Add(t), pass, capTestGap, capTestFixedPass, part)
		if t > d/2 {
			passes++
			if pass > capTestGap {
				long++
			}
		}
	}
	return r, long, passes
}

// shiftedPass returns the duration of a pass of a group whose expert demand shifts once per
// period. Until experts are replicated, the part that grows with the requests takes twice as
// long.
func shiftedPass(period time.Duration) func(float64, time.Duration) time.Duration {
	return func(part float64, at time.Duration) time.Duration {
		each := 45.0
		if at%period < 400*time.Millisecond {
			each = 100
		}
		return capTestFixedPass + time.Duration(each*part*float64(time.Millisecond))
	}
}

// Under a constant overload with long passes fewer slots are used, until passes meet the target
// gap, and not fewer than that needs.
func TestSlotCapUnderOverload(t *testing.T) {
	r, long, passes := runSlotCap(30*time.Second, func(part float64, _ time.Duration) time.Duration {
		return time.Duration(45+90*part) * time.Millisecond
	})
	assert.Assert(t, long*5 < passes, "%d of %d passes are long", long, passes)
	part := r.fraction(start.Add(30 * time.Second))
	assert.Assert(t, part > 0.7, "%f", part)
}

// With a shift of demand during each stream, the slots in use are reduced so far that also the
// passes after a shift meet the target gap, and not further.
func TestSlotCapUnderFrequentShifts(t *testing.T) {
	r, long, passes := runSlotCap(30*time.Second, shiftedPass(2*time.Second))
	assert.Assert(t, long*50 < passes, "%d of %d passes are long", long, passes)
	part := r.fraction(start.Add(30 * time.Second))
	assert.Assert(t, part > 0.7 && part < 0.8, "%f", part)
}

// Rare shifts don't reduce the slots in use, as most streams meet none.
func TestRareShiftsDontLowerSlotCap(t *testing.T) {
	for _, period := range []time.Duration{5 * time.Second, 6500 * time.Millisecond, 9 * time.Second} {
		cut, looks := 0, 0
		_, _, _ = runSlotCap(60*time.Second, func(part float64, at time.Duration) time.Duration {
			looks++
			if part < maxFill {
				cut++
			}
			return shiftedPass(period)(part, at)
		})
		assert.Equal(t, cut, 0, "of %d, each %v", looks, period)
	}
}

// With shifts every five seconds hardly any request is refused: slots that are closed between two
// shifts would be open again at the next one.
func TestRareShiftsCauseNoRefusals(t *testing.T) {
	for seed := range uint64(3) {
		s := newGroupSim(smallGroups, seed, 3, 28, 298)
		s.skew = periodicShifts(5 * time.Second)
		s.run(8 * time.Second)
		s.resetCounts()
		s.run(25 * time.Second)
		t.Log(s)
		assert.Assert(t, s.all().refused*100 <= s.arrived, "%s", s)
	}
}

// Passes that are too long to be caused by the running requests, short passes, and passes of a
// nearly empty group don't reduce the slots in use.
func TestUnrelatedPassesDontLowerSlotCap(t *testing.T) {
	for _, c := range []struct {
		pass time.Duration
		used float64
	}{{400 * time.Millisecond, 0.9}, {250 * time.Millisecond, 0.9}, {100 * time.Millisecond, 0.9}, {130 * time.Millisecond, 0.4}, {40 * time.Millisecond, 0.9}} {
		r := slotCap{}
		now := start
		for range 60 {
			now = now.Add(c.pass)
			r.observePass(now, c.pass, capTestGap, capTestFixedPass, c.used)
		}
		assert.Equal(t, r.fraction(now), 1.0, "%v at %f", c.pass, c.used)
	}
}

// All slots are used again when the last long pass has left the window.
func TestSlotCapRecovers(t *testing.T) {
	r := slotCap{}
	now := start
	for now.Before(start.Add(10 * time.Second)) {
		now = now.Add(140 * time.Millisecond)
		r.observePass(now, 140*time.Millisecond, capTestGap, capTestFixedPass, 0.9)
	}
	assert.Assert(t, r.fraction(now) < 0.75)
	assert.Equal(t, r.fraction(now.Add(capWindow)), 1.0)
}

// The fraction stays between minSlotFraction and 1 for any passes, also if times go backwards.
func TestSlotCapBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := slotCap{}
		for range rapid.IntRange(0, 200).Draw(t, "passes") {
			now := start.Add(time.Duration(rapid.IntRange(-5000, 30000).Draw(t, "at")) * time.Millisecond)
			pass := time.Duration(rapid.IntRange(0, 500).Draw(t, "pass")) * time.Millisecond
			content := time.Duration(rapid.IntRange(0, 200).Draw(t, "content")) * time.Millisecond
			r.observePass(now, pass, content, time.Duration(rapid.IntRange(0, 200).Draw(t, "fixed"))*time.Millisecond, rapid.Float64Range(0, 1.5).Draw(t, "used"))
			if part := r.fraction(now); part < minSlotFraction || part > 1 {
				t.Fatalf("part %f", part)
			}
		}
	})
}
