package backpressure

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/wire"
)

// Guards against operators who are shown an old statement, or one upstream twice, when several
// replicas tell them.
func TestViewsJoinWhatReplicasTell(t *testing.T) {
	statements := []*wire.UpstreamStatement{
		{Upstream: "b", Limited: true, PerS: 1, AgeMs: 900, HeardBy: "g1"},
		{Upstream: "b", Limited: true, PerS: 2, AgeMs: 100, HeardBy: "g2"},
		{Upstream: "b", AgeMs: 500, HeardBy: "g3"},
		{Upstream: "ended", AgeMs: 500, HeardBy: "g3"},
		{Upstream: "c", Leaving: true, AgeMs: 7, HeardBy: "g1"},
	}
	rests := []*wire.UpstreamRest{
		{Upstream: "a", Gateway: "g2", LeftMs: 100}, {Upstream: "a", Gateway: "g1", LeftMs: 50}, {Upstream: "a", Gateway: "g2", LeftMs: 300},
	}
	assert.DeepEqual(t, Views(statements, rests), []View{
		{Upstream: "a", Rests: []RestView{{"g1", 50}, {"g2", 300}}},
		{Upstream: "b", Limited: true, PerS: 2, AgeMS: 100, HeardBy: "g2"},
		{Upstream: "c", Leaving: true, AgeMS: 7, HeardBy: "g1"},
	})
}
