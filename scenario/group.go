package scenario

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/placement"
)

// plannerRotate names a planner that changes the map at every opportunity, so that
// faults are likely to hit a map switch.
const plannerRotate = "scenario-rotate"

func init() {
	kernel.Register(kernel.Module{ID: "placement." + plannerRotate, New: func() any { return &rotatingPlanner{} }})
}

type rotatingPlanner struct{ shape placement.Shape }

// Reset implements placement.Planner.
func (p *rotatingPlanner) Reset(s placement.Shape, _ placement.Cost) { p.shape = s }

// Observe implements placement.Planner.
func (p *rotatingPlanner) Observe(time.Time, placement.Load) {}

// Plan implements placement.Planner: it shifts the experts by one rank.
func (p *rotatingPlanner) Plan(_ time.Time, m *placement.Map) placement.Decision {
	next := &placement.Map{}
	per := p.shape.Ranks * p.shape.Slots
	for layer := range p.shape.Layers {
		slots := m.Slots[layer*per : (layer+1)*per]
		next.Slots = append(append(next.Slots, slots[p.shape.Slots:]...), slots[:p.shape.Slots]...)
	}
	return placement.Decision{Next: next, Reason: "rotated by one rank", SkewBefore: 1, SkewAfter: 1}
}

// cmdMaps waits until the group has switched to N more maps and has run steps since
// the command began.
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

// cmdRestartRank restarts a rank's engine, which loses its map.
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

// judgedTimeout bounds the wait for an agent to refuse an order that may never
// arrive.
const judgedTimeout = 5 * time.Second

// cmdJudged waits until one of the agents has refused an order, or the audit of the
// group has found a fault. After judgedTimeout it succeeds regardless, since on a
// busy machine the order may time out before it arrives.
func (w *world) cmdJudged(_ bool, args []string) error {
	names, err := w.expandParts(args...)
	if err != nil {
		return err
	}
	for end := time.Now().Add(judgedTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		for _, name := range names {
			if w.refusedOrderCount(name) > 0 || w.auditGroup() != "" {
				return nil
			}
		}
	}
	return nil
}

// refusedOrderCount returns how many orders an agent has refused since it started.
func (w *world) refusedOrderCount(name string) int64 {
	resp, err := http.Get("http://" + w.sys.OperatorAddress(name) + "/metrics")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var m struct {
		Refused struct {
			Count int64 `json:"count"`
		} `json:"agent.orders.refused"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&m)
	return m.Refused.Count
}

// auditGroup reports whether a step used two maps, or an engine executed an old
// leader's order after one of its successor, and returns "" if neither happened.
// The fake engines don't check fencing tokens, so that they reveal such orders.
func (w *world) auditGroup() string {
	if w.sys.Group == nil {
		return ""
	}
	for i, e := range w.sys.Engines {
		if n := e.StaleOrders(); n > 0 {
			return fmt.Sprintf("rank %d executed %d orders of an old leader after those of a new one", i+1, n)
		}
	}
	if h := w.sys.Group.History(); h.MixedSteps > 0 {
		return fmt.Sprintf("%d of %d steps used two maps", h.MixedSteps, h.Steps)
	}
	return ""
}
