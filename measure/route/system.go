package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"

	"github.com/snipereach/snipereach/forward"
	"github.com/snipereach/snipereach/route"
	"github.com/snipereach/snipereach/wire"
)

var domains = []string{"hall-a", "hall-b", "hall-c"}

const (
	hop         = time.Millisecond
	timeout     = 30 * time.Second
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
)

// setup is one run.
type setup struct {
	spec   spec
	policy string
	lag    time.Duration
	fault  fault
	until  time.Duration
	list   []arrival
	// choices overrides how many candidates least-loaded compares.
	choices int
	// moves is how often a request may move on from a busier upstream than expected.
	moves  int
	prefix *route.PrefixSettings
}

// outcome is what a run measured, after a tenth of warming up.
type outcome struct {
	wait             [4]*hdrhistogram.Histogram
	all              *hdrhistogram.Histogram
	refused, lost    int
	hits, blocks     int
	offered, attempt int
}

type entryNode struct {
	balancer route.Balancer
	budget   *forward.Budget
	domain   string
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
}

func newSystem(s setup) *system {
	m := &system{setup: s, rnd: rand.New(rand.NewPCG(11, 13))}
	for i := range m.out.wait {
		m.out.wait[i] = hdrhistogram.New(1, 120_000_000, 3)
	}
	m.out.all = hdrhistogram.New(1, 120_000_000, 3)
	for i := range s.spec.servers {
		m.engines = append(m.engines, &engine{
			clock: &m.clock, spec: s.spec, domain: domains[i%len(domains)], cache: newBlockCache(s.spec.cache),
		})
	}
	m.seqs = make([]uint64, s.spec.servers)
	m.told = make([]time.Duration, s.spec.servers)
	if s.policy == "global" {
		return m
	}
	for i := range entries {
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
	return &entryNode{balancer: b, budget: forward.NewBudget(retryShare), domain: place.FailureDomain}
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
	r := &route.Request{Priority: a.class, Tokens: a.tokens, Prefix: a.prefix, Exclude: map[string]bool{}}
	m.entries[a.entry].budget.Offer()
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
	j := &job{class: a.class, output: a.output, prefix: a.prefix, deadline: a.at + timeout}
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
func (m *system) try(a *arrival, r *route.Request, attempt int) {
	n := m.entries[a.entry]
	choice, ok := n.balancer.Pick(m.time(), r)
	up := choice.Upstream
	if !ok {
		m.refuse(a)
		return
	}
	if m.measured(a) {
		m.out.attempt++
	}
	began := m.clock.now
	e := m.engines[upstreamIndex(up.ID)]
	over := false
	end := func(o wire.Outcome, reason wire.Reason, l *wire.Load) {
		if over {
			return
		}
		over = true
		n.balancer.Done(m.time(), up, r, route.Result{Outcome: o, Reason: reason, Load: l, Elapsed: m.clock.now - began})
		if reason != 0 {
			if reason == wire.Reason_REASON_QUEUE_FULL && attempt <= m.moves {
				m.try(a, r, attempt+1)
				return
			}
			r.Exclude[up.ID] = true
			m.again(a, r, n, attempt, o)
		}
	}
	if e.dead {
		m.clock.after(dialTimeout, func() { end(wire.Outcome_OUTCOME_NOT_RUN, wire.Reason_REASON_UPSTREAM_FAILED, nil) })
		return
	}
	way := m.way(n, e)
	j := m.newJob(a)
	if attempt <= m.moves {
		j.refuseAt = choice.RefuseAt
	}
	j.ended = func(o wire.Outcome, reason wire.Reason, l *wire.Load) {
		m.clock.after(way, func() { end(o, reason, l) })
	}
	m.clock.after(way, func() { e.offer(j) })
	if m.fault == stalledUpstream {
		m.clock.after(a.at+timeout-m.clock.now, func() { end(wire.Outcome_OUTCOME_UNKNOWN, wire.Reason_REASON_DEADLINE, nil) })
	}
}

func (m *system) again(a *arrival, r *route.Request, n *entryNode, attempt int, o wire.Outcome) {
	late := m.clock.now >= a.at+timeout
	if late || attempt >= maxAttempts+m.moves || !n.budget.Take() {
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

func (m *system) breakLater() {
	switch m.fault {
	case stalledUpstream:
		m.clock.after(m.until/3, m.engines[0].stall)
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
