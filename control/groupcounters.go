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
	startedAt time.Time
	open      bool
	waiting   int
	replies   int
	load      placement.Load
	// busyTimes holds the busy time per step of each rank. It is used only if every rank
	// answered and used the map of the window's epoch.
	busyTimes []time.Duration
	epoch     uint64
	// mixedMaps is set if a rank used another map or reported no step time.
	mixedMaps bool
}

// startWindow starts a window once per CounterPeriod by asking ranks for their counters.
func (d *groupDriver) startWindow(ctx context.Context, now time.Time) {
	w := &d.window
	if w.open || d.state == nil || now.Sub(w.startedAt) < d.settings.CounterPeriod.D() {
		return
	}
	*w = counterWindow{
		startedAt: now, open: true, epoch: d.state.Map.Epoch,
		load: make(placement.Load, d.shape.Layers*d.shape.Experts), busyTimes: make([]time.Duration, d.shape.Ranks),
	}
	for _, a := range d.nextRanksToAsk() {
		w.waiting++
		go func() {
			reply, err := d.callAgent(ctx, a, rollout.VerbCounters, struct{}{})
			d.mu.Lock()
			defer d.mu.Unlock()
			if err == nil && reply.Accepted {
				d.addCounters(reply.Body)
			}
			w.waiting--
			d.closeWindow()
		}()
	}
	d.closeWindow()
}

// nextRanksToAsk returns the ranks of the next window, in round-robin order.
// CounterRanks limits their number.
func (d *groupDriver) nextRanksToAsk() []*wire.Announcement {
	n := d.shape.Ranks
	if c := d.settings.CounterRanks; c > 0 {
		n = min(c, n)
	}
	var list []*wire.Announcement
	for range n {
		if a := d.ranks[d.nextRank%d.shape.Ranks]; a != nil {
			list = append(list, a)
		}
		d.nextRank++
	}
	return list
}

// addCounters adds the counters of one rank to the window.
func (d *groupDriver) addCounters(body []byte) {
	c := &wire.ExpertCounters{}
	if proto.Unmarshal(body, c) != nil || c.Group != d.name || len(c.Tokens) != len(d.window.load) {
		return
	}
	w := &d.window
	w.replies++
	w.mixedMaps = w.mixedMaps || c.MapEpoch != w.epoch || c.StepUs == 0
	if int(c.Rank) < len(w.busyTimes) {
		w.busyTimes[c.Rank] = time.Duration(c.StepUs) * time.Microsecond
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
	if w.replies == 0 {
		return
	}
	total := 0.0
	for i := range w.load {
		w.load[i] *= float64(d.shape.Ranks) / float64(w.replies)
		total += w.load[i]
	}
	if total == 0 {
		return
	}
	d.windowCount++
	d.skew = meanSkew(d.shape, d.state.Map, w.load)
	o := loadWindow{at: d.clock(), load: w.load}
	if !w.mixedMaps && !slices.Contains(w.busyTimes, 0) && d.state.Map.Epoch == w.epoch {
		o.busyTimes, o.busyTimesMap = w.busyTimes, rollout.ToPlacementMap(d.state.Map)
	}
	d.pendingWindows = append(d.pendingWindows, o)
	if len(d.pendingWindows) > maxPendingWindows {
		d.pendingWindows = d.pendingWindows[1:]
	}
}

// maxPendingWindows bounds the windows queued for the planner, e.g. while a group is paused.
const maxPendingWindows = 120

// meanSkew returns the load of the busiest rank divided by the mean, averaged over the layers.
func meanSkew(s placement.Shape, m *wire.GroupMap, l placement.Load) float64 {
	sum := 0.0
	pm := rollout.ToPlacementMap(m)
	for layer := range s.Layers {
		sum += pm.Skew(s, layer, l)
	}
	return sum / float64(s.Layers)
}
