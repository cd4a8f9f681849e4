package placement

import (
	"slices"
	"time"
)

const (
	// maxPatterns bounds the number of remembered regimes.
	maxPatterns = 8
	// minRegimeWindows is the number of windows that a regime must have to be remembered.
	minRegimeWindows = 4
	// sameRegimeDistance bounds the squared distance of two regimes that count as one, as a
	// fraction of the squared length of the change.
	sameRegimeDistance = 0.25
	// maxResidual bounds the squared residual of a change that matches a remembered regime, as
	// a fraction of the squared length of the change.
	maxResidual = 0.3
	// minMatchProgress is the fraction of a remembered change that must be visible for a match.
	minMatchProgress = 0.08
	// minRise is the growth of the progress between two consecutive changes above which the
	// load is taken to be still on its way to the matched regime.
	minRise = 0.1
	// matchedWeight is the number of windows that the load of a matched regime counts as.
	matchedWeight = 2
)

// regimeHistory remembers the load of past regimes, the periods between sudden changes, because
// the same hot sets of experts tend to recur. The first windows after a change show only part
// of it: a change towards a remembered regime is expected to be completed.
type regimeHistory struct {
	// since is the start of the current regime, windows the number of windows in it.
	since   time.Time
	windows int
	// base is the load of the last regime that was remembered. patterns are the remembered
	// loads, newest last.
	base     Load
	patterns []Load
	// progress is how far the latest change had come from base to the matched regime, 0 to 2.
	progress float64
	// lasted and ended are the total duration and the number of the ended regimes, without
	// those of fewer than minRegimeWindows windows.
	lasted time.Duration
	ended  int
}

// meanDuration returns the mean duration of the ended regimes, 0 if none has ended.
func (g *regimeHistory) meanDuration() time.Duration {
	if g.ended == 0 {
		return 0
	}
	return g.lasted / time.Duration(g.ended)
}

// startNext ends the current regime, whose last forecast is given, at a window with load raw.
// It returns the load with which the new regime starts, and the number of windows that it
// counts as.
func (g *regimeHistory) startNext(at time.Time, last, raw Load, noise float64) (Load, float64) {
	if g.windows >= minRegimeWindows || g.base == nil {
		g.remember(last, squaredDistance(last, raw))
		g.base, g.progress = last, 0
		if !g.since.IsZero() {
			g.lasted += at.Sub(g.since)
			g.ended++
		}
	}
	consecutive := g.windows == 0
	g.windows, g.since = 0, at
	p, progress := g.match(raw, noise)
	if p == nil {
		g.progress = 0
		return raw, 1
	}
	rising := progress > g.progress+minRise && progress < 1
	g.progress = progress
	switch {
	case rising:
		return interpolate(g.base, p, 1), matchedWeight
	case consecutive:
		// A second sudden change in a row that isn't a rise towards the regime.
		return raw, 1
	}
	return interpolate(interpolate(g.base, p, progress), raw, 0.5), matchedWeight
}

// match returns the remembered regime towards which the load has changed from base, and the
// progress of the change. It returns nil if no regime fits better than noise and maxResidual
// allow.
func (g *regimeHistory) match(raw Load, noise float64) (found Load, progress float64) {
	leastResidual := noise + maxResidual*squaredDistance(g.base, raw)
	for _, p := range g.patterns {
		along, length := 0.0, 0.0
		for i, b := range g.base {
			d := p[i] - b
			along += d * (raw[i] - b)
			length += d * d
		}
		if length <= noise || along < minMatchProgress*length {
			continue
		}
		reached := min(along/length, 2)
		if residual := squaredDistance(interpolate(g.base, p, reached), raw); residual < leastResidual {
			found, progress, leastResidual = p, reached, residual
		}
	}
	return found, progress
}

// remember adds a pattern. It replaces similar ones, or the oldest if there are too many.
func (g *regimeHistory) remember(p Load, change float64) {
	g.patterns = slices.DeleteFunc(g.patterns, func(other Load) bool {
		return squaredDistance(p, other) < sameRegimeDistance*change
	})
	if len(g.patterns) == maxPatterns {
		g.patterns = slices.Delete(g.patterns, 0, 1)
	}
	g.patterns = append(g.patterns, p)
}

// squaredDistance returns the squared Euclidean distance of two loads.
func squaredDistance(a, b Load) float64 {
	sum := 0.0
	for i, v := range a {
		d := v - b[i]
		sum += d * d
	}
	return sum
}

// interpolate returns the load at a fraction of the way from a to b, at least 0.
func interpolate(a, b Load, fraction float64) Load {
	out := make(Load, len(a))
	for i, v := range a {
		out[i] = max(v+fraction*(b[i]-v), 0)
	}
	return out
}
