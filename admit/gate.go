// Package admit implements admission control: priority classes with slots reserved for
// urgent work, weighted fair queueing between teams, bounded queues and deadlines. It also
// divides the limits of teams between entries.
//
// Gate, ShareAllocator and Limiter are deterministic state machines: they are told the time and
// do no I/O. Runner drives a Gate for goroutines.
package admit

import (
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/wire"
)

// Errors of this package. Work that is refused with any of them was not started.
var (
	ErrQueueFull = merry.Sentinel("queue is full")
	// ErrNamedQueueFull is returned when the named queue of the work is at its own bound.
	ErrNamedQueueFull = merry.Sentinel("queue of the service is full")
	ErrDeadline       = merry.Sentinel("deadline passes before the work can start")
	ErrClosed         = merry.Sentinel("no new work is taken")
	// ErrNoFreeSlot is returned for work with NoWait that can't start at once.
	ErrNoFreeSlot = merry.Sentinel("no slot is free")
)

// Settings configures a Gate.
type Settings struct {
	// Slots bounds the work that runs at once.
	Slots int
	// Reserved is the number of slots that take urgent work only.
	Reserved int
	// MaxQueue bounds the waiting work of each class.
	MaxQueue int
}

// ReservedSlots returns how many slots to reserve for urgent work, given a percentage. It
// rounds up, since rounding down would reserve none of a few slots, but leaves at least one
// slot for other work.
func ReservedSlots(slots, percent int) int {
	return max(min((slots*percent+99)/100, slots-1), 0)
}

// Work is one unit of work that needs a slot. The caller sets its exported fields.
type Work struct {
	Team     string
	Weight   int
	Priority wire.Priority
	// Cost is the size of the work in any unit; 0 means 1.
	Cost float64
	// Deadline is when the work must have started; zero means none.
	Deadline time.Time
	// Queue names a queue within the class queues that has a bound of its own, MaxQueue.
	// Work with an empty name has no such bound.
	Queue    string
	MaxQueue int
	// NoWait refuses the work unless it can start at once.
	NoWait bool
	// Tickets is the number of gates that the work is queued at as tied requests, to be
	// started at one of them; 0 means this gate alone. Such work isn't counted as load or
	// in wait estimates, and takes 1/Tickets of a place in the queue.
	Tickets int
	// Unused is set before Done if the slot was released without running anything.
	Unused bool
	// Value is for the caller's use. Runner overwrites it.
	Value any

	flow       *flow
	namedQueue *occupancy
	prev, next *Work
	seq        uint64
	startedAt  time.Time
	state      workState
}

type workState int

const (
	stateNew workState = iota
	stateWaiting
	stateRunning
	stateDone
)

// Refusal is waiting work that will not be started.
type Refusal struct {
	Work *Work
	Err  error
}

// Gate queues work and decides what starts. Classes have strict priority: urgent, normal,
// batch. Within a class, teams share by start-time fair queueing (Goyal, Vin, Cheng:
// Start-time Fair Queueing, SIGCOMM 1996). Only the oldest work of each team carries a tag,
// so that work that is cancelled or refused while it waits costs its team nothing. Gate is
// not safe for concurrent use.
type Gate struct {
	settings Settings
	classes  [4]class
	// namedQueues counts the waiting work of each named queue.
	namedQueues   map[string]*occupancy
	running       int
	runningUrgent int
	// meanRun is the smoothed run time over all classes.
	meanRun runTimeAverage
	seq     uint64
	refused []Refusal
}

func NewGate(s Settings) *Gate {
	g := &Gate{settings: s, namedQueues: map[string]*occupancy{}}
	for i := range g.classes {
		g.classes[i].flows = map[string]*flow{}
	}
	return g
}

// Configure changes the settings. Waiting work is kept, even above a lowered queue bound.
func (g *Gate) Configure(s Settings) { g.settings = s }

func classOf(p wire.Priority) int {
	if p < wire.Priority_PRIORITY_URGENT || p > wire.Priority_PRIORITY_BATCH {
		return int(wire.Priority_PRIORITY_NORMAL)
	}
	return int(p)
}

const urgentClass = int(wire.Priority_PRIORITY_URGENT)

// Offer queues work, or refuses it with an error. Work that is evicted in its favor is
// among the refusals that the next Start returns.
func (g *Gate) Offer(now time.Time, w *Work) error {
	if w.Weight < 1 {
		w.Weight = 1
	}
	if w.Cost <= 0 {
		w.Cost = 1
	}
	class := classOf(w.Priority)
	if w.NoWait && !g.startsAtOnce(class) {
		return ErrNoFreeSlot
	}
	if !w.Deadline.IsZero() && !now.Add(g.estimateWait(class, w)).Before(w.Deadline) {
		return ErrDeadline
	}
	if !g.startsAtOnce(class) {
		if err := g.makeRoom(class, w); err != nil {
			return err
		}
	}
	g.seq++
	w.seq = g.seq
	w.state = stateWaiting
	g.classes[class].push(w)
	if w.Queue != "" {
		w.namedQueue = g.namedQueue(w.Queue)
		w.namedQueue.add(w.Team)
	}
	return nil
}

func (g *Gate) namedQueue(name string) *occupancy {
	q := g.namedQueues[name]
	if q == nil {
		q = &occupancy{teams: map[string]int{}}
		g.namedQueues[name] = q
	}
	return q
}

// startsAtOnce reports whether new work of a class would start without waiting.
func (g *Gate) startsAtOnce(class int) bool {
	for i := range class + 1 {
		if g.classes[i].total > 0 {
			return false
		}
	}
	return g.hasFreeSlot(class)
}

// estimateWait returns a lower bound on how long new work would wait: the work that starts
// before it, by the mean run time of each class, over the slots that it may use. Work that
// can't meet its deadline by this is refused early, so that its caller can go elsewhere in
// time. Later arrivals aren't counted, nor are tickets, most of which start elsewhere.
func (g *Gate) estimateWait(class int, w *Work) time.Duration {
	if g.startsAtOnce(class) {
		return 0
	}
	slots := g.settings.Slots
	if class != urgentClass {
		slots -= g.settings.Reserved
	}
	secondsAhead := 0.0
	for i := range class {
		secondsAhead += float64(g.classes[i].exclusiveWaiting()) * g.classes[i].meanRun.seconds
	}
	c := &g.classes[class]
	secondsAhead += c.workAhead(w) * c.meanRun.seconds
	return time.Duration(secondsAhead / float64(max(slots, 1)) * float64(time.Second))
}

// makeRoom returns an error if work may not be queued. If a queue is full, work of the team
// that has most in it is evicted in favor of a team below its even share, so that one team
// can't keep others out of the queue.
func (g *Gate) makeRoom(class int, w *Work) error {
	if w.Queue != "" && !g.makeRoomInNamedQueue(class, w) {
		return ErrNamedQueueFull
	}
	c := &g.classes[class]
	if c.usedUnits < g.settings.MaxQueue*unitsPerWork {
		return nil
	}
	victim := c.evictionVictim(w, g.settings.MaxQueue)
	if victim == nil {
		return ErrQueueFull
	}
	g.refuseWaiting(victim, ErrQueueFull)
	return nil
}

// makeRoomInNamedQueue reports whether the named queue has room, evicting work if
// necessary. It never evicts work of a higher class than that of the new work.
func (g *Gate) makeRoomInNamedQueue(class int, w *Work) bool {
	q := g.namedQueues[w.Queue]
	if q == nil {
		return w.MaxQueue > 0
	}
	if q.total < w.MaxQueue {
		return true
	}
	team := q.evictionTeam(w.Team, w.MaxQueue)
	if team == "" {
		return false
	}
	for i := len(g.classes) - 1; i >= class; i-- {
		if victim := g.classes[i].newestOf(team, w.Queue); victim != nil {
			g.refuseWaiting(victim, ErrNamedQueueFull)
			return true
		}
	}
	return false
}

// refuseWaiting removes waiting work and refuses it with err.
func (g *Gate) refuseWaiting(w *Work, err error) {
	g.dequeue(w)
	w.state = stateDone
	g.refused = append(g.refused, Refusal{w, err})
}

func (g *Gate) dequeue(w *Work) {
	g.classes[classOf(w.Priority)].remove(w)
	if w.namedQueue == nil {
		return
	}
	w.namedQueue.sub(w.Team)
	if w.namedQueue.total == 0 {
		delete(g.namedQueues, w.Queue)
	}
	w.namedQueue = nil
}

// hasFreeSlot reports whether a slot is free for a class.
func (g *Gate) hasFreeSlot(class int) bool {
	if g.running >= g.settings.Slots {
		return false
	}
	if class == urgentClass {
		return true
	}
	// Unused reserved slots stay empty: other work in them would delay the next urgent work
	// until it has ended.
	reservedFree := max(g.settings.Reserved-g.runningUrgent, 0)
	return g.running+reservedFree < g.settings.Slots
}

// Start returns the work that starts now, and waiting work that is refused.
func (g *Gate) Start(now time.Time) (start []*Work, refused []Refusal) {
	for i := range g.classes {
		c := &g.classes[i]
		for len(c.heap) > 0 {
			w := c.heap[0].head
			if !w.Deadline.IsZero() && !now.Before(w.Deadline) {
				g.refuseWaiting(w, ErrDeadline)
				continue
			}
			if !g.hasFreeSlot(i) {
				break
			}
			g.begin(now, w)
			start = append(start, w)
		}
	}
	refused, g.refused = g.refused, nil
	return start, refused
}

func (g *Gate) begin(now time.Time, w *Work) {
	class := classOf(w.Priority)
	g.classes[class].charge(w)
	g.dequeue(w)
	w.state = stateRunning
	w.startedAt = now
	g.running++
	g.classes[class].running++
	if class == urgentClass {
		g.runningUrgent++
	}
}

// Done ends running work, or takes waiting work out of the queue.
func (g *Gate) Done(now time.Time, w *Work) {
	switch w.state {
	case stateWaiting:
		g.dequeue(w)
	case stateRunning:
		class := classOf(w.Priority)
		g.running--
		g.classes[class].running--
		// A slot that was released unused says nothing about run times.
		if !w.Unused {
			ran := now.Sub(w.startedAt)
			g.classes[class].meanRun.add(ran)
			g.meanRun.add(ran)
		}
		g.classes[class].pruneFlows()
		if class == urgentClass {
			g.runningUrgent--
		}
	}
	w.state = stateDone
}

// Running returns the amount of running work.
func (g *Gate) Running() int { return g.running }

// Waiting returns the amount of waiting work, not counting tickets.
func (g *Gate) Waiting() int {
	n := 0
	for i := range g.classes {
		n += g.classes[i].exclusiveWaiting()
	}
	return n
}

// MeanRun returns the smoothed run time, or 0 before the first run has ended.
func (g *Gate) MeanRun() time.Duration {
	return time.Duration(g.meanRun.seconds * float64(time.Second))
}

// meanRunSmoothing is the EWMA smoothing factor of run times.
const meanRunSmoothing = 0.1

// minSweepThreshold keeps a small number of flows from being swept each time work ends.
const minSweepThreshold = 64
