package teamshare

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a level that leaves capacity unused, exceeds it, or holds back a team that asks for less
// than others get: the definition of max-min fairness.
func TestLevelIsMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0, 1000), 0, 40).Draw(t, "demands")
		capacity := rapid.Float64Range(0, 20_000).Draw(t, "capacity")
		level := Level(demands, capacity)
		total, served := 0.0, 0.0
		for _, d := range demands {
			total += d
			served += min(d, level)
		}
		if math.IsInf(level, 1) {
			assert.Assert(t, total <= capacity*(1+1e-9), "capacity for %f of %f is said to suffice", capacity, total)
			return
		}
		assert.Assert(t, math.Abs(served-capacity) <= 1e-6*max(capacity, 1), "%f served of a capacity of %f", served, capacity)
		assert.Assert(t, total >= capacity*(1-1e-9), "limited to %f without need", level)
		// The unused part of no team can raise another: whoever is held back gets the level, which is
		// at least what any other team gets.
		for _, d := range demands {
			assert.Assert(t, min(d, level) == d || min(d, level) == level)
		}
		shuffled := slices.Clone(demands)
		slices.Reverse(shuffled)
		assert.Equal(t, Level(shuffled, capacity), level)
	})
}

func demandOf(team string, arrived, admitted int) Demand {
	return Demand{Team: team, Arrived: uint32(arrived), Admitted: uint32(admitted)}
}

// Guards against a limit on teams that are within their share or a little over it, and on all the teams that
// are counted together.
func TestOnlyTeamsOverTheirShareAreLimited(t *testing.T) {
	s := NewShares([]Demand{
		demandOf("small", 100, 100), demandOf("near", 1099, 900), demandOf("flood", 10_000, 1100), demandOf(OtherTeams, 50_000, 500),
	})
	assert.Equal(t, s.Level(), 1000.0)
	assert.DeepEqual(t, s.Teams(), []string{"flood"})
	assert.Assert(t, s.Beyond("flood", 0.02), "of the most demanding team nearly all requests are beyond its share")
	for _, team := range []string{"small", "near", OtherTeams, "unknown"} {
		assert.Assert(t, !s.Over(team) && !s.Beyond(team, 0.999), team)
	}
	assert.Assert(t, NewShares([]Demand{demandOf("a", 9, 9), demandOf("b", 90, 90)}).Teams() == nil, "a team is limited though all was admitted")
	assert.Assert(t, NewShares(nil).Teams() == nil)
}

// Guards against a limit on teams that exceed the level by chance, as counts are small.
func TestChanceMakesNoTeamExceedItsShare(t *testing.T) {
	s := NewShares([]Demand{demandOf("a", 18, 10), demandOf("b", 12, 8), demandOf("c", 4, 2)})
	assert.Equal(t, s.Level(), 8.0)
	assert.DeepEqual(t, s.Teams(), []string{"a"})
}

// Guards against shares that add up the priorities of a team as different teams.
func TestPrioritiesOfATeamAreOneDemand(t *testing.T) {
	s := NewShares([]Demand{
		{Team: "a", Priority: 0, Arrived: 60, Admitted: 30}, {Team: "a", Priority: 2, Arrived: 60, Admitted: 20},
		{Team: "b", Priority: 2, Arrived: 50, Admitted: 50},
	})
	assert.Equal(t, s.Level(), 50.0)
	assert.DeepEqual(t, s.Teams(), []string{"a"})
}

// Guards against a team that is served more than the level because it sends more requests than other teams
// over their share, which callers that ignore Retry-After would bring about.
func TestTeamsOverTheirShareAreServedTheLevel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list []Demand
		total := 0
		for i := range rapid.IntRange(1, 30).Draw(t, "teams") {
			n := rapid.IntRange(1, 100_000).Draw(t, "arrived")
			total += n
			list = append(list, demandOf(fmt.Sprint("t", i), n, 0))
		}
		admitted := rapid.IntRange(1, total).Draw(t, "admitted")
		for i := range list {
			// How what is admitted is divided now doesn't count, so the last team has it all.
			list[i].Admitted = 0
		}
		list[len(list)-1].Admitted = uint32(admitted)
		s := NewShares(list)
		highest, excess, over := 0.0, 0.0, 0
		for _, d := range list {
			highest = max(highest, float64(d.Arrived))
			if s.Over(d.Team) {
				over++
				continue
			}
			assert.Assert(t, float64(d.Arrived) <= overFrom(s.Level()))
			excess += max(float64(d.Arrived)-s.Level(), 0)
		}
		for _, d := range list {
			if !s.Over(d.Team) {
				continue
			}
			arrived, within := float64(d.Arrived), s.withinShare[d.Team]
			assert.Assert(t, within >= 0 && within < 1, "fraction %f within the share", within)
			// All that is admitted and not taken by the other teams is left for these teams.
			left := max(s.Level()-excess/float64(over), 0)
			served := within*arrived + (1-within)*arrived*s.Level()/highest
			most := s.Level() + (s.Level() - left)
			assert.Assert(t, within*arrived < s.Level()*(1+1e-6), "%f within the share at a level of %f", within*arrived, s.Level())
			assert.Assert(t, served > s.Level()*(1-1e-6) && served < most*(1+1e-6), "%f served at a level of %f", served, s.Level())
		}
	})
}

// Guards against a team that stays limited because its callers come again when they are refused, though it
// has as many of them as the others.
func TestRetriesAreNoDemand(t *testing.T) {
	var list []Demand
	for i := range 9 {
		list = append(list, demandOf(fmt.Sprint("t", i), 1000, 1000))
	}
	again := Demand{Team: "again", Arrived: 1500, Admitted: 750, Refused: 750}
	assert.DeepEqual(t, NewShares(append(list, again)).Teams(), []string(nil))
	impatient := Demand{Team: "impatient", Arrived: 15_000, Admitted: 750, Refused: 14_250}
	assert.DeepEqual(t, NewShares(append(list, impatient)).Teams(), []string{"impatient"})
}

// Guards against a team over its share that is served nothing, because the others take what they ask for
// above the level by less than what limits them.
func TestTeamOverItsShareCompetesWithTeamsAboveTheLevel(t *testing.T) {
	list := []Demand{demandOf("flood", 100_000, 500)}
	for i := range 9 {
		list = append(list, demandOf(fmt.Sprint("t", i), 1040, 1000))
	}
	s := NewShares(list)
	assert.DeepEqual(t, s.Teams(), []string{"flood"})
	assert.Assert(t, s.withinShare["flood"]*100_000 > 0.8*s.Level(), "%f within a share of %f", s.withinShare["flood"]*100_000, s.Level())
}

// Guards against a share that depends on the greediest team: what small teams leave over is divided
// between the larger ones, and a team that asks for ten times as much doesn't raise its share.
func TestLevelOfUnevenTeams(t *testing.T) {
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
		assert.Equal(t, Level(c.arrived, c.admitted), c.level, "%v", c)
	}
}

// At the level, the sum over the teams of min(arrived, level) must be what was admitted.
func TestLevelSumsToAdmitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var arrived []float64
		sum := 0.0
		for _, n := range rapid.SliceOfN(rapid.IntRange(0, 5000), 0, 40).Draw(t, "arrived") {
			arrived = append(arrived, float64(n))
			sum += float64(n)
		}
		admitted := float64(rapid.IntRange(0, int(sum)+100).Draw(t, "admitted"))
		before := slices.Clone(arrived)
		level := Level(arrived, admitted)
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

// Guards against all teams being shown as over their share during an outage: nothing was admitted, so
// nothing is known of how much can be, and gateways limit none of them.
func TestNoTeamIsOverItsShareIfNothingIsAdmitted(t *testing.T) {
	s := NewShares([]Demand{demandOf("a", 100, 0), demandOf("b", 10, 0)})
	assert.Equal(t, s.Level(), 0.0)
	assert.Equal(t, len(s.Teams()), 0)
}
