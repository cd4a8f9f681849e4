package overload_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/snipereach/snipereach/overload"
)

const (
	testGap   = 120 * time.Millisecond
	testFixed = 35 * time.Millisecond
	// networkPath is the time from a gateway to a caller.
	networkPath = 3 * time.Millisecond
)

// passAt returns the duration of a pass with a fixed part and a part that grows with the fill.
func passAt(fill float64, growth time.Duration) time.Duration {
	return testFixed + time.Duration(fill*float64(growth))
}

// A shift that is in time at low fill tells at which fill it would be late. Guards against filling a
// group to where usual passes are just in time, so that the next shift makes all streams late.
func TestShiftAtLowFillBoundsHighFill(t *testing.T) {
	var h overload.Headroom
	assert.Equal(t, h.Fill(start, testGap, testFixed), 1.0, "no pass is known")
	h.Observe(start, passAt(0.9, 40*time.Millisecond), testGap, testFixed, 0.9)
	assert.Equal(t, h.Fill(start, testGap, testFixed), 1.0, "usual passes leave room for all slots")
	shift := 94 * time.Millisecond
	h.Observe(start, passAt(0.5, shift), testGap, testFixed, 0.5)
	fill := h.Fill(start, testGap, testFixed)
	assert.Assert(t, fill > 0.7 && fill < 0.9, "%f", fill)
	assert.Assert(t, passAt(fill, shift) <= testGap-networkPath, "%v at %f is late", passAt(fill, shift), fill)
	assert.Assert(t, passAt(fill, shift) >= testGap*93/100, "%v at %f leaves slots free for nothing", passAt(fill, shift), fill)
	h.Observe(start.Add(time.Second), passAt(0.9, 40*time.Millisecond), testGap, testFixed, 0.9)
	assert.Equal(t, h.Fill(start.Add(time.Second), testGap, testFixed), fill, "usual passes don't raise the bound")
}

// Passes that running requests didn't cause, and those of a nearly empty group, aren't extrapolated.
// Guards against half a group that stays empty after a pause of another cause.
func TestUnrelatedPassesAreIgnored(t *testing.T) {
	for name, c := range map[string]struct {
		pass time.Duration
		fill float64
	}{
		"paused group":           {400 * time.Millisecond, 0.9},
		"slow rank":              {181 * time.Millisecond, 0.9},
		"briefly paused group":   {140 * time.Millisecond, 0.5},
		"nearly empty group":     {110 * time.Millisecond, 0.2},
		"empty group":            {110 * time.Millisecond, 0},
		"shorter than the fixed": {30 * time.Millisecond, 0.9},
	} {
		var h overload.Headroom
		h.Observe(start, c.pass, testGap, testFixed, c.fill)
		assert.Equal(t, h.Fill(start, testGap, testFixed), 1.0, name)
	}
}

// A shift is remembered until the next one is due, and then forgotten. Guards against slots that stay
// free for shifts that no longer come.
func TestShiftIsForgotten(t *testing.T) {
	var h overload.Headroom
	h.Observe(start, passAt(0.5, 150*time.Millisecond), testGap, testFixed, 0.5)
	low := h.Fill(start, testGap, testFixed)
	assert.Assert(t, low < 0.7, "%f", low)
	for now := start; now.Before(start.Add(7 * time.Second)); now = now.Add(70 * time.Millisecond) {
		h.Observe(now, passAt(0.6, 40*time.Millisecond), testGap, testFixed, 0.6)
		assert.Equal(t, h.Fill(now, testGap, testFixed), low, "after %v", now.Sub(start))
	}
	assert.Equal(t, h.Fill(start.Add(8500*time.Millisecond), testGap, testFixed), 1.0)
}

// The fill never falls below half of the slots, whatever the passes.
func TestFillHasALowerBound(t *testing.T) {
	var h overload.Headroom
	h.Observe(start, 131*time.Millisecond, testGap, testFixed, 0.31)
	assert.Equal(t, h.Fill(start, testGap, testFixed), 0.5)
}

// For any passes, also if times go backwards, the fill is between its bounds, and a further pass at
// the same moment never raises it.
func TestFillBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h overload.Headroom
		ms := func(name string, low, high int) time.Duration {
			return time.Duration(rapid.IntRange(low, high).Draw(t, name)) * time.Millisecond
		}
		for range rapid.IntRange(1, 100).Draw(t, "passes") {
			now := start.Add(ms("at", -5000, 30000))
			gap, fixed := ms("gap", 0, 200), ms("fixed", 0, 200)
			before := h.Fill(now, gap, fixed)
			h.Observe(now, ms("pass", 0, 500), gap, fixed, rapid.Float64Range(0, 1.5).Draw(t, "fill"))
			after := h.Fill(now, gap, fixed)
			if after < 0.5 || after > 1 {
				t.Fatalf("fill %f", after)
			}
			if after > before {
				t.Fatalf("a pass raised the fill from %f to %f", before, after)
			}
		}
	})
}
