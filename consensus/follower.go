package consensus

import "github.com/snipereach/snipereach/wire"

func (n *Node) followLeader(m *wire.RaftMessage) {
	if n.role != Follower {
		n.becomeFollower(m.Term, m.From)
	}
	n.leader = m.From
	n.lastLeaderContact = n.now
	n.leaderGaps.recordAppend(n.now, m.From)
	n.resetElectionDeadline()
	n.electionDeadline += n.leaderGaps.extraTimeout(n.cfg.ElectionTimeout)
	n.mergeObserved(m.Witness)
}

func (n *Node) handleAppend(m *wire.RaftMessage) {
	n.followLeader(m)
	reply := n.newAppendReply(m)
	if m.PrevIndex < n.log.committed {
		// Committed entries match the leader's; only later ones can differ.
		n.updateConfirmedAt(m)
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
	n.mergeEntries(m.Entries)
	last := m.PrevIndex + uint64(len(m.Entries))
	n.log.commitTo(min(m.Commit, last))
	n.updateConfirmedAt(m)
	reply.Index = last
	n.send(reply)
}

func (n *Node) newAppendReply(m *wire.RaftMessage) *wire.RaftMessage {
	return &wire.RaftMessage{
		Kind: wire.RaftKind_RAFT_KIND_APPEND_REPLY, To: m.From, Round: m.Round,
		Boot: n.bootID, AskedNs: int64(n.now),
	}
}

// updateConfirmedAt records the time as of which this replica's state is current. That
// is not the arrival of the append, which may have been delayed on the way, but the
// time at which this replica sent the reply that the append echoes.
func (n *Node) updateConfirmedAt(m *wire.RaftMessage) {
	// Times of an earlier process belong to another clock.
	if m.Boot != n.bootID || n.log.committed < m.Commit {
		return
	}
	n.confirmedAt = max(n.confirmedAt, Time(m.AskedNs))
	if n.cfg.disabled.echoedTimes {
		n.confirmedAt = n.now
	}
}

// conflictHint returns the last index that may still match the leader's log. It skips
// entries of terms above the message's PrevTerm, so that resolving a conflict takes one
// round trip per term instead of one per entry.
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

// mergeEntries appends the entries that the log lacks. It first truncates the log from
// the first conflicting entry on.
func (n *Node) mergeEntries(entries []*wire.LogEntry) {
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

func (n *Node) handleSnapshot(m *wire.RaftMessage) {
	n.followLeader(m)
	reply := n.newAppendReply(m)
	s := m.Snapshot
	if s == nil || s.Index <= n.log.committed {
		reply.Index = n.log.committed
		n.send(reply)
		return
	}
	s = cloneSnapshot(s)
	n.log.restore(s)
	n.installedSnapshot = s
	reply.Index = s.Index
	n.send(reply)
}
