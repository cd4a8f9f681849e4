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

// quorum says whether a set of voters is a majority.
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

// sayHello asks the voters what they saw of this replica.
//
// A folder restored from an older copy, or one that lost acknowledged records,
// would vote twice in a term or elect a leader without accepted entries. A
// majority is asked, and not all: a replica must be able to start while another
// one is lost. What it leaves open stands in docs/design/consensus.md.
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
	seen := n.observed[m.From]
	n.send(&wire.RaftMessage{
		Kind: wire.RaftKind_RAFT_KIND_HELLO_REPLY, To: m.From,
		PrevIndex: seen.index, PrevTerm: seen.term,
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
			"%s was seen to hold index %d of term %d, its folder ends at %d of term %d",
			n.cfg.ID, m.PrevIndex, m.PrevTerm, ownLast.index, ownLast.term)
		return
	}
	// The membership may have changed while this replica was down; the voters of
	// its own folder may be gone for good.
	if latest := m.Snapshot; latest != nil && latest.Config != nil && latest.Index > n.latestConfig.index {
		n.latestConfig = indexedConfig{latest.Index, latest.Config}
	}
	n.helloReplies[m.From] = true
	n.tryVerify()
}

// campaign asks for votes, or first whether votes would be granted. Pre-votes
// keep a replica that can't win from pushing the term up and deposing a leader.
// transfer says that the leader of this term has given up its lease.
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
	withinLease := n.withinLeaderLease() && !m.Transfer
	grant := canVote && !withinLease && n.upToDate(m)
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

// upToDate says whether a candidate's log holds all that this one may have
// helped to commit.
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

// countVotes moves on when a majority has granted.
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
