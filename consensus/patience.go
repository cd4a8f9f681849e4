package consensus

import (
	"math"
	"time"
)

const (
	// patienceFactor is how many of the longest gaps lately a follower waits for.
	patienceFactor = 2
	// mostPatience bounds what a follower waits beyond the election timeout, in election
	// timeouts: a leader that is lost while all replicas are late is replaced within a few
	// of these.
	mostPatience = 2
	// patienceMemory is how long the longest gap counts: after it a third is left.
	patienceMemory = 10 * time.Second
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
type patience struct {
	leader  string
	at      Time
	longest time.Duration
}

// heard notes an append of a leader. Gaps between two leaders are none of theirs.
func (p *patience) heard(now Time, leader string) {
	gap := now - p.at
	if leader != p.leader {
		gap = 0
	}
	left := math.Exp(-float64(now-p.at) / float64(patienceMemory))
	p.leader, p.at = leader, now
	p.longest = max(time.Duration(left*float64(p.longest)), gap)
}

// extra is the time beyond an election timeout.
func (p *patience) extra(timeout time.Duration) time.Duration {
	return min(max(patienceFactor*p.longest-timeout, 0), mostPatience*timeout)
}
