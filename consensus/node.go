package consensus

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"github.com/snipereach/snipereach/wire"
)

// Errors of this layer.
var (
	ErrNotLeader      = merry.Sentinel("replica is not the leader")
	ErrNotReady       = merry.Sentinel("leader has not committed an entry of its term yet")
	ErrConfigPending  = merry.Sentinel("a membership change is in progress")
	ErrLastVoter      = merry.Sentinel("change would leave the log without a quorum")
	ErrUnknownPeer    = merry.Sentinel("no such replica")
	ErrNotCaughtUp    = merry.Sentinel("replica has not caught up")
	ErrRolledBack     = merry.Sentinel("data folder is older than what this replica has acknowledged")
	ErrTooManyPending = merry.Sentinel("too many proposals are in progress")
	ErrTransferring   = merry.Sentinel("leadership is being transferred")
	ErrNoTarget       = merry.Sentinel("no other voter is live")
)

// neverConfirmed is the age of a state that was not confirmed since the start.
const initialConfirmedAge = 24 * time.Hour

// Time is monotonic time since any fixed moment of one process.
type Time = time.Duration

// Config of a Node.
type Config struct {
	// ID is name/incarnation.
	ID string
	// ElectionTimeout is the least time without a leader before an election; a
	// replica waits up to twice as long.
	ElectionTimeout time.Duration
	// Heartbeat is the time between a leader's appends.
	Heartbeat time.Duration
	// ClockRatio bounds how much faster one clock may run than another: 1.1
	// means ten percent.
	ClockRatio float64
	// MaxEntries and MaxBytes bound one append.
	MaxEntries int
	MaxBytes   int
	// MaxPending bounds entries that are proposed and not committed.
	MaxPending int
	// Rand draws election timeouts.
	Rand *rand.Rand
	// off turns safeguards off; only this package's tests can set it.
	disabled safeguards
}

// safeguards names what tests turn off to show that the suite would catch its
// absence.
type safeguards struct {
	// lease lets a leader answer reads without a live lease.
	leaseCheck bool
	// identity lets a replica vote before its peers have told what they saw.
	rollbackCheck bool
	// transfer lets a leader keep its lease after it told another to campaign.
	leaseRelease bool
	// echo lets a follower take an append as sent when it came.
	echoedTimes bool
}

// DefaultConfig suits links of a few milliseconds.
func DefaultConfig(id string) Config {
	return Config{
		ID:              id,
		ElectionTimeout: time.Second,
		Heartbeat:       150 * time.Millisecond,
		ClockRatio:      1.1,
		MaxEntries:      512,
		MaxBytes:        1 << 20,
		MaxPending:      8192,
	}
}

// Role of a replica.
type Role int

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role as dumps show it.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Restored is what a replica read from its data folder.
type Restored struct {
	Hard     *wire.HardState
	Snapshot *wire.LogSnapshot
	Entries  []*wire.LogEntry
	// Fresh says that the folder is new: nothing was ever acknowledged from it,
	// so peers need not be asked what they saw.
	Fresh bool
}

// Ready is what a driver must do, in this order: Early messages may leave at
// once; records are made durable; then Messages leave, a snapshot is restored,
// entries are applied and reads are answered.
type Ready struct {
	Early    []*wire.RaftMessage
	Hard     *wire.HardState
	Snapshot *wire.LogSnapshot
	Entries  []*wire.LogEntry
	Messages []*wire.RaftMessage
	// Apply holds committed entries, in order, each once.
	Apply []*wire.LogEntry
	// Reads may be answered from state that has applied up to their index.
	Reads []ReadState
}

// Durable says whether the Ready holds records to sync.
func (r *Ready) Durable() bool {
	return r.Hard != nil || r.Snapshot != nil || len(r.Entries) > 0
}

// Empty says whether there is nothing to do.
func (r *Ready) Empty() bool {
	return !r.Durable() && len(r.Early)+len(r.Messages)+len(r.Apply)+len(r.Reads) == 0
}

// ReadState answers a linearizable read.
type ReadState struct {
	ID    uint64
	Index uint64
	// OK is false when leadership was lost first; the read must be refused.
	OK bool
}

// Node is one replica of one log. It is not safe for use by several goroutines.
type Node struct {
	cfg  Config
	now  Time
	role Role
	log  raftLog

	term uint64
	vote string
	// persisted is the hard state that the driver was told to make durable.
	persisted *wire.HardState

	leader string
	// heard is when a leader was last heard; votes are withheld after it.
	lastLeaderContact Time
	electionDeadline  Time
	leaderGaps        gapTracker
	// confirmed is when the applied state was last known to be current, while
	// another led.
	confirmedAt Time
	// boot tells this process from earlier ones of the same replica.
	bootID uint32

	votes    map[string]bool
	progress map[string]*progress
	// round numbers appends; see wire.RaftMessage.round.
	round         uint64
	sentAt        map[uint64]Time
	nextHeartbeat Time
	reads         []pendingRead
	leaderSince   Time
	// transfer is in progress unless nil. yielded: the lease of this term is given
	// up for good.
	transfer      *transfer
	leaseReleased bool

	verified     bool
	fatalErr     error
	helloReplies map[string]bool
	// newest is the latest membership heard of while not verified.
	latestConfig indexedConfig
	// witnessed is what each peer was seen to hold, savedWitness what of it is
	// durable.
	observed, savedObserved map[string]position
	// nextWitness is when it may next be made durable without other records, and
	// saveWitness that it is to be now.
	nextObservedSave Time
	saveObserved     bool

	earlyMessages, messages []*wire.RaftMessage
	readStates              []ReadState
	installedSnapshot       *wire.LogSnapshot
}

type pendingRead struct {
	id    uint64
	index uint64
	// after is the round of which a quorum must acknowledge.
	minRound uint64
}

// New makes a replica from what its folder held.
func New(cfg Config, r Restored, now Time) *Node {
	n := &Node{
		cfg:               cfg,
		now:               now,
		log:               newLog(r.Snapshot, r.Entries),
		lastLeaderContact: now,
		confirmedAt:       now - initialConfirmedAge,
		bootID:            cfg.Rand.Uint32() | 1,
		helloReplies:      map[string]bool{},
		observed:          map[string]position{},
		verified:          r.Fresh || cfg.disabled.rollbackCheck,
		sentAt:            map[uint64]Time{},
	}
	n.latestConfig = indexedConfig{n.log.configIndex(), n.log.config()}
	if r.Hard != nil {
		n.term, n.vote = r.Hard.Term, r.Hard.Vote
		// Kept over a restart: a host whose folder is an older copy would otherwise
		// pass unseen when its peers restart with it.
		n.mergeObserved(r.Hard.Witness)
		n.savedObserved = maps.Clone(n.observed)
		n.log.commitTo(min(r.Hard.Commit, n.log.lastIndex()))
		n.persisted = proto.Clone(r.Hard).(*wire.HardState)
	} else {
		n.persisted = &wire.HardState{}
	}
	n.resetElectionDeadline()
	if n.isOnlyVoter() {
		n.verified = true
		n.electionDeadline = now
	}
	return n
}

// Bootstrap is the state of a new log with one voter.
func Bootstrap(p *wire.Peer) Restored {
	return Restored{
		Fresh: true,
		Hard:  &wire.HardState{Term: 1, Commit: 1},
		Snapshot: &wire.LogSnapshot{
			Index: 1, Term: 1, Config: &wire.Configuration{Peers: []*wire.Peer{p}},
		},
	}
}

func (n *Node) resetElectionDeadline() {
	jitter := n.cfg.Rand.Int64N(int64(n.cfg.ElectionTimeout))
	n.electionDeadline = n.now + n.cfg.ElectionTimeout + time.Duration(jitter)
}

// Tick moves time on.
func (n *Node) Tick(now Time) {
	n.now = max(n.now, now)
	if n.fatalErr != nil {
		return
	}
	if !n.verified {
		n.sendHellos()
		return
	}
	n.scheduleObservedSave()
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.now >= n.electionDeadline && n.isVoter(n.cfg.ID) {
		n.campaign(PreCandidate, false)
	}
}

// Step takes a message.
func (n *Node) Step(now Time, m *wire.RaftMessage) {
	n.now = max(n.now, now)
	if n.fatalErr != nil || m.To != n.cfg.ID {
		return
	}
	switch m.Kind {
	case wire.RaftKind_RAFT_KIND_HELLO:
		n.handleHello(m)
		return
	case wire.RaftKind_RAFT_KIND_HELLO_REPLY:
		n.handleHelloReply(m)
		return
	}
	if !n.verified {
		return
	}
	if m.Term > n.term && !n.handleHigherTerm(m) {
		return
	}
	if m.Term < n.term {
		n.handleLowerTerm(m)
		return
	}
	n.stepCurrentTerm(m)
}

// meetNewTerm takes a message of a later term; it returns false if the message
// goes no further.
func (n *Node) handleHigherTerm(m *wire.RaftMessage) bool {
	switch m.Kind {
	case wire.RaftKind_RAFT_KIND_PRE_VOTE:
		return true
	case wire.RaftKind_RAFT_KIND_PRE_VOTE_REPLY:
		// A granted pre-vote carries the term asked for, which nobody is in yet.
		if !m.Reject {
			return true
		}
	case wire.RaftKind_RAFT_KIND_VOTE:
		// A replica that returns from a cut must not depose a leader that the
		// others hear, and a vote within the lease would let two leaders answer.
		if n.withinLeaderLease() && !m.Transfer {
			return false
		}
	}
	leader := ""
	if m.Kind == wire.RaftKind_RAFT_KIND_APPEND || m.Kind == wire.RaftKind_RAFT_KIND_SNAPSHOT {
		leader = m.From
	}
	n.becomeFollower(m.Term, leader)
	return true
}

// hearsLeader says whether a leader may hold a live lease that this replica is
// part of.
func (n *Node) withinLeaderLease() bool {
	if n.role == Leader {
		return n.leaseLive()
	}
	return n.now < n.lastLeaderContact+n.cfg.ElectionTimeout
}

// answerOldTerm tells a replica of an earlier term about ours, so that a
// deposed leader or a stuck candidate moves on.
func (n *Node) handleLowerTerm(m *wire.RaftMessage) {
	switch m.Kind {
	case wire.RaftKind_RAFT_KIND_APPEND, wire.RaftKind_RAFT_KIND_SNAPSHOT:
		reply := n.newAppendReply(m)
		reply.Reject = true
		reply.Index = n.log.lastIndex()
		n.send(reply)
	case wire.RaftKind_RAFT_KIND_PRE_VOTE:
		n.send(&wire.RaftMessage{Kind: wire.RaftKind_RAFT_KIND_PRE_VOTE_REPLY, To: m.From, Reject: true})
	}
}

func (n *Node) stepCurrentTerm(m *wire.RaftMessage) {
	switch m.Kind {
	case wire.RaftKind_RAFT_KIND_PRE_VOTE, wire.RaftKind_RAFT_KIND_VOTE:
		n.handleVoteRequest(m)
	case wire.RaftKind_RAFT_KIND_PRE_VOTE_REPLY, wire.RaftKind_RAFT_KIND_VOTE_REPLY:
		n.handleVoteReply(m)
	case wire.RaftKind_RAFT_KIND_APPEND:
		n.handleAppend(m)
	case wire.RaftKind_RAFT_KIND_SNAPSHOT:
		n.handleSnapshot(m)
	case wire.RaftKind_RAFT_KIND_APPEND_REPLY:
		n.handleAppendReply(m)
	case wire.RaftKind_RAFT_KIND_TIMEOUT_NOW:
		n.handleTimeoutNow()
	}
}

func (n *Node) send(m *wire.RaftMessage) {
	m.From = n.cfg.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	n.messages = append(n.messages, m)
}

func (n *Node) becomeFollower(term uint64, leader string) {
	if term > n.term {
		n.term = term
		n.vote = ""
	}
	n.failReads()
	n.confirmedAt = n.now - n.ConfirmedAge(n.now)
	n.role = Follower
	n.leader = leader
	n.votes = nil
	n.progress = nil
	n.transfer, n.leaseReleased = nil, false
	n.resetElectionDeadline()
}

// Ready returns what is to be done, and forgets it.
func (n *Node) Ready() Ready {
	r := Ready{Early: n.earlyMessages, Messages: n.messages, Reads: n.readStates, Snapshot: n.installedSnapshot}
	r.Entries = n.log.takeUnstable()
	r.Apply = n.log.takeCommitted()
	hard := &wire.HardState{Term: n.term, Vote: n.vote, Commit: n.log.committed}
	if hard.Term != n.persisted.Term || hard.Vote != n.persisted.Vote || n.saveObserved || (r.Durable() && hard.Commit != n.persisted.Commit) {
		// Appends of a term that a crash could undo must wait for its sync: a
		// sole voter would otherwise lead the same term twice, with other entries.
		if hard.Term != n.persisted.Term {
			r.Messages = append(r.Early, r.Messages...)
			r.Early = nil
		}
		n.putObserved(hard)
		r.Hard = hard
		n.persisted = hard
	}
	n.earlyMessages, n.messages, n.readStates, n.installedSnapshot = nil, nil, nil, nil
	return r
}

// Persisted tells that all records of the last Ready are durable. A leader
// counts its own log only from here on.
func (n *Node) Persisted() {
	n.log.stable = n.log.handedToDriver
	if n.role != Leader {
		return
	}
	if p := n.progress[n.cfg.ID]; p != nil {
		p.match = min(n.log.stable, n.log.lastIndex())
		n.observeMatch(n.cfg.ID, p.match)
		n.advanceCommit()
	}
}

// Compact drops the log up to an applied index; data is the state there.
func (n *Node) Compact(index uint64, data []byte) *wire.LogSnapshot {
	return n.log.compact(index, data)
}

// Err returns why the replica has stopped, or nil.
func (n *Node) Err() error { return n.fatalErr }

// Status describes a replica.
type Status struct {
	ID       string `json:"id"`
	Role     string `json:"role"`
	Leader   string `json:"leader"`
	Term     uint64 `json:"term"`
	Commit   uint64 `json:"commit"`
	Applied  uint64 `json:"applied"`
	Last     uint64 `json:"last"`
	First    uint64 `json:"first"`
	Verified bool   `json:"verified"`
	Lease    bool   `json:"lease"`
	// Transfer is the voter that leadership is being handed to, or "".
	Transfer string `json:"transfer,omitempty"`
}

// Status returns the replica's state for dumps.
func (n *Node) Status() Status {
	s := Status{
		ID: n.cfg.ID, Role: n.role.String(), Leader: n.leader, Term: n.term,
		Commit: n.log.committed, Applied: n.log.applied, Last: n.log.lastIndex(),
		First: n.log.firstIndex(), Verified: n.verified, Lease: n.role == Leader && n.leaseLive(),
	}
	if n.transfer != nil {
		s.Transfer = n.transfer.target
	}
	return s
}

// IsLeader says whether the replica leads and holds a live lease now. A process that
// was frozen would still hold one by the time of its last step, and act as the leader
// beside the one that was elected meanwhile.
func (n *Node) IsLeader(now Time) bool {
	n.now = max(n.now, now)
	return n.role == Leader && n.leaseLive()
}

// Role returns what the replica is now. A Leader may lack a live lease.
func (n *Node) Role() Role { return n.role }

// Leader returns the ID of the leader that this replica follows, or "".
func (n *Node) Leader() string { return n.leader }

// EntriesAfter returns the entries after an index, for a driver that rewrites
// its records after a compaction.
func (n *Node) EntriesAfter(index uint64) []*wire.LogEntry {
	return n.log.slice(index+1, int(^uint(0)>>1), int(^uint(0)>>1))
}

// ConfirmedAge is how long ago this replica's applied state was known to hold
// all that was accepted: for a leader when the latest append left that a majority
// acknowledged, for a follower when it asked a leader with a live lease.
func (n *Node) ConfirmedAge(now Time) time.Duration {
	now = max(n.now, now)
	confirmedAt := n.confirmedAt
	if n.role == Leader && n.committedInTerm() {
		if start, ok := n.leaseStart(); ok {
			confirmedAt = max(confirmedAt, start)
		}
	}
	return now - confirmedAt
}
