package lockstep

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// drawChoices returns about n random choices per set, distributed like a load.
func drawChoices(rnd *rand.Rand, load [][]float64, n float64) []uint32 {
	var chosen []uint32
	for _, shares := range normalize(load) {
		for _, share := range shares {
			mean := n * share
			chosen = append(chosen, uint32(max(mean+math.Sqrt(mean)*rnd.NormFloat64(), 0)))
		}
	}
	return chosen
}

// In a large group the windows of a constant demand hardly differ. A shift of a small part of
// the demand must then be detected in the first window after it, and constant demand never as a
// shift.
func TestSmallShiftIsDetectedAtLowNoise(t *testing.T) {
	shape := Shape{Ranks: 192, Sets: 2, Experts: 384, Places: 3, Spare: 2}
	settings := DefaultDemandSettings()
	d := NewDemandEstimate(settings, shape)
	rnd := rand.New(rand.NewPCG(1, 2))
	before := zipf(shape, 0.8, 0)
	after := zipf(shape, 0.8, 0)
	other := zipf(shape, 0.8, 100)
	for set := range after {
		for e := range after[set] {
			after[set][e] = 0.8*after[set][e] + 0.2*other[set][e]
		}
	}
	dist := distance(normalize(before), normalize(after))
	assert.Assert(t, dist > 0.08 && dist < 0.15, "%f", dist)
	now := time.Unix(100, 0)
	window := func(load [][]float64) {
		now = now.Add(settings.Window)
		d.Observe(now, drawChoices(rnd, load, 600_000))
	}
	for range 200 {
		window(before)
	}
	assert.Equal(t, d.Shifts(), 0)
	window(after)
	assert.Equal(t, d.Shifts(), 1)
	for range 3 {
		window(after)
	}
	assert.Assert(t, d.Stable())
	for range 200 {
		window(after)
	}
	assert.Equal(t, d.Shifts(), 1)
}

// Windows of small groups differ much: the threshold must not fall below the configured one.
func TestThresholdIsUnchangedAtHighNoise(t *testing.T) {
	var n noise
	rnd := rand.New(rand.NewPCG(3, 4))
	limit := DefaultDemandSettings().Shift
	for range 1000 {
		n.observe(0.03 + 0.09*rnd.Float64())
	}
	assert.Equal(t, n.threshold(limit), limit)
}
