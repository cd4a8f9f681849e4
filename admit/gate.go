// Package admit decides who goes first: an urgent class with capacity of its
// own, weighted fair queueing between teams, bounded queues and deadlines; and
// it divides teams' limits between entries.
//
// Gate, Home and Limiter are pure: time and work go in, decisions come out.
// Runner drives a Gate for goroutines.
package admit

import (
	"container/heap"
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
// can go elsewhere while there is time. What arrives later isn't counted.
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
		ahead += float64(g.classes[i].total) * g.classes[i].mean
	}
	c := &g.classes[class]
	ahead += c.ahead(w) * c.mean
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
	if c.total < g.settings.MaxQueue {
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
		g.classes[class].ended(now.Sub(w.began))
		if class == urgentClass {
			g.urgent--
		}
	}
	w.state = stateOver
}

// Running returns how much work runs.
func (g *Gate) Running() int { return g.running }

// Waiting returns how much work waits.
func (g *Gate) Waiting() int {
	n := 0
	for i := range g.classes {
		n += g.classes[i].total
	}
	return n
}

// class is the work of one priority.
type class struct {
	// flows holds each team that waits, and the finish tags of teams that
	// could otherwise gain by having nothing waiting for a moment.
	flows map[string]*flow
	heap  flowHeap
	// total is how much work waits.
	total   int
	running int
	// weights is the sum over the teams that wait.
	weights float64
	// vtime is the start tag of the work last started; last is the largest
	// finish tag.
	vtime, last float64
	// mean is the mean time that work ran, in seconds; 0 before the first.
	mean float64
	// sweepAt is the number of flows at which idle ones are looked for.
	sweepAt int
}

// flow is the waiting work of one team, oldest first.
type flow struct {
	team       string
	head, tail *Work
	n          int
	weight     float64
	// start is the tag of the head, finish that of the work last started.
	start, finish float64
	index         int
}

func (c *class) push(w *Work) {
	f := c.flows[w.Team]
	if f == nil {
		f = &flow{team: w.Team}
		c.flows[w.Team] = f
	}
	w.flow = f
	w.prev = f.tail
	if f.tail != nil {
		f.tail.next = w
	} else {
		f.head = w
	}
	f.tail = w
	f.n++
	c.total++
	if f.n == 1 {
		// A team that was idle begins now: it gets no credit for the past.
		f.start = max(c.vtime, f.finish)
		f.weight = float64(w.Weight)
		c.weights += f.weight
		heap.Push(&c.heap, f)
	}
}

func (c *class) remove(w *Work) {
	f := w.flow
	wasHead := f.head == w
	if w.prev != nil {
		w.prev.next = w.next
	} else {
		f.head = w.next
	}
	if w.next != nil {
		w.next.prev = w.prev
	} else {
		f.tail = w.prev
	}
	w.prev, w.next, w.flow = nil, nil, nil
	f.n--
	c.total--
	switch {
	case f.n == 0:
		heap.Remove(&c.heap, f.index)
		c.weights -= f.weight
		c.forget()
	case wasHead:
		heap.Fix(&c.heap, f.index)
	}
}

// charge moves the tags for work that starts; it is still its team's head.
func (c *class) charge(w *Work) {
	f := w.flow
	c.vtime = max(c.vtime, f.start)
	f.finish = f.start + w.Cost/float64(w.Weight)
	f.start = f.finish
	c.last = max(c.last, f.finish)
}

// ahead estimates how much of its class goes before new work: its team's own, and
// what other teams get by their weights meanwhile, at most all that waits.
func (c *class) ahead(w *Work) float64 {
	own, weights := 0.0, c.weights
	if f := c.flows[w.Team]; f != nil && f.n > 0 {
		own = float64(f.n)
	} else {
		weights += float64(w.Weight)
	}
	return min(own*weights/float64(w.Weight), float64(c.total))
}

// meanPart is the weight of the newest run in the mean.
const meanPart = 0.1

func (c *class) ended(ran time.Duration) {
	c.running--
	if c.mean == 0 {
		c.mean = ran.Seconds()
	}
	c.mean += meanPart * (ran.Seconds() - c.mean)
	c.forget()
}

// forget drops the tags of idle teams that make no difference: those that virtual
// time has passed, and all of them once the class is idle (then virtual time is
// the largest finish tag, as in the paper). Memory follows the teams that wait or
// were served lately, not all teams ever seen.
func (c *class) forget() {
	if c.total == 0 && c.running == 0 {
		c.vtime = c.last
		clear(c.flows)
		return
	}
	if len(c.flows) < c.sweepAt {
		return
	}
	for team, f := range c.flows {
		if f.n == 0 && f.finish <= c.vtime {
			delete(c.flows, team)
		}
	}
	c.sweepAt = 2*len(c.flows) + minSweep
}

const minSweep = 64

// newest returns a team's newest waiting work of a named queue.
func (c *class) newest(team, queue string) *Work {
	f := c.flows[team]
	if f == nil {
		return nil
	}
	for w := f.tail; w != nil; w = w.prev {
		if w.Queue == queue {
			return w
		}
	}
	return nil
}

// giveWay returns the work that gives way to new work in the full class, or nil.
func (c *class) giveWay(w *Work, bound int) *Work {
	own, teams := 0, len(c.heap)
	if f := c.flows[w.Team]; f != nil && f.n > 0 {
		own = f.n
	} else {
		teams++
	}
	if !underEvenPart(own, teams, max(bound, c.total)) {
		return nil
	}
	largest := c.heap[0]
	for _, f := range c.heap {
		if f.n > largest.n || f.n == largest.n && f.team < largest.team {
			largest = f
		}
	}
	if largest.n <= own+1 {
		return nil
	}
	return largest.tail
}

// underEvenPart says whether a team that has some of a full queue may have one
// more.
func underEvenPart(own, teams, total int) bool { return (own+1)*teams <= total }

// occupancy counts the work that waits in a named queue, by team.
type occupancy struct {
	total int
	teams map[string]int
}

func (o *occupancy) add(team string) {
	o.total++
	o.teams[team]++
}

func (o *occupancy) sub(team string) {
	o.total--
	if o.teams[team]--; o.teams[team] == 0 {
		delete(o.teams, team)
	}
}

// givesWay returns the team whose work gives way to that of another in a full
// queue, or nothing: the one that has most, the first by name of several.
func (o *occupancy) givesWay(team string, bound int) string {
	own, teams := o.teams[team], len(o.teams)
	if own == 0 {
		teams++
	}
	if !underEvenPart(own, teams, max(bound, o.total)) {
		return ""
	}
	found, most := "", own+1
	for t, n := range o.teams {
		if n > most || n == most && found != "" && t < found {
			found, most = t, n
		}
	}
	return found
}

// flowHeap orders the teams that wait by the tags of their oldest work.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].head.seq < h[j].head.seq
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return f
}
