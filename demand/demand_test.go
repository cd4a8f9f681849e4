package demand_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/demand"
	"github.com/snipereach/snipereach/teamshare"
	"github.com/snipereach/snipereach/wire"
)

func totals(service string, gateways, ageMS uint32, teams ...*wire.TeamDemand) *wire.DemandTotals {
	return &wire.DemandTotals{Service: service, SpanMs: 5000, Gateways: gateways, AgeMs: ageMS, Teams: teams}
}

// Guards against sums of a part of the gateways being shown: after a change of replica, the former one
// still holds old sums, and the new one sums of the gateways that have changed already.
func TestMergeShowsSumsOfMostGateways(t *testing.T) {
	list := demand.Merge([]demand.Reply{
		{Replica: "a", Services: []*wire.DemandTotals{totals("lm", 3, 100), totals("clock", 4, 900), totals("one", 1, 0)}},
		{Replica: "b", Services: []*wire.DemandTotals{totals("lm", 40, 800), totals("clock", 4, 300)}},
		{Replica: "c", Services: []*wire.DemandTotals{totals("lm", 39, 0), totals("clock", 4, 600)}},
	})
	assert.Equal(t, len(list), 3)
	for i, want := range []struct{ service, replica string }{{"clock", "b"}, {"lm", "b"}, {"one", "a"}} {
		assert.Equal(t, list[i].Service, want.service)
		assert.Equal(t, list[i].Replica, want.replica)
	}
	assert.Equal(t, list[1].Gateways, uint32(40))
	assert.Equal(t, list[1].AgeMS, int64(800))
	assert.Equal(t, len(demand.Merge(nil)), 0)
}

// A team's requests of all priorities count towards its share. Teams that aren't counted by themselves are
// never over it, however many they are.
func TestTeamOverItsShareInAllPriorities(t *testing.T) {
	refused := func(cause string, n uint32) *wire.RefusedCount { return &wire.RefusedCount{Cause: cause, Count: n} }
	list := demand.Merge([]demand.Reply{{Replica: "a", Services: []*wire.DemandTotals{totals(
		"lm", 2, 0,
		&wire.TeamDemand{Team: "farm", Priority: 2, Arrived: 90, Admitted: 34, Refused: []*wire.RefusedCount{
			refused("group-incomplete", 3), refused("upstreams-busy", 50), refused("draining", 3),
		}},
		&wire.TeamDemand{Team: "mill", Priority: 2, Arrived: 44, Admitted: 36},
		&wire.TeamDemand{Team: "farm", Priority: 0, Arrived: 10, Admitted: 10},
		&wire.TeamDemand{Priority: 2, Arrived: 200, Admitted: 64},
	)}}})
	s := list[0]
	// 80 admitted between the two teams: 40 for each.
	assert.Equal(t, s.FairShare, 40.0)
	assert.Assert(t, s.Limited)
	assert.DeepEqual(t, s.Teams, []demand.Team{
		{Team: "farm", Priority: 0, Arrived: 10, Admitted: 10, OverShare: true},
		{Priority: 2, Arrived: 200, Admitted: 64},
		{
			Team: "farm", Priority: 2, Arrived: 90, Admitted: 34, Refused: 56, OverShare: true,
			Causes: []demand.CauseCount{{Cause: "upstreams-busy", Count: 50}, {Cause: "draining", Count: 3}, {Cause: "group-incomplete", Count: 3}},
		},
		// 44 is a tenth above the share, and not more.
		{Team: "mill", Priority: 2, Arrived: 44, Admitted: 36},
	})
}

// Guards against operators being shown another fair share than gateways apply: teams that exceed the level
// by chance, as counts are small, or by requests that come again after a refusal aren't limited.
func TestOperatorsSeeSharesThatGatewaysApply(t *testing.T) {
	byChance := totals(
		"lm", 2, 0, &wire.TeamDemand{Team: "a", Arrived: 18, Admitted: 10},
		&wire.TeamDemand{Team: "b", Arrived: 12, Admitted: 8}, &wire.TeamDemand{Team: "c", Arrived: 4, Admitted: 2},
	)
	retries := totals(
		"lm", 2, 0, &wire.TeamDemand{Team: "a", Arrived: 1000, Admitted: 1000},
		&wire.TeamDemand{Team: "again", Arrived: 1500, Admitted: 750, Refused: []*wire.RefusedCount{{Cause: "upstreams-busy", Count: 750}}},
	)
	for _, sums := range []*wire.DemandTotals{byChance, retries} {
		shares := teamshare.NewShares(teamshare.FromWire(sums.Teams))
		s := demand.Merge([]demand.Reply{{Replica: "a", Services: []*wire.DemandTotals{sums}}})[0]
		assert.Equal(t, s.FairShare, shares.Level())
		for _, team := range s.Teams {
			assert.Equal(t, team.OverShare, shares.Over(team.Team), "%s", team.Team)
		}
	}
}
