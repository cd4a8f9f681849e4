package consensus

import (
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/snipereach/snipereach/wire"
)

// progress is a leader's view of one member's log.
type progress struct {
	// match is the highest index known to be durable at the peer; next is the first
	// one to send.
	match, next uint64
	// ackedRound is the latest round that the peer acknowledged.
	ackedRound uint64
	// probing restricts appends to heartbeats, until one matches the peer's log.
	probing bool
	// snapshotRetryAt is when a snapshot that was sent may be sent again.
	snapshotRetryAt Time
	// boot and askedNs come from the peer's last reply and are echoed to it; see
	// wire.RaftMessage.
	boot    uint32
	askedNs int64
}

func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.cfg.ID
	n.leaderSince = n.now
	n.votes = nil
	n.progress = map[string]*progress{}
	n.sentAt = map[uint64]Time{}
	n.syncProgress()
	// Entries of earlier terms are committed only through an entry of this term
	// (Raft paper, 5.4.2). Linearizable reads need one, too.
	n.appendEntry(wire.EntryType_ENTRY_TYPE_NOOP, nil)
	n.broadcast()
}

// syncProgress adds and removes peers according to the membership.
func (n *Node) syncProgress() {
	members := map[string]bool{}
	for _, p := range n.log.config().Peers {
		members[p.Id] = true
		if n.progress[p.Id] == nil {
			n.progress[p.Id] = &progress{next: n.log.lastIndex() + 1, probing: true}
		}
	}
	for id := range n.progress {
		if !members[id] {
			delete(n.progress, id)
		}
	}
	if own := n.progress[n.cfg.ID]; own != nil {
		own.match = n.log.stable
	}
}

func (n *Node) appendEntry(t wire.EntryType, data []byte) uint64 {
	e := &wire.LogEntry{Index: n.log.lastIndex() + 1, Term: n.term, Type: t, Data: data}
	n.log.append(e)
	return e.Index
}

func (n *Node) tickLeader() {
	if n.transfer != nil && n.now >= n.transfer.deadline {
		n.abortTransfer()
		return
	}
	// A leader without acknowledgements from a majority can commit nothing and holds no
	// lease; stepping down lets clients look for another one. It waits for two election
	// timeouts, so that a leader whose process was paused for longer than its lease can
	// receive the replies of its peers and continue in its term.
	if n.now >= n.leaderSince+2*n.cfg.ElectionTimeout && !n.ackedByQuorumWithin(2*n.cfg.ElectionTimeout) && !n.cfg.disabled.leaseCheck {
		n.becomeFollower(n.term, "")
		return
	}
	if n.now >= n.nextHeartbeat {
		n.broadcast()
	}
}

// broadcast starts a round: it sends each peer the entries that it lacks, or a
// heartbeat without any.
func (n *Node) broadcast() {
	n.nextHeartbeat = n.now + n.cfg.Heartbeat
	n.round++
	n.sentAt[n.round] = n.now
	n.pruneRounds()
	for _, id := range n.peerIDs() {
		n.sendAppend(id, true)
	}
	if n.isOnlyVoter() {
		n.confirmReads()
	}
	n.sendTimeoutNow()
}

// peerIDs returns the IDs of the other members in sorted order, which keeps
// simulations deterministic.
func (n *Node) peerIDs() []string {
	var ids []string
	for id := range n.progress {
		if id != n.cfg.ID {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// maxTrackedRounds limits the number of rounds whose send time is kept.
const maxTrackedRounds = 4096

func (n *Node) pruneRounds() {
	if len(n.sentAt) <= maxTrackedRounds {
		return
	}
	for r := range n.sentAt {
		if r+maxTrackedRounds/2 < n.round {
			delete(n.sentAt, r)
		}
	}
}

// sendAppend sends entries from the peer's next index on. With heartbeat it sends a
// message even if there are none.
func (n *Node) sendAppend(id string, heartbeat bool) {
	p := n.progress[id]
	prev := p.next - 1
	prevTerm, ok := n.log.term(prev)
	if !ok {
		n.sendSnapshot(id, p, heartbeat)
		return
	}
	var entries []*wire.LogEntry
	if !p.probing || heartbeat {
		entries = n.log.slice(p.next, n.cfg.MaxEntries, n.cfg.MaxBytes)
	}
	if len(entries) == 0 && !heartbeat {
		return
	}
	m := &wire.RaftMessage{
		Kind: wire.RaftKind_RAFT_KIND_APPEND, To: id, PrevIndex: prev, PrevTerm: prevTerm,
		Entries: entries, Commit: n.log.committed, Round: n.round, Witness: n.observedPositions(),
	}
	if n.committedInTerm() && n.leaseLive() {
		m.Boot, m.AskedNs = p.boot, p.askedNs
	}
	n.sendEarly(m)
	if !p.probing {
		p.next += uint64(len(entries))
	}
}

// sendEarly sends a leader's message without waiting for its own records to be
// durable: the leader counts itself towards a quorum only once they are.
func (n *Node) sendEarly(m *wire.RaftMessage) {
	m.From = n.cfg.ID
	m.Term = n.term
	n.earlyMessages = append(n.earlyMessages, m)
}

func (n *Node) sendSnapshot(id string, p *progress, heartbeat bool) {
	if n.now < p.snapshotRetryAt {
		if heartbeat {
			n.sendEarly(&wire.RaftMessage{
				Kind: wire.RaftKind_RAFT_KIND_APPEND, To: id, PrevIndex: n.log.snapshot.Index,
				PrevTerm: n.log.snapshot.Term, Commit: n.log.committed, Round: n.round,
			})
		}
		return
	}
	p.snapshotRetryAt = n.now + 10*n.cfg.Heartbeat
	n.sendEarly(&wire.RaftMessage{
		Kind: wire.RaftKind_RAFT_KIND_SNAPSHOT, To: id, Snapshot: n.log.snapshot,
		Round: n.round, Commit: n.log.committed,
	})
}

func (n *Node) handleAppendReply(m *wire.RaftMessage) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil {
		return
	}
	p.ackedRound = max(p.ackedRound, m.Round)
	p.boot, p.askedNs = m.Boot, m.AskedNs
	n.confirmReads()
	if m.Reject {
		// The peer's log conflicts or is shorter. The hint may come from a delayed
		// reply, so next stays above what the peer has acknowledged.
		p.next = max(p.match+1, min(p.next-1, m.Index+1))
		p.probing = true
		n.sendAppend(m.From, true)
		return
	}
	p.probing = false
	p.snapshotRetryAt = 0
	if m.Index > p.match {
		p.match = m.Index
		n.observeMatch(m.From, m.Index)
		n.advanceCommit()
	}
	p.next = max(p.next, p.match+1)
	if !n.leaseReleased {
		n.sendTimeoutNow()
	}
	if p.next <= n.log.lastIndex() {
		n.sendAppend(m.From, false)
	}
}

// advanceCommit commits the entries that are durable at a majority of the voters.
func (n *Node) advanceCommit() {
	var matches []uint64
	for _, id := range n.voters() {
		if p := n.progress[id]; p != nil {
			matches = append(matches, p.match)
		}
	}
	if len(matches) == 0 {
		return
	}
	sort.Slice(matches, func(i, j int) bool { return matches[i] > matches[j] })
	index := matches[len(matches)/2]
	if term, ok := n.log.term(index); !ok || term != n.term || index <= n.log.committed {
		return
	}
	prevCommit := n.log.committed
	n.log.commitTo(index)
	n.confirmReads()
	n.afterCommit(prevCommit)
}

// afterCommit makes a leader step down once a membership in which it is no voter is
// committed. Otherwise it sends the new commit index to the peers without waiting for
// the next heartbeat.
func (n *Node) afterCommit(prevCommit uint64) {
	if ci := n.log.configIndex(); ci > prevCommit && ci <= n.log.committed && !n.isVoter(n.cfg.ID) {
		n.becomeFollower(n.term, "")
		return
	}
	for _, id := range n.peerIDs() {
		if !n.progress[id].probing {
			n.sendAppend(id, true)
		}
	}
}

// leaseStart returns the send time of the latest round that a majority has
// acknowledged, or false if there is none.
func (n *Node) leaseStart() (Time, bool) {
	if n.isOnlyVoter() {
		return n.now, true
	}
	var rounds []uint64
	for _, id := range n.voters() {
		switch {
		case id == n.cfg.ID:
			rounds = append(rounds, n.round)
		case n.progress[id] != nil:
			rounds = append(rounds, n.progress[id].ackedRound)
		default:
			rounds = append(rounds, 0)
		}
	}
	sort.Slice(rounds, func(i, j int) bool { return rounds[i] > rounds[j] })
	at, ok := n.sentAt[rounds[len(rounds)/2]]
	return at, ok
}

// leaseLive reports whether no other leader can have been elected. A majority grants
// no vote for ElectionTimeout, by its own clocks, after it received an append. The
// lease runs from the time when that append was sent, and is shorter by the bound on
// clock rates.
//
// A leader that has sent TimeoutNow has no lease: voters may elect its target at any
// time from then on.
func (n *Node) leaseLive() bool {
	if n.leaseReleased && !n.cfg.disabled.leaseRelease {
		return false
	}
	return n.ackedByQuorumWithinLease()
}

// ackedByQuorumWithinLease reports whether a majority acknowledged a round that was
// sent within the length of a lease.
func (n *Node) ackedByQuorumWithinLease() bool {
	return n.ackedByQuorumWithin(time.Duration(float64(n.cfg.ElectionTimeout) / n.cfg.ClockRatio))
}

func (n *Node) ackedByQuorumWithin(length time.Duration) bool {
	start, ok := n.leaseStart()
	return ok && n.now < start+length
}

// committedInTerm reports whether an entry of this leader's term is committed. Before
// that, a new leader doesn't know which earlier entries are committed.
func (n *Node) committedInTerm() bool {
	term, ok := n.log.term(n.log.committed)
	return ok && term == n.term
}

// Propose appends a command to the log. The command is accepted once an entry with the
// returned index and term appears in Ready.CommittedEntries. The error is ErrNotLeader,
// ErrTransferring or ErrTooManyPending.
func (n *Node) Propose(now Time, data []byte) (index, term uint64, err error) {
	n.now = max(n.now, now)
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if n.transfer != nil {
		return 0, 0, ErrTransferring
	}
	if n.log.lastIndex()-n.log.committed >= uint64(n.cfg.MaxPending) {
		return 0, 0, ErrTooManyPending
	}
	index = n.appendEntry(wire.EntryType_ENTRY_TYPE_COMMAND, data)
	return index, n.term, nil
}

// SendProposals sends the entries that were proposed since the last call, batched per peer.
func (n *Node) SendProposals() {
	if n.role != Leader {
		return
	}
	for _, id := range n.peerIDs() {
		n.sendAppend(id, false)
	}
}

// RequestRead requests a linearizable read; its outcome is a ReadState with this ID in a later
// Ready. The error is ErrNotLeader or ErrNotReady.
func (n *Node) RequestRead(now Time, id uint64) error {
	n.now = max(n.now, now)
	if n.role != Leader {
		return ErrNotLeader
	}
	if !n.committedInTerm() {
		return ErrNotReady
	}
	if n.leaseLive() || n.cfg.disabled.leaseCheck {
		n.readStates = append(n.readStates, ReadState{ID: id, Index: n.log.committed, OK: true})
		return nil
	}
	n.reads = append(n.reads, pendingRead{id: id, index: n.log.committed, minRound: n.round + 1})
	n.broadcast()
	return nil
}

// confirmReads completes the reads for which a majority has acknowledged a round that
// was sent after the request, which proves that this replica was still the leader.
func (n *Node) confirmReads() {
	kept := n.reads[:0]
	for _, r := range n.reads {
		ok := n.hasQuorum(func(id string) bool {
			return id == n.cfg.ID || n.progress[id] != nil && n.progress[id].ackedRound >= r.minRound
		})
		if !ok {
			kept = append(kept, r)
			continue
		}
		n.readStates = append(n.readStates, ReadState{ID: r.id, Index: r.index, OK: true})
	}
	n.reads = kept
}

func (n *Node) failReads() {
	for _, r := range n.reads {
		n.readStates = append(n.readStates, ReadState{ID: r.id})
	}
	n.reads = nil
}

// cloneSnapshot copies a snapshot, so that replicas of one process share none.
func cloneSnapshot(s *wire.LogSnapshot) *wire.LogSnapshot {
	return proto.Clone(s).(*wire.LogSnapshot)
}
