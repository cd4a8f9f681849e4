package gateway

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/snipereach/snipereach/directory"
)

// Causes why an upstream gets no request from this gateway now, as metrics show them.
const (
	// heldByLimit means that its limit allows this gateway none.
	heldByLimit = "limit"
	// heldByRest means that it has refused this gateway and asked for rest.
	heldByRest = "rest"
	// heldByLeaving means that it leaves.
	heldByLeaving = "leaving"
)

// leavingRetryAfter is the Retry-After of requests while all upstreams leave: others may have come by
// then.
const leavingRetryAfter = retryAfterBusy

// restraint is why an upstream gets no request from this gateway now, and for how much longer.
type restraint struct {
	cause string
	left  time.Duration
}

// restraints are those in force, by upstream.
type restraints map[string]restraint

// restraints returns what upstreams have asked for that keeps this gateway from sending to them now.
func (g *Gateway) restraints() restraints {
	var list restraints
	list = list.with(heldByLimit, g.backpressure.Blocked())
	list = list.with(heldByRest, g.rests.Left())
	return list.with(heldByLeaving, g.leavingUpstreams())
}

// leavingUpstreams returns the upstreams that leave, with the time after which a request that none takes
// may be tried again. One that has started anew under its ID isn't among them.
func (g *Gateway) leavingUpstreams() map[string]time.Duration {
	incarnations := g.backpressure.Leaving()
	if len(incarnations) == 0 {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	list := map[string]time.Duration{}
	for id, leaving := range incarnations {
		if i := g.knownUpstreams[id]; i == nil || i.Incarnation <= leaving {
			list[id] = leavingRetryAfter
		}
	}
	return list
}

// with returns the restraints and others of one cause. Of two about one upstream the longer holds.
func (r restraints) with(cause string, left map[string]time.Duration) restraints {
	if r == nil && len(left) > 0 {
		r = restraints{}
	}
	for id, d := range left {
		if d > r[id].left {
			r[id] = restraint{cause: cause, left: d}
		}
	}
	return r
}

// countHeldBack counts an upstream that is left out of a choice.
func (g *Gateway) countHeldBack(cause string) { g.metrics.Count("gateway.held_back." + cause) }

// forgetGone drops what upstreams have asked for that are gone.
func (g *Gateway) forgetGone(upstreams []*directory.Instance) {
	known := map[string]bool{}
	for _, i := range upstreams {
		known[i.Id] = true
	}
	g.backpressure.Forget(func(id string) bool { return known[id] })
}

// excluded returns the upstreams among those given that are under restraint, and counts them with
// count, which is called with the cause.
func (r restraints) excluded(among map[string]*directory.Instance, count func(cause string)) map[string]bool {
	var list map[string]bool
	for id, one := range r {
		if among[id] == nil {
			continue
		}
		if list == nil {
			list = map[string]bool{}
		}
		list[id] = true
		count(one.cause)
	}
	return list
}

// describe returns the restraints for logs.
func (r restraints) describe() string {
	var b strings.Builder
	for _, id := range slices.Sorted(maps.Keys(r)) {
		fmt.Fprintf(&b, "%s held by %s for %d ms; ", id, r[id].cause, r[id].left.Milliseconds())
	}
	return strings.TrimSuffix(b.String(), "; ")
}

// takesNone reports whether the service has upstreams and all are under restraint, and then how long
// it takes until the first of them isn't.
func (p *servicePool) takesNone(r restraints) (wait time.Duration, none bool) {
	if len(r) == 0 {
		return 0, false
	}
	for _, g := range p.sorted {
		for id := range g.upstreams {
			one, held := r[id]
			if !held {
				return 0, false
			}
			if !none || one.left < wait {
				wait, none = one.left, true
			}
		}
	}
	return max(wait, minRetryAfterHeld), none
}

// minRetryAfterHeld is the shortest Retry-After of a request that no upstream takes now.
const minRetryAfterHeld = 50 * time.Millisecond

// retryAfterHeld returns the Retry-After of a request to a service whose upstreams are all under
// restraint; held is false if any isn't.
func (m *serviceManager) retryAfterHeld(service string) (wait time.Duration, held bool) {
	list := m.restraints()
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.services[service]; p != nil {
		return p.takesNone(list)
	}
	return 0, false
}

// takesElsewhere reports whether an upstream of a service other than the given one is under no restraint.
func (m *serviceManager) takesElsewhere(service, except string) bool {
	list := m.restraints()
	if len(list) == 0 {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.services[service]
	if p == nil {
		return false
	}
	for _, g := range p.sorted {
		for id := range g.upstreams {
			if _, held := list[id]; !held && id != except {
				return true
			}
		}
	}
	return false
}
