package placement_test

import (
	"fmt"
	"time"

	"github.com/snipereach/snipereach/placement"
)

// Replicates the popular expert of a group of two ranks to the other rank, because that saves
// more than loading its weights costs.
func Example() {
	shape := placement.Shape{Ranks: 2, Experts: 4, Layers: 1, Slots: 3}
	cost := placement.Cost{
		SkewWeight: 4, MoveWeight: 1,
		ExpertBytes: 44e6, StoreRate: 500e6, StepTime: 5 * time.Millisecond,
	}
	planner, err := placement.NewPlanner("incremental")
	if err != nil {
		fmt.Println(err)
		return
	}
	planner.Reset(shape, cost)
	current := placement.Contiguous(shape)
	now := time.Unix(0, 0)
	planner.Observe(now, placement.Load{100, 800, 60, 40})

	decision := planner.Plan(now, current)
	fmt.Printf("skew %.2f to %.2f with %d move\n", decision.SkewBefore, decision.SkewAfter, len(decision.Moves))
	fmt.Println("rank 0 holds", decision.Next.At(shape, 0, 0))
	fmt.Println("rank 1 holds", decision.Next.At(shape, 0, 1))
	// Output:
	// skew 1.76 to 1.02 with 1 move
	// rank 0 holds [0 1 2]
	// rank 1 holds [1 3 0]
}
