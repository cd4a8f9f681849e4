// Package placement decides which rank of a group holds which experts.
//
// All ranks of an expert-parallel group advance in lock-step, so in each layer
// the rank with the most tokens sets the pace. A planner keeps the ranks even by
// copying popular experts into spare slots and by swapping experts, and weighs
// the time that it saves against the cost of moving weights. It is pure: counters
// and maps in, a decision out.
package placement

import (
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/kernel"
)

// Errors of this layer.
var (
	ErrShape      = merry.Sentinel("expert map doesn't fit the group")
	ErrNotPlanner = merry.Sentinel("plug-in doesn't plan expert maps")
)

// Shape is the size of a group.
type Shape struct {
	Ranks, Experts, Layers int
	// Slots is how many experts a rank holds in one layer, spare ones included.
	Slots int
}

// Map says which experts each rank holds. It is immutable once made.
type Map struct {
	// Epoch grows with each map of a group.
	Epoch uint64
	// Slots holds the expert in each slot: layer by layer, rank by rank, slot by
	// slot. An expert's tokens are divided evenly between its copies.
	Slots []int32
}

// At returns the experts of one rank in one layer.
func (m *Map) At(s Shape, layer, rank int) []int32 {
	from := (layer*s.Ranks + rank) * s.Slots
	return m.Slots[from : from+s.Slots]
}

// Load is the tokens that each expert got, layer by layer: Layers x Experts.
type Load []float64

// Cost says what a group's row and the platform make of time and moves.
type Cost struct {
	// SkewWeight and MoveWeight are the group row's.
	SkewWeight, MoveWeight float64
	// ExpertBytes is the weight of one expert in one layer.
	ExpertBytes float64
	// StoreRate bounds how fast the weight store gives out weights, in bytes/s.
	StoreRate float64
	// StepTime is a step's time when all ranks are even.
	StepTime time.Duration
}

// Move loads one expert into one slot.
type Move struct {
	Layer, Rank, Slot int
	From, To          int32
}

// Decision is what a planner comes to.
type Decision struct {
	// Next is nil when the map in force stays.
	Next  *Map
	Moves []Move
	// SkewBefore and SkewAfter are busiest over mean, averaged over the layers,
	// by the forecast.
	SkewBefore, SkewAfter float64
	// Gain and Price are what the moves are expected to save and to cost, in
	// seconds of group time weighted by the row.
	Gain, Price float64
	// Why explains the decision to an operator, with its figures.
	Why string
}

// Planner is a plug-in of the namespace "placement". It keeps what it has
// observed of one group.
type Planner interface {
	// Reset tells the group's size and costs.
	Reset(s Shape, c Cost)
	// Observe takes the load of a window that ended at a time. Windows may be
	// missing or late.
	Observe(at time.Time, load Load)
	// Plan decides whether and how to change the map in force.
	Plan(now time.Time, current *Map) Decision
}

// NewPlanner makes the planner that a group row names.
func NewPlanner(name string) (Planner, error) {
	v, err := kernel.Load("placement."+name, nil)
	if err != nil {
		return nil, err
	}
	p, ok := v.(Planner)
	if !ok {
		return nil, merry.Prependf(ErrNotPlanner, "%q", name)
	}
	return p, nil
}

// Check says whether a map fits a group: every expert has a slot in every layer,
// and no rank holds an expert twice in one layer.
func (m *Map) Check(s Shape) error {
	if len(m.Slots) != s.Layers*s.Ranks*s.Slots {
		return merry.Prependf(ErrShape, "%d slots, not %d", len(m.Slots), s.Layers*s.Ranks*s.Slots)
	}
	for layer := range s.Layers {
		held := make([]bool, s.Experts)
		for rank := range s.Ranks {
			if err := checkRank(m.At(s, layer, rank), held); err != nil {
				return merry.Prependf(err, "layer %d, rank %d", layer, rank)
			}
		}
		for e, ok := range held {
			if !ok {
				return merry.Prependf(ErrShape, "layer %d: no rank holds expert %d", layer, e)
			}
		}
	}
	return nil
}

func checkRank(slots []int32, held []bool) error {
	for i, e := range slots {
		if e < 0 || int(e) >= len(held) {
			return merry.Prependf(ErrShape, "no expert %d", e)
		}
		for _, other := range slots[:i] {
			if other == e {
				return merry.Prependf(ErrShape, "expert %d stands twice", e)
			}
		}
		held[e] = true
	}
	return nil
}

// Contiguous is the map that a group starts with: experts in order, and spare
// slots filled with the experts that follow the rank's own.
func Contiguous(s Shape) *Map {
	m := &Map{Epoch: 1, Slots: make([]int32, s.Layers*s.Ranks*s.Slots)}
	for layer := range s.Layers {
		for rank := range s.Ranks {
			slots := m.At(s, layer, rank)
			first := rank * s.Experts / s.Ranks
			for i := range slots {
				slots[i] = int32((first + i) % s.Experts)
			}
		}
	}
	return m
}

// Skew is the busiest rank's tokens over the mean, in one layer.
func (m *Map) Skew(s Shape, layer int, load Load) float64 {
	sums := m.RankLoads(s, layer, load)
	total, busiest := 0.0, 0.0
	for _, v := range sums {
		total += v
		busiest = max(busiest, v)
	}
	if total == 0 {
		return 1
	}
	return busiest * float64(s.Ranks) / total
}

// RankLoads is the tokens of each rank in one layer.
func (m *Map) RankLoads(s Shape, layer int, load Load) []float64 {
	copies := make([]int, s.Experts)
	for rank := range s.Ranks {
		for _, e := range m.At(s, layer, rank) {
			copies[e]++
		}
	}
	sums := make([]float64, s.Ranks)
	for rank := range s.Ranks {
		for _, e := range m.At(s, layer, rank) {
			sums[rank] += load[layer*s.Experts+int(e)] / float64(copies[e])
		}
	}
	return sums
}
