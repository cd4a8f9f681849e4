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
		Doc: "the longest cached prefix of the prompt, traded against waiting work",
		New: func() any { return NewPrefix(DefaultPrefixSettings()) },
	})
}

// PrefixSettings of the plug-in "prefix".
type PrefixSettings struct {
	// Choices is how many random upstreams are compared besides those that
	// hold a prefix.
	Choices int
	// MaxHolders is how many holders of the longest prefixes are compared.
	MaxHolders int
	// MaxBlocks bounds the memory of blocks, over all upstreams.
	MaxBlocks int
	// Worth is how much busier, in shares of its slots, an upstream may be if it
	// holds the whole prompt.
	Worth float64
}

// DefaultPrefixSettings are those of a pool row that names the plug-in.
func DefaultPrefixSettings() PrefixSettings {
	return PrefixSettings{Choices: defaultChoices, MaxHolders: 4, MaxBlocks: 1 << 17, Worth: 0.5}
}

// Prefix routes to where a prompt's beginning is cached, unless work waits there.
type Prefix struct {
	pool
	settings PrefixSettings
	index    prefixIndex
	// seqs holds the last cache event of each upstream, by its bit.
	seqs [MaxCandidates]uint64
	// depths is how many blocks each upstream holds, by its bit; valid during Pick.
	depths  [MaxCandidates]int
	byBit   [MaxCandidates]*state
	holders []*state
}

// NewPrefix makes the plug-in.
func NewPrefix(s PrefixSettings) *Prefix {
	return &Prefix{pool: newPool(), settings: s, index: newPrefixIndex(s.MaxBlocks)}
}

// Update implements Balancer.
func (b *Prefix) Update(now time.Time, ups []Upstream) {
	if lost := b.update(now, ups); lost != 0 {
		b.index.forget(lost)
		for m := lost; m != 0; m &= m - 1 {
			b.seqs[bits.TrailingZeros64(m)] = 0
		}
	}
	b.byBit = [MaxCandidates]*state{}
	for _, s := range b.list {
		b.byBit[s.bit] = s
	}
}

// Report implements Balancer.
func (b *Prefix) Report(now time.Time, id string, incarnation uint64, l *wire.Load) {
	b.report(now, id, incarnation, l)
}

// Cache implements Balancer.
func (b *Prefix) Cache(_ time.Time, id string, incarnation uint64, events []*wire.CacheEvent) {
	s := b.byID[id]
	if s == nil || s.Incarnation != incarnation {
		return
	}
	mask := uint64(1) << s.bit
	for _, e := range events {
		last := b.seqs[s.bit]
		if e.Seq <= last {
			continue
		}
		b.seqs[s.bit] = e.Seq
		// An event that was lost may have removed any block. What was known of
		// the upstream is dropped, own routing included: a wrong hint draws
		// requests to a busy upstream for nothing, a missing one only costs a
		// prefill. Answers don't depend on hints.
		if e.Cleared || last != 0 && e.Seq != last+1 {
			b.index.forget(mask)
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
func (b *Prefix) Pick(now time.Time, r *Request) (Choice, bool) {
	held := b.match(r.Prefix)
	list := b.sample(now, r, b.settings.Choices)
	usual := usual(list)
	c := contest{queue: usual >= crowded && short(list)}
	for _, s := range list {
		c.enter(s, b.busy(now, s, usual)-b.worth(r, s, held))
	}
	for _, s := range b.longest(now, r, held) {
		c.enter(s, b.busy(now, s, usual)-b.worth(r, s, held))
	}
	choice, ok := b.choose(now, r, &c)
	if !ok {
		return choice, false
	}
	// What was sent there will be cached there, whether events tell so or not.
	for _, block := range r.Prefix {
		b.index.add(block, 1<<c.best.bit)
	}
	return choice, true
}

// match sets depths and returns the mask of upstreams that hold any prefix.
func (b *Prefix) match(blocks []uint64) (held uint64) {
	mask := ^uint64(0)
	for i, block := range blocks {
		next := mask & b.index.holders(block)
		if i == 0 {
			held = next
		} else {
			b.setDepth(mask&^next, i)
		}
		mask = next
		if mask == 0 {
			return held
		}
	}
	if len(blocks) > 0 {
		b.setDepth(mask, len(blocks))
	}
	return held
}

func (b *Prefix) setDepth(mask uint64, depth int) {
	for ; mask != 0; mask &= mask - 1 {
		b.depths[bits.TrailingZeros64(mask)] = depth
	}
}

// longest returns the usable upstreams with the longest prefixes.
func (b *Prefix) longest(now time.Time, r *Request, held uint64) []*state {
	b.holders = b.holders[:0]
	for m := held; m != 0; m &= m - 1 {
		s := b.byBit[bits.TrailingZeros64(m)]
		if s == nil || r.Exclude[s.ID] || !b.usable(now, s) {
			continue
		}
		b.keepLongest(s)
	}
	return b.holders
}

func (b *Prefix) keepLongest(s *state) {
	if len(b.holders) < b.settings.MaxHolders {
		b.holders = append(b.holders, s)
		return
	}
	least := 0
	for i, h := range b.holders {
		if b.depths[h.bit] < b.depths[b.holders[least].bit] {
			least = i
		}
	}
	if b.depths[s.bit] > b.depths[b.holders[least].bit] {
		b.holders[least] = s
	}
}

// worth is how much busier an upstream may be for the part of the prompt that
// it holds.
func (b *Prefix) worth(r *Request, s *state, held uint64) float64 {
	if held&(1<<s.bit) == 0 {
		return 0
	}
	return b.settings.Worth * float64(b.depths[s.bit]) / float64(len(r.Prefix))
}

// Done implements Balancer.
func (b *Prefix) Done(now time.Time, up Upstream, r *Request, res Result) {
	b.done(now, up, r, res)
}
