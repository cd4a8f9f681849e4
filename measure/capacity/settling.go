package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/wire"
)

// The model of restarts: virtual time, three replicas, entries that follow one
// of them, and upstreams that are all up the whole time. What an entry takes for
// gone is wrong.
const (
	modelStep      = 100 * time.Millisecond
	modelUpstreams = 60
	modelEntries   = 7
	modelReplicas  = 3
	modelSeeds     = 40
	// modelSilence is how long an entry hears nothing before it turns to another
	// replica.
	modelSilence = 1200 * time.Millisecond
	// demand is the share of the upstreams' capacity that requests need; what an
	// entry can't place on those that it knows is refused.
	demand = 0.7
)

// restarts is a schedule: when each replica stops and is back.
type restarts func(rng *rand.Rand) (down, up [modelReplicas]time.Duration)

var schedules = []struct {
	name string
	make restarts
}{
	{"one replica", func(rng *rand.Rand) (down, up [modelReplicas]time.Duration) {
		down[0] = 15 * time.Second
		up[0] = down[0] + between(rng, 1, 6)
		return down, up
	}},
	{"one after another", func(rng *rand.Rand) (down, up [modelReplicas]time.Duration) {
		at := 15 * time.Second
		for i := range down {
			down[i], up[i] = at, at+between(rng, 1, 3)
			at = up[i] + between(rng, 0, 2)
		}
		return down, up
	}},
	{"all at once", func(rng *rand.Rand) (down, up [modelReplicas]time.Duration) {
		for i := range down {
			down[i] = 15*time.Second + between(rng, 0, 1)
			up[i] = down[i] + between(rng, 1, 6)
		}
		return down, up
	}},
}

// between is a random time of low to high seconds.
func between(rng *rand.Rand, low, high float64) time.Duration {
	return time.Duration((low + rng.Float64()*(high-low)) * float64(time.Second))
}

type modelNode struct {
	state *directory.State
	down  bool
	// watches by the number of the replica that is followed.
	watches map[int]*modelWatch
	follows int
	last    *directory.Source
}

type modelWatch struct {
	view  *directory.View
	src   *directory.Source
	heard time.Duration
}

type model struct {
	settings directory.Settings
	now      time.Duration
	replicas []*modelNode
	entries  []*modelNode
	targets  []*directory.Targets
	seq      uint64
	// wrong counts upstreams taken for gone, refused the requests in units of the
	// upstreams' capacity, both in upstream-seconds.
	wrong, refused float64
	removals       int
}

var modelEpoch = time.Unix(1000, 0)

func (m *model) at() time.Time { return modelEpoch.Add(m.now) }

func newModel(settings directory.Settings) *model {
	m := &model{settings: settings}
	var addrs []string
	for i := range modelReplicas {
		addrs = append(addrs, fmt.Sprint(i))
		m.replicas = append(m.replicas, m.fresh())
	}
	for i := range modelEntries {
		e := m.fresh()
		e.follows = i % modelReplicas
		m.entries = append(m.entries, e)
	}
	for i := range modelUpstreams {
		m.targets = append(m.targets, directory.NewTargets(fmt.Sprint("u", i), "", addrs))
	}
	return m
}

func (m *model) fresh() *modelNode {
	return &modelNode{state: directory.New(m.settings, m.at(), 0), watches: map[int]*modelWatch{}}
}

func (m *model) run(down, up [modelReplicas]time.Duration) {
	for m.now = modelStep; m.now < 45*time.Second; m.now += modelStep {
		for i, r := range m.replicas {
			switch {
			case up[i] > 0 && m.now >= up[i] && r.down:
				m.replicas[i] = m.fresh()
			case up[i] > 0 && m.now >= down[i] && m.now < up[i]:
				r.down = true
			}
		}
		m.announceAll()
		for i, r := range m.replicas {
			for k := range m.replicas {
				if k != i && !r.down {
					m.watch(r, k, true)
				}
			}
			r.state.Tick(m.at())
		}
		for _, e := range m.entries {
			if !m.watch(e, e.follows, false) {
				e.follows = (e.follows + 1) % modelReplicas
			}
			e.state.Tick(m.at())
		}
		m.count(down)
	}
}

func (m *model) announceAll() {
	m.seq++
	for i, t := range m.targets {
		if (int(m.now/modelStep)+i)%5 != 0 {
			continue
		}
		got, tried := 0, 0
		for _, addr := range t.Pick(m.at(), modelReplicas) {
			var k int
			_, _ = fmt.Sscan(addr, &k)
			if tried++; got == 2 || tried > modelReplicas {
				break
			}
			if m.replicas[k].down {
				t.Failed(addr, m.at())
				continue
			}
			a := announcement(wire.Role_ROLE_UPSTREAM, i, m.seq)
			m.replicas[k].state.Announce(m.at(), a, 0, true)
			got++
		}
	}
}

// watch carries an update; false says that the follower should turn to another.
func (m *model) watch(to *modelNode, k int, localOnly bool) bool {
	from := m.replicas[k]
	w := to.watches[k]
	if w == nil {
		w = &modelWatch{view: &directory.View{LocalOnly: localOnly}, src: &directory.Source{Replaces: to.last, Whole: !localOnly}, heard: m.now}
		to.watches[k] = w
	}
	if from.down {
		if m.now-w.heard >= modelSilence {
			delete(to.watches, k)
			return false
		}
		return true
	}
	if m.now-w.heard > 2*modelStep {
		// The replica was down and is another one now.
		w = &modelWatch{view: &directory.View{LocalOnly: localOnly}, src: &directory.Source{Replaces: to.last, Whole: !localOnly}}
		to.watches[k] = w
	}
	w.heard = m.now
	u, _ := from.state.Update(m.at(), w.view)
	to.state.Apply(m.at(), w.src, u)
	if localOnly {
		return true
	}
	to.last = w.src
	if u.Settling && m.settledReplica() {
		delete(to.watches, k)
		return false
	}
	return true
}

func (m *model) settledReplica() bool {
	for _, r := range m.replicas {
		if !r.down && r.state.Settled(m.at()) {
			return true
		}
	}
	return false
}

// count adds up from the first stop on.
func (m *model) count(down [modelReplicas]time.Duration) {
	if m.now < down[0] {
		return
	}
	for _, e := range m.entries {
		known := len(e.state.Instances(wire.Role_ROLE_UPSTREAM))
		m.wrong += float64(modelUpstreams-known) * modelStep.Seconds()
		m.refused += max(0, demand*modelUpstreams-float64(known)) * modelStep.Seconds()
		if known < modelUpstreams {
			m.removals++
		}
	}
}

// measureSettling compares the settling rule with its absence.
func measureSettling(options) error {
	fmt.Printf("%-18s %9s %26s %16s\n", "restart of", "settling", "wrongly gone, upstream-s", "refused, %")
	for _, sc := range schedules {
		for _, settle := range []time.Duration{0, directory.DefaultSettings().SettleTime} {
			settings := directory.DefaultSettings()
			settings.SettleTime = settle
			wrong, refused := 0.0, 0.0
			for seed := range uint64(modelSeeds) {
				m := newModel(settings)
				m.run(sc.make(rand.New(rand.NewPCG(seed, 7))))
				wrong += m.wrong / modelSeeds
				refused += m.refused / modelSeeds
			}
			asked := demand * modelUpstreams * modelEntries * 30
			fmt.Printf("%-18s %9v %26.1f %16.3f\n", sc.name, settle, wrong, 100*refused/asked)
		}
	}
	return nil
}
