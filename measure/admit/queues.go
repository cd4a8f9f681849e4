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

// Sizes of today.
const (
	entries  = 7
	engines  = 16
	slots    = 8
	teams    = 10
	queue    = 64
	urgentPC = 10
	// entrySlots bounds what one entry carries, a little above its part of what
	// the engines run and queue.
	entrySlots = 256
)

// Mean times that work runs on an engine, in seconds.
const (
	urgentRun = 0.15
	bulkRun   = 1.5
	timeout   = 30 * time.Second
)

// user is the shape of a day: load by hour, relative.
type user struct {
	name string
	day  [24]float64
}

var users = []user{
	// Lot descriptions before the clock starts, settlement queries after it.
	{"malanad", [24]float64{.2, .2, .3, .8, 1.8, 2.2, 2.2, 1.9, 1.4, 1.1, 1, 1, 1.2, 1.5, 1.6, 1.3, 1, .8, .6, .5, .4, .3, .3, .2}},
	// Shifts that begin at seven and at nineteen, and a cold snap in the night.
	{"karaganda", [24]float64{.6, .6, 1.6, 1.8, 1.4, .8, 1.2, 2, 1.6, 1.2, 1, .9, .9, 1, 1, .9, .8, .9, 1.2, 1.6, 1, .7, .6, .6}},
	// Without hours in which everybody is served, fairness shows.
	{"flat", [24]float64{1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1}},
}

// weight and demand of a team: two are large, and their weights don't match.
func weight(team int) int { return []int{4, 4, 2, 2, 1, 1, 1, 1, 1, 1}[team] }

func demand(team int) float64 { return []float64{12, 5, 2, 2, 2, 1, 1, 1, 1, 1}[team] }

// policy makes the queues of one way.
type policy struct {
	name string
	// global puts all work into one queue before all engines.
	global bool
	// tickets has requests wait at several engines, as the forwarder does.
	tickets bool
	// blind has engines chosen at random.
	blind bool
	make  func(admit.Settings) admit.Queue
}

func gate(s admit.Settings) admit.Queue { return admit.NewGate(s) }
func fifo(s admit.Settings) admit.Queue { return admit.NewFIFO(s) }

var policies = []policy{
	{name: "fifo", make: fifo},
	{name: "gate", make: gate},
	{name: "gate, tickets", tickets: true, make: gate},
	{name: "blind tickets", tickets: true, blind: true, make: gate},
	{name: "single queue", global: true, make: gate},
}

// request is one caller's request in the model.
type request struct {
	team    int
	class   wire.Priority
	came    time.Time
	run     time.Duration
	atEntry *admit.Work
	work    *admit.Work
	entry   int
	engine  int
	// bound says that a slot was found.
	bound bool
	// places are the request's tickets; left of them have not ended.
	places []*place
	left   int
}

// model is one run.
type model struct {
	now     time.Time
	rng     *rand.Rand
	policy  policy
	events  events
	seq     int
	entry   []admit.Queue
	engine  []admit.Queue
	load    []int
	waits   map[wire.Priority]*hdrhistogram.Histogram
	answers map[wire.Priority]*hdrhistogram.Histogram
	came    map[wire.Priority]int
	refused map[wire.Priority]int
	served  [teams]float64
	offered [teams]float64
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
		waits:   map[wire.Priority]*hdrhistogram.Histogram{},
		answers: map[wire.Priority]*hdrhistogram.Histogram{},
		came:    map[wire.Priority]int{}, refused: map[wire.Priority]int{},
	}
	for _, class := range classes {
		m.waits[class] = hdrhistogram.New(1, 1e9, 3)
		m.answers[class] = hdrhistogram.New(1, 1e9, 3)
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

func (m *model) after(d time.Duration, do func()) {
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

// arrive lets requests of one kind come as a Poisson process whose rate follows
// the day.
func (m *model) arrive(day [24]float64, length time.Duration, rate float64, make func() *request) {
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
			m.admit(make())
		}
		m.after(m.exponential(1/(rate*peak)), next)
	}
	m.after(m.exponential(1/(rate*peak)), next)
}

func (m *model) exponential(mean float64) time.Duration {
	return time.Duration(m.rng.ExpFloat64() * mean * float64(time.Second))
}

// lognormal run times: most answers are short, a few are long.
func (m *model) lognormal(mean float64) time.Duration {
	const sigma = 0.8
	return time.Duration(math.Exp(m.rng.NormFloat64()*sigma-sigma*sigma/2) * mean * float64(time.Second))
}

func (m *model) bulk() *request {
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
	return &request{team: team, class: class, came: m.now, run: m.lognormal(bulkRun)}
}

func (m *model) signal() *request {
	return &request{team: m.rng.IntN(teams), class: wire.Priority_PRIORITY_URGENT, came: m.now, run: m.lognormal(urgentRun)}
}

func (m *model) newWork(r *request) *admit.Work {
	return &admit.Work{
		Team: fmt.Sprint("team-", r.team), Weight: weight(r.team), Priority: r.class,
		Cost: r.run.Seconds(), Deadline: r.came.Add(timeout), Value: r,
	}
}

// admit queues a request at an entry that its caller chose.
func (m *model) admit(r *request) {
	m.came[r.class]++
	if r.class == wire.Priority_PRIORITY_NORMAL {
		m.offered[r.team] += r.run.Seconds()
	}
	if m.policy.global {
		m.toEngine(r)
		return
	}
	r.entry = m.rng.IntN(entries)
	r.atEntry = m.newWork(r)
	if m.entry[r.entry].Offer(m.now, r.atEntry) != nil {
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
		m.toEngine(w.Value.(*request))
	}
}

func (m *model) choose() int {
	if m.policy.blind {
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

// toEngine sends a request to the engine with the least work, by load that is known
// at once: the choice of an upstream is not what is measured here.
func (m *model) toEngine(r *request) {
	r.engine = m.choose()
	r.work = m.newWork(r)
	r.work.NoWait = m.policy.tickets
	err := m.engine[r.engine].Offer(m.now, r.work)
	if errors.Is(err, admit.ErrBusy) {
		m.after(2*hop, func() { m.queue(r) })
		return
	}
	if err != nil {
		m.refused[r.class]++
		m.leave(r)
		return
	}
	m.load[r.engine]++
	m.pumpEngine(r.engine)
}

func (m *model) pumpEngine(i int) {
	start, refused := m.engine[i].Start(m.now)
	for _, x := range refused {
		if p, ok := x.Work.Value.(*place); ok {
			m.lost(p)
			continue
		}
		m.load[i]--
		m.refused[x.Work.Value.(*request).class]++
		m.leave(x.Work.Value.(*request))
	}
	for _, w := range start {
		if p, ok := w.Value.(*place); ok {
			m.hold(p)
			continue
		}
		m.begin(w.Value.(*request))
	}
}

func (m *model) begin(r *request) {
	_ = m.waits[r.class].RecordValue(max(m.now.Sub(r.came).Microseconds(), 1))
	if r.class == wire.Priority_PRIORITY_NORMAL {
		m.served[r.team] += r.run.Seconds()
	}
	m.after(r.run, func() {
		_ = m.answers[r.class].RecordValue(m.now.Sub(r.came).Microseconds())
		m.engine[r.engine].Done(m.now, r.work)
		m.load[r.engine]--
		m.leave(r)
		m.pumpEngine(r.engine)
	})
}

// leave frees the request's place at its entry.
func (m *model) leave(r *request) {
	if r.atEntry == nil {
		return
	}
	m.entry[r.entry].Done(m.now, r.atEntry)
	m.after(0, func() { m.pumpEntry(r.entry) })
}

// jain is Jain's index of fairness: 1 is fair, 1/n is all for one.
func jain(x []float64) float64 {
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

// weighted is what each team was served in the normal class, over its max-min fair part by weight of
// the same total: 1 for each team is what the weights ask for.
func (m *model) weighted() []float64 {
	total := 0.0
	for _, v := range m.served {
		total += v
	}
	fair := maxMin(total, m.offered)
	list := make([]float64, teams)
	for t := range list {
		if fair[t] > 0 {
			list[t] = m.served[t] / fair[t]
		}
	}
	return list
}

// maxMin divides a total by weight, where no team gets more than it offers.
func maxMin(total float64, offered [teams]float64) [teams]float64 {
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

func waits(o options) {
	fmt.Println("Waits in ms for a start at an upstream; answer is wait and run; refused in % of what came.")
	fmt.Printf("%-10s %5s %-13s %9s %9s %12s | %9s %9s %8s | %9s %9s %8s | %6s\n", "day", "load", "queue",
		"urgent50", "urgent99", "answer99", "normal50", "normal99", "refused", "batch50", "batch99", "refused", "jain")
	for _, u := range users {
		for _, load := range []float64{0, 0.7, 0.95, 1.5} {
			for _, p := range policies {
				m := newModel(o.Seed, p)
				m.day(u, load, time.Duration(o.Seconds*float64(time.Second)))
				m.print(u.name, load)
			}
		}
	}
}

// day runs a day with bulk work at a part of the capacity that other work may use,
// and signals at 2% of it.
func (m *model) day(u user, load float64, length time.Duration) {
	capacity := float64(engines * (slots - admit.ReservedSlots(slots, urgentPC)))
	end := m.now.Add(length)
	m.arrive(u.day, length, 0.02*engines*slots/urgentRun, m.signal)
	if load > 0 {
		m.arrive(u.day, length, load*capacity/bulkRun, m.bulk)
	}
	m.run(end)
}

func (m *model) print(name string, load float64) {
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	part := func(c wire.Priority) float64 { return 100 * float64(m.refused[c]) / max(float64(m.came[c]), 1) }
	u, n, b := classes[0], classes[1], classes[2]
	fmt.Printf("%-10s %4.0f%% %-13s %9.1f %9.1f %12.1f | %9.1f %9.1f %7.1f%% | %9.1f %9.1f %7.1f%% | %6.3f",
		name, 100*load, m.policy.name, ms(m.waits[u], 50), ms(m.waits[u], 99), ms(m.answers[u], 99),
		ms(m.waits[n], 50), ms(m.waits[n], 99), part(n), ms(m.waits[b], 50), ms(m.waits[b], 99), part(b), jain(m.weighted()))
	if m.refused[u] > 0 {
		fmt.Printf("  %.1f%% of signals refused", part(u))
	}
	fmt.Println()
}
