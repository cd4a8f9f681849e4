package lockstep

import (
	"math"
	"slices"
	"time"
)

// DemandSettings say how fast an estimate follows.
type DemandSettings struct {
	// Window is the time whose choices make one observation.
	Window time.Duration
	// Weight is that of the newest window in the smoothed load.
	Weight float64
	// Shift is the distance between two windows' shares, 0 to 1, above which other
	// experts are in demand and the past counts no more. Where windows differ less from
	// each other than those that it was measured for, less is enough (noise).
	Shift float64
}

const (
	// usualWindow is the window for which the figures below were measured: on played days
	// of 75 streams a second it holds a dozen prompts, whose mix of subjects moves the
	// shares by 0.03 to 0.12; a shift of half of the demand moves them by 0.19 to 0.47.
	usualWindow = 150 * time.Millisecond
	usualWeight = 0.2
	// meanShift is the threshold without any noise, and noiseShift what the noise of a usual
	// window adds: that of a shorter one is greater, as it holds fewer prompts.
	meanShift  = 0.11
	noiseShift = 0.06
)

// DemandSettingsFor suits windows of some length: their weight lets the estimate follow
// as fast in time, and the threshold of a shift is above the noise of their prompts.
func DemandSettingsFor(window time.Duration) DemandSettings {
	part := window.Seconds() / usualWindow.Seconds()
	return DemandSettings{Window: window, Weight: min(usualWeight*part, 1), Shift: meanShift + noiseShift/math.Sqrt(part)}
}

// DefaultDemandSettings are those of usual windows.
func DefaultDemandSettings() DemandSettings { return DemandSettingsFor(usualWindow) }

// Demand estimates how often each expert is chosen, from what the ranks tell. They may be
// read at different times, one by one or summed up, and be missing.
type Demand struct {
	settings DemandSettings
	shape    Shape
	window   [][]float64
	began    time.Time
	load     [][]float64
	// latest are the shares in the newest window alone.
	latest [][]float64
	noise  noise
	// windows counts those observed since the last shift.
	windows int
	shifts  int
}

// NewDemand makes an estimate without observations.
func NewDemand(settings DemandSettings, s Shape) *Demand {
	return &Demand{settings: settings, shape: s, window: zeros(s)}
}

func zeros(s Shape) [][]float64 {
	out := make([][]float64, s.Sets)
	for i := range out {
		out[i] = make([]float64, s.Experts)
	}
	return out
}

// Observe takes what was chosen at some ranks, set by set, expert by expert. It returns
// whether a window has been closed.
func (d *Demand) Observe(now time.Time, chosen []uint32) bool {
	if len(chosen) != d.shape.Sets*d.shape.Experts {
		return false
	}
	for set, counts := range d.window {
		for e, n := range chosen[set*d.shape.Experts : (set+1)*d.shape.Experts] {
			counts[e] += float64(n)
		}
	}
	if d.began.IsZero() {
		d.began = now
	}
	if now.Sub(d.began) < d.settings.Window {
		return false
	}
	return d.close(now)
}

// close ends a window. One without any choice is no observation.
func (d *Demand) close(now time.Time) bool {
	d.began = now
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
	apart := distance(d.load, shares)
	if apart > d.noise.threshold(d.settings.Shift) {
		if d.windows != 1 {
			// One that follows another at once is the rest of it: the first window still held
			// choices from before.
			d.shifts++
		}
		d.windows = 0
	} else if d.windows >= steadyWindows {
		d.noise.observe(apart)
	}
	d.windows++
	// After a shift all windows count alike, until there are enough of them.
	weight := max(d.settings.Weight, 1/float64(d.windows))
	for set := range d.load {
		for e := range d.load[set] {
			d.load[set][e] += weight * (shares[set][e] - d.load[set][e])
		}
	}
	return true
}

const (
	// steadyWindows is how many windows after a shift the estimate has come close to the new
	// demand: what windows differ from it then is their noise.
	steadyWindows = 5
	// noiseWindows is how many windows of noise are enough to go by.
	noiseWindows = 5
	// noiseDown and noiseUp are the weights of a window that differs less or more than usual.
	// An estimate that follows a shift which was not seen differs more, for a dozen windows,
	// and that isn't noise.
	noiseDown, noiseUp = 0.3, 0.02
	// shiftFactor and leastShift say what is more than noise. A group of 192 ranks reads 70
	// prompts in a window: its windows are 0.008 to 0.016 apart, and a shift of an eighth of
	// the demand, which doubles the skew, 0.13. Taken for noise it was planned for 1.5 s late.
	shiftFactor = 5
	leastShift  = 0.02
)

// noise is how far windows of the same demand usually are from the estimate.
type noise struct {
	usual   float64
	windows int
}

func (n *noise) observe(apart float64) {
	n.windows++
	weight := noiseUp
	if apart < n.usual || n.windows == 1 {
		weight = noiseDown
	}
	if n.windows == 1 {
		n.usual = apart
	}
	n.usual += weight * (apart - n.usual)
}

// threshold is the distance above which demand has shifted, where it is most at most.
func (n *noise) threshold(most float64) float64 {
	if n.windows < noiseWindows {
		return most
	}
	return min(most, shiftFactor*n.usual+leastShift)
}

// normalize gives each expert's share of its set, or nil if a set has none.
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

// CloneShares copies shares of experts, set by set.
func CloneShares(shares [][]float64) [][]float64 {
	out := make([][]float64, len(shares))
	for set := range shares {
		out[set] = slices.Clone(shares[set])
	}
	return out
}

// distance is half the sum of differences, averaged over the sets: the part of the
// choices that goes elsewhere.
func distance(a, b [][]float64) float64 {
	sum := 0.0
	for set := range a {
		for e := range a[set] {
			sum += math.Abs(a[set][e] - b[set][e])
		}
	}
	return sum / 2 / float64(len(a))
}

// settledWindows is how many windows after a shift an estimate is worth a plan: the
// first one still holds choices from before it.
const settledWindows = 2

// Settled says whether the estimate is worth a plan.
func (d *Demand) Settled() bool { return d.load != nil && d.windows >= settledWindows }

// Load is the estimated share of each expert in its set; nil before the first window.
func (d *Demand) Load() [][]float64 { return d.load }

// Latest is each expert's share in the newest window alone: what a few passes asked for, which
// differs from the estimate by the few prompts that they read. nil before the first window.
func (d *Demand) Latest() [][]float64 { return d.latest }

// Shifts is how many shifts were seen.
func (d *Demand) Shifts() int { return d.shifts }

// Windows is how many windows were observed since the last shift.
func (d *Demand) Windows() int { return d.windows }
