package fake

import (
	"context"
	"sync"
	"time"

	"github.com/snipereach/snipereach/placement"
	"github.com/snipereach/snipereach/rollout"
	"github.com/snipereach/snipereach/wire"
)

// stepPollInterval is how often a group that cannot begin or complete a step retries.
const stepPollInterval = time.Millisecond / 2

// Group is a lock-step group of ranks that runs in real time. A step begins once
// all ranks have a map and have ended the previous step. Each layer of a step
// takes as long as its slowest rank.
type Group struct {
	Name  string
	Shape placement.Shape
	// Step is the duration of a step whose load is even over the ranks.
	Step time.Duration
	// LoadTime is how long the weights of a staged map take to load.
	LoadTime time.Duration
	// Tokens returns the tokens that each expert gets in a step, layer by layer.
	Tokens func(step uint64) placement.Load
	// SlowFactors maps stragglers to the factor by which they take longer than their
	// load requires.
	SlowFactors map[int]float64

	mu           sync.Mutex
	ranks        []*Rank
	incarnations []uint64
	maps         map[uint64]*placement.Map
	counters     []wire.ExpertCounters
	// restarts counts rank restarts. A step during which it changes is discarded.
	restarts int
	history  GroupHistory
}

// GroupHistory summarizes the steps that a group has run.
type GroupHistory struct {
	// Steps counts the steps that all ranks ended.
	Steps int
	// MixedSteps counts steps that ranks began with different maps.
	MixedSteps int
	// Epochs are the maps used, in the order of their first step.
	Epochs []uint64
	// MaxBlocked is the longest time that a step waited for ranks that could not
	// begin it, and TotalBlocked is the sum of these waits.
	MaxBlocked, TotalBlocked time.Duration
}

// Start creates the ranks and runs steps in the background until ctx is done.
func (g *Group) Start(ctx context.Context) {
	g.maps = map[uint64]*placement.Map{}
	for range g.Shape.Ranks {
		g.ranks = append(g.ranks, NewRank(1))
		g.incarnations = append(g.incarnations, 1)
	}
	g.counters = make([]wire.ExpertCounters, g.Shape.Ranks)
	go g.run(ctx)
}

// HandleOrder carries out an order on a rank and returns the rank's status.
func (g *Group) HandleOrder(rank int, verb string, o *rollout.Order) rollout.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[rank]
	if o.Map != nil {
		g.maps[o.Epoch] = &placement.Map{Epoch: o.Epoch, Slots: o.Map.Slots}
	}
	before := r.Loading()
	s := r.HandleOrder(verb, o)
	if now := r.Loading(); now != 0 && now != before {
		time.AfterFunc(g.LoadTime, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			if r.Loading() == now {
				r.FinishLoading()
			}
		})
	}
	return s
}

// Counters returns a rank's expert counters and resets its token counts.
func (g *Group) Counters(rank int) *wire.ExpertCounters {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := &g.counters[rank]
	out := &wire.ExpertCounters{
		Group: g.Name, Rank: uint32(rank), Seq: c.Seq, Step: c.Step, MapEpoch: c.MapEpoch, StepUs: c.StepUs, Tokens: c.Tokens,
	}
	c.Seq++
	c.Tokens = nil
	return out
}

// Restart kills a rank and starts it again without a map.
func (g *Group) Restart(rank int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.incarnations[rank]++
	g.ranks[rank] = NewRank(g.incarnations[rank])
	g.restarts++
}

// History returns a copy of the group's history so far.
func (g *Group) History() GroupHistory {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := g.history
	h.Epochs = append([]uint64(nil), h.Epochs...)
	return h
}

func (g *Group) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !g.runStep(ctx) {
			sleep(ctx, stepPollInterval)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// runStep runs one step. It returns false if the step could not begin or was
// discarded.
func (g *Group) runStep(ctx context.Context) bool {
	step, restarts, ok := g.nextStep()
	if !ok {
		return false
	}
	began := time.Now()
	used := map[int]uint64{}
	for waited := false; g.beginStep(step, restarts, used); waited = true {
		if len(used) == g.Shape.Ranks {
			if waited {
				g.recordBlocked(time.Since(began))
			}
			d, busy := g.stepTime(step, used[0])
			sleep(ctx, d)
			return g.endStep(step, restarts, used[0], d, busy)
		}
		sleep(ctx, stepPollInterval)
	}
	return false
}

// nextStep returns the number of the next step, the highest that any rank names;
// ok is false while a rank has no map.
func (g *Group) nextStep() (step uint64, restarts int, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.ranks {
		if r.HasNoMap() {
			return 0, 0, false
		}
		step = max(step, r.NextStep())
	}
	return step, g.restarts, true
}

// beginStep begins the step on every rank that may begin it and has not yet. It
// returns false if the step is discarded because a rank was restarted.
func (g *Group) beginStep(step uint64, restarts int, used map[int]uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.restarts != restarts {
		return false
	}
	for i, r := range g.ranks {
		if _, begun := used[i]; begun {
			continue
		}
		r.RaiseNextStep(step)
		if !r.CanBeginStep() {
			continue
		}
		used[i] = r.BeginStep(step)
		for _, other := range used {
			if other != used[i] {
				g.history.MixedSteps++
				break
			}
		}
	}
	return true
}

func (g *Group) recordBlocked(blocked time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.history.MaxBlocked = max(g.history.MaxBlocked, blocked)
	g.history.TotalBlocked += blocked
}

// stepTime returns the duration of a step, which is the sum over the layers of the
// slowest rank's time, and the time that each rank is busy in it.
func (g *Group) stepTime(step, epoch uint64) (d time.Duration, busy []time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	busy = make([]time.Duration, g.Shape.Ranks)
	m := g.maps[epoch]
	if m == nil || g.Tokens == nil {
		for i := range busy {
			busy[i] = g.Step
		}
		return g.Step, busy
	}
	load := g.Tokens(step)
	perLayer := float64(g.Step) / float64(g.Shape.Layers)
	for layer := range g.Shape.Layers {
		d += g.layerTime(m.RankLoads(g.Shape, layer, load), perLayer, busy)
	}
	return d, busy
}

// layerTime adds the ranks' times for one layer to busy and returns the longest.
func (g *Group) layerTime(loads []float64, even float64, busy []time.Duration) time.Duration {
	total := 0.0
	for _, v := range loads {
		total += v
	}
	longest := time.Duration(0)
	for i, v := range loads {
		own := even * v * float64(len(loads)) / total
		if slow := g.SlowFactors[i]; slow > 0 {
			own *= slow
		}
		busy[i] += time.Duration(own)
		longest = max(longest, time.Duration(own))
	}
	return longest
}

// endStep records a completed step. It returns false if a rank was restarted
// during the step.
func (g *Group) endStep(step uint64, restarts int, epoch uint64, d time.Duration, busy []time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.restarts != restarts {
		return false
	}
	g.history.Steps++
	if n := len(g.history.Epochs); n == 0 || g.history.Epochs[n-1] != epoch {
		g.history.Epochs = append(g.history.Epochs, epoch)
	}
	for i, r := range g.ranks {
		r.StepMicros = uint64(d.Microseconds())
		g.countTokens(&g.counters[i], step, epoch, busy[i])
	}
	return true
}

// countTokens adds the rank's share of the step's tokens, the same for each rank,
// to its counters.
func (g *Group) countTokens(c *wire.ExpertCounters, step, epoch uint64, busy time.Duration) {
	c.Step, c.MapEpoch, c.StepUs = step, epoch, uint32(busy.Microseconds())
	if g.Tokens == nil {
		return
	}
	load := g.Tokens(step)
	if c.Tokens == nil {
		c.Tokens = make([]uint32, len(load))
	}
	for i, n := range load {
		c.Tokens[i] += uint32(n / float64(g.Shape.Ranks))
	}
}
