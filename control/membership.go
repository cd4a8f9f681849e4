package control

import (
	"strings"

	"github.com/snipereach/snipereach/wire"
)

// member is what a leader knows of one peer when it looks after the membership.
type member struct {
	*wire.Peer
	live     bool
	caughtUp bool
}

func peerName(id string) string {
	name, _, _ := strings.Cut(id, "/")
	return name
}

// step is one membership change.
type step struct {
	promote, remove string
}

// nextStep chooses the next membership change, or none:
//
//  1. A dead replica whose name a live, caught-up one has taken gives way to it:
//     the newcomer is promoted first, so that the number of voters that hold
//     everything never falls, and then the dead one is removed.
//  2. While there are fewer voters than wanted, the learner is promoted whose
//     failure domain has the fewest voters, if no failure domain would then
//     hold a majority that another choice avoids.
func nextStep(members []member, target int) step {
	for _, dead := range members {
		heir := heirOf(members, dead)
		if heir == nil {
			continue
		}
		if dead.Learner || !heir.Learner {
			return step{remove: dead.Id}
		}
		return step{promote: heir.Id}
	}
	voters := 0
	domains := map[string]int{}
	for _, m := range members {
		if !m.Learner {
			voters++
			domains[m.FailureDomain]++
		}
	}
	if voters >= target {
		return step{}
	}
	var best *member
	for i, m := range members {
		if !m.Learner || !m.live || !m.caughtUp {
			continue
		}
		if best == nil || domains[m.FailureDomain] < domains[best.FailureDomain] {
			best = &members[i]
		}
	}
	if best == nil {
		return step{}
	}
	return step{promote: best.Id}
}

// heirOf returns the live, caught-up replica that has taken a dead one's name.
func heirOf(members []member, dead member) *member {
	if dead.live {
		return nil
	}
	for i, m := range members {
		if m.Id != dead.Id && peerName(m.Id) == peerName(dead.Id) && m.live && m.caughtUp {
			return &members[i]
		}
	}
	return nil
}
