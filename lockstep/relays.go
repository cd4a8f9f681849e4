package lockstep

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// directRanks is the size up to which a leader calls each rank itself: a round of
	// orders is a hop shorter, and 16 readings of counters take it a millisecond.
	directRanks = 16
	// relayRest is how long a relay that did not answer isn't used: a host that stands
	// still does so for some seconds, and each try costs its ranks one timeout.
	relayRest = 2 * time.Second
)

// Relays says through which rank's sidecar each rank of a large group is called, so that
// its leader has a call for the root of the ranks and not for each. With 192 ranks that
// are called one by one a leader of 0.12 cores spends 0.07 of them on readings alone, and
// a switch, four rounds of orders, takes it a second.
//
// A relay serves ranks of its own failure domain: what it reads and passes on stays
// there, and a cut between failure domains takes a rank and its relay alike.
//
// It keeps no promise of its own. An order that a relay got and gave no answer for counts
// as one that may be carried out later, as any order without an answer does.
type Relays struct {
	parts  [][]int
	partOf []int
	// failed is when a rank's sidecar did not answer as a relay.
	failed []time.Time
}

// NewRelays divides ranks by their failure domains. A small group has no relays.
func NewRelays(domains []string) *Relays {
	n := len(domains)
	r := &Relays{partOf: slices.Repeat([]int{-1}, n), failed: make([]time.Time, n)}
	if n <= directRanks {
		return r
	}
	order := make([]int, n)
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(domains[a], domains[b]) })
	size := partSize(n)
	for len(order) > 0 {
		domain := domains[order[0]]
		end := slices.IndexFunc(order, func(i int) bool { return domains[i] != domain })
		if end < 0 {
			end = len(order)
		}
		r.divide(order[:end], size)
		order = order[end:]
	}
	return r
}

// partSize is the most ranks that share a relay, in a group of n.
func partSize(n int) int { return int(math.Ceil(math.Sqrt(float64(n)))) }

// CallsFor is how many calls reach all ranks of a group, about, and whether they are to
// relays: failure domains may make some more.
func CallsFor(ranks int) (calls int, relayed bool) {
	if ranks <= directRanks {
		return ranks, false
	}
	size := partSize(ranks)
	return (ranks + size - 1) / size, true
}

// divide makes parts of about equal size, and none larger than size.
func (r *Relays) divide(ranks []int, size int) {
	parts := (len(ranks) + size - 1) / size
	for i := range parts {
		part := ranks[i*len(ranks)/parts : (i+1)*len(ranks)/parts]
		for _, rank := range part {
			r.partOf[rank] = len(r.parts)
		}
		r.parts = append(r.parts, part)
	}
}

// Calls is how many calls reach all ranks.
func (r *Relays) Calls() int {
	if len(r.parts) == 0 {
		return len(r.partOf)
	}
	return len(r.parts)
}

// Part numbers the ranks that share a relay; ok is false for a rank that is called
// without one.
func (r *Relays) Part(rank int) (part int, ok bool) { return r.partOf[rank], r.partOf[rank] >= 0 }

// Via is the rank whose sidecar relays for a part now; ok is false while none of them
// answers as a relay.
func (r *Relays) Via(now time.Time, part int) (rank int, ok bool) {
	for _, rank := range r.parts[part] {
		if r.failed[rank].IsZero() || now.Sub(r.failed[rank]) >= relayRest {
			return rank, true
		}
	}
	return 0, false
}

// Failed notes that a rank's sidecar did not answer as a relay.
func (r *Relays) Failed(now time.Time, rank int) { r.failed[rank] = now }
