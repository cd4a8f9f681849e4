package trace

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/placement"
)

func small(k Kind, seed uint64) *Trace {
	return New(Params{Kind: k, Experts: 16, Layers: 2, Window: time.Minute, Windows: 600, Seed: seed})
}

// Figures on seeds by which settings were chosen would flatter them.
func TestTuningAndHeldOutSeedsAreDisjoint(t *testing.T) {
	tuning := map[uint64]bool{}
	for _, k := range Kinds {
		for _, seed := range TuningSeeds(k) {
			tuning[seed] = true
		}
	}
	assert.Equal(t, len(tuning), 3*len(Kinds))
	for _, k := range Kinds {
		for _, seed := range HeldOutSeeds(k) {
			assert.Assert(t, !tuning[seed], "%s: seed %d is in both sets", k, seed)
		}
	}
}

func TestTracesRepeatAndDifferBySeed(t *testing.T) {
	for _, k := range Kinds {
		a, b, other := small(k, 1), small(k, 1), small(k, 3)
		assert.DeepEqual(t, b.Load(500), a.Load(500))
		assert.DeepEqual(t, b.Reports(500), a.Reports(500))
		assert.Assert(t, !slices.Equal(other.Load(500), a.Load(500)))
	}
}

func TestEachLayerHasTheSameTokens(t *testing.T) {
	for _, k := range Kinds {
		tr := small(k, 5)
		for w := 0; w < tr.Windows; w += 37 {
			load := tr.Load(w)
			for layer := range tr.Layers {
				sum := 0.0
				for _, v := range load[layer*16 : (layer+1)*16] {
					assert.Assert(t, v >= 0)
					sum += v
				}
				assert.Assert(t, sum > 15999 && sum < 16001)
			}
		}
	}
}

// distance is the share of tokens that go to other experts.
func distance(a, b placement.Load) float64 {
	sum, total := 0.0, 0.0
	for i := range a {
		sum += max(a[i]-b[i], 0)
		total += a[i]
	}
	return sum / total
}

// The kinds must be what they are called: the auction moves far over a day but little
// in a minute, the lift service jumps, and a stationary load stands still.
func TestDriftIsAsDescribed(t *testing.T) {
	jump := func(tr *Trace) float64 {
		most := 0.0
		for w := 1; w < tr.Windows; w++ {
			most = max(most, distance(tr.Load(w), tr.Load(w-1)))
		}
		return most
	}
	assert.Assert(t, distance(small(Auction, 1).Load(0), small(Auction, 1).Load(400)) > 0.1)
	assert.Assert(t, jump(small(Auction, 1)) < 0.01)
	assert.Assert(t, jump(small(Lift, 1)) > 0.05)
	assert.Equal(t, jump(small(Stationary, 1)), 0.0)
}

// Counters come late and with gaps, but never from the future or twice.
func TestReportsAreLateAndHaveGaps(t *testing.T) {
	for _, k := range Kinds {
		tr := small(k, 1)
		seen := map[int]bool{}
		for w := range tr.Windows {
			for _, r := range tr.Reports(w) {
				assert.Assert(t, r.Window < w)
				assert.Assert(t, !seen[r.Window])
				seen[r.Window] = true
			}
		}
		assert.Assert(t, len(seen) > tr.Windows/2 && len(seen) < tr.Windows-1)
	}
}
