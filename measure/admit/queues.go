package main

import (
	"container/heap"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/snipereach/snipereach/admit"
	"github.com/snipereach/snipereach/wire"
)

// Sizes of the model.
const (
	entries  = 7
	engines  = 16
	slots    = 8
	teams    = 10
	queue    = 64
	urgentPC = 10
	// entrySlots limits the in-flight requests of one entry, a little above its part
	// of what the engines run and queue.
	entrySlots = 256
)

// urgentRun and bulkRun are mean run times on an engine, in seconds.
const (
	urgentRun = 0.15
	bulkRun   = 1.5
	timeout   = 30 * time.Second
)

// loadProfile holds the relative load in each hour of a day.
type loadProfile struct {
	name string
	day  [24]float64
}

var loadProfiles = []loadProfile{
	// A rush before the auction clock starts, and settlement queries after it.
	{"malanad", [24]float64{.2, .2, .3, .8, 1.8, 2.2, 2.2, 1.9, 1.4, 1.1, 1, 1, 1.2, 1.5, 1.6, 1.3, 1, .8, .6, .5, .4, .3, .3, .2}},
	// Shifts that begin at 7:00 and 19:00, and a cold snap in the night.
	{"karaganda", [24]float64{.6, .6, 1.6, 1.8, 1.4, .8, 1.2, 2, 1.6, 1.2, 1, .9, .9, 1, 1, .9, .8, .9, 1.2, 1.6, 1, .7, .6, .6}},
	// A constant load has no idle hours in which every team is served, so that
	// differences in fairness show.
	{"flat", [24]float64{1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1}},
}

// weight returns a team's weight. Two teams are large, and their weights don't match
// their demand.
func weight(team int) int { return []int{4, 4, 2, 2, 1, 1, 1, 1, 1, 1}[team] }

// demand returns a team's relative request rate.
func demand(team int) float64 { return []float64{12, 5, 2, 2, 2, 1, 1, 1, 1, 1}[team] }

// policy is a queueing policy under test.
type policy struct {
	name string
	// global puts all work into one queue before all engines.
	global bool
	// tickets lets requests wait at several engines, as the forwarder does.
	tickets bool
	// randomEngine chooses engines at random instead of by load.
	randomEngine bool
	make         func(admit.Settings) admit.Queue
}

func newGate(s admit.Settings) admit.Queue { return admit.NewGate(s) }
func newFIFO(s admit.Settings) admit.Queue { return admit.NewFIFO(s) }

var policies = []policy{
	{name: "fifo", make: newFIFO},
	{name: "gate", make: newGate},
	{name: "gate, tickets", tickets: true, make: newGate},
	{name: "blind tickets", tickets: true, randomEngine: true, make: newGate},
	{name: "single queue", global: true, make: newGate},
}

// request is one caller's request in the model.
type request struct {
	team       int
	class      wire.Priority
	arrivedAt  time.Time
	run        time.Duration
	entryWork  *admit.Work
	engineWork *admit.Work
	entry      int
	engine     int
	// bound is set once the request has been assigned a slot.
	bound bool
	// tickets are the request's tickets, of which pendingTickets have not failed.
	tickets        []*ticket
	pendingTickets int
}

// model is a discrete-event simulation of one run.
type model struct {
	now         time.Time
	rng         *rand.Rand
	policy      policy
	events      events
	seq         int
	entry       []admit.Queue
	engine      []admit.Queue
	load        []int
	waitTimes   map[wire.Priority]*hdrhistogram.Histogram
	answerTimes map[wire.Priority]*hdrhistogram.Histogram
	arrived     map[wire.Priority]int
	refused     map[wire.Priority]int
	served      [teams]float64
	offered     [teams]float64
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

func newModel(seed uint64, p policy) *model {
	m := &model{
		now: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)), policy: p,
		waitTimes:   map[wire.Priority]*hdrhistogram.Histogram{},
		answerTimes: map[wire.Priority]*hdrhistogram.Histogram{},
		arrived:     map[wire.Priority]int{}, refused: map[wire.Priority]int{},
	}
	for _, class := range classes {
		m.waitTimes[class] = hdrhistogram.New(1, 1e9, 3)
		m.answerTimes[class] = hdrhistogram.New(1, 1e9, 3)
	}
	if p.global {
		n := engines * slots
		m.engine = []admit.Queue{p.make(admit.Settings{Slots: n, Reserved: admit.ReservedSlots(n, urgentPC), MaxQueue: engines * queue})}
		m.load = make([]int, 1)
		return m
	}
	for range entries {
		m.entry = append(m.entry, p.make(admit.Settings{Slots: entrySlots, Reserved: admit.ReservedSlots(entrySlots, urgentPC), MaxQueue: 4096}))
	}
	for range engines {
		m.engine = append(m.engine, p.make(admit.Settings{Slots: slots, Reserved: admit.ReservedSlots(slots, urgentPC), MaxQueue: queue}))
	}
	m.load = make([]int, engines)
	return m
}

var classes = []wire.Priority{wire.Priority_PRIORITY_URGENT, wire.Priority_PRIORITY_NORMAL, wire.Priority_PRIORITY_BATCH}

func (m *model) schedule(d time.Duration, do func()) {
	m.seq++
	heap.Push(&m.events, event{m.now.Add(d), m.seq, do})
}

func (m *model) run(until time.Time) {
	for len(m.events) > 0 && !m.events[0].at.After(until) {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.do()
	}
}

// generateArrivals makes requests of one kind arrive as a Poisson process whose rate
// follows the load profile.
func (m *model) generateArrivals(day [24]float64, length time.Duration, rate float64, make func() *request) {
	mean := 0.0
	for _, v := range day {
		mean += v / 24
	}
	begin, peak := m.now, 0.0
	for _, v := range day {
		peak = max(peak, v/mean)
	}
	var next func()
	next = func() {
		hour := int(m.now.Sub(begin) * 24 / length)
		if hour < 24 && m.rng.Float64() < day[hour]/mean/peak {
			m.arriveAtEntry(make())
		}
		m.schedule(m.exponential(1/(rate*peak)), next)
	}
	m.schedule(m.exponential(1/(rate*peak)), next)
}

func (m *model) exponential(mean float64) time.Duration {
	return time.Duration(m.rng.ExpFloat64() * mean * float64(time.Second))
}

// lognormal draws a run time: most are short, a few are long.
func (m *model) lognormal(mean float64) time.Duration {
	const sigma = 0.8
	return time.Duration(math.Exp(m.rng.NormFloat64()*sigma-sigma*sigma/2) * mean * float64(time.Second))
}

func (m *model) newBulkRequest() *request {
	total := 0.0
	for t := range teams {
		total += demand(t)
	}
	pick, team := m.rng.Float64()*total, 0
	for pick -= demand(0); pick > 0 && team < teams-1; pick -= demand(team) {
		team++
	}
	class := wire.Priority_PRIORITY_NORMAL
	if m.rng.IntN(4) == 0 {
		class = wire.Priority_PRIORITY_BATCH
	}
	return &request{team: team, class: class, arrivedAt: m.now, run: m.lognormal(bulkRun)}
}

func (m *model) newUrgentRequest() *request {
	return &request{team: m.rng.IntN(teams), class: wire.Priority_PRIORITY_URGENT, arrivedAt: m.now, run: m.lognormal(urgentRun)}
}

func (m *model) newWork(r *request) *admit.Work {
	return &admit.Work{
		Team: fmt.Sprint("team-", r.team), Weight: weight(r.team), Priority: r.class,
		Cost: r.run.Seconds(), Deadline: r.arrivedAt.Add(timeout), Value: r,
	}
}

// arriveAtEntry queues a request at a random entry, or in the global queue if the
// policy has one.
func (m *model) arriveAtEntry(r *request) {
	m.arrived[r.class]++
	if r.class == wire.Priority_PRIORITY_NORMAL {
		m.offered[r.team] += r.run.Seconds()
	}
	if m.policy.global {
		m.sendToEngine(r)
		return
	}
	r.entry = m.rng.IntN(entries)
	r.entryWork = m.newWork(r)
	if m.entry[r.entry].Offer(m.now, r.entryWork) != nil {
		m.refused[r.class]++
		return
	}
	m.pumpEntry(r.entry)
}

func (m *model) pumpEntry(i int) {
	start, refused := m.entry[i].Start(m.now)
	for _, x := range refused {
		m.refused[x.Work.Value.(*request).class]++
	}
	for _, w := range start {
		m.sendToEngine(w.Value.(*request))
	}
}

func (m *model) chooseEngine() int {
	if m.policy.randomEngine {
		return m.rng.IntN(len(m.load))
	}
	least := 0
	for i := range m.load {
		if m.load[i] < m.load[least] {
			least = i
		}
	}
	return least
}

// sendToEngine sends a request to the engine that chooseEngine returns. Loads are known
// without delay, since the choice of upstreams is not measured here.
func (m *model) sendToEngine(r *request) {
	r.engine = m.chooseEngine()
	r.engineWork = m.newWork(r)
	r.engineWork.NoWait = m.policy.tickets
	err := m.engine[r.engine].Offer(m.now, r.engineWork)
	if errors.Is(err, admit.ErrNoFreeSlot) {
		m.schedule(2*hop, func() { m.takeTickets(r) })
		return
	}
	if err != nil {
		m.refused[r.class]++
		m.releaseEntrySlot(r)
		return
	}
	m.load[r.engine]++
	m.pumpEngine(r.engine)
}

func (m *model) pumpEngine(i int) {
	start, refused := m.engine[i].Start(m.now)
	for _, x := range refused {
		if p, ok := x.Work.Value.(*ticket); ok {
			m.ticketFailed(p)
			continue
		}
		m.load[i]--
		m.refused[x.Work.Value.(*request).class]++
		m.releaseEntrySlot(x.Work.Value.(*request))
	}
	for _, w := range start {
		if p, ok := w.Value.(*ticket); ok {
			m.holdSlot(p)
			continue
		}
		m.begin(w.Value.(*request))
	}
}

func (m *model) begin(r *request) {
	_ = m.waitTimes[r.class].RecordValue(max(m.now.Sub(r.arrivedAt).Microseconds(), 1))
	if r.class == wire.Priority_PRIORITY_NORMAL {
		m.served[r.team] += r.run.Seconds()
	}
	m.schedule(r.run, func() {
		_ = m.answerTimes[r.class].RecordValue(m.now.Sub(r.arrivedAt).Microseconds())
		m.engine[r.engine].Done(m.now, r.engineWork)
		m.load[r.engine]--
		m.releaseEntrySlot(r)
		m.pumpEngine(r.engine)
	})
}

// releaseEntrySlot frees the request's slot at its entry.
func (m *model) releaseEntrySlot(r *request) {
	if r.entryWork == nil {
		return
	}
	m.entry[r.entry].Done(m.now, r.entryWork)
	m.schedule(0, func() { m.pumpEntry(r.entry) })
}

// jainIndex returns Jain's fairness index: 1 if all values are equal, 1/n if only one of
// them isn't zero.
func jainIndex(x []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, v := range x {
		sum += v
		squares += v * v
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (float64(len(x)) * squares)
}

// fairShareRatios returns for each team the service it received in the normal class,
// divided by its weighted max-min fair share of the same total. It is 1 for a fair
// division.
func (m *model) fairShareRatios() []float64 {
	total := 0.0
	for _, v := range m.served {
		total += v
	}
	fair := maxMinShares(total, m.offered)
	list := make([]float64, teams)
	for t := range list {
		if fair[t] > 0 {
			list[t] = m.served[t] / fair[t]
		}
	}
	return list
}

// maxMinShares returns the weighted max-min fair division of a total, in which no team
// gets more than it offers.
func maxMinShares(total float64, offered [teams]float64) [teams]float64 {
	var part [teams]float64
	for range teams {
		weights, left := 0.0, total
		for t := range part {
			left -= part[t]
			if part[t] < offered[t]*(1-1e-9) {
				weights += float64(weight(t))
			}
		}
		if weights == 0 || left <= 0 {
			break
		}
		for t := range part {
			if part[t] < offered[t]*(1-1e-9) {
				part[t] = min(part[t]+left*float64(weight(t))/weights, offered[t])
			}
		}
	}
	return part
}

func measureWaits(o options) {
	fmt.Println("Waits in ms for a start at an upstream; answer is wait and run; refused in % of what came.")
	fmt.Printf("%-10s %5s %-13s %9s %9s %12s | %9s %9s %8s | %9s %9s %8s | %6s\n", "day", "load", "queue",
		"urgent50", "urgent99", "answer99", "normal50", "normal99", "refused", "batch50", "batch99", "refused", "jain")
	for _, u := range loadProfiles {
		for _, load := range []float64{0, 0.7, 0.95, 1.5} {
			for _, p := range policies {
				m := newModel(o.Seed, p)
				m.runDay(u, load, time.Duration(o.Seconds*float64(time.Second)))
				m.print(u.name, load)
			}
		}
	}
}

// runDay runs a day with urgent requests at 2% of the engines' capacity, and bulk
// requests at the given part of the capacity that is not reserved for urgent ones.
func (m *model) runDay(u loadProfile, load float64, length time.Duration) {
	capacity := float64(engines * (slots - admit.ReservedSlots(slots, urgentPC)))
	end := m.now.Add(length)
	m.generateArrivals(u.day, length, 0.02*engines*slots/urgentRun, m.newUrgentRequest)
	if load > 0 {
		m.generateArrivals(u.day, length, load*capacity/bulkRun, m.newBulkRequest)
	}
	m.run(end)
}

func (m *model) print(name string, load float64) {
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	part := func(c wire.Priority) float64 { return 100 * float64(m.refused[c]) / max(float64(m.arrived[c]), 1) }
	u, n, b := classes[0], classes[1], classes[2]
	fmt.Printf("%-10s %4.0f%% %-13s %9.1f %9.1f %12.1f | %9.1f %9.1f %7.1f%% | %9.1f %9.1f %7.1f%% | %6.3f",
		name, 100*load, m.policy.name, ms(m.waitTimes[u], 50), ms(m.waitTimes[u], 99), ms(m.answerTimes[u], 99),
		ms(m.waitTimes[n], 50), ms(m.waitTimes[n], 99), part(n), ms(m.waitTimes[b], 50), ms(m.waitTimes[b], 99), part(b), jainIndex(m.fairShareRatios()))
	if m.refused[u] > 0 {
		fmt.Printf("  %.1f%% of signals refused", part(u))
	}
	fmt.Println()
}
