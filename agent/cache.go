package agent

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/snipereach/snipereach/wire"
)

// cacheEventsMaxAge is the age up to which a fetched list of cache events is shared with
// other watches.
const cacheEventsMaxAge = 50 * time.Millisecond

// cacheEventSource fetches cache events from the upstream on behalf of all watches. Every
// watch polls for them; sharing the result keeps the load on the engine independent of the
// number of watches.
type cacheEventSource struct {
	fetch func(ctx context.Context, after uint64) ([]*wire.CacheEvent, error)

	mu sync.Mutex
	// events holds the result of the last fetch, made at fetchedAt for sequence numbers
	// above after.
	after     uint64
	events    []*wire.CacheEvent
	fetchedAt time.Time
}

// eventsAfter returns the events with a sequence number above after, or nil if the
// upstream cannot be queried. A recent result is reused if it was fetched for the same or
// a lower number, as it then contains all of them.
func (c *cacheEventSource) eventsAfter(ctx context.Context, now time.Time, after uint64) []*wire.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.fetchedAt) >= cacheEventsMaxAge || after < c.after {
		events, err := c.fetch(ctx, after)
		if err != nil {
			return nil
		}
		c.after, c.events, c.fetchedAt = after, events, now
	}
	first := slices.IndexFunc(c.events, func(e *wire.CacheEvent) bool { return e.Seq > after })
	if first < 0 {
		return nil
	}
	return c.events[first:]
}
