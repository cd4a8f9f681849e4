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
		l := testLoad(1, requests+i)
		l.RunUs = uint32(run.Microseconds())
		b.ApplyLoadReport(testStart, fmt.Sprintf("up-%d", i), 1, l)
	}
}

// QueueCandidates returns the least loaded upstreams that aren't excluded, each once, and counts
// nothing as in flight.
func TestQueueCandidatesAreLeastLoaded(t *testing.T) {
	b := newLeastLoaded(8)
	reportAll(b, 8, 0, time.Second)
	candidates := b.QueueCandidates(testStart, &Request{Exclude: map[string]bool{"up-0": true}}, 3)
	var ids []string
	for _, up := range candidates {
		ids = append(ids, up.ID)
		assert.Equal(t, b.byID[up.ID].inflight, 0)
	}
	assert.DeepEqual(t, ids, []string{"up-1", "up-2", "up-3"})
}

// Short runs must not reserve slots at several upstreams, which would waste capacity. In
// a saturated pool they queue at once instead of looking for a free slot.
func TestShortRunsDoNotReserveSlots(t *testing.T) {
	b := newLeastLoaded(4)
	reportAll(b, 4, 2, 20*time.Millisecond)
	assert.Equal(t, len(b.QueueCandidates(testStart, &Request{}, 4)), 0)
	c, _ := b.Pick(testStart, &Request{})
	assert.Assert(t, c.NoWait, "free slots elsewhere")
	b = newLeastLoaded(4)
	reportAll(b, 4, 9, 20*time.Millisecond)
	c, _ = b.Pick(testStart, &Request{})
	assert.Assert(t, !c.NoWait)
}

// Take must reject an upstream that has restarted or is leaving since it reserved a slot.
func TestTakeRejectsGoneUpstream(t *testing.T) {
	b := newLeastLoaded(2)
	up := b.QueueCandidates(testStart, &Request{}, 1)[0]
	ups := testUpstreams(2)
	for i := range ups {
		ups[i].Incarnation = 2
	}
	b.SetUpstreams(testStart, ups)
	assert.Assert(t, !b.StartReserved(testStart, up, &Request{}))
	up.Incarnation = 2
	assert.Assert(t, b.StartReserved(testStart, up, &Request{}))
	assert.Equal(t, b.byID[up.ID].inflight, 1)
	b.byID[up.ID].leaving = true
	assert.Assert(t, !b.StartReserved(testStart, up, &Request{}))
}
