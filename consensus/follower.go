package consensus

import "github.com/snipereach/snipereach/wire"

func (n *Node) follow(m *wire.RaftMessage) {
	if n.role != Follower {
		n.becomeFollower(m.Term, m.From)
	}
	n.leader = m.From
	n.heard = n.now
	n.resetDeadline()
	for id, index := range m.Witness {
		n.witnessed[id] = max(n.witnessed[id], index)
	}
}

func (n *Node) takeAppend(m *wire.RaftMessage) {
	n.follow(m)
	reply := &wire.RaftMessage{Kind: wire.RaftKind_RAFT_KIND_APPEND_REPLY, To: m.From, Round: m.Round}
	if m.PrevIndex < n.log.committed {
		// Committed entries equal the leader's; only what comes after can differ.
		reply.Index = n.log.committed
		n.send(reply)
		return
	}
	if term, ok := n.log.term(m.PrevIndex); !ok || term != m.PrevTerm {
		reply.Reject = true
		reply.Index = n.conflictHint(m)
		n.send(reply)
		return
	}
	n.take(m.Entries)
	last := m.PrevIndex + uint64(len(m.Entries))
	n.log.commitTo(min(m.Commit, last))
	if n.log.committed >= m.Commit {
		n.confirmed = n.now
	}
	reply.Index = last
	n.send(reply)
}

// conflictHint is the last index that may still match: the one before the
// conflicting term, so that a long conflict takes one round a term, not an entry.
func (n *Node) conflictHint(m *wire.RaftMessage) uint64 {
	index := min(m.PrevIndex, n.log.lastIndex())
	term, ok := n.log.term(index)
	for ok && index > n.log.committed && term > m.PrevTerm {
		index--
		term, ok = n.log.term(index)
	}
	if index == m.PrevIndex && index > n.log.committed {
		index--
	}
	return index
}

// take appends entries and drops those of ours that conflict.
func (n *Node) take(entries []*wire.LogEntry) {
	for _, e := range entries {
		if term, ok := n.log.term(e.Index); ok {
			if term == e.Term {
				continue
			}
			n.log.truncate(e.Index)
		}
		n.log.append(e)
	}
}

func (n *Node) takeSnapshot(m *wire.RaftMessage) {
	n.follow(m)
	reply := &wire.RaftMessage{Kind: wire.RaftKind_RAFT_KIND_APPEND_REPLY, To: m.From, Round: m.Round}
	s := m.Snapshot
	if s == nil || s.Index <= n.log.committed {
		reply.Index = n.log.committed
		n.send(reply)
		return
	}
	s = cloneSnapshot(s)
	n.log.restore(s)
	n.installed = s
	reply.Index = s.Index
	n.send(reply)
}
