package route

import (
	"math/bits"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/snipereach/snipereach/wire"
)

func newTestPrefix(n int) *PrefixAffinity {
	b := NewPrefixAffinity(DefaultPrefixSettings())
	b.SetEntryInfo(EntryInfo{ID: "entry-1", FailureDomain: "none", Seed: 1})
	b.SetUpstreams(testStart, testUpstreams(n))
	for _, u := range testUpstreams(n) {
		b.ApplyLoadReport(testStart, u.ID, 1, testLoad(1, 2))
	}
	return b
}

func cacheEvents(seq uint64, added ...uint64) []*wire.CacheEvent {
	return []*wire.CacheEvent{{Seq: seq, Added: added}}
}

// pickAndEnd picks an upstream and ends the attempt at once, leaving the load unchanged.
func pickAndEnd(t *testing.T, b *PrefixAffinity, blocks ...uint64) string {
	t.Helper()
	r := &Request{Prefix: blocks}
	c, ok := b.Pick(testStart, r)
	assert.Assert(t, ok)
	b.Done(testStart, c.Upstream, r, Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN})
	return c.ID
}

func TestLongestCachedPrefixWins(t *testing.T) {
	b := newTestPrefix(8)
	b.ApplyCacheEvents(testStart, "up-3", 1, cacheEvents(1, 1, 2))
	b.ApplyCacheEvents(testStart, "up-5", 1, cacheEvents(1, 1, 2, 3))
	assert.Equal(t, pickAndEnd(t, b, 1, 2, 3, 4), "up-5")
}

// A cached prefix must not attract a request to an upstream with a long queue.
func TestQueueOutweighsCachedPrefix(t *testing.T) {
	b := newTestPrefix(8)
	b.ApplyCacheEvents(testStart, "up-3", 1, cacheEvents(1, 1, 2))
	b.ApplyLoadReport(testStart, "up-3", 1, testLoad(2, 30))
	assert.Assert(t, pickAndEnd(t, b, 1, 2) != "up-3")
}

// Without cache events, a conversation must still return to the upstream of its last
// turn.
func TestPrefixAffinityWithoutCacheEvents(t *testing.T) {
	b := newTestPrefix(8)
	first := pickAndEnd(t, b, 7, 8)
	for range 20 {
		assert.Equal(t, pickAndEnd(t, b, 7, 8, 9), first)
	}
}

// A gap in the cache events drops all earlier blocks of that upstream, since the lost
// events may have removed any of them. Later events and other upstreams are unaffected.
func TestCacheEventGapDropsBlocksOfUpstream(t *testing.T) {
	b := newTestPrefix(8)
	b.ApplyCacheEvents(testStart, "up-3", 1, cacheEvents(1, 1, 2))
	b.ApplyCacheEvents(testStart, "up-4", 1, cacheEvents(1, 5))
	b.ApplyCacheEvents(testStart, "up-3", 1, cacheEvents(3, 9))
	up3, up4 := uint64(1)<<b.byID["up-3"].bit, uint64(1)<<b.byID["up-4"].bit
	assert.Equal(t, b.index.holders(1)&up3, uint64(0))
	assert.Equal(t, b.index.holders(9)&up3, up3)
	assert.Equal(t, b.index.holders(5)&up4, up4)
	_, ok := b.Pick(testStart, &Request{Prefix: []uint64{1, 2}})
	assert.Assert(t, ok)
}

// A removed block must not come back by a duplicate or late cache event.
func TestStaleCacheEventsAreIgnored(t *testing.T) {
	b := newTestPrefix(2)
	b.ApplyCacheEvents(testStart, "up-0", 1, cacheEvents(1, 1))
	b.ApplyCacheEvents(testStart, "up-0", 1, []*wire.CacheEvent{{Seq: 2, Removed: []uint64{1}}})
	b.ApplyCacheEvents(testStart, "up-0", 1, cacheEvents(1, 1))
	b.ApplyCacheEvents(testStart, "up-0", 7, cacheEvents(3, 1))
	assert.Equal(t, b.index.holders(1), uint64(0))
}

// An engine that restarts or reports a cleared cache no longer holds earlier blocks.
func TestRestartAndClearDropBlocks(t *testing.T) {
	b := newTestPrefix(2)
	b.ApplyCacheEvents(testStart, "up-0", 1, cacheEvents(1, 1))
	b.ApplyCacheEvents(testStart, "up-1", 1, cacheEvents(1, 1))
	ups := testUpstreams(2)
	ups[0].Incarnation = 2
	b.SetUpstreams(testStart, ups)
	assert.Equal(t, b.index.holders(1), uint64(1)<<b.byID["up-1"].bit)
	b.ApplyCacheEvents(testStart, "up-0", 2, cacheEvents(1, 4))
	assert.Assert(t, b.index.holders(4) != 0)
	b.ApplyCacheEvents(testStart, "up-1", 1, []*wire.CacheEvent{{Seq: 2, Cleared: true, Added: []uint64{6}}})
	assert.Equal(t, b.index.holders(1), uint64(0))
	assert.Equal(t, b.index.holders(6), uint64(1)<<b.byID["up-1"].bit)
}

// The index must agree with an unbounded map until it is full, never report a holder
// that the map doesn't have, and never exceed its bound.
func TestPrefixIndexMatchesMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 64
		x, model := newPrefixIndex(limit), map[uint64]uint64{}
		blocks := rapid.Uint64Range(0, uint64(rapid.SampledFrom([]int{limit / 2, 500}).Draw(t, "blocks")-1))
		small := true
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			block, mask := blocks.Draw(t, "block"), rapid.Uint64Range(1, 15).Draw(t, "mask")
			small = small && block < limit/2
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1, 2:
				x.add(block, mask)
				model[block] |= mask
			case 3:
				x.remove(block, mask)
				model[block] &^= mask
			case 4:
				x.removeUpstreams(mask)
				for b := range model {
					model[b] &^= mask
				}
			}
			assert.Assert(t, x.size() <= limit)
			got := x.holders(block)
			assert.Equal(t, got&^model[block], uint64(0), "upstream that does not hold the block")
			if small {
				assert.Equal(t, got, model[block])
			}
		}
	})
}

// The index must stay within its bound and keep the most recently added blocks.
func TestPrefixIndexIsBounded(t *testing.T) {
	const limit = 64
	x := newPrefixIndex(limit)
	for block := range uint64(10 * limit) {
		x.add(block, 1)
		assert.Assert(t, x.size() <= limit)
		for back := range min(block, limit/2-1) {
			assert.Equal(t, x.holders(block-back), uint64(1))
		}
	}
}

// matchPrefix must find the same depths as a search of each upstream, block by block.
func TestMatchPrefixAgainstLinearSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newTestPrefix(6)
		for u, s := range b.candidates {
			for _, block := range rapid.SliceOfN(rapid.Uint64Range(0, 5), 0, 5).Draw(t, "held") {
				b.index.add(block, 1<<b.candidates[u].bit)
				_ = s
			}
		}
		prompt := rapid.SliceOfN(rapid.Uint64Range(0, 5), 0, 6).Draw(t, "prompt")
		holders := b.matchPrefix(prompt)
		for _, s := range b.candidates {
			depth := 0
			for depth < len(prompt) && b.index.holders(prompt[depth])&(1<<s.bit) != 0 {
				depth++
			}
			assert.Equal(t, holders&(1<<s.bit) != 0, depth > 0)
			if depth > 0 {
				assert.Equal(t, b.depths[s.bit], depth)
			}
		}
		assert.Assert(t, bits.OnesCount64(holders) <= len(b.candidates))
	})
}

func TestPrefixHashesAreChained(t *testing.T) {
	common := strings.Repeat("a", 2*PrefixBlockBytes)
	x := PrefixHashes("m", common+strings.Repeat("b", PrefixBlockBytes))
	y := PrefixHashes("m", common+strings.Repeat("c", PrefixBlockBytes+1))
	assert.Equal(t, len(x), 3)
	assert.DeepEqual(t, x[:2], y[:2])
	assert.Assert(t, x[2] != y[2])
	assert.Assert(t, PrefixHashes("other", common)[0] != x[0])
	assert.Equal(t, len(PrefixHashes("m", strings.Repeat("a", 100*PrefixBlockBytes))), MaxPrefixBlocks)
}
