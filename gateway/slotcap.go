package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/snipereach/snipereach/wire"
)

const (
	// maxPassRatio is the longest acceptable pass as a fraction of the target gap. The rest is
	// for the network path to the caller.
	maxPassRatio = 0.97
	// minSampleRatio is the shortest pass, as a fraction of the target gap, from which a slot
	// fraction is computed. Extrapolating from shorter passes is too inaccurate.
	minSampleRatio = 0.85
	// capWindow is how long a pass is remembered: four times the usual duration of a stream.
	capWindow = 8 * time.Second
	// minSlotFraction is the lowest fraction of slots to use. Below it the duration of a pass
	// hardly depends on the number of running requests.
	minSlotFraction = 0.5
	// maxSampleRatio is the longest pass, as a fraction of the target gap, that the running
	// requests alone can cause. A longer one comes from a paused group, a slow rank or a stream
	// that moved, and fewer requests don't shorten it.
	maxSampleRatio = 1.5
	// capBuckets is the number of buckets in the window; each keeps the lowest fraction seen in
	// it.
	capBuckets     = 16
	capBucketWidth = capWindow / capBuckets
	// streamBuckets is the usual duration of a stream, in buckets.
	streamBuckets = capBuckets / 4
	// frequentShiftBuckets is the longest time between the starts of two demand shifts, in
	// buckets, at which the slot fraction is lowered: twice the duration of a stream, plus one
	// bucket because the first long pass comes at a varying time after a shift.
	frequentShiftBuckets = 2*streamBuckets + 1
)

// slotCap limits the fraction of a group's slots in use, so that its longest passes stay within
// the target gap.
//
// It guards against frequent shifts of expert demand on a fully used group. One long pass after a
// shift makes every running stream late, even if the passes between two shifts are short. A pass
// has a fixed part and a part proportional to the running requests, so each long pass tells how
// many requests would have been in time.
type slotCap struct {
	// minFraction holds for each bucket the lowest of 1 and the slot fractions at which its
	// passes would have been in time, the newest last.
	minFraction [capBuckets]float64
	// newestStart is when the newest bucket began; zero before the first pass.
	newestStart time.Time
}

// observePass records a pass: its duration, the target gap, the fixed part that doesn't depend on
// the running requests, and the fraction of the slots that were in use.
func (c *slotCap) observePass(now time.Time, pass, targetGap, fixed time.Duration, used float64) {
	c.advance(now)
	bound := time.Duration(maxPassRatio * float64(targetGap))
	near := float64(pass) > minSampleRatio*float64(targetGap) && float64(pass) < maxSampleRatio*float64(targetGap)
	if !near || pass <= fixed || bound <= fixed || used < minSlotFraction {
		return
	}
	part := used * float64(bound-fixed) / float64(pass-fixed)
	c.minFraction[capBuckets-1] = min(c.minFraction[capBuckets-1], max(part, minSlotFraction))
}

// advance drops buckets that are older than the window. It starts anew if more than a whole
// window has passed.
func (c *slotCap) advance(now time.Time) {
	if c.newestStart.IsZero() || now.Sub(c.newestStart) >= capWindow {
		for i := range c.minFraction {
			c.minFraction[i] = 1
		}
		c.newestStart = now
	}
	for now.Sub(c.newestStart) >= capBucketWidth {
		copy(c.minFraction[:], c.minFraction[1:])
		c.minFraction[capBuckets-1] = 1
		c.newestStart = c.newestStart.Add(capBucketWidth)
	}
}

// demandShift is a remembered shift of expert demand: the slot fraction at which its longest
// passes would have been in time, and its first and last bucket.
type demandShift struct {
	fraction    float64
	first, last int
}

// fraction returns the fraction of the slots to use. All slots are used unless shifts are
// frequent: requests refused after a single shift, or after two that are far apart, would be
// refused for nothing. With two shifts in the window the fraction of the milder one applies, with
// three or more that of the worst.
func (c *slotCap) fraction(now time.Time) float64 {
	c.advance(now)
	shifts := c.shifts()
	switch n := len(shifts); {
	case !frequent(shifts):
		return 1
	case n == 2:
		return max(shifts[0].fraction, shifts[1].fraction)
	default:
		return slices.MinFunc(shifts, func(a, b demandShift) int { return cmp.Compare(a.fraction, b.fraction) }).fraction
	}
}

// shifts returns the remembered demand shifts, the oldest first. Adjacent buckets with long
// passes belong to one shift, unless it would become longer than a stream.
func (c *slotCap) shifts() (list []demandShift) {
	for i, v := range c.minFraction {
		if v >= 1 {
			continue
		}
		if n := len(list); n > 0 && list[n-1].last == i-1 && i-list[n-1].first < streamBuckets {
			list[n-1].last = i
			list[n-1].fraction = min(list[n-1].fraction, v)
			continue
		}
		list = append(list, demandShift{fraction: v, first: i, last: i})
	}
	return list
}

// frequent reports whether the last two of shifts, ordered from the oldest, are close together
// and the last one is recent, so that several will be remembered when the next one comes.
func frequent(shifts []demandShift) bool {
	n := len(shifts)
	return n > 1 && shifts[n-1].first-shifts[n-2].first <= frequentShiftBuckets && capBuckets-1-shifts[n-1].first <= frequentShiftBuckets
}

// fixedPassTime returns the part of a pass that doesn't depend on the running requests; 0 if the
// engine profile is unknown.
func fixedPassTime(e *wire.EngineProfile) time.Duration {
	return time.Duration(float64(e.GetStride()) * e.GetStepMs() * float64(time.Millisecond))
}
