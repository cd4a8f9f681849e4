package consensus

import "github.com/snipereach/snipereach/wire"

func (n *Node) follow(m *wire.RaftMessage) {
	if n.role != Follower {
		n.becomeFollower(m.Term, m.From)
	}
	n.leader = m.From
	n.heard = n.now
	n.patience.heard(n.now, m.From)
	n.resetDeadline()
	n.deadline += n.patience.extra(n.cfg.ElectionTimeout)
	n.takeWitness(m.Witness)
}

func (n *Node) takeAppend(m *wire.RaftMessage) {
	n.follow(m)
	reply := n.replyTo(m)
	if m.PrevIndex < n.log.committed {
		// Committed entries equal the leader's; only what comes after can differ.
		n.confirm(m)
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
	n.confirm(m)
	reply.Index = last
	n.send(reply)
}

func (n *Node) replyTo(m *wire.RaftMessage) *wire.RaftMessage {
	return &wire.RaftMessage{
		Kind: wire.RaftKind_RAFT_KIND_APPEND_REPLY, To: m.From, Round: m.Round,
		Boot: n.boot, AskedNs: int64(n.now),
	}
}

// confirm notes since when this replica's state was current: not since an append
// came, which may have been long under way, but since this replica sent the
// reply that the leader had got before it sent the append.
func (n *Node) confirm(m *wire.RaftMessage) {
	// The times of an earlier process are of another clock.
	if m.Boot != n.boot || n.log.committed < m.Commit {
		return
	}
	n.confirmed = max(n.confirmed, Time(m.AskedNs))
	if n.cfg.off.echo {
		n.confirmed = n.now
	}
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
	reply := n.replyTo(m)
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
