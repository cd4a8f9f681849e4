package placement

import (
	"math"
	"time"

	"github.com/ansel1/merry/v2"
)

// Objective is what a planner is measured by, in seconds of group time weighted by
// the group's row: SkewWeight x time lost to the busiest rank + MoveWeight x (time
// of the weight store for the bytes moved + capacity lost). A rank that loads an
// expert counts as lost for that long; it is one of Ranks.
type Objective struct {
	// Lost is the time by which steps were longer than on even ranks.
	Lost time.Duration
	// Moves is the number of experts loaded.
	Moves int
	// Bytes is the weight that the store gave out.
	Bytes float64
	// CapacityLost is the ranks' loading time over the number of ranks.
	CapacityLost time.Duration
}

// J is the objective's value.
func (o Objective) J(c Cost) float64 {
	moved := 0.0
	if o.Bytes > 0 {
		moved = o.Bytes / c.StoreRate
	}
	return c.SkewWeight*o.Lost.Seconds() + c.MoveWeight*(moved+o.CapacityLost.Seconds())
}

// LoadTime is how long the store needs to give out one expert.
func (c Cost) LoadTime() time.Duration {
	if c.StoreRate <= 0 {
		return 0
	}
	return time.Duration(c.ExpertBytes / c.StoreRate * float64(time.Second))
}

// Price is the move part of the objective for a number of moves.
func (c Cost) Price(s Shape, moves int) float64 {
	return c.MoveWeight * float64(moves) * c.LoadTime().Seconds() * (1 + 1/float64(s.Ranks))
}

// usable says whether a window can be taken: the right size, and no value that
// would poison all later forecasts. Without a shape that a map can have (a row may
// name more slots than experts) none can, so no plan is made.
func usable(s Shape, load Load) bool {
	if s.Check() != nil || len(load) != s.Layers*s.Experts {
		return false
	}
	for _, v := range load {
		if !(v >= 0) || math.IsInf(v, 1) {
			return false
		}
	}
	return true
}

// Check says whether a map can exist for the shape.
func (s Shape) Check() error {
	if s.Ranks < 1 || s.Experts < 1 || s.Layers < 1 || s.Slots < 1 {
		return merry.Prependf(ErrShape, "%d ranks, %d experts, %d layers, %d slots", s.Ranks, s.Experts, s.Layers, s.Slots)
	}
	if s.Ranks*s.Slots < s.Experts || s.Slots > s.Experts {
		return merry.Prependf(ErrShape, "%d experts in %d slots on %d ranks", s.Experts, s.Slots, s.Ranks)
	}
	return nil
}
