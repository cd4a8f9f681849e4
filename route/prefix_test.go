package route

import (
	"math/bits"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/snipereach/snipereach/wire"
)

func newTestPrefix(n int) *Prefix {
	b := NewPrefix(DefaultPrefixSettings())
	b.SetPlace(Place{Entry: "entry-1", FailureDomain: "none", Seed: 1})
	b.Update(start, upstreams(n))
	for _, u := range upstreams(n) {
		b.Report(start, u.ID, 1, load(1, 2))
	}
	return b
}

func events(seq uint64, added ...uint64) []*wire.CacheEvent {
	return []*wire.CacheEvent{{Seq: seq, Added: added}}
}

// pickOne picks and ends at once, so that load stays as it is.
func pickOne(t *testing.T, b *Prefix, blocks ...uint64) string {
	t.Helper()
	r := &Request{Prefix: blocks}
	c, ok := b.Pick(start, r)
	assert.Assert(t, ok)
	b.Done(start, c.Upstream, r, Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN})
	return c.ID
}

func TestLongestCachedPrefixWins(t *testing.T) {
	b := newTestPrefix(8)
	b.Cache(start, "up-3", 1, events(1, 1, 2))
	b.Cache(start, "up-5", 1, events(1, 1, 2, 3))
	assert.Equal(t, pickOne(t, b, 1, 2, 3, 4), "up-5")
}

// The prompt is cached where work waits. A cache saves a part of one request; it
// is not worth a place at the end of a long queue.
func TestWaitingWorkOutweighsCache(t *testing.T) {
	b := newTestPrefix(8)
	b.Cache(start, "up-3", 1, events(1, 1, 2))
	b.Report(start, "up-3", 1, load(2, 30))
	assert.Assert(t, pickOne(t, b, 1, 2) != "up-3")
}

// No engine publishes events: a conversation still comes back to where its
// last turn went.
func TestOwnRoutingIsAHint(t *testing.T) {
	b := newTestPrefix(8)
	first := pickOne(t, b, 7, 8)
	for range 20 {
		assert.Equal(t, pickOne(t, b, 7, 8, 9), first)
	}
}

// Events are lost, then more arrive. The lost ones may have removed any block,
// so all that was known of the upstream goes; what comes after the gap counts.
// Requests are routed all the time.
func TestGapDropsHintsOnly(t *testing.T) {
	b := newTestPrefix(8)
	b.Cache(start, "up-3", 1, events(1, 1, 2))
	b.Cache(start, "up-4", 1, events(1, 5))
	b.Cache(start, "up-3", 1, events(3, 9))
	up3, up4 := uint64(1)<<b.byID["up-3"].bit, uint64(1)<<b.byID["up-4"].bit
	assert.Equal(t, b.index.holders(1)&up3, uint64(0))
	assert.Equal(t, b.index.holders(9)&up3, up3)
	assert.Equal(t, b.index.holders(5)&up4, up4)
	_, ok := b.Pick(start, &Request{Prefix: []uint64{1, 2}})
	assert.Assert(t, ok)
}

// Doubled and late events come after newer ones: a removed block must not come
// back.
func TestOldEventsChangeNothing(t *testing.T) {
	b := newTestPrefix(2)
	b.Cache(start, "up-0", 1, events(1, 1))
	b.Cache(start, "up-0", 1, []*wire.CacheEvent{{Seq: 2, Removed: []uint64{1}}})
	b.Cache(start, "up-0", 1, events(1, 1))
	b.Cache(start, "up-0", 7, events(3, 1))
	assert.Equal(t, b.index.holders(1), uint64(0))
}

// An engine starts again with an empty cache, or says that it dropped all.
func TestRestartAndClearForgetBlocks(t *testing.T) {
	b := newTestPrefix(2)
	b.Cache(start, "up-0", 1, events(1, 1))
	b.Cache(start, "up-1", 1, events(1, 1))
	ups := upstreams(2)
	ups[0].Incarnation = 2
	b.Update(start, ups)
	assert.Equal(t, b.index.holders(1), uint64(1)<<b.byID["up-1"].bit)
	b.Cache(start, "up-0", 2, events(1, 4))
	assert.Assert(t, b.index.holders(4) != 0)
	b.Cache(start, "up-1", 1, []*wire.CacheEvent{{Seq: 2, Cleared: true, Added: []uint64{6}}})
	assert.Equal(t, b.index.holders(1), uint64(0))
	assert.Equal(t, b.index.holders(6), uint64(1)<<b.byID["up-1"].bit)
}

// The index agrees with an unbounded one while it is not full, and is never
// larger than its bound.
func TestPrefixIndexAgainstMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 64
		x, naive := newPrefixIndex(limit), map[uint64]uint64{}
		blocks := rapid.Uint64Range(0, uint64(rapid.SampledFrom([]int{limit / 2, 500}).Draw(t, "blocks")-1))
		small := true
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			block, mask := blocks.Draw(t, "block"), rapid.Uint64Range(1, 15).Draw(t, "mask")
			small = small && block < limit/2
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1, 2:
				x.add(block, mask)
				naive[block] |= mask
			case 3:
				x.remove(block, mask)
				naive[block] &^= mask
			case 4:
				x.forget(mask)
				for b := range naive {
					naive[b] &^= mask
				}
			}
			assert.Assert(t, x.size() <= limit)
			got := x.holders(block)
			assert.Equal(t, got&^naive[block], uint64(0), "a holder that never was")
			if small {
				assert.Equal(t, got, naive[block])
			}
		}
	})
}

// Prompts come without end. The index stays within its bound and knows the
// latest of them.
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

// The depth that match finds is that of a search block by block.
func TestMatchAgainstSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newTestPrefix(6)
		for u, s := range b.list {
			for _, block := range rapid.SliceOfN(rapid.Uint64Range(0, 5), 0, 5).Draw(t, "held") {
				b.index.add(block, 1<<b.list[u].bit)
				_ = s
			}
		}
		prompt := rapid.SliceOfN(rapid.Uint64Range(0, 5), 0, 6).Draw(t, "prompt")
		held := b.match(prompt)
		for _, s := range b.list {
			depth := 0
			for depth < len(prompt) && b.index.holders(prompt[depth])&(1<<s.bit) != 0 {
				depth++
			}
			assert.Equal(t, held&(1<<s.bit) != 0, depth > 0)
			if depth > 0 {
				assert.Equal(t, b.depths[s.bit], depth)
			}
		}
		assert.Assert(t, bits.OnesCount64(held) <= len(b.list))
	})
}

func TestPrefixHashesChain(t *testing.T) {
	common := strings.Repeat("a", 2*PrefixBlock)
	x := PrefixHashes("m", common+strings.Repeat("b", PrefixBlock))
	y := PrefixHashes("m", common+strings.Repeat("c", PrefixBlock+1))
	assert.Equal(t, len(x), 3)
	assert.DeepEqual(t, x[:2], y[:2])
	assert.Assert(t, x[2] != y[2])
	assert.Assert(t, PrefixHashes("other", common)[0] != x[0])
	assert.Equal(t, len(PrefixHashes("m", strings.Repeat("a", 100*PrefixBlock))), MaxPrefix)
}
