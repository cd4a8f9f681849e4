// Package admit decides who goes first: an urgent class with capacity of its
// own, weighted fair queueing between teams, bounded queues and deadlines.
//
// Gate is pure: time and work go in, work to start comes out. Runner drives one
// for goroutines.
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
	ErrDeadline  = merry.Sentinel("deadline passes before the work can start")
	ErrClosed    = merry.Sentinel("no new work is taken")
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

// Work is one piece of work. Its fields are set by the caller.
type Work struct {
	Team     string
	Weight   int
	Priority wire.Priority
	// Cost is the work's size, in any one unit; 1 if zero.
	Cost float64
	// Deadline by which the work must have started; zero is none.
	Deadline time.Time
	// Value is the caller's.
	Value any

	start, finish float64
	seq           uint64
	index         int
	state         workState
}

type workState int

const (
	stateNew workState = iota
	stateWaiting
	stateRunning
	stateOver
)

// Gate queues work and says what starts. Classes are strict: urgent before
// normal before batch. Within a class, teams share by start-time fair queueing
// (Goyal, Vin, Cheng: Start-time Fair Queueing, SIGCOMM 1996).
type Gate struct {
	settings Settings
	classes  [4]class
	running  int
	urgent   int
	seq      uint64
}

type class struct {
	queue workHeap
	// vtime is the start tag of the work last started.
	vtime float64
	// finish holds each team's last finish tag.
	finish map[string]float64
}

// NewGate makes a gate.
func NewGate(s Settings) *Gate {
	g := &Gate{settings: s}
	for i := range g.classes {
		g.classes[i].finish = map[string]float64{}
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

// Offer queues work, or refuses it.
func (g *Gate) Offer(now time.Time, w *Work) error {
	if !w.Deadline.IsZero() && !now.Before(w.Deadline) {
		return ErrDeadline
	}
	c := &g.classes[classOf(w.Priority)]
	if len(c.queue) >= g.settings.MaxQueue && !g.free(w.Priority) {
		return ErrQueueFull
	}
	g.tag(c, w)
	w.state = stateWaiting
	heap.Push(&c.queue, w)
	return nil
}

func (g *Gate) tag(c *class, w *Work) {
	cost := w.Cost
	if cost <= 0 {
		cost = 1
	}
	weight := float64(max(w.Weight, 1))
	w.start = max(c.vtime, c.finish[w.Team])
	w.finish = w.start + cost/weight
	c.finish[w.Team] = w.finish
	g.seq++
	w.seq = g.seq
}

// free says whether work of a class would start at once.
func (g *Gate) free(p wire.Priority) bool {
	if g.running >= g.settings.Slots {
		return false
	}
	if classOf(p) == int(wire.Priority_PRIORITY_URGENT) {
		return true
	}
	// Reserved slots that urgent work does not use stay empty: work that ran in
	// them would make the next urgent signal wait for its end.
	reservedFree := max(g.settings.Reserved-g.urgent, 0)
	return g.running+reservedFree < g.settings.Slots
}

// Start returns the work that starts now, and work whose deadline has passed
// while it waited.
func (g *Gate) Start(now time.Time) (start, expired []*Work) {
	for i := range g.classes {
		c := &g.classes[i]
		for len(c.queue) > 0 {
			w := c.queue[0]
			if !w.Deadline.IsZero() && !now.Before(w.Deadline) {
				heap.Pop(&c.queue)
				w.state = stateOver
				expired = append(expired, w)
				continue
			}
			if !g.free(w.Priority) {
				break
			}
			heap.Pop(&c.queue)
			g.begin(c, w)
			start = append(start, w)
		}
		g.forget(c)
	}
	return start, expired
}

func (g *Gate) begin(c *class, w *Work) {
	w.state = stateRunning
	c.vtime = max(c.vtime, w.start)
	g.running++
	if classOf(w.Priority) == int(wire.Priority_PRIORITY_URGENT) {
		g.urgent++
	}
}

// forget drops the finish tags of an idle class, so that memory follows the
// teams that wait, not all teams ever seen.
func (g *Gate) forget(c *class) {
	if len(c.queue) == 0 && len(c.finish) > 1024 {
		clear(c.finish)
		c.vtime = 0
	}
}

// Done ends running work, or takes waiting work out of the queue.
func (g *Gate) Done(w *Work) {
	switch w.state {
	case stateWaiting:
		heap.Remove(&g.classes[classOf(w.Priority)].queue, w.index)
	case stateRunning:
		g.running--
		if classOf(w.Priority) == int(wire.Priority_PRIORITY_URGENT) {
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
		n += len(g.classes[i].queue)
	}
	return n
}

type workHeap []*Work

func (h workHeap) Len() int { return len(h) }

func (h workHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].seq < h[j].seq
}

func (h workHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *workHeap) Push(x any) {
	w := x.(*Work)
	w.index = len(*h)
	*h = append(*h, w)
}

func (h *workHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return w
}
