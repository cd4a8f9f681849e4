package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"

	"github.com/snipereach/snipereach/agent"
	"github.com/snipereach/snipereach/forward"
	"github.com/snipereach/snipereach/route"
	"github.com/snipereach/snipereach/wire"
)

var domains = []string{"hall-a", "hall-b", "hall-c"}

const (
	hop         = time.Millisecond
	maxAttempts = 4
	maxMoves    = 3
	retryShare  = 0.1
	// dialTimeout is how long it takes to notice that a host is gone.
	dialTimeout = time.Second
	// leaseTime is how long the directory keeps a host that is gone.
	leaseTime = 3 * time.Second
	// cacheInterval is the shortest time between two cache events of an engine.
	cacheInterval = 500 * time.Millisecond
	// lostEvents is the share of cache events that never arrive.
	lostEvents = 0.01
)

// fault is what goes wrong in a run, a third into it.
type fault int

const (
	noFault fault = iota
	stalledUpstream
	lostDomain
	slowUpstream
)

// slowTimes is how many times longer a slow upstream takes.
const slowTimes = 10

// setup is one run.
type setup struct {
	spec   spec
	policy string
	lag    time.Duration
	fault  fault
	until  time.Duration
	list   []arrival
	// entries before the engines.
	entries int
	// choices overrides how many candidates least-loaded compares.
	choices int
	// tickets is at how many upstreams a request waits; 0 is as the forwarder does,
	// -1 is in the queue of one agent.
	tickets int
	prefix  *route.PrefixSettings
	// hedge is the time after which a second attempt goes to another upstream if
	// the first isn't answered; 0 is never.
	hedge time.Duration
	// rule says which loads agents report; nil is all.
	rule *agent.ReportRule
}

// outcome is what a run measured, after a tenth of warming up.
type outcome struct {
	wait [4]*hdrhistogram.Histogram
	all  *hdrhistogram.Histogram
	// answer is the time to the whole answer.
	answer           *hdrhistogram.Histogram
	refused, lost    int
	hits, blocks     int
	offered, attempt int
	// reports counts what each entry got of each engine; loads is what was due at
	// the shortest interval.
	reports, loads int
	tickets        int
	// unused slots were held for a ticket that another had won.
	unused int
}

type entryNode struct {
	balancer route.Balancer
	budget   *forward.Budget
	// hedges bounds second attempts as budget bounds retries.
	hedges *forward.Budget
	domain string
}

// system is the model: entries with real balancers before modelled engines.
type system struct {
	setup
	clock   clock
	engines []*engine
	entries []*entryNode
	rnd     *rand.Rand
	out     outcome
	// central is the single global queue with perfect knowledge, if that is the
	// policy.
	central [4][]func(*engine)
	// seqs and told are the number and the time of each engine's last cache event.
	seqs []uint64
	told []time.Duration
	// reported is what entries were told of each engine's load.
	reported []agent.Reports
}

func newSystem(s setup) *system {
	m := &system{setup: s, rnd: rand.New(rand.NewPCG(11, 13))}
	for i := range m.out.wait {
		m.out.wait[i] = hdrhistogram.New(1, 120_000_000, 3)
	}
	m.out.answer = hdrhistogram.New(1, 120_000_000, 3)
	m.out.all = hdrhistogram.New(1, 120_000_000, 3)
	for i := range s.spec.servers {
		m.engines = append(m.engines, &engine{
			clock: &m.clock, spec: s.spec, domain: domains[i%len(domains)], cache: newBlockCache(s.spec.cache),
		})
	}
	m.seqs = make([]uint64, s.spec.servers)
	m.told = make([]time.Duration, s.spec.servers)
	m.reported = make([]agent.Reports, s.spec.servers)
	if s.policy == "global" {
		return m
	}
	for i := range s.entries {
		m.entries = append(m.entries, m.newEntry(i))
	}
	m.update()
	return m
}

func (m *system) newEntry(i int) *entryNode {
	name := fmt.Sprintf("entry-%d", i+1)
	place := route.Place{Entry: name, FailureDomain: domains[i%len(domains)], Seed: xxhash.Sum64String(name)}
	var b route.Balancer
	switch {
	case m.policy == "perfect":
		b = &perfect{system: m, rnd: rand.New(rand.NewPCG(place.Seed, 2))}
	case m.policy == "prefix" && m.prefix != nil:
		p := route.NewPrefix(*m.prefix)
		p.SetPlace(place)
		b = p
	default:
		var err error
		if b, err = route.New(m.policy, place); err != nil {
			panic(err)
		}
	}
	if l, ok := b.(*route.LeastLoaded); ok && m.choices > 0 {
		l.SetChoices(m.choices)
	}
	return &entryNode{balancer: b, budget: forward.NewBudget(retryShare), hedges: forward.NewBudget(retryShare), domain: place.FailureDomain}
}

func (m *system) time() time.Time { return time.Unix(0, 0).Add(m.clock.now) }

// update hands the upstreams that the directory holds to the entries.
func (m *system) update() {
	var ups []route.Upstream
	for i, e := range m.engines {
		if !e.dead {
			ups = append(ups, route.Upstream{ID: upstreamID(i), Incarnation: 1, FailureDomain: e.domain})
		}
	}
	for _, n := range m.entries {
		n.balancer.Update(m.time(), ups)
	}
}

func upstreamID(i int) string { return fmt.Sprintf("up-%02d", i) }

func upstreamIndex(id string) int {
	var i int
	_, _ = fmt.Sscanf(id, "up-%d", &i)
	return i
}

// run drives the model to its end.
func (m *system) run() *outcome {
	m.breakLater()
	if m.policy != "global" {
		m.reportLoop()
	}
	m.arrive(0)
	m.clock.run(m.until)
	return &m.out
}

func (m *system) arrive(i int) {
	if i >= len(m.list) {
		return
	}
	a := &m.list[i]
	m.clock.after(a.at-m.clock.now, func() {
		m.begin(a)
		m.arrive(i + 1)
	})
}

func (m *system) measured(a *arrival) bool { return a.at > m.until/10 }

func (m *system) begin(a *arrival) {
	if m.measured(a) {
		m.out.offered++
	}
	if m.policy == "global" {
		m.offerGlobal(a)
		return
	}
	r := &request{
		Request: route.Request{Priority: a.class, Tokens: a.tokens, Prefix: a.prefix, Exclude: map[string]bool{}},
		jobs:    map[*job]*engine{},
	}
	m.entries[a.entry].budget.Offer()
	m.entries[a.entry].hedges.Offer()
	m.try(a, r, 1)
}

// started notes a request's wait: from its arrival at the entry to its slot.
func (m *system) started(a *arrival, j *job) {
	if !m.measured(a) {
		return
	}
	wait := (m.clock.now - a.at).Microseconds()
	_ = m.out.wait[a.class].RecordValue(max(wait, 1))
	_ = m.out.all.RecordValue(max(wait, 1))
	m.out.hits += j.hit
	m.out.blocks += len(j.prefix)
}

func (m *system) newJob(a *arrival) *job {
	j := &job{class: a.class, output: a.output, prefix: a.prefix, deadline: a.at + m.spec.timeout}
	j.started = func() { m.started(a, j) }
	return j
}

// way is the time from an entry to an engine.
func (m *system) way(n *entryNode, e *engine) time.Duration {
	if n.domain == e.domain {
		return hop / 5
	}
	return hop
}

// try makes one attempt, by the forwarder's rules for idempotent requests.
func (m *system) try(a *arrival, r *request, attempt int) {
	n := m.entries[a.entry]
	choice, ok := n.balancer.Pick(m.time(), &r.Request)
	if !ok {
		m.refuse(a)
		return
	}
	m.attempt(a, r, attempt, choice, nil)
}

// attempt makes an attempt in the slot that a ticket holds, or without one.
func (m *system) attempt(a *arrival, r *request, attempt int, choice route.Choice, ticket *job) {
	n, up := m.entries[a.entry], choice.Upstream
	if m.measured(a) {
		m.out.attempt++
	}
	began := m.clock.now
	e := m.engines[upstreamIndex(up.ID)]
	over := false
	j := m.newJob(a)
	j.noWait = ticket == nil && choice.NoWait && m.tickets >= 0 && r.moves < maxMoves
	moving := r.moves < maxMoves && (j.noWait || ticket != nil)
	end := func(o wire.Outcome, reason wire.Reason, l *wire.Load) {
		if over {
			return
		}
		over = true
		if reason == 0 {
			m.answered(a, r, j)
		}
		n.balancer.Done(m.time(), up, &r.Request, route.Result{Outcome: o, Reason: reason, Load: l, Elapsed: m.clock.now - began})
		switch {
		case reason == wire.Reason_REASON_QUEUE_FULL && moving:
			r.moves++
			m.waitAt(a, r, attempt+1)
		case reason != 0:
			r.Exclude[up.ID] = true
			m.again(a, r, n, attempt, o)
		}
	}
	if e.dead {
		m.clock.after(dialTimeout, func() { end(wire.Outcome_OUTCOME_NOT_RUN, wire.Reason_REASON_UPSTREAM_FAILED, nil) })
		return
	}
	way := m.way(n, e)
	r.jobs[j] = e
	j.ended = func(o wire.Outcome, reason wire.Reason, l *wire.Load) {
		m.clock.after(way, func() { end(o, reason, l) })
	}
	m.clock.after(way, func() {
		if ticket != nil {
			e.startHeld(ticket, j)
			return
		}
		e.offer(j)
	})
	m.hedgeLater(a, r, up, attempt)
	if m.fault == stalledUpstream {
		m.clock.after(a.at+m.spec.timeout-m.clock.now, func() { end(wire.Outcome_OUTCOME_UNKNOWN, wire.Reason_REASON_DEADLINE, nil) })
	}
}

// holdTime is as in the agent.
const holdTime = 100 * time.Millisecond

// ticketsFor is at how many upstreams a request waits.
func (m *system) ticketsFor(a *arrival) int {
	if m.tickets > 0 {
		return m.tickets
	}
	return forward.Tickets(a.class)
}

// queueing is a request that waits at several upstreams.
type queueing struct {
	system  *system
	a       *arrival
	r       *request
	attempt int
	waiter  route.Waiter
	places  []route.Upstream
	tickets []*job
	won     bool
	// left tickets have not ended; full is how many found a full queue.
	left, full int
}

// waitAt takes tickets at several upstreams, by the forwarder's rules: the first
// that has a free slot gets the request.
func (m *system) waitAt(a *arrival, r *request, attempt int) {
	w := m.entries[a.entry].balancer.(route.Waiter)
	q := &queueing{system: m, a: a, r: r, attempt: attempt, waiter: w, places: w.Places(m.time(), &r.Request, m.ticketsFor(a))}
	q.left = len(q.places)
	if q.left == 0 {
		m.try(a, r, attempt)
		return
	}
	for i := range q.places {
		q.tickets = append(q.tickets, q.ticket(i))
	}
}

func (q *queueing) at(i int) (*engine, time.Duration) {
	m := q.system
	e := m.engines[upstreamIndex(q.places[i].ID)]
	return e, m.way(m.entries[q.a.entry], e)
}

func (q *queueing) ticket(i int) *job {
	m := q.system
	if m.measured(q.a) {
		m.out.tickets++
	}
	e, way := q.at(i)
	t := &job{class: q.a.class, deadline: q.a.at + m.spec.timeout, ticket: true, of: len(q.places)}
	t.ended = func(_ wire.Outcome, reason wire.Reason, _ *wire.Load) {
		m.clock.after(way, func() { q.over(reason == wire.Reason_REASON_QUEUE_FULL) })
	}
	t.granted = func() {
		m.clock.after(way, func() { q.granted(i) })
	}
	if e.dead {
		m.clock.after(dialTimeout, func() { q.over(false) })
		return t
	}
	m.clock.after(way, func() { e.offer(t) })
	return t
}

// over ends a ticket that holds no slot.
func (q *queueing) over(full bool) {
	q.left--
	if full {
		q.full++
	}
	if q.left > 0 || q.won || q.r.done {
		return
	}
	if q.full == len(q.places) {
		q.r.moves = maxMoves
	}
	if q.system.clock.now >= q.a.at+q.system.spec.timeout {
		q.system.refuse(q.a)
		return
	}
	q.system.try(q.a, q.r, q.attempt)
}

// granted takes the first slot and gives back the others.
func (q *queueing) granted(i int) {
	m := q.system
	if q.won || q.r.done || !q.waiter.Take(m.time(), q.places[i], &q.r.Request) {
		m.out.unused++
		q.withdraw(i)
		q.over(false)
		return
	}
	q.won = true
	for other := range q.places {
		if other != i {
			q.withdraw(other)
		}
	}
	m.attempt(q.a, q.r, q.attempt, route.Choice{Upstream: q.places[i]}, q.tickets[i])
}

func (q *queueing) withdraw(i int) {
	e, way := q.at(i)
	q.system.clock.after(way, func() { e.cancel(q.tickets[i]) })
}

// request is a request with its attempts.
type request struct {
	route.Request
	jobs   map[*job]*engine
	hedged bool
	done   bool
	// moves is how often it found no free slot.
	moves int
}

// answered takes the first whole answer and cancels the other attempts.
func (m *system) answered(a *arrival, r *request, won *job) {
	if r.done {
		return
	}
	r.done = true
	if m.measured(a) {
		_ = m.out.answer.RecordValue((m.clock.now - a.at).Microseconds())
	}
	for j, e := range r.jobs {
		if j != won {
			e.cancel(j)
			j.ended(wire.Outcome_OUTCOME_UNKNOWN, wire.Reason_REASON_DEADLINE, nil)
		}
	}
}

func (m *system) hedgeLater(a *arrival, r *request, up route.Upstream, attempt int) {
	if m.hedge == 0 || r.hedged {
		return
	}
	m.clock.after(m.hedge, func() {
		if r.done || r.hedged || !m.entries[a.entry].hedges.Take() {
			return
		}
		r.hedged = true
		r.Exclude[up.ID] = true
		m.try(a, r, attempt+1)
	})
}

func (m *system) again(a *arrival, r *request, n *entryNode, attempt int, o wire.Outcome) {
	if r.done {
		return
	}
	late := m.clock.now >= a.at+m.spec.timeout
	if late || attempt-r.moves >= maxAttempts || !n.budget.Take() {
		if o == wire.Outcome_OUTCOME_NOT_RUN {
			m.refuse(a)
		} else if m.measured(a) {
			m.out.lost++
		}
		return
	}
	m.try(a, r, attempt+1)
}

func (m *system) refuse(a *arrival) {
	if m.measured(a) {
		m.out.refused++
	}
}

// reportLoop sends load and cache events to every entry. A report is lag/2 old
// when it comes, and lag when the next one comes.
func (m *system) reportLoop() {
	m.clock.after(m.lag/2, func() {
		for i, e := range m.engines {
			if !e.dead {
				m.report(i, e)
			}
		}
		m.reportLoop()
	})
}

func (m *system) report(i int, e *engine) {
	load := e.load()
	var cache []*wire.CacheEvent
	if len(e.cache.added)+len(e.cache.removed) > 0 && m.clock.now >= m.told[i]+cacheInterval {
		m.told[i] = m.clock.now
		m.seqs[i]++
		cache = append(cache, &wire.CacheEvent{Seq: m.seqs[i], Added: e.cache.added, Removed: e.cache.removed})
		e.cache.added, e.cache.removed = nil, nil
	}
	m.out.loads++
	if !m.due(i, &wire.Report{Load: load, Cache: cache}) {
		return
	}
	m.out.reports++
	for _, n := range m.entries {
		lost := m.rnd.Float64() < lostEvents
		m.clock.after(m.lag/2, func() {
			n.balancer.Report(m.time(), upstreamID(i), 1, load)
			if len(cache) > 0 && !lost {
				n.balancer.Cache(m.time(), upstreamID(i), 1, cache)
			}
		})
	}
}

// due applies the agents' rule to a report.
func (m *system) due(i int, next *wire.Report) bool {
	r := &m.reported[i]
	if m.rule == nil {
		return true
	}
	r.Rule = *m.rule
	if !r.Due(m.time(), next) {
		return false
	}
	r.Sent(m.time(), next)
	return true
}

func (m *system) breakLater() {
	switch m.fault {
	case stalledUpstream:
		m.clock.after(m.until/3, m.engines[0].stall)
	case slowUpstream:
		m.clock.after(m.until/3, func() { m.engines[0].slowDown(slowTimes) })
	case lostDomain:
		m.clock.after(m.until/3, func() {
			for _, e := range m.engines {
				if e.domain == domains[0] {
					e.kill()
				}
			}
			m.clock.after(leaseTime, m.update)
		})
	}
}
