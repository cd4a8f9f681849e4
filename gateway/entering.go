package gateway

import (
	"context"
	"time"
)

// turnPeriod is the time between two looks at the requests that wait: a tenth of what one
// that can be in time may wait.
const turnPeriod = 20 * time.Millisecond

// admission is what became of a request that asked to go to a service.
type admission struct {
	ok bool
	// at is the group that it may go to.
	at *groupPool
	// wait is when the caller of one that was refused may come back.
	wait time.Duration
	// waited is how long it waited at the entry.
	waited time.Duration
	// why names the inputs of a refusal.
	why string
}

// enter lets a request go to a service now, or lets it wait until it may; leave must
// follow if it did.
func (f *fleet) enter(ctx context.Context, service string, w *waiter) admission {
	entries := f.entries()
	now := time.Now()
	f.mu.Lock()
	p := f.services[service]
	if p == nil {
		f.mu.Unlock()
		return admission{wait: retryBusy, why: "no upstream of the service is known"}
	}
	p.entries = entries
	changes := p.changes(now)
	a := admission{}
	v, wait := p.ask(now, entries, w)
	if v != letIn {
		a.why = p.inputs(now)
	}
	if v == letWait {
		f.keepTicking(service, p)
	}
	f.mu.Unlock()
	if f.told != nil {
		for _, c := range changes {
			f.told(service, c)
		}
	}
	switch v {
	case letIn:
		a.ok = true
	case turnAway:
		a.wait = wait
	case letWait:
		a.ok, a.wait = f.waitTurn(ctx, p, w)
		a.waited = time.Since(now)
	}
	if a.ok && ctx.Err() != nil {
		// Its caller left, or its time ended, just as its turn came: sent now, it would
		// run for nobody.
		f.leave(w.at, 0)
		a.ok = false
	}
	a.at = w.at
	return a
}

// gateChange is that a group's gate is no longer in the state in which it was.
type gateChange struct {
	group         string
	before, after gateState
	inputs        string
}

// changes are those since the last request.
func (p *servicePool) changes(now time.Time) (list []gateChange) {
	for _, g := range p.order {
		before, after := g.state, g.gate.state(now)
		if g.state = after; before != after {
			list = append(list, gateChange{group: g.name, before: before, after: after, inputs: g.gate.inputs(now, p.entries)})
		}
	}
	return list
}

// waitTurn waits until a request is let in. One that isn't in its time is refused with
// when its caller may come back.
func (f *fleet) waitTurn(ctx context.Context, p *servicePool, w *waiter) (ok bool, wait time.Duration) {
	timer := time.NewTimer(time.Until(w.until))
	defer timer.Stop()
	select {
	case <-w.granted:
		return true, 0
	case <-timer.C:
	case <-ctx.Done():
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-w.granted:
		return true, 0
	default:
	}
	p.line.remove(w)
	return false, p.turnAway(time.Now())
}

// keepTicking looks after those that wait, until nobody does: places become free also with
// time, as a pace allows or a group is to be probed.
func (f *fleet) keepTicking(service string, p *servicePool) {
	if p.ticking {
		return
	}
	p.ticking = true
	time.AfterFunc(turnPeriod, func() {
		entries := f.entries()
		f.mu.Lock()
		defer f.mu.Unlock()
		p.entries, p.ticking = entries, false
		p.turns(time.Now(), entries)
		if len(p.line.list) > 0 {
			f.keepTicking(service, p)
		}
	})
}

// leave gives a place back, after a request has had it for a time.
func (f *fleet) leave(at *groupPool, kept time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := at.service
	at.gate.leave()
	if kept > 0 {
		p.stayedFor(kept)
	}
	p.turns(time.Now(), p.entries)
}
