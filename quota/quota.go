// Package quota divides an allowance of events per time among processes that don't ask each
// other. Shares are whole numbers: a fraction of an event can't be used, so that with many
// processes an even share would allow none of them anything.
package quota

import "time"

// Share returns the whole share of total that the member with the given index has among count
// members. The shares of all members add up to total, and differ by one at most; if total is
// less than count, some members have none. It returns total for a single member.
func Share(total, index, count int) int {
	if total <= 0 {
		return 0
	}
	count = max(count, 1)
	index = min(max(index, 0), count-1)
	return total*(index+1)/count - total*index/count
}

// Window counts the events in a sliding window of time. The zero value is empty.
type Window struct {
	// times are those of the events in the window, the oldest first.
	times []time.Time
}

// Take records an event and returns true, if there were fewer than limit in the window that
// ends now. Any span of that length has at most limit events, as long as limit stays the same.
func (w *Window) Take(now time.Time, length time.Duration, limit int) bool {
	if w.Used(now, length) >= limit {
		return false
	}
	w.times = append(w.times, now)
	return true
}

// Used returns the number of events in the window that ends now.
func (w *Window) Used(now time.Time, length time.Duration) int {
	old := 0
	for old < len(w.times) && now.Sub(w.times[old]) >= length {
		old++
	}
	w.times = append(w.times[:0], w.times[old:]...)
	return len(w.times)
}
