package backpressure

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/wire"
)

// Guards against messages that hold an upstream to a limit that nothing can mean.
func TestInvalidStatementsAreRejected(t *testing.T) {
	for _, m := range []*wire.UpstreamStatement{
		{}, {Upstream: strings.Repeat("x", maxIDBytes+1)}, {Upstream: "u", HeardBy: strings.Repeat("x", maxIDBytes+1)},
		{Upstream: "u", PerS: math.NaN()}, {Upstream: "u", PerS: -1}, {Upstream: "u", PerS: math.Inf(1)}, {Upstream: "u", PerS: MaxPerS + 1},
	} {
		assert.Assert(t, errors.Is(Check(m), ErrInvalidStatement), "%v", m)
	}
	assert.NilError(t, Check(&wire.UpstreamStatement{Upstream: "u", PerS: MaxPerS}))
}

// Guards against a field that is lost on the way, and against clocks of other hosts.
func TestStatementsSurviveTheirWay(t *testing.T) {
	sent := Statement{Upstream: "u", Incarnation: 3, Limited: true, PerS: 1.2, Leaving: true, HeardAt: start.Add(-time.Second), Source: "g"}
	other := start.Add(-30 * 24 * time.Hour)
	got := FromWire(other, ToWire(start, []Statement{sent})[0])
	sent.HeardAt = other.Add(-time.Second)
	assert.Equal(t, got, sent)
}
