package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/snipereach/snipereach/dialect"
	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/route"
	"github.com/snipereach/snipereach/wire"
)

// balancerName is the routing plug-in: upstreams tell their load with each answer.
const balancerName = "least-loaded"

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
}

type servicePool struct {
	balancer route.Balancer
	ups      map[string]*directory.Instance
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
func (f *fleet) done(now time.Time, service string, up route.Upstream, r *route.Request, res route.Result, load *dialect.Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if load != nil {
		f.loads++
		res.Load = &wire.Load{
			Seq: f.loads, Running: uint32(load.Running), Waiting: uint32(load.Waiting), Slots: uint32(load.Slots),
		}
	}
	f.services[service].balancer.Done(now, up, r, res)
}

// size is how many upstreams of a service are up.
func (f *fleet) size(service string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.services[service]; p != nil {
		return len(p.ups)
	}
	return 0
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
