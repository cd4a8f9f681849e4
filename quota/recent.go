package quota

import "time"

// Recent counts events in the current span of time and in the one before it, without keeping their
// times. The zero value is empty.
type Recent struct {
	count, before int
	since         time.Time
}

// Add counts an event. The span must be the same in each call, or change rarely.
func (r *Recent) Add(now time.Time, span time.Duration) {
	if since := now.Sub(r.since); since >= span {
		r.before = 0
		if since < 2*span {
			r.before = r.count
		}
		r.count, r.since = 0, now
	}
	r.count++
}

// Most returns the larger count of the two spans; 0 if both are over.
func (r *Recent) Most(now time.Time, span time.Duration) int {
	if now.Sub(r.since) >= 2*span {
		return 0
	}
	return max(r.count, r.before)
}
