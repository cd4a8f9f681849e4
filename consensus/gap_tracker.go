package consensus

import (
	"math"
	"time"
)

const (
	// gapMultiplier times the longest recent gap is the minimum time that a follower
	// waits, within maxExtraTimeouts.
	gapMultiplier = 2
	// maxExtraTimeouts bounds the extension, in election timeouts, so that a lost leader
	// is replaced within a few of them even while all replicas are slow.
	maxExtraTimeouts = 2
	// gapDecayTime is the time constant of the exponential decay of the longest gap.
	gapDecayTime = 10 * time.Second
)

// gapTracker extends a follower's election timeout according to the gaps between its
// leader's appends.
//
// On a host short of CPU time, the appends of a live leader, or the follower itself, can
// be late by a large part of the election timeout; without the extension each such gap
// would cause an election. The extension is safe, as votes are granted no earlier and
// leases don't depend on it. While appends are on time nothing is added.
type gapTracker struct {
	leader     string
	lastAppend Time
	longestGap time.Duration
}

// recordAppend records the arrival of an append. The gap between the appends of two
// leaders doesn't count.
func (g *gapTracker) recordAppend(now Time, leader string) {
	gap := now - g.lastAppend
	if leader != g.leader {
		gap = 0
	}
	decay := math.Exp(-float64(now-g.lastAppend) / float64(gapDecayTime))
	g.leader, g.lastAppend = leader, now
	g.longestGap = max(time.Duration(decay*float64(g.longestGap)), gap)
}

// extraTimeout returns the time to wait in addition to an election timeout.
func (g *gapTracker) extraTimeout(electionTimeout time.Duration) time.Duration {
	return min(max(gapMultiplier*g.longestGap-electionTimeout, 0), maxExtraTimeouts*electionTimeout)
}
