package placement

import (
	"time"

	"github.com/snipereach/snipereach/kernel"
)

func init() {
	kernel.Register(kernel.Module{
		ID:  "placement.static",
		Doc: "never changes the map; the baseline without moves",
		New: func() any { return &Static{} },
	})
}

// Static never changes the map.
type Static struct{}

// Reset implements Planner.
func (*Static) Reset(Shape, Cost) {}

// Observe implements Planner.
func (*Static) Observe(time.Time, Load) {}

// Plan implements Planner.
func (*Static) Plan(time.Time, *Map) Decision {
	return Decision{Reason: "static: never changes the map"}
}
