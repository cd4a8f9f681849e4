package route

import (
	"math/bits"
	"time"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

func init() {
	kernel.Register(kernel.Module{
		ID:  "route.prefix",
		Doc: "the longest cached prefix of the prompt, traded against load",
		New: func() any { return NewPrefixAffinity(DefaultPrefixSettings()) },
	})
}

// PrefixSettings are the settings of PrefixAffinity.
type PrefixSettings struct {
	// RandomChoices is the number of random upstreams that are compared besides those that
	// hold a prefix.
	RandomChoices int
	// MaxHolders is the maximum number of upstreams with the longest cached prefixes
	// that are compared.
	MaxHolders int
	// MaxBlocks is the maximum number of blocks in the prefix index.
	MaxBlocks int
	// PrefixBonus is the additional utilization, as a share of its slots, that is accepted of
	// an upstream that holds the whole prompt.
	PrefixBonus float64
}

// DefaultPrefixSettings returns the settings of the plug-in "prefix".
func DefaultPrefixSettings() PrefixSettings {
	return PrefixSettings{RandomChoices: defaultChoices, MaxHolders: 4, MaxBlocks: 1 << 17, PrefixBonus: 0.5}
}

// PrefixAffinity is a balancer with prefix-cache affinity: it prefers upstreams that hold a long
// prefix of the prompt in their cache, unless they are too heavily loaded.
type PrefixAffinity struct {
	pool
	settings PrefixSettings
	index    prefixIndex
	// cacheSeqs holds the sequence number of the last cache event, by the upstream's bit.
	cacheSeqs [MaxCandidates]uint64
	// depths holds the number of prefix blocks that an upstream holds, by its bit. It is
	// only valid for the upstreams in the mask that matchPrefix last returned.
	depths [MaxCandidates]int
	// byBit holds the candidates by their bits.
	byBit [MaxCandidates]*candidate
	// holders is the buffer of longestHolders.
	holders []*candidate
}

// NewPrefixAffinity creates a PrefixAffinity balancer.
func NewPrefixAffinity(s PrefixSettings) *PrefixAffinity {
	return &PrefixAffinity{pool: newPool(), settings: s, index: newPrefixIndex(s.MaxBlocks)}
}

// SetUpstreams implements Balancer.
func (b *PrefixAffinity) SetUpstreams(now time.Time, ups []Upstream) {
	if released := b.setUpstreams(now, ups); released != 0 {
		b.index.removeUpstreams(released)
		for m := released; m != 0; m &= m - 1 {
			b.cacheSeqs[bits.TrailingZeros64(m)] = 0
		}
	}
	b.byBit = [MaxCandidates]*candidate{}
	for _, s := range b.candidates {
		b.byBit[s.bit] = s
	}
}

// ApplyLoadReport implements Balancer.
func (b *PrefixAffinity) ApplyLoadReport(now time.Time, id string, incarnation uint64, l *wire.Load) {
	b.applyReport(now, id, incarnation, l)
}

// ApplyCacheEvents implements Balancer.
func (b *PrefixAffinity) ApplyCacheEvents(_ time.Time, id string, incarnation uint64, events []*wire.CacheEvent) {
	s := b.byID[id]
	if s == nil || s.Incarnation != incarnation {
		return
	}
	mask := uint64(1) << s.bit
	for _, e := range events {
		last := b.cacheSeqs[s.bit]
		if e.Seq <= last {
			continue
		}
		b.cacheSeqs[s.bit] = e.Seq
		// A lost event may have removed any block, so all blocks of the upstream are
		// dropped. The index is only a hint: a missing block costs a prefill, a wrong
		// one may attract requests to a loaded upstream for nothing.
		if e.Cleared || last != 0 && e.Seq != last+1 {
			b.index.removeUpstreams(mask)
		}
		for _, block := range e.Removed {
			b.index.remove(block, mask)
		}
		for _, block := range e.Added {
			b.index.add(block, mask)
		}
	}
}

// Pick implements Balancer.
func (b *PrefixAffinity) Pick(now time.Time, r *Request) (Choice, bool) {
	holders := b.matchPrefix(r.Prefix)
	list := b.sample(now, r, b.settings.RandomChoices)
	mean := meanLoadPerSlot(list)
	c := selection{queueInPlace: mean >= queueInPlaceLoad && haveShortRuns(list)}
	for _, s := range list {
		c.add(s, b.projectedUtilization(now, s, mean)-b.prefixBonus(r, s, holders))
	}
	for _, s := range b.longestHolders(now, r, holders) {
		c.add(s, b.projectedUtilization(now, s, mean)-b.prefixBonus(r, s, holders))
	}
	choice, ok := b.startBest(now, r, &c)
	if !ok {
		return choice, false
	}
	// The upstream will cache the prompt, whether or not it sends cache events.
	for _, block := range r.Prefix {
		b.index.add(block, 1<<c.best.bit)
	}
	return choice, true
}

// matchPrefix returns the mask of the upstreams that hold at least the first block, and
// sets depths for them.
func (b *PrefixAffinity) matchPrefix(blocks []uint64) (holders uint64) {
	mask := ^uint64(0)
	for i, block := range blocks {
		next := mask & b.index.holders(block)
		if i == 0 {
			holders = next
		} else {
			b.setDepth(mask&^next, i)
		}
		mask = next
		if mask == 0 {
			return holders
		}
	}
	if len(blocks) > 0 {
		b.setDepth(mask, len(blocks))
	}
	return holders
}

func (b *PrefixAffinity) setDepth(mask uint64, depth int) {
	for ; mask != 0; mask &= mask - 1 {
		b.depths[bits.TrailingZeros64(mask)] = depth
	}
}

// longestHolders returns the usable upstreams with the longest cached prefixes, at most
// MaxHolders. The slice is valid until the next call.
func (b *PrefixAffinity) longestHolders(now time.Time, r *Request, holders uint64) []*candidate {
	b.holders = b.holders[:0]
	for m := holders; m != 0; m &= m - 1 {
		s := b.byBit[bits.TrailingZeros64(m)]
		if s == nil || r.Exclude[s.ID] || !b.usable(now, s) {
			continue
		}
		b.addHolder(s)
	}
	return b.holders
}

func (b *PrefixAffinity) addHolder(s *candidate) {
	if len(b.holders) < b.settings.MaxHolders {
		b.holders = append(b.holders, s)
		return
	}
	shortest := 0
	for i, h := range b.holders {
		if b.depths[h.bit] < b.depths[b.holders[shortest].bit] {
			shortest = i
		}
	}
	if b.depths[s.bit] > b.depths[b.holders[shortest].bit] {
		b.holders[shortest] = s
	}
}

// prefixBonus returns the additional utilization that is accepted of an upstream for
// the part of the prompt that it holds.
func (b *PrefixAffinity) prefixBonus(r *Request, s *candidate, holders uint64) float64 {
	if holders&(1<<s.bit) == 0 {
		return 0
	}
	return b.settings.PrefixBonus * float64(b.depths[s.bit]) / float64(len(r.Prefix))
}

// Done implements Balancer.
func (b *PrefixAffinity) Done(now time.Time, up Upstream, r *Request, res Result) {
	b.finishAttempt(now, up, r, res)
}
