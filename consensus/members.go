package consensus

import (
	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"github.com/snipereach/snipereach/wire"
)

// Peers returns the membership in force.
func (n *Node) Peers() []*wire.Peer { return n.log.config().Peers }

// AddLearner adds a replica that receives the log but doesn't vote. It does nothing if
// the replica is a member already.
func (n *Node) AddLearner(now Time, p *wire.Peer) error {
	learner := proto.Clone(p).(*wire.Peer)
	learner.Learner = true
	return n.changeMembership(now, func(peers []*wire.Peer) ([]*wire.Peer, error) {
		for _, old := range peers {
			if old.Id == p.Id {
				return peers, nil
			}
		}
		return append(peers, learner), nil
	})
}

// PromoteLearner makes a learner a voter, or returns ErrNotCaughtUp if it is not known to hold
// all committed entries.
//
// A voter that has not caught up counts towards a majority without holding the log, so
// that losing a second host right after could lose accepted entries.
func (n *Node) PromoteLearner(now Time, id string) error {
	if !n.CaughtUp(id) {
		return merry.Prepend(ErrNotCaughtUp, id)
	}
	return n.changeMembership(now, func(peers []*wire.Peer) ([]*wire.Peer, error) {
		for _, p := range peers {
			if p.Id == id {
				p.Learner = false
				return peers, nil
			}
		}
		return nil, merry.Prepend(ErrUnknownPeer, id)
	})
}

// RemovePeer removes a replica from the membership.
func (n *Node) RemovePeer(now Time, id string) error {
	return n.changeMembership(now, func(peers []*wire.Peer) ([]*wire.Peer, error) {
		var kept []*wire.Peer
		for _, p := range peers {
			if p.Id != id {
				kept = append(kept, p)
			}
		}
		if len(kept) == len(peers) {
			return nil, merry.Prepend(ErrUnknownPeer, id)
		}
		return kept, nil
	})
}

// MembershipPending reports whether a membership change is not committed yet.
func (n *Node) MembershipPending() bool { return n.log.configIndex() > n.log.committed }

// CaughtUp reports whether a peer durably holds all committed entries. It is false
// unless this replica is the leader.
func (n *Node) CaughtUp(id string) bool {
	p := n.progress[id]
	return n.role == Leader && p != nil && p.match >= n.log.committed
}

// MatchIndex returns the highest index that a peer is known to hold durably, or 0 if this
// replica is not the leader.
func (n *Node) MatchIndex(id string) uint64 {
	if p := n.progress[id]; p != nil {
		return p.match
	}
	return 0
}

// BootID returns the ID of the process in which a peer last replied to this leader, or 0 if it has
// not replied yet.
func (n *Node) BootID(id string) uint32 {
	if id == n.cfg.ID {
		return n.bootID
	}
	if p := n.progress[id]; p != nil {
		return p.boot
	}
	return 0
}

// IsLive reports whether a peer acknowledged an append that was sent within the election
// timeout.
func (n *Node) IsLive(id string) bool {
	if id == n.cfg.ID {
		return true
	}
	p := n.progress[id]
	if p == nil {
		return false
	}
	ackedSentAt, ok := n.sentAt[p.ackedRound]
	return ok && n.now < ackedSentAt+n.cfg.ElectionTimeout
}

// changeMembership appends a membership that differs by one replica. Majorities of two
// such memberships overlap, so no joint consensus is needed. The previous change must
// be committed, and so must an entry of this leader's term (Ongaro's correction of
// 2015).
func (n *Node) changeMembership(now Time, edit func([]*wire.Peer) ([]*wire.Peer, error)) error {
	n.now = max(n.now, now)
	if n.role != Leader {
		return ErrNotLeader
	}
	if n.transfer != nil {
		return ErrTransferring
	}
	if n.MembershipPending() {
		return ErrConfigPending
	}
	if !n.committedInTerm() {
		return ErrNotReady
	}
	next := proto.Clone(n.log.config()).(*wire.Configuration)
	peers, err := edit(next.Peers)
	if err != nil {
		return err
	}
	next.Peers = peers
	if proto.Equal(next, n.log.config()) {
		return nil
	}
	if err := n.checkLiveQuorum(next); err != nil {
		return err
	}
	data, err := proto.Marshal(next)
	if err != nil {
		return err
	}
	n.appendEntry(wire.EntryType_ENTRY_TYPE_CONFIG, data)
	n.syncProgress()
	n.broadcast()
	return nil
}

// checkLiveQuorum returns ErrNoQuorum for a membership whose live voters are no
// majority: it could be neither committed nor undone.
func (n *Node) checkLiveQuorum(c *wire.Configuration) error {
	live, voters := 0, 0
	for _, p := range c.Peers {
		if p.Learner {
			continue
		}
		voters++
		if n.IsLive(p.Id) {
			live++
		}
	}
	if voters == 0 || live <= voters/2 {
		return merry.Prependf(ErrNoQuorum, "%d of %d voters would be live", live, voters)
	}
	return nil
}
