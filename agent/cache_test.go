package agent

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/snipereach/snipereach/wire"
)

// Entries watch one engine, open their streams at any time and ask in any order,
// while the engine publishes. If a shared answer left an event out, an entry would
// see a gap and drop all it knows of the engine's cache; if one came twice or late
// for good, it would route by prompts that are gone. Each stream gets every event
// once, in order, and none later than the age of an answer; the engine is asked
// once in that time by those that know as much, not by each.
func TestSharedCacheFetchDeliversEachEventOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, asked := time.Unix(1000, 0), 0
		var published []*wire.CacheEvent
		var when []time.Time
		c := &cacheEventSource{fetch: func(_ context.Context, after uint64) ([]*wire.CacheEvent, error) {
			asked++
			return published[after:], nil
		}}
		known := make([]uint64, 10)
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "wait")) * time.Millisecond)
			if rapid.IntRange(0, 2).Draw(t, "publish") == 0 {
				published = append(published, &wire.CacheEvent{Seq: uint64(len(published)) + 1})
				when = append(when, now)
			}
			i := rapid.IntRange(0, len(known)-1).Draw(t, "stream")
			if rapid.IntRange(0, 19).Draw(t, "opened again") == 0 {
				known[i] = 0
			}
			for _, e := range c.eventsAfter(t.Context(), now, known[i]) {
				assert.Equal(t, e.Seq, known[i]+1)
				known[i] = e.Seq
			}
			for _, at := range when[known[i]:] {
				assert.Assert(t, now.Sub(at) < cacheEventsMaxAge)
			}
		}
		before := asked
		c.eventsAfter(t.Context(), now.Add(time.Second), 0)
		for range 100 {
			c.eventsAfter(t.Context(), now.Add(time.Second+cacheEventsMaxAge/2), uint64(rapid.IntRange(0, len(published)).Draw(t, "known")))
		}
		assert.Equal(t, asked, before+1)
	})
}
