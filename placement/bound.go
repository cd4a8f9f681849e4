package placement

import "math"

// boundSteps halve the interval of the bound's search; 40 leave a relative error
// below 1e-11.
const boundSteps = 40

// Bound is a lower bound of a layer's skew under any valid map: no rank can be
// below the mean, and where no rank has more than t tokens, an expert of load L
// needs at least ceil(L/t) copies, on as many ranks, and all copies together must
// fit the slots. The least t that allows it is found by bisection.
func Bound(s Shape, layer int, load Load) float64 {
	return boundOf(s, load[layer*s.Experts:(layer+1)*s.Experts])
}

func boundOf(s Shape, load []float64) float64 {
	total, hottest := 0.0, 0.0
	for _, v := range load {
		total += v
		hottest = max(hottest, v)
	}
	if total == 0 {
		return 1
	}
	mean := total / float64(s.Ranks)
	low, high := mean, max(hottest, mean)
	if fits(s, load, low) {
		return 1
	}
	for range boundSteps {
		mid := (low + high) / 2
		if fits(s, load, mid) {
			high = mid
		} else {
			low = mid
		}
	}
	return low / mean
}

// fits says whether the copies that keep each rank at t or below fit the slots. An
// expert needs one copy even without load.
func fits(s Shape, load []float64, t float64) bool {
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
