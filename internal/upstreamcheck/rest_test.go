package upstreamcheck

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a check of rests that lets the failure pass that it was written for, or that
// counts what the rule allows.
func TestRestCheck(t *testing.T) {
	refusals := []Refusal{{At: at(1), Gateway: "a", Rest: 3 * time.Second}}
	check := func(list ...Arrival) error { return CheckRests(refusals, list, nil) }
	assert.NilError(t, check(arrivals("a", 1.5, 2)...))
	assert.ErrorContains(t, check(arrivals("a", 1.5, 3)...), "3 requests from a")
	assert.NilError(t, check(arrivals("a", 1.49, 3)...), "the first is within the grace")
	assert.NilError(t, check(arrivals("a", 4, 9)...), "the rest is over")
	assert.NilError(t, check(arrivals("b", 2, 9)...), "b wasn't refused")
	excused := func(string, time.Time) bool { return true }
	assert.NilError(t, CheckRests(refusals, arrivals("a", 2, 9), excused))
}
