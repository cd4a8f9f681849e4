package admit

import "time"

// Parameters of the division of a team's limit between entries.
//
// ShareAllocator, at the control leader, grants expiring shares that follow demand. A small part
// of each large limit is not granted but is divided into floors, so that an entry that is
// partitioned from the leader can still serve some of the team's requests. The sum of the
// floors and of the unexpired shares never exceeds the limit:
//
//   - the allocator counts a grant for longer, by its clock, than the entry uses it by its own: the
//     entry counts from before it asked, the allocator from when it answered, plus the bound on
//     clock rates;
//   - a new allocator grants nothing until every grant of the one before has expired;
//   - requests in progress outlive a grant, so a concurrent share is counted for as long as
//     they may run, and a new allocator waits for an entry's report before it grants what may be
//     in progress there;
//   - floors are divided by twice the number of entries in the ring, so that the two rings
//     that are in force during a membership change together stay within the floors' part.
const (
	// ShareTTL is how long an entry uses a grant, from before it asked.
	ShareTTL = 2 * time.Second
	// ShareRetryInterval is when an entry asks again if it got no answer, or if its concurrent
	// share is held back by ShareAllocator.concurrentBound.
	ShareRetryInterval = 500 * time.Millisecond
	// ShareCheckInterval is how often an entry checks whether it has to ask.
	ShareCheckInterval = 100 * time.Millisecond
	// renewAfter is when an entry asks again whose demand is unchanged. It leaves time for
	// one more attempt before the grant expires.
	renewAfter = 1500 * time.Millisecond
	// contendedRenewAfter is when an entry asks again while others still use some of its
	// part. They report within moments that they have released it.
	contendedRenewAfter = 250 * time.Millisecond
	// FloorFraction is the fraction of each limit that is divided into floors.
	FloorFraction = 0.04
	// FloorBurstFraction is the fraction of a limit's burst that is divided into floors. It is
	// larger than FloorFraction because a floor whose burst is below one request never admits
	// any.
	FloorBurstFraction = 0.2
	// MinLimitWithFloor is the least limit of requests or concurrency that has floors. The floor of
	// a smaller one could not hold one request. Token limits always have floors.
	MinLimitWithFloor = 50
	// maxClockRatio bounds how much faster one clock may run than another.
	maxClockRatio = 1.1
	// minGrantFraction of an even share is granted to each entry that asks, however small
	// its demand compared to that of others, so that its demand can grow.
	minGrantFraction = 0.1
	// minTurnLength is the least time that an entry keeps a unit of a limit that has fewer
	// units than entries that ask.
	minTurnLength = 2 * time.Second
)

// Subject identifies what a limit applies to.
type Subject struct{ Team, Service string }

// Report is the head of an entry's demands.
type Report struct {
	Entry string
	// Incarnation increases with each start of the entry, Seq with each report.
	Incarnation, Seq uint64
	// Allocator is the name of the last allocator that answered the entry; it made the
	// epochs that the demands acknowledge.
	Allocator string
	// Partial means that the report omits subjects that have nothing to ask, including
	// their requests in progress.
	Partial bool
}

// Demand is what an entry asks for one subject.
type Demand struct {
	// Wanted is what the entry could use.
	Wanted Amounts
	// Running is the number of requests in progress above the entry's floor.
	Running float64
	// AckedEpoch is the epoch of the grant that the entry uses; it uses no earlier one. An entry
	// that released its grant acknowledges the epoch after it.
	AckedEpoch uint64
}

// Share is an expiring part of a limit.
type Share struct {
	Amounts
	Epoch uint64
	// Burst is how many requests may accumulate in the bucket.
	Burst float64
	// MaxTimeout bounds the timeout of a request that uses the concurrent part.
	MaxTimeout time.Duration
	// RenewAfter is when to ask again at the latest, counted from when the demand was sent.
	RenewAfter time.Duration
}
