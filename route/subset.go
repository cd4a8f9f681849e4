package route

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxCandidates is how many upstreams of one pool an entry uses at most. A pool
// that is larger is cut to a subset, so that connections, reports and memory at
// an entry don't grow with the pool.
const maxCandidates = 64

// Subset returns the upstreams of a large pool that an entry uses, by
// rendezvous hashing (Thaler, Ravishankar: A Name-Based Mapping Scheme for
// Rendezvous, 1996). It depends on the names alone, so that a restart keeps it;
// an upstream that comes or goes changes at most one place in it.
func Subset(entry string, ups []Upstream, size int) []Upstream {
	if len(ups) <= size {
		return ups
	}
	type scored struct {
		score uint64
		up    Upstream
	}
	list := make([]scored, len(ups))
	for i, u := range ups {
		list[i] = scored{xxhash.Sum64String(entry + "\x00" + u.ID), u}
	}
	slices.SortFunc(list, func(a, b scored) int {
		if a.score > b.score {
			return -1
		}
		return 1
	})
	chosen := make([]Upstream, size)
	for i := range chosen {
		chosen[i] = list[i].up
	}
	return chosen
}
