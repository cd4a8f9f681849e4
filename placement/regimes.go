package placement

import (
	"slices"
	"time"
)

const (
	// maxPatterns bounds the regimes that are remembered.
	maxPatterns = 8
	// minRegime is the number of windows that a regime must have to be remembered.
	minRegime = 4
	// sameRegime is the share of a change's squared length within which two regimes
	// count as one.
	sameRegime = 0.25
	// knownRest is the share of a change's squared length that may remain beside a
	// remembered one.
	knownRest = 0.3
	// leastPart is the part of a remembered change that must be seen to recognise it.
	leastPart = 0.08
	// risingBy is by how much the part must grow from window to window to count as
	// still rising.
	risingBy = 0.1
	// knownWeight is the number of windows that a remembered regime counts as.
	knownWeight = 2
)

// regimes remembers how load was spread between sudden changes, because the same few
// hot sets come back. The first windows of one of them show only part of it: a change
// in the direction of a remembered regime is taken to go all the way.
type regimes struct {
	// since is the start of the regime in force, windows their number in it.
	since   time.Time
	windows int
	// base is the last regime that lasted, patterns those before, newest last.
	base     Load
	patterns []Load
	// part is how far the change had come in the last window.
	part float64
	// lasted is how long regimes lasted in all, ended their number.
	lasted time.Duration
	ended  int
}

// mean is for how long a regime lasts; zero if none has ended.
func (g *regimes) mean() time.Duration {
	if g.ended == 0 {
		return 0
	}
	return g.lasted / time.Duration(g.ended)
}

// next ends the regime in force, whose last forecast is given, and says with what, and
// as how many windows, the next one begins.
func (g *regimes) next(at time.Time, last, raw Load, noise float64) (Load, float64) {
	if g.windows >= minRegime || g.base == nil {
		g.remember(last, distance(last, raw))
		g.base, g.part = last, 0
		if !g.since.IsZero() {
			g.lasted += at.Sub(g.since)
			g.ended++
		}
	}
	again := g.windows == 0
	g.windows, g.since = 0, at
	p, part := g.recognise(raw, noise)
	if p == nil {
		g.part = 0
		return raw, 1
	}
	rising := part > g.part+risingBy && part < 1
	g.part = part
	switch {
	case rising:
		return between(g.base, p, 1), knownWeight
	case again:
		// What is remembered doesn't fit this time.
		return raw, 1
	}
	return between(between(g.base, p, part), raw, 0.5), knownWeight
}

// recognise finds the remembered regime in whose direction the load has gone, and how
// far.
func (g *regimes) recognise(raw Load, noise float64) (found Load, part float64) {
	least := noise + knownRest*distance(g.base, raw)
	for _, p := range g.patterns {
		along, length := 0.0, 0.0
		for i, b := range g.base {
			d := p[i] - b
			along += d * (raw[i] - b)
			length += d * d
		}
		if length <= noise || along < leastPart*length {
			continue
		}
		at := min(along/length, 2)
		if rest := distance(between(g.base, p, at), raw); rest < least {
			found, part, least = p, at, rest
		}
	}
	return found, part
}

// remember keeps a regime in place of one that it resembles, or of the oldest.
func (g *regimes) remember(p Load, change float64) {
	g.patterns = slices.DeleteFunc(g.patterns, func(other Load) bool {
		return distance(p, other) < sameRegime*change
	})
	if len(g.patterns) == maxPatterns {
		g.patterns = slices.Delete(g.patterns, 0, 1)
	}
	g.patterns = append(g.patterns, p)
}

// distance is the squared distance of two loads.
func distance(a, b Load) float64 {
	sum := 0.0
	for i, v := range a {
		d := v - b[i]
		sum += d * d
	}
	return sum
}

// between is the load a part of the way from one to another.
func between(a, b Load, part float64) Load {
	out := make(Load, len(a))
	for i, v := range a {
		out[i] = max(v+part*(b[i]-v), 0)
	}
	return out
}
