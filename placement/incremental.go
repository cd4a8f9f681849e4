package placement

import (
	"fmt"
	"math"
	"slices"
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
	defaultHalfLife = 30 * time.Second
	// halfLifeSteps half-lives run side by side, each halfLifeFactor times longer.
	halfLifeSteps        = 3
	halfLifeFactor       = 5
	defaultErrorLife     = 15 * time.Minute
	defaultHorizonFactor = 5.0
	defaultMargin        = 1.0
	defaultMinGain       = 0.002
	defaultNoiseGain     = 2.5
	defaultRegimeShare   = 0.25
	defaultAhead         = 2 * time.Minute
	// maxNoiseGain bounds the least gain that follows from noise: with poor counters a
	// higher one leaves more uneven than it saves in moves.
	maxNoiseGain = 0.01
	// defaultPace is the time that the weight store may be kept busy by one plan.
	defaultPace = 60 * time.Second
	// defaultStale is the age of the counters above which nothing is moved.
	defaultStale = 10 * time.Minute
)

// Incremental changes the map in force by the few moves that the forecast says
// pay for themselves. It starts no plan while the store still gives out the weights
// of the last one.
type Incremental struct {
	// HalfLifeSeconds is the shortest half-life of the forecast.
	HalfLifeSeconds float64 `toml:"half_life_seconds"`
	// ErrorLifeSeconds is the age at which an error of a forecast counts half.
	ErrorLifeSeconds float64 `toml:"error_life_seconds"`
	// HorizonFactor times a layer's half-life is for how long a gain in it is expected
	// to last.
	HorizonFactor float64 `toml:"horizon_factor"`
	Margin        float64 `toml:"margin"`
	MinGain       float64 `toml:"min_gain"`
	PaceSeconds   float64 `toml:"pace_seconds"`
	StaleSeconds  float64 `toml:"stale_seconds"`
	// Robust clips single wrong counters and tells sudden changes from them.
	Robust bool `toml:"robust"`
	// TrendSeconds are the half-lives of the forecasts with a trend, AheadSeconds the
	// time after the newest window for which it is followed.
	TrendSeconds []float64 `toml:"trend_seconds"`
	AheadSeconds float64   `toml:"ahead_seconds"`
	// NoiseGain times what one move can gain on noise alone is the least skew that it
	// must save; the larger of it and MinGain counts.
	NoiseGain float64 `toml:"noise_gain"`
	// RegimeShare is the share of a regime's usual length for which a gain is expected
	// to last.
	RegimeShare float64 `toml:"regime_share"`
	// Lighten gives a rank that is slow for other reasons than its experts less load.
	Lighten bool `toml:"lighten"`

	shape    Shape
	cost     Cost
	forecast Forecast
	watch    stragglerWatch
	busy     time.Time
}

// NewIncremental makes a planner with the default settings.
func NewIncremental() *Incremental {
	return &Incremental{
		HalfLifeSeconds:  defaultHalfLife.Seconds(),
		ErrorLifeSeconds: defaultErrorLife.Seconds(),
		HorizonFactor:    defaultHorizonFactor,
		Margin:           defaultMargin,
		MinGain:          defaultMinGain,
		PaceSeconds:      defaultPace.Seconds(),
		StaleSeconds:     defaultStale.Seconds(),
		Robust:           true,
		TrendSeconds:     []float64{400, 1200, 3600},
		AheadSeconds:     defaultAhead.Seconds(),
		NoiseGain:        defaultNoiseGain,
		RegimeShare:      defaultRegimeShare,
		Lighten:          true,
	}
}

// Reset implements Planner.
func (p *Incremental) Reset(s Shape, c Cost) {
	p.shape, p.cost, p.busy = s, c, time.Time{}
	p.watch = stragglerWatch{}
	p.forecast = p.NewForecast()
	p.forecast.Reset(s)
}

// NewForecast makes a forecast with the planner's settings.
func (p *Incremental) NewForecast() Forecast {
	f := Forecast{Robust: p.Robust, ErrorHalfLife: seconds(p.ErrorLifeSeconds), Ahead: seconds(p.AheadSeconds)}
	for _, half := range p.TrendSeconds {
		f.Trends = append(f.Trends, seconds(half))
	}
	half := p.HalfLifeSeconds
	for range halfLifeSteps {
		f.HalfLives = append(f.HalfLives, seconds(half))
		half *= halfLifeFactor
	}
	// Until they differ the longest counts: a load that has just been met for the first
	// time is taken to last.
	slices.Reverse(f.HalfLives)
	return f
}

// Observe implements Planner.
func (p *Incremental) Observe(at time.Time, load Load) { p.forecast.Observe(at, load) }

// Forecast is the load that plans are made for; nil without windows.
func (p *Incremental) Forecast() Load { return p.forecast.Load() }

// ObserveTimes implements TimesObserver. The times are those of the window observed
// last, under the map that was in force in it.
func (p *Incremental) ObserveTimes(times []time.Duration, current *Map) {
	byTime, byToken := Slowness(p.shape, current, p.forecast.Load(), times)
	if byTime != nil {
		p.watch.observe(byTime, byToken)
	}
}

// Plan implements Planner.
func (p *Incremental) Plan(now time.Time, current *Map) Decision {
	if why := p.hold(now, current); why != "" {
		return Decision{Why: "incremental: " + why + p.watch.report()}
	}
	d := Improve(p.shape, p.cost, current, p.forecast.Load(), p.Limits())
	d.Why = "incremental: " + d.Why + p.watch.report()
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

// Limits are those of the next plan.
func (p *Incremental) Limits() Limits {
	lim := Limits{Margin: p.Margin, MinGain: p.MinGain}
	for layer := range p.shape.Layers {
		horizon := p.HorizonFactor * float64(p.forecast.HalfLife(layer))
		if regime := p.RegimeShare * float64(p.forecast.Lasting()); regime > 0 {
			horizon = regime
		}
		lim.Horizons = append(lim.Horizons, time.Duration(horizon))
		lim.MinGains = append(lim.MinGains, max(p.MinGain, p.noiseGain(layer)))
	}
	if p.Lighten {
		lim.Slow = p.watch.lasting()
	}
	if each := p.cost.LoadTime().Seconds(); each > 0 {
		lim.MaxMoves = max(int(p.PaceSeconds/each), 1)
	}
	return lim
}

// noiseGain is the least gain by the forecast's error. An error of each rank's load by e
// lifts the busiest of n even ranks by about e x sqrt(2 ln n), and to even that out takes
// about a move for each rank.
func (p *Incremental) noiseGain(layer int) float64 {
	ranks := float64(p.shape.Ranks)
	each := p.forecast.Error(layer) * math.Sqrt(2*math.Log(ranks)) / ranks
	return min(p.NoiseGain*each, maxNoiseGain)
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
