package demand

import (
	"math"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a share that depends on the greediest team: what small teams leave over is divided
// between the larger ones, and a team that asks for ten times as much doesn't raise its share.
func TestFairShareOfUnevenTeams(t *testing.T) {
	for _, c := range []struct {
		arrived  []float64
		admitted float64
		level    float64
		limited  bool
	}{
		{nil, 0, 0, false},
		{[]float64{10, 20, 30}, 60, 30, false},
		{[]float64{10, 20, 30}, 75, 30, false},
		{[]float64{10, 20, 30}, 0, 0, true},
		{[]float64{10, 100, 1000}, 90, 40, true},
		{[]float64{1000, 10, 100}, 90, 40, true},
		{[]float64{50, 50, 500}, 150, 50, true},
	} {
		level, limited := fairShare(c.arrived, c.admitted)
		assert.Equal(t, level, c.level, "%v", c)
		assert.Equal(t, limited, c.limited, "%v", c)
	}
}

// At the level, the sum over the teams of min(arrived, level) must be what was admitted.
func TestFairShareSumsToAdmitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var arrived []float64
		sum := 0.0
		for _, n := range rapid.SliceOfN(rapid.IntRange(0, 5000), 0, 40).Draw(t, "arrived") {
			arrived = append(arrived, float64(n))
			sum += float64(n)
		}
		admitted := float64(rapid.IntRange(0, int(sum)+100).Draw(t, "admitted"))
		before := slices.Clone(arrived)
		level, limited := fairShare(arrived, admitted)
		got := 0.0
		for _, n := range arrived {
			got += min(n, level)
		}
		if math.Abs(got-min(admitted, sum)) > 1e-6*(1+sum) || limited != (admitted < sum) {
			t.Fatalf("level %v, limited %v: sum %v of %v admitted", level, limited, got, admitted)
		}
		if !slices.Equal(before, arrived) {
			t.Fatal("the arrivals were changed")
		}
	})
}
