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
	before, after := p.state, p.gate.state(now)
	p.state, p.entries = after, entries
	a := admission{}
	v, wait := p.ask(now, entries, w)
	if v != letIn || before != after {
		a.why = p.inputs(now)
	}
	if v == letWait {
		f.keepTicking(service, p)
	}
	f.mu.Unlock()
	if before != after && f.told != nil {
		f.told(service, before, after, a.why)
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
		f.leave(service, 0)
		a.ok = false
	}
	return a
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
	return false, p.gate.turnAway(time.Now())
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
func (f *fleet) leave(service string, kept time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.services[service]
	p.gate.leave()
	if kept > 0 {
		p.gate.stay(kept)
	}
	p.turns(time.Now(), p.entries)
}
