package consensus

import (
	"github.com/snipereach/snipereach/wire"
)

// transfer is a handover of leadership in progress (Ongaro's thesis, 3.10).
//
// The leader takes no more proposals, brings the target up to date, gives up its
// lease for the rest of its term, and tells the target to campaign at once. The
// target's vote requests say so, and voters grant them within the time for which
// they promised the leader to withhold votes.
//
// That promise may be broken because every message with the sign of term T+1
// exists only after the leader of T has given up its lease, and the leases of
// leaders before T were over when T was elected. However late or often such a
// message comes, a voter gives one vote in a term, and a voter in a later term
// drops it.
type transfer struct {
	target   string
	deadline Time
}

// Transfer begins to hand leadership to another voter and returns its ID. It is
// given up after the election timeout: then this replica leads on, under its
// lease if the target wasn't told to campaign, else in a new term. A second call
// changes nothing while a transfer is in progress.
func (n *Node) Transfer(now Time) (target string, err error) {
	n.now = max(n.now, now)
	if n.role != Leader {
		return "", ErrNotLeader
	}
	if n.transfer != nil {
		return n.transfer.target, nil
	}
	peer := n.transferTarget()
	if peer == nil {
		return "", ErrNoTarget
	}
	n.transfer = &transfer{target: peer.Id, deadline: n.now + n.cfg.ElectionTimeout}
	n.sendAppend(peer.Id, true)
	n.sendTimeoutNow()
	return peer.Id, nil
}

// Transferring says whether leadership is being handed over.
func (n *Node) Transferring() bool { return n.transfer != nil }

// heir returns the live voter that is to lead next, or nil. A stop often comes
// with work on the whole failure domain, so one in another failure domain goes
// before, unless it lags.
func (n *Node) transferTarget() *wire.Peer {
	ownDomain := ""
	for _, p := range n.Peers() {
		if p.Id == n.cfg.ID {
			ownDomain = p.FailureDomain
		}
	}
	var best *wire.Peer
	for _, p := range n.Peers() {
		if p.Learner || p.Id == n.cfg.ID || !n.Live(p.Id) {
			continue
		}
		if best == nil || n.isBetterTarget(p, best, ownDomain) {
			best = p
		}
	}
	return best
}

func (n *Node) isBetterTarget(a, b *wire.Peer, ownDomain string) bool {
	if caughtUp := n.CaughtUp(a.Id); caughtUp != n.CaughtUp(b.Id) {
		return caughtUp
	}
	if otherDomain := a.FailureDomain != ownDomain; otherDomain != (b.FailureDomain != ownDomain) {
		return otherDomain
	}
	return n.Match(a.Id) > n.Match(b.Id)
}

// tellTarget tells an up-to-date target to campaign. It is repeated with each
// heartbeat, because the message may be lost.
func (n *Node) sendTimeoutNow() {
	if n.transfer == nil || n.Match(n.transfer.target) < n.log.lastIndex() {
		return
	}
	n.leaseReleased = true
	n.send(&wire.RaftMessage{Kind: wire.RaftKind_RAFT_KIND_TIMEOUT_NOW, To: n.transfer.target})
}

// giveUpTransfer leads on after a target that doesn't take over.
//
// Once the target was told, it may campaign at any later time, and the lease of
// this term must not come back: another leader could be elected within it, and
// reads here would be stale. In a term of its own that a majority has voted for,
// this replica is safe from it: the target's campaign is of the same term or
// older and finds no majority.
func (n *Node) abortTransfer() {
	if !n.leaseReleased {
		n.transfer = nil
		return
	}
	n.campaign(Candidate, true)
}

// takeTimeoutNow campaigns on the word of the leader of this term. Pre-votes
// would be refused, since the others have just heard that leader.
func (n *Node) handleTimeoutNow() {
	if n.role != Leader && n.isVoter(n.cfg.ID) {
		n.campaign(Candidate, true)
	}
}
