package route

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// reportAll reports a number of requests and a run time for all upstreams.
func reportAll(b *LeastLoaded, n, requests int, run time.Duration) {
	for i := range n {
		l := load(1, requests+i)
		l.RunUs = uint32(run.Microseconds())
		b.Report(start, fmt.Sprintf("up-%d", i), 1, l)
	}
}

// A request waits at the upstreams with least work, each once; nothing counts as
// in flight before one of them has a slot.
func TestPlacesAreTheLeastBusy(t *testing.T) {
	b := newLeastLoaded(8)
	reportAll(b, 8, 0, time.Second)
	places := b.Places(start, &Request{Exclude: map[string]bool{"up-0": true}}, 3)
	var ids []string
	for _, up := range places {
		ids = append(ids, up.ID)
		assert.Equal(t, b.byID[up.ID].inflight, 0)
	}
	assert.DeepEqual(t, ids, []string{"up-1", "up-2", "up-3"})
}

// Signals run for 20 ms. Holding a slot for the way to the entry and back would
// take a tenth of a full service, and refuse signals that it could have carried:
// they queue, and do not look for free slots that are too rare.
func TestShortRunsDontHoldSlots(t *testing.T) {
	b := newLeastLoaded(4)
	reportAll(b, 4, 2, 20*time.Millisecond)
	assert.Equal(t, len(b.Places(start, &Request{}, 4)), 0)
	c, _ := b.Pick(start, &Request{})
	assert.Assert(t, c.NoWait, "there are free slots elsewhere")
	b = newLeastLoaded(4)
	reportAll(b, 4, 9, 20*time.Millisecond)
	c, _ = b.Pick(start, &Request{})
	assert.Assert(t, !c.NoWait)
}

// The upstream that offers a slot has started again, or is leaving. The request
// must not be sent to it.
func TestSlotOfAnUpstreamThatIsGoneIsNotTaken(t *testing.T) {
	b := newLeastLoaded(2)
	up := b.Places(start, &Request{}, 1)[0]
	ups := upstreams(2)
	for i := range ups {
		ups[i].Incarnation = 2
	}
	b.Update(start, ups)
	assert.Assert(t, !b.Take(start, up, &Request{}))
	up.Incarnation = 2
	assert.Assert(t, b.Take(start, up, &Request{}))
	assert.Equal(t, b.byID[up.ID].inflight, 1)
	b.byID[up.ID].leaving = true
	assert.Assert(t, !b.Take(start, up, &Request{}))
}
