package placement

import (
	"fmt"
	"slices"
	"time"

	"github.com/snipereach/snipereach/kernel"
)

const defaultRepackPeriod = 30 * time.Minute

func init() {
	kernel.Register(kernel.Module{
		ID:  "placement.repack",
		Doc: "computes a new map from scratch every period; the naive baseline",
		New: func() any { return &Repack{PeriodSeconds: int(defaultRepackPeriod / time.Second)} },
	})
}

// Repack computes a new map from scratch every period, from the latest window alone and without
// regard to the cost of the moves. It is the baseline that other planners are compared to.
type Repack struct {
	// PeriodSeconds is the minimum time between two maps.
	PeriodSeconds int `toml:"period_seconds"`

	shape  Shape
	cost   Cost
	load   Load
	at     time.Time
	planAt time.Time
}

// Reset implements Planner.
func (p *Repack) Reset(s Shape, c Cost) {
	p.shape, p.cost = s, c
	p.load, p.at, p.planAt = nil, time.Time{}, time.Time{}
}

// Observe implements Planner.
func (p *Repack) Observe(at time.Time, load Load) {
	if !validLoad(p.shape, load) || !at.After(p.at) {
		return
	}
	p.at, p.load = at, slices.Clone(load)
}

// Plan implements Planner.
func (p *Repack) Plan(now time.Time, current *Map) Decision {
	if p.load == nil {
		return Decision{Reason: "repack: no counters yet"}
	}
	if now.Before(p.planAt) {
		return Decision{Reason: "repack: period has not elapsed"}
	}
	moves, next, err := Order(p.shape, current, Pack(p.shape, p.load))
	if err != nil {
		return Decision{Reason: "repack: " + err.Error()}
	}
	p.planAt = now.Add(time.Duration(p.PeriodSeconds) * time.Second)
	if len(moves) == 0 {
		return Decision{Reason: "repack: nothing to move"}
	}
	d := Decision{Next: next, Moves: moves}
	d.SkewBefore = meanSkew(p.shape, current, p.load)
	d.SkewAfter = meanSkew(p.shape, next, p.load)
	d.Price = p.cost.Price(p.shape, len(moves))
	d.Reason = fmt.Sprintf("repack: %d moves, skew %.3f to %.3f", len(moves), d.SkewBefore, d.SkewAfter)
	return d
}

// Pack computes a map from the load alone. Each spare slot goes to the expert with the highest
// load per replica. Replicas are then placed in descending order of load, each on the least
// loaded rank that can take it (longest processing time first; Graham 1969). The shape must
// pass Shape.Check.
func Pack(s Shape, load Load) *Map {
	m := &Map{Epoch: 1, Slots: make([]int32, s.Layers*s.Ranks*s.Slots)}
	for layer := range s.Layers {
		packLayer(s, m, layer, load[layer*s.Experts:(layer+1)*s.Experts])
	}
	return m
}

func packLayer(s Shape, m *Map, layer int, load []float64) {
	replicas := replicaCounts(s, load)
	order := make([]int32, 0, s.Ranks*s.Slots)
	for e, n := range replicas {
		for range n {
			order = append(order, int32(e))
		}
	}
	perReplica := func(e int32) float64 { return load[e] / float64(replicas[e]) }
	slices.SortStableFunc(order, func(a, b int32) int {
		switch {
		case perReplica(a) > perReplica(b):
			return -1
		case perReplica(a) < perReplica(b):
			return 1
		}
		return int(a - b)
	})
	sums := make([]float64, s.Ranks)
	used := make([]int, s.Ranks)
	for _, e := range order {
		rank := leastLoadedFree(s, m, layer, e, sums, used)
		if rank < 0 {
			rank = makeRoom(s, m, layer, e, perReplica, sums, used)
		}
		m.At(s, layer, rank)[used[rank]] = e
		used[rank]++
		sums[rank] += perReplica(e)
	}
}

// replicaCounts gives each expert one replica, and each remaining slot to the expert with the
// highest load per replica.
func replicaCounts(s Shape, load []float64) []int {
	replicas := make([]int, s.Experts)
	for e := range replicas {
		replicas[e] = 1
	}
	for range s.Ranks*s.Slots - s.Experts {
		best := -1
		for e, n := range replicas {
			if n >= s.Ranks {
				continue
			}
			if best < 0 || load[e]/float64(n) > load[best]/float64(replicas[best]) {
				best = e
			}
		}
		replicas[best]++
	}
	return replicas
}

// leastLoadedFree returns the least loaded rank that has a free slot and doesn't hold the
// expert, or -1.
func leastLoadedFree(s Shape, m *Map, layer int, e int32, sums []float64, used []int) int {
	best := -1
	for rank := range s.Ranks {
		if used[rank] == s.Slots || slices.Contains(m.At(s, layer, rank)[:used[rank]], e) {
			continue
		}
		if best < 0 || sums[rank] < sums[best] {
			best = rank
		}
	}
	return best
}

// makeRoom frees a slot for an expert that every rank with a free slot holds already: another
// rank hands one of its experts over to such a rank. It returns the rank with the freed slot.
func makeRoom(s Shape, m *Map, layer int, e int32, perReplica func(int32) float64, sums []float64, used []int) int {
	for free := range s.Ranks {
		if used[free] == s.Slots {
			continue
		}
		held := m.At(s, layer, free)[:used[free]]
		for rank := range s.Ranks {
			slots := m.At(s, layer, rank)[:used[rank]]
			if slices.Contains(slots, e) {
				continue
			}
			for i, other := range slots {
				if slices.Contains(held, other) {
					continue
				}
				m.At(s, layer, free)[used[free]] = other
				used[free]++
				sums[free] += perReplica(other)
				used[rank]--
				slots[i] = slots[used[rank]]
				sums[rank] -= perReplica(other)
				return rank
			}
		}
	}
	panic("placement: more replicas than slots")
}

func meanSkew(s Shape, m *Map, load Load) float64 {
	sum := 0.0
	for layer := range s.Layers {
		sum += m.Skew(s, layer, load)
	}
	return sum / float64(s.Layers)
}
