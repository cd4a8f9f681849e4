package control

import (
	"context"
	"hash/maphash"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"

	"github.com/snipereach/snipereach/consensus"
	"github.com/snipereach/snipereach/journal"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/transport"
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
	journal  *journal.Journal
	node     *consensus.Node
	machine  *machine
	peers    *peers
	started  time.Time

	calls chan func()
	done  chan struct{}
	stop  context.CancelFunc

	waiting  map[uint64]waiter
	reads    map[uint64]chan<- error
	queued   map[uint64][]uint64
	readID   uint64
	hard     *wire.HardState
	sinceCut int
	lastCare time.Time
	leads    leaseClock
	rings    ringClock
	shares   shareHome
	// pools is read by announcements, outside the loop.
	pools atomic.Pointer[poolSettings]
	feed  feed
	// proposedEpoch is the ring epoch that was proposed last, and when.
	proposedEpoch uint64
	proposedAt    time.Time
	failed        error

	// entries lists the entries that are up, for the ring of claim registers.
	entries func() []*wire.RingMember

	mu       sync.Mutex
	watchers map[chan struct{}]struct{}
}

type waiter struct {
	term  uint64
	reply chan<- result
}

type result struct {
	value any
	err   error
}

// idOf returns a replica's name/incarnation.
func idOf(i *wire.Identity) string { return i.Name + "/" + i.Incarnation }

// newReplica makes a replica over an open journal.
func newReplica(s Settings, l log.Logger, id *wire.Identity, j *journal.Journal, st consensus.Restored, pool *transport.Pool) (*Replica, error) {
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
		started: time.Now(),
		calls:   make(chan func(), callQueue),
		done:    make(chan struct{}),
		waiting: map[uint64]waiter{},
		reads:   map[uint64]chan<- error{},
		queued:  map[uint64][]uint64{},
		hard:    st.Hard, watchers: map[chan struct{}]struct{}{},
		leads: leaseClock{expires: map[string]time.Time{}},
		rings: ringClock{changed: time.Now()},
	}
	r.feed.reset(m.table.Revision(), m.ring, r.rings.changed)
	return r, nil
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
func (r *Replica) now() consensus.Time { return time.Since(r.started) }

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
			r.node.Tick(r.now())
			r.care()
			r.feed.confirm(r.now() - r.node.ConfirmedAge(r.now()))
		case f := <-r.calls:
			f()
			r.runQueued()
		}
		r.node.Flush()
		r.process()
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
		r.forgetWaiting(rd.Snapshot.Index)
		r.wake()
	}
	var changed []*wire.Row
	for _, e := range rd.Apply {
		var v any
		if e.Type == wire.EntryType_ENTRY_TYPE_COMMAND {
			v = r.machine.apply(e.Index, e.Data)
		}
		if reply, ok := v.(*wire.EditReply); ok && reply.Status == wire.EditStatus_EDIT_STATUS_ACCEPTED && !reply.Replayed {
			changed = append(changed, reply.Rows...)
		}
		r.answer(e, v)
		r.rings.follow(r.machine.ring.Epoch, time.Now())
		r.sinceCut++
	}
	r.followRows(time.Now())
	if len(rd.Apply) > 0 {
		r.feed.add(r.machine.table.Revision(), changed, r.machine.ring, r.rings.changed)
		r.wake()
	}
	for _, rs := range rd.Reads {
		r.answerRead(rs)
	}
	return r.maybeCompact()
}

func (r *Replica) answer(e *wire.LogEntry, v any) {
	w, ok := r.waiting[e.Index]
	if !ok {
		return
	}
	delete(r.waiting, e.Index)
	if w.term != e.Term {
		w.reply <- result{err: ErrLost}
		return
	}
	w.reply <- result{value: v}
}

// forgetWaiting answers proposals that a snapshot has passed over: whether they
// are in it isn't known here, so they are to be sent again with the same ID.
func (r *Replica) forgetWaiting(index uint64) {
	for i, w := range r.waiting {
		if i <= index {
			delete(r.waiting, i)
			w.reply <- result{err: merry.Prepend(ErrUnavailable, "the replica was sent a snapshot")}
		}
	}
}

func (r *Replica) answerRead(rs consensus.ReadState) {
	ch := r.reads[rs.ID]
	delete(r.reads, rs.ID)
	if ch == nil {
		return
	}
	if !rs.OK {
		ch <- ErrUnavailable
		return
	}
	ch <- nil
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
	kernel.Warn(r.log, "Replica has failed and takes part no more.", "err", err)
	r.failAll(merry.Prepend(ErrStopped, err.Error()))
}

func (r *Replica) failAll(err error) {
	for i, w := range r.waiting {
		delete(r.waiting, i)
		w.reply <- result{err: err}
	}
	for i, ch := range r.reads {
		delete(r.reads, i)
		ch <- err
	}
}

// do runs a function in the loop.
func (r *Replica) do(ctx context.Context, f func()) error {
	ran := make(chan struct{})
	select {
	case r.calls <- func() { f(); close(ran) }:
	case <-ctx.Done():
		return merry.Prepend(ErrUnavailable, ctx.Err().Error())
	case <-r.done:
		return ErrStopped
	}
	select {
	case <-ran:
		return nil
	case <-r.done:
		return ErrStopped
	}
}

// post hands a function to the loop and doesn't wait for it.
func (r *Replica) post(ctx context.Context, f func()) error {
	select {
	case r.calls <- f:
		return nil
	case <-ctx.Done():
		return merry.Prepend(ErrUnavailable, ctx.Err().Error())
	case <-r.done:
		return ErrStopped
	}
}

// propose puts a command on the log and waits for its result.
func (r *Replica) propose(ctx context.Context, c *wire.Command) (any, error) {
	data, err := proto.Marshal(c)
	if err != nil {
		return nil, merry.Prepend(ErrUnavailable, err.Error())
	}
	reply := make(chan result, 1)
	var perr error
	if err := r.do(ctx, func() { perr = r.proposeNow(data, reply) }); err != nil {
		return nil, err
	}
	if perr != nil {
		return nil, perr
	}
	select {
	case res := <-reply:
		return res.value, res.err
	case <-ctx.Done():
		return nil, merry.Prepend(ErrUnavailable, ctx.Err().Error())
	case <-r.done:
		return nil, ErrStopped
	}
}

func (r *Replica) proposeNow(data []byte, reply chan<- result) error {
	if r.failed != nil {
		return merry.Prepend(ErrStopped, r.failed.Error())
	}
	index, term, err := r.node.Propose(r.now(), data)
	if err != nil {
		return merry.Prepend(ErrUnavailable, err.Error())
	}
	if old, ok := r.waiting[index]; ok {
		// The entry that waited here was overwritten by a newer leader's.
		old.reply <- result{err: ErrLost}
	}
	r.waiting[index] = waiter{term: term, reply: reply}
	return nil
}

// barrier returns once this replica's state holds all that was accepted before
// the call; leaders only.
func (r *Replica) barrier(ctx context.Context) error {
	ch := make(chan error, 1)
	err := r.do(ctx, func() {
		if r.failed != nil {
			ch <- merry.Prepend(ErrStopped, r.failed.Error())
			return
		}
		r.readID++
		if err := r.node.Read(r.now(), r.readID); err != nil {
			ch <- merry.Prepend(ErrUnavailable, err.Error())
			return
		}
		r.reads[r.readID] = ch
	})
	if err != nil {
		return err
	}
	select {
	case err := <-ch:
		return err
	case <-ctx.Done():
		return merry.Prepend(ErrUnavailable, ctx.Err().Error())
	case <-r.done:
		return ErrStopped
	}
}

// subscribe returns a channel that is sent to after each change.
func (r *Replica) subscribe() (chan struct{}, func()) {
	ch := make(chan struct{}, 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watchers[ch] = struct{}{}
	return ch, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.watchers, ch)
	}
}

func (r *Replica) wake() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for ch := range r.watchers {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

// care lets a leader look after the membership.
func (r *Replica) care() {
	r.leads.follow(r.node.IsLeader(), time.Now())
	r.followHome()
	if !r.node.IsLeader() || time.Since(r.lastCare) < careInterval {
		return
	}
	r.lastCare = time.Now()
	members := r.memberList()
	voters := 0
	for _, m := range members {
		if !m.Learner && m.live {
			voters++
		}
	}
	if !r.machine.formed && voters >= r.settings.voterTarget() {
		r.proposeFormed()
	}
	r.careRing()
	s := nextStep(members, r.settings.voterTarget())
	var err error
	switch {
	case s.promote != "":
		err = r.node.Promote(r.now(), s.promote)
	case s.remove != "":
		err = r.node.Remove(r.now(), s.remove)
	default:
		return
	}
	if err == nil {
		kernel.Info(r.log, "Membership changes.", "promote", s.promote, "remove", s.remove)
	}
}

func (r *Replica) alive(id string) bool {
	if r.node.Live(id) {
		r.leads.heard(id, time.Now())
		return true
	}
	return !r.leads.silentFor(id, time.Now(), r.settings.ReplaceAfter.D())
}

func (r *Replica) proposeFormed() {
	data, err := proto.Marshal(&wire.Command{Command: &wire.Command_Formed{Formed: &wire.Formed{}}})
	if err == nil {
		_, _, _ = r.node.Propose(r.now(), data)
	}
}
