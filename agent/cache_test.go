package agent

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/snipereach/snipereach/wire"
)

// Many watches poll one upstream at any time and in any order, and start over at any time,
// while it publishes cache events. Each watch must get every event once, in order and less
// than cacheEventsMaxAge late; a gap would make the entry discard its knowledge of the
// cache. Polls within that time must share one fetch.
func TestSharedCacheFetchDeliversEachEventOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, fetches := time.Unix(1000, 0), 0
		var published []*wire.CacheEvent
		var publishedAt []time.Time
		c := &cacheEventSource{fetch: func(_ context.Context, after uint64) ([]*wire.CacheEvent, error) {
			fetches++
			return published[after:], nil
		}}
		known := make([]uint64, 10)
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "wait")) * time.Millisecond)
			if rapid.IntRange(0, 2).Draw(t, "publish") == 0 {
				published = append(published, &wire.CacheEvent{Seq: uint64(len(published)) + 1})
				publishedAt = append(publishedAt, now)
			}
			i := rapid.IntRange(0, len(known)-1).Draw(t, "stream")
			if rapid.IntRange(0, 19).Draw(t, "opened again") == 0 {
				known[i] = 0
			}
			for _, e := range c.eventsAfter(t.Context(), now, known[i]) {
				assert.Equal(t, e.Seq, known[i]+1)
				known[i] = e.Seq
			}
			for _, at := range publishedAt[known[i]:] {
				assert.Assert(t, now.Sub(at) < cacheEventsMaxAge)
			}
		}
		before := fetches
		c.eventsAfter(t.Context(), now.Add(time.Second), 0)
		for range 100 {
			c.eventsAfter(t.Context(), now.Add(time.Second+cacheEventsMaxAge/2), uint64(rapid.IntRange(0, len(published)).Draw(t, "known")))
		}
		assert.Equal(t, fetches, before+1)
	})
}
