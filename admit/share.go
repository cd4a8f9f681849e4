package admit

import "time"

// Splitting a team's limit between entries.
//
// A home (the control leader) grants expiring shares that follow demand. A small
// part of each large limit is not granted but stands as a floor at every entry,
// so that an entry that is cut off can still serve some of the team's requests.
// The sum of the floors and of the live shares never exceeds the limit:
//
//   - the home counts a grant for longer, by its clock, than the entry uses it by
//     its own: the entry counts from before it asked, the home from when it
//     answered, and adds the bound on clock rates;
//   - a new home grants nothing until every grant of the one before has ended;
//   - requests in progress outlive a grant, so a concurrent share is counted for
//     as long as they may run, and a new home gives out what may be in progress
//     at an entry only once that entry has told it;
//   - floors are divided by twice the entries of the ring on the log, so that two
//     rings that are in force during a change stay within the floor's part.
const (
	// ShareTTL is how long an entry uses a grant, from before it asked.
	ShareTTL = 2 * time.Second
	// ShareInterval is when an entry asks again that had no answer.
	ShareInterval = 500 * time.Millisecond
	// ShareCheck is how often an entry looks for what it has to ask.
	ShareCheck = 100 * time.Millisecond
	// renewAfter is when an entry asks again that wants no more than before. It
	// leaves time for one more question before the grant's end.
	renewAfter = 1500 * time.Millisecond
	// shortAfter is when an entry asks again of whose part others hold some. They
	// tell within moments that they have less to do, or that they took less.
	shortAfter = 250 * time.Millisecond
	// FloorPart of each limit is divided into floors.
	FloorPart = 0.04
	// FloorBurst is the part of a limit's burst that is divided into floors. It
	// is larger than FloorPart: a floor that can't save up one request is of no
	// use however long it lasts.
	FloorBurst = 0.2
	// FloorFrom is the least limit that has floors. The floor of a smaller one
	// could not hold one request, and would only take from the others.
	FloorFrom = 50
	// clockRatio bounds how much faster one clock may run than another.
	clockRatio = 1.1
	// minGrantPart of an even share is granted to each entry that asks, however
	// small its demand beside the others', so that a demand can grow.
	minGrantPart = 0.1
	// turnTime is how long an entry keeps a unit of a limit that has fewer units
	// than there are entries that ask.
	turnTime = 2 * time.Second
)

// Subject is what a limit applies to.
type Subject struct{ Team, Service string }

// Report heads the demands of one entry.
type Report struct {
	Entry string
	// Incarnation grows with each start of the entry, Seq with each report.
	Incarnation, Seq uint64
	// Home is the last home that the entry had an answer from; its epochs are
	// the ones acknowledged.
	Home string
	// Partial leaves out subjects for which there is nothing to ask, with what
	// they have in progress.
	Partial bool
}

// Demand is what an entry asks for.
type Demand struct {
	// Wanted is what it could use.
	Wanted Amounts
	// Running is how many requests it has in progress above its floor.
	Running float64
	// Ack is the epoch of the grant that it uses; it uses no earlier one. An entry
	// that gave its grant up names the epoch after it.
	Ack uint64
}

// Share is an expiring part of a limit.
type Share struct {
	Amounts
	Epoch uint64
	// Burst is how many requests may be saved up.
	Burst float64
	// Hold bounds the timeout of a request that uses the concurrent part.
	Hold time.Duration
	// Again is when to ask again at the latest, from when the question was sent.
	Again time.Duration
}
