package admit

import (
	"container/heap"
	"time"
)

// class is the queue of one priority.
type class struct {
	// flows holds the teams with waiting work, and idle teams whose finish tag still
	// counts: dropping it would let a team gain by having nothing queued for a moment.
	flows map[string]*flow
	heap  flowHeap
	// total is the amount of waiting work.
	total int
	// tickets is how much of it is queued at other gates too.
	tickets int
	// usedUnits is the queue capacity in use; work queued at this gate alone takes
	// unitsPerWork.
	usedUnits int
	running   int
	// exclusiveWeight is the sum of the weights of the teams that have work queued at this
	// gate alone, exclusiveTeams the number of these teams.
	exclusiveWeight float64
	exclusiveTeams  int
	// vtime is the virtual time, the start tag of the work started last. maxFinish is the
	// largest finish tag.
	vtime, maxFinish float64
	// meanRun is the smoothed run time.
	meanRun runTimeAverage
	// sweepThreshold is the number of flows at which idle ones are looked for.
	sweepThreshold int
}

// flow is the waiting work of one team, oldest first.
type flow struct {
	team       string
	head, tail *Work
	n          int
	// exclusive is how much of it is queued at this gate alone.
	exclusive int
	weight    float64
	// startTag is that of the head, finishTag that of the work started last.
	startTag, finishTag float64
	index               int
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
		// A team that was idle gets no credit for the past.
		f.startTag = max(c.vtime, f.finishTag)
		f.weight = float64(w.Weight)
		heap.Push(&c.heap, f)
	}
	c.adjustCounts(f, w, 1)
}

// unitsPerWork is the queue capacity that work queued at one gate takes. It is divisible by
// every number of tickets up to 8.
const unitsPerWork = 840

// adjustCounts updates the counters for w; n is 1 when it is queued and -1 when it is
// removed.
func (c *class) adjustCounts(f *flow, w *Work, n int) {
	c.total += n
	c.usedUnits += n * unitsPerWork / max(w.Tickets, 1)
	if w.Tickets > 0 {
		c.tickets += n
		return
	}
	before := f.exclusive
	f.exclusive += n
	switch {
	case before == 0:
		c.exclusiveWeight += f.weight
		c.exclusiveTeams++
	case f.exclusive == 0:
		c.exclusiveWeight -= f.weight
		c.exclusiveTeams--
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
	c.adjustCounts(f, w, -1)
	switch {
	case f.n == 0:
		heap.Remove(&c.heap, f.index)
		c.pruneFlows()
	case wasHead:
		heap.Fix(&c.heap, f.index)
	}
}

// charge advances the virtual time and the team's tags for work that starts. The work must
// still be its team's head.
func (c *class) charge(w *Work) {
	f := w.flow
	c.vtime = max(c.vtime, f.startTag)
	f.finishTag = f.startTag + w.Cost/float64(w.Weight)
	f.startTag = f.finishTag
	c.maxFinish = max(c.maxFinish, f.finishTag)
}

// workAhead returns a lower bound on the work of the class that starts before new work:
// that of its own team, and what other teams get by their weights meanwhile, at most all
// that waits. Tickets aren't counted.
//
// Another team may get up to shareSlack less than its share by weight: it may have been
// served early, and the last work of its share may start after the new one.
func (c *class) workAhead(w *Work) float64 {
	own, weights, others := 0.0, c.exclusiveWeight, c.exclusiveTeams
	if f := c.flows[w.Team]; f != nil && f.exclusive > 0 {
		own = float64(f.exclusive)
		others--
	} else {
		weights += float64(w.Weight)
	}
	shares := own*weights/float64(w.Weight) - float64(shareSlack*others)
	return min(max(own, shares), float64(c.exclusiveWaiting()))
}

// shareSlack bounds how far a team may temporarily lag behind its share by weight, in units
// of work.
const shareSlack = 2

// exclusiveWaiting returns how much of the waiting work is queued at this gate alone.
func (c *class) exclusiveWaiting() int { return c.total - c.tickets }

// runTimeAverage is an exponentially weighted moving average, 0 before the first sample.
type runTimeAverage struct{ seconds float64 }

func (m *runTimeAverage) add(d time.Duration) {
	if m.seconds == 0 {
		m.seconds = d.Seconds()
	}
	m.seconds += meanRunSmoothing * (d.Seconds() - m.seconds)
}

// pruneFlows drops the tags of idle teams that no longer matter: those whose finish tag
// virtual time has passed, and all of them once the class is idle (virtual time then
// becomes the largest finish tag). It bounds memory by the teams that wait or were served
// lately.
func (c *class) pruneFlows() {
	if c.total == 0 && c.running == 0 {
		c.vtime = c.maxFinish
		clear(c.flows)
		return
	}
	if len(c.flows) < c.sweepThreshold {
		return
	}
	for team, f := range c.flows {
		if f.n == 0 && f.finishTag <= c.vtime {
			delete(c.flows, team)
		}
	}
	c.sweepThreshold = 2*len(c.flows) + minSweepThreshold
}

// newestOf returns a team's newest waiting work in a named queue, or nil.
func (c *class) newestOf(team, queue string) *Work {
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

// evictionVictim returns the work to evict from the full class in favor of new work, or
// nil: the newest work of the team that has most.
func (c *class) evictionVictim(w *Work, bound int) *Work {
	own, teams := 0, len(c.heap)
	if f := c.flows[w.Team]; f != nil && f.n > 0 {
		own = f.n
	} else {
		teams++
	}
	if !withinEvenShare(own, teams, max(bound, c.total)) {
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

// withinEvenShare reports whether a team that has own work in a full queue may add one
// more.
func withinEvenShare(own, teams, total int) bool { return (own+1)*teams <= total }

// occupancy counts the waiting work of a named queue by team.
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

// evictionTeam returns the team whose work is evicted from a full queue in favor of work of
// team, or "" if there is none: the one that has most, the first by name of several.
func (o *occupancy) evictionTeam(team string, bound int) string {
	own, teams := o.teams[team], len(o.teams)
	if own == 0 {
		teams++
	}
	if !withinEvenShare(own, teams, max(bound, o.total)) {
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

// flowHeap is a min-heap of the teams with waiting work by the start tag of their oldest
// work.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
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
