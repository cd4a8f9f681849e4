package control

import (
	"fmt"
	"slices"
	"strings"

	"github.com/snipereach/snipereach/wire"
)

// member is what a leader knows of one peer when it looks after the membership.
type member struct {
	*wire.Peer
	live     bool
	caughtUp bool
}

// NameOf returns the name of the replica with an ID: NAME/INCARNATION.
func NameOf(id string) string {
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
//  2. While there are fewer live voters than wanted, the learner is promoted whose
//     failure domain has the fewest voters, if no failure domain would then
//     hold a majority that another choice avoids. So a host that is gone for good
//     is made up for by one of another name.
//  3. While there are more voters than wanted, a dead one is removed.
//
// A host that is only cut off can't be told from one that is gone. The harm of a
// wrong guess is small: one change at a time, the newcomer holds everything
// before it counts, and the one that comes back joins again as a learner.
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
	voters, live := 0, 0
	domains := map[string]int{}
	for _, m := range members {
		if m.Learner {
			continue
		}
		voters++
		if m.live {
			live++
			domains[m.FailureDomain]++
		}
	}
	if live >= target || voters > target {
		return removeDead(members, voters, target)
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

// removeDead removes a dead voter where there are more than wanted.
func removeDead(members []member, voters, target int) step {
	if voters <= target {
		return step{}
	}
	for _, m := range members {
		if !m.Learner && !m.live {
			return step{remove: m.Id}
		}
	}
	return step{}
}

// replaceStep chooses the next step of replacing a lost replica on an operator's
// order, or says why the order is refused. The heir is the replica that took the
// lost one's name, else a learner that has caught up, one in the lost one's
// failure domain first. It votes before the lost one is removed: the number of
// voters that hold everything never falls.
func replaceStep(members []member, old string, target int) (step, string) {
	i := slices.IndexFunc(members, func(m member) bool { return m.Id == old })
	if i < 0 {
		return step{}, fmt.Sprintf("%q is no member; IDs are NAME/INCARNATION as members shows them", old)
	}
	lost := members[i]
	if lost.live {
		return step{}, old + " is live, or was within replace_after: stop it first"
	}
	if lost.Learner || otherVoters(members, old) >= target {
		return step{remove: old}, ""
	}
	heir := heirOf(members, lost)
	if heir == nil {
		heir = spareFor(members, lost)
	}
	switch {
	case heir == nil:
		return step{}, "no replica that could take its place has caught up: start one on an empty data folder and wait until it has"
	case heir.Learner:
		return step{promote: heir.Id}, ""
	}
	return step{remove: old}, ""
}

// otherVoters counts the voters besides one that are live and have caught up.
func otherVoters(members []member, id string) int {
	n := 0
	for _, m := range members {
		if m.Id != id && !m.Learner && m.live && m.caughtUp {
			n++
		}
	}
	return n
}

// spareFor returns the learner that is to vote in a lost voter's place.
func spareFor(members []member, lost member) *member {
	var best *member
	for i, m := range members {
		if !m.Learner || !m.live || !m.caughtUp {
			continue
		}
		if best == nil || m.FailureDomain == lost.FailureDomain && best.FailureDomain != lost.FailureDomain {
			best = &members[i]
		}
	}
	return best
}

// heirOf returns the live, caught-up replica that has taken a dead one's name.
func heirOf(members []member, dead member) *member {
	if dead.live {
		return nil
	}
	for i, m := range members {
		if m.Id != dead.Id && NameOf(m.Id) == NameOf(dead.Id) && m.live && m.caughtUp {
			return &members[i]
		}
	}
	return nil
}
