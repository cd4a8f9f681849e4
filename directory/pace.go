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
)

// askedInterval is what a directory of so many instances asks for.
func askedInterval(instances int) time.Duration { return time.Duration(instances) * perInstance }

// pace joins the interval of a process's settings with what a replica asked for.
// A replica can slow a process down, never so far that its lease is in danger,
// and never hurry it.
func pace(own, lease, asked time.Duration) time.Duration {
	return max(own, min(asked, lease/leaseParts))
}
