// Package placement plans which rank of an expert-parallel group holds which experts.
//
// All ranks of a group run each step together, so in each layer the rank with the most tokens
// determines the step time. A planner balances the ranks by replicating popular experts into
// spare slots and by swapping experts, and weighs the time saved against the cost of loading
// weights. The package does no I/O: counters and maps go in, a decision comes out.
package placement

import (
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/kernel"
)

// Errors returned by this package.
var (
	ErrShape      = merry.Sentinel("expert map doesn't fit the group")
	ErrNotPlanner = merry.Sentinel("module is not a placement planner")
)

// Shape is the size of a group.
type Shape struct {
	Ranks, Experts, Layers int
	// Slots is the number of experts that a rank holds in one layer, including spare slots.
	Slots int
}

// Map assigns experts to the slots of each rank. It must not be modified once it is in use.
type Map struct {
	// Epoch increases with each new map of a group.
	Epoch uint64
	// Slots holds the expert in each slot, ordered by layer, rank and slot. The tokens of an
	// expert are divided evenly between its replicas.
	Slots []int32
}

// At returns the experts of one rank in one layer. The result shares memory with the map.
func (m *Map) At(s Shape, layer, rank int) []int32 {
	from := (layer*s.Ranks + rank) * s.Slots
	return m.Slots[from : from+s.Slots]
}

// Load is the number of tokens per expert, layer by layer: Layers x Experts values.
type Load []float64

// Cost holds the parameters that put skew and moves on one scale.
type Cost struct {
	// SkewWeight and MoveWeight are the weights of time lost to skew and of the time spent on
	// moves, as the group's row sets them.
	SkewWeight, MoveWeight float64
	// ExpertBytes is the size of one expert's weights in one layer.
	ExpertBytes float64
	// StoreRate is the throughput of the weight store in bytes/s.
	StoreRate float64
	// StepTime is the duration of a step when all ranks have the same load.
	StepTime time.Duration
}

// Move loads expert To into a slot that holds expert From.
type Move struct {
	Layer, Rank, Slot int
	From, To          int32
}

// Decision is the result of planning.
type Decision struct {
	// Next is the new map; nil keeps the current one.
	Next  *Map
	Moves []Move
	// SkewBefore and SkewAfter are the predicted skew with the current and the new map: the
	// load of the busiest rank over the mean, averaged over the layers.
	SkewBefore, SkewAfter float64
	// Gain and Price are what the moves are expected to save and to cost, in seconds of group
	// time weighted by the group's row.
	Gain, Price float64
	// Reason explains the decision to an operator.
	Reason string
}

// Planner is a module in the "placement" namespace. Each instance plans for one group and keeps
// the load that it has observed there.
type Planner interface {
	// Reset sets the group's size and costs and discards all observations.
	Reset(s Shape, c Cost)
	// Observe takes the load of a window that ended at the given time. Windows may be missing
	// or arrive late.
	Observe(at time.Time, load Load)
	// Plan decides whether and how to change the current map.
	Plan(now time.Time, current *Map) Decision
}

// NewPlanner returns the planner module with the given name. It returns ErrNotPlanner if the
// module is of another kind.
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

// Check returns an ErrShape error unless the map is valid for a group: every expert has a slot
// in every layer, and no rank holds an expert twice in one layer.
func (m *Map) Check(s Shape) error {
	if len(m.Slots) != s.Layers*s.Ranks*s.Slots {
		return merry.Prependf(ErrShape, "%d slots, want %d", len(m.Slots), s.Layers*s.Ranks*s.Slots)
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
			return merry.Prependf(ErrShape, "expert %d does not exist", e)
		}
		for _, other := range slots[:i] {
			if other == e {
				return merry.Prependf(ErrShape, "expert %d is held twice", e)
			}
		}
		held[e] = true
	}
	return nil
}

// Contiguous returns the initial map of a group: consecutive experts on each rank, with spare
// slots filled by the experts that follow them.
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

// Skew returns the load of the busiest rank over the mean in one layer, 1 if there is no load.
func (m *Map) Skew(s Shape, layer int, load Load) float64 {
	sums := m.RankLoads(s, layer, load)
	total, highest := 0.0, 0.0
	for _, v := range sums {
		total += v
		highest = max(highest, v)
	}
	if total == 0 {
		return 1
	}
	return highest * float64(s.Ranks) / total
}

// RankLoads returns the tokens of each rank in one layer.
func (m *Map) RankLoads(s Shape, layer int, load Load) []float64 {
	replicas := make([]int, s.Experts)
	for rank := range s.Ranks {
		for _, e := range m.At(s, layer, rank) {
			replicas[e]++
		}
	}
	sums := make([]float64, s.Ranks)
	for rank := range s.Ranks {
		for _, e := range m.At(s, layer, rank) {
			sums[rank] += load[layer*s.Experts+int(e)] / float64(replicas[e])
		}
	}
	return sums
}
