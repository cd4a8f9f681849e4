package trace

import (
	"math/rand/v2"

	"github.com/snipereach/snipereach/placement"
)

// quality is the accuracy of a trace's counters.
type quality struct {
	// noise is the relative error of each counter, missing the share of windows that are lost,
	// and wrong the share of counters that are zero or ten times too high.
	noise, missing, wrong float64
	// maxLag is the largest delay of a report in windows, at least 1.
	maxLag int
}

var (
	ordinary = quality{noise: 0.05, missing: 0.05, wrong: 0, maxLag: 2}
	poor     = quality{noise: 0.33, missing: 0.20, wrong: 0.01, maxLag: 4}
)

// Report holds the counters of a window as a planner receives them.
type Report struct {
	Window int
	Load   placement.Load
}

func (t *Trace) quality() quality {
	if t.Kind == Noisy {
		return poor
	}
	return ordinary
}

// Reports returns the counters that arrive during a window. They are those of earlier windows:
// late, out of order, with gaps and noise.
func (t *Trace) Reports(window int) []Report {
	q := t.quality()
	var out []Report
	for lag := q.maxLag; lag >= 1; lag-- {
		w := window - lag
		if w < 0 {
			continue
		}
		rnd := rand.New(rand.NewPCG(t.Seed^0x5eed, uint64(w)))
		if rnd.Float64() < q.missing || 1+rnd.IntN(q.maxLag) != lag {
			continue
		}
		out = append(out, Report{Window: w, Load: q.distort(rnd, t.Load(w))})
	}
	return out
}

func (q quality) distort(rnd *rand.Rand, load placement.Load) placement.Load {
	for i := range load {
		load[i] *= max(1+q.noise*rnd.NormFloat64(), 0)
		if q.wrong > 0 && rnd.Float64() < q.wrong {
			load[i] *= float64(10 * rnd.IntN(2))
		}
	}
	return load
}
