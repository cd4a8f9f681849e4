package directory

import "time"

const (
	// perInstance is the interval that a replica asks for, for each instance that
	// it knows: all of them together announce at most 5,000 times a second, to
	// each of the replicas that they use.
	perInstance = 200 * time.Microsecond
	// leaseParts is how many announcements a lease covers at least. Two may be
	// lost in a row, and nobody takes the instance for gone.
	leaseParts = 3
	// perWatcher is the part of the time between two messages that each watcher takes: all
	// of them together are spoken to at most 200 times a second, for 20 to 30 us of a core
	// each time. At 147 watchers that are spoken to each 0.4 s a replica spends
	// a tenth of its 0.12 cores on saying that nothing has changed.
	perWatcher = 5 * time.Millisecond
	// longestSpeak leaves a watcher two messages that are lost or late before the word of
	// the sender has run out (Settings.VouchLease).
	longestSpeak = time.Second
)

// SpeakInterval is the longest time between two messages to each of so many watchers of
// which each is usually spoken to at an interval.
func SpeakInterval(usual time.Duration, watchers int) time.Duration {
	return max(usual, min(time.Duration(watchers)*perWatcher, longestSpeak))
}

// askedInterval is what a directory of so many instances asks for.
func askedInterval(instances int) time.Duration { return time.Duration(instances) * perInstance }

// pace joins the interval of a process's settings with what a replica asked for.
// A replica can slow a process down, never so far that its lease is in danger,
// and never hurry it.
func pace(own, lease, asked time.Duration) time.Duration {
	return max(own, min(asked, lease/leaseParts))
}
