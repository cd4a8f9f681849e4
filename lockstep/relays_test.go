package lockstep

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Every rank of a large group is called through a relay in its own failure domain, with about
// sqrt(n) calls in total.
func TestRelaysStayInTheirFailureDomain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), maxDirectRanks+1, 400).Draw(t, "domains")
		r := NewRelays(domains)
		now := time.Unix(100, 0)
		for rank, domain := range domains {
			part, ok := r.PartOf(rank)
			assert.Assert(t, ok)
			via, ok := r.RelayFor(now, part)
			assert.Assert(t, ok)
			assert.Equal(t, domains[via], domain)
		}
		assert.Assert(t, r.CallCount()*r.CallCount() <= 4*len(domains)+10*r.CallCount(), "%d calls for %d ranks", r.CallCount(), len(domains))
	})
}

func TestRelayCallsOfLargeGroup(t *testing.T) {
	var domains []string
	for i := range 192 {
		domains = append(domains, fmt.Sprint("d", i%5))
	}
	assert.Equal(t, NewRelays(domains).CallCount(), 15)
}

func TestSmallGroupsAreCalledDirectly(t *testing.T) {
	r := NewRelays(make([]string, maxDirectRanks))
	_, ok := r.PartOf(3)
	assert.Assert(t, !ok)
	assert.Equal(t, r.CallCount(), maxDirectRanks)
}

// A failed relay is replaced by another rank of its part. If all have failed, the ranks are
// called directly; a relay is used again after relayRetryDelay.
func TestFailedRelayIsReplaced(t *testing.T) {
	domains := make([]string, 25)
	r := NewRelays(domains)
	now := time.Unix(100, 0)
	part, _ := r.PartOf(0)
	first, _ := r.RelayFor(now, part)
	r.MarkFailed(now, first)
	second, ok := r.RelayFor(now, part)
	assert.Assert(t, ok)
	assert.Assert(t, second != first)
	for {
		via, ok := r.RelayFor(now, part)
		if !ok {
			break
		}
		r.MarkFailed(now, via)
	}
	again, ok := r.RelayFor(now.Add(relayRetryDelay), part)
	assert.Assert(t, ok)
	assert.Equal(t, again, first)
}
