package gateway

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/snipereach/snipereach/dialect"
	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/lockstep"
	"github.com/snipereach/snipereach/route"
	"github.com/snipereach/snipereach/wire"
)

// balancerName is the routing plug-in: upstreams tell their load with each answer, and
// the leader of a group in lock-step tells that of its ranks.
const balancerName = "load-interpretation"

// firstLoad numbers the load of an upstream that has answered nothing yet.
const firstLoad = 1

// fleet holds what is known of each service, over the upstreams that are up.
type fleet struct {
	place route.Place

	mu       sync.Mutex
	services map[string]*servicePool
	// loads counts the loads that came with answers: the order in which they came
	// is all that is known of their age.
	loads uint64
	// told is called, without the lock, when a group's gate has changed.
	told func(service string, c gateChange)
	// passes is called, without the lock, with what was seen of a group's passes in a second.
	passes func(service, group string, seen passCount, inputs string)
	// entries counts the entries that are up; it is called without the lock.
	entries func() int
}

func newFleet(s *Settings) *fleet {
	return &fleet{
		place:    route.Place{Entry: s.ID, FailureDomain: s.FailureDomain, Seed: rand.Uint64()},
		services: map[string]*servicePool{}, loads: firstLoad,
	}
}

// update takes the upstreams that the directory knows and that aren't gone.
func (f *fleet) update(now time.Time, insts []*directory.Instance) error {
	byService := map[string][]*directory.Instance{}
	for _, i := range insts {
		if i.Direct == nil || !i.Up() {
			continue
		}
		for _, name := range i.Pools {
			byService[name] = append(byService[name], i)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for name := range byService {
		if f.services[name] == nil {
			f.services[name] = newServicePool(f.place)
		}
	}
	for name, p := range f.services {
		if err := p.update(now, f.place, byService[name]); err != nil {
			return err
		}
	}
	return nil
}

// survey takes the states of ranks that the leader of their groups has read. It returns
// the upstreams that are to be left because they are slow.
func (f *fleet) survey(now time.Time, number uint64, ranks []*wire.RankState, place entryPlace) (slow []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loads++
	for _, p := range f.services {
		for _, g := range p.order {
			known := slices.DeleteFunc(slices.Clone(ranks), func(r *wire.RankState) bool { return g.ups[r.Upstream] == nil })
			if len(known) == 0 {
				continue
			}
			g.survey(now, &route.Survey{
				Entries: place.entries, Index: place.index, Number: number,
				Seq: f.loads, Loads: surveyedLoads(known),
			})
			slow = append(slow, toLeave(known)...)
		}
	}
	return slow
}

func surveyedLoads(ranks []*wire.RankState) []route.SurveyedLoad {
	loads := make([]route.SurveyedLoad, len(ranks))
	for i, r := range ranks {
		loads[i] = route.SurveyedLoad{
			ID: r.Upstream, Requests: int(r.Running + r.Waiting),
			Slow: paceOf(r) >= lockstep.SlowPace, Age: time.Duration(r.AgeMs) * time.Millisecond,
		}
	}
	return loads
}

// paceOf is how many times as long as usual a rank takes for its work.
func paceOf(r *wire.RankState) float64 { return float64(r.PacePercent) / 100 }

// alive takes an event of a stream.
func (f *fleet) alive(now time.Time, at *groupPool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at.gate.alive(now)
}

// paused takes the pause between two events of a stream, what its caller is content with, and
// the fixed part of a pass.
func (f *fleet) paused(now time.Time, service string, at *groupPool, pause, content, fixed time.Duration) {
	f.mu.Lock()
	if pass, over := at.gate.paused(now, at.service.entries, pause, content, fixed); over {
		at.seen.passed(pass, content)
	}
	told, ok := at.seen.due(now)
	inputs := ""
	if ok {
		inputs = at.gate.inputs(now, at.service.entries)
	}
	f.mu.Unlock()
	if ok && f.passes != nil {
		f.passes(service, at.name, told, inputs)
	}
}

// head is the usual time to the head of an answer of a service.
func (f *fleet) head(service string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.services[service]; p != nil && p.head > 0 {
		return p.head
	}
	return leastHead
}

// silence is how long an upstream of a group may say nothing.
func (f *fleet) silence(at *groupPool) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return at.service.silence()
}

// goesOn says whether a group as a whole answers.
func (f *fleet) goesOn(now time.Time, at *groupPool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return at.gate.goesOn(now)
}

// refusedByGroup notes that a rank refused a request because its group is down.
func (f *fleet) refusedByGroup(now time.Time, at *groupPool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at.gate.broke(now)
}

// pick chooses an upstream for a request that has its place at a group: there, or at
// another group if that doesn't answer or has no upstream left, to which the place moves
// then. done must be called with the result.
func (f *fleet) pick(now time.Time, at *groupPool, r *route.Request) (up route.Upstream, where *groupPool, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, g := range at.choices(now) {
		c, ok := g.balancer.Pick(now, r)
		if !ok {
			continue
		}
		if g != at {
			at.gate.leave()
			g.gate.admit(now)
		}
		return c.Upstream, g, true
	}
	return route.Upstream{}, at, false
}

// choices are the groups at which an attempt may be made, the best first.
func (g *groupPool) choices(now time.Time) []*groupPool {
	other := g.service.elsewhere(now, g)
	switch {
	case other == nil:
		return []*groupPool{g}
	case g.gate.opens(now):
		return []*groupPool{g, other}
	}
	return []*groupPool{other, g}
}

// done ends an attempt that pick chose.
func (f *fleet) done(now time.Time, at *groupPool, up route.Upstream, r *route.Request, res route.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at.balancer.Done(now, up, r, res)
}

// answered takes the head of an answer: a sign of life, and the upstream's load. ran
// says that the request was begun.
func (f *fleet) answered(now time.Time, at *groupPool, up route.Upstream, load *dialect.Load, after time.Duration, ran bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var l *wire.Load
	if load != nil {
		f.loads++
		l = &wire.Load{
			Seq: f.loads, Running: uint32(load.Running), Waiting: uint32(load.Waiting), Slots: uint32(load.Slots),
		}
		at.gate.occupied(now, load)
	}
	if ran {
		at.gate.back()
		at.gate.alive(now)
		at.service.headAfter(after)
	}
	if b, ok := at.balancer.(route.Answered); ok {
		b.Answered(now, up, l, after)
	}
}

// addresses of all upstreams that are up.
func (f *fleet) addresses() map[string]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := map[string]bool{}
	for _, p := range f.services {
		for _, g := range p.order {
			for _, i := range g.ups {
				list[i.Address] = true
			}
		}
	}
	return list
}
