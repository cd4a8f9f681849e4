package lockstep

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// drawn is what about n choices a set, drawn by a load, add to each expert.
func drawn(rnd *rand.Rand, load [][]float64, n float64) []uint32 {
	var chosen []uint32
	for _, shares := range normalize(load) {
		for _, share := range shares {
			mean := n * share
			chosen = append(chosen, uint32(max(mean+math.Sqrt(mean)*rnd.NormFloat64(), 0)))
		}
	}
	return chosen
}

// The load: a group of 192 ranks reads so many prompts in a window that windows of the same
// demand hardly differ, and then an eighth of the demand goes to other experts. That is seen in
// the first whole window after it, where a fixed threshold that suits small groups sees nothing;
// and demand that stays the same is never taken for another.
func TestSmallShiftIsSeenWhereWindowsHardlyDiffer(t *testing.T) {
	shape := Shape{Ranks: 192, Sets: 2, Experts: 384, Places: 3, Spare: 2}
	settings := DefaultDemandSettings()
	d := NewDemand(settings, shape)
	rnd := rand.New(rand.NewPCG(1, 2))
	before := zipf(shape, 0.8, 0)
	after := zipf(shape, 0.8, 0)
	other := zipf(shape, 0.8, 100)
	for set := range after {
		for e := range after[set] {
			after[set][e] = 0.8*after[set][e] + 0.2*other[set][e]
		}
	}
	apart := distance(normalize(before), normalize(after))
	assert.Assert(t, apart > 0.08 && apart < 0.15, "%f", apart)
	now := time.Unix(100, 0)
	window := func(load [][]float64) {
		now = now.Add(settings.Window)
		d.Observe(now, drawn(rnd, load, 600_000))
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
	assert.Assert(t, d.Settled())
	for range 200 {
		window(after)
	}
	assert.Equal(t, d.Shifts(), 1)
}

// Windows of a small group hold a dozen prompts and differ by a tenth: the threshold stays what
// it was measured to be, however long nothing shifts.
func TestNoisyWindowsKeepTheThreshold(t *testing.T) {
	var n noise
	rnd := rand.New(rand.NewPCG(3, 4))
	most := DefaultDemandSettings().Shift
	for range 1000 {
		n.observe(0.03 + 0.09*rnd.Float64())
	}
	assert.Equal(t, n.threshold(most), most)
}
