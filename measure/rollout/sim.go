package main

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/snipereach/snipereach/fake"
	"github.com/snipereach/snipereach/placement"
	"github.com/snipereach/snipereach/rollout"
	"github.com/snipereach/snipereach/wire"
)

// fault is what goes wrong in every switch of a case.
type fault string

const (
	none                 fault = "none"
	jitter               fault = "1 in 10 orders takes up to 40 ms"
	armLost              fault = "one rank's first arm is lost"
	commitLost           fault = "one rank's first commit is lost"
	leaderBeforeDecision fault = "leader dies when all are armed"
	leaderAfterDecision  fault = "leader dies when the log has decided"
	rankWhileArmed       fault = "an armed rank dies"
)

// Times of the faults.
const (
	// takeover is the time from a leader's death to the next one's lease: an
	// election timeout of 1 to 2 s and two writes to the log.
	takeover = 2 * time.Second
	// restart is the time in which a rank comes back.
	restart  = 500 * time.Millisecond
	staging  = 100 * time.Millisecond
	tick     = 20 * time.Millisecond
	caseTime = 2 * time.Hour
)

type setup struct {
	ranks                  int
	step, oneWay, logWrite time.Duration
	fault                  fault
}

type outcome struct {
	switches, cancelled int
	lostMean, lostMax   float64
	stallMax, took      time.Duration
}

// sim runs one group and one leader at a time in virtual time.
type sim struct {
	setup
	now   time.Duration
	queue queue
	seq   int
	rnd   *rand.Rand

	shape   placement.Shape
	machine *rollout.Machine
	index   uint64
	token   uint64
	leader  *leader
	ranks   []*fake.Rank
	lives   []uint64
	down    map[int]bool
	exec    int

	// harmed says that the fault of this switch has been done.
	harmed   bool
	begunAt  time.Duration
	stall    time.Duration
	lost     []float64
	stallMax time.Duration
	took     time.Duration
	records  int
	aborted  int
}

type leader struct {
	c     *rollout.Coordinator
	token uint64
	dead  bool
}

type event struct {
	at  time.Duration
	seq int
	f   func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func newSim(c setup) *sim {
	s := &sim{
		setup: c, rnd: rand.New(rand.NewPCG(1, 6)), machine: rollout.NewMachine(), down: map[int]bool{},
		shape: placement.Shape{Ranks: c.ranks, Experts: c.ranks, Layers: 1, Slots: 2},
	}
	for range c.ranks {
		s.ranks = append(s.ranks, s.newRank(1))
		s.lives = append(s.lives, 1)
	}
	return s
}

func (s *sim) newRank(life uint64) *fake.Rank {
	r := fake.NewRank(life)
	r.StepMicros = uint64(s.step.Microseconds())
	return r
}

func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + d, s.seq, f})
}

func (s *sim) clock() time.Time { return time.Unix(0, 0).Add(s.now) }

// measure runs until a number of switches has ended.
func (s *sim) measure(switches int) outcome {
	s.elect()
	s.form()
	for s.records < switches && s.now < caseTime && len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.f()
	}
	o := outcome{switches: s.records, cancelled: s.aborted, stallMax: s.stallMax}
	for _, l := range s.lost {
		o.lostMean += l / float64(len(s.lost))
		o.lostMax = max(o.lostMax, l)
	}
	if done := s.records - s.aborted; done > 0 {
		o.took = s.took / time.Duration(done)
	}
	return o
}

func (s *sim) elect() {
	s.index++
	s.token = s.index
	l := &leader{token: s.token, c: rollout.NewCoordinator(rollout.DefaultConfig("g", s.shape, s.token))}
	l.c.Applied(s.clock(), s.machine.Get("g"))
	s.leader = l
	s.tick(l)
}

func (s *sim) tick(l *leader) {
	if l.dead {
		return
	}
	s.after(tick, func() { s.tick(l) })
	if st := s.machine.Get("g"); st != nil && l.c.Idle() {
		m := placement.Contiguous(s.shape)
		for i := range m.Slots {
			m.Slots[i] = (m.Slots[i] + int32(s.index)) % int32(s.shape.Experts)
		}
		l.c.Roll(&rollout.Target{Base: st.Map.Epoch, Map: rollout.FromMap(s.shape, m), Reason: &wire.MapReason{}})
	}
	s.drive(l)
}

func (s *sim) drive(l *leader) {
	if l.dead {
		return
	}
	e := l.c.Tick(s.clock())
	for _, o := range e.Orders {
		s.order(l, o)
	}
	if e.Command != nil {
		s.after(s.logWrite, func() { s.apply(l, e.Command) })
	}
}

func (s *sim) delay() time.Duration {
	if s.fault == jitter && s.rnd.IntN(10) == 0 {
		return time.Duration(s.rnd.Int64N(int64(40 * time.Millisecond)))
	}
	return s.oneWay
}

// kill ends a leader and elects the next one.
func (s *sim) kill(l *leader) {
	s.harmed, l.dead = true, true
	s.after(takeover, s.elect)
}

func (s *sim) apply(l *leader, c *wire.GroupCommand) {
	commit := c.GetDecide().GetCommit()
	if s.fault == leaderBeforeDecision && commit && !s.harmed {
		// The command dies with the leader that proposed it.
		s.kill(l)
		return
	}
	s.index++
	if !s.machine.Apply(s.index, c, s.token).Accepted {
		return
	}
	if c.GetBegin() != nil {
		s.begunAt, s.harmed, s.stall = s.now, false, 0
	}
	if d := c.GetDecide(); d != nil && !d.Commit || c.GetConfirm() != nil {
		s.record(c.GetConfirm() == nil)
	}
	if s.fault == leaderAfterDecision && commit && !s.harmed {
		s.kill(l)
		return
	}
	if !l.dead {
		l.c.Applied(s.clock(), s.machine.Get("g"))
		s.drive(l)
	}
}

func (s *sim) record(aborted bool) {
	s.records++
	if aborted {
		s.aborted++
	} else {
		s.took += s.now - s.begunAt
	}
	s.lost = append(s.lost, float64(s.stall)/float64(s.step))
	s.stallMax = max(s.stallMax, s.stall)
	s.stall = 0
}

// order carries an order to a rank and the answer back.
func (s *sim) order(l *leader, o rollout.Outgoing) {
	lost := s.fault == armLost && o.Verb == rollout.VerbArm || s.fault == commitLost && o.Verb == rollout.VerbCommit
	if lost && o.Rank == 0 && !s.harmed {
		s.harmed = true
		return
	}
	s.after(s.delay(), func() {
		if l.token != s.token || s.down[o.Rank] {
			return
		}
		r := s.ranks[o.Rank]
		status := r.Give(o.Verb, &o.Order)
		if r.Loading() != 0 {
			s.after(staging, r.Loaded)
		}
		if s.fault == rankWhileArmed && status.Armed != 0 && !s.harmed {
			s.killRank(o.Rank)
			return
		}
		s.after(s.delay(), func() {
			if !l.dead {
				l.c.Heard(s.clock(), o.Rank, status)
				s.drive(l)
			}
		})
	})
}

func (s *sim) killRank(i int) {
	s.harmed = true
	s.down[i] = true
	s.exec++
	s.after(s.step, s.form)
	s.after(restart, func() {
		s.lives[i]++
		s.ranks[i] = s.newRank(s.lives[i])
		s.down[i] = false
	})
}

// form begins the next step of all ranks, once they are there and may.
func (s *sim) form() {
	var step uint64
	for i, r := range s.ranks {
		if s.down[i] || r.Blank() {
			s.wait(s.form)
			return
		}
		step = max(step, r.Next())
	}
	s.begin(s.exec, step, map[int]bool{})
}

// wait looks again in a moment, and counts the time as lost.
func (s *sim) wait(f func()) {
	const pause = time.Millisecond / 4
	s.stall += pause
	s.after(pause, f)
}

func (s *sim) begin(exec int, step uint64, begun map[int]bool) {
	if exec != s.exec {
		return
	}
	for i, r := range s.ranks {
		r.Join(step)
		if !begun[i] && r.MayBegin() {
			r.Begin(step)
			begun[i] = true
		}
	}
	if len(begun) < len(s.ranks) {
		s.wait(func() { s.begin(exec, step, begun) })
		return
	}
	s.after(s.step, func() {
		if exec == s.exec {
			s.form()
		}
	})
}
