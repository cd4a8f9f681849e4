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
		arrived         []float64
		admitted, level float64
	}{
		{nil, 0, math.Inf(1)},
		{[]float64{10, 20, 30}, 60, math.Inf(1)},
		{[]float64{10, 20, 30}, 75, math.Inf(1)},
		{[]float64{10, 20, 30}, 0, 0},
		{[]float64{10, 100, 1000}, 90, 40},
		{[]float64{1000, 10, 100}, 90, 40},
		{[]float64{50, 50, 500}, 150, 50},
	} {
		assert.Equal(t, fairShare(c.arrived, c.admitted), c.level, "%v", c)
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
		level := fairShare(arrived, admitted)
		got := 0.0
		for _, n := range arrived {
			got += min(n, level)
		}
		if math.Abs(got-min(admitted, sum)) > 1e-6*(1+sum) || math.IsInf(level, 1) != (admitted >= sum) {
			t.Fatalf("level %v: sum %v of %v admitted", level, got, admitted)
		}
		if !slices.Equal(before, arrived) {
			t.Fatal("the arrivals were changed")
		}
	})
}
