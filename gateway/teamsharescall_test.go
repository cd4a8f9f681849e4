package gateway

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	_ "github.com/snipereach/snipereach/platform"
	"github.com/snipereach/snipereach/wire"
)

// acquireAs has a gateway that knows no upstream refuse a request of a team.
func acquireAs(t *testing.T, g *Gateway, team string, priority *uint32) {
	t.Helper()
	c := &call{
		Gateway: g, r: httptest.NewRequest("GET", "/", nil), ctx: context.Background(), service: "s", route: &wire.Route{},
		team: &wire.KeyedTeam{Name: team}, priority: priority, receivedAt: time.Now(), deadline: time.Now().Add(time.Second),
	}
	c.guard.Init(g.quarantine, c)
	assert.Assert(t, !c.acquire().ok)
}

// countedTeams returns what the gateway has counted, as its dump shows it.
func countedTeams(t *testing.T, g *Gateway) string {
	t.Helper()
	text, err := json.Marshal(g.teamShares.Dump())
	assert.NilError(t, err)
	return string(text)
}

// Guards against requests of services without priorities that are counted, refusals that aren't, and a
// setting that turns nothing off.
func TestOnlyPrioritizedServicesAreCounted(t *testing.T) {
	s := DefaultSettings()
	s.ID, s.FailureDomain, s.Dialect, s.Replicas, s.ClusterSecret = "a", "x", "platform", []string{"127.0.0.1:1"}, "a secret of the tests"
	assert.Assert(t, s.Admission.TeamShares, "off by default")
	g, err := New(s, log.NewNopLogger())
	assert.NilError(t, err)
	defer g.Stop()
	acquireAs(t, g, "red", nil)
	assert.Equal(t, countedTeams(t, g), "[]")
	priority := uint32(1)
	acquireAs(t, g, "red", &priority)
	assert.Equal(t, countedTeams(t, g), `[{"service":"s","contended":true,"source":"","over":null,"own":[{"team":"red","priority":1,"arrived":1,"admitted":0,"refused":1,`+
		`"causes":[{"cause":"upstreams-busy","count":1}]}],"totals":null,"totals_age_ms":0}]`)

	s.Admission.TeamShares = false
	off, err := New(s, log.NewNopLogger())
	assert.NilError(t, err)
	defer off.Stop()
	acquireAs(t, off, "red", &priority)
	assert.Equal(t, countedTeams(t, off), "[]")
}
