package consensus

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"github.com/snipereach/snipereach/wire"
)

// Errors returned by a Node.
var (
	ErrNotLeader        = merry.Sentinel("replica is not the leader")
	ErrNotReady         = merry.Sentinel("leader has not committed an entry of its term yet")
	ErrConfigPending    = merry.Sentinel("a membership change is in progress")
	ErrNoQuorum         = merry.Sentinel("change would leave the log without a quorum")
	ErrUnknownPeer      = merry.Sentinel("no such replica")
	ErrNotCaughtUp      = merry.Sentinel("replica has not caught up")
	ErrRolledBack       = merry.Sentinel("data folder is older than what this replica has acknowledged")
	ErrTooManyPending   = merry.Sentinel("too many proposals are in progress")
	ErrTransferring     = merry.Sentinel("leadership is being transferred")
	ErrNoTransferTarget = merry.Sentinel("no other voter is live")
)

// initialConfirmedAge is the ConfirmedAge of a replica when it starts.
const initialConfirmedAge = 24 * time.Hour

// Time is monotonic time since an arbitrary fixed point of one process.
type Time = time.Duration

// Config configures a Node.
type Config struct {
	// ID is the replica's identity, name/incarnation.
	ID string
	// ElectionTimeout is the minimum time without contact to a leader before a
	// replica campaigns. A random delay of up to the same length is added, and
	// more if the leader's appends have been late (see gapTracker).
	ElectionTimeout time.Duration
	// Heartbeat is the interval of a leader's heartbeats.
	Heartbeat time.Duration
	// ClockRatio bounds the ratio between the rates of two replicas' clocks: 1.1
	// allows one clock to run ten percent faster than another.
	ClockRatio float64
	// MaxEntries and MaxBytes limit the entries of one append.
	MaxEntries int
	MaxBytes   int
	// MaxPending limits the number of uncommitted entries in the log.
	MaxPending int
	// Rand randomizes election timeouts and the boot ID.
	Rand *rand.Rand
	// disabled lists the safeguards that are off; only tests set it.
	disabled safeguards
}

// safeguards names the safeguards that tests can disable to show that the fault
// schedules detect their absence.
type safeguards struct {
	// leaseCheck: a leader serves reads under a live lease only, and steps down when
	// no majority acknowledges its appends.
	leaseCheck bool
	// rollbackCheck: a restarted replica asks its peers for its observed position
	// before it takes part.
	rollbackCheck bool
	// leaseRelease: a leader that sent TimeoutNow has no lease.
	leaseRelease bool
	// echoedTimes: a follower confirms its state as of the echoed time at which it
	// replied, not as of the arrival of an append.
	echoedTimes bool
}

// DefaultConfig returns settings for links with a latency of a few milliseconds.
// Rand must still be set.
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

// Role is the role of a replica in its current term.
type Role int

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name as shown in Status.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Restored is the state that a replica read from its data folder.
type Restored struct {
	HardState *wire.HardState
	Snapshot  *wire.LogSnapshot
	Entries   []*wire.LogEntry
	// Fresh reports that the folder is new. Nothing was acknowledged from it, so
	// the replica takes part without asking its peers for its observed position.
	Fresh bool
}

// Ready is the work for a driver, in this order: send EarlyMessages, make HardState,
// Snapshot and Entries durable, call Node.MarkPersisted, send Messages, restore the
// state machine from Snapshot if it is set, apply CommittedEntries, and answer Reads.
// EarlyMessages need not wait for the records to be durable.
type Ready struct {
	EarlyMessages []*wire.RaftMessage
	HardState     *wire.HardState
	Snapshot      *wire.LogSnapshot
	Entries       []*wire.LogEntry
	Messages      []*wire.RaftMessage
	// CommittedEntries holds committed entries in log order. Each is returned once per process.
	CommittedEntries []*wire.LogEntry
	// Reads may be answered once the state machine has applied up to their index.
	Reads []ReadState
}

// MustSync reports whether the Ready contains records to make durable.
func (r *Ready) MustSync() bool {
	return r.HardState != nil || r.Snapshot != nil || len(r.Entries) > 0
}

// Empty reports whether there is nothing to do.
func (r *Ready) Empty() bool {
	return !r.MustSync() && len(r.EarlyMessages)+len(r.Messages)+len(r.CommittedEntries)+len(r.Reads) == 0
}

// ReadState is the outcome of a linearizable read.
type ReadState struct {
	ID    uint64
	Index uint64
	// OK is false if the replica lost leadership before it confirmed the read; the
	// read must then be rejected.
	OK bool
}

// Node is one replica of one log. It is not safe for concurrent use.
type Node struct {
	cfg  Config
	now  Time
	role Role
	log  raftLog

	term uint64
	vote string
	// persisted is the hard state last handed to the driver to make durable.
	persisted *wire.HardState

	leader string
	// lastLeaderContact is when the last append or snapshot of a leader arrived, or
	// when this replica started or was verified. No votes are granted for
	// ElectionTimeout after it, except in a transfer.
	lastLeaderContact Time
	electionDeadline  Time
	leaderGaps        gapTracker
	// confirmedAt is the latest time at which the applied state is known to have
	// been current, not counting the current term if this replica leads it.
	confirmedAt Time
	// bootID distinguishes this process from earlier ones of the same replica.
	bootID uint32

	votes    map[string]bool
	progress map[string]*progress
	// round numbers the leader's broadcasts; sentAt is when each was sent.
	round         uint64
	sentAt        map[uint64]Time
	nextHeartbeat Time
	reads         []pendingRead
	leaderSince   Time
	// transfer is the leadership transfer in progress, or nil. leaseReleased is set
	// once TimeoutNow was sent; the lease doesn't come back in this term.
	transfer      *transfer
	leaseReleased bool

	// verified is set once the replica may take part; see sendHellos.
	verified     bool
	fatalErr     error
	helloReplies map[string]bool
	// latestConfig is the latest membership known while not verified.
	latestConfig indexedConfig
	// observed is the last log position that each replica is known to have held
	// durably. savedObserved is the version in the last hard state.
	observed, savedObserved map[string]position
	// nextObservedSave is the earliest time at which changed positions are saved
	// without another record. saveObserved requests that with the next Ready.
	nextObservedSave Time
	saveObserved     bool

	earlyMessages, messages []*wire.RaftMessage
	readStates              []ReadState
	installedSnapshot       *wire.LogSnapshot
}

type pendingRead struct {
	id    uint64
	index uint64
	// minRound is the first round whose acknowledgement by a quorum confirms the read.
	minRound uint64
}

// New creates a replica from the contents of its data folder.
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
	if r.HardState != nil {
		n.term, n.vote = r.HardState.Term, r.HardState.Vote
		// Observed positions survive a restart. Otherwise a replica with an older
		// copy of its folder would go undetected when its peers restart with it.
		n.mergeObserved(r.HardState.Witness)
		n.savedObserved = maps.Clone(n.observed)
		n.log.commitTo(min(r.HardState.Commit, n.log.lastIndex()))
		n.persisted = proto.Clone(r.HardState).(*wire.HardState)
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

// Bootstrap returns the state of a new log with one voter.
func Bootstrap(p *wire.Peer) Restored {
	return Restored{
		Fresh:     true,
		HardState: &wire.HardState{Term: 1, Commit: 1},
		Snapshot: &wire.LogSnapshot{
			Index: 1, Term: 1, Config: &wire.Configuration{Peers: []*wire.Peer{p}},
		},
	}
}

func (n *Node) resetElectionDeadline() {
	jitter := n.cfg.Rand.Int64N(int64(n.cfg.ElectionTimeout))
	n.electionDeadline = n.now + n.cfg.ElectionTimeout + time.Duration(jitter)
}

// Tick advances the time, and starts elections and sends heartbeats when due.
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

// Step handles a message from a peer.
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

// handleHigherTerm becomes a follower in the higher term of a message, except for a
// pre-vote request and its grant. It returns false if the message must be dropped.
func (n *Node) handleHigherTerm(m *wire.RaftMessage) bool {
	switch m.Kind {
	case wire.RaftKind_RAFT_KIND_PRE_VOTE:
		return true
	case wire.RaftKind_RAFT_KIND_PRE_VOTE_REPLY:
		// A granted pre-vote carries the requested term, which no replica is in yet.
		if !m.Reject {
			return true
		}
	case wire.RaftKind_RAFT_KIND_VOTE:
		// A replica that rejoins after a partition must not depose a live leader,
		// and a vote within the lease would let two leaders serve reads.
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

// withinLeaderLease reports whether a leader may hold a lease that depends on an
// acknowledgement of this replica. No vote is granted meanwhile, unless the vote
// request belongs to a leadership transfer.
func (n *Node) withinLeaderLease() bool {
	if n.role == Leader {
		return n.leaseLive()
	}
	return n.now < n.lastLeaderContact+n.cfg.ElectionTimeout
}

// handleLowerTerm replies with the current term to a replica of an earlier one, so
// that a deposed leader steps down and a pre-candidate updates its term.
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

// Ready returns the pending work and clears it.
func (n *Node) Ready() Ready {
	r := Ready{EarlyMessages: n.earlyMessages, Messages: n.messages, Reads: n.readStates, Snapshot: n.installedSnapshot}
	r.Entries = n.log.takeUnstable()
	r.CommittedEntries = n.log.takeCommitted()
	hardState := &wire.HardState{Term: n.term, Vote: n.vote, Commit: n.log.committed}
	if hardState.Term != n.persisted.Term || hardState.Vote != n.persisted.Vote || n.saveObserved || (r.MustSync() && hardState.Commit != n.persisted.Commit) {
		// Appends of a new term must wait until the term is durable. Otherwise a
		// sole voter that crashes could lead the same term again with other entries.
		if hardState.Term != n.persisted.Term {
			r.Messages = append(r.EarlyMessages, r.Messages...)
			r.EarlyMessages = nil
		}
		n.putObserved(hardState)
		r.HardState = hardState
		n.persisted = hardState
	}
	n.earlyMessages, n.messages, n.readStates, n.installedSnapshot = nil, nil, nil, nil
	return r
}

// MarkPersisted reports that all records of the last Ready are durable. Only then does
// a leader count its own entries towards a quorum.
func (n *Node) MarkPersisted() {
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

// Compact replaces the log up to an applied index by a snapshot with data, the state
// at that index. It returns nil if index is not applied or already compacted.
func (n *Node) Compact(index uint64, data []byte) *wire.LogSnapshot {
	return n.log.compact(index, data)
}

// Err returns the error that stopped the replica, or nil.
func (n *Node) Err() error { return n.fatalErr }

// Status describes the state of a replica.
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
	// Transfer is the target of the leadership transfer in progress, or "".
	Transfer string `json:"transfer,omitempty"`
}

// Status returns the replica's state.
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

// IsLeader reports whether the replica is the leader and holds a live lease at now. A
// process that resumes after a pause would still hold the lease by the time of its last
// step, and act as a second leader beside one that was elected meanwhile.
func (n *Node) IsLeader(now Time) bool {
	n.now = max(n.now, now)
	return n.role == Leader && n.leaseLive()
}

// Role returns the replica's current role. A Leader may lack a live lease.
func (n *Node) Role() Role { return n.role }

// Leader returns the ID of the leader that this replica follows, or "".
func (n *Node) Leader() string { return n.leader }

// EntriesAfter returns the entries after an index, for a driver that rewrites its
// journal after a compaction.
func (n *Node) EntriesAfter(index uint64) []*wire.LogEntry {
	return n.log.slice(index+1, int(^uint(0)>>1), int(^uint(0)>>1))
}

// ConfirmedAge returns an upper bound on the staleness of the applied state: the
// state includes every entry that was accepted before that time. A leader counts from
// the send time of its latest append that a majority acknowledged, a follower from the
// send time of the reply that a leader with a live lease echoed to it.
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
