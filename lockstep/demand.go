package lockstep

import (
	"math"
	"slices"
	"time"
)

// DemandSettings determines how fast an estimate follows the demand.
type DemandSettings struct {
	// Window is the duration of one observation.
	Window time.Duration
	// Weight is the smoothing factor of the load: the weight of the newest window.
	Weight float64
	// Shift is the distance between the estimate and a window, 0 to 1, above which the demand
	// has shifted and earlier windows are discarded. A lower threshold is used if windows
	// usually differ less, see noise.
	Shift float64
}

const (
	// defaultWindow is the duration that defaultWeight and noiseShift refer to. At 75 streams a
	// second it holds a dozen prompts, whose mix of subjects moves the shares by 0.03 to 0.12; a
	// shift of half of the demand moves them by 0.19 to 0.47.
	defaultWindow = 150 * time.Millisecond
	defaultWeight = 0.2
	// baseShift is the threshold of a shift without noise; noiseShift is what the noise of a
	// default window adds. Shorter windows hold fewer prompts and have more noise.
	baseShift  = 0.11
	noiseShift = 0.06
)

// DemandSettingsFor returns settings for windows of a given duration: the estimate follows as
// fast as with default windows, and the threshold of a shift is above the noise of such
// windows.
func DemandSettingsFor(window time.Duration) DemandSettings {
	ratio := window.Seconds() / defaultWindow.Seconds()
	return DemandSettings{Window: window, Weight: min(defaultWeight*ratio, 1), Shift: baseShift + noiseShift/math.Sqrt(ratio)}
}

// DefaultDemandSettings returns the settings for default windows.
func DefaultDemandSettings() DemandSettings { return DemandSettingsFor(defaultWindow) }

// DemandEstimate estimates the share of each expert in the choices of its set, from the increase
// of the ranks' counters. Ranks may be observed at different times, one at a time or summed up, and
// observations may be missing.
type DemandEstimate struct {
	settings DemandSettings
	shape    Shape
	// window counts the choices of the open window, which began at windowBegan.
	window      [][]float64
	windowBegan time.Time
	// load is the smoothed estimate.
	load [][]float64
	// latest holds the shares in the newest closed window.
	latest [][]float64
	noise  noise
	// windows counts those observed since the last shift.
	windows int
	shifts  int
}

// NewDemandEstimate returns an estimate without observations.
func NewDemandEstimate(settings DemandSettings, s Shape) *DemandEstimate {
	return &DemandEstimate{settings: settings, shape: s, window: zeros(s)}
}

func zeros(s Shape) [][]float64 {
	out := make([][]float64, s.Sets)
	for i := range out {
		out[i] = make([]float64, s.Experts)
	}
	return out
}

// Observe adds choices of one or more ranks, ordered by set and expert. It reports whether a
// window has been closed.
func (d *DemandEstimate) Observe(now time.Time, chosen []uint32) bool {
	if len(chosen) != d.shape.Sets*d.shape.Experts {
		return false
	}
	for set, counts := range d.window {
		for e, n := range chosen[set*d.shape.Experts : (set+1)*d.shape.Experts] {
			counts[e] += float64(n)
		}
	}
	if d.windowBegan.IsZero() {
		d.windowBegan = now
	}
	if now.Sub(d.windowBegan) < d.settings.Window {
		return false
	}
	return d.closeWindow(now)
}

// closeWindow ends the window. If a set has no choices yet, the window isn't used and its
// counts are carried over to the next one.
func (d *DemandEstimate) closeWindow(now time.Time) bool {
	d.windowBegan = now
	shares := normalize(d.window)
	if shares == nil {
		return false
	}
	d.window = zeros(d.shape)
	d.latest = shares
	if d.load == nil {
		d.load, d.windows = CloneShares(shares), 1
		return true
	}
	dist := distance(d.load, shares)
	if dist > d.noise.threshold(d.settings.Shift) {
		if d.windows != 1 {
			// A second shift in a row belongs to the first, whose window still held choices
			// from before.
			d.shifts++
		}
		d.windows = 0
	} else if d.windows >= steadyWindows {
		d.noise.observe(dist)
	}
	d.windows++
	// After a shift the estimate is the mean of the windows, until Weight is larger.
	weight := max(d.settings.Weight, 1/float64(d.windows))
	for set := range d.load {
		for e := range d.load[set] {
			d.load[set][e] += weight * (shares[set][e] - d.load[set][e])
		}
	}
	return true
}

const (
	// steadyWindows is the number of windows after a shift from which the estimate is close to
	// the new demand, so that the distance of a window to it is noise.
	steadyWindows = 5
	// minNoiseWindows is the number of windows that the noise must be based on.
	minNoiseWindows = 5
	// noiseDown and noiseUp are the smoothing factors for a window with less and with more
	// noise than before. While the estimate follows an undetected shift, windows differ more
	// for a while, which must not count as noise.
	noiseDown, noiseUp = 0.3, 0.02
	// A distance above shiftFactor times the noise plus minShift is a shift. A group of 192 ranks
	// reads 70 prompts in a window: its windows are 0.008 to 0.016 apart, and a shift of an eighth of
	// the demand, which doubles the skew, 0.13. Taken for noise, it would be planned for late.
	shiftFactor = 5
	minShift    = 0.02
)

// noise is the usual distance of a window to the estimate while the demand doesn't change.
type noise struct {
	mean    float64
	windows int
}

func (n *noise) observe(dist float64) {
	n.windows++
	weight := noiseUp
	if dist < n.mean || n.windows == 1 {
		weight = noiseDown
	}
	if n.windows == 1 {
		n.mean = dist
	}
	n.mean += weight * (dist - n.mean)
}

// threshold returns the distance above which the demand has shifted, at most limit.
func (n *noise) threshold(limit float64) float64 {
	if n.windows < minNoiseWindows {
		return limit
	}
	return min(limit, shiftFactor*n.mean+minShift)
}

// normalize returns each expert's share of its set, or nil if a set has no choices.
func normalize(window [][]float64) [][]float64 {
	out := make([][]float64, len(window))
	for set, counts := range window {
		total := 0.0
		for _, v := range counts {
			total += v
		}
		if total == 0 {
			return nil
		}
		out[set] = make([]float64, len(counts))
		for e, v := range counts {
			out[set][e] = v / total
		}
	}
	return out
}

// CloneShares returns a deep copy of the shares of experts, set by set.
func CloneShares(shares [][]float64) [][]float64 {
	out := make([][]float64, len(shares))
	for set := range shares {
		out[set] = slices.Clone(shares[set])
	}
	return out
}

// distance is the total variation distance averaged over the sets: the fraction of choices that
// go to other experts.
func distance(a, b [][]float64) float64 {
	sum := 0.0
	for set := range a {
		for e := range a[set] {
			sum += math.Abs(a[set][e] - b[set][e])
		}
	}
	return sum / 2 / float64(len(a))
}

// settledWindows is the number of windows after a shift from which an estimate can be planned
// for. The first window may still hold choices from before the shift.
const settledWindows = 2

// Stable reports whether the estimate can be planned for.
func (d *DemandEstimate) Stable() bool { return d.load != nil && d.windows >= settledWindows }

// Load returns the estimated share of each expert in its set, nil before the first window.
func (d *DemandEstimate) Load() [][]float64 { return d.load }

// LatestShares returns each expert's share in the newest closed window, without smoothing; nil
// before the first window.
func (d *DemandEstimate) LatestShares() [][]float64 { return d.latest }

// Shifts returns the number of detected shifts.
func (d *DemandEstimate) Shifts() int { return d.shifts }

// Windows returns the number of windows since the last shift.
func (d *DemandEstimate) Windows() int { return d.windows }
