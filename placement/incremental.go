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
		Doc: "makes the few moves whose forecast gain exceeds their price",
		New: func() any { return NewIncremental() },
	})
}

// Default settings of the incremental planner.
const (
	defaultHalfLife = 30 * time.Second
	// halfLifeSteps smoothers without a trend run in parallel, each with a half-life
	// halfLifeFactor times longer than the one before.
	halfLifeSteps        = 3
	halfLifeFactor       = 5
	defaultErrorLife     = 15 * time.Minute
	defaultHorizonFactor = 5.0
	defaultMargin        = 1.0
	defaultMinGain       = 0.002
	defaultNoiseGain     = 2.5
	defaultRegimeShare   = 0.25
	defaultLookahead     = 2 * time.Minute
	// maxNoiseGain bounds the least gain that follows from noise. With inaccurate counters a
	// higher one would leave more skew than it saves in moves.
	maxNoiseGain         = 0.01
	defaultMaxStoreBusy  = 60 * time.Second
	defaultMaxCounterAge = 10 * time.Minute
)

// Incremental changes the current map by the few moves whose forecast gain exceeds their price.
// It makes no plan while the weight store is still serving the moves of the last one.
type Incremental struct {
	// HalfLifeSeconds is the shortest half-life of the forecast.
	HalfLifeSeconds float64 `toml:"half_life_seconds"`
	// ErrorLifeSeconds is the half-life of the errors by which the smoothers are compared.
	ErrorLifeSeconds float64 `toml:"error_life_seconds"`
	// HorizonFactor times the half-life of a layer's forecast is the time for which a gain in
	// the layer is expected to last, until RegimeShare applies.
	HorizonFactor float64 `toml:"horizon_factor"`
	// Margin and MinGain are those of Limits.
	Margin  float64 `toml:"margin"`
	MinGain float64 `toml:"min_gain"`
	// MaxStoreBusySeconds bounds the time for which one plan keeps the weight store busy.
	MaxStoreBusySeconds float64 `toml:"pace_seconds"`
	// MaxCounterAgeSeconds is the age of the newest counters above which no plan is made.
	MaxCounterAgeSeconds float64 `toml:"stale_seconds"`
	// Robust is that of Forecast.
	Robust bool `toml:"robust"`
	// TrendSeconds are the half-lives of the smoothers with a trend. AheadSeconds is the time
	// after the newest window that is forecast.
	TrendSeconds []float64 `toml:"trend_seconds"`
	AheadSeconds float64   `toml:"ahead_seconds"`
	// NoiseGain times the skew that one move could save by noise alone is a lower bound of
	// MinGain, itself at most maxNoiseGain.
	NoiseGain float64 `toml:"noise_gain"`
	// RegimeShare is the fraction of the mean duration of regimes for which a gain is expected
	// to last. It replaces HorizonFactor once a regime has ended.
	RegimeShare float64 `toml:"regime_share"`
	// ReduceStragglerLoad gives stragglers less load.
	ReduceStragglerLoad bool `toml:"lighten"`

	shape          Shape
	cost           Cost
	forecast       Forecast
	detector       stragglerDetector
	storeBusyUntil time.Time
}

// NewIncremental returns a planner with the default settings.
func NewIncremental() *Incremental {
	return &Incremental{
		HalfLifeSeconds:      defaultHalfLife.Seconds(),
		ErrorLifeSeconds:     defaultErrorLife.Seconds(),
		HorizonFactor:        defaultHorizonFactor,
		Margin:               defaultMargin,
		MinGain:              defaultMinGain,
		MaxStoreBusySeconds:  defaultMaxStoreBusy.Seconds(),
		MaxCounterAgeSeconds: defaultMaxCounterAge.Seconds(),
		Robust:               true,
		TrendSeconds:         []float64{400, 1200, 3600},
		AheadSeconds:         defaultLookahead.Seconds(),
		NoiseGain:            defaultNoiseGain,
		RegimeShare:          defaultRegimeShare,
		ReduceStragglerLoad:  true,
	}
}

// Reset implements Planner.
func (p *Incremental) Reset(s Shape, c Cost) {
	p.shape, p.cost, p.storeBusyUntil = s, c, time.Time{}
	p.detector = stragglerDetector{}
	p.forecast = p.NewForecast()
	p.forecast.Reset(s)
}

// NewForecast returns a forecast with the planner's settings. Reset must be called before its
// use.
func (p *Incremental) NewForecast() Forecast {
	f := Forecast{Robust: p.Robust, ErrorHalfLife: seconds(p.ErrorLifeSeconds), Lookahead: seconds(p.AheadSeconds)}
	for _, half := range p.TrendSeconds {
		f.TrendHalfLives = append(f.TrendHalfLives, seconds(half))
	}
	half := p.HalfLifeSeconds
	for range halfLifeSteps {
		f.HalfLives = append(f.HalfLives, seconds(half))
		half *= halfLifeFactor
	}
	// The longest comes first, so that it is used as long as the errors don't differ: a new
	// load is expected to last.
	slices.Reverse(f.HalfLives)
	return f
}

// Observe implements Planner.
func (p *Incremental) Observe(at time.Time, load Load) { p.forecast.Observe(at, load) }

// Forecast returns the load for which plans are made, nil without windows.
func (p *Incremental) Forecast() Load { return p.forecast.Load() }

// ObserveTimes implements TimesObserver. The times must be those of the latest observed window,
// and current the map that was in use during it.
func (p *Incremental) ObserveTimes(times []time.Duration, current *Map) {
	byTime, byToken := RankSlowdown(p.shape, current, p.forecast.Load(), times)
	if byTime != nil {
		p.detector.observe(byTime, byToken)
	}
}

// Plan implements Planner.
func (p *Incremental) Plan(now time.Time, current *Map) Decision {
	if reason := p.reasonToWait(now, current); reason != "" {
		return Decision{Reason: "incremental: " + reason + p.detector.summary()}
	}
	d := Improve(p.shape, p.cost, current, p.forecast.Load(), p.Limits())
	d.Reason = "incremental: " + d.Reason + p.detector.summary()
	p.storeBusyUntil = now.Add(time.Duration(len(d.Moves)) * p.cost.LoadTime())
	return d
}

// reasonToWait returns why no plan can be made now, or "".
func (p *Incremental) reasonToWait(now time.Time, current *Map) string {
	latest := p.forecast.Latest()
	if latest.IsZero() {
		return "no counters yet"
	}
	// Moves for an outdated load may have to be undone.
	if age := now.Sub(latest); age > seconds(p.MaxCounterAgeSeconds) {
		return fmt.Sprintf("counters are %v old", age)
	}
	if now.Before(p.storeBusyUntil) {
		return "weight store is still serving the last plan"
	}
	if err := current.Check(p.shape); err != nil {
		return err.Error()
	}
	return ""
}

// Limits returns the limits of the next plan.
func (p *Incremental) Limits() Limits {
	lim := Limits{Margin: p.Margin, MinGain: p.MinGain}
	for layer := range p.shape.Layers {
		horizon := p.HorizonFactor * float64(p.forecast.HalfLife(layer))
		if regime := p.RegimeShare * float64(p.forecast.MeanRegime()); regime > 0 {
			horizon = regime
		}
		lim.Horizons = append(lim.Horizons, time.Duration(horizon))
		lim.MinGains = append(lim.MinGains, max(p.MinGain, p.noiseGain(layer)))
	}
	if p.ReduceStragglerLoad {
		lim.Slowdown = p.detector.stragglers()
	}
	if loadTime := p.cost.LoadTime().Seconds(); loadTime > 0 {
		lim.MaxMoves = max(int(p.MaxStoreBusySeconds/loadTime), 1)
	}
	return lim
}

// noiseGain returns the least gain per move in a layer that follows from the forecast's error.
// An error e of each rank's load raises the busiest of n equally loaded ranks by about e x
// sqrt(2 ln n), and removing that takes about one move per rank.
func (p *Incremental) noiseGain(layer int) float64 {
	ranks := float64(p.shape.Ranks)
	perMove := p.forecast.Error(layer) * math.Sqrt(2*math.Log(ranks)) / ranks
	return min(p.NoiseGain*perMove, maxNoiseGain)
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
