package main

import (
	"container/heap"
	"container/list"
	"slices"
	"time"

	"github.com/snipereach/snipereach/wire"
)

// event is something that happens at a time.
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

// clock is virtual time.
type clock struct {
	now   time.Duration
	n     int
	queue events
}

func (c *clock) after(d time.Duration, run func()) {
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
	// noWait has the agent refuse the request unless a slot is free.
	noWait bool
	// hit is how many blocks of the prompt were cached at its start.
	hit     int
	started func()
	// ended is told the outcome, the reason and the load as the agent sees it.
	ended  func(wire.Outcome, wire.Reason, *wire.Load)
	finish float64
	began  time.Duration
	index  int
	// ticket marks a place in the queue without a request: when its turn comes,
	// the slot is held and granted is called.
	ticket bool
	// of is how many tickets the request has.
	of      int
	granted func()
	holds   bool
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
	// step is the time of a decoding step with full slots; an empty engine's
	// step takes idleStep of it.
	step     time.Duration
	idleStep float64
	// prefill is how many steps an uncached block of the prompt costs.
	prefill float64
	// cache is the size of the prefix cache in blocks.
	cache int
	// timeout is the deadline of a request.
	timeout time.Duration
}

// engine is a server with its agent: a queue by class, slots, and steps that
// take longer the more requests run (continuous batching as a fluid).
type engine struct {
	clock   *clock
	spec    spec
	domain  string
	queue   [4][]*job
	waiting int
	running jobs
	// steps counts the steps done up to at.
	steps   float64
	at      time.Duration
	version int
	stalled bool
	dead    bool
	// slow is how many times longer a step takes; 0 is as usual.
	slow  float64
	seq   uint64
	cache blockCache
	// held slots are offered to the entries of tickets and not used yet.
	held int
	// run is the smoothed time that a request runs, in seconds.
	run float64
	// tickets is how many of those that wait are tickets; they take so much of the
	// places in the queue.
	tickets int
	places  float64
}

func (e *engine) full() bool { return len(e.running)+e.held >= e.spec.slots }

func (e *engine) stepTime() float64 {
	share := float64(len(e.running)) / float64(e.spec.slots)
	return max(e.slow, 1) * e.spec.step.Seconds() * (e.spec.idleStep + (1-e.spec.idleStep)*share)
}

// advance moves the steps to the present.
func (e *engine) advance() {
	if len(e.running) > 0 && !e.stalled {
		e.steps += (e.clock.now - e.at).Seconds() / e.stepTime()
	}
	e.at = e.clock.now
}

// load is what the agent reports.
func (e *engine) load() *wire.Load {
	e.seq++
	return &wire.Load{
		Seq: e.seq, Running: uint32(len(e.running) + e.held), Waiting: uint32(e.waiting - e.tickets), Slots: uint32(e.spec.slots),
		RunUs: uint32(e.run * 1e6),
	}
}

// offer queues a job or refuses it.
func (e *engine) offer(j *job) {
	if e.full() && (j.noWait || e.places >= float64(e.spec.maxQueue)) {
		j.ended(wire.Outcome_OUTCOME_NOT_RUN, wire.Reason_REASON_QUEUE_FULL, e.load())
		return
	}
	e.queue[j.class] = append(e.queue[j.class], j)
	e.count(j, 1)
	e.fill()
}

// count adds a job that waits, or takes it off.
func (e *engine) count(j *job, n int) {
	e.waiting += n
	if j.ticket {
		e.tickets += n
	}
	e.places += float64(n) / float64(max(j.of, 1))
}

// next takes the first job of the most urgent class.
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

// hold keeps a slot for the entry of a ticket, for a bounded time.
func (e *engine) hold(j *job) {
	e.held++
	j.holds = true
	j.granted()
	e.clock.after(holdTime, func() { e.release(j) })
}

// release gives back a slot that was held.
func (e *engine) release(j *job) {
	if !j.holds || e.dead {
		return
	}
	j.holds = false
	e.held--
	e.fill()
}

// startHeld starts a request in the slot that is held for its ticket.
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
	e.schedule()
}

func (e *engine) schedule() {
	e.version++
	if len(e.running) == 0 || e.stalled || e.dead {
		return
	}
	v := e.version
	left := max(e.running[0].finish-e.steps, 0) * e.stepTime()
	e.clock.after(time.Duration(left*float64(time.Second)), func() {
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
	e.run += meanPart * (ran - e.run)
	j.ended(wire.Outcome_OUTCOME_DONE, 0, load)
	e.schedule()
	e.fill()
}

// cancel takes a job back, waiting or running.
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
		e.schedule()
		e.fill()
	}
}

// slowDown makes every step take longer from now on.
func (e *engine) slowDown(factor float64) {
	e.advance()
	e.slow = factor
	e.schedule()
}

// stall stops the engine; its agent goes on reporting.
func (e *engine) stall() {
	e.advance()
	e.stalled = true
	e.version++
}

// kill ends the host.
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

// meanPart is the weight of the newest run in the mean, as in the agent.
const meanPart = 0.1

// blockCache is an engine's prefix cache: least recently used blocks go first.
type blockCache struct {
	size   int
	order  *list.List
	blocks map[uint64]*list.Element
	// added and removed since the last event.
	added, removed []uint64
}

func newBlockCache(size int) blockCache {
	return blockCache{size: size, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// holds is how many blocks of a prompt are cached, from its beginning.
func (c *blockCache) holds(prefix []uint64) int {
	for i, b := range prefix {
		if c.blocks[b] == nil {
			return i
		}
	}
	return len(prefix)
}

// use caches a prompt and returns how much of it was cached.
func (c *blockCache) use(prefix []uint64) int {
	if c.size == 0 {
		return 0
	}
	hit := c.holds(prefix)
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
