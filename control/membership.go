package control

import (
	"fmt"
	"slices"
	"strings"

	"github.com/snipereach/snipereach/wire"
)

// member is a peer as the leader sees it when it decides about membership changes.
type member struct {
	*wire.Peer
	live     bool
	caughtUp bool
}

// ReplicaName returns the name part of a replica ID of the form NAME/INCARNATION.
func ReplicaName(id string) string {
	name, _, _ := strings.Cut(id, "/")
	return name
}

// membershipChange is one membership change.
type membershipChange struct {
	promote, remove string
}

// nextMembershipChange returns the next membership change, or the zero value if there is
// none:
//
//  1. A dead replica is replaced by a live, caught-up replica of the same name. The
//     replacement is promoted before the dead replica is removed, so that the number of
//     caught-up voters never decreases.
//  2. While there are fewer live voters than target, and no excess voters, the live,
//     caught-up learner is promoted whose failure domain has the fewest live voters. This
//     replaces a lost host by a host of another name.
//  3. While there are more voters than target, a dead one is removed.
//
// A partitioned host looks the same as a lost one. Replacing it by mistake is safe: there is
// one change at a time, a replacement is caught up before it votes, and the partitioned
// replica joins again as a learner when it returns.
func nextMembershipChange(members []member, target int) membershipChange {
	for _, dead := range members {
		heir := replacementOf(members, dead)
		if heir == nil {
			continue
		}
		if dead.Learner || !heir.Learner {
			return membershipChange{remove: dead.Id}
		}
		return membershipChange{promote: heir.Id}
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
		return removeExcessDeadVoter(members, voters, target)
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
		return membershipChange{}
	}
	return membershipChange{promote: best.Id}
}

// removeExcessDeadVoter removes a dead voter if there are more voters than target.
func removeExcessDeadVoter(members []member, voters, target int) membershipChange {
	if voters <= target {
		return membershipChange{}
	}
	for _, m := range members {
		if !m.Learner && !m.live {
			return membershipChange{remove: m.Id}
		}
	}
	return membershipChange{}
}

// nextReplacementChange returns the next membership change of an operator's request to
// replace the replica with ID old, or the reason for refusing the request. The replacement
// is a caught-up replica of the same name, or else a caught-up learner, preferably in the
// same failure domain. It is promoted before the lost replica is removed, so that the number
// of caught-up voters never decreases.
func nextReplacementChange(members []member, old string, target int) (membershipChange, string) {
	i := slices.IndexFunc(members, func(m member) bool { return m.Id == old })
	if i < 0 {
		return membershipChange{}, fmt.Sprintf("%q is no member; IDs are NAME/INCARNATION as members shows them", old)
	}
	lost := members[i]
	if lost.live {
		return membershipChange{}, old + " is live, or was within replace_after: stop it first"
	}
	if lost.Learner || healthyVotersExcept(members, old) >= target {
		return membershipChange{remove: old}, ""
	}
	heir := replacementOf(members, lost)
	if heir == nil {
		heir = bestLearnerFor(members, lost)
	}
	switch {
	case heir == nil:
		return membershipChange{}, "no replica that could take its place has caught up: start one on an empty data folder and wait until it has"
	case heir.Learner:
		return membershipChange{promote: heir.Id}, ""
	}
	return membershipChange{remove: old}, ""
}

// healthyVotersExcept counts the voters other than id that are live and caught up.
func healthyVotersExcept(members []member, id string) int {
	n := 0
	for _, m := range members {
		if m.Id != id && !m.Learner && m.live && m.caughtUp {
			n++
		}
	}
	return n
}

// bestLearnerFor returns a live, caught-up learner to replace a lost voter, preferably one in
// the same failure domain, or nil.
func bestLearnerFor(members []member, lost member) *member {
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

// replacementOf returns the live, caught-up replica that has the same name as a dead one, or
// nil. It returns nil if dead is live.
func replacementOf(members []member, dead member) *member {
	if dead.live {
		return nil
	}
	for i, m := range members {
		if m.Id != dead.Id && ReplicaName(m.Id) == ReplicaName(dead.Id) && m.live && m.caughtUp {
			return &members[i]
		}
	}
	return nil
}
