package scenario

import (
	"fmt"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/placement"
)

// plannerRotate is a planner that changes the map at every opportunity, so that
// a failure is likely to meet a switch.
const plannerRotate = "scenario-rotate"

func init() {
	kernel.Register(kernel.Module{ID: "placement." + plannerRotate, New: func() any { return &rotate{} }})
}

type rotate struct{ shape placement.Shape }

// Reset implements placement.Planner.
func (p *rotate) Reset(s placement.Shape, _ placement.Cost) { p.shape = s }

// Observe implements placement.Planner.
func (p *rotate) Observe(time.Time, placement.Load) {}

// Plan implements placement.Planner: each rank's experts go to the next one.
func (p *rotate) Plan(_ time.Time, m *placement.Map) placement.Decision {
	next := &placement.Map{}
	per := p.shape.Ranks * p.shape.Slots
	for layer := range p.shape.Layers {
		slots := m.Slots[layer*per : (layer+1)*per]
		next.Slots = append(append(next.Slots, slots[p.shape.Slots:]...), slots[:p.shape.Slots]...)
	}
	return placement.Decision{Next: next, Why: "rotated by one rank", SkewBefore: 1, SkewAfter: 1}
}

// cmdMaps waits until the group has taken up N more maps and runs steps with
// the last one.
func (w *world) cmdMaps(_ bool, args []string) error {
	if len(args) != 1 || w.sys.Group == nil {
		return merry.Prepend(ErrScript, "maps N, in a system with groups=yes")
	}
	n, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	before := w.sys.Group.History()
	return eventually(func() string {
		h := w.sys.Group.History()
		if len(h.Epochs) < len(before.Epochs)+n || h.Steps == before.Steps {
			return fmt.Sprintf("%d maps and %d steps, before %d and %d", len(h.Epochs), h.Steps, len(before.Epochs), before.Steps)
		}
		return ""
	})
}

// cmdSteps waits until the group has run N more steps.
func (w *world) cmdSteps(_ bool, args []string) error {
	if len(args) != 1 || w.sys.Group == nil {
		return merry.Prepend(ErrScript, "steps N, in a system with groups=yes")
	}
	n, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	before := w.sys.Group.History().Steps
	return eventually(func() string {
		if h := w.sys.Group.History(); h.Steps < before+n {
			return fmt.Sprintf("%d steps, before %d", h.Steps, before)
		}
		return ""
	})
}

// cmdRestartRank kills a rank's engine and starts it without a map.
func (w *world) cmdRestartRank(_ bool, args []string) error {
	if len(args) != 1 || w.sys.Group == nil {
		return merry.Prepend(ErrScript, "restart-rank N, in a system with groups=yes")
	}
	n, err := strconv.Atoi(args[0])
	if err != nil || n < 1 || n > w.sys.Group.Shape.Ranks {
		return merry.Prependf(ErrScript, "no rank %q", args[0])
	}
	w.sys.Group.Restart(n - 1)
	return nil
}

// auditGroup says whether a step mixed two maps.
func (w *world) auditGroup() string {
	if w.sys.Group == nil {
		return ""
	}
	if h := w.sys.Group.History(); h.Mixed > 0 {
		return fmt.Sprintf("%d of %d steps mixed maps", h.Mixed, h.Steps)
	}
	return ""
}
