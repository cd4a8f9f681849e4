package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/route"
)

// Guards against first attempts and retries at upstreams that have asked for fewer requests, and
// against requests that are queued while none takes them.
func TestUpstreamsUnderRestraintAreLeftOut(t *testing.T) {
	f := newServiceManager(&Settings{ID: "e"})
	f.gateways = func() int { return 1 }
	insts := ranksInDomains(4)
	assert.NilError(t, f.update(start, insts, evacuated(0)))
	g := f.services["llm"].groups["g"]
	held := restraints(nil).with(heldByRest, map[string]time.Duration{"r0": time.Second, "r1": 2 * time.Second})
	f.restraints = func() restraints { return held }
	counted := map[string]int{}
	f.onHeldBack = func(cause string) { counted[cause]++ }
	for range 100 {
		up, _, ok := f.pick(start, g, &route.Request{Exclude: map[string]bool{"r2": true}})
		assert.Assert(t, ok && up.ID == "r3", up.ID)
	}
	assert.Equal(t, counted[heldByRest], 200)
	assert.Assert(t, f.takesElsewhere("llm", "r2") && f.takesElsewhere("llm", "r3"))

	held = held.with(heldByLimit, map[string]time.Duration{"r0": 5 * time.Second, "r2": time.Millisecond, "r3": time.Minute})
	a := f.acquire(context.Background(), "llm", newArrival(time.Now()))
	assert.Assert(t, !a.ok && a.waited == 0)
	assert.Equal(t, a.reason, reasonUpstreamsHeld)
	assert.Equal(t, a.retryAfter, minRetryAfterHeld)
	assert.Assert(t, !f.takesElsewhere("llm", "r0"), "an attempt may be given up though none takes another")
	held["r2"] = restraint{heldByLimit, 3 * time.Second}
	a = f.acquire(context.Background(), "llm", newArrival(time.Now()))
	assert.Equal(t, a.retryAfter, 2*time.Second, fmt.Sprint(held))
}
