package fake

import (
	"container/list"
	"net/http"
	"strconv"
	"sync"

	"github.com/snipereach/snipereach/route"
)

// maxCacheEvents bounds the published events that an engine keeps for pollers.
const maxCacheEvents = 256

// cacheEvent is the JSON of a cache event.
type cacheEvent struct {
	Seq     uint64   `json:"seq"`
	Added   []uint64 `json:"added,omitempty"`
	Removed []uint64 `json:"removed,omitempty"`
	Cleared bool     `json:"cleared,omitempty"`
}

// prefixCache is an engine's LRU cache of prompt prefix blocks. Each change is
// published as an event.
type prefixCache struct {
	mu       sync.Mutex
	capacity int
	lru      *list.List
	entries  map[uint64]*list.Element
	seq      uint64
	events   []cacheEvent
	// lose is how many of the next events are numbered but never published.
	dropEvents    int
	hits, lookups int
}

// lookupAndInsert looks a prompt up, inserts its blocks, and returns how many of
// them were missing.
func (c *prefixCache) lookupAndInsert(model, prompt string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	hashes := route.PrefixHashes(model, prompt)
	if c.capacity == 0 || len(hashes) == 0 {
		return len(hashes)
	}
	if c.lru == nil {
		c.lru, c.entries = list.New(), map[uint64]*list.Element{}
	}
	hit := 0
	for hit < len(hashes) && c.entries[hashes[hit]] != nil {
		hit++
	}
	c.hits += hit
	c.lookups += len(hashes)
	var e cacheEvent
	// Insert in reverse order, so that the end of a prompt is evicted before its
	// beginning, which other prompts share.
	for i := len(hashes) - 1; i >= 0; i-- {
		if el := c.entries[hashes[i]]; el != nil {
			c.lru.MoveToFront(el)
			continue
		}
		c.entries[hashes[i]] = c.lru.PushFront(hashes[i])
		e.Added = append(e.Added, hashes[i])
	}
	for c.lru.Len() > c.capacity {
		evicted := c.lru.Remove(c.lru.Back()).(uint64)
		delete(c.entries, evicted)
		e.Removed = append(e.Removed, evicted)
	}
	c.publish(e)
	return len(hashes) - hit
}

func (c *prefixCache) publish(e cacheEvent) {
	if len(e.Added)+len(e.Removed) == 0 && !e.Cleared {
		return
	}
	c.seq++
	e.Seq = c.seq
	if c.dropEvents > 0 {
		c.dropEvents--
		return
	}
	c.events = append(c.events, e)
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

func (c *prefixCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lru, c.entries = nil, nil
	c.publish(cacheEvent{Cleared: true})
}

func (c *prefixCache) eventsAfter(seq uint64) []cacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	later := []cacheEvent{}
	for _, e := range c.events {
		if e.Seq > seq {
			later = append(later, e)
		}
	}
	return later
}

// serveCacheEvents returns the kept events after a sequence number. Sequence
// numbers of dropped and of discarded old events are missing.
func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	writeJSON(w, e.cache.eventsAfter(after))
}

// CacheHits returns how many prompt blocks were found in the cache, and how many
// were looked up.
func (e *Engine) CacheHits() (hits, lookups int) {
	e.cache.mu.Lock()
	defer e.cache.mu.Unlock()
	return e.cache.hits, e.cache.lookups
}

// ClearCache empties the prefix cache and publishes that.
func (e *Engine) ClearCache() { e.cache.clear() }

// DropCacheEvents drops the next n cache events: they take sequence numbers but
// are not published.
func (e *Engine) DropCacheEvents(n int) {
	e.cache.mu.Lock()
	defer e.cache.mu.Unlock()
	e.cache.dropEvents = n
}
