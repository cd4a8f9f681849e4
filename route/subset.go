package route

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaxCandidates is the maximum number of upstreams of one pool that an entry uses. Of a
// larger pool it uses a subset, so that its connections, load reports and memory don't
// grow with the pool. It must not exceed 64, the bits of a mask of upstreams.
const MaxCandidates = 64

// Subset returns the upstreams of a pool that an entry uses, at most size, by
// rendezvous hashing (Thaler, Ravishankar: A Name-Based Mapping Scheme for
// Rendezvous, 1996). It depends only on the names, so that a restarted entry uses the
// same ones; adding or removing an upstream changes at most one element.
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
