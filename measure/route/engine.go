package main

import (
	"container/heap"
	"container/list"
	"slices"
	"time"

	"github.com/snipereach/snipereach/wire"
)

// event is a function that is due at a virtual time; n orders events of the same time.
type event struct {
	at  time.Duration
	n   int
	run func()
}

type events []*event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].n < q[j].n
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(*event)) }
func (q *events) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// clock is the virtual clock and its event queue.
type clock struct {
	now   time.Duration
	n     int
	queue events
}

func (c *clock) schedule(d time.Duration, run func()) {
	c.n++
	heap.Push(&c.queue, &event{c.now + d, c.n, run})
}

func (c *clock) run(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		e := heap.Pop(&c.queue).(*event)
		c.now = e.at
		e.run()
	}
	c.now = until
}

// job is a request at an engine.
type job struct {
	class    wire.Priority
	output   int
	prefix   []uint64
	deadline time.Duration
	// noWait makes the agent refuse the request unless a slot is free.
	noWait bool
	// hit is the number of the prompt's blocks that were cached when the job started.
	hit     int
	started func()
	// ended is called with the outcome, the reason and the load that the agent reports.
	ended  func(wire.Outcome, wire.Reason, *wire.Load)
	finish float64
	began  time.Duration
	index  int
	// ticket marks a place in the queue without a request: when a slot becomes free
	// for it, the slot is held and granted is called.
	ticket bool
	// ticketCount is the number of tickets of the request.
	ticketCount int
	granted     func()
	holds       bool
}

type jobs []*job

func (q jobs) Len() int           { return len(q) }
func (q jobs) Less(i, j int) bool { return q[i].finish < q[j].finish }
func (q jobs) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}
func (q *jobs) Push(x any) {
	j := x.(*job)
	j.index = len(*q)
	*q = append(*q, j)
}
func (q *jobs) Pop() any {
	old := *q
	j := old[len(old)-1]
	*q = old[:len(old)-1]
	return j
}

// spec describes the servers of a pool.
type spec struct {
	servers, slots, maxQueue int
	// step is the time of a decoding step with all slots in use; idleStep is the
	// fraction of it that a step of an empty engine takes.
	step     time.Duration
	idleStep float64
	// prefill is the number of steps that an uncached block of the prompt takes.
	prefill float64
	// cache is the size of the prefix cache in blocks.
	cache int
	// timeout is the deadline of a request.
	timeout time.Duration
}

// engine is a server with its agent: queues by class, slots, and steps that take longer
// the more requests run. Continuous batching is modelled as a fluid: all running
// requests progress at the same rate.
type engine struct {
	clock   *clock
	spec    spec
	domain  string
	queue   [4][]*job
	waiting int
	running jobs
	// steps is the number of steps done up to the time at.
	steps   float64
	at      time.Duration
	version int
	stalled bool
	dead    bool
	// slow is the factor by which steps take longer; 0 means normal speed.
	slow  float64
	seq   uint64
	cache blockCache
	// held is the number of slots that are held for granted tickets.
	held int
	// run is the smoothed run time of requests (EWMA), in seconds.
	run float64
	// tickets is the number of waiting tickets. places is the use of the queue, in
	// which each ticket counts as a fraction of its request.
	tickets int
	places  float64
}

func (e *engine) full() bool { return len(e.running)+e.held >= e.spec.slots }

func (e *engine) stepTime() float64 {
	share := float64(len(e.running)) / float64(e.spec.slots)
	return max(e.slow, 1) * e.spec.step.Seconds() * (e.spec.idleStep + (1-e.spec.idleStep)*share)
}

// advance updates steps to the current time.
func (e *engine) advance() {
	if len(e.running) > 0 && !e.stalled {
		e.steps += (e.clock.now - e.at).Seconds() / e.stepTime()
	}
	e.at = e.clock.now
}

// load returns the load that the agent reports.
func (e *engine) load() *wire.Load {
	e.seq++
	return &wire.Load{
		Seq: e.seq, Running: uint32(len(e.running) + e.held), Waiting: uint32(e.waiting - e.tickets), Slots: uint32(e.spec.slots),
		RunUs: uint32(e.run * 1e6),
	}
}

// offer queues a job. It refuses it if no slot is free and the queue is full or the job
// must not wait.
func (e *engine) offer(j *job) {
	if e.full() && (j.noWait || e.places >= float64(e.spec.maxQueue)) {
		j.ended(wire.Outcome_OUTCOME_NOT_RUN, wire.Reason_REASON_QUEUE_FULL, e.load())
		return
	}
	e.queue[j.class] = append(e.queue[j.class], j)
	e.count(j, 1)
	e.fill()
}

// count adds n, which is 1 or -1, to the counts of waiting jobs.
func (e *engine) count(j *job, n int) {
	e.waiting += n
	if j.ticket {
		e.tickets += n
	}
	e.places += float64(n) / float64(max(j.ticketCount, 1))
}

// next removes and returns the first job of the most urgent class. Jobs past their
// deadline are refused.
func (e *engine) next() *job {
	for class := range e.queue {
		for len(e.queue[class]) > 0 {
			j := e.queue[class][0]
			e.queue[class] = e.queue[class][1:]
			e.count(j, -1)
			if e.clock.now < j.deadline {
				return j
			}
			j.ended(wire.Outcome_OUTCOME_NOT_RUN, wire.Reason_REASON_DEADLINE, e.load())
		}
	}
	return nil
}

func (e *engine) fill() {
	for !e.full() {
		j := e.next()
		if j == nil {
			break
		}
		if j.ticket {
			e.hold(j)
			continue
		}
		e.start(j)
	}
}

// hold holds a slot for a ticket, for at most holdTime.
func (e *engine) hold(j *job) {
	e.held++
	j.holds = true
	j.granted()
	e.clock.schedule(holdTime, func() { e.release(j) })
}

// release frees a slot that is held for a ticket.
func (e *engine) release(j *job) {
	if !j.holds || e.dead {
		return
	}
	j.holds = false
	e.held--
	e.fill()
}

// startHeld starts a request in the slot held for its ticket, or refuses it if the slot
// is no longer held.
func (e *engine) startHeld(ticket, j *job) {
	if e.dead || !ticket.holds {
		j.ended(wire.Outcome_OUTCOME_NOT_RUN, wire.Reason_REASON_QUEUE_FULL, e.load())
		return
	}
	ticket.holds = false
	e.held--
	e.start(j)
}

func (e *engine) start(j *job) {
	e.advance()
	j.began = e.clock.now
	j.hit = e.cache.use(j.prefix)
	j.finish = e.steps + float64(j.output) + e.spec.prefill*float64(len(j.prefix)-j.hit)
	heap.Push(&e.running, j)
	j.started()
	e.scheduleFinish()
}

func (e *engine) scheduleFinish() {
	e.version++
	if len(e.running) == 0 || e.stalled || e.dead {
		return
	}
	v := e.version
	left := max(e.running[0].finish-e.steps, 0) * e.stepTime()
	e.clock.schedule(time.Duration(left*float64(time.Second)), func() {
		if v == e.version {
			e.finishFirst()
		}
	})
}

func (e *engine) finishFirst() {
	e.advance()
	load := e.load()
	j := heap.Pop(&e.running).(*job)
	ran := (e.clock.now - j.began).Seconds()
	if e.run == 0 {
		e.run = ran
	}
	e.run += smoothingFactor * (ran - e.run)
	j.ended(wire.Outcome_OUTCOME_DONE, 0, load)
	e.scheduleFinish()
	e.fill()
}

// cancel removes a waiting or running job, or frees the slot held for a ticket.
func (e *engine) cancel(j *job) {
	for i, w := range e.queue[j.class] {
		if w == j {
			e.queue[j.class] = slices.Delete(e.queue[j.class], i, i+1)
			e.count(j, -1)
			return
		}
	}
	if j.ticket {
		e.release(j)
		return
	}
	if j.index < len(e.running) && e.running[j.index] == j {
		e.advance()
		heap.Remove(&e.running, j.index)
		e.scheduleFinish()
		e.fill()
	}
}

// slowDown makes every following step take longer.
func (e *engine) slowDown(factor float64) {
	e.advance()
	e.slow = factor
	e.scheduleFinish()
}

// stall stops the engine; its agent continues to report.
func (e *engine) stall() {
	e.advance()
	e.stalled = true
	e.version++
}

// kill stops the host and fails all its jobs.
func (e *engine) kill() {
	e.dead = true
	e.version++
	for _, j := range e.running {
		j.ended(wire.Outcome_OUTCOME_UNKNOWN, wire.Reason_REASON_UPSTREAM_FAILED, nil)
	}
	for _, q := range e.queue {
		for _, j := range q {
			j.ended(wire.Outcome_OUTCOME_UNKNOWN, wire.Reason_REASON_UPSTREAM_FAILED, nil)
		}
	}
	e.running, e.queue, e.waiting = nil, [4][]*job{}, 0
	e.tickets, e.held, e.places = 0, 0, 0
}

// smoothingFactor is the EWMA weight of the newest run time, as in the agent.
const smoothingFactor = 0.1

// blockCache is an engine's prefix cache, with least-recently-used eviction.
type blockCache struct {
	size   int
	order  *list.List
	blocks map[uint64]*list.Element
	// added and removed are the changes since the last cache event.
	added, removed []uint64
}

func newBlockCache(size int) blockCache {
	return blockCache{size: size, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// cachedPrefixLen returns the number of leading blocks of a prompt that are cached.
func (c *blockCache) cachedPrefixLen(prefix []uint64) int {
	for i, b := range prefix {
		if c.blocks[b] == nil {
			return i
		}
	}
	return len(prefix)
}

// use caches a prompt and returns how many of its leading blocks were cached before.
func (c *blockCache) use(prefix []uint64) int {
	if c.size == 0 {
		return 0
	}
	hit := c.cachedPrefixLen(prefix)
	for i := len(prefix) - 1; i >= 0; i-- {
		c.touch(prefix[i])
	}
	for c.order.Len() > c.size {
		last := c.order.Back()
		c.order.Remove(last)
		b := last.Value.(uint64)
		delete(c.blocks, b)
		c.removed = append(c.removed, b)
	}
	return hit
}

func (c *blockCache) touch(b uint64) {
	if el := c.blocks[b]; el != nil {
		c.order.MoveToFront(el)
		return
	}
	c.blocks[b] = c.order.PushFront(b)
	c.added = append(c.added, b)
}
