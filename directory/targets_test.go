package directory

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/wire"
)

func nineteen() (addrs []string, known []*wire.DirectoryReplica) {
	for i := range 19 {
		addr := fmt.Sprintf("10.0.0.%d:7000", i)
		addrs = append(addrs, addr)
		known = append(known, &wire.DirectoryReplica{Address: addr, FailureDomain: fmt.Sprintf("hall-%d", i)})
	}
	return addrs, known
}

// A control host dies. What announced to it goes to the others, and no other
// host gets more than its share; after a while it is tried again.
func TestTargetsSpreadTheLoadOfALostReplica(t *testing.T) {
	addrs, known := nineteen()
	lost := addrs[3]
	before, after := map[string]int{}, map[string]int{}
	for i := range 5500 {
		x := NewTargets(fmt.Sprintf("upstream-%d", i), fmt.Sprintf("hall-%d", i%19), addrs)
		x.Learn(known)
		two := x.Pick(epoch, 2)
		assert.Equal(t, two[0], addrs[i%19], "own failure domain first")
		assert.Assert(t, two[0] != two[1])
		before[two[0]]++
		before[two[1]]++
		x.Failed(lost, epoch)
		for _, a := range x.Pick(epoch.Add(time.Second), 2) {
			after[a]++
		}
		assert.DeepEqual(t, x.Pick(epoch.Add(retryAfter), 2), two)
	}
	assert.Equal(t, after[lost], 0)
	mean := 2 * 5500 / 19
	for _, a := range addrs {
		assert.Assert(t, before[a] < mean*13/10, "%s has %d of a mean of %d", a, before[a], mean)
		assert.Assert(t, after[a] < mean*14/10, "%s has %d of a mean of %d", a, after[a], mean)
	}
}

// Every replica fails to answer. All are still tried: one may be back first.
func TestTargetsGoOnWhenNoneAnswers(t *testing.T) {
	addrs, _ := nineteen()
	x := NewTargets("upstream-1", "hall-1", addrs)
	for _, a := range addrs {
		x.Failed(a, epoch)
	}
	assert.Equal(t, len(x.Pick(epoch, 19)), 19)
}
