package gateway

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/route"
	"github.com/snipereach/snipereach/wire"
)

// servicePool is what an entry knows of one service: who waits for it, and its groups.
type servicePool struct {
	groups map[string]*groupPool
	// order is the groups by name.
	order []*groupPool
	line  waitingLine
	late  lateTurns
	crowd crowd
	// head is the usual time to the head of an answer, 0 before the first; stayed is how
	// long requests usually keep their place.
	head, stayed time.Duration
	// entries is how many there were when it was asked last; ticking says that a look at
	// those that wait is due.
	entries int
	ticking bool
	rnd     *rand.Rand
}

// groupPool is what an entry knows of one group: upstreams that run in lock-step with each other.
// Upstreams of a service that run each for itself are one of these too, without a name.
//
// All that says whether a request may be sent is a group's own. A service may have several, whose
// passes end at different times and of which one may be down: taken together, the shorter pass of
// two groups passed for that of both, so that passes which made every stream of a group late were
// not seen, and one lost rank closed the other groups too.
type groupPool struct {
	service  *servicePool
	name     string
	balancer route.Balancer
	ups      map[string]*directory.Instance
	gate     gate
	// state is the gate's when a request came last.
	state gateState
	pace  pacer
	// seen counts its passes, for logs.
	seen passCount
}

func newServicePool(place route.Place) *servicePool {
	return &servicePool{groups: map[string]*groupPool{}, rnd: rand.New(rand.NewPCG(place.Seed, 3))}
}

// update takes the upstreams that are up.
func (p *servicePool) update(now time.Time, place route.Place, insts []*directory.Instance) error {
	byGroup := map[string][]*directory.Instance{}
	for _, i := range insts {
		byGroup[i.Group] = append(byGroup[i.Group], i)
	}
	for name := range byGroup {
		if p.groups[name] != nil {
			continue
		}
		b, err := route.New(balancerName, place)
		if err != nil {
			return err
		}
		p.groups[name] = &groupPool{service: p, name: name, balancer: b}
	}
	for name, g := range p.groups {
		g.update(now, byGroup[name])
		if len(g.ups) == 0 && g.gate.inflight == 0 {
			delete(p.groups, name)
		}
	}
	p.order = slices.SortedFunc(maps.Values(p.groups), func(a, b *groupPool) int { return cmp.Compare(a.name, b.name) })
	return nil
}

func (g *groupPool) update(now time.Time, insts []*directory.Instance) {
	g.ups = map[string]*directory.Instance{}
	var ups []route.Upstream
	for _, i := range insts {
		g.ups[i.Id] = i
		ups = append(ups, route.Upstream{
			ID: i.Id, Incarnation: i.Incarnation, Address: i.Address, FailureDomain: i.FailureDomain,
			Load: &wire.Load{Seq: firstLoad, Slots: i.Direct.Slots},
		})
	}
	g.balancer.Update(now, ups)
	g.gate.formed(now, insts)
}

// survey takes what the leader of the group has read of its ranks, those that the entry knows.
func (g *groupPool) survey(now time.Time, v *route.Survey) {
	if b, ok := g.balancer.(route.Surveyed); ok {
		b.Survey(now, v)
	}
	g.gate.surveyed(now, v, g.ups)
}

// answering is how many groups answer, as far as is known.
func (p *servicePool) answering(now time.Time) (n int) {
	for _, g := range p.order {
		if g.gate.opens(now) {
			n++
		}
	}
	return n
}

// opens says whether any group answers.
func (p *servicePool) opens(now time.Time) bool { return p.answering(now) > 0 }

// serves says whether there is a group that isn't down.
func (p *servicePool) serves() bool {
	return slices.ContainsFunc(p.order, func(g *groupPool) bool { return len(g.ups) > 0 && !g.gate.down })
}

// grouped says whether its upstreams run in lock-step.
func (p *servicePool) grouped() bool {
	return slices.ContainsFunc(p.order, func(g *groupPool) bool { return g.gate.grouped })
}

// limit is how many requests the entry may have at the groups that answer, and inflight how
// many it has there.
func (p *servicePool) limit(now time.Time, entries int) (limit, inflight int) {
	for _, g := range p.order {
		if g.gate.opens(now) {
			limit += g.gate.limit(now, entries)
			inflight += g.gate.inflight
		}
	}
	return limit, inflight
}

// share is the entry's part of the slots of groups that answer.
func (p *servicePool) share(now time.Time, entries int) (share float64) {
	for _, g := range p.order {
		if g.gate.opens(now) {
			share += g.share(entries)
		}
	}
	return share
}

// place is the group that a request may be let into now; nil if there is none. Of several, each is
// taken as often as it has places for this entry: all entries know the same loads, and if each
// took the emptiest group, that one would get all requests until they are told again.
func (p *servicePool) place(now time.Time, entries int, late bool) *groupPool {
	places := make([]int, len(p.order))
	sum := 0
	for i, g := range p.order {
		places[i] = g.places(now, entries, late)
		sum += places[i]
	}
	if sum == 0 {
		return nil
	}
	n := p.rnd.IntN(sum)
	for i, g := range p.order {
		if n -= places[i]; n < 0 {
			return g
		}
	}
	return nil
}

// elsewhere is the group to which a request that has its place at one may go instead, as that
// doesn't answer; nil if there is none.
func (p *servicePool) elsewhere(now time.Time, from *groupPool) *groupPool {
	var best *groupPool
	for _, g := range p.order {
		if g != from && len(g.ups) > 0 && g.gate.opens(now) && (best == nil || g.gate.occupancy < best.gate.occupancy) {
			best = g
		}
	}
	return best
}

// turnAway is when a caller that is refused may come back.
func (p *servicePool) turnAway(now time.Time) time.Duration {
	if !p.opens(now) {
		return downWait
	}
	return p.crowd.turnAway()
}

func (p *servicePool) stay() time.Duration { return cmp.Or(p.stayed, usualStay) }

// headAfter takes the time to an answer's head.
func (p *servicePool) headAfter(d time.Duration) {
	if p.head == 0 {
		p.head = d
	}
	p.head += time.Duration(headWeight * float64(d-p.head))
}

// stayedFor takes how long a request has kept its place.
func (p *servicePool) stayedFor(d time.Duration) {
	if p.stayed == 0 {
		p.stayed = d
	}
	p.stayed += time.Duration(headWeight * float64(d-p.stayed))
}

// silence is how long one upstream may say nothing.
func (p *servicePool) silence() time.Duration {
	if p.head == 0 {
		return mostSilence
	}
	return min(max(silenceFactor*p.head, leastSilence), mostSilence)
}

// inputs are what a decision depends on, with their age, for logs.
func (p *servicePool) inputs(now time.Time) string {
	var b strings.Builder
	for _, g := range p.order {
		fmt.Fprintf(&b, "%s, pace %.1f; ", g.inputs(now, p.entries), g.pace.tokens)
	}
	fmt.Fprintf(&b, "%d wait, head %d ms, stay %d ms", len(p.line.list), p.head.Milliseconds(), p.stay().Milliseconds())
	return b.String()
}

func (g *groupPool) inputs(now time.Time, entries int) string {
	if g.name == "" {
		return g.gate.inputs(now, entries)
	}
	return g.name + " " + g.gate.inputs(now, entries)
}
