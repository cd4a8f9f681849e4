package control

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/snipereach/snipereach/placement"
	"github.com/snipereach/snipereach/rollout"
	"github.com/snipereach/snipereach/wire"
)

// counterWindow sums up the expert counters of one window. The sum is scaled up to
// make up for ranks that weren't asked or didn't answer.
type counterWindow struct {
	began   time.Time
	open    bool
	waiting int
	heard   int
	load    placement.Load
	// times holds the busy time per step of each rank. It is used only if every rank
	// answered and used the map of the window's epoch.
	times []time.Duration
	epoch uint64
	// mixed is set if a rank used another map or reported no step time.
	mixed bool
}

// collect starts a window once per CounterPeriod by asking ranks for their counters.
func (d *groupDriver) collect(ctx context.Context, now time.Time) {
	w := &d.window
	if w.open || d.state == nil || now.Sub(w.began) < d.settings.CounterPeriod.D() {
		return
	}
	*w = counterWindow{
		began: now, open: true, epoch: d.state.Map.Epoch,
		load: make(placement.Load, d.shape.Layers*d.shape.Experts), times: make([]time.Duration, d.shape.Ranks),
	}
	for _, a := range d.asked() {
		w.waiting++
		go func() {
			reply, err := d.give(ctx, a, rollout.VerbCounters, struct{}{})
			d.mu.Lock()
			defer d.mu.Unlock()
			if err == nil && reply.Accepted {
				d.count(reply.Body)
			}
			w.waiting--
			d.closeWindow()
		}()
	}
	d.closeWindow()
}

// asked returns the ranks of the next window, which CounterRanks limits in number, in
// round-robin order.
func (d *groupDriver) asked() []*wire.Announcement {
	n := d.shape.Ranks
	if c := d.settings.CounterRanks; c > 0 {
		n = min(c, n)
	}
	var list []*wire.Announcement
	for range n {
		if a := d.ranks[d.turn%d.shape.Ranks]; a != nil {
			list = append(list, a)
		}
		d.turn++
	}
	return list
}

func (d *groupDriver) count(body []byte) {
	c := &wire.ExpertCounters{}
	if proto.Unmarshal(body, c) != nil || c.Group != d.name || len(c.Tokens) != len(d.window.load) {
		return
	}
	w := &d.window
	w.heard++
	w.mixed = w.mixed || c.MapEpoch != w.epoch || c.StepUs == 0
	if int(c.Rank) < len(w.times) {
		w.times[c.Rank] = time.Duration(c.StepUs) * time.Microsecond
	}
	for i, n := range c.Tokens {
		d.window.load[i] += float64(n)
	}
}

// closeWindow ends the window once every rank asked has answered or failed, and
// queues its load for the planner.
func (d *groupDriver) closeWindow() {
	w := &d.window
	if !w.open || w.waiting > 0 {
		return
	}
	w.open = false
	if w.heard == 0 {
		return
	}
	total := 0.0
	for i := range w.load {
		w.load[i] *= float64(d.shape.Ranks) / float64(w.heard)
		total += w.load[i]
	}
	if total == 0 {
		return
	}
	d.windows++
	d.skew = meanSkew(d.shape, d.state.Map, w.load)
	o := observed{at: d.clock(), load: w.load}
	if !w.mixed && !slices.Contains(w.times, 0) && d.state.Map.Epoch == w.epoch {
		o.times, o.under = w.times, rollout.ToMap(d.state.Map)
	}
	d.loads = append(d.loads, o)
	if len(d.loads) > maxLoads {
		d.loads = d.loads[1:]
	}
}

// maxLoads bounds the windows queued for the planner, e.g. while a group is paused.
const maxLoads = 120

// meanSkew returns the load of the busiest rank divided by the mean, averaged over the layers.
func meanSkew(s placement.Shape, m *wire.GroupMap, l placement.Load) float64 {
	sum := 0.0
	pm := rollout.ToMap(m)
	for layer := range s.Layers {
		sum += pm.Skew(s, layer, l)
	}
	return sum / float64(s.Layers)
}
