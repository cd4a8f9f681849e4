package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/quota"
	"github.com/snipereach/snipereach/route"
	"github.com/snipereach/snipereach/wire"
)

// outageSim simulates, in virtual time, the gateways of a prioritized service with one group while
// that group is down. The gateways run the real code; callers honor a Retry-After up to a third of
// the time that they have left, and come back once.
type outageSim struct {
	rng      *rand.Rand
	now      time.Time
	gateways []*serviceManager
	held     []*outageCaller
	returns  []*outageCaller
	running  []*outageCaller
	waiting  []*outageCaller
	ranks    []outageRank
	epoch    uint64
	formed   bool
	// formsAt is when the group forms; zero if ranks are missing. toldAt is when the gateways
	// learn of it from registrations.
	formsAt, toldAt time.Time
	passEnds        time.Time
	perSecond       float64
	changed         bool

	all []*outageCaller
}

// outageRank is a rank of the group: whether it runs, since which registration, and whether its
// lease is in force.
type outageRank struct {
	running, registered bool
	incarnation         uint64
	registersAt         time.Time
	lapsesAt            time.Time
}

// outageCaller is one request over both of its tries.
type outageCaller struct {
	firstAt, deadline, tryAt time.Time
	priority                 uint32
	tries, events            int
	// length is the number of events of its stream.
	length   int
	gateway  int
	waiter   *waiter
	group    *groupPool
	upstream route.Upstream
	sentAt   time.Time
	// refusals counts how often it was refused, heldInVain how often after it had been queued.
	refusals, heldInVain int
	heldFor              time.Duration
	served, inTime       bool
}

const (
	outageRanks, outageSlots = 72, 10
	// outageStep is the step of virtual time, outageLease how long the registration of a lost rank
	// stays in force, outageNews the time from the loss of the group to the first refusal by it.
	outageStep  = 10 * time.Millisecond
	outageLease = 3 * time.Second
	outageForm  = 600 * time.Millisecond
	outageNews  = 200 * time.Millisecond
	// outageTarget is the target for the first event, outageTimeout the time that callers have.
	outageTarget  = 400 * time.Millisecond
	outageTimeout = 8 * time.Second
	outageEvents  = 25
)

func newOutageSim(seed uint64, gateways int, fill float64, off bool) *outageSim {
	s := &outageSim{rng: rand.New(rand.NewPCG(seed, 11)), now: start, epoch: 1, formed: true, passEnds: start}
	// A stream runs for outageEvents passes of about 70 ms.
	s.perSecond = fill * outageRanks * outageSlots / (outageEvents * 0.07)
	for range outageRanks {
		s.ranks = append(s.ranks, outageRank{running: true, registered: true, incarnation: 1})
	}
	for i := range gateways {
		s.addGateway(seed*1000+uint64(i), off, gateways)
	}
	s.update()
	return s
}

func (s *outageSim) addGateway(seed uint64, off bool, gateways int) {
	m := newServiceManager(&Settings{ID: fmt.Sprint("g", len(s.gateways)), IgnoreOutageForecast: off})
	m.entryInfo.Seed = seed
	m.ranks = map[string]int{"llm": 3}
	m.formTimes = map[string]time.Duration{"llm": outageForm}
	m.gateways = func() int { return gateways }
	s.gateways = append(s.gateways, m)
}

// instances returns the registrations in force.
func (s *outageSim) instances() []*directory.Instance {
	var list []*directory.Instance
	for i, r := range s.ranks {
		if !r.registered {
			continue
		}
		list = append(list, &directory.Instance{Announcement: &wire.Announcement{
			Id: fmt.Sprint("r", i), Group: "g", Rank: uint32(i), Incarnation: r.incarnation, Pools: []string{"llm"}, Phase: wire.Phase_PHASE_UP,
			Direct: &wire.DirectUpstream{Slots: outageSlots, GroupEpoch: s.epoch, GroupSize: outageRanks, GroupBroken: !s.formed},
		}})
	}
	return list
}

func (s *outageSim) update() {
	for _, m := range s.gateways {
		if err := m.update(s.now, s.instances(), updateInputs{}); err != nil {
			panic(err)
		}
		m.services["llm"].gateways = len(s.gateways)
	}
	s.changed = false
}

// lose ends ranks from..to, which start again after a time.
func (s *outageSim) lose(from, to int, after time.Duration) {
	for i := from; i < to; i++ {
		r := &s.ranks[i]
		r.running = false
		r.lapsesAt = s.now.Add(outageLease)
		// It registers with its first heartbeat.
		r.registersAt = s.now.Add(after + time.Duration(s.rng.Float64()*float64(1200*time.Millisecond)))
	}
	s.breakGroup()
}

func (s *outageSim) breakGroup() {
	s.formed, s.formsAt, s.toldAt = false, time.Time{}, time.Time{}
	for _, c := range append(s.running, s.waiting...) {
		s.services(c).finish(s.now, c.group, c.upstream, &route.Request{}, route.Result{})
		s.release(c.group, 0)
	}
	s.running, s.waiting = nil, nil
	for _, m := range s.gateways {
		m.recordGroupDown(s.now, m.services["llm"].sorted[0])
	}
}

// release returns a permit in virtual time.
func (s *outageSim) release(g *groupPool, held time.Duration) {
	g.limiter.release()
	if held > 0 {
		g.service.recordHoldTime(held)
	}
	g.service.admitQueued(s.now, len(s.gateways))
}

func (s *outageSim) services(c *outageCaller) *serviceManager { return s.gateways[c.gateway] }

// run simulates a duration.
func (s *outageSim) run(d time.Duration) {
	nextArrival := s.now
	for step, end := s.now, s.now.Add(d); step.Before(end); step = step.Add(outageStep) {
		s.now = step
		s.stepRanks()
		if s.formed && !s.now.Before(s.passEnds) {
			s.pass()
		}
		for i, m := range s.gateways {
			if (s.now.Sub(start)/outageStep)%2 == 0 {
				m.services["llm"].admitQueued(s.now, len(s.gateways))
			}
			if s.formed && s.now.Sub(start)%(200*time.Millisecond) == 0 {
				m.applySurvey(s.now, uint64(s.now.Sub(start)/outageStep), s.states(), quota.Position{Index: i, Count: len(s.gateways)})
			}
		}
		s.collect()
		back := s.returns
		s.returns = nil
		for _, c := range back {
			if s.now.Before(c.tryAt) {
				s.returns = append(s.returns, c)
				continue
			}
			s.arrive(c)
		}
		for stepEnd := s.now.Add(outageStep); nextArrival.Before(stepEnd); nextArrival = nextArrival.Add(time.Duration(s.rng.ExpFloat64() / s.perSecond * float64(time.Second))) {
			s.now = nextArrival
			c := &outageCaller{firstAt: s.now, deadline: s.now.Add(outageTimeout), priority: uint32(s.rng.IntN(3)), length: 1 + int(s.rng.ExpFloat64()*(outageEvents-1))}
			s.all = append(s.all, c)
			s.arrive(c)
		}
		s.now = step
	}
}

func (s *outageSim) states() (list []*wire.RankState) {
	perRank := map[string]uint32{}
	for _, c := range append(append([]*outageCaller{}, s.running...), s.waiting...) {
		perRank[c.upstream.ID]++
	}
	for i := range s.ranks {
		id := fmt.Sprint("r", i)
		list = append(list, &wire.RankState{Upstream: id, Running: perRank[id], PacePercent: 100, AgeMs: 100})
	}
	return list
}

func (s *outageSim) stepRanks() {
	all := true
	for i := range s.ranks {
		r := &s.ranks[i]
		switch {
		case !r.running && !s.now.Before(r.registersAt):
			r.running, r.registered, s.changed = true, true, true
			r.incarnation++
		case !r.running && r.registered && !s.now.Before(r.lapsesAt):
			r.registered, s.changed = false, true
		}
		all = all && r.running
	}
	if !s.formed && all {
		if s.formsAt.IsZero() {
			s.formsAt = s.now.Add(outageForm)
		}
		if !s.now.Before(s.formsAt) {
			s.formed, s.passEnds = true, s.now
			s.epoch++
			s.toldAt = s.now.Add(time.Duration(s.rng.Float64() * float64(1200*time.Millisecond)))
		}
	}
	if s.formed && !s.toldAt.IsZero() && !s.now.Before(s.toldAt) {
		s.toldAt, s.changed = time.Time{}, true
	}
	if s.changed {
		s.update()
	}
}

// arrive simulates one try of a caller.
func (s *outageSim) arrive(c *outageCaller) {
	c.tries++
	c.tryAt = s.now
	c.gateway = s.rng.IntN(len(s.gateways))
	hold := firstEventTimeout - firstEventMargin - defaultHeadTime
	w := &waiter{
		priority: c.priority, retried: c.tries > 1, admitted: make(chan struct{}), refused: make(chan struct{}), deadline: c.deadline,
		lastStart: c.deadline.Add(-defaultHeadTime), giveUpAt: s.now.Add(hold), hold: hold,
		onTimeBy: c.firstAt.Add(outageTarget - defaultHeadTime*3/2),
	}
	if w.lastStart.Before(w.giveUpAt) {
		w.giveUpAt = w.lastStart
	}
	c.waiter = w
	m := s.services(c)
	d, wait := m.services["llm"].decide(s.now, len(s.gateways), w)
	switch d {
	case decisionAdmit:
		s.send(c)
	case decisionQueue:
		s.held = append(s.held, c)
	case decisionRefuse:
		s.refuse(c, wait)
	}
}

// collect sends the queued requests that were admitted, and refuses those whose time is over.
func (s *outageSim) collect() {
	held := s.held
	s.held = nil
	for _, c := range held {
		p := s.services(c).services["llm"]
		refused := false
		select {
		case <-c.waiter.refused:
			refused = true
		default:
		}
		switch {
		case isAdmitted(c.waiter):
			s.send(c)
		case refused || !s.now.Before(c.waiter.giveUpAt):
			p.queue.remove(c.waiter)
			p.observeOutages(s.now)
			s.refuse(c, p.refusedRequest(s.now, c.waiter))
		default:
			s.held = append(s.held, c)
		}
	}
}

func (s *outageSim) refuse(c *outageCaller, wait time.Duration) {
	c.refusals++
	if held := s.now.Sub(c.tryAt); held > 0 {
		c.heldInVain++
		c.heldFor += held
	}
	if c.tries < 2 && wait <= c.deadline.Sub(s.now)/3 {
		c.tryAt = s.now.Add(wait)
		s.returns = append(s.returns, c)
	}
}

// send sends an admitted request to a rank. The group refuses it while it is down.
func (s *outageSim) send(c *outageCaller) {
	m := s.services(c)
	up, group, ok := m.pick(s.now, c.waiter.group, &route.Request{})
	if !ok {
		s.release(c.waiter.group, 0)
		s.refuse(c, retryAfterBusy)
		return
	}
	c.upstream, c.group, c.sentAt = up, group, s.now
	if s.formed {
		s.waiting = append(s.waiting, c)
		return
	}
	m.recordGroupDown(s.now, group)
	m.finish(s.now, group, up, &route.Request{}, route.Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN})
	s.release(group, 0)
	wait := retryAfterBusy
	if d, _, down := m.retryAfterOutage(s.now, "llm", c.waiter); down {
		wait = d
	}
	s.refuse(c, wait)
}

// pass ends a pass of the group and begins the next one: a fixed part of 35 ms, a part that grows
// with the running requests, and one for the prompts that are read.
func (s *outageSim) pass() {
	running := s.running
	s.running = nil
	for _, c := range running {
		m := s.services(c)
		c.events++
		if c.events == 1 {
			c.served = true
			c.inTime = s.now.Sub(c.firstAt) <= outageTarget
			m.recordHead(s.now, c.group, c.upstream, nil, s.now.Sub(c.sentAt), true)
		}
		m.recordProgress(s.now, c.group)
		if c.events < c.length {
			s.running = append(s.running, c)
			continue
		}
		m.finish(s.now, c.group, c.upstream, &route.Request{}, route.Result{Elapsed: s.now.Sub(c.sentAt)})
		s.release(c.group, s.now.Sub(c.sentAt))
	}
	read := min(len(s.waiting), outageRanks*outageSlots-len(s.running))
	s.running = append(s.running, s.waiting[:read]...)
	s.waiting = append([]*outageCaller(nil), s.waiting[read:]...)
	ms := 35 + 40*float64(len(s.running))/(outageRanks*outageSlots) + 0.4*float64(read)
	s.passEnds = s.now.Add(time.Duration(ms * float64(time.Millisecond)))
}

// outageCounts counts the callers of a part of a run.
type outageCounts struct {
	callers, served, inTime, refusedTwice, refusedOnce, heldInVain int
	heldFor                                                        time.Duration
}

func (n *outageCounts) add(other outageCounts) {
	n.callers += other.callers
	n.served += other.served
	n.inTime += other.inTime
	n.refusedTwice += other.refusedTwice
	n.refusedOnce += other.refusedOnce
	n.heldInVain += other.heldInVain
	n.heldFor += other.heldFor
}

// fraction returns the fraction of the callers that a count is.
func (n *outageCounts) fraction(count int) float64 {
	return float64(count) / float64(max(n.callers, 1))
}

// count counts the callers that came between two times.
func (s *outageSim) count(from, to time.Time, which func(*outageCaller) bool) (n outageCounts) {
	for _, c := range s.all {
		if c.firstAt.Before(from) || !c.firstAt.Before(to) || which != nil && !which(c) {
			continue
		}
		n.callers++
		n.heldInVain += c.heldInVain
		n.heldFor += c.heldFor
		switch {
		case c.inTime:
			n.inTime++
			n.served++
		case c.served:
			n.served++
		case c.refusals > 1:
			n.refusedTwice++
		case c.refusals == 1:
			n.refusedOnce++
		}
	}
	return n
}

func priorityIs(p uint32) func(*outageCaller) bool {
	return func(c *outageCaller) bool { return c.priority == p }
}

// outageScenario is the loss of ranks in a simulation.
type outageScenario struct {
	gateways, ranks int
	startAfter      time.Duration
	// during is called within the outage, if set.
	during func(*outageSim)
	off    bool
}

// play returns the simulation after the outage, and when the ranks were lost.
func (o outageScenario) play(seed uint64) (s *outageSim, lost time.Time) {
	s = newOutageSim(seed, o.gateways, 0.6, o.off)
	s.run(3 * time.Second)
	lost = s.now
	s.lose(0, o.ranks, o.startAfter)
	s.run(4 * time.Second)
	if o.during != nil {
		o.during(s)
	}
	s.run(10 * time.Second)
	return s, lost
}

// playAll adds up the callers from the loss to the formation of the group, and those of the two
// seconds after it, over some seeds.
func (o outageScenario) playAll() (outage, after outageCounts) {
	for seed := range uint64(2) {
		s, lost := o.play(seed)
		outage.add(s.count(lost, s.formsAt, nil))
		after.add(s.count(s.formsAt, s.formsAt.Add(2*time.Second), nil))
	}
	return outage, after
}

// Guards against callers that are told to come back into the same outage, or are held until they
// leave, while a third of the ranks is lost for 5.6 s. Those that came in the first three seconds
// can't be served by anybody: their second hold ends before the group is back.
func TestThirdOfTheRanksIsLost(t *testing.T) {
	for _, gateways := range []int{1, 40} {
		before, afterBefore := outageScenario{gateways: gateways, ranks: 24, startAfter: 5600 * time.Millisecond, off: true}.playAll()
		now, afterNow := outageScenario{gateways: gateways, ranks: 24, startAfter: 5600 * time.Millisecond}.playAll()
		t.Logf("%d gateways, during the outage: %+v, was %+v; in the next 2 s: %+v, was %+v", gateways, now, before, afterNow, afterBefore)
		assert.Assert(t, now.fraction(now.served) > before.fraction(before.served)-0.02)
		assert.Assert(t, now.fraction(now.refusedTwice) < before.fraction(before.refusedTwice)+0.02)
		assert.Assert(t, now.fraction(now.heldInVain) < 0.6*before.fraction(before.heldInVain))
		assert.Assert(t, afterNow.fraction(afterNow.inTime) > afterBefore.fraction(afterBefore.inTime)-0.02)
		assert.Assert(t, afterNow.fraction(afterNow.inTime) > 0.9)
	}
}

// Guards against requests of a short outage that are refused for good: one rank restarts in 1 s, and
// nearly all callers can be served when they come back.
func TestOneRankRestarts(t *testing.T) {
	for _, gateways := range []int{1, 40} {
		n, after := outageScenario{gateways: gateways, ranks: 1, startAfter: time.Second}.playAll()
		t.Logf("%d gateways, during the outage: %+v; in the next 2 s: %+v", gateways, n, after)
		assert.Assert(t, n.fraction(n.served) > 0.85)
		assert.Assert(t, n.fraction(n.heldInVain) < 0.2)
	}
}

// Guards against a backlog that makes new requests late after a recovery, and against one that is
// forgotten for them.
func TestNewRequestsAreInTimeAfterRecovery(t *testing.T) {
	for _, gateways := range []int{1, 40} {
		o := outageScenario{gateways: gateways, ranks: 72, startAfter: 600 * time.Millisecond}
		var after, backlog outageCounts
		for seed := range uint64(2) {
			s, lost := o.play(seed)
			for priority := range uint32(3) {
				n := s.count(s.formsAt, s.formsAt.Add(2*time.Second), priorityIs(priority))
				assert.Assert(t, n.fraction(n.inTime) > 0.88, "%d gateways, priority %d: %+v", gateways, priority, n)
				late := s.count(lost, s.formsAt, priorityIs(priority))
				assert.Assert(t, late.fraction(late.served) > 0.4, "%d gateways, backlog of priority %d: %+v", gateways, priority, late)
			}
			after.add(s.count(s.formsAt, s.formsAt.Add(2*time.Second), nil))
			backlog.add(s.count(lost, s.formsAt, nil))
		}
		t.Logf("%d gateways, backlog: %+v; in the next 2 s: %+v", gateways, backlog, after)
		assert.Assert(t, after.fraction(after.inTime) > 0.95)
		assert.Assert(t, backlog.fraction(backlog.served) > 0.7)
	}
}

// Guards against a gateway that starts during an outage and, without a history, holds requests in vain
// or sends callers away for good.
func TestGatewayStartsDuringOutage(t *testing.T) {
	const others = 4
	o := outageScenario{gateways: others, ranks: 24, startAfter: 5600 * time.Millisecond, during: func(s *outageSim) {
		s.addGateway(99, false, others+1)
		s.update()
	}}
	for seed := range uint64(2) {
		s, lost := o.play(seed)
		old := s.count(lost.Add(4*time.Second), s.formsAt, func(c *outageCaller) bool { return c.gateway < others })
		started := s.count(lost.Add(4*time.Second), s.formsAt, func(c *outageCaller) bool { return c.gateway == others })
		t.Logf("old gateways: %+v, the one that started: %+v", old, started)
		assert.Assert(t, started.callers > 50)
		assert.Assert(t, started.fraction(started.served) > old.fraction(old.served)-0.15)
		assert.Assert(t, started.fraction(started.heldInVain) < old.fraction(old.heldInVain)+0.15)
	}
}

// Guards against requests that aren't told apart from those of the first outage when the group breaks
// again just after it has formed.
func TestGroupBreaksAgainInSimulation(t *testing.T) {
	var before, now outageCounts
	for _, off := range []bool{true, false} {
		s := newOutageSim(3, 10, 0.6, off)
		s.run(3 * time.Second)
		lost := s.now
		s.lose(0, 1, 500*time.Millisecond)
		for !s.formed {
			s.run(20 * time.Millisecond)
		}
		s.run(200 * time.Millisecond)
		s.lose(5, 6, 500*time.Millisecond)
		s.run(10 * time.Second)
		n := s.count(lost, s.formsAt, nil)
		t.Logf("off %v: %+v", off, n)
		if off {
			before = n
		} else {
			now = n
		}
	}
	assert.Assert(t, now.fraction(now.served) > before.fraction(before.served))
	assert.Assert(t, now.fraction(now.refusedTwice) < before.fraction(before.refusedTwice))
	assert.Assert(t, now.heldFor.Seconds()/float64(now.callers) < before.heldFor.Seconds()/float64(before.callers))
}
