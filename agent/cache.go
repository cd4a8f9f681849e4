package agent

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/snipereach/snipereach/wire"
)

// cacheAnswerAge is how old an engine's answer about its cache events may be for
// another watch to share it.
const cacheEventsMaxAge = 50 * time.Millisecond

// cacheEvents asks an upstream for its cache events on behalf of all watches. Each
// asks twice a second; hundreds of them would keep the engine busy with the same
// answer.
type cacheEventSource struct {
	fetch func(ctx context.Context, after uint64) ([]*wire.CacheEvent, error)

	mu sync.Mutex
	// after and events are the last question and its answer, at when it was asked.
	after     uint64
	events    []*wire.CacheEvent
	fetchedAt time.Time
}

// since returns the events after a number. The answer to a question for the same
// or earlier events holds them all.
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
