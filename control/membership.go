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
	// leaving reports that the replica has announced that it is about to stop as planned.
	leaving bool
}

// addressTakenOver reports whether a later member has the address of the one with this ID. As
// only one process can listen at an address, the earlier one has ended. This follows from the
// membership, so that each leader knows it, also one that didn't add the later member.
func addressTakenOver(peers []*wire.Peer, id string) bool {
	i := slices.IndexFunc(peers, func(p *wire.Peer) bool { return p.Id == id })
	if i < 0 {
		return false
	}
	return slices.ContainsFunc(peers[i+1:], func(p *wire.Peer) bool { return p.Address == peers[i].Address })
}

// mayReplace reports whether a replica can take the place of a voter.
func (m *member) mayReplace() bool { return m.live && m.caughtUp && !m.leaving }

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
//  1. A dead replica is replaced by a live, caught-up replica of the same name.
//  2. While there are more voters than target, a dead one is removed, or else one that is
//     leaving.
//  3. While fewer voters than target are live and stay, the live, caught-up learner is
//     promoted whose failure domain has the fewest of them. This replaces a lost host by a
//     host of another name, and a leaving voter while it still runs.
//
// A dead voter is removed before its replacement is promoted: without it, the others need one
// vote less for a majority, whereas a promotion before needs the vote of the replacement too.
// If the replacement's host failed again right then, the log would end although one host only
// was lost. A leaving voter still votes, so its replacement is promoted before it is removed.
//
// A partitioned host looks the same as a lost one. Replacing it by mistake is safe: there is
// one change at a time, a replacement is caught up before it votes, and the partitioned
// replica joins again as a learner when it returns.
func nextMembershipChange(members []member, target int) membershipChange {
	voters := voterCounts(members)
	for _, dead := range members {
		heir := replacementOf(members, dead)
		if heir == nil {
			continue
		}
		if dead.Learner || !heir.Learner || voters.all >= target {
			return membershipChange{remove: dead.Id}
		}
		return membershipChange{promote: heir.Id}
	}
	if voters.all > target {
		return removeSurplusVoter(members)
	}
	if voters.staying >= target {
		return membershipChange{}
	}
	best := nextVoter(members, voters.domains)
	if best == nil {
		return membershipChange{}
	}
	if dead := firstDeadVoter(members); dead != nil && voters.all >= target {
		return membershipChange{remove: dead.Id}
	}
	return membershipChange{promote: best.Id}
}

// voterCount counts voters.
type voterCount struct {
	all int
	// staying counts those that are live and don't leave, and domains counts these by failure
	// domain.
	staying int
	domains map[string]int
}

func voterCounts(members []member) voterCount {
	c := voterCount{domains: map[string]int{}}
	for _, m := range members {
		if m.Learner {
			continue
		}
		c.all++
		if m.live && !m.leaving {
			c.staying++
			c.domains[m.FailureDomain]++
		}
	}
	return c
}

// nextVoter returns the learner to promote next, or nil: the one whose failure domain has the
// fewest voters.
func nextVoter(members []member, domains map[string]int) *member {
	var best *member
	for i, m := range members {
		if !m.Learner || !m.mayReplace() {
			continue
		}
		if best == nil || domains[m.FailureDomain] < domains[best.FailureDomain] {
			best = &members[i]
		}
	}
	return best
}

// removeSurplusVoter removes a dead voter, or else one that is leaving.
func removeSurplusVoter(members []member) membershipChange {
	if dead := firstDeadVoter(members); dead != nil {
		return membershipChange{remove: dead.Id}
	}
	for _, m := range members {
		if !m.Learner && m.leaving {
			return membershipChange{remove: m.Id}
		}
	}
	return membershipChange{}
}

func firstDeadVoter(members []member) *member {
	for i, m := range members {
		if !m.Learner && !m.live {
			return &members[i]
		}
	}
	return nil
}

// vacates reports whether a membership change may remove a leaving replica from the voters, now
// or once a learner has caught up. The replica has to wait for that before it stops.
func vacates(members []member, id string, target int) bool {
	voter, replaceable := false, voterCounts(members).all > target
	for _, m := range members {
		if m.Id == id {
			voter = !m.Learner
		} else if m.Learner && m.live && !m.leaving {
			replaceable = true
		}
	}
	return voter && replaceable
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
		if !m.Learner || !m.mayReplace() {
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
		if m.Id != dead.Id && ReplicaName(m.Id) == ReplicaName(dead.Id) && m.mayReplace() {
			return &members[i]
		}
	}
	return nil
}
