package placement

import (
	"math"
	"slices"
)

const (
	// regimeErrorRatio is the ratio of a window's squared error to the usual one, in the median
	// layer, above which a new regime starts.
	regimeErrorRatio = 4
	// clipSigmas is the number of standard errors beyond which a single counter is clipped.
	clipSigmas = 3
	// minRelativeError is the least relative error that is assumed of counters, so that with
	// exact counters a small drift doesn't start a new regime.
	minRelativeError = 0.02
	// minNoiseWindows is the number of windows observed before the estimate is used.
	minNoiseWindows = 4
)

// noise estimates how far the counters of a single window are from the forecast.
type noise struct {
	// squaredErrors and squaredForecast are decayed sums over the windows, per layer: of the
	// squared errors, and of the squared forecast. weight is the decayed number of windows.
	squaredErrors, squaredForecast []float64
	weight                         float64
	windows                        int
	// wasHigh and wasLow tell which counters were out of bounds in the window before.
	wasHigh, wasLow []bool
}

// squaredError returns the mean squared error of a window in a layer.
func (n *noise) squaredError(layer int) float64 {
	if n.weight == 0 {
		return 0
	}
	return max(n.squaredErrors[layer], minRelativeError*minRelativeError*n.squaredForecast[layer]) / n.weight
}

// totalSquaredError returns the mean squared error of a window over all layers.
func (n *noise) totalSquaredError() float64 {
	sum := 0.0
	for layer := range n.squaredErrors {
		sum += n.squaredError(layer)
	}
	return sum
}

// observe updates the estimate with a window. Earlier windows are multiplied by decay.
func (n *noise) observe(s Shape, load, expected Load, decay float64) {
	if n.squaredErrors == nil {
		n.squaredErrors, n.squaredForecast = make([]float64, s.Layers), make([]float64, s.Layers)
	}
	for layer := range s.Layers {
		sum, all := 0.0, 0.0
		for i := layer * s.Experts; i < (layer+1)*s.Experts; i++ {
			d := load[i] - expected[i]
			sum += d * d
			all += expected[i] * expected[i]
		}
		n.squaredErrors[layer] = n.squaredErrors[layer]*decay + sum
		n.squaredForecast[layer] = n.squaredForecast[layer]*decay + all
	}
	n.weight = n.weight*decay + 1
	n.windows++
}

// suddenChange reports whether the error of a window is far above the usual one in at least
// half of the layers. A wrong counter of one expert, or those of one rank, can't cause that.
func (n *noise) suddenChange(s Shape, raw, expected Load) bool {
	if n.windows < minNoiseWindows {
		return false
	}
	ratios := make([]float64, s.Layers)
	for layer := range ratios {
		sum := 0.0
		for i := layer * s.Experts; i < (layer+1)*s.Experts; i++ {
			d := raw[i] - expected[i]
			sum += d * d
		}
		ratios[layer] = sum / n.squaredError(layer)
	}
	return median(ratios) > regimeErrorRatio
}

// clip bounds each counter to the range that noise explains. A counter beyond the same bound in
// two consecutive windows is kept the second time, as it is not a single wrong value.
func (n *noise) clip(raw, expected Load) Load {
	if n.windows < minNoiseWindows {
		return raw
	}
	if n.wasHigh == nil {
		n.wasHigh, n.wasLow = make([]bool, len(raw)), make([]bool, len(raw))
	}
	experts := len(raw) / len(n.squaredErrors)
	out := slices.Clone(raw)
	for layer := range n.squaredErrors {
		bound := 0.0
		if n.squaredForecast[layer] > 0 {
			bound = clipSigmas * math.Sqrt(n.squaredError(layer)*n.weight/n.squaredForecast[layer])
		}
		for i := layer * experts; i < (layer+1)*experts; i++ {
			high, low := raw[i] > expected[i]*(1+bound), raw[i] < expected[i]*(1-bound)
			if high && !n.wasHigh[i] {
				out[i] = expected[i] * (1 + bound)
			}
			if low && !n.wasLow[i] {
				out[i] = expected[i] * (1 - bound)
			}
			n.wasHigh[i], n.wasLow[i] = high, low
		}
	}
	return out
}
