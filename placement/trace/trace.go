// Package trace generates seeded traces of how many tokens each expert gets. They
// follow the users' words about their days, not any planner's settings: this
// package imports nothing of a planner but the type of a load.
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
	// Auction drifts smoothly and far, and every day alike: lot descriptions in the
	// morning rush, settlement queries after the clock, quality notes in between.
	Auction Kind = "auction"
	// Lift has cold snaps: sharp, frequent, with a few hot experts, of few kinds.
	Lift Kind = "lift"
	// Stationary doesn't drift.
	Stationary Kind = "stationary"
	// Adversarial makes other experts hot at random times, never the same again, so
	// that a move has often just been paid when it turns useless.
	Adversarial Kind = "adversarial"
	// Noisy is the auction seen through counters that are wrong by a third, at times
	// ten times too high or zero, and often missing.
	Noisy Kind = "noisy"
)

// Kinds lists all kinds.
var Kinds = []Kind{Auction, Lift, Stationary, Adversarial, Noisy}

const day = 24 * time.Hour

// Params describes a trace.
type Params struct {
	Kind            Kind
	Experts, Layers int
	// Window is the time that one load stands for, Windows their number.
	Window  time.Duration
	Windows int
	// Start is the time of day at which the trace begins.
	Start time.Duration
	Seed  uint64
}

// Trace is a sequence of loads. It can be read in any order and gives the same
// values each time.
type Trace struct {
	Params
	topics []topic
	snaps  []snap
	jitter []time.Duration
}

// topic is a kind of request with its own popularity of experts: Layers x Experts,
// mean 1.
type topic struct {
	weight   func(t *Trace, at time.Duration) float64
	popular  []float64
	wander   []float64 // phase of each expert's own slow drift
	strength float64
}

// snap is a span of time with its own hot experts.
type snap struct {
	from, to time.Duration
	rise     time.Duration
	strength float64
	hot      []float64
}

// New makes a trace.
func New(p Params) *Trace {
	t := &Trace{Params: p}
	rnd := rand.New(rand.NewPCG(p.Seed, kindSalt(p.Kind)))
	days := int((t.Start+t.Length())/day) + 2
	for range days {
		t.jitter = append(t.jitter, time.Duration(rnd.NormFloat64()*float64(10*time.Minute)))
	}
	switch p.Kind {
	case Auction, Noisy:
		t.auction(rnd)
	case Lift:
		t.lift(rnd)
	case Adversarial:
		t.adversarial(rnd)
	default:
		t.topics = []topic{t.topic(rnd, 0.8, 0, always(1))}
	}
	return t
}

func kindSalt(k Kind) uint64 {
	salt := uint64(14695981039346656037)
	for _, b := range []byte(k) {
		salt = (salt ^ uint64(b)) * 1099511628211
	}
	return salt
}

// Length is the time that the trace covers.
func (t *Trace) Length() time.Duration { return time.Duration(t.Windows) * t.Window }

func always(v float64) func(*Trace, time.Duration) float64 {
	return func(*Trace, time.Duration) float64 { return v }
}

// topic draws lognormal popularities.
func (t *Trace) topic(rnd *rand.Rand, sigma, wander float64, weight func(*Trace, time.Duration) float64) topic {
	n := t.Layers * t.Experts
	tp := topic{weight: weight, strength: wander, popular: make([]float64, n), wander: make([]float64, n)}
	for i := range n {
		tp.popular[i] = math.Exp(sigma*rnd.NormFloat64() - sigma*sigma/2)
		tp.wander[i] = rnd.Float64()
	}
	return tp
}

// hump is a smooth rise and fall about an hour of the day.
func hump(hour, width, height float64) func(*Trace, time.Duration) float64 {
	return func(t *Trace, at time.Duration) float64 {
		at += t.jitter[int(at/day)]
		h := math.Mod(at.Hours()+24, 24)
		d := math.Abs(h - hour)
		d = min(d, 24-d)
		return height * math.Exp(-d*d/(2*width*width))
	}
}

func (t *Trace) auction(rnd *rand.Rand) {
	t.topics = []topic{
		t.topic(rnd, 0.7, 0.15, always(0.25)),         // quality notes
		t.topic(rnd, 0.9, 0.15, hump(6.5, 1.6, 1.5)),  // lot descriptions
		t.topic(rnd, 0.9, 0.15, hump(12.5, 2.2, 1.2)), // settlement queries
		t.topic(rnd, 0.7, 0.15, hump(19.0, 2.5, 0.3)), // evening summaries
	}
}

// lift has snaps of three recurring kinds (hydraulics, battery, hoist), of which
// each makes the same few experts hot, more or less.
func (t *Trace) lift(rnd *rand.Rand) {
	t.topics = []topic{t.topic(rnd, 0.6, 0.1, always(1))}
	var kinds [][]float64
	for range 3 {
		kinds = append(kinds, t.hot(rnd, 5, 4, 9))
	}
	at := time.Duration(rnd.ExpFloat64() * float64(40*time.Minute))
	for at < t.Length() {
		length := 10*time.Minute + time.Duration(rnd.ExpFloat64()*float64(25*time.Minute))
		t.snaps = append(t.snaps, snap{
			from: at, to: at + length, rise: 2 * time.Minute,
			strength: 0.6 + 0.6*rnd.Float64(), hot: kinds[rnd.IntN(len(kinds))],
		})
		at += length + 5*time.Minute + time.Duration(rnd.ExpFloat64()*float64(45*time.Minute))
	}
}

func (t *Trace) adversarial(rnd *rand.Rand) {
	t.topics = []topic{t.topic(rnd, 0.5, 0, always(1))}
	for at := time.Duration(0); at < t.Length(); {
		length := 3*time.Minute + time.Duration(rnd.Float64()*float64(30*time.Minute))
		t.snaps = append(t.snaps, snap{
			from: at, to: at + length, rise: time.Second, strength: 1, hot: t.hot(rnd, 4, 5, 12),
		})
		at += length
	}
}

// hot draws a few hot experts per layer: by how much each exceeds its usual load.
func (t *Trace) hot(rnd *rand.Rand, count int, low, high float64) []float64 {
	count = max(count*t.Experts/64, 1)
	out := make([]float64, t.Layers*t.Experts)
	for layer := range t.Layers {
		for _, e := range rnd.Perm(t.Experts)[:count] {
			out[layer*t.Experts+e] = low + (high-low)*rnd.Float64()
		}
	}
	return out
}

// Load is the true load of a window, in tokens; a layer's mean expert has 1000.
func (t *Trace) Load(window int) placement.Load {
	at := time.Duration(window) * t.Window
	out := make(placement.Load, t.Layers*t.Experts)
	for _, tp := range t.topics {
		w := tp.weight(t, t.Start+at)
		cycles := (t.Start + at).Hours() / 5
		for i, v := range tp.popular {
			if tp.strength > 0 {
				v *= 1 + tp.strength*math.Sin(2*math.Pi*(cycles+tp.wander[i]))
			}
			out[i] += w * v
		}
	}
	for _, sn := range t.snaps {
		if w := sn.at(at); w > 0 {
			for i, h := range sn.hot {
				out[i] *= 1 + w*h
			}
		}
	}
	t.scale(out)
	return out
}

// at is the strength of a snap: it rises at once and ends as sharply.
func (sn *snap) at(at time.Duration) float64 {
	if at < sn.from || at >= sn.to {
		return 0
	}
	return sn.strength * min(float64(at-sn.from+time.Second)/float64(sn.rise), 1)
}

func (t *Trace) scale(load placement.Load) {
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
