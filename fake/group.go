package fake

import (
	"context"
	"sync"
	"time"

	"github.com/snipereach/snipereach/placement"
	"github.com/snipereach/snipereach/rollout"
	"github.com/snipereach/snipereach/wire"
)

// groupPoll is how often a rank that may not begin its step looks again.
const stepPollInterval = time.Millisecond / 2

// Group is a lock-step group of ranks in real time: a step begins once all ranks
// are up and have ended the last one, and takes as long as its busiest rank.
type Group struct {
	Name  string
	Shape placement.Shape
	// Step is the time of a step whose ranks are even.
	Step time.Duration
	// Load is the time that staging takes.
	Load time.Duration
	// Tokens returns the tokens that each expert gets in a step, layer by layer.
	Tokens func(step uint64) placement.Load
	// Slow makes ranks take so many times longer than their load explains.
	Slow map[int]float64

	mu           sync.Mutex
	ranks        []*Rank
	incarnations []uint64
	maps         map[uint64]*placement.Map
	counters     []wire.ExpertCounters
	// broken counts deaths of ranks; the step in progress at one is void.
	restarts int
	history  GroupHistory
}

// GroupHistory is what a group has run.
type GroupHistory struct {
	// Steps that all ranks ended.
	Steps int
	// Mixed counts steps that ranks began with different maps.
	Mixed int
	// Epochs are the maps used, in the order of their first step.
	Epochs []uint64
	// Blocked is the longest time that a step waited for a rank that was armed,
	// Lost the sum of them.
	Blocked, Lost time.Duration
}

// Start makes the ranks and runs steps until the context is done.
func (g *Group) Start(ctx context.Context) {
	g.maps = map[uint64]*placement.Map{}
	for range g.Shape.Ranks {
		g.ranks = append(g.ranks, NewRank(1))
		g.incarnations = append(g.incarnations, 1)
	}
	g.counters = make([]wire.ExpertCounters, g.Shape.Ranks)
	go g.run(ctx)
}

// Give carries out an order to a rank.
func (g *Group) Give(rank int, verb string, o *rollout.Order) rollout.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[rank]
	if o.Map != nil {
		g.maps[o.Epoch] = &placement.Map{Epoch: o.Epoch, Slots: o.Map.Slots}
	}
	before := r.Loading()
	s := r.Give(verb, o)
	if now := r.Loading(); now != 0 && now != before {
		time.AfterFunc(g.Load, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			if r.Loading() == now {
				r.Loaded()
			}
		})
	}
	return s
}

// Counters returns a rank's counters and starts them anew.
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

// History returns what the group has run so far.
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

// runStep runs one step; it returns false if no step could be run to its end.
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

// agree chooses the number of the next step, once all ranks are there.
func (g *Group) nextStep() (step uint64, restarts int, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.ranks {
		if r.Blank() {
			return 0, 0, false
		}
		step = max(step, r.Next())
	}
	return step, g.restarts, true
}

// begin lets every rank begin that may and hasn't; false if the step is void.
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
		r.Join(step)
		if !r.MayBegin() {
			continue
		}
		used[i] = r.Begin(step)
		for _, other := range used {
			if other != used[i] {
				g.history.Mixed++
				break
			}
		}
	}
	return true
}

func (g *Group) recordBlocked(blocked time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.history.Blocked = max(g.history.Blocked, blocked)
	g.history.Lost += blocked
}

// stepTime is the step's time with the slowest rank of each layer as its pace, and
// the time that each rank is busy in it.
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

// layerTime adds one layer to the ranks' busy times and returns the longest.
func (g *Group) layerTime(loads []float64, even float64, busy []time.Duration) time.Duration {
	total := 0.0
	for _, v := range loads {
		total += v
	}
	longest := time.Duration(0)
	for i, v := range loads {
		own := even * v * float64(len(loads)) / total
		if slow := g.Slow[i]; slow > 0 {
			own *= slow
		}
		busy[i] += time.Duration(own)
		longest = max(longest, time.Duration(own))
	}
	return longest
}

// end counts a step; false if a rank died in it.
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

// countTokens credits a rank with its even share of the step's tokens.
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
