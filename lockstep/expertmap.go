package lockstep

import (
	"slices"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/wire"
)

// ErrMap is returned for a map that is malformed or doesn't fit its group.
var ErrMap = merry.Sentinel("expert map doesn't fit the group")

// Shape is the size of a group.
type Shape struct {
	Ranks, Sets, Experts int
	// Places is the number of experts that a rank can hold in each set, Spare the number of new
	// experts that one switch may bring to a rank in each set.
	Places, Spare int
}

// ShapeOf returns the shape of a service's groups.
func ShapeOf(p *wire.EngineProfile, ranks int) Shape {
	return Shape{
		Ranks: ranks, Sets: int(p.GetSets()), Experts: int(p.GetExperts()),
		Places: int(p.GetPlaces()), Spare: int(p.GetSpare()),
	}
}

// Valid reports whether a valid map exists for the shape.
func (s Shape) Valid() bool {
	return s.Ranks > 0 && s.Sets > 0 && s.Experts > 0 && s.Places > 0 && s.Ranks*s.Places >= s.Experts
}

// Map holds the experts of each rank, indexed by set and rank. The ranks that hold an expert
// share its work evenly.
type Map [][][]uint32

// Clone returns a deep copy.
func (m Map) Clone() Map {
	out := make(Map, len(m))
	for set, ranks := range m {
		out[set] = make([][]uint32, len(ranks))
		for r, experts := range ranks {
			out[set][r] = slices.Clone(experts)
		}
	}
	return out
}

// Check returns an ErrMap error unless the map fits the shape: every expert of each set is on
// some rank, and no rank holds an expert twice or more experts than it has places for.
func (m Map) Check(s Shape) error {
	if len(m) != s.Sets {
		return merry.Prependf(ErrMap, "%d sets, want %d", len(m), s.Sets)
	}
	for set, ranks := range m {
		if len(ranks) != s.Ranks {
			return merry.Prependf(ErrMap, "set %d: %d ranks, want %d", set, len(ranks), s.Ranks)
		}
		if err := checkSet(s, ranks); err != nil {
			return merry.Prependf(err, "set %d", set)
		}
	}
	return nil
}

func checkSet(s Shape, ranks [][]uint32) error {
	held := make([]bool, s.Experts)
	for r, experts := range ranks {
		if len(experts) > s.Places {
			return merry.Prependf(ErrMap, "rank %d holds %d experts in %d places", r, len(experts), s.Places)
		}
		for i, e := range experts {
			if int(e) >= s.Experts || slices.Contains(experts[:i], e) {
				return merry.Prependf(ErrMap, "rank %d: expert %d is unknown or held twice", r, e)
			}
			held[e] = true
		}
	}
	if e := slices.Index(held, false); e >= 0 {
		return merry.Prependf(ErrMap, "no rank holds expert %d", e)
	}
	return nil
}

// StragglerSlowdown is the slowdown from which a rank counts as slow. Below it, the
// difference is within the error of the load estimate.
const StragglerSlowdown = 1.2

// Slowdown is the factor by which each rank takes longer than usual for the same work; nil means
// that no rank is slow.
type Slowdown []float64

func (s Slowdown) of(rank int) float64 {
	if s == nil {
		return 1
	}
	return s[rank]
}

// Skew returns the load of the busiest rank, weighted by slowdown, over the mean load, averaged
// over the sets. A set without load counts as 1.
func (m Map) Skew(load [][]float64, slowdown Slowdown) float64 {
	sum := 0.0
	for set, ranks := range m {
		longest, total := 0.0, 0.0
		for r, v := range rankLoads(ranks, load[set]) {
			longest = max(longest, v*slowdown.of(r))
			total += v
		}
		if total == 0 {
			sum++
			continue
		}
		sum += longest * float64(len(ranks)) / total
	}
	return sum / float64(len(m))
}

// rankLoads returns the load of each rank in one set.
func rankLoads(ranks [][]uint32, load []float64) []float64 {
	copies := make([]int, len(load))
	for _, experts := range ranks {
		for _, e := range experts {
			copies[e]++
		}
	}
	out := make([]float64, len(ranks))
	for r, experts := range ranks {
		for _, e := range experts {
			out[r] += load[e] / float64(copies[e])
		}
	}
	return out
}
