package placement

import (
	"fmt"
	"time"

	"github.com/snipereach/snipereach/kernel"
)

func init() {
	kernel.Register(kernel.Module{
		ID:  "placement.incremental",
		Doc: "makes the few moves whose forecast gain pays for them",
		New: func() any { return NewIncremental() },
	})
}

// Settings of the incremental planner, chosen by measurement on the tuning seeds
// (docs/design/placement.md).
const (
	defaultHalfLife = 60 * time.Second
	defaultHorizon  = 15 * time.Minute
	defaultMargin   = 1.5
	defaultMinGain  = 0.004
	// defaultPace is the time that the weight store may be kept busy by one plan.
	defaultPace = 60 * time.Second
	// defaultStale is the age of the counters above which nothing is moved.
	defaultStale = 10 * time.Minute
)

// Incremental changes the map in force by the few moves that the forecast says
// pay for themselves. It starts no plan while the store still gives out the weights
// of the last one.
type Incremental struct {
	HalfLifeSeconds float64 `toml:"half_life_seconds"`
	HorizonSeconds  float64 `toml:"horizon_seconds"`
	Margin          float64 `toml:"margin"`
	MinGain         float64 `toml:"min_gain"`
	PaceSeconds     float64 `toml:"pace_seconds"`
	StaleSeconds    float64 `toml:"stale_seconds"`
	Median          bool    `toml:"median"`

	shape    Shape
	cost     Cost
	forecast Forecast
	busy     time.Time
}

// NewIncremental makes a planner with the default settings.
func NewIncremental() *Incremental {
	return &Incremental{
		HalfLifeSeconds: defaultHalfLife.Seconds(),
		HorizonSeconds:  defaultHorizon.Seconds(),
		Margin:          defaultMargin,
		MinGain:         defaultMinGain,
		PaceSeconds:     defaultPace.Seconds(),
		StaleSeconds:    defaultStale.Seconds(),
		Median:          true,
	}
}

// Reset implements Planner.
func (p *Incremental) Reset(s Shape, c Cost) {
	p.shape, p.cost, p.busy = s, c, time.Time{}
	p.forecast = Forecast{HalfLife: seconds(p.HalfLifeSeconds), Median: p.Median}
	p.forecast.Reset(s)
}

// Observe implements Planner.
func (p *Incremental) Observe(at time.Time, load Load) { p.forecast.Observe(at, load) }

// Plan implements Planner.
func (p *Incremental) Plan(now time.Time, current *Map) Decision {
	if why := p.hold(now, current); why != "" {
		return Decision{Why: "incremental: " + why}
	}
	d := Improve(p.shape, p.cost, current, p.forecast.Load(), p.limits())
	d.Why = "incremental: " + d.Why
	p.busy = now.Add(time.Duration(len(d.Moves)) * p.cost.LoadTime())
	return d
}

// hold says why nothing may be moved now.
func (p *Incremental) hold(now time.Time, current *Map) string {
	latest := p.forecast.Latest()
	if latest.IsZero() {
		return "no counters yet"
	}
	// Old counters say little of the load now: moves made by them would be paid for
	// and then undone. The map in force stays until counters come again.
	if age := now.Sub(latest); age > seconds(p.StaleSeconds) {
		return fmt.Sprintf("counters are %v old", age)
	}
	if now.Before(p.busy) {
		return "the store still gives out the last plan's weights"
	}
	if err := current.Check(p.shape); err != nil {
		return err.Error()
	}
	return ""
}

func (p *Incremental) limits() Limits {
	lim := Limits{Horizon: seconds(p.HorizonSeconds), Margin: p.Margin, MinGain: p.MinGain}
	if each := p.cost.LoadTime().Seconds(); each > 0 {
		lim.MaxMoves = max(int(p.PaceSeconds/each), 1)
	}
	return lim
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
