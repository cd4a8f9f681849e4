// Package trace generates reproducible synthetic traces of the tokens that each expert gets.
// They model workloads as described by users, independent of any planner: of package placement
// only the type Load is used.
package trace

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/snipereach/snipereach/placement"
)

// Kind is a family of traces.
type Kind string

// Kinds of traces.
const (
	// Diurnal is a diurnal load: it drifts smoothly and far over the day, and the days are
	// alike.
	Diurnal Kind = "auction"
	// Bursty is a bursty load: frequent, sudden bursts on one of a few recurring sets of hot
	// experts.
	Bursty Kind = "lift"
	// Stationary doesn't change.
	Stationary Kind = "stationary"
	// Adversarial changes its hot experts at random times and never repeats a set, so that
	// moves are often outdated as soon as they are made.
	Adversarial Kind = "adversarial"
	// Noisy is Auction with inaccurate counters: with a relative error of a third, sometimes
	// zero or ten times too high, and often missing.
	Noisy Kind = "noisy"
)

// Kinds lists all kinds.
var Kinds = []Kind{Diurnal, Bursty, Stationary, Adversarial, Noisy}

const day = 24 * time.Hour

// Params describes a trace.
type Params struct {
	Kind            Kind
	Experts, Layers int
	// Window is the duration of a window, Windows the number of windows.
	Window  time.Duration
	Windows int
	// Start is the time of day at which the trace begins.
	Start time.Duration
	Seed  uint64
}

// Trace is a sequence of loads, one per window. Windows can be read in any order and always
// give the same values.
type Trace struct {
	Params
	topics []topic
	bursts []burst
	// jitter shifts the daily peaks, by day.
	jitter []time.Duration
}

// topic is a kind of request with its own popularity of experts: Layers x Experts values with
// mean 1.
type topic struct {
	weight         func(t *Trace, at time.Duration) float64
	popular        []float64
	driftPhase     []float64 // phase of each expert's slow drift, 0 to 1
	driftAmplitude float64   // relative amplitude of the drift
}

// burst is a period with its own hot experts.
type burst struct {
	from, to time.Duration
	rise     time.Duration
	strength float64
	hot      []float64
}

// New returns the trace that the parameters describe.
func New(p Params) *Trace {
	t := &Trace{Params: p}
	rnd := rand.New(rand.NewPCG(p.Seed, kindHash(p.Kind)))
	days := int((t.Start+t.Length())/day) + 2
	for range days {
		t.jitter = append(t.jitter, time.Duration(rnd.NormFloat64()*float64(10*time.Minute)))
	}
	switch p.Kind {
	case Diurnal, Noisy:
		t.initDiurnal(rnd)
	case Bursty:
		t.initBursty(rnd)
	case Adversarial:
		t.initAdversarial(rnd)
	default:
		t.topics = []topic{t.newTopic(rnd, 0.8, 0, constant(1))}
	}
	return t
}

// kindHash returns the FNV-1a hash of a kind, so that the kinds differ for the same seed.
func kindHash(k Kind) uint64 {
	salt := uint64(14695981039346656037)
	for _, b := range []byte(k) {
		salt = (salt ^ uint64(b)) * 1099511628211
	}
	return salt
}

// Length returns the duration of the trace.
func (t *Trace) Length() time.Duration { return time.Duration(t.Windows) * t.Window }

func constant(v float64) func(*Trace, time.Duration) float64 {
	return func(*Trace, time.Duration) float64 { return v }
}

// newTopic draws lognormal popularities with standard deviation sigma of the logarithm. drift
// is the relative amplitude of the slow drift.
func (t *Trace) newTopic(rnd *rand.Rand, sigma, drift float64, weight func(*Trace, time.Duration) float64) topic {
	n := t.Layers * t.Experts
	tp := topic{weight: weight, driftAmplitude: drift, popular: make([]float64, n), driftPhase: make([]float64, n)}
	for i := range n {
		tp.popular[i] = math.Exp(sigma*rnd.NormFloat64() - sigma*sigma/2)
		tp.driftPhase[i] = rnd.Float64()
	}
	return tp
}

// dailyPeak is a smooth rise and fall around an hour of the day, width being the standard
// deviation in hours.
func dailyPeak(hour, width, height float64) func(*Trace, time.Duration) float64 {
	return func(t *Trace, at time.Duration) float64 {
		at += t.jitter[int(at/day)]
		h := math.Mod(at.Hours()+24, 24)
		d := math.Abs(h - hour)
		d = min(d, 24-d)
		return height * math.Exp(-d*d/(2*width*width))
	}
}

func (t *Trace) initDiurnal(rnd *rand.Rand) {
	t.topics = []topic{
		t.newTopic(rnd, 0.7, 0.15, constant(0.25)),            // all day
		t.newTopic(rnd, 0.9, 0.15, dailyPeak(6.5, 1.6, 1.5)),  // morning
		t.newTopic(rnd, 0.9, 0.15, dailyPeak(12.5, 2.2, 1.2)), // midday
		t.newTopic(rnd, 0.7, 0.15, dailyPeak(19.0, 2.5, 0.3)), // evening
	}
}

// initBursty draws bursts of three recurring sets of hot experts, at varying strength.
func (t *Trace) initBursty(rnd *rand.Rand) {
	t.topics = []topic{t.newTopic(rnd, 0.6, 0.1, constant(1))}
	var hotSets [][]float64
	for range 3 {
		hotSets = append(hotSets, t.hotExperts(rnd, 5, 4, 9))
	}
	at := time.Duration(rnd.ExpFloat64() * float64(40*time.Minute))
	for at < t.Length() {
		length := 10*time.Minute + time.Duration(rnd.ExpFloat64()*float64(25*time.Minute))
		t.bursts = append(t.bursts, burst{
			from: at, to: at + length, rise: 2 * time.Minute,
			strength: 0.6 + 0.6*rnd.Float64(), hot: hotSets[rnd.IntN(len(hotSets))],
		})
		at += length + 5*time.Minute + time.Duration(rnd.ExpFloat64()*float64(45*time.Minute))
	}
}

func (t *Trace) initAdversarial(rnd *rand.Rand) {
	t.topics = []topic{t.newTopic(rnd, 0.5, 0, constant(1))}
	for at := time.Duration(0); at < t.Length(); {
		length := 3*time.Minute + time.Duration(rnd.Float64()*float64(30*time.Minute))
		t.bursts = append(t.bursts, burst{
			from: at, to: at + length, rise: time.Second, strength: 1, hot: t.hotExperts(rnd, 4, 5, 12),
		})
		at += length
	}
}

// hotExperts draws count hot experts per layer, with count scaled from 64 experts to the
// trace's number of experts. The values are the increase relative to the expert's usual load, 0
// for all other experts.
func (t *Trace) hotExperts(rnd *rand.Rand, count int, low, high float64) []float64 {
	count = max(count*t.Experts/64, 1)
	out := make([]float64, t.Layers*t.Experts)
	for layer := range t.Layers {
		for _, e := range rnd.Perm(t.Experts)[:count] {
			out[layer*t.Experts+e] = low + (high-low)*rnd.Float64()
		}
	}
	return out
}

// Load returns the true load of a window in tokens. The mean expert of each layer has 1000.
func (t *Trace) Load(window int) placement.Load {
	at := time.Duration(window) * t.Window
	out := make(placement.Load, t.Layers*t.Experts)
	for _, tp := range t.topics {
		w := tp.weight(t, t.Start+at)
		cycles := (t.Start + at).Hours() / 5
		for i, v := range tp.popular {
			if tp.driftAmplitude > 0 {
				v *= 1 + tp.driftAmplitude*math.Sin(2*math.Pi*(cycles+tp.driftPhase[i]))
			}
			out[i] += w * v
		}
	}
	for _, b := range t.bursts {
		if w := b.strengthAt(at); w > 0 {
			for i, h := range b.hot {
				out[i] *= 1 + w*h
			}
		}
	}
	t.normalize(out)
	return out
}

// strengthAt returns the strength of a burst at a time. It rises linearly over rise and ends
// abruptly.
func (b *burst) strengthAt(at time.Duration) float64 {
	if at < b.from || at >= b.to {
		return 0
	}
	return b.strength * min(float64(at-b.from+time.Second)/float64(b.rise), 1)
}

func (t *Trace) normalize(load placement.Load) {
	for layer := range t.Layers {
		row := load[layer*t.Experts : (layer+1)*t.Experts]
		total := 0.0
		for _, v := range row {
			total += v
		}
		for i := range row {
			row[i] *= 1000 * float64(t.Experts) / total
		}
	}
}
