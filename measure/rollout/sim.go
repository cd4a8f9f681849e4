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

// fault is a fault that is injected into every switch of a case.
type fault string

const (
	noFault              fault = "none"
	jitter               fault = "1 in 10 orders takes up to 40 ms"
	armLost              fault = "one rank's first arm is lost"
	commitLost           fault = "one rank's first commit is lost"
	leaderBeforeDecision fault = "leader dies when all are armed"
	leaderAfterDecision  fault = "leader dies when the log has decided"
	rankWhileArmed       fault = "an armed rank dies"
)

// Times of the model.
const (
	// takeover is the time from a leader's failure to its successor's lease: an
	// election timeout of 1 to 2 s and two log writes.
	takeover = 2 * time.Second
	// restart is the time that a rank takes to restart.
	restart  = 500 * time.Millisecond
	staging  = 100 * time.Millisecond
	tick     = 20 * time.Millisecond
	caseTime = 2 * time.Hour
)

type simConfig struct {
	ranks                  int
	step, oneWay, logWrite time.Duration
	fault                  fault
}

type outcome struct {
	switches, cancelled int
	lostMean, lostMax   float64
	stallMax, took      time.Duration
}

// sim is a discrete-event simulation of one group, with one leader at a time.
type sim struct {
	simConfig
	now   time.Duration
	queue queue
	seq   int
	rnd   *rand.Rand

	shape        placement.Shape
	machine      *rollout.Machine
	index        uint64
	token        uint64
	leader       *leader
	ranks        []*fake.Rank
	incarnations []uint64
	down         map[int]bool
	// execution is incremented when a rank is killed, which invalidates the running step.
	execution int

	// faultDone is set once the fault of the current switch has been injected.
	faultDone bool
	begunAt   time.Duration
	stall     time.Duration
	lost      []float64
	stallMax  time.Duration
	took      time.Duration
	finished  int
	cancelled int
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

func newSim(c simConfig) *sim {
	s := &sim{
		simConfig: c, rnd: rand.New(rand.NewPCG(1, 6)), machine: rollout.NewMachine(), down: map[int]bool{},
		shape: placement.Shape{Ranks: c.ranks, Experts: c.ranks, Layers: 1, Slots: 2},
	}
	for range c.ranks {
		s.ranks = append(s.ranks, s.newRank(1))
		s.incarnations = append(s.incarnations, 1)
	}
	return s
}

func (s *sim) newRank(incarnation uint64) *fake.Rank {
	r := fake.NewRank(incarnation)
	r.StepMicros = uint64(s.step.Microseconds())
	return r
}

func (s *sim) schedule(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + d, s.seq, f})
}

func (s *sim) clock() time.Time { return time.Unix(0, 0).Add(s.now) }

// measure runs until a number of switches has ended, or caseTime has passed.
func (s *sim) measure(switches int) outcome {
	s.elect()
	s.nextStep()
	for s.finished < switches && s.now < caseTime && len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.f()
	}
	o := outcome{switches: s.finished, cancelled: s.cancelled, stallMax: s.stallMax}
	for _, l := range s.lost {
		o.lostMean += l / float64(len(s.lost))
		o.lostMax = max(o.lostMax, l)
	}
	if done := s.finished - s.cancelled; done > 0 {
		o.took = s.took / time.Duration(done)
	}
	return o
}

func (s *sim) elect() {
	s.index++
	s.token = s.index
	l := &leader{token: s.token, c: rollout.NewCoordinator(rollout.DefaultConfig("g", s.shape, s.token))}
	l.c.SetState(s.clock(), s.machine.Get("g"))
	s.leader = l
	s.tick(l)
}

func (s *sim) tick(l *leader) {
	if l.dead {
		return
	}
	s.schedule(tick, func() { s.tick(l) })
	if st := s.machine.Get("g"); st != nil && l.c.Idle() {
		m := placement.Contiguous(s.shape)
		for i := range m.Slots {
			m.Slots[i] = (m.Slots[i] + int32(s.index)) % int32(s.shape.Experts)
		}
		l.c.RequestSwitch(&rollout.Target{BaseEpoch: st.Map.Epoch, Map: rollout.FromPlacementMap(s.shape, m), Reason: &wire.MapReason{}})
	}
	s.drive(l)
}

func (s *sim) drive(l *leader) {
	if l.dead {
		return
	}
	e := l.c.Tick(s.clock())
	for _, o := range e.Orders {
		s.sendOrder(l, o)
	}
	if e.Command != nil {
		s.schedule(s.logWrite, func() { s.apply(l, e.Command) })
	}
}

func (s *sim) delay() time.Duration {
	if s.fault == jitter && s.rnd.IntN(10) == 0 {
		return time.Duration(s.rnd.Int64N(int64(40 * time.Millisecond)))
	}
	return s.oneWay
}

// killLeader ends a leader and elects the next one.
func (s *sim) killLeader(l *leader) {
	s.faultDone, l.dead = true, true
	s.schedule(takeover, s.elect)
}

func (s *sim) apply(l *leader, c *wire.GroupCommand) {
	commit := c.GetDecide().GetCommit()
	if s.fault == leaderBeforeDecision && commit && !s.faultDone {
		// The command is lost with the leader that proposed it.
		s.killLeader(l)
		return
	}
	s.index++
	if !s.machine.Apply(s.index, c, s.token).Accepted {
		return
	}
	if c.GetBegin() != nil {
		s.begunAt, s.faultDone, s.stall = s.now, false, 0
	}
	if d := c.GetDecide(); d != nil && !d.Commit || c.GetConfirm() != nil {
		s.recordSwitch(c.GetConfirm() == nil)
	}
	if s.fault == leaderAfterDecision && commit && !s.faultDone {
		s.killLeader(l)
		return
	}
	if !l.dead {
		l.c.SetState(s.clock(), s.machine.Get("g"))
		s.drive(l)
	}
}

func (s *sim) recordSwitch(aborted bool) {
	s.finished++
	if aborted {
		s.cancelled++
	} else {
		s.took += s.now - s.begunAt
	}
	s.lost = append(s.lost, float64(s.stall)/float64(s.step))
	s.stallMax = max(s.stallMax, s.stall)
	s.stall = 0
}

// sendOrder delivers an order to a rank and the rank's status to the leader.
func (s *sim) sendOrder(l *leader, o rollout.RankOrder) {
	lost := s.fault == armLost && o.Verb == rollout.VerbArm || s.fault == commitLost && o.Verb == rollout.VerbCommit
	if lost && o.Rank == 0 && !s.faultDone {
		s.faultDone = true
		return
	}
	s.schedule(s.delay(), func() {
		if l.token != s.token || s.down[o.Rank] {
			return
		}
		r := s.ranks[o.Rank]
		status := r.HandleOrder(o.Verb, &o.Order)
		if r.Loading() != 0 {
			s.schedule(staging, r.FinishLoading)
		}
		if s.fault == rankWhileArmed && status.Armed != 0 && !s.faultDone {
			s.killRank(o.Rank)
			return
		}
		s.schedule(s.delay(), func() {
			if !l.dead {
				l.c.HandleStatus(s.clock(), o.Rank, status)
				s.drive(l)
			}
		})
	})
}

func (s *sim) killRank(i int) {
	s.faultDone = true
	s.down[i] = true
	s.execution++
	s.schedule(s.step, s.nextStep)
	s.schedule(restart, func() {
		s.incarnations[i]++
		s.ranks[i] = s.newRank(s.incarnations[i])
		s.down[i] = false
	})
}

// nextStep begins the next step once all ranks are up and have a map.
func (s *sim) nextStep() {
	var step uint64
	for i, r := range s.ranks {
		if s.down[i] || r.HasNoMap() {
			s.retryLater(s.nextStep)
			return
		}
		step = max(step, r.NextStep())
	}
	s.beginStep(s.execution, step, map[int]bool{})
}

// retryLater calls f again after a short pause, which counts as stalled.
func (s *sim) retryLater(f func()) {
	const pause = time.Millisecond / 4
	s.stall += pause
	s.schedule(pause, f)
}

func (s *sim) beginStep(exec int, step uint64, begun map[int]bool) {
	if exec != s.execution {
		return
	}
	for i, r := range s.ranks {
		r.RaiseNextStep(step)
		if !begun[i] && r.CanBeginStep() {
			r.BeginStep(step)
			begun[i] = true
		}
	}
	if len(begun) < len(s.ranks) {
		s.retryLater(func() { s.beginStep(exec, step, begun) })
		return
	}
	s.schedule(s.step, func() {
		if exec == s.execution {
			s.nextStep()
		}
	})
}
