package main

import (
	"fmt"

	"golang.org/x/sync/errgroup"

	"github.com/snipereach/snipereach/placement"
	"github.com/snipereach/snipereach/placement/trace"
)

// setting is one choice of the incremental planner's settings.
type setting struct {
	half, life, horizon, margin, minGain float64
	median                               bool
}

// grid varies one or two settings at a time around the default.
func grid() []setting {
	base := setting{half: 30, life: 300, horizon: 900, margin: 1.5, minGain: 0.004, median: true}
	var out []setting
	for _, horizon := range []float64{300, 900} {
		for _, margin := range []float64{1, 3} {
			for _, minGain := range []float64{0.002, 0.006} {
				s := base
				s.horizon, s.margin, s.minGain = horizon, margin, minGain
				out = append(out, s)
			}
		}
	}
	for _, half := range []float64{15, 60} {
		for _, life := range []float64{120, 600} {
			for _, median := range []bool{false} {
				s := base
				s.half, s.life, s.median = half, life, median
				out = append(out, s)
			}
		}
	}
	return out
}

func (s setting) planner() *placement.Incremental {
	p := placement.NewIncremental()
	p.HalfLifeSeconds, p.ErrorLifeSeconds, p.HorizonSeconds = s.half, s.life, s.horizon
	p.Margin, p.MinGain, p.Median = s.margin, s.minGain, s.median
	return p
}

// tune tries settings on the tuning seeds and prints, for each, J over that of the
// best setting of the same trace, and the mean of these ratios over all traces.
func tune(o options, z size) error {
	settings := grid()
	js := make([][]float64, len(users))
	var g errgroup.Group
	g.SetLimit(o.Workers)
	for i, u := range users {
		g.Go(func() error {
			js[i] = make([]float64, len(settings))
			for _, seed := range trace.TuningSeeds(u.kind)[:o.Seeds] {
				var runs []*run
				for _, s := range settings {
					runs = append(runs, &run{planner: s.planner()})
				}
				for k, r := range simulate(z.shape, z.cost(u), newTrace(z, u.kind, seed), runs)[1:] {
					js[i][k] += r.j
				}
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	least := make([]float64, len(users))
	for i := range users {
		least[i] = js[i][0]
		for _, j := range js[i] {
			least[i] = min(least[i], j)
		}
	}
	fmt.Printf("half-life error-life horizon margin min-gain median | mean | by trace\n")
	for k, s := range settings {
		sum, worst, each := 0.0, 0.0, ""
		for i := range users {
			ratio := js[i][k] / least[i]
			sum += ratio
			worst = max(worst, ratio)
			each += fmt.Sprintf(" %.2f", ratio)
		}
		fmt.Printf("%4.0f %5.0f %5.0f %4.1f %6.3f %5v | %.3f | worst %.2f |%s\n",
			s.half, s.life, s.horizon, s.margin, s.minGain, s.median, sum/float64(len(users)), worst, each)
	}
	return nil
}
