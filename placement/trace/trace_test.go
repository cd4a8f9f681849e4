package trace

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/placement"
)

func newTestTrace(k Kind, seed uint64) *Trace {
	return New(Params{Kind: k, Experts: 16, Layers: 2, Window: time.Minute, Windows: 600, Seed: seed})
}

// Results on seeds that were used for tuning would be biased.
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

func TestTracesAreReproducible(t *testing.T) {
	for _, k := range Kinds {
		a, b, other := newTestTrace(k, 1), newTestTrace(k, 1), newTestTrace(k, 3)
		assert.DeepEqual(t, b.Load(500), a.Load(500))
		assert.DeepEqual(t, b.Reports(500), a.Reports(500))
		assert.Assert(t, !slices.Equal(other.Load(500), a.Load(500)))
	}
}

func TestEachLayerHasTheSameTokens(t *testing.T) {
	for _, k := range Kinds {
		tr := newTestTrace(k, 5)
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

// shiftedShare returns the fraction of tokens that go to other experts in b than in a.
func shiftedShare(a, b placement.Load) float64 {
	sum, total := 0.0, 0.0
	for i := range a {
		sum += max(a[i]-b[i], 0)
		total += a[i]
	}
	return sum / total
}

// Checks the documented drift of the kinds: Auction moves far over hours but little per minute,
// Lift jumps, and Stationary doesn't change.
func TestKindsDriftAsDocumented(t *testing.T) {
	maxChange := func(tr *Trace) float64 {
		most := 0.0
		for w := 1; w < tr.Windows; w++ {
			most = max(most, shiftedShare(tr.Load(w), tr.Load(w-1)))
		}
		return most
	}
	assert.Assert(t, shiftedShare(newTestTrace(Diurnal, 1).Load(0), newTestTrace(Diurnal, 1).Load(400)) > 0.1)
	assert.Assert(t, maxChange(newTestTrace(Diurnal, 1)) < 0.01)
	assert.Assert(t, maxChange(newTestTrace(Bursty, 1)) > 0.05)
	assert.Equal(t, maxChange(newTestTrace(Stationary, 1)), 0.0)
}

// Reports may be late or missing, but never from the future or duplicated.
func TestReportsAreLateAndHaveGaps(t *testing.T) {
	for _, k := range Kinds {
		tr := newTestTrace(k, 1)
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
