package claim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/internal/schedule"
	"github.com/snipereach/snipereach/wire"
)

const (
	scheduleCount = 10_000
	simTTL        = 4 * time.Second
	simDeadline   = time.Second
)

// sim runs entries with registers, and callers that resend, in virtual time.
type sim struct {
	rnd *rand.Rand
	// clocks is separate from rnd, so that clocks that are set back don't change the rest
	// of a schedule.
	clocks *rand.Rand
	// disks drives faults of data folders; nil if no entry has one.
	disks       *rand.Rand
	now         time.Time
	queue       simQueue
	seq         int
	entries     []*simEntry
	ring        *wire.Ring
	ringChanged time.Time
	cutLinks    map[[2]int]bool
	disabled    disabledSafeguards

	keys  map[string]*simKey
	trace []string
}

type simEntry struct {
	index  int
	up     bool
	starts uint64
	// incarnation is the incarnation number of the process. It is lower than an earlier
	// one if the host's clock was set back in between.
	incarnation   uint64
	reg           *Register
	ring          *wire.Ring
	ringConfirmed time.Time
	disk          *simDisk
	seenGrants    SeenGrants
}

// incarnationStep is the increase of the incarnation number from one start to the next if
// the host's clock isn't set back.
const incarnationStep = 1000

// simKey is a key with the request and the resends of one caller.
type simKey struct {
	key       *wire.ClaimKey
	firstSent time.Time
	runs      int
	answers   map[string]bool
}

type simEvent struct {
	at  time.Time
	seq int
	run func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

type safetyViolation struct{ text string }

// Descriptions of violated rules, as they appear in failures.
const (
	ranTwice         = "ran twice"
	notRunAfterRun   = "reported as not run after a run"
	differentAnswers = "two different answers"
	tooFewRuns       = "too few requests ran"
)

func (s *sim) failf(format string, args ...any) {
	panic(safetyViolation{fmt.Sprintf(format, args...) + "\n" + strings.Join(s.trace, "\n")})
}

func (s *sim) tracef(format string, args ...any) {
	s.trace = append(s.trace, s.now.Format("05.000 ")+fmt.Sprintf(format, args...))
}

func (s *sim) schedule(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{s.now.Add(d), s.seq, f})
}

func (s *sim) randomDuration(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(s.rnd.Int64N(int64(hi-lo)))
}

func newSim(seed uint64, n int, disabled disabledSafeguards, disks *rand.Rand) *sim {
	s := &sim{
		rnd: rand.New(rand.NewPCG(seed, 9)), clocks: rand.New(rand.NewPCG(seed, 10)), now: time.Unix(1000, 0),
		disks: disks, cutLinks: map[[2]int]bool{}, disabled: disabled, keys: map[string]*simKey{}, ring: &wire.Ring{Epoch: 1},
	}
	for i := range n {
		e := &simEntry{index: i, disk: s.newDisk()}
		s.entries = append(s.entries, e)
		s.startEntry(e)
		if i < 4 {
			s.ring.Members = append(s.ring.Members, s.member(e))
		}
	}
	for _, e := range s.entries {
		s.sendRing(e)
	}
	return s
}

func entryID(n int) string { return "e" + strconv.Itoa(n) }

func entryIndex(id string) int { return int(id[1] - '0') }

func (s *sim) member(e *simEntry) *wire.RingMember {
	return &wire.RingMember{Id: entryID(e.index), FailureDomain: fmt.Sprintf("hall-%d", e.index%3), Incarnation: e.reg.Status().Life}
}

func (s *sim) startEntry(e *simEntry) {
	settings := DefaultRegisterSettings()
	settings.MaxTTL = simTTL
	settings.disabled = s.disabled
	e.up = true
	e.starts++
	e.incarnation = (e.starts + 3) * incarnationStep
	if e.starts > 1 && s.clocks.IntN(4) == 0 {
		// Different from the numbers of all other starts.
		e.incarnation -= uint64(s.clocks.IntN(3)*incarnationStep+incarnationStep/2) + 10*e.starts
		s.tracef("%s starts with its clock set back", entryID(e.index))
	}
	process := &wire.Incarnation{Id: entryID(e.index), Number: e.incarnation}
	e.seenGrants = SeenGrants{}
	e.ring = &wire.Ring{}
	if e.disk == nil {
		e.reg = NewRegister(settings, process, s.now)
	} else {
		s.startFromDisk(e, settings, process)
	}
	s.copyLoop(e, e.starts, 0)
}

// sendRing gives an entry the current ring.
func (s *sim) sendRing(e *simEntry) {
	if e.up {
		e.ring = s.ring
		e.ringConfirmed = s.now
		e.reg.SetRing(s.ring)
	}
}

// deliver delivers a message between two entries, perhaps late or twice, or loses it.
func (s *sim) deliver(from, to int, f func()) {
	if from == to {
		s.schedule(0, f)
		return
	}
	copies := 1
	switch s.rnd.IntN(25) {
	case 0:
		return
	case 1:
		copies = 2
	}
	if s.cutLinks[[2]int{from, to}] {
		return
	}
	for range copies {
		d := s.randomDuration(time.Millisecond, 5*time.Millisecond)
		if s.rnd.IntN(8) == 0 {
			d += s.randomDuration(0, 250*time.Millisecond)
		}
		if s.rnd.IntN(30) == 0 {
			d += s.randomDuration(0, 2*time.Second)
		}
		s.schedule(d, f)
	}
}

// copyLoop makes a restarted register copy from its peers, and check its folder with them.
func (s *sim) copyLoop(e *simEntry, starts uint64, try int) {
	wait := 15 * time.Millisecond
	if try > 6 {
		wait = 250 * time.Millisecond
	}
	s.schedule(wait, func() {
		if !e.up || e.starts != starts {
			return
		}
		toCopy, unchecked := e.reg.PeersToCopy(s.now), e.reg.UncheckedPeers(s.now)
		if len(toCopy)+len(unchecked) == 0 && e.reg.Epoch() > 0 {
			return
		}
		s.requestSeen(e, starts, unchecked)
		for _, m := range toCopy {
			n := entryIndex(m.Id)
			peer := s.entries[n]
			q := &wire.ClaimCopyRequest{From: e.reg.self, RingEpoch: e.reg.Epoch()}
			s.deliver(e.index, n, func() {
				if !peer.up {
					return
				}
				c := peer.reg.CopyRecords(s.now, q)
				s.afterSync(peer, func() {
					s.deliver(n, e.index, func() {
						if !e.up || e.starts != starts || e.reg.self != q.From {
							return
						}
						if c.SupersededBy != 0 && !s.applySeen(e, m.Id, &wire.ClaimSeen{Life: &wire.Incarnation{Number: c.SupersededBy}}) {
							e.reg.RaiseIncarnation(c.SupersededBy + 1)
						}
						if e.reg.self == q.From {
							e.reg.ApplyCopy(s.now, m.Id, c)
						}
						s.afterSync(e, func() {})
					})
				})
			})
		}
		s.copyLoop(e, starts, try+1)
	})
}

// simRequest is one sending of a key's request through one entry.
type simRequest struct {
	sim         *sim
	entry       *simEntry
	entryStarts uint64
	key         *simKey
	acquisition *Acquisition
	done        bool
	deadline    time.Time
}

func (s *sim) send(k *simKey, n int) {
	e := s.entries[n]
	if !e.up {
		return
	}
	s.seq++
	end := s.now.Add(simDeadline)
	r := &simRequest{sim: s, entry: e, entryStarts: e.starts, key: k, deadline: end}
	r.acquisition = NewAcquisition(Request{
		Key: k.key, ID: fmt.Sprintf("q%d", s.seq), Entry: &wire.Incarnation{Id: entryID(n), Number: e.starts},
		Digest: []byte("d"), TTL: simTTL, Deadline: end,
	}, s.entryGone, func(d time.Duration) time.Duration { return time.Duration(s.rnd.Int64N(int64(d) + 1)) })
	r.acquisition.disabled = s.disabled
	r.step()
}

func (s *sim) entryGone(i *wire.Incarnation) bool {
	n := entryIndex(i.GetId())
	return s.entries[n].starts != i.GetNumber() || !s.entries[n].up
}

func (r *simRequest) alive() bool { return !r.done && r.entry.up && r.entry.starts == r.entryStarts }

func (r *simRequest) step() {
	if !r.alive() {
		return
	}
	s := r.sim
	confirmed := s.now.Sub(r.entry.ringConfirmed) < ConfirmPeriod(simTTL)
	a := r.acquisition.Step(s.now, RingState{Ring: r.entry.ring, Joint: s.now.Sub(s.ringChanged) < JointPeriod(simTTL), Confirmed: confirmed})
	if a.Release != nil {
		r.sendSettlement(a.Release, a.ReleaseTargets)
	}
	if a.Claim != nil {
		r.sendClaims(a)
	}
	switch a.Decision {
	case Run:
		r.done = true
		s.tracef("%s wins %s through %s, granted by %v", r.acquisition.Holder(), r.key.key.Key, entryID(r.entry.index), r.acquisition.countedGrants())
		r.runOnAgent(a.Targets)
		return
	case Replay:
		r.done = true
		r.answerCaller(string(a.Record.Answer.Body))
		return
	case Unknown:
		r.done = true
		r.answerCaller("unknown")
		return
	}
	if !a.WakeAt.IsZero() {
		s.schedule(max(a.WakeAt.Sub(s.now), time.Millisecond), r.step)
	}
}

// countedGrants lists the registers whose grants were counted.
func (acq *Acquisition) countedGrants() []string {
	var list []string
	for _, m := range acq.round.Targets() {
		if acq.round.grantCounts(m.Id) {
			list = append(list, fmt.Sprint(m.Id, "@", acq.round.replies[m.Id].Self.Number))
		}
	}
	return list
}

func (r *simRequest) sendClaims(a Actions) {
	s := r.sim
	holder := r.acquisition.Holder()
	for _, m := range a.Targets {
		n := entryIndex(m.Id)
		peer := s.entries[n]
		s.deliver(r.entry.index, n, func() {
			if !peer.up {
				return
			}
			reply := peer.reg.Grant(s.now, a.Claim)
			s.afterSync(peer, func() {
				s.deliver(n, r.entry.index, func() {
					if r.entry.up && r.entry.starts == r.entryStarts {
						r.entry.seenGrants.Record(reply)
					}
					if r.alive() {
						r.acquisition.AddReply(holder, m.Id, reply)
						r.step()
					}
				})
			})
		})
	}
}

func (r *simRequest) sendSettlement(c *wire.ClaimSettle, targets []*wire.RingMember) {
	for _, m := range targets {
		n := entryIndex(m.Id)
		peer := r.sim.entries[n]
		r.sim.deliver(r.entry.index, n, func() {
			if peer.up {
				peer.reg.Settle(r.sim.now, c)
				r.sim.afterSync(peer, func() {})
			}
		})
	}
}

// runOnAgent hands the request to an agent, which runs it or certifies that it wasn't run,
// at any time before the deadline. The entry may be gone by then.
func (r *simRequest) runOnAgent(targets []*wire.RingMember) {
	s := r.sim
	holder := r.acquisition.Holder()
	outcome := s.rnd.IntN(6)
	delay := s.randomDuration(time.Millisecond, max(2*time.Millisecond, r.deadline.Sub(s.now)))
	s.schedule(delay, func() {
		state, answer := wire.ClaimState_CLAIM_STATE_ANSWERED, "answer of "+holder
		switch outcome {
		case 0:
			state, answer = wire.ClaimState_CLAIM_STATE_RELEASED, "not-run"
		case 1:
			state, answer = wire.ClaimState_CLAIM_STATE_UNKNOWN, "unknown"
		}
		if outcome != 0 {
			r.key.runs++
			s.tracef("%s runs", holder)
			if r.key.runs > 1 {
				s.failf(ranTwice+": %s", r.key.key.Key)
			}
		}
		if !r.entry.up || r.entry.starts != r.entryStarts {
			return
		}
		r.sendSettlement(&wire.ClaimSettle{Key: r.key.key, RequestId: holder, State: state, Answer: &wire.StoredAnswer{Body: []byte(answer)}}, targets)
		r.answerCaller(answer)
	})
}

// answerCaller returns the outcome to the caller, and checks it against the runs and the
// earlier answers.
func (r *simRequest) answerCaller(answer string) {
	s := r.sim
	s.tracef("caller of %s is told %q through %s", r.key.key.Key, answer, entryID(r.entry.index))
	if answer == "not-run" && r.key.runs > 0 {
		s.failf(notRunAfterRun+": %s", r.key.key.Key)
	}
	if strings.HasPrefix(answer, "answer") {
		r.key.answers[answer] = true
		if len(r.key.answers) > 1 {
			s.failf(differentAnswers+": %s", r.key.key.Key)
		}
	}
}

// startCaller makes a caller send a key's request several times through random entries,
// while the registers must remember it.
func (s *sim) startCaller(n int) {
	k := &simKey{
		key:       &wire.ClaimKey{Team: "t", Service: "clock-core", Key: fmt.Sprintf("bid-%d", n)},
		firstSent: s.now, answers: map[string]bool{},
	}
	s.keys[k.key.Key] = k
	for range 1 + s.rnd.IntN(4) {
		s.schedule(s.randomDuration(0, simTTL-simDeadline), func() { s.send(k, s.rnd.IntN(len(s.entries))) })
	}
	s.send(k, s.rnd.IntN(len(s.entries)))
}

func (s *sim) injectFault() {
	s.backUpDisks()
	e := s.entries[s.rnd.IntN(len(s.entries))]
	switch s.rnd.IntN(8) {
	case 0, 1, 2:
		if e.up {
			s.tracef("%s restarts", entryID(e.index))
			e.up = false
			s.schedule(s.randomDuration(time.Millisecond, 60*time.Millisecond), func() { s.startEntry(e); s.sendRing(e) })
		}
	case 3, 4:
		s.tracef("%s is cut off", entryID(e.index))
		for n := range s.entries {
			s.cutLinks[[2]int{e.index, n}] = true
			if s.rnd.IntN(2) == 0 {
				s.cutLinks[[2]int{n, e.index}] = true
			}
		}
	case 5, 6:
		clear(s.cutLinks)
	case 7:
		s.changeRing()
	}
}

// changeRing replaces one member, at most once per JointPeriod. The entries learn of it at
// different times.
func (s *sim) changeRing() {
	if s.now.Sub(s.ringChanged) < JointPeriod(simTTL) {
		return
	}
	next := &wire.Ring{Epoch: s.ring.Epoch + 1, Previous: s.ring.Members}
	out := s.rnd.IntN(len(s.ring.Members))
	next.Members = append(next.Members, s.ring.Members[:out]...)
	next.Members = append(next.Members, s.ring.Members[out+1:]...)
	for _, e := range s.entries {
		if e.up && !ContainsMember(s.ring.Members, entryID(e.index)) {
			next.Members = append(next.Members, s.member(e))
			break
		}
	}
	s.tracef("ring %d: %v leaves", next.Epoch, s.ring.Members[out].Id)
	s.ring, s.ringChanged = next, s.now
	for _, e := range s.entries {
		starts := e.starts
		s.schedule(s.randomDuration(time.Millisecond, ConfirmPeriod(simTTL)), func() {
			if e.starts == starts && s.ring == next {
				s.sendRing(e)
			}
		})
	}
}

// confirmRing periodically confirms the ring to every entry that has the current one.
func (s *sim) confirmRing() {
	for _, e := range s.entries {
		if e.ring == s.ring {
			e.ringConfirmed = s.now
		}
	}
	s.schedule(100*time.Millisecond, s.confirmRing)
}

func runSchedule(seed uint64, disabled disabledSafeguards, disks *rand.Rand) (found string) {
	defer func() {
		if v, ok := recover().(safetyViolation); ok {
			found = v.text
		}
	}()
	s := newSim(seed, 5, disabled, disks)
	s.confirmRing()
	end := s.now.Add(12 * time.Second)
	for n := range 8 {
		s.schedule(s.randomDuration(0, 8*time.Second), func() { s.startCaller(n) })
	}
	for range 12 + 12*(seed%2) {
		s.schedule(s.randomDuration(0, 10*time.Second), s.injectFault)
	}
	for len(s.queue) > 0 && s.now.Before(end) {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
	}
	return ""
}

func searchSchedules(disabled disabledSafeguards) (uint64, string) {
	return schedule.Search(scheduleCount, func(seed uint64) string { return runSchedule(seed, disabled, nil) })
}

// Callers resend requests through any entry while entries restart, links are cut, messages
// are delayed or duplicated, and the ring changes. No key runs twice, "not run" is reported
// only for requests that never ran, and no caller gets two different answers.
func TestSchedulesRunEachKeyAtMostOnce(t *testing.T) {
	seed, text := searchSchedules(disabledSafeguards{})
	assert.Equal(t, text, "", "seed %d", seed)
}

// The same schedules find a violation if a safeguard is disabled.
func TestSchedulesDetectDisabledSafeguards(t *testing.T) {
	for _, c := range []struct {
		name     string
		disabled disabledSafeguards
	}{
		{"a restarted register waits for its peers' copies", disabledSafeguards{waitForCopies: true}},
		{"grants of an earlier incarnation aren't counted", disabledSafeguards{incarnationCheck: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			seed, text := searchSchedules(c.disabled)
			assert.Assert(t, strings.Contains(text, ranTwice) || strings.Contains(text, notRunAfterRun) || strings.Contains(text, differentAnswers), text)
			t.Logf("found by schedule %d: %.80s", seed, text)
		})
	}
}

// Without faults, most keys run.
func TestFaultFreeClaimsAreGranted(t *testing.T) {
	s := newSim(1, 5, disabledSafeguards{}, nil)
	s.confirmRing()
	for n := range 50 {
		s.startCaller(n)
	}
	end := s.now.Add(simTTL)
	for len(s.queue) > 0 && s.now.Before(end) {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
	}
	ran := 0
	for _, k := range s.keys {
		ran += k.runs
	}
	assert.Assert(t, ran >= 40, "%s: %d of 50", tooFewRuns, ran)
}
