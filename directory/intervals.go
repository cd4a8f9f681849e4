package directory

import "time"

const (
	// intervalPerInstance is the announcement interval that a replica requests, per
	// known instance. Together the instances announce at most 5,000 times a second to
	// each replica that they use.
	intervalPerInstance = 200 * time.Microsecond
	// announcementsPerLease is the minimum number of announcements per lease: two may be
	// lost in a row before the instance's lease expires.
	announcementsPerLease = 3
	// intervalPerWatcher is the share of each watcher in the keepalive interval: a
	// replica sends at most 200 keepalives a second, which take 20 to 30 us of a core each, until
	// the interval reaches maxKeepaliveInterval. With one each 0.4 s to each of 147 watchers, a
	// replica spent a tenth of its 0.12 cores on saying that nothing had changed.
	intervalPerWatcher = 5 * time.Millisecond
	// maxKeepaliveInterval allows two messages to be lost or late before the lease of the
	// source expires (Settings.SourceLease).
	maxKeepaliveInterval = time.Second
)

// KeepaliveInterval returns the longest time between two messages to each of the given number
// of watchers. It is at least usual.
func KeepaliveInterval(usual time.Duration, watchers int) time.Duration {
	return max(usual, min(time.Duration(watchers)*intervalPerWatcher, maxKeepaliveInterval))
}

// requestedInterval returns the announcement interval that a replica with so many known
// instances requests.
func requestedInterval(instances int) time.Duration {
	return time.Duration(instances) * intervalPerInstance
}

// announceInterval combines the configured interval with the one that a replica requested.
// A replica can only lengthen it, and at most to the lease divided by
// announcementsPerLease.
func announceInterval(configured, lease, requested time.Duration) time.Duration {
	return max(configured, min(requested, lease/announcementsPerLease))
}
