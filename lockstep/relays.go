package lockstep

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxDirectRanks is the size up to which the leader calls each rank itself, which saves a
	// hop; 16 readings of counters take it a millisecond.
	maxDirectRanks = 16
	// relayRetryDelay is the time for which a relay that didn't answer isn't used. A host that
	// hangs does so for some seconds, and each attempt costs its ranks a timeout.
	relayRetryDelay = 2 * time.Second
)

// Relays assigns the ranks of a large group to relays, the sidecars of other ranks through
// which the leader calls them. The leader of n ranks then makes about sqrt(n) calls per round
// instead of n.
//
// A relay serves ranks of its own failure domain, so that a partition between failure domains
// cuts off a rank together with its relay.
//
// Relays give no guarantees about orders: one that was sent to a relay and not answered may be
// carried out later, as with a direct call.
type Relays struct {
	// parts lists the ranks that share a relay. partOf is the part of each rank, -1 for a direct
	// call.
	parts  [][]int
	partOf []int
	// failedAt is when a rank's sidecar last failed to answer as a relay.
	failedAt []time.Time
}

// NewRelays assigns relays to ranks by their failure domains. A small group gets none.
func NewRelays(domains []string) *Relays {
	n := len(domains)
	r := &Relays{partOf: slices.Repeat([]int{-1}, n), failedAt: make([]time.Time, n)}
	if n <= maxDirectRanks {
		return r
	}
	order := make([]int, n)
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(domains[a], domains[b]) })
	size := maxPartSize(n)
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

// maxPartSize returns the maximum number of ranks that share a relay in a group of n.
func maxPartSize(n int) int { return int(math.Ceil(math.Sqrt(float64(n)))) }

// EstimateCalls returns the approximate number of calls that reach all ranks of a group, and
// whether they go to relays. Failure domains may add some calls.
func EstimateCalls(ranks int) (calls int, relayed bool) {
	if ranks <= maxDirectRanks {
		return ranks, false
	}
	size := maxPartSize(ranks)
	return (ranks + size - 1) / size, true
}

// divide adds parts of about equal size, none larger than size.
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

// CallCount returns the number of calls that reach all ranks.
func (r *Relays) CallCount() int {
	if len(r.parts) == 0 {
		return len(r.partOf)
	}
	return len(r.parts)
}

// PartOf returns the number of the part, the ranks that share a relay, that a rank belongs to; ok
// is false for a rank that is called directly.
func (r *Relays) PartOf(rank int) (part int, ok bool) { return r.partOf[rank], r.partOf[rank] >= 0 }

// RelayFor returns the rank whose sidecar currently relays for a part; ok is false if all of them
// have failed within relayRetryDelay.
func (r *Relays) RelayFor(now time.Time, part int) (rank int, ok bool) {
	for _, rank := range r.parts[part] {
		if r.failedAt[rank].IsZero() || now.Sub(r.failedAt[rank]) >= relayRetryDelay {
			return rank, true
		}
	}
	return 0, false
}

// MarkFailed records that a rank's sidecar didn't answer as a relay.
func (r *Relays) MarkFailed(now time.Time, rank int) { r.failedAt[rank] = now }
