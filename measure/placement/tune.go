package main

import (
	"fmt"

	"golang.org/x/sync/errgroup"

	"github.com/snipereach/snipereach/placement"
	"github.com/snipereach/snipereach/placement/trace"
)

// setting is a set of parameters of the incremental planner.
type setting struct {
	life, noise, regime float64
	trends              []float64
	robust              bool
}

// defaultSetting returns the planner's defaults.
func defaultSetting() setting {
	p := placement.NewIncremental()
	return setting{p.ErrorLifeSeconds, p.NoiseGain, p.RegimeShare, p.TrendSeconds, p.Robust}
}

// grid returns the settings to compare: the defaults, and variants that each change one
// parameter.
func grid() []setting {
	out := []setting{defaultSetting()}
	for _, change := range []func(*setting){
		func(s *setting) { s.life = 300 },
		func(s *setting) { s.noise = 0 },
		func(s *setting) { s.noise = 1.5 },
		func(s *setting) { s.noise = 4 },
		func(s *setting) { s.regime = 0 },
		func(s *setting) { s.regime = 0.5 },
		func(s *setting) { s.trends = nil },
		func(s *setting) { s.trends = []float64{750} },
		func(s *setting) { s.robust = false },
	} {
		s := defaultSetting()
		change(&s)
		out = append(out, s)
	}
	return out
}

func (s setting) planner() *placement.Incremental {
	p := placement.NewIncremental()
	p.ErrorLifeSeconds, p.NoiseGain, p.RegimeShare = s.life, s.noise, s.regime
	p.TrendSeconds, p.Robust = s.trends, s.robust
	return p
}

// tune runs all settings on the tuning seeds. It prints for each its objective J relative to the
// best setting of the same trace, and the mean and the highest of these ratios.
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
	fmt.Printf("error-life noise-gain regime-share trends robust | mean | J and its ratio by trace\n")
	for k, s := range settings {
		sum, worst, each := 0.0, 0.0, ""
		for i := range users {
			ratio := js[i][k] / least[i]
			sum += ratio
			worst = max(worst, ratio)
			each += fmt.Sprintf(" %.0f/%.2f", js[i][k], ratio)
		}
		fmt.Printf("%5.0f %4.1f %5.2f %v %5v | %.3f | worst %.2f |%s\n",
			s.life, s.noise, s.regime, s.trends, s.robust, sum/float64(len(users)), worst, each)
	}
	return nil
}
