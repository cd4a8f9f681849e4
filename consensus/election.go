package consensus

import (
	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/wire"
)

func (n *Node) isVoter(id string) bool {
	for _, p := range n.log.config().Peers {
		if p.Id == id {
			return !p.Learner
		}
	}
	return false
}

func (n *Node) voters() []string { return votersOf(n.log.config()) }

func votersOf(c *wire.Configuration) []string {
	var ids []string
	for _, p := range c.Peers {
		if !p.Learner {
			ids = append(ids, p.Id)
		}
	}
	return ids
}

func (n *Node) isOnlyVoter() bool {
	v := n.voters()
	return len(v) == 1 && v[0] == n.cfg.ID
}

// hasQuorum reports whether contains holds for a majority of the voters.
func (n *Node) hasQuorum(contains func(id string) bool) bool { return isMajority(n.voters(), contains) }

func isMajority(voters []string, contains func(id string) bool) bool {
	count := 0
	for _, id := range voters {
		if contains(id) {
			count++
		}
	}
	return count > len(voters)/2
}

// sendHellos asks all peers for the log position at which they observed this
// replica.
//
// A replica whose folder was restored from an older copy, or lost acknowledged
// records, could vote twice in a term or elect a leader that lacks accepted entries.
// The replies of a majority of the voters, itself included, are enough, so that a
// replica can start while another one is lost. docs/design/consensus.md names the
// cases that this misses.
func (n *Node) sendHellos() {
	n.helloReplies[n.cfg.ID] = true
	if n.tryVerify() || n.now < n.nextHeartbeat {
		return
	}
	n.nextHeartbeat = n.now + n.cfg.Heartbeat
	for _, p := range n.latestConfig.config.Peers {
		if p.Id == n.cfg.ID {
			continue
		}
		n.send(&wire.RaftMessage{
			Kind: wire.RaftKind_RAFT_KIND_HELLO, To: p.Id,
			PrevIndex: n.log.lastIndex(), PrevTerm: n.log.lastTerm(),
		})
	}
}

func (n *Node) tryVerify() bool {
	voters := votersOf(n.latestConfig.config)
	if len(voters) > 0 && !isMajority(voters, func(id string) bool { return n.helloReplies[id] }) {
		return false
	}
	n.verified = true
	n.lastLeaderContact = n.now
	n.resetElectionDeadline()
	return true
}

func (n *Node) handleHello(m *wire.RaftMessage) {
	observed := n.observed[m.From]
	n.send(&wire.RaftMessage{
		Kind: wire.RaftKind_RAFT_KIND_HELLO_REPLY, To: m.From,
		PrevIndex: observed.index, PrevTerm: observed.term,
		Snapshot: &wire.LogSnapshot{Index: n.log.configIndex(), Config: n.log.config()},
	})
}

func (n *Node) handleHelloReply(m *wire.RaftMessage) {
	if n.verified {
		return
	}
	ownLast := position{n.log.lastTerm(), n.log.lastIndex()}
	if ownLast.before(position{m.PrevTerm, m.PrevIndex}) {
		n.fatalErr = merry.Prependf(ErrRolledBack,
			"peers observed %s at index %d of term %d, but its data folder ends at index %d of term %d",
			n.cfg.ID, m.PrevIndex, m.PrevTerm, ownLast.index, ownLast.term)
		return
	}
	// The membership may have changed while this replica was down, and the voters
	// named in its own folder may no longer exist.
	if latest := m.Snapshot; latest != nil && latest.Config != nil && latest.Index > n.latestConfig.index {
		n.latestConfig = indexedConfig{latest.Index, latest.Config}
	}
	n.helloReplies[m.From] = true
	n.tryVerify()
}

// campaign requests votes as a Candidate, or pre-votes as a PreCandidate. Pre-votes
// keep a replica that can't win from raising the term and so deposing a leader.
// transfer marks the vote requests of a leadership transfer: the leader of this term
// has released its lease.
func (n *Node) campaign(role Role, transfer bool) {
	n.becomeFollower(n.term, "")
	n.role = role
	kind := wire.RaftKind_RAFT_KIND_PRE_VOTE
	term := n.term + 1
	if role == Candidate {
		kind = wire.RaftKind_RAFT_KIND_VOTE
		n.term = term
		n.vote = n.cfg.ID
	}
	n.votes = map[string]bool{n.cfg.ID: true}
	if n.countVotes() {
		return
	}
	for _, id := range n.voters() {
		if id == n.cfg.ID {
			continue
		}
		n.send(&wire.RaftMessage{
			Kind: kind, To: id, Term: term,
			PrevIndex: n.log.lastIndex(), PrevTerm: n.log.lastTerm(), Transfer: transfer,
		})
	}
}

func (n *Node) handleVoteRequest(m *wire.RaftMessage) {
	preVote := m.Kind == wire.RaftKind_RAFT_KIND_PRE_VOTE
	kind := wire.RaftKind_RAFT_KIND_VOTE_REPLY
	if preVote {
		kind = wire.RaftKind_RAFT_KIND_PRE_VOTE_REPLY
	}
	canVote := n.vote == "" || n.vote == m.From
	if preVote {
		canVote = m.Term > n.term
	}
	leaseBlocksVote := n.withinLeaderLease() && !m.Transfer
	grant := canVote && !leaseBlocksVote && n.upToDate(m)
	reply := &wire.RaftMessage{Kind: kind, To: m.From, Reject: !grant}
	if grant && preVote {
		reply.Term = m.Term
	}
	if grant && !preVote {
		n.vote = m.From
		n.resetElectionDeadline()
	}
	n.send(reply)
}

// upToDate reports whether a candidate's log is at least as up to date as this one,
// and so contains every entry that this replica may have helped to commit.
func (n *Node) upToDate(m *wire.RaftMessage) bool {
	if m.PrevTerm != n.log.lastTerm() {
		return m.PrevTerm > n.log.lastTerm()
	}
	return m.PrevIndex >= n.log.lastIndex()
}

func (n *Node) handleVoteReply(m *wire.RaftMessage) {
	preVote := m.Kind == wire.RaftKind_RAFT_KIND_PRE_VOTE_REPLY
	if preVote && (n.role != PreCandidate || !m.Reject && m.Term != n.term+1) {
		return
	}
	if !preVote && n.role != Candidate {
		return
	}
	if !m.Reject {
		n.votes[m.From] = true
	}
	n.countVotes()
}

// countVotes proceeds from pre-candidate to candidate, or from candidate to leader,
// once a majority has granted its vote. It reports whether it did.
func (n *Node) countVotes() bool {
	if !n.hasQuorum(func(id string) bool { return n.votes[id] }) {
		return false
	}
	if n.role == PreCandidate {
		n.campaign(Candidate, false)
		return true
	}
	n.becomeLeader()
	return true
}
