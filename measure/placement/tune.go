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
	robust                               bool
}

// grid lists the settings that are tried.
func grid() []setting {
	var out []setting
	for _, half := range []float64{30, 60} {
		for _, life := range []float64{300, 900} {
			for _, factor := range []float64{3, 5} {
				out = append(out, setting{half: half, life: life, horizon: factor, margin: 1, minGain: 0.002, robust: true})
			}
		}
	}
	return out
}

func (s setting) planner() *placement.Incremental {
	p := placement.NewIncremental()
	p.HalfLifeSeconds, p.ErrorLifeSeconds, p.HorizonFactor = s.half, s.life, s.horizon
	p.Margin, p.MinGain, p.Robust = s.margin, s.minGain, s.robust
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
	fmt.Printf("half-life error-life horizon-factor margin min-gain robust | mean | J and its ratio by trace\n")
	for k, s := range settings {
		sum, worst, each := 0.0, 0.0, ""
		for i := range users {
			ratio := js[i][k] / least[i]
			sum += ratio
			worst = max(worst, ratio)
			each += fmt.Sprintf(" %.0f/%.2f", js[i][k], ratio)
		}
		fmt.Printf("%4.0f %5.0f %5.0f %4.1f %6.3f %5v | %.3f | worst %.2f |%s\n",
			s.half, s.life, s.horizon, s.margin, s.minGain, s.robust, sum/float64(len(users)), worst, each)
	}
	return nil
}
