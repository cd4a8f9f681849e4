package main

import (
	"fmt"

	"golang.org/x/sync/errgroup"

	"github.com/snipereach/snipereach/placement"
	"github.com/snipereach/snipereach/placement/trace"
)

// setting is one choice of the incremental planner's settings.
type setting struct {
	half, horizon, margin, minGain float64
	median                         bool
}

func grid() []setting {
	var out []setting
	for _, half := range []float64{30, 60, 120, 300} {
		for _, horizon := range []float64{450, 900, 1800, 3600} {
			for _, margin := range []float64{1, 2} {
				for _, minGain := range []float64{0, 0.005, 0.01} {
					for _, median := range []bool{false, true} {
						out = append(out, setting{half, horizon, margin, minGain, median})
					}
				}
			}
		}
	}
	return out
}

func (s setting) planner() *placement.Incremental {
	p := placement.NewIncremental()
	p.HalfLifeSeconds, p.HorizonSeconds = s.half, s.horizon
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
	fmt.Printf("half-life horizon margin min-gain median | mean | by trace\n")
	for k, s := range settings {
		sum, worst, each := 0.0, 0.0, ""
		for i := range users {
			ratio := js[i][k] / least[i]
			sum += ratio
			worst = max(worst, ratio)
			each += fmt.Sprintf(" %.2f", ratio)
		}
		fmt.Printf("%4.0f %5.0f %4.1f %6.3f %5v | %.3f | worst %.2f |%s\n",
			s.half, s.horizon, s.margin, s.minGain, s.median, sum/float64(len(users)), worst, each)
	}
	return nil
}
