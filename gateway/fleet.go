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

// fleet holds a balancer for each service, over the upstreams that are up.
type fleet struct {
	place route.Place

	mu       sync.Mutex
	services map[string]*servicePool
	// loads counts the loads that came with answers: the order in which they came
	// is all that is known of their age.
	loads uint64
	// told is called, without the lock, when a service's gate has changed.
	told func(service string, before, after gateState, inputs string)
	// passes is called, without the lock, with what was seen of a group's passes in a second.
	passes func(service, group string, seen passCount, inputs string)
	// entries counts the entries that are up; it is called without the lock.
	entries func() int
}

type servicePool struct {
	balancer route.Balancer
	ups      map[string]*directory.Instance
	gate     gate
	// state is the gate's when a request came last.
	state gateState
	pace  pacer
	line  waitingLine
	// entries is how many there were when it was asked last; ticking says that a look at
	// those that wait is due.
	entries int
	ticking bool
	// seen counts the passes of each group, for logs.
	seen map[string]*passCount
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
			b, err := route.New(balancerName, f.place)
			if err != nil {
				return err
			}
			f.services[name] = &servicePool{balancer: b}
		}
	}
	for name, p := range f.services {
		p.update(now, byService[name])
	}
	return nil
}

func (p *servicePool) update(now time.Time, insts []*directory.Instance) {
	p.ups = map[string]*directory.Instance{}
	var ups []route.Upstream
	for _, i := range insts {
		p.ups[i.Id] = i
		ups = append(ups, route.Upstream{
			ID: i.Id, Incarnation: i.Incarnation, Address: i.Address, FailureDomain: i.FailureDomain,
			Load: &wire.Load{Seq: firstLoad, Slots: i.Direct.Slots},
		})
	}
	p.balancer.Update(now, ups)
	p.gate.formed(now, insts)
}

// survey takes the states of ranks that the leader of their groups has read. It returns
// the upstreams that are to be left because they are slow.
func (f *fleet) survey(now time.Time, number uint64, ranks []*wire.RankState, place entryPlace) (slow []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loads++
	for _, p := range f.services {
		known := slices.DeleteFunc(slices.Clone(ranks), func(r *wire.RankState) bool { return p.ups[r.Upstream] == nil })
		if len(known) == 0 {
			continue
		}
		v := &route.Survey{
			Entries: place.entries, Index: place.index, Number: number,
			Seq: f.loads, Loads: surveyedLoads(known),
		}
		if b, ok := p.balancer.(route.Surveyed); ok {
			b.Survey(now, v)
		}
		p.gate.surveyed(now, v, p.ups)
		slow = append(slow, toLeave(known)...)
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
func (f *fleet) alive(now time.Time, service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.services[service].gate.alive(now)
}

// paused takes the pause between two events of a stream of an upstream, and what its caller
// is content with.
func (f *fleet) paused(now time.Time, service, upstream string, pause, content time.Duration) {
	f.mu.Lock()
	p := f.services[service]
	p.paused(now, pause, content)
	group, told, ok := p.count(now, upstream, pause, content)
	inputs := ""
	if ok {
		inputs = p.inputs(now)
	}
	f.mu.Unlock()
	if ok && f.passes != nil {
		f.passes(service, group, told, inputs)
	}
}

// count counts the passes of an upstream's group; it returns what is to be logged.
func (p *servicePool) count(now time.Time, upstream string, pause, content time.Duration) (group string, told passCount, ok bool) {
	i := p.ups[upstream]
	if i == nil || i.Group == "" || content <= 0 {
		return "", passCount{}, false
	}
	if p.seen == nil {
		p.seen = map[string]*passCount{}
	}
	c := p.seen[i.Group]
	if c == nil {
		c = &passCount{}
		p.seen[i.Group] = c
	}
	c.passed(now, pause, content)
	told, ok = c.due(now)
	return i.Group, told, ok
}

func (p *servicePool) paused(now time.Time, pause, content time.Duration) {
	before := p.gate.brake.pass
	if p.gate.brake.passed(now, pause, content) {
		// The pass before is known in full now: all streams have told it.
		p.gate.relief.passed(before, content)
	}
}

// head is the usual time to the head of an answer of a service.
func (f *fleet) head(service string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.services[service]; p != nil && p.gate.head > 0 {
		return p.gate.head
	}
	return leastHead
}

// silence is how long an upstream of a service may say nothing.
func (f *fleet) silence(service string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.services[service].gate.silence()
}

// goesOn says whether a service as a whole answers.
func (f *fleet) goesOn(now time.Time, service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.services[service].gate.goesOn(now)
}

// refusedByGroup notes that a rank refused a request because its group is down.
func (f *fleet) refusedByGroup(now time.Time, service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.services[service].gate.broke(now)
}

// pick chooses an upstream of a service; done must be called with the result.
func (f *fleet) pick(now time.Time, service string, r *route.Request) (route.Upstream, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.services[service]
	if p == nil {
		return route.Upstream{}, false
	}
	c, ok := p.balancer.Pick(now, r)
	return c.Upstream, ok
}

// done ends an attempt that pick chose.
func (f *fleet) done(now time.Time, service string, up route.Upstream, r *route.Request, res route.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.services[service].balancer.Done(now, up, r, res)
}

// answered takes the head of an answer: a sign of life, and the upstream's load. ran
// says that the request was begun.
func (f *fleet) answered(now time.Time, service string, up route.Upstream, load *dialect.Load, after time.Duration, ran bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.services[service]
	var l *wire.Load
	if load != nil {
		f.loads++
		l = &wire.Load{
			Seq: f.loads, Running: uint32(load.Running), Waiting: uint32(load.Waiting), Slots: uint32(load.Slots),
		}
		p.gate.occupied(now, load)
	}
	if ran {
		p.gate.back()
		p.gate.alive(now)
		p.gate.headAfter(after)
	}
	if b, ok := p.balancer.(route.Answered); ok {
		b.Answered(now, up, l, after)
	}
}

// addresses of all upstreams that are up.
func (f *fleet) addresses() map[string]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := map[string]bool{}
	for _, p := range f.services {
		for _, i := range p.ups {
			list[i.Address] = true
		}
	}
	return list
}
