package control

import (
	"context"
	"encoding/hex"
	"hash/maphash"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-kit/log"

	"github.com/snipereach/snipereach/consensus"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/quarantine"
	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wal"
	"github.com/snipereach/snipereach/wire"
)

// Errors of this layer.
var (
	ErrUnavailable = merry.Sentinel("control replica can't answer now")
	// ErrLost says that the log took another entry in the command's place: it
	// was not accepted.
	ErrLost    = merry.Sentinel("command was not accepted")
	ErrStopped = merry.Sentinel("control replica has stopped")
)

const (
	tickInterval = 25 * time.Millisecond
	// callQueue bounds the calls that wait for the loop.
	callQueue = 2048
	// careInterval is how often a leader looks after the membership.
	careInterval = 250 * time.Millisecond
)

// Replica drives one control replica. All state is owned by its loop; methods
// hand work to it.
type Replica struct {
	settings Settings
	log      log.Logger
	identity *wire.Identity
	journal  *wal.Journal
	node     *consensus.Node
	machine  *machine
	peers    *peers
	started  time.Time
	clock    func() time.Time

	calls chan func()
	done  chan struct{}
	stop  context.CancelFunc

	waiting  map[uint64]waiter
	reads    map[uint64]chan<- error
	queued   map[uint64][]uint64
	readID   uint64
	hard     *wire.HardState
	sinceCut int
	// refusedStep is the membership change that could not begin when it was tried last.
	refusedStep step
	lastCare    time.Time
	leads       leaseClock
	leader      leaderWatch
	lateness    lateness
	rings       ringClock
	shares      shareHome
	// pools is read by announcements, outside the loop.
	pools atomic.Pointer[poolSettings]
	// routingVersion is that of the configuration applied here; watchers read it
	// outside the loop.
	routingVersion atomic.Uint64
	feed           feed
	// proposedEpoch is the ring epoch that was proposed last, and when.
	proposedEpoch uint64
	proposedAt    time.Time
	failed        error
	// broken is closed once the replica has failed.
	broken chan struct{}

	// entries lists the entries that are up, for the ring of claim registers.
	entries func() []*wire.RingMember
	// quarantined is called with what is decided about requests in quarantine.
	quarantined func(...*wire.Suspicion) (news bool)

	// watchers are woken after each change.
	watchers kernel.Watchers
}

// idOf returns a replica's name/incarnation.
func idOf(i *wire.Identity) string { return i.Name + "/" + i.Incarnation }

// newReplica makes a replica over an open journal.
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
		peers:   newPeers(pool, id.Address),
		started: s.Now(), clock: s.Now,
		calls:   make(chan func(), callQueue),
		done:    make(chan struct{}),
		broken:  make(chan struct{}),
		waiting: map[uint64]waiter{},
		reads:   map[uint64]chan<- error{},
		queued:  map[uint64][]uint64{},
		hard:    st.Hard,
		leads:   leaseClock{expires: map[string]time.Time{}},
		leader:  leaderWatch{changed: make(chan struct{})},
		rings:   ringClock{changed: s.Now()},
	}
	r.feed.reset(m.table.Revision(), m.ring, r.rings.changed)
	r.routingVersion.Store(m.routing.Current().GetVersion())
	r.confirm()
	return r, nil
}

// confirm tells watchers since when the rows are current. A failed replica goes
// on hearing of commits that it doesn't apply.
//
// Watchers are woken when the rows become current: an entry that has just started takes
// its first configuration from a replica that is, and was told so up to half a second
// later, while its callers waited.
func (r *Replica) confirm() {
	if r.failed != nil {
		return
	}
	before := r.feed.current(r.now())
	r.feed.confirm(r.now() - r.node.ConfirmedAge(r.now()))
	if !before && r.feed.current(r.now()) {
		r.watchers.Wake()
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

// now is the replica's monotonic time.
func (r *Replica) now() consensus.Time { return r.clock().Sub(r.started) }

// loop runs calls in batches: what gathers while one batch is synced shares the
// next sync.
func (r *Replica) loop(ctx context.Context) {
	defer close(r.done)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			r.failAll(ErrStopped)
			return
		case <-tick.C:
			late := r.lateness.late(r.clock())
			r.tellLate(late)
			if r.lateness.postpone(late) {
				continue
			}
			r.node.Tick(r.now())
			r.care()
			r.confirm()
		case f := <-r.calls:
			f()
			r.runQueued()
		}
		r.node.Flush()
		r.process()
		r.followLeader()
	}
}

func (r *Replica) runQueued() {
	for range r.settings.MaxBatch - 1 {
		select {
		case f := <-r.calls:
			f()
		default:
			return
		}
	}
}

// process does what the log asks for, in the order that Ready demands.
func (r *Replica) process() {
	for r.failed == nil {
		rd := r.node.Ready()
		if rd.Empty() {
			break
		}
		r.peers.send(r.node.Peers(), rd.Early)
		if err := r.persist(&rd); err != nil {
			r.fail(err)
			return
		}
		r.node.Persisted()
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
	if rd.Hard != nil {
		r.hard = rd.Hard
	}
	if rd.Snapshot != nil {
		if err := r.journal.Compact(rd.Snapshot, r.hard, nil); err != nil {
			return err
		}
	}
	if rd.Hard == nil && len(rd.Entries) == 0 {
		return nil
	}
	return r.journal.Append(rd.Hard, rd.Entries)
}

func (r *Replica) apply(rd *consensus.Ready) error {
	if rd.Snapshot != nil {
		if err := r.machine.restore(rd.Snapshot.Data); err != nil {
			return err
		}
		r.feed.reset(r.machine.table.Revision(), r.machine.ring, r.rings.changed)
		r.routingVersion.Store(r.machine.routing.Current().GetVersion())
		r.forgetWaiting(rd.Snapshot.Index)
		r.tellQuarantined(r.machine.quarantine.Told(r.clock())...)
		r.watchers.Wake()
	}
	var changed []*wire.Row
	for _, e := range rd.Apply {
		var v any
		if e.Type == wire.EntryType_ENTRY_TYPE_COMMAND {
			var err error
			if v, err = r.machine.apply(e.Index, e.Data); err != nil {
				return err
			}
		}
		if reply, ok := v.(*wire.EditReply); ok && reply.Status == wire.EditStatus_EDIT_STATUS_ACCEPTED && !reply.Replayed {
			changed = append(changed, reply.Rows...)
		}
		if q, ok := v.(quarantineResult); ok {
			r.quarantineDecided(q)
		}
		r.answer(e, v)
		r.rings.follow(r.machine.ring.Epoch, r.clock())
		r.sinceCut++
	}
	r.followRows(r.clock())
	r.routingVersion.Store(r.machine.routing.Current().GetVersion())
	if len(rd.Apply) > 0 {
		r.feed.add(r.machine.table.Revision(), changed, r.machine.ring, r.rings.changed)
		r.watchers.Wake()
	}
	for _, rs := range rd.Reads {
		r.answerRead(rs)
	}
	return r.maybeCompact()
}

// quarantineDecided takes a committed quarantine, or the end of one. Its times are those of the
// decision: a replica that starts applies it again, days later, between others.
func (r *Replica) quarantineDecided(q quarantineResult) {
	if !q.Changed {
		return
	}
	m := quarantine.Decided(r.clock(), q.command)
	kernel.Info(r.log, "Quarantine decided.", "key", hex.EncodeToString(m.Key), "route", m.Route, "team", m.Team, "lifted", m.Cleared,
		"upstreams", strings.Join(quarantine.Upstreams(m), ","), "terms", m.Terms, "left_ms", m.QuarantineMs)
	r.tellQuarantined(m)
}

func (r *Replica) tellQuarantined(list ...*wire.Suspicion) {
	if r.quarantined != nil && len(list) > 0 {
		r.quarantined(list...)
	}
}

// maybeCompact takes a snapshot once enough entries have gathered, so that a
// start reads a bounded log however many edits there were.
func (r *Replica) maybeCompact() error {
	if r.sinceCut < r.settings.SnapshotEvery {
		return nil
	}
	r.sinceCut = 0
	data, err := r.machine.snapshot()
	if err != nil {
		return err
	}
	applied := r.node.Status().Applied
	s := r.node.Compact(applied, data)
	if s == nil {
		return nil
	}
	return r.journal.Compact(s, r.hard, r.node.EntriesAfter(s.Index))
}

// fail stops the replica for good: it can no longer promise that what it says
// is durable.
func (r *Replica) fail(err error) {
	r.failed = err
	close(r.broken)
	kernel.Warn(r.log, "Replica has failed and takes part no more.", "err", err)
	r.failAll(merry.Prepend(ErrStopped, err.Error()))
}
