package routing_test

import (
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/snipereach/snipereach/routing"
	"github.com/snipereach/snipereach/wire"
)

func validConfig() *wire.RoutingConfig {
	return &wire.RoutingConfig{
		Version:  3,
		Services: []*wire.RoutedService{{Name: "pool"}, {Name: "clock"}},
		Routes: []*wire.Route{
			{Name: "a", Host: "x.example", PathPrefix: "/", Kind: wire.RouteKind_ROUTE_KIND_SAFE, TimeoutMs: 100, Split: split("pool", 1)},
			{Name: "b", Host: "x.example", PathPrefix: "/b/", Kind: wire.RouteKind_ROUTE_KIND_UNSAFE, TimeoutMs: 100, Split: split("clock", 2)},
		},
		Teams: []*wire.KeyedTeam{
			{Name: "t1", KeyHashes: [][]byte{routing.HashKey("k1"), routing.HashKey("k2")}},
			{Name: "t2", KeyHashes: [][]byte{routing.HashKey("k3")}},
		},
	}
}

func split(service string, weight uint32) []*wire.WeightedService {
	return []*wire.WeightedService{{Service: service, Weight: weight}}
}

// Each invalid configuration must be rejected with a message that names the error.
func TestCheckRejectsInvalidConfigurations(t *testing.T) {
	assert.NilError(t, routing.Check(validConfig()))
	for name, c := range map[string]struct {
		modify  func(*wire.RoutingConfig)
		message string
	}{
		"no version":      {func(c *wire.RoutingConfig) { c.Version = 0 }, "version"},
		"unknown service": {func(c *wire.RoutingConfig) { c.Routes[0].Split = split("gone", 1) }, `"gone" does not exist`},
		"same host and prefix": {func(c *wire.RoutingConfig) {
			c.Routes[1].PathPrefix = "/"
			c.Routes[1].Host = "X.example"
		}, "same host and prefix"},
		"no weight":     {func(c *wire.RoutingConfig) { c.Routes[0].Split = split("pool", 0) }, "weights"},
		"no split":      {func(c *wire.RoutingConfig) { c.Routes[0].Split = nil }, "weights"},
		"no timeout":    {func(c *wire.RoutingConfig) { c.Routes[1].TimeoutMs = 0 }, "timeout"},
		"no kind":       {func(c *wire.RoutingConfig) { c.Routes[1].Kind = 0 }, "kind"},
		"no host":       {func(c *wire.RoutingConfig) { c.Routes[1].Host = "" }, "host"},
		"no end slash":  {func(c *wire.RoutingConfig) { c.Routes[1].PathPrefix = "/b" }, "slash"},
		"shared key":    {func(c *wire.RoutingConfig) { c.Teams[1].KeyHashes = c.Teams[0].KeyHashes[:1] }, "shares a key"},
		"team twice":    {func(c *wire.RoutingConfig) { c.Teams[1].Name = "t1" }, "duplicate name"},
		"service twice": {func(c *wire.RoutingConfig) { c.Services[1].Name = "pool" }, "duplicate name"},
		"no team name":  {func(c *wire.RoutingConfig) { c.Teams[1].Name = "" }, "name is empty"},
		"no name":       {func(c *wire.RoutingConfig) { c.Services[1].Name = "" }, "name is empty"},
	} {
		cfg := validConfig()
		c.modify(cfg)
		err := routing.Check(cfg)
		assert.ErrorIs(t, err, routing.ErrInvalid, name)
		assert.ErrorContains(t, err, c.message, name)
	}
}

// For any order of versions, with duplicates, the highest version must be in force and
// the version must never decrease.
func TestHighestVersionWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m routing.Machine
		highest := uint64(0)
		for _, v := range rapid.SliceOf(rapid.Uint64Range(1, 8)).Draw(t, "versions") {
			c := &wire.RoutingConfig{Version: v, Source: []byte(fmt.Sprint(v, " ", highest))}
			before := m.Current()
			accepted := m.Apply(c)
			if accepted != (v > highest) {
				t.Fatalf("version %d over %d: accepted %v", v, highest, accepted)
			}
			if !accepted && m.Current() != before {
				t.Fatal("a rejected configuration changed the one in force")
			}
			highest = max(highest, v)
		}
		if m.Current().GetVersion() != highest {
			t.Fatalf("version %d is in force, want %d", m.Current().GetVersion(), highest)
		}
	})
}

// linearMatch is a reference implementation of Table.Match.
func linearMatch(c *wire.RoutingConfig, host, path string) *wire.Route {
	var best *wire.Route
	for _, r := range c.Routes {
		if strings.EqualFold(r.Host, host) && strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}

func TestMatchReturnsLongestPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &wire.RoutingConfig{Version: 1}
		seen := map[string]bool{}
		for range rapid.IntRange(0, 12).Draw(t, "routes") {
			host := rapid.SampledFrom([]string{"a.example", "B.example"}).Draw(t, "host")
			prefix := rapid.StringMatching(`/([ab]/){0,3}`).Draw(t, "prefix")
			if seen[host+prefix] {
				continue
			}
			seen[host+prefix] = true
			c.Routes = append(c.Routes, &wire.Route{Host: host, PathPrefix: prefix})
		}
		table := routing.NewTable(c)
		host := rapid.SampledFrom([]string{"a.example", "b.example", "c.example"}).Draw(t, "asked")
		path := rapid.StringMatching(`/([ab]{1,2}/){0,4}[ab]?`).Draw(t, "path")
		if table.Match(host, path) != linearMatch(c, host, path) || table.Match(host+":80", path) != linearMatch(c, host, path) {
			t.Fatalf("%s%s", host, path)
		}
	})
}

func TestTeamLookupByKey(t *testing.T) {
	table := routing.NewTable(validConfig())
	assert.Equal(t, table.TeamOf("k2").Name, "t1")
	assert.Assert(t, table.TeamOf("k4") == nil)
	assert.Assert(t, table.TeamOf("") == nil)
	assert.Assert(t, table.NeedsKey(&wire.Route{}))
	assert.Assert(t, !table.NeedsKey(&wire.Route{Anonymous: true}))
	noTeams := validConfig()
	noTeams.Teams = nil
	assert.Assert(t, !routing.NewTable(noTeams).NeedsKey(&wire.Route{}))
}

func TestChooseFollowsWeights(t *testing.T) {
	r := &wire.Route{Split: []*wire.WeightedService{{Service: "a", Weight: 90}, {Service: "none"}, {Service: "b", Weight: 10}}}
	counts := map[string]int{}
	for i := range 1000 {
		counts[routing.ChooseService(r, float64(i)/1000)]++
	}
	assert.DeepEqual(t, counts, map[string]int{"a": 900, "b": 100})
}

func TestRepeatableAndUrgency(t *testing.T) {
	for _, c := range []struct {
		route      *wire.Route
		repeatable bool
	}{
		{&wire.Route{Kind: wire.RouteKind_ROUTE_KIND_SAFE}, true},
		{&wire.Route{Kind: wire.RouteKind_ROUTE_KIND_UNSAFE, Resume: true}, false},
		{&wire.Route{Kind: wire.RouteKind_ROUTE_KIND_STREAMING}, false},
		{&wire.Route{Kind: wire.RouteKind_ROUTE_KIND_STREAMING, Resume: true}, true},
	} {
		assert.Equal(t, routing.Retryable(c.route), c.repeatable, "%v", c.route)
	}
	assert.Equal(t, routing.RequestPriority(&wire.Route{Priority: 4}, nil), uint32(4))
	assert.Equal(t, routing.RequestPriority(&wire.Route{Priority: 4}, &wire.KeyedTeam{HasPriority: true}), uint32(0))
}

// A packed configuration must decode to the original without its Source, be smaller, and
// be rejected if it is truncated.
func TestPackRoundTrip(t *testing.T) {
	c := &wire.RoutingConfig{Version: 3, Source: []byte("as it was sent"), Limits: &wire.RoutingLimits{}}
	for i := range 300 {
		c.Routes = append(c.Routes, &wire.Route{Name: fmt.Sprint("r", i), Host: "h", PathPrefix: fmt.Sprintf("/%d/", i)})
	}
	p, err := routing.Pack(c)
	assert.NilError(t, err)
	assert.Assert(t, len(p.Deflated) < proto.Size(c)/2, "%d of %d bytes", len(p.Deflated), proto.Size(c))
	back, err := routing.Unpack(p)
	assert.NilError(t, err)
	c.Source = nil
	assert.Assert(t, proto.Equal(back, c))
	_, err = routing.Unpack(&wire.PackedRouting{Version: 3, Deflated: p.Deflated[:20]})
	assert.ErrorIs(t, err, routing.ErrPacked)
}
