package consensus

import (
	"maps"

	"github.com/snipereach/snipereach/wire"
)

// position is where a log ends.
//
// Positions are compared as logs are in a vote: by term, then by index. A follower
// that lost the entries of a deposed leader to fewer ones of the next has a
// shorter log in a later term; by the index alone it would pass for an older copy
// after a restart, and stop for good.
type position struct{ term, index uint64 }

func (p position) before(q position) bool {
	return p.term < q.term || p.term == q.term && p.index < q.index
}

// see notes what a peer was seen to hold durably.
func (n *Node) observe(id string, p position) {
	if n.observed[id].before(p) {
		n.observed[id] = p
	}
}

// seeMatch notes that a peer's log equals this leader's up to an index.
func (n *Node) observeMatch(id string, index uint64) {
	if term, ok := n.log.term(index); ok {
		n.observe(id, position{term, index})
	}
}

// witness tells every peer what the others hold, so that any of them can tell a
// replica that its folder is an older copy.
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

// keepWitness makes what was seen of the peers durable soon after it was seen. It
// goes with other records while there are any; what was seen after the last would
// be lost if all restart, and a folder without its last records would pass.
func (n *Node) scheduleObservedSave() {
	if n.now < n.nextObservedSave || maps.Equal(n.observed, n.savedObserved) {
		return
	}
	n.nextObservedSave = n.now + n.cfg.Heartbeat
	n.saveObserved = true
}

// recordWitness puts what was seen of all peers into a hard state.
func (n *Node) putObserved(h *wire.HardState) {
	h.Witness = make(map[string]*wire.LogPosition, len(n.observed))
	for id, p := range n.observed {
		h.Witness[id] = &wire.LogPosition{Term: p.term, Index: p.index}
	}
	n.savedObserved = maps.Clone(n.observed)
	n.saveObserved = false
}
