package main

import (
	"slices"
	"time"

	"github.com/snipereach/snipereach/placement"
)

// offline plans with the mean true load of the coming horizon, which begins with the
// first window in which a map planned now can be active.
type offline struct {
	horizon time.Duration
	window  time.Duration

	s    placement.Shape
	c    placement.Cost
	load placement.Load
}

func (p *offline) Reset(s placement.Shape, c placement.Cost) { p.s, p.c = s, c }
func (p *offline) Observe(time.Time, placement.Load)         {}
func (p *offline) setFutureLoad(window int, future futureLoad) {
	p.load = future(window+1, int(p.horizon/p.window))
}

func (p *offline) Plan(_ time.Time, current *placement.Map) placement.Decision {
	lim := placement.Limits{Horizon: p.horizon, Margin: 1, MaxMoves: movesPerMinute(p.c)}
	return placement.Improve(p.s, p.c, current, p.load, lim)
}

// movesPerMinute returns how many experts the weight store can load in a minute.
func movesPerMinute(c placement.Cost) int { return int(time.Minute / c.LoadTime()) }

// hysteresis moves experts by two thresholds instead of a cost: from when the forecast
// skew exceeds the upper one until it no longer exceeds the lower one.
type hysteresis struct {
	upper, lower float64
	active       bool

	s        placement.Shape
	c        placement.Cost
	forecast placement.Forecast
}

func (p *hysteresis) Reset(s placement.Shape, c placement.Cost) {
	p.s, p.c = s, c
	p.forecast = placement.NewIncremental().NewForecast()
	p.forecast.Reset(s)
}

func (p *hysteresis) Observe(at time.Time, load placement.Load) { p.forecast.Observe(at, load) }

func (p *hysteresis) Plan(_ time.Time, current *placement.Map) placement.Decision {
	load := p.forecast.Load()
	if load == nil {
		return placement.Decision{}
	}
	skew := groupSkew(p.s, current, load)
	p.active = skew > p.upper || p.active && skew > p.lower
	if !p.active {
		return placement.Decision{}
	}
	free := p.c
	free.MoveWeight = 0
	lim := placement.Limits{Horizon: time.Hour, MaxMoves: movesPerMinute(p.c)}
	return placement.Improve(p.s, free, current, load, lim)
}

// binLength is the resolution of the forecast by time of day.
const binLength = 30 * time.Minute

// daily blends the incremental planner's forecast with yesterday's load at a slightly
// later time of day than now.
type daily struct {
	share float64

	s           placement.Shape
	c           placement.Cost
	incremental *placement.Incremental
	days        map[int]placement.Load // past forecasts, by number of the bin since start
}

func (p *daily) Reset(s placement.Shape, c placement.Cost) {
	p.s, p.c = s, c
	p.incremental = placement.NewIncremental()
	p.incremental.Reset(s, c)
	p.days = map[int]placement.Load{}
}

func (p *daily) Observe(at time.Time, load placement.Load) {
	p.incremental.Observe(at, load)
	if now := p.incremental.Forecast(); now != nil {
		p.days[bin(at)] = now
	}
}

func bin(at time.Time) int { return int(at.Sub(start) / binLength) }

func (p *daily) Plan(now time.Time, current *placement.Map) placement.Decision {
	load := p.incremental.Forecast()
	if load == nil {
		return placement.Decision{}
	}
	if then, ok := p.days[bin(now.Add(binLength/2-24*time.Hour))]; ok {
		for i := range load {
			load[i] += p.share * (then[i] - load[i])
		}
	}
	return placement.Improve(p.s, p.c, current, load, p.incremental.Limits())
}

// matched repacks periodically, but assigns each new set of experts greedily to the rank
// that already holds most of it.
type matched struct {
	period time.Duration

	s      placement.Shape
	load   placement.Load
	planAt time.Time
}

func (p *matched) Reset(s placement.Shape, _ placement.Cost) { p.s = s }

func (p *matched) Observe(_ time.Time, load placement.Load) { p.load = slices.Clone(load) }

func (p *matched) Plan(now time.Time, current *placement.Map) placement.Decision {
	if p.load == nil || now.Before(p.planAt) {
		return placement.Decision{}
	}
	p.planAt = now.Add(p.period)
	want := placement.Pack(p.s, p.load)
	for layer := range p.s.Layers {
		p.match(current, want, layer)
	}
	moves, next, err := placement.Order(p.s, current, want)
	if err != nil || len(moves) == 0 {
		return placement.Decision{}
	}
	return placement.Decision{Next: next, Moves: moves}
}

func (p *matched) match(current, want *placement.Map, layer int) {
	sets := make([][]int32, p.s.Ranks)
	for r := range sets {
		sets[r] = slices.Clone(want.At(p.s, layer, r))
	}
	given := make([]bool, p.s.Ranks)
	taken := make([]bool, p.s.Ranks)
	for range p.s.Ranks {
		bestRank, bestSet, most := -1, -1, -1
		for r := range p.s.Ranks {
			for i, set := range sets {
				if taken[r] || given[i] {
					continue
				}
				if n := commonExperts(current.At(p.s, layer, r), set); n > most {
					bestRank, bestSet, most = r, i, n
				}
			}
		}
		copy(want.At(p.s, layer, bestRank), sets[bestSet])
		taken[bestRank], given[bestSet] = true, true
	}
}

func commonExperts(a, b []int32) int {
	n := 0
	for _, e := range a {
		if slices.Contains(b, e) {
			n++
		}
	}
	return n
}
