package consensus

import (
	"math"
	"time"
)

const (
	// patienceFactor is how many of the longest gaps lately a follower waits for.
	gapMultiplier = 2
	// mostPatience bounds what a follower waits beyond the election timeout, in election
	// timeouts: a leader that is lost while all replicas are late is replaced within a few
	// of these.
	maxExtraTimeouts = 2
	// patienceMemory is how long the longest gap counts: after it a third is left.
	gapDecayTime = 10 * time.Second
)

// patience says how much longer than the election timeout a follower waits for its leader,
// by the gaps that it has seen between the leader's appends.
//
// On a host with little processor time a leader that works, or the follower itself, is late
// by some tenths of a second now and then. Without it each such gap costs an election, and
// the next leader begins anew what the former one did, and is late for that: groups with
// such leaders had an election each 1.5 s. Waiting longer is always safe: no vote is granted
// sooner, and leases don't change. Where appends come in time nothing is added, so that a
// lost leader is replaced as soon as ever.
type gapTracker struct {
	leader     string
	lastAppend Time
	longestGap time.Duration
}

// heard notes an append of a leader. Gaps between two leaders are none of theirs.
func (p *gapTracker) recordAppend(now Time, leader string) {
	gap := now - p.lastAppend
	if leader != p.leader {
		gap = 0
	}
	decay := math.Exp(-float64(now-p.lastAppend) / float64(gapDecayTime))
	p.leader, p.lastAppend = leader, now
	p.longestGap = max(time.Duration(decay*float64(p.longestGap)), gap)
}

// extra is the time beyond an election timeout.
func (p *gapTracker) extraTimeout(electionTimeout time.Duration) time.Duration {
	return min(max(gapMultiplier*p.longestGap-electionTimeout, 0), maxExtraTimeouts*electionTimeout)
}
