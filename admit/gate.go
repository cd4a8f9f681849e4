// Package admit decides who goes first: an urgent class with capacity of its
// own, weighted fair queueing between teams, bounded queues and deadlines; and
// it divides teams' limits between entries.
//
// Gate, Home and Limiter are pure: time and work go in, decisions come out.
// Runner drives a Gate for goroutines.
package admit

import (
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/wire"
)

// Errors of this layer. Work refused with any of them was not started.
var (
	ErrQueueFull = merry.Sentinel("queue is full")
	// ErrPartFull says that the work's named queue is at its own bound.
	ErrPartFull = merry.Sentinel("queue of the service is full")
	ErrDeadline = merry.Sentinel("deadline passes before the work can start")
	ErrClosed   = merry.Sentinel("no new work is taken")
	// ErrBusy refuses work that is not to wait.
	ErrBusy = merry.Sentinel("no slot is free")
)

// Settings of a Gate.
type Settings struct {
	// Slots is how much work runs at once.
	Slots int
	// Reserved slots take urgent work only.
	Reserved int
	// MaxQueue bounds the work that waits in each class.
	MaxQueue int
}

// ReservedSlots is how many of some slots are kept for urgent work: a part in
// percent, rounded up, since a tenth of eight slots that is rounded down keeps
// none. One slot at least is left for other work.
func ReservedSlots(slots, percent int) int {
	return max(min((slots*percent+99)/100, slots-1), 0)
}

// Work is one piece of work. Its fields are set by the caller.
type Work struct {
	Team     string
	Weight   int
	Priority wire.Priority
	// Cost is the work's size, in any one unit; 1 if zero.
	Cost float64
	// Deadline by which the work must have started; zero is none.
	Deadline time.Time
	// Queue names a part of the queue that has a bound of its own, MaxQueue. No
	// name is no such bound.
	Queue    string
	MaxQueue int
	// NoWait has the work refused unless it starts at once.
	NoWait bool
	// Tickets is at how many gates the work waits, to be started at one; 0 is here
	// alone. The others see it go: it is no load, delays nothing that waits, and
	// takes its part of a place in the queue.
	Tickets int
	// Unused is set before Done if the slot was given back without a run.
	Unused bool
	// Value is the caller's.
	Value any

	flow       *flow
	part       *occupancy
	prev, next *Work
	seq        uint64
	began      time.Time
	state      workState
}

type workState int

const (
	stateNew workState = iota
	stateWaiting
	stateRunning
	stateOver
)

// Refusal is work that waited and will not be started.
type Refusal struct {
	Work *Work
	Err  error
}

// Gate queues work and says what starts. Classes are strict: urgent before
// normal before batch. Within a class, teams share by start-time fair queueing
// (Goyal, Vin, Cheng: Start-time Fair Queueing, SIGCOMM 1996). Only the first
// work of each team carries tags: work that is cancelled or refused while it
// waits costs its team nothing.
type Gate struct {
	settings Settings
	classes  [4]class
	// queues counts the work that waits in each named queue.
	queues  map[string]*occupancy
	running int
	urgent  int
	// mean is the mean time that work ran, over all classes.
	mean    meanTime
	seq     uint64
	refused []Refusal
}

// NewGate makes a gate.
func NewGate(s Settings) *Gate {
	g := &Gate{settings: s, queues: map[string]*occupancy{}}
	for i := range g.classes {
		g.classes[i].flows = map[string]*flow{}
	}
	return g
}

// Configure changes the settings in flight; no waiting work is lost, even above
// a lowered queue bound.
func (g *Gate) Configure(s Settings) { g.settings = s }

func classOf(p wire.Priority) int {
	if p < wire.Priority_PRIORITY_URGENT || p > wire.Priority_PRIORITY_BATCH {
		return int(wire.Priority_PRIORITY_NORMAL)
	}
	return int(p)
}

const urgentClass = int(wire.Priority_PRIORITY_URGENT)

// Offer queues work, or refuses it. Work that gives way to it is among the
// refusals that the next Start returns.
func (g *Gate) Offer(now time.Time, w *Work) error {
	if w.Weight < 1 {
		w.Weight = 1
	}
	if w.Cost <= 0 {
		w.Cost = 1
	}
	class := classOf(w.Priority)
	if w.NoWait && !g.startsAtOnce(class) {
		return ErrBusy
	}
	if !w.Deadline.IsZero() && !now.Add(g.wait(class, w)).Before(w.Deadline) {
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
		w.part = g.part(w.Queue)
		w.part.add(w.Team)
	}
	return nil
}

func (g *Gate) part(name string) *occupancy {
	q := g.queues[name]
	if q == nil {
		q = &occupancy{teams: map[string]int{}}
		g.queues[name] = q
	}
	return q
}

// startsAtOnce says whether the next work of a class doesn't wait at all.
func (g *Gate) startsAtOnce(class int) bool {
	for i := range class + 1 {
		if g.classes[i].total > 0 {
			return false
		}
	}
	return g.free(class)
}

// wait estimates from below how long work would wait: what goes before it, by
// the mean time that each class was seen to run, over the slots that it may use.
// Work that can't make its deadline by this is refused at once, and its caller
// can go elsewhere while there is time. What arrives later isn't counted, nor are
// tickets: most of them go before their turn.
func (g *Gate) wait(class int, w *Work) time.Duration {
	if g.startsAtOnce(class) {
		return 0
	}
	slots := g.settings.Slots
	if class != urgentClass {
		slots -= g.settings.Reserved
	}
	ahead := 0.0
	for i := range class {
		ahead += float64(g.classes[i].untilStarted()) * g.classes[i].mean.seconds
	}
	c := &g.classes[class]
	ahead += c.ahead(w) * c.mean.seconds
	return time.Duration(ahead / float64(max(slots, 1)) * float64(time.Second))
}

// makeRoom says whether work may wait. If a queue is full, work of a team that
// has more than an even part of it gives way to that of one that has less: a
// team that sends without end can't keep others out of the queue.
func (g *Gate) makeRoom(class int, w *Work) error {
	if w.Queue != "" && !g.makeRoomInPart(class, w) {
		return ErrPartFull
	}
	c := &g.classes[class]
	if c.places < g.settings.MaxQueue*placeUnit {
		return nil
	}
	victim := c.giveWay(w, g.settings.MaxQueue)
	if victim == nil {
		return ErrQueueFull
	}
	g.drop(victim, ErrQueueFull)
	return nil
}

// makeRoomInPart looks for work that gives way in the classes from the lowest up
// to that of the new work: none gives way to work of a lower class.
func (g *Gate) makeRoomInPart(class int, w *Work) bool {
	q := g.queues[w.Queue]
	if q == nil {
		return w.MaxQueue > 0
	}
	if q.total < w.MaxQueue {
		return true
	}
	team := q.givesWay(w.Team, w.MaxQueue)
	if team == "" {
		return false
	}
	for i := len(g.classes) - 1; i >= class; i-- {
		if victim := g.classes[i].newest(team, w.Queue); victim != nil {
			g.drop(victim, ErrPartFull)
			return true
		}
	}
	return false
}

// drop takes waiting work out and refuses it.
func (g *Gate) drop(w *Work, err error) {
	g.unqueue(w)
	w.state = stateOver
	g.refused = append(g.refused, Refusal{w, err})
}

func (g *Gate) unqueue(w *Work) {
	g.classes[classOf(w.Priority)].remove(w)
	if w.part == nil {
		return
	}
	w.part.sub(w.Team)
	if w.part.total == 0 {
		delete(g.queues, w.Queue)
	}
	w.part = nil
}

// free says whether a slot is free for a class.
func (g *Gate) free(class int) bool {
	if g.running >= g.settings.Slots {
		return false
	}
	if class == urgentClass {
		return true
	}
	// Reserved slots that urgent work does not use stay empty: work that ran in
	// them would make the next urgent signal wait for its end.
	reservedFree := max(g.settings.Reserved-g.urgent, 0)
	return g.running+reservedFree < g.settings.Slots
}

// Start returns the work that starts now, and work that waited and is refused.
func (g *Gate) Start(now time.Time) (start []*Work, refused []Refusal) {
	for i := range g.classes {
		c := &g.classes[i]
		for len(c.heap) > 0 {
			w := c.heap[0].head
			if !w.Deadline.IsZero() && !now.Before(w.Deadline) {
				g.drop(w, ErrDeadline)
				continue
			}
			if !g.free(i) {
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
	g.unqueue(w)
	w.state = stateRunning
	w.began = now
	g.running++
	g.classes[class].running++
	if class == urgentClass {
		g.urgent++
	}
}

// Done ends running work, or takes waiting work out of the queue.
func (g *Gate) Done(now time.Time, w *Work) {
	switch w.state {
	case stateWaiting:
		g.unqueue(w)
	case stateRunning:
		class := classOf(w.Priority)
		g.running--
		g.classes[class].running--
		// A slot that was given back unused says nothing of how long runs take.
		if !w.Unused {
			ran := now.Sub(w.began)
			g.classes[class].mean.add(ran)
			g.mean.add(ran)
		}
		g.classes[class].forget()
		if class == urgentClass {
			g.urgent--
		}
	}
	w.state = stateOver
}

// Running returns how much work runs.
func (g *Gate) Running() int { return g.running }

// Waiting returns how much work waits, but for tickets.
func (g *Gate) Waiting() int {
	n := 0
	for i := range g.classes {
		n += g.classes[i].untilStarted()
	}
	return n
}

// MeanRun returns the mean time that work ran lately; 0 before the first has ended.
func (g *Gate) MeanRun() time.Duration {
	return time.Duration(g.mean.seconds * float64(time.Second))
}

// meanPart is the weight of the newest run in the mean.
const meanPart = 0.1

const minSweep = 64
