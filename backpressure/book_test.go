package backpressure

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func limited(upstream, source string, perS float64, at time.Duration) Statement {
	return Statement{Upstream: upstream, Limited: true, PerS: perS, HeardAt: start.Add(at), Source: source}
}

func unlimited(upstream, source string, at time.Duration) Statement {
	return Statement{Upstream: upstream, HeardAt: start.Add(at), Source: source}
}

// Guards against old news that undoes a later statement.
func TestLaterStatementWins(t *testing.T) {
	b := NewBook()
	_, changed := b.Record(unlimited("u", "g1", 0))
	assert.Assert(t, !changed && len(b.All()) == 0, "an upstream without a limit is remembered")
	_, changed = b.Record(limited("u", "g1", 1.2, time.Second))
	assert.Assert(t, changed)
	_, changed = b.Record(unlimited("u", "g2", 900*time.Millisecond))
	assert.Assert(t, !changed)
	before, changed := b.Record(unlimited("u", "g2", 2*time.Second))
	assert.Assert(t, changed && before.PerS == 1.2 && b.Limited() == 0)
	_, changed = b.Record(limited("u", "g3", 1.2, time.Second))
	assert.Assert(t, !changed)
}

// Guards against another gateway's answer that was sent before the limit, and heard just after it.
func TestContradictionOfAnotherGatewayNeedsTime(t *testing.T) {
	b := NewBook()
	b.Record(limited("u", "g1", 1, 0))
	_, changed := b.Record(unlimited("u", "g2", contradictionDelay-1))
	assert.Assert(t, !changed)
	_, changed = b.Record(limited("u", "g2", 0.5, contradictionDelay-1))
	assert.Assert(t, changed, "a lower limit must hold at once")
	_, changed = b.Record(unlimited("u", "g2", contradictionDelay-1))
	assert.Assert(t, changed, "a gateway's own answers are in order")
}

// Guards against news that is left out or told twice when it is passed on in batches.
func TestEachChangeIsPassedOnOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, copied := NewBook(), NewBook()
		version := uint64(0)
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			s := Statement{
				Upstream: fmt.Sprint("u", rapid.IntRange(0, 3).Draw(t, "upstream")), Source: "g",
				Limited: rapid.Bool().Draw(t, "limited"), Leaving: rapid.IntRange(0, 9).Draw(t, "leaving") == 0, HeardAt: start.Add(time.Duration(i) * time.Second),
			}
			if s.Limited {
				s.PerS = rapid.SampledFrom([]float64{0, 0.5, 3}).Draw(t, "rate")
			}
			b.Record(s)
			if !rapid.Bool().Draw(t, "pass on") {
				continue
			}
			for {
				list, upTo := b.Since(version, 2)
				if len(list) == 0 {
					break
				}
				for _, s := range list {
					copied.Record(s)
				}
				version = upTo
			}
			for _, s := range b.All() {
				assert.Assert(t, s.same(copied.Get(s.Upstream)), "%v is known as %v", s, copied.Get(s.Upstream))
			}
			assert.Equal(t, b.Limited(), len(slices.DeleteFunc(b.All(), func(s Statement) bool { return !s.Limited })))
		}
	})
}

// Guards against memory that grows with the upstreams of all times.
func TestUnknownUpstreamsAreForgotten(t *testing.T) {
	b := NewBook()
	b.Record(limited("gone", "g", 1, 0))
	b.Record(limited("here", "g", 1, 0))
	known := func(id string) bool { return id == "here" }
	b.Forget(start.Add(forgetAfter-1), known)
	assert.Equal(t, b.Limited(), 2)
	b.Forget(start.Add(forgetAfter), known)
	assert.Equal(t, b.Limited(), 1)
	assert.Assert(t, b.Get("here").Limited && !b.Get("gone").Limited)
}

// Guards against requests to an upstream that leaves, because news of its limit came later, and against
// leaving out one that has started anew under its ID.
func TestLeavingLastsForTheIncarnation(t *testing.T) {
	b := NewBook()
	leaving := Statement{Upstream: "u", Incarnation: 1, Leaving: true, HeardAt: start, Source: "g1"}
	later := limited("u", "g2", 1, time.Second)
	later.Incarnation = 1
	b.Record(later)
	before, changed := b.Record(leaving)
	assert.Assert(t, changed && !before.Leaving, "older news that it leaves is lost")
	assert.Assert(t, b.Get("u").Leaving && b.Get("u").PerS == 1)
	ended := unlimited("u", "g1", 2*time.Second)
	ended.Incarnation = 1
	b.Record(ended)
	assert.Assert(t, b.Get("u").Leaving && !b.Get("u").Limited)
	assert.DeepEqual(t, b.Leaving(), map[string]uint64{"u": 1})

	anew := limited("u", "g1", 2, 3*time.Second)
	anew.Incarnation = 2
	b.Record(anew)
	assert.Assert(t, !b.Get("u").Leaving && b.Leaving() == nil)
	_, changed = b.Record(leaving)
	assert.Assert(t, !changed, "news of the incarnation before is taken for the new one")
}
