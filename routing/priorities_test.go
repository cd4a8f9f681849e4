package routing_test

import (
	"slices"
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

// A service has the priorities that its requests can get from routes and teams, and no others.
// Guards against a service that is treated as prioritized although all its requests are equal.
func TestPrioritiesOfAService(t *testing.T) {
	for name, c := range map[string]struct {
		routes []*wire.Route
		teams  []*wire.KeyedTeam
		want   []uint32
	}{
		"no route":                   {want: nil},
		"other service":              {routes: []*wire.Route{routeTo(1, false, "clock")}, want: nil},
		"one route":                  {routes: []*wire.Route{routeTo(4, false, "pool")}, want: []uint32{4}},
		"equal routes":               {routes: []*wire.Route{routeTo(4, false, "pool"), routeTo(4, false, "pool")}, want: []uint32{4}},
		"routes in any order":        {routes: []*wire.Route{routeTo(2, false, "pool"), routeTo(0, false, "pool"), routeTo(1, false, "clock")}, want: []uint32{0, 2}},
		"split route":                {routes: []*wire.Route{routeTo(2, false, "clock", "pool"), routeTo(1, false, "pool")}, want: []uint32{1, 2}},
		"teams without priority":     {routes: []*wire.Route{routeTo(2, false, "pool")}, teams: []*wire.KeyedTeam{{}, {}}, want: []uint32{2}},
		"team with priority":         {routes: []*wire.Route{routeTo(2, false, "pool")}, teams: []*wire.KeyedTeam{{}, teamWith(0)}, want: []uint32{0, 2}},
		"all teams have the same":    {routes: []*wire.Route{routeTo(2, false, "pool"), routeTo(1, false, "pool")}, teams: []*wire.KeyedTeam{teamWith(3), teamWith(3)}, want: []uint32{3}},
		"anonymous route":            {routes: []*wire.Route{routeTo(2, true, "pool")}, teams: []*wire.KeyedTeam{teamWith(0)}, want: []uint32{2}},
		"anonymous and keyed routes": {routes: []*wire.Route{routeTo(2, true, "pool"), routeTo(1, false, "pool")}, teams: []*wire.KeyedTeam{teamWith(0)}, want: []uint32{0, 2}},
	} {
		table := routing.NewTable(&wire.RoutingConfig{Version: 1, Routes: c.routes, Teams: c.teams})
		assert.DeepEqual(t, table.PrioritiesOf("pool"), c.want)
		assert.Assert(t, slices.IsSorted(c.want), name)
	}
}

// The priority of any request is among those of its service.
func TestEveryRequestPriorityIsListed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &wire.RoutingConfig{Version: 1}
		for range rapid.IntRange(1, 4).Draw(t, "routes") {
			services := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"pool", "clock"}), 1, 2, rapid.ID[string]).Draw(t, "services")
			c.Routes = append(c.Routes, routeTo(rapid.Uint32Range(0, 3).Draw(t, "priority"), rapid.Bool().Draw(t, "anonymous"), services...))
		}
		for range rapid.IntRange(0, 3).Draw(t, "teams") {
			c.Teams = append(c.Teams, &wire.KeyedTeam{HasPriority: rapid.Bool().Draw(t, "has"), Priority: rapid.Uint32Range(0, 3).Draw(t, "team priority")})
		}
		table := routing.NewTable(c)
		expected := map[string]map[uint32]bool{"pool": {}, "clock": {}}
		for _, r := range c.Routes {
			for _, s := range r.Split {
				if !table.NeedsKey(r) {
					expected[s.Service][routing.RequestPriority(r, nil)] = true
					continue
				}
				for _, team := range c.Teams {
					expected[s.Service][routing.RequestPriority(r, team)] = true
				}
			}
		}
		for service, want := range expected {
			list := table.PrioritiesOf(service)
			if len(list) != len(want) || !slices.IsSorted(list) {
				t.Fatalf("%s has %v, want %v", service, list, want)
			}
			for _, priority := range list {
				if !want[priority] {
					t.Fatalf("no request of %s has priority %d", service, priority)
				}
			}
		}
	})
}
