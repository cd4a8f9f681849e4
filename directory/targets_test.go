package directory

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/wire"
)

func testReplicas() (addrs []string, known []*wire.DirectoryReplica) {
	for i := range 19 {
		addr := fmt.Sprintf("10.0.0.%d:7000", i)
		addrs = append(addrs, addr)
		known = append(known, &wire.DirectoryReplica{Address: addr, FailureDomain: fmt.Sprintf("hall-%d", i)})
	}
	return addrs, known
}

// When a replica is lost, its announcements are spread over the others, none of which gets
// much more than its share, and the lost one is tried again after failureBackoff.
func TestTargetsSpreadLoadOfLostReplica(t *testing.T) {
	addrs, known := testReplicas()
	lost := addrs[3]
	before, after := map[string]int{}, map[string]int{}
	for i := range 5500 {
		x := NewTargets(fmt.Sprintf("upstream-%d", i), fmt.Sprintf("hall-%d", i%19), addrs)
		x.UpdateReplicas(known)
		two := x.Pick(testStart, 2)
		assert.Equal(t, two[0], addrs[i%19], "own failure domain first")
		assert.Assert(t, two[0] != two[1])
		before[two[0]]++
		before[two[1]]++
		x.MarkFailed(lost, testStart)
		for _, a := range x.Pick(testStart.Add(time.Second), 2) {
			after[a]++
		}
		assert.DeepEqual(t, x.Pick(testStart.Add(failureBackoff), 2), two)
	}
	assert.Equal(t, after[lost], 0)
	mean := 2 * 5500 / 19
	for _, a := range addrs {
		assert.Assert(t, before[a] < mean*13/10, "%s has %d of a mean of %d", a, before[a], mean)
		assert.Assert(t, after[a] < mean*14/10, "%s has %d of a mean of %d", a, after[a], mean)
	}
}

// If no replica answers, all are still returned, as any may be the first to recover.
func TestTargetsReturnFailedReplicasWhenNoneAnswers(t *testing.T) {
	addrs, _ := testReplicas()
	x := NewTargets("upstream-1", "hall-1", addrs)
	for _, a := range addrs {
		x.MarkFailed(a, testStart)
	}
	assert.Equal(t, len(x.Pick(testStart, 19)), 19)
}
