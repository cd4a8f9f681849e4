package gateway

import "time"

const (
	// throttleFromRatio and saturatedRatio are ratios of the expected next pass to the target
	// gap. New requests are slowed down from throttleFromRatio on, and none is admitted from
	// saturatedRatio on.
	throttleFromRatio = 0.75
	saturatedRatio    = 0.95
	// A pass in progress counts as too long once it has taken overdueRatio of the target gap and
	// passGrowthFactor times as long as the pass before it.
	overdueRatio     = 0.62
	passGrowthFactor = 1.25
	// maxThrottleTime bounds how long a saturated group is throttled. Expert replicas are copied
	// within 0.4 to 0.6 s after a demand shift, so passes that are still long have another cause,
	// which fewer requests don't remove.
	maxThrottleTime = 700 * time.Millisecond
	// passStaleness is the age from which the last pass says nothing about the next one.
	passStaleness = 300 * time.Millisecond
)

// passThrottle reduces the rate at which requests are admitted to a group while its passes are
// long.
//
// It guards against shifts of expert demand. Until the experts in demand have been replicated,
// passes on the busiest rank grow, and one that exceeds the target gap makes every running stream
// late. Reading the prompts of new requests lengthens them further; a request that is held back
// risks only its own first event.
type passThrottle struct {
	// lastPass is the duration of the latest pass, prevPass that of the one before.
	lastPass, prevPass time.Duration
	// targetGap is the longest gap between events that the route allows; 0 if unknown.
	targetGap time.Duration
	// lastPassAt is when the latest pass ended.
	lastPassAt time.Time
	// saturatedSince is when the expected pass reached saturatedRatio; zero while it is below.
	saturatedSince time.Time
}

// observeGap records the gap between two events of a stream, and the target gap of its route. All
// streams of a group get an event at the end of each pass. A stream that moved between upstreams
// has a longer gap, so the shortest gap seen is taken as the duration of the pass.
//
// It returns whether the gap belongs to a new pass.
func (t *passThrottle) observeGap(now time.Time, gap, targetGap time.Duration) (newPass bool) {
	if targetGap <= 0 {
		return false
	}
	if now.Sub(t.lastPassAt) < gap/2 {
		t.lastPass = min(t.lastPass, gap)
	} else {
		t.prevPass, t.lastPass, t.lastPassAt, t.targetGap = t.lastPass, gap, now, targetGap
		newPass = true
	}
	switch saturated := t.nextPassRatio() >= saturatedRatio; {
	case !saturated:
		t.saturatedSince = time.Time{}
	case t.saturatedSince.IsZero():
		t.saturatedSince = now
	}
	return newPass
}

// nextPassRatio returns the expected duration of the next pass as a fraction of the target gap.
// Growth beyond passGrowthFactor between the last two passes is expected to continue.
func (t *passThrottle) nextPassRatio() float64 {
	next := t.lastPass
	if t.prevPass > 0 && float64(t.lastPass) > passGrowthFactor*float64(t.prevPass) {
		next += t.lastPass - t.prevPass
	}
	return float64(next) / float64(t.targetGap)
}

// admitFraction returns the fraction of the usual admission rate that the group can take now,
// from 0 to 1.
func (t *passThrottle) admitFraction(now time.Time) float64 {
	if t.targetGap == 0 || !t.saturatedSince.IsZero() && now.Sub(t.saturatedSince) > maxThrottleTime {
		return 1
	}
	switch elapsed := now.Sub(t.lastPassAt); {
	case elapsed > passStaleness:
		// None of this gateway's streams is running, or the group has stalled.
		return 1
	case float64(elapsed) > max(overdueRatio*float64(t.targetGap), passGrowthFactor*float64(t.lastPass)):
		return 0
	}
	return min(max((saturatedRatio-t.nextPassRatio())/(saturatedRatio-throttleFromRatio), 0), 1)
}
