package placement

import (
	"math"
	"slices"
)

const (
	// regimeErrorRatio is the ratio of a window's squared error to the usual one, in the median
	// layer, above which a new regime starts.
	jumpFactor = 4
	// clipSigmas is the number of standard errors beyond which a single counter is clipped.
	clipAt = 3
	// minRelativeError is the least relative error that is assumed of counters, so that with
	// exact counters a small drift doesn't start a new regime.
	minNoise = 0.02
	// minNoiseWindows is the number of windows observed before the estimate is used.
	learnWindows = 4
)

// noise estimates how far the counters of a single window are from the forecast.
type noise struct {
	// squaredErrors and squaredForecast are decayed sums over the windows, per layer: of the squared errors,
	// and of the squared forecast. weight is the decayed number of windows.
	squares, expected []float64
	weight            float64
	windows           int
	// wasHigh and wasLow tell which counters were out of bounds in the window before.
	high, low []bool
}

// squaredError returns the mean squared error of a window in a layer.
func (n *noise) of(layer int) float64 {
	if n.weight == 0 {
		return 0
	}
	return max(n.squares[layer], minNoise*minNoise*n.expected[layer]) / n.weight
}

// totalSquaredError returns the mean squared error of a window over all layers.
func (n *noise) total() float64 {
	sum := 0.0
	for layer := range n.squares {
		sum += n.of(layer)
	}
	return sum
}

// observe updates the estimate with a window. Earlier windows are multiplied by decay.
func (n *noise) learn(s Shape, load, expected Load, decay float64) {
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
		n.squares[layer] = n.squares[layer]*decay + sum
		n.expected[layer] = n.expected[layer]*decay + all
	}
	n.weight = n.weight*decay + 1
	n.windows++
}

// suddenChange reports whether the error of a window is far above the usual one in at least
// half of the layers. A wrong counter of one expert, or those of one rank, can't cause that.
func (n *noise) jump(s Shape, raw, expected Load) bool {
	if n.windows < learnWindows {
		return false
	}
	ratios := make([]float64, s.Layers)
	for layer := range ratios {
		sum := 0.0
		for i := layer * s.Experts; i < (layer+1)*s.Experts; i++ {
			d := raw[i] - expected[i]
			sum += d * d
		}
		ratios[layer] = sum / n.of(layer)
	}
	return median(ratios) > jumpFactor
}

// clip bounds each counter to the range that noise explains. A counter beyond the same bound in
// two consecutive windows is kept the second time, as it is not a single wrong value.
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
		bound := 0.0
		if n.expected[layer] > 0 {
			bound = clipAt * math.Sqrt(n.of(layer)*n.weight/n.expected[layer])
		}
		for i := layer * experts; i < (layer+1)*experts; i++ {
			high, low := raw[i] > expected[i]*(1+bound), raw[i] < expected[i]*(1-bound)
			if high && !n.high[i] {
				out[i] = expected[i] * (1 + bound)
			}
			if low && !n.low[i] {
				out[i] = expected[i] * (1 - bound)
			}
			n.high[i], n.low[i] = high, low
		}
	}
	return out
}
