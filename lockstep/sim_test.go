package lockstep

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/snipereach/snipereach/wire"
)

// simRank carries out orders like a rank of a group.
type simRank struct {
	instance  string
	current   uint64
	prepared  uint64
	copying   uint64
	copiedAt  time.Duration
	armed     uint64
	armedStep uint64
	held      uint64
	highest   uint64
	token     uint64
	// unresponsiveUntil is the time until which the rank's host doesn't respond.
	unresponsiveUntil time.Duration
	// slowUntil is the time until which the rank's sidecar takes simSlowAnswer longer to answer.
	slowUntil time.Duration
	// sidecarDownUntil is the time until which connections to the rank's sidecar are refused.
	sidecarDownUntil time.Duration
	// recent lists the rank's reports of the last simReportLag.
	recent []timedReport
}

// simSlowAnswer is longer than the timeout of an order.
const simSlowAnswer = 300 * time.Millisecond

// event is a callback at a time of the simulation.
type event struct {
	at time.Duration
	do func()
}

// sim simulates a group, its leaders and the network between them.
type sim struct {
	rnd      *rand.Rand
	now      time.Duration
	events   []event
	ranks    []*simRank
	step     uint64
	nextRun  time.Duration
	epoch    uint64
	leaders  []*simLeader
	token    uint64
	shape    Shape
	maps     map[uint64]Map
	disabled safeguards
	// noFaults turns faults off.
	noFaults bool
	// late is the share of orders without a reply that are carried out seconds later, lost the
	// share of lost orders and of lost replies.
	late, lost float64
	// relays sends orders through relays. omitAge makes the relays omit the age of the reports
	// that they return.
	relays, omitAge bool
	// hostRelays makes the first rank of each part the host of its relay: no rank of the part is
	// reached while that host doesn't respond. Unless it is set, relays have hosts of their own.
	hostRelays bool
	// sidecarFaults makes sidecars go down at random. periodicReports makes ranks publish reports
	// to other hosts once per simReportLag, instead of each of them simReportLag late.
	sidecarFaults, periodicReports bool
	// longestHold is the longest time for which a pass was due and held.
	longestHold time.Duration
	// violation describes a violation of the invariant, finished counts the successful switches.
	violation string
	finished  int
	log       []string
}

// simLeader drives a Switcher as a control replica does.
type simLeader struct {
	switcher *Switcher
	epoch    uint64
	until    time.Duration
	reading  []bool
	planned  time.Duration
	// directUntil is the time until which the leader calls each rank without its sidecar.
	directUntil []time.Duration
	// switched says that a switch of this leader has succeeded.
	switched bool
}

func newSim(seed uint64, disabled safeguards) *sim {
	s := &sim{
		rnd: rand.New(rand.NewPCG(seed, 1)), shape: Shape{Ranks: 4, Sets: 1, Experts: 4, Places: 2, Spare: 2},
		maps: map[uint64]Map{}, disabled: disabled, epoch: 1,
	}
	s.late, s.lost = 0.5*s.rnd.Float64(), 0.1*s.rnd.Float64()
	for i := range s.shape.Ranks {
		s.ranks = append(s.ranks, &simRank{instance: fmt.Sprint("r", i)})
	}
	s.maps[0] = Map{{{0, 1}, {1, 2}, {2, 3}, {3, 0}}}
	s.startLeader()
	return s
}

func (s *sim) time() time.Time { return time.Unix(0, 0).Add(s.now) }

func (s *sim) logf(format string, args ...any) {
	s.log = append(s.log, fmt.Sprintf("%8v ", s.now)+fmt.Sprintf(format, args...))
}

func (s *sim) after(d time.Duration, do func()) {
	e := event{s.now + d, do}
	i, _ := slices.BinarySearchFunc(s.events, e, func(a, b event) int {
		if a.at <= b.at {
			return -1
		}
		return 1
	})
	s.events = slices.Insert(s.events, i, e)
}

func (s *sim) ms(from, to int) time.Duration {
	return time.Duration(from+s.rnd.IntN(to-from+1)) * time.Millisecond
}

// startLeader starts a leader with a new token. Earlier leaders may continue for a while without
// noticing.
func (s *sim) startLeader() {
	for _, l := range s.leaders {
		l.until = min(l.until, s.now+s.ms(0, 250))
	}
	s.token++
	s.leaders = append(s.leaders, s.newLeader())
}

func (s *sim) newLeader() *simLeader {
	cfg := DefaultConfig(s.shape.Ranks, s.token, s.epoch)
	cfg.disabled = s.disabled
	return &simLeader{
		switcher: New(cfg), epoch: s.epoch, until: time.Hour, reading: make([]bool, s.shape.Ranks), directUntil: make([]time.Duration, s.shape.Ranks),
	}
}

// run simulates until the given time.
func (s *sim) run(until time.Duration) {
	const tick = 25 * time.Millisecond
	for s.now < until && s.violation == "" {
		next := s.now + tick
		for len(s.events) > 0 && s.events[0].at <= next {
			e := s.events[0]
			s.events = s.events[1:]
			s.now = max(s.now, e.at)
			e.do()
		}
		s.now = next
		s.beginPass()
		s.recordReports()
		s.injectFaults()
		for _, l := range s.leaders {
			if s.now < l.until {
				s.tickLeader(l)
			}
		}
		s.leaders = slices.DeleteFunc(s.leaders, func(l *simLeader) bool { return s.now >= l.until })
	}
}

// beginPass begins the next pass unless a rank holds it.
func (s *sim) beginPass() {
	if s.now < s.nextRun {
		return
	}
	for _, r := range s.ranks {
		if r.held == s.step+1 {
			s.longestHold = max(s.longestHold, s.now-s.nextRun)
			return
		}
	}
	s.nextRun = s.now + s.ms(25, 75)
	s.step++
	for _, r := range s.ranks {
		if r.armed != 0 && r.armedStep == s.step {
			r.current, r.armed, r.prepared = r.armed, 0, 0
		}
	}
	for _, r := range s.ranks[1:] {
		if r.current != s.ranks[0].current {
			s.violation = fmt.Sprintf("step %d begins with maps %d and %d", s.step, s.ranks[0].current, r.current)
		}
	}
}

// injectFaults injects random faults: hosts that don't respond, new leaders, and a group that
// forms again.
func (s *sim) injectFaults() {
	if s.noFaults {
		return
	}
	if s.rnd.Float64() < 0.01 {
		r := s.ranks[s.rnd.IntN(len(s.ranks))]
		r.unresponsiveUntil = s.now + s.ms(200, 4000)
		s.logf("%s doesn't respond until %v", r.instance, r.unresponsiveUntil)
	}
	if s.sidecarFaults {
		s.stopSidecars()
	}
	if s.rnd.Float64() < 0.006 {
		s.startLeader()
		s.logf("leader with token %d", s.token)
	}
	if s.rnd.Float64() < 0.002 {
		s.reformGroup()
	}
}

// reformGroup forms the group again under a new epoch, with one rank replaced by a new instance.
func (s *sim) reformGroup() {
	s.epoch++
	s.logf("epoch %d", s.epoch)
	for i, r := range s.ranks {
		*r = simRank{instance: r.instance, unresponsiveUntil: r.unresponsiveUntil, highest: r.highest, token: r.token}
		if i == 0 {
			*r = simRank{instance: fmt.Sprint("r0-", s.epoch), unresponsiveUntil: r.unresponsiveUntil}
		}
	}
	epoch := s.epoch
	s.after(s.ms(0, 1500), func() {
		if s.epoch != epoch || len(s.leaders) == 0 {
			return
		}
		l := s.leaders[len(s.leaders)-1]
		if l.epoch == epoch {
			// This leader was elected after the group had formed again.
			return
		}
		used := l.switcher.LastVersion()
		*l = *s.newLeader()
		l.switcher.lastVersion = max(l.switcher.lastVersion, used)
	})
}

// tickLeader runs one tick of a leader.
func (s *sim) tickLeader(l *simLeader) {
	period := 14
	if l.switcher.Phase() != Idle {
		period = 2
	}
	for i := range s.ranks {
		if s.rnd.IntN(period) == 0 {
			s.read(l, i)
		}
	}
	if l.switcher.Current() == nil {
		s.learnCurrent(l)
	}
	if l.switcher.Ready(s.time()) && s.now-l.planned > 300*time.Millisecond {
		l.planned = s.now
		if s.sidecarFaults {
			s.checkBase(l)
		}
		next := s.maps[0].Clone()
		a, b := s.rnd.IntN(4), s.rnd.IntN(4)
		next[0][a], next[0][b] = next[0][b], next[0][a]
		l.switcher.Begin(s.time(), next)
		s.maps[l.switcher.Version()] = next
	}
	before := l.switcher.Phase()
	orders := l.switcher.Tick(s.time())
	if s.relays {
		s.sendThroughRelays(l, orders)
	} else {
		for _, o := range orders {
			s.send(l, o)
		}
	}
	if after := l.switcher.Phase(); after != before {
		s.logf("token %d: %v, version %d, %s", l.switcher.cfg.Token, after, l.switcher.Version(), l.switcher.Outcome())
		if after == Idle && l.switcher.Outcome() == "in force" {
			s.finished++
			l.switched = true
		}
	}
}

// state describes the ranks and what the leaders know of them, for failure messages.
func (s *sim) state() string {
	text := ""
	for i, r := range s.ranks {
		text += fmt.Sprintf("rank %d: %+v\n", i, *r)
	}
	for _, l := range s.leaders {
		for i := range l.switcher.ranks {
			text += fmt.Sprintf("token %d rank %d: %+v\n", l.switcher.cfg.Token, i, l.switcher.ranks[i])
		}
	}
	return text
}

// learnCurrent sets a leader's current map once all ranks respond and use the same one.
func (s *sim) learnCurrent(l *simLeader) {
	for _, r := range s.ranks {
		if r.current != s.ranks[0].current || s.now < r.unresponsiveUntil {
			return
		}
	}
	if m := s.maps[s.ranks[0].current]; m != nil && l.epoch == s.epoch {
		l.switcher.SetCurrent(m)
	}
}

func (s *sim) report(i int) (string, *wire.RankReport) {
	r := s.ranks[i]
	if r.copying != 0 && s.now >= r.copiedAt {
		r.prepared, r.copying = r.copying, 0
	}
	return r.instance, &wire.RankReport{Step: s.step, Map: r.current, Prepared: r.prepared, Armed: r.armed, ArmedStep: r.armedStep, Held: r.held}
}

// read reads a rank's state for a leader, unless the rank doesn't respond.
func (s *sim) read(l *simLeader, i int) {
	if s.now < s.ranks[i].unresponsiveUntil || l.epoch != s.epoch || s.relayIsDown(i) {
		return
	}
	at := s.time()
	if s.callsDirectly(l, i) {
		s.readDirectly(l, i)
		return
	}
	if s.refused(l, i) {
		return
	}
	instance, rep := s.report(i)
	s.after(s.ms(1, 20)+s.slowness(i), func() { l.switcher.HandleReport(at, i, instance, rep) })
}

// send sends an order and passes the reply to the leader, or nil after a timeout.
func (s *sim) send(l *simLeader, o Order) {
	answer := s.firstOnly(func(reply *wire.RankOrderReply) { l.switcher.HandleReply(s.time(), o.Rank, o.RankOrder, reply) })
	s.after(250*time.Millisecond, func() { answer(nil) })
	direct := s.callsDirectly(l, o.Rank)
	if !direct && s.refused(l, o.Rank) {
		s.after(s.ms(1, 8), func() { answer(nil) })
		return
	}
	s.deliver(o, func(reply *wire.RankOrderReply) {
		if direct {
			reply.After = s.publishedReport(o.Rank)
		}
		s.after(s.ms(1, 8), func() { answer(reply) })
	})
}

// firstOnly passes on the first call only.
func (s *sim) firstOnly(f func(*wire.RankOrderReply)) func(*wire.RankOrderReply) {
	answered := false
	return func(reply *wire.RankOrderReply) {
		if !answered {
			answered = true
			f(reply)
		}
	}
}

// deliver carries an order to its rank, loses it, or has it carried out much later. answer is
// called with the rank's reply, if there is one.
func (s *sim) deliver(o Order, answer func(*wire.RankOrderReply)) {
	draw := s.rnd.Float64()
	late, lost := s.late, s.lost
	if s.noFaults {
		late, lost = 0, 0
	}
	if s.now < s.ranks[o.Rank].unresponsiveUntil {
		// It arrives when the host responds again, or never.
		if s.rnd.IntN(2) == 0 {
			s.after(s.ranks[o.Rank].unresponsiveUntil-s.now+s.ms(0, 50), func() { s.execute(o) })
		}
		return
	}
	switch {
	case draw < lost:
	case draw < lost+late:
		s.after(s.ms(2000, 12000), func() { s.execute(o) })
	default:
		s.after(s.ms(1, 8), func() {
			status := s.execute(o)
			_, rep := s.report(o.Rank)
			if s.rnd.Float64() < lost {
				return
			}
			reply := &wire.RankOrderReply{Status: status, After: rep}
			if d := s.slowness(o.Rank); d > 0 {
				s.after(d, func() { answer(reply) })
				return
			}
			answer(reply)
		})
	}
}

// slowness returns the additional time that the sidecar of a rank takes to answer now.
func (s *sim) slowness(i int) time.Duration {
	if s.now < s.ranks[i].slowUntil {
		return simSlowAnswer
	}
	return 0
}

// execute executes an order as the platform's documentation specifies.
func (s *sim) execute(o Order) wire.RankOrderStatus {
	const conflict = wire.RankOrderStatus_RANK_ORDER_STATUS_CONFLICT
	const done = wire.RankOrderStatus_RANK_ORDER_STATUS_DONE
	r := s.ranks[o.Rank]
	if r.instance != o.Instance {
		return wire.RankOrderStatus_RANK_ORDER_STATUS_REFUSED
	}
	if o.FencingToken < r.token {
		return wire.RankOrderStatus_RANK_ORDER_STATUS_FENCED
	}
	r.token = o.FencingToken
	if o.Epoch != s.epoch {
		return conflict
	}
	s.report(o.Rank)
	switch o.Kind {
	case wire.RankOrderKind_RANK_ORDER_KIND_PREPARE:
		if o.Version <= r.highest || r.armed != 0 {
			return conflict
		}
		r.highest, r.copying, r.copiedAt = o.Version, o.Version, s.now+s.ms(0, 400)
		return wire.RankOrderStatus_RANK_ORDER_STATUS_BEGUN
	case wire.RankOrderKind_RANK_ORDER_KIND_ARM:
		if o.Version != r.prepared || o.Step <= s.step || r.armed != 0 && r.armed != o.Version {
			return conflict
		}
		r.armed, r.armedStep = o.Version, o.Step
	case wire.RankOrderKind_RANK_ORDER_KIND_DISARM:
		if o.Version == r.current {
			return conflict
		}
		if r.armed == o.Version {
			r.armed = 0
		}
	case wire.RankOrderKind_RANK_ORDER_KIND_HOLD:
		if o.Step <= s.step || r.held != 0 && r.held != o.Step {
			return conflict
		}
		r.held = o.Step
	case wire.RankOrderKind_RANK_ORDER_KIND_GO:
		if r.held != o.Step {
			return conflict
		}
		r.held = 0
	}
	return done
}
