package placement

import (
	"math"
	"slices"
)

const (
	// jumpFactor is by how much the squared error of a window must exceed the usual one,
	// in the middle layer, to end a regime.
	jumpFactor = 4
	// clipAt is the number of standard errors at which a single counter is clipped.
	clipAt = 3
	// minNoise is the least relative error that counters are taken to have, so that
	// exact ones don't make each small drift a jump.
	minNoise = 0.02
	// learnWindows is the number of windows that teach the noise before it is used.
	learnWindows = 4
)

// noise is by how much counters of single windows lately erred about the forecast.
type noise struct {
	// squares sums the squared errors of each layer, weights their number; expected the
	// squared forecast.
	squares, expected []float64
	weight            float64
	windows           int
	// high and low say which counters were clipped in the window before.
	high, low []bool
}

// of is the squared error of a window in a layer.
func (n *noise) of(layer int) float64 {
	if n.weight == 0 {
		return 0
	}
	return max(n.squares[layer], minNoise*minNoise*n.expected[layer]) / n.weight
}

func (n *noise) total() float64 {
	sum := 0.0
	for layer := range n.squares {
		sum += n.of(layer)
	}
	return sum
}

func (n *noise) learn(s Shape, load, expected Load, by float64) {
	if n.squares == nil {
		n.squares, n.expected = make([]float64, s.Layers), make([]float64, s.Layers)
	}
	for layer := range s.Layers {
		sum, all := 0.0, 0.0
		for i := layer * s.Experts; i < (layer+1)*s.Experts; i++ {
			d := load[i] - expected[i]
			sum += d * d
			all += expected[i] * expected[i]
		}
		n.squares[layer] = n.squares[layer]*by + sum
		n.expected[layer] = n.expected[layer]*by + all
	}
	n.weight = n.weight*by + 1
	n.windows++
}

// jump says whether a window errs far more than usual in at least half of the layers.
// One wrong counter, or one rank's, can't do that.
func (n *noise) jump(s Shape, raw, expected Load) bool {
	if n.windows < learnWindows {
		return false
	}
	over := make([]float64, s.Layers)
	for layer := range over {
		sum := 0.0
		for i := layer * s.Experts; i < (layer+1)*s.Experts; i++ {
			d := raw[i] - expected[i]
			sum += d * d
		}
		over[layer] = sum / n.of(layer)
	}
	return median(over) > jumpFactor
}

// clip bounds each counter to what noise explains. A counter that exceeds it on the
// same side in the next window, too, is let through: it isn't a single wrong one.
func (n *noise) clip(raw, expected Load) Load {
	if n.windows < learnWindows {
		return raw
	}
	if n.high == nil {
		n.high, n.low = make([]bool, len(raw)), make([]bool, len(raw))
	}
	experts := len(raw) / len(n.squares)
	out := slices.Clone(raw)
	for layer := range n.squares {
		by := 0.0
		if n.expected[layer] > 0 {
			by = clipAt * math.Sqrt(n.of(layer)*n.weight/n.expected[layer])
		}
		for i := layer * experts; i < (layer+1)*experts; i++ {
			high, low := raw[i] > expected[i]*(1+by), raw[i] < expected[i]*(1-by)
			if high && !n.high[i] {
				out[i] = expected[i] * (1 + by)
			}
			if low && !n.low[i] {
				out[i] = expected[i] * (1 - by)
			}
			n.high[i], n.low[i] = high, low
		}
	}
	return out
}
