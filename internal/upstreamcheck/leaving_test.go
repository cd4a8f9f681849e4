package upstreamcheck

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a check of leaving upstreams that lets the failure pass that it was written for,
// or that counts what the rule allows.
func TestLeavingCheck(t *testing.T) {
	check := func(list []Arrival, excused Excused) error {
		return CheckLeaving(map[string]time.Time{"a": at(1)}, 2*time.Second, list, excused)
	}
	assert.NilError(t, check(arrivals("a", 2, 9), nil))
	assert.ErrorContains(t, check(arrivals("a", 3.1, 1), nil), "through a 2.1s after")
	assert.NilError(t, check(arrivals("b", 9, 9), nil), "b hasn't passed it on")
	assert.NilError(t, check(arrivals("a", 9, 9), func(string, time.Time) bool { return true }))
}
