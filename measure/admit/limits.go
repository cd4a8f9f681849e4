package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// limiter admits at one entry.
type limiter interface {
	take(entry int, now time.Time) bool
	// until does what falls due before a time.
	until(now time.Time)
	// asked is how many questions for a team and calls with questions were made.
	asked() (questions, calls float64)
}

// buckets are independent token buckets, one at each entry: the naive ways give
// each of them the whole limit, or a fixed part.
type buckets struct {
	rate  float64
	level []float64
	last  []time.Time
}

func newBuckets(rate float64, now time.Time) limiter {
	b := &buckets{rate: rate, level: make([]float64, entries)}
	for range entries {
		b.last = append(b.last, now)
	}
	return b
}

func (b *buckets) take(entry int, now time.Time) bool {
	b.level[entry] = min(b.level[entry]+b.rate*now.Sub(b.last[entry]).Seconds(), max(b.rate, 1))
	b.last[entry] = now
	if b.level[entry] < 1 {
		return false
	}
	b.level[entry]--
	return true
}

func (b *buckets) until(time.Time) {}

func (b *buckets) asked() (questions, calls float64) { return 0, 0 }

// central is the bound: one bucket that every entry asks, without delay.
type central struct{ *buckets }

func (c central) take(_ int, now time.Time) bool { return c.buckets.take(0, now) }

// callers are how a team's callers come.
type callers struct {
	name string
	// load is what they ask for, of the limit.
	load float64
	// stay says for how long they use the same entries; nil is for ever.
	stay func(*rand.Rand) time.Duration
}

var someCallers = []callers{
	{"steady, half the limit", 0.5, nil},
	{"steady, twice the limit", 2, nil},
	{"moving, half the limit", 0.5, stayAWhile},
	{"moving, twice the limit", 2, stayAWhile},
}

func stayAWhile(rng *rand.Rand) time.Duration { return time.Duration(2+rng.IntN(11)) * time.Second }

// limits drives each way with the same callers. They use one to three entries at a
// time; those that move go to others after 2 to 12 s.
func limits(o options) {
	for _, c := range someCallers {
		fmt.Printf("Limits: callers %s.\n", c.name)
		fmt.Printf("%-10s %-20s %12s %12s %14s %10s\n", "limit/s", "way", "admitted", "over l*(w+1s)", "questions/s", "calls/s")
		for _, rate := range []float64{5, 20, 100, 1000} {
			ways := []struct {
				name string
				make func(float64, time.Time) limiter
			}{
				{"whole at each entry", newBuckets},
				{"fixed part", func(r float64, t time.Time) limiter { return newBuckets(r/entries, t) }},
				{"shares", newShares},
				{"central, no delay", func(r float64, t time.Time) limiter { return central{newBuckets(r, t).(*buckets)} }},
			}
			for _, w := range ways {
				r := drive(o, c, rate, w.make)
				fmt.Printf("%-10g %-20s %11.1f%% %12.0f %14.2f %10.2f\n", rate, w.name, 100*r.admitted, r.over, r.questions, r.calls)
			}
		}
	}
}

type driven struct {
	// admitted is of what was asked for, and of the limit if that is less.
	admitted float64
	// over is the most requests in any window above the limit.
	over float64
	// questions and calls are per second and active entry.
	questions, calls float64
}

func drive(o options, c callers, rate float64, way func(float64, time.Time) limiter) driven {
	rng := rand.New(rand.NewPCG(o.Seed, 2))
	now := time.Unix(1_000_000, 0)
	l := way(rate, now)
	begin, moved, last := now, now, now
	var used []int
	level, count, active := max(rate, 1), 0.0, 0.0
	var over float64
	for now.Sub(begin).Seconds() < o.Seconds {
		if used == nil || c.stay != nil && !now.Before(moved) {
			used = rng.Perm(entries)[:1+rng.IntN(3)]
			if c.stay != nil {
				moved = now.Add(c.stay(rng))
			}
		}
		l.until(now)
		level = min(level+rate*now.Sub(last).Seconds(), max(rate, 1))
		active += float64(len(used)) * now.Sub(last).Seconds()
		last = now
		if l.take(used[rng.IntN(len(used))], now) {
			level--
			count++
		}
		over = max(over, -level)
		now = now.Add(time.Duration(rng.ExpFloat64() / (c.load * rate) * float64(time.Second)))
	}
	questions, calls := l.asked()
	return driven{count / (min(c.load, 1) * rate * o.Seconds), math.Round(over), questions / active, calls / active}
}
