package backpressure

import (
	"sync"
	"time"
)

// Rests are the rests that upstreams have asked a gateway for with a refusal. An upstream asks each
// gateway by itself, so they aren't passed on. It is safe for concurrent use.
type Rests struct {
	now func() time.Time

	mu sync.Mutex
	// until is when the rest of each upstream ends.
	until map[string]time.Time
}

// NewRests returns an empty set.
func NewRests(now func() time.Time) *Rests { return &Rests{now: now, until: map[string]time.Time{}} }

// Ask records that an upstream wants no request for a time from now on, and reports whether it wasn't
// at rest yet. A rest is never shortened: each refusal holds until the end of its own time.
func (r *Rests) Ask(upstream string, d time.Duration) (began bool) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	began = !now.Before(r.until[upstream])
	if until := now.Add(d); until.After(r.until[upstream]) {
		r.until[upstream] = until
	}
	return began
}

// Left returns for how much longer each upstream that is at rest wants no request; nil if none is.
func (r *Rests) Left() (list map[string]time.Duration) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, until := range r.until {
		if !now.Before(until) {
			delete(r.until, id)
			continue
		}
		if list == nil {
			list = map[string]time.Duration{}
		}
		list[id] = until.Sub(now)
	}
	return list
}
