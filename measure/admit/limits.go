package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// limiter decides on admission at all entries.
type limiter interface {
	// admit reports whether a request that arrives at an entry is admitted.
	admit(entry int, now time.Time) bool
	// advanceTo runs the timers that are due by a time.
	advanceTo(now time.Time)
	// shareTraffic returns the number of share demands, one for each team, and of the calls
	// that carried them.
	shareTraffic() (demands, calls float64)
}

// buckets are independent token buckets, one at each entry. The baselines give each
// the whole limit, or a fixed part of it.
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

func (b *buckets) admit(entry int, now time.Time) bool {
	b.level[entry] = min(b.level[entry]+b.rate*now.Sub(b.last[entry]).Seconds(), max(b.rate, 1))
	b.last[entry] = now
	if b.level[entry] < 1 {
		return false
	}
	b.level[entry]--
	return true
}

func (b *buckets) advanceTo(time.Time) {}

func (b *buckets) shareTraffic() (demands, calls float64) { return 0, 0 }

// centralBucket is the theoretical bound: a single bucket that all entries use without
// delay.
type centralBucket struct{ *buckets }

func (c centralBucket) admit(_ int, now time.Time) bool { return c.buckets.admit(0, now) }

// callerLoad describes the load of a team's callers.
type callerLoad struct {
	name string
	// load is the request rate as a fraction of the limit.
	load float64
	// stay draws how long callers use the same entries; nil means forever.
	stay func(*rand.Rand) time.Duration
}

var callerLoads = []callerLoad{
	{"steady, half the limit", 0.5, nil},
	{"steady, twice the limit", 2, nil},
	{"moving, half the limit", 0.5, randomStay},
	{"moving, twice the limit", 2, randomStay},
}

func randomStay(rng *rand.Rand) time.Duration { return time.Duration(2+rng.IntN(11)) * time.Second }

// measureLimits runs each limiter under the same load and prints what it admits. Callers
// use one to three entries at a time; moving ones switch after 2 to 12 s.
func measureLimits(o options) {
	for _, c := range callerLoads {
		fmt.Printf("Limits: callers %s.\n", c.name)
		fmt.Printf("%-10s %-20s %12s %12s %14s %10s\n", "limit/s", "way", "admitted", "over l*(w+1s)", "demands/s", "calls/s")
		for _, rate := range []float64{5, 20, 100, 1000} {
			variants := []struct {
				name string
				make func(float64, time.Time) limiter
			}{
				{"whole at each entry", newBuckets},
				{"fixed part", func(r float64, t time.Time) limiter { return newBuckets(r/entries, t) }},
				{"shares", newShares},
				{"central, no delay", func(r float64, t time.Time) limiter { return centralBucket{newBuckets(r, t).(*buckets)} }},
			}
			for _, w := range variants {
				r := driveLimiter(o, c, rate, w.make)
				fmt.Printf("%-10g %-20s %11.1f%% %12.0f %14.2f %10.2f\n", rate, w.name, 100*r.admitted, r.over, r.demands, r.calls)
			}
		}
	}
}

// driveResult is what one run of a limiter gave.
type driveResult struct {
	// admitted is the ratio of the admitted requests to those asked for, or to the
	// limit if that is less.
	admitted float64
	// over is the largest number of requests by which any window of w seconds
	// exceeded limit*(w+1s).
	over float64
	// demands and calls are rates per second and active entry.
	demands, calls float64
}

func driveLimiter(o options, c callerLoad, rate float64, newLimiter func(float64, time.Time) limiter) driveResult {
	rng := rand.New(rand.NewPCG(o.Seed, 2))
	now := time.Unix(1_000_000, 0)
	l := newLimiter(rate, now)
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
		l.advanceTo(now)
		level = min(level+rate*now.Sub(last).Seconds(), max(rate, 1))
		active += float64(len(used)) * now.Sub(last).Seconds()
		last = now
		if l.admit(used[rng.IntN(len(used))], now) {
			level--
			count++
		}
		over = max(over, -level)
		now = now.Add(time.Duration(rng.ExpFloat64() / (c.load * rate) * float64(time.Second)))
	}
	demands, calls := l.shareTraffic()
	return driveResult{count / (min(c.load, 1) * rate * o.Seconds), math.Round(over), demands / active, calls / active}
}
