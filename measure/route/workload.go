package main

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/snipereach/snipereach/wire"
)

// arrival is one request of the workload, which is the same for every policy.
type arrival struct {
	at     time.Duration
	entry  int
	class  wire.Priority
	output int
	tokens int
	prefix []uint64
}

const (
	teams          = 10
	entries        = 7
	stickyShare    = 0.8  // fraction of calls sent to the entry of their session
	sessionShare   = 0.8  // fraction of calls that continue a session
	activeSessions = 60   // sessions kept for each team
	maxBlocks      = 64   // longest prompt, in blocks
	blockTokens    = 64   // tokens in a block
	meanOutput     = 200  // tokens
	maxOutput      = 1024 // tokens
)

// loadShape is a load profile: the load as a factor, by the fraction of the day that
// has passed, from 0 to 1.
type loadShape func(x float64) float64

func steady(float64) float64 { return 1 }

// growersDay has a rush in the morning before the auction clock starts, and a second
// peak of settlement queries after it.
func growersDay(x float64) float64 {
	return 0.5 + 1.2*bump(x, 0.3, 0.08) + 0.7*bump(x, 0.6, 0.1)
}

// liftDay is constant except for two short peaks in cold snaps.
func liftDay(x float64) float64 {
	return 0.7 + 1.4*bump(x, 0.35, 0.03) + 1.4*bump(x, 0.75, 0.03)
}

func bump(x, middle, width float64) float64 {
	d := (x - middle) / width
	return math.Exp(-d * d / 2)
}

// peak returns the highest value of a load shape.
func peak(s loadShape) float64 {
	top := 0.0
	for i := range 1000 {
		top = max(top, s(float64(i)/1000))
	}
	return top
}

type session struct {
	entry  int
	prefix []uint64
}

// generator generates arrivals of teams of unequal size. The prompts of a team share its
// template as prefix and grow in sessions.
type generator struct {
	rnd      *rand.Rand
	template [teams][]uint64
	sessions [teams][]*session
	weights  [teams]float64
	plain    bool
	entries  int
}

func newGenerator(seed uint64, plain bool) *generator {
	g := &generator{rnd: rand.New(rand.NewPCG(seed, 7)), plain: plain, entries: entries}
	total := 0.0
	for t := range teams {
		g.template[t] = g.blocks(nil, 4+g.rnd.IntN(9))
		g.weights[t] = 1 / float64(t+1)
		total += g.weights[t]
	}
	for t := range teams {
		g.weights[t] /= total
	}
	return g
}

func (g *generator) blocks(prefix []uint64, n int) []uint64 {
	grown := append([]uint64(nil), prefix...)
	for len(grown) < maxBlocks && n > 0 {
		grown = append(grown, g.rnd.Uint64())
		n--
	}
	return grown
}

func (g *generator) team() int {
	x := g.rnd.Float64()
	for t, w := range g.weights {
		if x < w {
			return t
		}
		x -= w
	}
	return 0
}

// arrivals draws a Poisson process whose highest rate is top per second, and whose rate
// follows a load shape over the given time.
func (g *generator) arrivals(until time.Duration, top float64, s loadShape) []arrival {
	var all []arrival
	high := peak(s)
	at := 0.0
	for {
		at += g.rnd.ExpFloat64() / top
		if at > until.Seconds() {
			return all
		}
		if g.rnd.Float64()*high > s(at/until.Seconds()) {
			continue
		}
		all = append(all, g.arrival(time.Duration(at*float64(time.Second))))
	}
}

func (g *generator) arrival(at time.Duration) arrival {
	if g.plain {
		return arrival{at: at, entry: g.rnd.IntN(g.entries), class: wire.Priority_PRIORITY_URGENT, output: 1 + int(g.rnd.ExpFloat64()*4)}
	}
	s := g.session(g.team())
	a := arrival{at: at, entry: s.entry, class: g.class(), output: g.output(), prefix: s.prefix}
	if g.rnd.Float64() > stickyShare {
		a.entry = g.rnd.IntN(g.entries)
	}
	// Callers overestimate the output by up to a factor of two.
	a.tokens = len(a.prefix)*blockTokens + int(float64(a.output)*(1+g.rnd.Float64()))
	return a
}

func (g *generator) session(t int) *session {
	list := g.sessions[t]
	if len(list) > 0 && g.rnd.Float64() < sessionShare {
		s := list[g.rnd.IntN(len(list))]
		s.prefix = g.blocks(s.prefix, 2+g.rnd.IntN(5))
		return &session{s.entry, s.prefix}
	}
	s := &session{entry: g.rnd.IntN(g.entries), prefix: g.blocks(g.template[t], 2+g.rnd.IntN(5))}
	if len(list) == activeSessions {
		list = list[1:]
	}
	g.sessions[t] = append(list, s)
	return &session{s.entry, s.prefix}
}

func (g *generator) class() wire.Priority {
	switch x := g.rnd.Float64(); {
	case x < 0.05:
		return wire.Priority_PRIORITY_URGENT
	case x < 0.8:
		return wire.Priority_PRIORITY_NORMAL
	}
	return wire.Priority_PRIORITY_BATCH
}

// output draws the output length in tokens from a lognormal distribution.
func (g *generator) output() int {
	const sigma = 0.8
	mu := math.Log(meanOutput) - sigma*sigma/2
	return min(max(int(math.Exp(mu+sigma*g.rnd.NormFloat64())), 8), maxOutput)
}

// meanSteps returns the mean work of the arrivals in steps, with nothing cached.
func meanSteps(list []arrival, prefill float64) float64 {
	sum := 0.0
	for _, a := range list {
		sum += float64(a.output) + prefill*float64(len(a.prefix))
	}
	return sum / float64(len(list))
}
