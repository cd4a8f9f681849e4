package control

import (
	"context"
	"encoding/hex"
	"hash/maphash"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-kit/log"

	"github.com/snipereach/snipereach/consensus"
	"github.com/snipereach/snipereach/evacuation"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/quarantine"
	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wal"
	"github.com/snipereach/snipereach/wire"
)

// Errors of a replica.
var (
	// ErrUnavailable is returned if a call can't be answered now. A command that was proposed
	// may still be committed.
	ErrUnavailable = merry.Sentinel("control replica can't answer now")
	// ErrProposalLost is returned for a command that was not accepted because another leader's entry
	// took its place on the log.
	ErrProposalLost = merry.Sentinel("command was not accepted")
	// ErrStopped is returned if the replica has stopped or failed.
	ErrStopped = merry.Sentinel("control replica has stopped")
)

const (
	tickInterval = 25 * time.Millisecond
	// callQueueSize bounds the calls that wait for the loop.
	callQueueSize = 2048
	// membershipInterval is the least time between two membership checks of a leader.
	membershipInterval = 250 * time.Millisecond
)

// Replica runs the consensus node and state machines of one control replica. Unless noted
// otherwise, its state is owned by its loop, to which methods hand functions.
type Replica struct {
	settings Settings
	log      log.Logger
	identity *wire.Identity
	journal  *wal.Journal
	node     *consensus.Node
	machine  *machine
	peers    *raftSender
	started  time.Time
	clock    func() time.Time

	calls chan func()
	done  chan struct{}
	stop  context.CancelFunc

	proposals            map[uint64]pendingProposal
	pendingReads         map[uint64]chan<- error
	queued               map[uint64][]uint64
	lastReadID           uint64
	hardState            *wire.HardState
	entriesSinceSnapshot int
	// refusedChange is the last membership change if it was refused.
	refusedChange   membershipChange
	lastMaintenance time.Time
	// membershipDue requests the next membership check before membershipInterval has passed.
	membershipDue bool
	// leaderTimes is used through leadership.
	leaderTimes leadershipTimes
	leader      leaderState
	startup     startupLog
	ticks       tickMonitor
	ringTracker ringTracker
	shares      shareState
	// pools is also read outside the loop, by announcements.
	pools atomic.Pointer[poolSettings]
	// routingVersion is the version of the applied configuration. It is also read outside the
	// loop, by watchers.
	routingVersion atomic.Uint64
	// evacuations are those in force, also read by watchers.
	evacuations atomic.Pointer[evacuation.State]
	feed        feed
	// proposedEpoch is the last proposed ring epoch, and proposedAt the time of its proposal.
	proposedEpoch uint64
	proposedAt    time.Time
	failed        error
	// failedCh is closed when failed is set.
	failedCh chan struct{}

	// liveEntries lists the entries that are up, for the ring of claim registers.
	liveEntries func() []*wire.RingMember
	// onQuarantines is called with committed quarantines and liftings.
	onQuarantines func(...*wire.Suspicion) (changed bool)

	// watchers are woken after each change.
	watchers kernel.Watchers
}

// idOf returns a replica's ID, NAME/INCARNATION.
func idOf(i *wire.Identity) string { return i.Name + "/" + i.Incarnation }

// newReplica returns a replica that restores its state from st and writes to the open journal
// j. It must be started.
func newReplica(s Settings, l log.Logger, id *wire.Identity, j *wal.Journal, st consensus.Restored, pool *transport.Pool) (*Replica, error) {
	m := newMachine()
	if st.Snapshot != nil && len(st.Snapshot.Data) > 0 {
		if err := m.restore(st.Snapshot.Data); err != nil {
			return nil, err
		}
	}
	cfg := consensus.DefaultConfig(idOf(id))
	cfg.ElectionTimeout = s.ElectionTimeout.D()
	cfg.Heartbeat = s.Heartbeat.D()
	cfg.Rand = rand.New(rand.NewPCG(new(maphash.Hash).Sum64(), uint64(time.Now().UnixNano())))
	r := &Replica{
		settings: s, log: l, identity: id, journal: j, machine: m,
		node:    consensus.New(cfg, st, 0),
		peers:   newRaftSender(pool, id.Address),
		started: s.Now(), clock: s.Now,
		calls:        make(chan func(), callQueueSize),
		done:         make(chan struct{}),
		failedCh:     make(chan struct{}),
		proposals:    map[uint64]pendingProposal{},
		pendingReads: map[uint64]chan<- error{},
		queued:       map[uint64][]uint64{},
		hardState:    st.HardState,
		leaderTimes:  leadershipTimes{expires: map[string]time.Time{}},
		leader:       leaderState{changed: make(chan struct{})},
		ringTracker:  ringTracker{changed: s.Now()},
	}
	r.feed.reset(m.table.Revision(), m.ring, r.ringTracker.changed)
	r.routingVersion.Store(m.routing.Current().GetVersion())
	r.updateEvacuations()
	r.updateConfirmation()
	return r, nil
}

// updateConfirmation updates the time at which the applied state was last known to be current.
// A failed replica is skipped, since its node may learn of commits that are not applied.
//
// It wakes the watchers when the state becomes current, because an entry that starts takes its
// first configuration only from a current replica.
func (r *Replica) updateConfirmation() {
	if r.failed != nil {
		return
	}
	before := r.feed.isCurrent(r.now())
	r.feed.setConfirmedAt(r.now() - r.node.ConfirmedAge(r.now()))
	if !before && r.feed.isCurrent(r.now()) {
		r.watchers.Notify()
	}
}

func (r *Replica) start(ctx context.Context) {
	ctx, r.stop = context.WithCancel(ctx)
	r.peers.start(ctx)
	go r.loop(ctx)
}

func (r *Replica) close() {
	if r.stop != nil {
		r.stop()
		<-r.done
	}
	r.journal.Close()
}

// now returns the monotonic time since the replica was made.
func (r *Replica) now() consensus.Time { return r.clock().Sub(r.started) }

// loop runs ticks and calls until ctx ends. Calls that arrive while a batch is synced to disk
// form the next batch and share one sync.
func (r *Replica) loop(ctx context.Context) {
	defer close(r.done)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			r.failPending(ErrStopped)
			return
		case <-tick.C:
			delay := r.ticks.delayOf(r.clock())
			r.logLateTick(delay)
			if r.ticks.shouldSkip(delay) {
				continue
			}
			r.node.Tick(r.now())
			r.maintainMembership()
			r.updateConfirmation()
		case f := <-r.calls:
			f()
			r.runQueuedCalls()
		}
		r.node.SendProposals()
		r.processReady()
		r.logStartup()
		r.updateLeaderState()
	}
}

// runQueuedCalls runs calls that already wait, up to MaxBatch with the one before.
func (r *Replica) runQueuedCalls() {
	for range r.settings.MaxBatch - 1 {
		select {
		case f := <-r.calls:
			f()
		default:
			return
		}
	}
}

// processReady sends, persists and applies what the consensus node has ready, in the order
// that consensus.Ready requires.
func (r *Replica) processReady() {
	for r.failed == nil {
		rd := r.node.Ready()
		if rd.Empty() {
			break
		}
		r.peers.send(r.node.Peers(), rd.EarlyMessages)
		if err := r.persist(&rd); err != nil {
			r.fail(err)
			return
		}
		r.node.MarkPersisted()
		r.peers.send(r.node.Peers(), rd.Messages)
		if err := r.apply(&rd); err != nil {
			r.fail(err)
			return
		}
	}
	if err := r.node.Err(); err != nil && r.failed == nil {
		r.fail(err)
	}
}

func (r *Replica) persist(rd *consensus.Ready) error {
	if rd.HardState != nil {
		r.hardState = rd.HardState
	}
	if rd.Snapshot != nil {
		if err := r.journal.Compact(rd.Snapshot, r.hardState, nil); err != nil {
			return err
		}
	}
	if rd.HardState == nil && len(rd.Entries) == 0 {
		return nil
	}
	return r.journal.Append(rd.HardState, rd.Entries)
}

func (r *Replica) apply(rd *consensus.Ready) error {
	if rd.Snapshot != nil {
		if err := r.machine.restore(rd.Snapshot.Data); err != nil {
			return err
		}
		r.feed.reset(r.machine.table.Revision(), r.machine.ring, r.ringTracker.changed)
		r.routingVersion.Store(r.machine.routing.Current().GetVersion())
		r.updateEvacuations()
		r.failSnapshottedProposals(rd.Snapshot.Index)
		r.notifyQuarantines(r.machine.quarantine.Suspicions(r.clock())...)
		r.watchers.Notify()
	}
	var changed []*wire.Row
	began := r.clock()
	batch := newRoutingBatch(rd.CommittedEntries)
	for _, e := range rd.CommittedEntries {
		v, err := r.machine.applyInBatch(e, batch)
		if err != nil {
			return err
		}
		if reply, ok := v.(*wire.EditReply); ok && reply.Status == wire.EditStatus_EDIT_STATUS_ACCEPTED && !reply.Replayed {
			changed = append(changed, reply.Rows...)
		}
		if q, ok := v.(quarantineResult); ok {
			r.handleQuarantineResult(q)
		}
		r.completeProposal(e, v)
		r.ringTracker.setEpoch(r.machine.ring.Epoch, r.clock())
		r.entriesSinceSnapshot++
	}
	r.startup.recordApplied(len(rd.CommittedEntries), r.clock().Sub(began))
	r.applyRowChanges(r.clock())
	if slices.ContainsFunc(changed, isEvacuation) {
		r.updateEvacuations()
	}
	r.routingVersion.Store(r.machine.routing.Current().GetVersion())
	if len(rd.CommittedEntries) > 0 {
		r.feed.add(r.machine.table.Revision(), changed, r.machine.ring, r.ringTracker.changed)
		r.watchers.Notify()
	}
	for _, rs := range rd.Reads {
		r.completeRead(rs)
	}
	return r.maybeCompact()
}

// handleQuarantineResult logs a committed quarantine or lifting and passes it on. Its times
// derive from the time in the command, because a replica that restarts applies old commands
// again.
func (r *Replica) handleQuarantineResult(q quarantineResult) {
	if !q.Changed {
		return
	}
	m := quarantine.CommandSuspicion(r.clock(), q.command)
	kernel.Info(r.log, "Quarantine decided.", "key", hex.EncodeToString(m.Key), "route", m.Route, "team", m.Team, "lifted", m.Cleared,
		"upstreams", strings.Join(quarantine.CrashedUpstreams(m), ","), "terms", m.Terms, "left_ms", m.QuarantineMs)
	r.notifyQuarantines(m)
}

func (r *Replica) notifyQuarantines(list ...*wire.Suspicion) {
	if r.onQuarantines != nil && len(list) > 0 {
		r.onQuarantines(list...)
	}
}

// maybeCompact takes a snapshot every SnapshotEvery applied entries, or earlier if these are
// large. This bounds the log that a start must read.
func (r *Replica) maybeCompact() error {
	due := r.entriesSinceSnapshot >= r.settings.SnapshotEvery || r.entriesSinceSnapshot > 0 && r.journal.SegmentFull()
	if !due {
		return nil
	}
	r.entriesSinceSnapshot = 0
	data, err := r.machine.snapshot()
	if err != nil {
		return err
	}
	applied := r.node.Status().Applied
	s := r.node.Compact(applied, data)
	if s == nil {
		return nil
	}
	return r.journal.Compact(s, r.hardState, r.node.EntriesAfter(s.Index))
}

// fail stops the replica for good and fails pending calls. After an error its in-memory state
// may differ from what is durable.
func (r *Replica) fail(err error) {
	r.failed = err
	close(r.failedCh)
	kernel.Warn(r.log, "Replica has failed and stopped.", "err", err)
	r.failPending(merry.Prepend(ErrStopped, err.Error()))
}
