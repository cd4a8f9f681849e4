package placement

import (
	"math"
	"time"

	"github.com/ansel1/merry/v2"
)

// Objective accumulates what a planner is judged by: time lost to skew, and the cost of the
// moves.
type Objective struct {
	// TimeLost is the time by which steps took longer than with equally loaded ranks.
	TimeLost time.Duration
	// Moves is the number of experts loaded.
	Moves int
	// Bytes is the amount of weights read from the store.
	Bytes float64
	// CapacityLost is the time that ranks spent loading experts, divided by the number of
	// ranks: a rank counts as unavailable while it loads one.
	CapacityLost time.Duration
}

// Value returns the value of the objective in weighted seconds of group time: SkewWeight x time
// lost to skew + MoveWeight x (time of the weight store for the bytes moved + capacity lost).
func (o Objective) Value(c Cost) float64 {
	moved := 0.0
	if o.Bytes > 0 {
		moved = o.Bytes / c.StoreRate
	}
	return c.SkewWeight*o.TimeLost.Seconds() + c.MoveWeight*(moved+o.CapacityLost.Seconds())
}

// LoadTime returns the time that the store needs to deliver one expert, 0 if its rate is
// unknown.
func (c Cost) LoadTime() time.Duration {
	if c.StoreRate <= 0 {
		return 0
	}
	return time.Duration(c.ExpertBytes / c.StoreRate * float64(time.Second))
}

// Price returns the move part of the objective for a number of moves.
func (c Cost) Price(s Shape, moves int) float64 {
	return c.MoveWeight * float64(moves) * c.LoadTime().Seconds() * (1 + 1/float64(s.Ranks))
}

// validLoad reports whether a window can be used: its size matches the shape, and no value is
// negative, NaN or infinite, which would spoil all later forecasts. With a shape that no map
// can have (a row may configure more slots than experts) no window is valid, so no plan is
// made.
func validLoad(s Shape, load Load) bool {
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

// Check returns an ErrShape error unless a valid map exists for the shape.
func (s Shape) Check() error {
	if s.Ranks < 1 || s.Experts < 1 || s.Layers < 1 || s.Slots < 1 {
		return merry.Prependf(ErrShape, "%d ranks, %d experts, %d layers, %d slots", s.Ranks, s.Experts, s.Layers, s.Slots)
	}
	if s.Ranks*s.Slots < s.Experts || s.Slots > s.Experts {
		return merry.Prependf(ErrShape, "%d experts in %d slots on %d ranks", s.Experts, s.Slots, s.Ranks)
	}
	return nil
}
