// Package quota divides an allowance of events per time among processes that don't ask each
// other. Shares are whole numbers: a fraction of an event can't be used, so that with many
// processes an even share would allow none of them anything.
package quota

import "time"

// Position is the index of a member among those that share an allowance, and their number.
type Position struct {
	Index, Count int
}

// Share returns the member's whole share of total. The shares of all members add up to total, and differ
// by one at most; if total is less than Count, some members have none. A single member has all.
func (p Position) Share(total int) int {
	if total <= 0 {
		return 0
	}
	count := max(p.Count, 1)
	index := min(max(p.Index, 0), count-1)
	return total*(index+1)/count - total*index/count
}

// Turned returns the position moved round by a number of members. Of several allowances, each turned by
// another number, other members have the shares that are larger by one.
func (p Position) Turned(by uint64) Position {
	count := max(p.Count, 1)
	return Position{Index: (p.Index + int(by%uint64(count))) % count, Count: count}
}

// Window counts the events in a sliding window of time. The zero value is empty.
type Window struct {
	// times are those of the events in the window, the oldest first.
	times []time.Time
}

// Take records an event and returns true, if there were fewer than limit in the window that
// ends now. Any span of that length has at most limit events, as long as limit stays the same.
func (w *Window) Take(now time.Time, length time.Duration, limit int) bool {
	return w.TakeUpTo(now, length, limit, 1) == 1
}

// TakeUpTo records up to n events, as many as Take would, and returns how many.
func (w *Window) TakeUpTo(now time.Time, length time.Duration, limit, n int) int {
	n = max(min(n, limit-w.Used(now, length)), 0)
	for range n {
		w.times = append(w.times, now)
	}
	return n
}

// NextFree returns how long it takes until the oldest event leaves the window that ends now; 0 if it is
// empty.
func (w *Window) NextFree(now time.Time, length time.Duration) time.Duration {
	if w.Used(now, length) == 0 {
		return 0
	}
	return length - now.Sub(w.times[0])
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
