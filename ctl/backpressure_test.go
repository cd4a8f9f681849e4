package ctl_test

import (
	"context"
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/operators"
	"github.com/snipereach/snipereach/quickstart"
	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wire"
)

// Guards against operators who can't see why an upstream gets fewer requests than others: its limit, that
// it leaves, the rests that it asked for, with their age and source.
func TestBackpressureIsShown(t *testing.T) {
	s := start(t, quickstart.Options{})
	run := func(args ...string) string {
		code, out := runCtlAt(s, 0, args...)
		assert.Equal(t, code, 0, out)
		return out
	}
	var status operators.Status
	assert.NilError(t, json.NewDecoder(strings.NewReader(run("status", "-o", "json"))).Decode(&status))
	pool := transport.NewPool(transport.Security{Secret: []byte(quickstart.ClusterSecret)})
	defer pool.Close()
	ctx := context.Background()
	_, err := wire.NewDRPCBackpressureClient(pool.Conn(ctx, status.Replicas[0].Address)).Tell(ctx, &wire.TellStatementsRequest{
		Teller: "g1",
		Statements: []*wire.UpstreamStatement{
			{Upstream: "up1", Limited: true, PerS: 1.2, AgeMs: 4000, HeardBy: "g1"},
			{Upstream: "up2", Leaving: true, AgeMs: 2000, HeardBy: "g2"},
		},
		Rests: []*wire.UpstreamRest{{Upstream: "up3", LeftMs: 60_000}},
	})
	assert.NilError(t, err)
	lines := strings.Split(strings.TrimSpace(run("backpressure")), "\n")
	assert.Equal(t, len(lines), 4, lines)
	for i, want := range [][]string{{"UPSTREAM", "LIMIT", "LEAVES", "HEARD", "BY", "RESTS"}, {"up1", "1.2 a second", "4s ago", "g1"}, {"up2", "yes", "2s ago", "g2"}, {"up3", "g1: "}} {
		for _, text := range want {
			assert.Assert(t, strings.Contains(lines[i], text), "%q lacks %q", lines[i], text)
		}
	}
}
