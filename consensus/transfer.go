package consensus

import (
	"github.com/snipereach/snipereach/wire"
)

// transfer is a leadership transfer in progress (Ongaro's thesis, 3.10).
//
// The leader accepts no more proposals, brings the target up to date, releases its
// lease for the rest of its term, and sends TimeoutNow, upon which the target campaigns
// at once. The target's vote requests are marked as part of a transfer, and voters grant
// them even within the election timeout after they heard from the leader.
//
// This is safe: a marked vote request for term T+1 exists only after the leader of T has
// released its lease, and the leases of leaders before T had expired when T's leader was
// elected. Delayed or duplicate requests do no harm, as a voter votes once in a term and
// drops requests of earlier terms.
type transfer struct {
	target   string
	deadline Time
}

// TransferLeadership starts to transfer leadership to another voter and returns its ID. The
// transfer is aborted after the election timeout: if TimeoutNow was not sent, this
// replica continues to lead under its lease, otherwise it campaigns for a new term. While
// a transfer is in progress, further calls only return its target. The error is
// ErrNotLeader or ErrNoTransferTarget.
func (n *Node) TransferLeadership(now Time) (target string, err error) {
	n.now = max(n.now, now)
	if n.role != Leader {
		return "", ErrNotLeader
	}
	if n.transfer != nil {
		return n.transfer.target, nil
	}
	peer := n.transferTarget()
	if peer == nil {
		return "", ErrNoTransferTarget
	}
	n.transfer = &transfer{target: peer.Id, deadline: n.now + n.cfg.ElectionTimeout}
	n.sendAppend(peer.Id, true)
	n.sendTimeoutNow()
	return peer.Id, nil
}

// Transferring reports whether a leadership transfer is in progress.
func (n *Node) Transferring() bool { return n.transfer != nil }

// transferTarget returns the live voter to transfer leadership to, or nil. It prefers
// voters that have caught up, then those in another failure domain, because maintenance
// often stops all hosts of a failure domain.
func (n *Node) transferTarget() *wire.Peer {
	ownDomain := ""
	for _, p := range n.Peers() {
		if p.Id == n.cfg.ID {
			ownDomain = p.FailureDomain
		}
	}
	var best *wire.Peer
	for _, p := range n.Peers() {
		if p.Learner || p.Id == n.cfg.ID || !n.IsLive(p.Id) {
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
	return n.MatchIndex(a.Id) > n.MatchIndex(b.Id)
}

// sendTimeoutNow releases the lease and tells the target to campaign, once its log is up
// to date. It is repeated with each heartbeat, because the message may be lost.
func (n *Node) sendTimeoutNow() {
	if n.transfer == nil || n.MatchIndex(n.transfer.target) < n.log.lastIndex() {
		return
	}
	n.leaseReleased = true
	n.send(&wire.RaftMessage{Kind: wire.RaftKind_RAFT_KIND_TIMEOUT_NOW, To: n.transfer.target})
}

// abortTransfer ends a transfer whose target didn't take over.
//
// Once TimeoutNow was sent, the target may campaign at any later time, and the lease of
// this term must not come back: another leader could be elected within it, and reads here
// would be stale. This replica campaigns for a new term instead. If a majority elects it
// there, the target's campaign, which is for the same term or an earlier one, can't win.
func (n *Node) abortTransfer() {
	if !n.leaseReleased {
		n.transfer = nil
		return
	}
	n.campaign(Candidate, true)
}

// handleTimeoutNow campaigns at the request of the leader of this term. It skips the
// pre-vote, which the others would reject because they have just heard from the leader.
func (n *Node) handleTimeoutNow() {
	if n.role != Leader && n.isVoter(n.cfg.ID) {
		n.campaign(Candidate, true)
	}
}
