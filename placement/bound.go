package placement

import "math"

// boundSteps is the number of bisection steps of SkewBound: 40 leave a relative error below 1e-11.
const boundSteps = 40

// SkewBound returns a lower bound of a layer's skew under any valid map. No rank can be below the
// mean. If no rank has more than t tokens, an expert with load L needs at least ceil(L/t)
// replicas on as many ranks, and all replicas must fit into the slots. SkewBound finds the
// smallest such t by bisection.
func SkewBound(s Shape, layer int, load Load) float64 {
	return layerBound(s, load[layer*s.Experts:(layer+1)*s.Experts])
}

func layerBound(s Shape, load []float64) float64 {
	total, highest := 0.0, 0.0
	for _, v := range load {
		total += v
		highest = max(highest, v)
	}
	if total == 0 {
		return 1
	}
	mean := total / float64(s.Ranks)
	low, high := mean, max(highest, mean)
	if fitsSlots(s, load, low) {
		return 1
	}
	for range boundSteps {
		mid := (low + high) / 2
		if fitsSlots(s, load, mid) {
			high = mid
		} else {
			low = mid
		}
	}
	return low / mean
}

// fitsSlots reports whether the replicas that keep the load of every rank at t or below fit
// into the slots. An expert without load still needs one replica.
func fitsSlots(s Shape, load []float64, t float64) bool {
	slots := 0
	for _, v := range load {
		n := max(int(math.Ceil(v/t-1e-12)), 1)
		if n > s.Ranks {
			return false
		}
		slots += n
	}
	return slots <= s.Ranks*s.Slots
}
