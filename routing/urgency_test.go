package routing_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/snipereach/snipereach/routing"
	"github.com/snipereach/snipereach/wire"
)

func routeTo(priority uint32, anonymous bool, services ...string) *wire.Route {
	r := &wire.Route{Priority: priority, Anonymous: anonymous}
	for _, s := range services {
		r.Split = append(r.Split, &wire.WeightedService{Service: s, Weight: 1})
	}
	return r
}

func teamWith(priority uint32) *wire.KeyedTeam {
	return &wire.KeyedTeam{HasPriority: true, Priority: priority}
}

// modelServices are two services with engine profiles and one without.
func modelServices() []*wire.RoutedService {
	return []*wire.RoutedService{
		{Name: "pool", Engine: &wire.EngineProfile{}}, {Name: "clock", Engine: &wire.EngineProfile{}}, {Name: "plain"},
	}
}

// A service has the urgencies that its requests can get from routes and teams, and no others.
// Guards against a service that is treated as ranked although all its requests are equal.
func TestUrgenciesOfAService(t *testing.T) {
	for name, c := range map[string]struct {
		routes []*wire.Route
		teams  []*wire.KeyedTeam
		want   int
	}{
		"no route":                   {want: 0},
		"other service":              {routes: []*wire.Route{routeTo(1, false, "clock")}, want: 0},
		"one route":                  {routes: []*wire.Route{routeTo(4, false, "pool")}, want: 1},
		"equal routes":               {routes: []*wire.Route{routeTo(4, false, "pool"), routeTo(4, false, "pool")}, want: 1},
		"routes in any order":        {routes: []*wire.Route{routeTo(2, false, "pool"), routeTo(0, false, "pool"), routeTo(1, false, "clock")}, want: 2},
		"split route":                {routes: []*wire.Route{routeTo(2, false, "clock", "pool"), routeTo(1, false, "pool")}, want: 2},
		"teams without priority":     {routes: []*wire.Route{routeTo(2, false, "pool")}, teams: []*wire.KeyedTeam{{}, {}}, want: 1},
		"team with priority":         {routes: []*wire.Route{routeTo(2, false, "pool")}, teams: []*wire.KeyedTeam{{}, teamWith(0)}, want: 2},
		"all teams have the same":    {routes: []*wire.Route{routeTo(2, false, "pool"), routeTo(1, false, "pool")}, teams: []*wire.KeyedTeam{teamWith(3), teamWith(3)}, want: 2},
		"one route, equal teams":     {routes: []*wire.Route{routeTo(2, false, "pool")}, teams: []*wire.KeyedTeam{teamWith(3), teamWith(3)}, want: 1},
		"anonymous route":            {routes: []*wire.Route{routeTo(2, true, "pool")}, teams: []*wire.KeyedTeam{teamWith(0)}, want: 1},
		"anonymous and keyed routes": {routes: []*wire.Route{routeTo(2, true, "pool"), routeTo(1, false, "pool")}, teams: []*wire.KeyedTeam{teamWith(0)}, want: 2},
		"not a model service":        {routes: []*wire.Route{routeTo(2, false, "plain"), routeTo(0, false, "plain")}, want: 0},
	} {
		table := routing.NewTable(&wire.RoutingConfig{Version: 1, Routes: c.routes, Teams: c.teams, Services: modelServices()})
		service := "pool"
		if name == "not a model service" {
			service = "plain"
		}
		assert.Equal(t, table.Urgencies(service), c.want, name)
	}
}

// A team's priority goes before that of the route, and among equal ones the route decides. Guards
// against a configuration that gives all teams one priority and thereby makes all routes equal.
func TestRankGoesByTeamThenRoute(t *testing.T) {
	urgent, patient := routeTo(0, false, "pool"), routeTo(2, false, "pool")
	first, second := teamWith(0), teamWith(1)
	table := routing.NewTable(&wire.RoutingConfig{
		Version: 1, Routes: []*wire.Route{patient, urgent}, Teams: []*wire.KeyedTeam{second, first}, Services: modelServices(),
	})
	for want, r := range []struct {
		route *wire.Route
		team  *wire.KeyedTeam
	}{{urgent, first}, {patient, first}, {urgent, second}, {patient, second}} {
		assert.Equal(t, table.Rank("pool", r.route, r.team), uint32(want))
	}
	assert.Equal(t, table.Rank("plain", patient, second), uint32(0))
}

// The rank of any request is below the number of its service's urgencies, each rank is that of some
// request, and a request that is more urgent has a lower rank.
func TestRanksFollowUrgency(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &wire.RoutingConfig{Version: 1, Services: modelServices()}
		for range rapid.IntRange(1, 4).Draw(t, "routes") {
			services := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"pool", "clock"}), 1, 2, rapid.ID[string]).Draw(t, "services")
			c.Routes = append(c.Routes, routeTo(rapid.Uint32Range(0, 3).Draw(t, "priority"), rapid.Bool().Draw(t, "anonymous"), services...))
		}
		for range rapid.IntRange(0, 3).Draw(t, "teams") {
			c.Teams = append(c.Teams, &wire.KeyedTeam{HasPriority: rapid.Bool().Draw(t, "has"), Priority: rapid.Uint32Range(0, 3).Draw(t, "team priority")})
		}
		table := routing.NewTable(c)
		for _, service := range []string{"pool", "clock"} {
			ranks := map[uint32]routing.Urgency{}
			for _, r := range c.Routes {
				for _, s := range r.Split {
					if s.Service != service {
						continue
					}
					teams := c.Teams
					if !table.NeedsKey(r) {
						teams = []*wire.KeyedTeam{nil}
					}
					for _, team := range teams {
						ranks[table.Rank(service, r, team)] = routing.UrgencyOf(r, team)
					}
				}
			}
			if len(ranks) != table.Urgencies(service) {
				t.Fatalf("%s has %d urgencies and ranks %v", service, table.Urgencies(service), ranks)
			}
			for rank := 1; rank < len(ranks); rank++ {
				before, after := ranks[uint32(rank-1)], ranks[uint32(rank)]
				if before.Priority > after.Priority || before.Priority == after.Priority && before.RoutePriority >= after.RoutePriority {
					t.Fatalf("%v has the rank before %v", before, after)
				}
			}
		}
	})
}

// Guards against a service that is treated as ranked for a route that sends it no request now.
func TestRouteWithoutWeightDoesNotRank(t *testing.T) {
	idle := routeTo(2, false, "clock", "pool")
	idle.Split[1].Weight = 0
	table := routing.NewTable(&wire.RoutingConfig{Version: 1, Routes: []*wire.Route{idle, routeTo(1, false, "pool")}, Services: modelServices()})
	assert.Equal(t, table.Urgencies("pool"), 1)
	assert.Equal(t, table.Urgencies("clock"), 1)
}
