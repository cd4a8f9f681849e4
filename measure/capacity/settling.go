package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/wire"
)

// Parameters of a model of directory restarts in virtual time: entries each follow one
// replica, and all upstreams are up all the time, so that each one missing from an
// entry's directory has been removed wrongly.
const (
	modelStep      = 100 * time.Millisecond
	modelUpstreams = 60
	modelEntries   = 7
	modelReplicas  = 3
	modelSeeds     = 40
	// modelSilence is the time without updates after which an entry switches to
	// another replica.
	modelSilence = 1200 * time.Millisecond
	// demand is the load as a fraction of the upstreams' capacity. Load over the
	// capacity of the upstreams that an entry knows is refused.
	demand = 0.7
)

// restarts draws the times at which each replica stops and is started again.
type restarts func(rng *rand.Rand) (down, up [modelReplicas]time.Duration)

var schedules = []struct {
	name string
	make restarts
}{
	{"one replica", func(rng *rand.Rand) (down, up [modelReplicas]time.Duration) {
		down[0] = 15 * time.Second
		up[0] = down[0] + randomTime(rng, 1, 6)
		return down, up
	}},
	{"one after another", func(rng *rand.Rand) (down, up [modelReplicas]time.Duration) {
		at := 15 * time.Second
		for i := range down {
			down[i], up[i] = at, at+randomTime(rng, 1, 3)
			at = up[i] + randomTime(rng, 0, 2)
		}
		return down, up
	}},
	{"all at once", func(rng *rand.Rand) (down, up [modelReplicas]time.Duration) {
		for i := range down {
			down[i] = 15*time.Second + randomTime(rng, 0, 1)
			up[i] = down[i] + randomTime(rng, 1, 6)
		}
		return down, up
	}},
}

// randomTime returns a random duration between low and high seconds.
func randomTime(rng *rand.Rand, low, high float64) time.Duration {
	return time.Duration((low + rng.Float64()*(high-low)) * float64(time.Second))
}

type modelNode struct {
	state *directory.State
	down  bool
	// watches are the node's watches, by number of the watched replica.
	watches    map[int]*modelWatch
	followed   int
	lastSource *directory.Source
}

type modelWatch struct {
	view       *directory.View
	source     *directory.Source
	lastUpdate time.Duration
}

type model struct {
	settings directory.Settings
	now      time.Duration
	replicas []*modelNode
	entries  []*modelNode
	targets  []*directory.Targets
	seq      uint64
	// wrong is the time for which upstreams were wrongly missing, and refused is the
	// refused load in units of one upstream's capacity, both in upstream-seconds.
	wrong, refused float64
	removals       int
}

var modelEpoch = time.Unix(1000, 0)

func (m *model) virtualTime() time.Time { return modelEpoch.Add(m.now) }

func newModel(settings directory.Settings) *model {
	m := &model{settings: settings}
	var addrs []string
	for i := range modelReplicas {
		addrs = append(addrs, fmt.Sprint(i))
		m.replicas = append(m.replicas, m.newNode())
	}
	for i := range modelEntries {
		e := m.newNode()
		e.followed = i % modelReplicas
		m.entries = append(m.entries, e)
	}
	for i := range modelUpstreams {
		m.targets = append(m.targets, directory.NewTargets(fmt.Sprint("u", i), "", addrs))
	}
	return m
}

func (m *model) newNode() *modelNode {
	return &modelNode{state: directory.New(m.settings, m.virtualTime(), 0), watches: map[int]*modelWatch{}}
}

func (m *model) run(down, up [modelReplicas]time.Duration) {
	for m.now = modelStep; m.now < 45*time.Second; m.now += modelStep {
		for i, r := range m.replicas {
			switch {
			case up[i] > 0 && m.now >= up[i] && r.down:
				m.replicas[i] = m.newNode()
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
			r.state.Tick(m.virtualTime())
		}
		for _, e := range m.entries {
			if !m.watch(e, e.followed, false) {
				e.followed = (e.followed + 1) % modelReplicas
			}
			e.state.Tick(m.virtualTime())
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
		for _, addr := range t.Pick(m.virtualTime(), modelReplicas) {
			var k int
			_, _ = fmt.Sscan(addr, &k)
			if tried++; got == 2 || tried > modelReplicas {
				break
			}
			if m.replicas[k].down {
				t.MarkFailed(addr, m.virtualTime())
				continue
			}
			a := announcement(wire.Role_ROLE_UPSTREAM, i, m.seq)
			m.replicas[k].state.Announce(m.virtualTime(), a, 0, true)
			got++
		}
	}
}

// watch carries an update from replica k. It returns false if the follower should
// switch to another replica.
func (m *model) watch(to *modelNode, k int, localOnly bool) bool {
	from := m.replicas[k]
	w := to.watches[k]
	if w == nil {
		w = &modelWatch{view: &directory.View{LocalOnly: localOnly}, source: &directory.Source{Previous: to.lastSource, FullCopy: !localOnly}, lastUpdate: m.now}
		to.watches[k] = w
	}
	if from.down {
		if m.now-w.lastUpdate >= modelSilence {
			delete(to.watches, k)
			return false
		}
		return true
	}
	if m.now-w.lastUpdate > 2*modelStep {
		// The replica was down and has restarted, so the watch starts anew.
		w = &modelWatch{view: &directory.View{LocalOnly: localOnly}, source: &directory.Source{Previous: to.lastSource, FullCopy: !localOnly}}
		to.watches[k] = w
	}
	w.lastUpdate = m.now
	u, _ := from.state.Update(m.virtualTime(), w.view)
	to.state.Apply(m.virtualTime(), w.source, u)
	if localOnly {
		return true
	}
	to.lastSource = w.source
	if u.Settling && m.settledReplica() {
		delete(to.watches, k)
		return false
	}
	return true
}

func (m *model) settledReplica() bool {
	for _, r := range m.replicas {
		if !r.down && r.state.Settled(m.virtualTime()) {
			return true
		}
	}
	return false
}

// count adds the current step to the totals, once the first replica has stopped.
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

// measureSettling compares restarts with and without settling time.
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
			offered := demand * modelUpstreams * modelEntries * 30
			fmt.Printf("%-18s %9v %26.1f %16.3f\n", sc.name, settle, wrong, 100*refused/offered)
		}
	}
	return nil
}
