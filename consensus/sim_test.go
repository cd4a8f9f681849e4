package consensus

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
	"google.golang.org/protobuf/proto"

	"github.com/snipereach/snipereach/wire"
)

// sim runs replicas in virtual time under a seeded fault schedule. It checks the
// invariants after each step of a replica and panics with a violation.
type sim struct {
	rnd        *rand.Rand
	now        time.Duration
	replicas   map[string]*simReplica
	replicaIDs []string
	queue      simQueue
	seq        int
	cutLinks   map[[2]string]bool
	disabled   disabledSafeguards
	lossy      bool

	leaders   map[uint64]string
	committed map[uint64]uint64
	accepted  map[uint64]string
	// acceptances holds the highest accepted index by time.
	acceptances []acceptance

	history        []porcupine.Operation
	proposedWrites map[string]*simOp
	inflightReads  map[string]map[uint64]*simOp
	nextID         uint64
	replacements   map[string]string
	incarnations   int
	lastConfig     *wire.Configuration
	trace          []string
}

// disabledSafeguards lists the safeguards that a schedule runs without.
type disabledSafeguards struct {
	node safeguards
	// syncBeforeSend: messages are sent only after their records are durable.
	syncBeforeSend bool
	// newIdentityAfterLoss: a replica that lost its disk returns with a new identity.
	newIdentityAfterLoss bool
}

type simReplica struct {
	id        string
	node      *Node
	disk      simDisk
	up        bool
	clockRate float64
	value     string
	applied   uint64
	// bootedAt is when the process started; its clock starts there.
	bootedAt time.Duration
	// diskLost reports that the disk is lost; this identity never returns.
	diskLost bool
	// pausedUntil is when a paused process resumes; messages to it wait until then.
	pausedUntil time.Duration
}

// simDisk is the durable content of a data folder.
type simDisk struct {
	hardState *wire.HardState
	snapshot  *wire.LogSnapshot
	log       []*wire.LogEntry
	fresh     bool
}

type simOp struct {
	client int
	write  string
	call   time.Duration
	done   bool
}

type acceptance struct {
	acceptedAt time.Duration
	index      uint64
}

type simMessage struct {
	deliverAt time.Duration
	seq       int
	message   *wire.RaftMessage
}

type simQueue []simMessage

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].deliverAt < q[j].deliverAt || q[i].deliverAt == q[j].deliverAt && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simMessage)) }
func (q *simQueue) Pop() any {
	old := *q
	m := old[len(old)-1]
	*q = old[:len(old)-1]
	return m
}

type violation struct{ text string }

// Kinds of violations.
const (
	twoLeaders   = "two leaders in a term"
	changedEntry = "committed entry changed"
	lostEntry    = "accepted entry lost"
	lostAck      = "acknowledged record lost"
	staleRead    = "reads are not linearizable"
	staleState   = "state is older than reported"
)

func (s *sim) failf(format string, args ...any) {
	panic(violation{fmt.Sprintf("t=%v: ", s.now) + fmt.Sprintf(format, args...) + "\n" + strings.Join(s.trace, "\n")})
}

func (s *sim) tracef(format string, args ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%8v ", s.now)+fmt.Sprintf(format, args...))
}

func newSim(seed uint64, voters int, disabled disabledSafeguards) *sim {
	s := &sim{
		rnd:      rand.New(rand.NewPCG(seed, 77)),
		replicas: map[string]*simReplica{}, cutLinks: map[[2]string]bool{}, disabled: disabled,
		leaders: map[uint64]string{}, committed: map[uint64]uint64{}, accepted: map[uint64]string{},
		proposedWrites: map[string]*simOp{}, inflightReads: map[string]map[uint64]*simOp{}, replacements: map[string]string{},
	}
	var peers []*wire.Peer
	for i := range voters {
		peers = append(peers, &wire.Peer{Id: fmt.Sprintf("r%d", i)})
	}
	s.lastConfig = &wire.Configuration{Peers: peers}
	snapshot := &wire.LogSnapshot{Index: 1, Term: 1, Config: s.lastConfig}
	for _, p := range peers {
		s.addReplica(p.Id, simDisk{hardState: &wire.HardState{Term: 1, Commit: 1}, snapshot: snapshot, fresh: true})
	}
	return s
}

func (s *sim) addReplica(id string, d simDisk) {
	r := &simReplica{id: id, disk: d, clockRate: 1 + 0.08*s.rnd.Float64()}
	s.replicas[id] = r
	s.replicaIDs = append(s.replicaIDs, id)
	s.start(r)
}

func (s *sim) start(r *simReplica) {
	cfg := DefaultConfig(r.id)
	cfg.Rand = s.rnd
	cfg.disabled = s.disabled.node
	cfg.MaxEntries = 4
	r.bootedAt = s.now
	r.node = New(cfg, Restored{
		HardState: r.disk.hardState, Snapshot: r.disk.snapshot,
		Entries: append([]*wire.LogEntry(nil), r.disk.log...), Fresh: r.disk.fresh,
	}, 0)
	r.up = true
	r.value, r.applied = "", 0
	if r.disk.snapshot != nil {
		r.value, r.applied = string(r.disk.snapshot.Data), r.disk.snapshot.Index
	}
	s.inflightReads[r.id] = map[uint64]*simOp{}
}

func (s *sim) clock(r *simReplica) time.Duration {
	return time.Duration(float64(s.now-r.bootedAt) * r.clockRate)
}

// processReady carries out the work of a Ready, possibly crashing before the sync.
func (s *sim) processReady(r *simReplica) {
	for r.up {
		rd := r.node.Ready()
		if rd.Empty() {
			break
		}
		s.sendAll(rd.EarlyMessages)
		if s.disabled.syncBeforeSend {
			s.sendAll(rd.Messages)
		}
		if rd.MustSync() && s.lossy && s.rnd.IntN(400) == 0 {
			s.tracef("%s crashes before its sync", r.id)
			s.crash(r)
			return
		}
		r.disk.persist(&rd)
		r.node.MarkPersisted()
		if !s.disabled.syncBeforeSend {
			s.sendAll(rd.Messages)
		}
		s.apply(r, &rd)
	}
	s.checkReplica(r)
}

func (d *simDisk) persist(rd *Ready) {
	if rd.HardState != nil {
		d.hardState = rd.HardState
	}
	if rd.Snapshot != nil {
		d.snapshot, d.log = rd.Snapshot, nil
	}
	if len(rd.Entries) > 0 {
		keep := 0
		for keep < len(d.log) && d.log[keep].Index < rd.Entries[0].Index {
			keep++
		}
		d.log = append(d.log[:keep:keep], rd.Entries...)
	}
	if rd.MustSync() {
		d.fresh = false
	}
}

func (s *sim) apply(r *simReplica, rd *Ready) {
	if rd.Snapshot != nil {
		r.value, r.applied = string(rd.Snapshot.Data), rd.Snapshot.Index
	}
	for _, e := range rd.CommittedEntries {
		if e.Index != r.applied+1 {
			s.failf("%s applies %d after %d", r.id, e.Index, r.applied)
		}
		s.checkCommitted(r, e)
		r.applied = e.Index
		if e.Type == wire.EntryType_ENTRY_TYPE_COMMAND {
			r.value = string(e.Data)
		}
		s.completeWrite(r, e)
	}
	for _, rs := range rd.Reads {
		s.completeRead(r, rs)
	}
	if r.applied > r.node.Status().First+20 {
		if snapshot := r.node.Compact(r.applied, []byte(r.value)); snapshot != nil {
			r.disk.compact(snapshot)
		}
	}
}

func (d *simDisk) compact(snapshot *wire.LogSnapshot) {
	d.snapshot = snapshot
	var kept []*wire.LogEntry
	for _, e := range d.log {
		if e.Index > snapshot.Index {
			kept = append(kept, e)
		}
	}
	d.log = kept
}

func digest(e *wire.LogEntry) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d/%d/%s", e.Term, e.Type, e.Data)
	return h.Sum64()
}

// checkCommitted fails if replicas apply different entries at the same index.
func (s *sim) checkCommitted(r *simReplica, e *wire.LogEntry) {
	d := digest(e)
	if old, ok := s.committed[e.Index]; ok && old != d {
		s.failf(changedEntry+": %s applies another entry at %d", r.id, e.Index)
	}
	s.committed[e.Index] = d
}

// checkReplica fails if a term has two leaders or the replica understates its staleness.
func (s *sim) checkReplica(r *simReplica) {
	if r.up && r.node.role == Leader {
		if old, ok := s.leaders[r.node.term]; ok && old != r.id {
			s.failf(twoLeaders+": %s and %s lead term %d", old, r.id, r.node.term)
		}
		s.leaders[r.node.term] = r.id
	}
	if r.up {
		s.checkConfirmed(r)
	}
}

// checkConfirmed fails if a replica lacks an entry that was accepted before the time as
// of which it reports its state as current.
func (s *sim) checkConfirmed(r *simReplica) {
	age := time.Duration(float64(r.node.ConfirmedAge(s.clock(r))) / r.clockRate)
	// The margin covers rounding errors of the clock rate.
	confirmedAt := s.now - age - time.Microsecond
	n := sort.Search(len(s.acceptances), func(i int) bool { return s.acceptances[i].acceptedAt >= confirmedAt })
	if n > 0 && s.acceptances[n-1].index > r.applied {
		s.failf(staleState+": %s has applied %d and reports being current at %v, when %d was accepted", r.id, r.applied, confirmedAt, s.acceptances[n-1].index)
	}
}

func (s *sim) recordAcceptance(index uint64) {
	if n := len(s.acceptances); n > 0 {
		index = max(index, s.acceptances[n-1].index)
	}
	s.acceptances = append(s.acceptances, acceptance{s.now, index})
}

func (s *sim) sendAll(list []*wire.RaftMessage) {
	for _, m := range list {
		s.transmit(m)
	}
}

func (s *sim) transmit(m *wire.RaftMessage) {
	if s.cutLinks[[2]string{m.From, m.To}] {
		return
	}
	copies := 1
	if s.lossy {
		switch s.rnd.IntN(20) {
		case 0:
			return
		case 1:
			copies = 2
		}
	}
	for range copies {
		delay := time.Millisecond + time.Duration(s.rnd.IntN(3000))*time.Microsecond
		if s.lossy && s.rnd.IntN(15) == 0 {
			delay += time.Duration(s.rnd.IntN(1500)) * time.Millisecond
		}
		s.seq++
		heap.Push(&s.queue, simMessage{s.now + delay, s.seq, proto.Clone(m).(*wire.RaftMessage)})
	}
}

func (s *sim) crash(r *simReplica) {
	r.up = false
	r.node = nil
}

// step advances the time by one tick and delivers the messages that are due.
func (s *sim) step() {
	s.now += 20 * time.Millisecond
	for len(s.queue) > 0 && s.queue[0].deliverAt <= s.now {
		msg := heap.Pop(&s.queue).(simMessage)
		m := msg.message
		if r := s.replicas[m.To]; r != nil && r.up {
			if r.pausedUntil > s.now {
				msg.deliverAt = r.pausedUntil
				heap.Push(&s.queue, msg)
				continue
			}
			r.node.Step(s.clock(r), m)
			s.processReady(r)
		}
	}
	for _, id := range s.replicaIDs {
		r := s.replicas[id]
		if !r.up || r.pausedUntil > s.now {
			continue
		}
		r.node.Tick(s.clock(r))
		s.processReady(r)
		if r.up && r.node.Err() != nil {
			s.failf(lostAck+": %v", r.node.Err())
		}
	}
	s.replaceLostReplicas()
	s.lastKnownConfig()
}

// runClients sends reads and writes to replicas that believe they lead.
func (s *sim) runClients() {
	for _, id := range s.replicaIDs {
		r := s.replicas[id]
		if !r.up || r.node.role != Leader || s.rnd.IntN(6) != 0 {
			continue
		}
		s.nextID++
		if s.rnd.IntN(2) == 0 {
			s.proposeWrite(r)
			continue
		}
		s.inflightReads[id][s.nextID] = &simOp{client: int(s.nextID), call: s.now}
		if r.node.RequestRead(s.clock(r), s.nextID) != nil {
			delete(s.inflightReads[id], s.nextID)
		}
		s.processReady(r)
	}
}

func (s *sim) proposeWrite(r *simReplica) {
	v := fmt.Sprintf("v%d", s.nextID)
	if _, _, err := r.node.Propose(s.clock(r), []byte(v)); err != nil {
		return
	}
	s.proposedWrites[v] = &simOp{client: int(s.nextID), write: v, call: s.now}
	r.node.SendProposals()
	s.processReady(r)
}

// completeWrite marks a write as accepted when a leader applies it, even if another
// replica proposed it.
func (s *sim) completeWrite(r *simReplica, e *wire.LogEntry) {
	op := s.proposedWrites[string(e.Data)]
	if op == nil || op.done || r.node.role != Leader {
		return
	}
	op.done = true
	s.accepted[e.Index] = op.write
	s.recordAcceptance(e.Index)
	s.history = append(s.history, porcupine.Operation{
		ClientId: op.client, Input: op.write, Call: int64(op.call), Output: "", Return: int64(s.now) + 1,
	})
}

func (s *sim) completeRead(r *simReplica, rs ReadState) {
	op := s.inflightReads[r.id][rs.ID]
	if op == nil {
		return
	}
	delete(s.inflightReads[r.id], rs.ID)
	if !rs.OK {
		return
	}
	if r.applied < rs.Index {
		s.failf("%s answers a read at %d, applied %d", r.id, rs.Index, r.applied)
	}
	s.history = append(s.history, porcupine.Operation{
		ClientId: op.client, Input: "", Call: int64(op.call), Output: r.value, Return: int64(s.now) + 1,
	})
}

var registerModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		if input.(string) != "" {
			return true, input
		}
		return output == state, state
	},
}

// checkHistory fails unless the accepted writes and the reads are linearizable. A write
// without an answer may take effect at any time after its call.
func (s *sim) checkHistory() {
	ops := append([]porcupine.Operation(nil), s.history...)
	seen := map[string]bool{}
	for _, op := range s.history {
		if out, ok := op.Output.(string); ok && op.Input == "" {
			seen[out] = true
		}
	}
	keys := make([]string, 0, len(s.proposedWrites))
	for v := range s.proposedWrites {
		keys = append(keys, v)
	}
	sort.Strings(keys)
	for _, v := range keys {
		if op := s.proposedWrites[v]; !op.done && seen[v] {
			ops = append(ops, porcupine.Operation{ClientId: op.client, Input: v, Call: int64(op.call), Output: "", Return: int64(s.now) + 2})
		}
	}
	if porcupine.CheckOperationsTimeout(registerModel, ops, 5*time.Second) == porcupine.Illegal {
		s.failf(staleRead)
	}
}

// loseDisk erases a replica's disk. The replica returns with a new identity as a learner
// and is promoted once it has caught up.
func (s *sim) loseDisk(r *simReplica) {
	s.tracef("%s loses its folder", r.id)
	s.crash(r)
	if s.disabled.newIdentityAfterLoss {
		r.disk = simDisk{snapshot: &wire.LogSnapshot{Index: 1, Term: 1, Config: s.lastKnownConfig()}, hardState: &wire.HardState{Term: 1, Commit: 1}, fresh: true}
		s.start(r)
		return
	}
	r.diskLost = true
	s.incarnations++
	id := fmt.Sprintf("%s.%d", r.id[:2], s.incarnations)
	s.replacements[id] = r.id
	s.addReplica(id, simDisk{fresh: true})
}

// lastKnownConfig returns the membership known to the current or else the last leader.
func (s *sim) lastKnownConfig() *wire.Configuration {
	if l := s.leader(); l != nil {
		s.lastConfig = l.node.log.config()
	}
	return s.lastConfig
}

// replaceLostReplicas performs the next step of each replacement through the leader, as
// the operator's replace command does.
func (s *sim) replaceLostReplicas() {
	for id, old := range s.replacements {
		l := s.leader()
		if l == nil {
			return
		}
		now := s.clock(l)
		switch {
		case !hasPeer(l.node, id):
			_ = l.node.AddLearner(now, &wire.Peer{Id: id})
		case !l.node.isVoter(id):
			_ = l.node.PromoteLearner(now, id)
		case hasPeer(l.node, old):
			_ = l.node.RemovePeer(now, old)
		case l.node.log.configIndex() <= l.node.log.committed:
			s.tracef("%s has replaced %s", id, old)
			delete(s.replacements, id)
		}
		s.processReady(l)
	}
}

func hasPeer(n *Node, id string) bool {
	for _, p := range n.Peers() {
		if p.Id == id {
			return true
		}
	}
	return false
}

func (s *sim) leader() *simReplica {
	for _, id := range s.replicaIDs {
		if r := s.replicas[id]; r.up && r.node.IsLeader(s.clock(r)) {
			return r
		}
	}
	return nil
}
