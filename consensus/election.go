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

func (n *Node) onlyVoter() bool {
	v := n.voters()
	return len(v) == 1 && v[0] == n.cfg.ID
}

// quorum says whether a set of voters is a majority.
func (n *Node) quorum(has func(id string) bool) bool { return majority(n.voters(), has) }

func majority(voters []string, has func(id string) bool) bool {
	yes := 0
	for _, id := range voters {
		if has(id) {
			yes++
		}
	}
	return yes > len(voters)/2
}

// sayHello asks the voters what they saw of this replica.
//
// A folder restored from an older copy, or one that lost acknowledged records,
// would vote twice in a term or elect a leader without accepted entries. A
// majority is asked, and not all: a replica must be able to start while another
// one is lost. What it leaves open stands in docs/design/consensus.md.
func (n *Node) sayHello() {
	n.hellos[n.cfg.ID] = true
	if n.checkVerified() || n.now < n.nextBeat {
		return
	}
	n.nextBeat = n.now + n.cfg.Heartbeat
	for _, p := range n.newest.config.Peers {
		if p.Id == n.cfg.ID {
			continue
		}
		n.send(&wire.RaftMessage{
			Kind: wire.RaftKind_RAFT_KIND_HELLO, To: p.Id,
			PrevIndex: n.log.lastIndex(), PrevTerm: n.log.lastTerm(),
		})
	}
}

func (n *Node) checkVerified() bool {
	voters := votersOf(n.newest.config)
	if len(voters) > 0 && !majority(voters, func(id string) bool { return n.hellos[id] }) {
		return false
	}
	n.verified = true
	n.heard = n.now
	n.resetDeadline()
	return true
}

func (n *Node) answerHello(m *wire.RaftMessage) {
	seen := n.witnessed[m.From]
	n.send(&wire.RaftMessage{
		Kind: wire.RaftKind_RAFT_KIND_HELLO_REPLY, To: m.From,
		PrevIndex: seen.index, PrevTerm: seen.term,
		Snapshot: &wire.LogSnapshot{Index: n.log.configIndex(), Config: n.log.config()},
	})
}

func (n *Node) takeHello(m *wire.RaftMessage) {
	if n.verified {
		return
	}
	own := position{n.log.lastTerm(), n.log.lastIndex()}
	if own.before(position{m.PrevTerm, m.PrevIndex}) {
		n.failed = merry.Prependf(ErrRolledBack,
			"%s was seen to hold index %d of term %d, its folder ends at %d of term %d",
			n.cfg.ID, m.PrevIndex, m.PrevTerm, own.index, own.term)
		return
	}
	// The membership may have changed while this replica was down; the voters of
	// its own folder may be gone for good.
	if s := m.Snapshot; s != nil && s.Config != nil && s.Index > n.newest.index {
		n.newest = indexedConfig{s.Index, s.Config}
	}
	n.hellos[m.From] = true
	n.checkVerified()
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

func (n *Node) answerVote(m *wire.RaftMessage) {
	pre := m.Kind == wire.RaftKind_RAFT_KIND_PRE_VOTE
	kind := wire.RaftKind_RAFT_KIND_VOTE_REPLY
	if pre {
		kind = wire.RaftKind_RAFT_KIND_PRE_VOTE_REPLY
	}
	free := n.vote == "" || n.vote == m.From
	if pre {
		free = m.Term > n.term
	}
	withhold := n.hearsLeader() && !m.Transfer
	grant := free && !withhold && n.upToDate(m)
	reply := &wire.RaftMessage{Kind: kind, To: m.From, Reject: !grant}
	if grant && pre {
		reply.Term = m.Term
	}
	if grant && !pre {
		n.vote = m.From
		n.resetDeadline()
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

func (n *Node) takeVote(m *wire.RaftMessage) {
	pre := m.Kind == wire.RaftKind_RAFT_KIND_PRE_VOTE_REPLY
	if pre && (n.role != PreCandidate || !m.Reject && m.Term != n.term+1) {
		return
	}
	if !pre && n.role != Candidate {
		return
	}
	if !m.Reject {
		n.votes[m.From] = true
	}
	n.countVotes()
}

// countVotes moves on when a majority has granted.
func (n *Node) countVotes() bool {
	if !n.quorum(func(id string) bool { return n.votes[id] }) {
		return false
	}
	if n.role == PreCandidate {
		n.campaign(Candidate, false)
		return true
	}
	n.becomeLeader()
	return true
}
