package overload

import "time"

const (
	// headroomWindow is how long a pass is remembered: about twice the usual time between two
	// shifts of expert demand.
	headroomWindow  = 8 * time.Second
	headroomBuckets = 16
	bucketWidth     = headroomWindow / headroomBuckets
	// minObservedFill is the fill of a group from which a pass is extrapolated. The part that
	// grows with the running requests is small below it, and an error in it large.
	minObservedFill = 0.3
	// maxPassRatio is the longest pass to plan for, as a fraction of the target gap. The rest is
	// for the network path to the caller.
	maxPassRatio = 0.97
	// maxObservedRatio is the longest pass to learn from, as a fraction of the target gap. Longer
	// ones come from a paused group or a slow rank: a group that leaves headroom hardly has others,
	// and one pause would keep slots free for the whole window.
	maxObservedRatio = 1.1
	// minFill is the least fill that a group is limited to.
	minFill = 0.5
	// fullHeadroomFraction is the fraction of more urgent requests from which all of the headroom
	// is left free. Where nearly all requests have the same rank they have no one to leave it to,
	// and would be refused for nothing.
	fullHeadroomFraction = 0.3
)

// FillFor returns how far requests may fill a group of which most may be filled at all, if full is
// the fill that leaves all of the headroom free and urgentFraction the fraction of more urgent
// requests.
func FillFor(full, most, urgentFraction float64) float64 {
	left := min(urgentFraction/fullHeadroomFraction, 1)
	return most - left*max(most-full, 0)
}

// Headroom tells how full a group may be so that its passes stay within the target gap after the
// next shift of expert demand.
//
// It guards against filling a group to where its usual passes are just in time: one longer pass
// after a shift then makes every running stream late at once. A pass has a fixed part and a part
// that grows with the running requests, so a shift at low load tells how long the same shift makes
// passes at high load.
type Headroom struct {
	// steepest holds for each bucket the largest growth of a pass over its fixed part, per unit of
	// fill; the newest last.
	steepest [headroomBuckets]time.Duration
	// newestStart is when the newest bucket began; zero before the first pass.
	newestStart time.Time
}

// Observe records a pass: its duration, the target gap, the fixed part that doesn't depend on the
// running requests, and the fraction of the slots in use.
func (h *Headroom) Observe(now time.Time, pass, targetGap, fixed time.Duration, fill float64) {
	h.advance(now)
	if fill < minObservedFill || pass <= fixed || float64(pass) > maxObservedRatio*float64(targetGap) {
		return
	}
	growth := time.Duration(float64(pass-fixed) / fill)
	newest := &h.steepest[headroomBuckets-1]
	*newest = max(*newest, growth)
}

// Fill returns the largest fraction of the slots at which the worst remembered pass would stay
// within the target gap; 1 if none is remembered.
func (h *Headroom) Fill(now time.Time, targetGap, fixed time.Duration) float64 {
	h.advance(now)
	worst := time.Duration(0)
	for _, growth := range h.steepest {
		worst = max(worst, growth)
	}
	longest := time.Duration(maxPassRatio * float64(targetGap))
	if worst == 0 || longest <= fixed {
		return 1
	}
	return min(max(float64(longest-fixed)/float64(worst), minFill), 1)
}

// advance drops buckets that are older than the window.
func (h *Headroom) advance(now time.Time) {
	if h.newestStart.IsZero() || now.Sub(h.newestStart) >= headroomWindow {
		*h = Headroom{newestStart: now}
	}
	for now.Sub(h.newestStart) >= bucketWidth {
		copy(h.steepest[:], h.steepest[1:])
		h.steepest[headroomBuckets-1] = 0
		h.newestStart = h.newestStart.Add(bucketWidth)
	}
}
