package admit

import (
	"container/heap"
	"time"
)

// class is the work of one priority.
type class struct {
	// flows holds each team that waits, and the finish tags of teams that
	// could otherwise gain by having nothing waiting for a moment.
	flows map[string]*flow
	heap  flowHeap
	// total is how much work waits.
	total int
	// tickets is how many of them wait elsewhere too.
	tickets int
	// places is how much of the queue they take, in parts of a place.
	places  int
	running int
	// weights is the sum over the teams of whose work some stays until it is started,
	// and teams their number.
	weights float64
	teams   int
	// vtime is the start tag of the work last started; last is the largest
	// finish tag.
	vtime, last float64
	// mean is the mean time that work ran.
	mean meanTime
	// sweepAt is the number of flows at which idle ones are looked for.
	sweepAt int
}

// flow is the waiting work of one team, oldest first.
type flow struct {
	team       string
	head, tail *Work
	n          int
	// staying is how many of them wait here alone.
	staying int
	weight  float64
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
	if f.n == 1 {
		// A team that was idle begins now: it gets no credit for the past.
		f.start = max(c.vtime, f.finish)
		f.weight = float64(w.Weight)
		heap.Push(&c.heap, f)
	}
	c.count(f, w, 1)
}

// placeUnit is a place in a queue. It divides evenly by up to 8 tickets.
const placeUnit = 840

// count adds work that waits, or takes it off.
func (c *class) count(f *flow, w *Work, n int) {
	c.total += n
	c.places += n * placeUnit / max(w.Tickets, 1)
	if w.Tickets > 0 {
		c.tickets += n
		return
	}
	before := f.staying
	f.staying += n
	switch {
	case before == 0:
		c.weights += f.weight
		c.teams++
	case f.staying == 0:
		c.weights -= f.weight
		c.teams--
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
	c.count(f, w, -1)
	switch {
	case f.n == 0:
		heap.Remove(&c.heap, f.index)
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

// ahead estimates from below how much of its class goes before new work: its team's
// own, and what other teams get by their weights meanwhile, at most all that waits.
//
// Of its share by weight another team may get two less: it may have been served one
// before its turn, and the last one of its share may come after the new work. Without
// this, work was refused for a deadline that it would have made by a run.
func (c *class) ahead(w *Work) float64 {
	own, weights, others := 0.0, c.weights, c.teams
	if f := c.flows[w.Team]; f != nil && f.staying > 0 {
		own = float64(f.staying)
		others--
	} else {
		weights += float64(w.Weight)
	}
	shares := own*weights/float64(w.Weight) - float64(shareSlack*others)
	return min(max(own, shares), float64(c.untilStarted()))
}

// shareSlack is how much less than its share by weight a team may get for a while.
const shareSlack = 2

// untilStarted is how much of what waits stays until it is started here.
func (c *class) untilStarted() int { return c.total - c.tickets }

// meanTime is a smoothed mean; 0 before the first.
type meanTime struct{ seconds float64 }

func (m *meanTime) add(d time.Duration) {
	if m.seconds == 0 {
		m.seconds = d.Seconds()
	}
	m.seconds += meanPart * (d.Seconds() - m.seconds)
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
