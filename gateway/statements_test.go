package gateway

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/backpressure"
	"github.com/snipereach/snipereach/dialect"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/route"
)

// Guards against a limit that is held against an upstream that didn't state it, or that ends with
// a message that no upstream's program has sent.
func TestStatementsBelongToTheInstanceThatAnswered(t *testing.T) {
	perS := 2.0
	for _, c := range []struct {
		name   string
		status int
		head   dialect.Answer
		want   string
	}{
		{"answer", 200, dialect.Answer{FromUpstream: true, Limit: &perS}, "asked"},
		{"refusal", 503, dialect.Answer{NotRun: true, Limit: &perS}, "asked"},
		{"another instance", 421, dialect.Answer{NotRun: true, Limit: &perS, Instance: "other"}, "other"},
		{"unknown instance", 421, dialect.Answer{NotRun: true, Limit: &perS}, ""},
		{"not an upstream's answer", 502, dialect.Answer{Limit: &perS}, ""},
	} {
		g := &Gateway{metrics: newGatewayMetrics()}
		g.backpressure = backpressure.NewNode(backpressure.Options{ID: "g", Log: log.NewNopLogger(), Now: kernel.BootClock(), Metrics: g.metrics.Metrics})
		a := &attempt{upstream: route.Upstream{ID: "asked"}, status: c.status, head: c.head}
		(&call{Gateway: g}).recordStatements(a)
		for _, id := range []string{"asked", "other"} {
			assert.Equal(t, g.backpressure.Known(id).Limited, id == c.want, c.name)
		}
		a.status, a.head = http.StatusServiceUnavailable, dialect.Answer{NotRun: true, Instance: c.want}
		(&call{Gateway: g}).recordStatements(a)
		assert.Equal(t, g.backpressure.Known(c.want).Limited, c.want != "", "a refusal has ended the limit")
		a.head = dialect.Answer{FromUpstream: true, Instance: c.want}
		(&call{Gateway: g}).recordStatements(a)
		assert.Assert(t, !g.backpressure.Known(c.want).Limited, "%s: the limit hasn't ended", c.name)
	}
}

// Guards against a line for each answer with a value that can't be read, and against memory that
// grows with them.
func TestUnreadableValuesAreReportedOnce(t *testing.T) {
	var u unreadableValues
	assert.Assert(t, u.first("a", `Limit: "x"`))
	assert.Assert(t, !u.first("a", `Limit: "y"`))
	assert.Assert(t, u.first("a", `Other: "y"`))
	for i := range 2 * maxUnreadableUpstreams {
		u.first(fmt.Sprint(i), `Limit: "x"`)
	}
	assert.Equal(t, len(u.logged), maxUnreadableUpstreams)
}
