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
	// dialTimeout is the time after which a dial to a dead host fails.
	dialTimeout = time.Second
	// leaseTime is the time after which the directory removes a dead host.
	leaseTime = 3 * time.Second
	// cacheInterval is the shortest time between two cache events of an engine.
	cacheInterval = 500 * time.Millisecond
	// lostEvents is the fraction of cache events that are lost.
	lostEvents = 0.01
)

// fault is a fault that is injected after a third of a run.
type fault int

const (
	noFault fault = iota
	stalledUpstream
	lostDomain
	slowUpstream
)

// slowFactor is the factor by which the steps of a slow upstream take longer.
const slowFactor = 10

// runConfig holds the parameters and the arrivals of one run.
type runConfig struct {
	spec   spec
	policy string
	lag    time.Duration
	fault  fault
	until  time.Duration
	list   []arrival
	// entries is the number of entries.
	entries int
	// choices overrides the number of candidates that least-loaded compares, if > 0.
	choices int
	// tickets is the number of upstreams at which a request waits: 0 follows the
	// forwarder's rule, and -1 queues it at a single agent without tickets.
	tickets int
	prefix  *route.PrefixSettings
	// hedge is the time without an answer after which a second attempt is sent to
	// another upstream; 0 disables hedging.
	hedge time.Duration
	// rule decides which loads agents report; nil reports all.
	rule *agent.ReportRule
}

// outcome holds the figures of a run. Requests that arrive in its first tenth are
// warm-up and not counted in most of them.
type outcome struct {
	wait [4]*hdrhistogram.Histogram
	all  *hdrhistogram.Histogram
	// answer is the time until the answer is complete.
	answer           *hdrhistogram.Histogram
	refused, lost    int
	hits, blocks     int
	offered, attempt int
	// reports counts the load reports that were sent; loads is the number that would
	// have been sent without a rule.
	reports, loads int
	tickets        int
	// unused counts granted slots that their request did not use.
	unused int
}

type entryNode struct {
	balancer route.Balancer
	budget   *forward.RetryBudget
	// hedges limits hedged attempts, as budget limits retries.
	hedges *forward.RetryBudget
	domain string
}

// system is the simulation: entries with production balancers and modelled engines.
type system struct {
	runConfig
	clock   clock
	engines []*engine
	entries []*entryNode
	rnd     *rand.Rand
	out     outcome
	// central is the single global queue of the policy "global", by class.
	central [4][]func(*engine)
	// cacheSeqs and cacheSentAt are the sequence number and the time of each engine's
	// last cache event.
	cacheSeqs   []uint64
	cacheSentAt []time.Duration
	// reported is the state of each agent's rule for load reports.
	reported []agent.ReportTracker
}

func newSystem(s runConfig) *system {
	m := &system{runConfig: s, rnd: rand.New(rand.NewPCG(11, 13))}
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
	m.cacheSeqs = make([]uint64, s.spec.servers)
	m.cacheSentAt = make([]time.Duration, s.spec.servers)
	m.reported = make([]agent.ReportTracker, s.spec.servers)
	if s.policy == "global" {
		return m
	}
	for i := range s.entries {
		m.entries = append(m.entries, m.newEntry(i))
	}
	m.updateUpstreams()
	return m
}

func (m *system) newEntry(i int) *entryNode {
	name := fmt.Sprintf("entry-%d", i+1)
	info := route.EntryInfo{ID: name, FailureDomain: domains[i%len(domains)], Seed: xxhash.Sum64String(name)}
	var b route.Balancer
	switch {
	case m.policy == "perfect":
		b = &perfect{system: m, rnd: rand.New(rand.NewPCG(info.Seed, 2))}
	case m.policy == "prefix" && m.prefix != nil:
		p := route.NewPrefixAffinity(*m.prefix)
		p.SetEntryInfo(info)
		b = p
	default:
		var err error
		if b, err = route.New(m.policy, info); err != nil {
			panic(err)
		}
	}
	if l, ok := b.(*route.LeastLoaded); ok && m.choices > 0 {
		l.SetChoices(m.choices)
	}
	return &entryNode{balancer: b, budget: forward.NewRetryBudget(retryShare), hedges: forward.NewRetryBudget(retryShare), domain: info.FailureDomain}
}

func (m *system) clockTime() time.Time { return time.Unix(0, 0).Add(m.clock.now) }

// updateUpstreams passes the upstreams that are alive to all balancers.
func (m *system) updateUpstreams() {
	var ups []route.Upstream
	for i, e := range m.engines {
		if !e.dead {
			ups = append(ups, route.Upstream{ID: upstreamID(i), Incarnation: 1, FailureDomain: e.domain})
		}
	}
	for _, n := range m.entries {
		n.balancer.SetUpstreams(m.clockTime(), ups)
	}
}

func upstreamID(i int) string { return fmt.Sprintf("up-%02d", i) }

func upstreamIndex(id string) int {
	var i int
	_, _ = fmt.Sscanf(id, "up-%d", &i)
	return i
}

// run runs the simulation to its end.
func (m *system) run() *outcome {
	m.scheduleFault()
	if m.policy != "global" {
		m.reportLoop()
	}
	m.scheduleArrival(0)
	m.clock.run(m.until)
	return &m.out
}

func (m *system) scheduleArrival(i int) {
	if i >= len(m.list) {
		return
	}
	a := &m.list[i]
	m.clock.schedule(a.at-m.clock.now, func() {
		m.beginRequest(a)
		m.scheduleArrival(i + 1)
	})
}

func (m *system) measured(a *arrival) bool { return a.at > m.until/10 }

func (m *system) beginRequest(a *arrival) {
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
	m.entries[a.entry].budget.RecordRequest()
	m.entries[a.entry].hedges.RecordRequest()
	m.tryUpstream(a, r, 1)
}

// started records a request's wait: from its arrival at the entry to its start.
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

// delay returns the one-way delay between an entry and an engine.
func (m *system) delay(n *entryNode, e *engine) time.Duration {
	if n.domain == e.domain {
		return hop / 5
	}
	return hop
}

// tryUpstream picks an upstream and makes one attempt, by the forwarder's rules for
// idempotent requests.
func (m *system) tryUpstream(a *arrival, r *request, attempt int) {
	n := m.entries[a.entry]
	choice, ok := n.balancer.Pick(m.clockTime(), &r.Request)
	if !ok {
		m.refuse(a)
		return
	}
	m.startAttempt(a, r, attempt, choice, nil)
}

// startAttempt makes an attempt, in the slot held for a ticket if that is not nil.
func (m *system) startAttempt(a *arrival, r *request, attempt int, choice route.Choice, ticket *job) {
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
		n.balancer.Done(m.clockTime(), up, &r.Request, route.Result{Outcome: o, Reason: reason, Load: l, Elapsed: m.clock.now - began})
		switch {
		case reason == wire.Reason_REASON_QUEUE_FULL && moving:
			r.moves++
			m.waitAt(a, r, attempt+1)
		case reason != 0:
			r.Exclude[up.ID] = true
			m.retry(a, r, n, attempt, o)
		}
	}
	if e.dead {
		m.clock.schedule(dialTimeout, func() { end(wire.Outcome_OUTCOME_NOT_RUN, wire.Reason_REASON_UPSTREAM_FAILED, nil) })
		return
	}
	delay := m.delay(n, e)
	r.jobs[j] = e
	j.ended = func(o wire.Outcome, reason wire.Reason, l *wire.Load) {
		m.clock.schedule(delay, func() { end(o, reason, l) })
	}
	m.clock.schedule(delay, func() {
		if ticket != nil {
			e.startHeld(ticket, j)
			return
		}
		e.offer(j)
	})
	m.hedgeLater(a, r, up, attempt)
	if m.fault == stalledUpstream {
		m.clock.schedule(a.at+m.spec.timeout-m.clock.now, func() { end(wire.Outcome_OUTCOME_UNKNOWN, wire.Reason_REASON_DEADLINE, nil) })
	}
}

// holdTime is the time for which an agent holds a slot for a ticket.
const holdTime = 100 * time.Millisecond

// ticketsFor returns the number of upstreams at which a request waits.
func (m *system) ticketsFor(a *arrival) int {
	if m.tickets > 0 {
		return m.tickets
	}
	return forward.MaxTickets(a.class)
}

// ticketGroup is a request that waits at several upstreams.
type ticketGroup struct {
	system     *system
	arrival    *arrival
	request    *request
	attempt    int
	waiter     route.LateBinder
	candidates []route.Upstream
	tickets    []*job
	won        bool
	// pending is the number of tickets that have not failed, and full the number that
	// found a full queue.
	pending, full int
}

// waitAt takes tickets at several upstreams, by the forwarder's rules. The first one
// with a free slot gets the request.
func (m *system) waitAt(a *arrival, r *request, attempt int) {
	w := m.entries[a.entry].balancer.(route.LateBinder)
	q := &ticketGroup{system: m, arrival: a, request: r, attempt: attempt, waiter: w, candidates: w.QueueCandidates(m.clockTime(), &r.Request, m.ticketsFor(a))}
	q.pending = len(q.candidates)
	if q.pending == 0 {
		m.tryUpstream(a, r, attempt)
		return
	}
	for i := range q.candidates {
		q.tickets = append(q.tickets, q.ticket(i))
	}
}

func (q *ticketGroup) engineAt(i int) (*engine, time.Duration) {
	m := q.system
	e := m.engines[upstreamIndex(q.candidates[i].ID)]
	return e, m.delay(m.entries[q.arrival.entry], e)
}

func (q *ticketGroup) ticket(i int) *job {
	m := q.system
	if m.measured(q.arrival) {
		m.out.tickets++
	}
	e, delay := q.engineAt(i)
	t := &job{class: q.arrival.class, deadline: q.arrival.at + m.spec.timeout, ticket: true, ticketCount: len(q.candidates)}
	t.ended = func(_ wire.Outcome, reason wire.Reason, _ *wire.Load) {
		m.clock.schedule(delay, func() { q.ticketFailed(reason == wire.Reason_REASON_QUEUE_FULL) })
	}
	t.granted = func() {
		m.clock.schedule(delay, func() { q.granted(i) })
	}
	if e.dead {
		m.clock.schedule(dialTimeout, func() { q.ticketFailed(false) })
		return t
	}
	m.clock.schedule(delay, func() { e.offer(t) })
	return t
}

// ticketFailed ends a ticket without a slot. After the last one the request is tried
// again, or refused if its deadline has passed.
func (q *ticketGroup) ticketFailed(full bool) {
	q.pending--
	if full {
		q.full++
	}
	if q.pending > 0 || q.won || q.request.done {
		return
	}
	if q.full == len(q.candidates) {
		q.request.moves = maxMoves
	}
	if q.system.clock.now >= q.arrival.at+q.system.spec.timeout {
		q.system.refuse(q.arrival)
		return
	}
	q.system.tryUpstream(q.arrival, q.request, q.attempt)
}

// granted uses the first granted slot and withdraws the other tickets.
func (q *ticketGroup) granted(i int) {
	m := q.system
	if q.won || q.request.done || !q.waiter.StartReserved(m.clockTime(), q.candidates[i], &q.request.Request) {
		m.out.unused++
		q.withdraw(i)
		q.ticketFailed(false)
		return
	}
	q.won = true
	for other := range q.candidates {
		if other != i {
			q.withdraw(other)
		}
	}
	m.startAttempt(q.arrival, q.request, q.attempt, route.Choice{Upstream: q.candidates[i]}, q.tickets[i])
}

func (q *ticketGroup) withdraw(i int) {
	e, delay := q.engineAt(i)
	q.system.clock.schedule(delay, func() { e.cancel(q.tickets[i]) })
}

// request is a request and its attempts.
type request struct {
	route.Request
	jobs   map[*job]*engine
	hedged bool
	done   bool
	// moves counts the attempts that found no free slot.
	moves int
}

// answered accepts the first answer and cancels the other attempts.
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
	m.clock.schedule(m.hedge, func() {
		if r.done || r.hedged || !m.entries[a.entry].hedges.TakeRetry() {
			return
		}
		r.hedged = true
		r.Exclude[up.ID] = true
		m.tryUpstream(a, r, attempt+1)
	})
}

func (m *system) retry(a *arrival, r *request, n *entryNode, attempt int, o wire.Outcome) {
	if r.done {
		return
	}
	late := m.clock.now >= a.at+m.spec.timeout
	if late || attempt-r.moves >= maxAttempts || !n.budget.TakeRetry() {
		if o == wire.Outcome_OUTCOME_NOT_RUN {
			m.refuse(a)
		} else if m.measured(a) {
			m.out.lost++
		}
		return
	}
	m.tryUpstream(a, r, attempt+1)
}

func (m *system) refuse(a *arrival) {
	if m.measured(a) {
		m.out.refused++
	}
}

// reportLoop sends loads and cache events to every entry. A report is lag/2 old when it
// arrives, and lag old when the next one arrives.
func (m *system) reportLoop() {
	m.clock.schedule(m.lag/2, func() {
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
	if len(e.cache.added)+len(e.cache.removed) > 0 && m.clock.now >= m.cacheSentAt[i]+cacheInterval {
		m.cacheSentAt[i] = m.clock.now
		m.cacheSeqs[i]++
		cache = append(cache, &wire.CacheEvent{Seq: m.cacheSeqs[i], Added: e.cache.added, Removed: e.cache.removed})
		e.cache.added, e.cache.removed = nil, nil
	}
	m.out.loads++
	if !m.reportDue(i, &wire.Report{Load: load, Cache: cache}) {
		return
	}
	m.out.reports++
	for _, n := range m.entries {
		lost := m.rnd.Float64() < lostEvents
		m.clock.schedule(m.lag/2, func() {
			n.balancer.ApplyLoadReport(m.clockTime(), upstreamID(i), 1, load)
			if len(cache) > 0 && !lost {
				n.balancer.ApplyCacheEvents(m.clockTime(), upstreamID(i), 1, cache)
			}
		})
	}
}

// reportDue applies the agents' rule to a report.
func (m *system) reportDue(i int, next *wire.Report) bool {
	r := &m.reported[i]
	if m.rule == nil {
		return true
	}
	r.Rule = *m.rule
	if !r.ShouldSend(m.clockTime(), next) {
		return false
	}
	r.RecordSent(m.clockTime(), next)
	return true
}

func (m *system) scheduleFault() {
	switch m.fault {
	case stalledUpstream:
		m.clock.schedule(m.until/3, m.engines[0].stall)
	case slowUpstream:
		m.clock.schedule(m.until/3, func() { m.engines[0].slowDown(slowFactor) })
	case lostDomain:
		m.clock.schedule(m.until/3, func() {
			for _, e := range m.engines {
				if e.domain == domains[0] {
					e.kill()
				}
			}
			m.clock.schedule(leaseTime, m.updateUpstreams)
		})
	}
}
