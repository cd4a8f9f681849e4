package consensus

import (
	"maps"

	"github.com/snipereach/snipereach/wire"
)

// position is the term and index of the last entry of a log.
//
// Positions are compared like logs in a vote: by term, then by index. If fewer entries of
// a new leader replace a follower's entries of a deposed one, its log gets shorter but
// ends in a later term. Compared by index alone it would look like an older copy after a
// restart, and the replica would stop permanently.
type position struct{ term, index uint64 }

func (p position) before(q position) bool {
	return p.term < q.term || p.term == q.term && p.index < q.index
}

// observe records that a replica durably held its log up to a position.
func (n *Node) observe(id string, p position) {
	if n.observed[id].before(p) {
		n.observed[id] = p
	}
}

// observeMatch records that a peer's durable log matches this leader's up to an index.
func (n *Node) observeMatch(id string, index uint64) {
	if term, ok := n.log.term(index); ok {
		n.observe(id, position{term, index})
	}
}

// observedPositions returns the observed positions of all members. Leaders send them with
// appends, so that any peer can report to a restarted replica where it was observed.
func (n *Node) observedPositions() map[string]*wire.LogPosition {
	positions := make(map[string]*wire.LogPosition, len(n.progress))
	for id := range n.progress {
		if p, ok := n.observed[id]; ok {
			positions[id] = &wire.LogPosition{Term: p.term, Index: p.index}
		}
	}
	return positions
}

func (n *Node) mergeObserved(positions map[string]*wire.LogPosition) {
	for id, p := range positions {
		n.observe(id, position{p.GetTerm(), p.GetIndex()})
	}
}

// scheduleObservedSave makes changed observed positions durable, at most once per
// heartbeat interval. Every hard state contains the positions, but those observed after
// the last one would be lost if all replicas restart, and a folder without its last
// records would go undetected.
func (n *Node) scheduleObservedSave() {
	if n.now < n.nextObservedSave || maps.Equal(n.observed, n.savedObserved) {
		return
	}
	n.nextObservedSave = n.now + n.cfg.Heartbeat
	n.saveObserved = true
}

// putObserved copies the observed positions into a hard state and marks them as saved.
func (n *Node) putObserved(h *wire.HardState) {
	h.Witness = make(map[string]*wire.LogPosition, len(n.observed))
	for id, p := range n.observed {
		h.Witness[id] = &wire.LogPosition{Term: p.term, Index: p.index}
	}
	n.savedObserved = maps.Clone(n.observed)
	n.saveObserved = false
}
