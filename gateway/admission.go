package gateway

import (
	"context"
	"time"
)

// admitInterval is the time between two checks of the queue: a fraction of the time that a
// request that can be on time may wait.
const turnPeriod = 20 * time.Millisecond

// admission is the result of acquiring a permit of a service.
type admission struct {
	ok bool
	// group is the group that the request may go to.
	at *groupPool
	// retryAfter is the Retry-After of a refused request.
	wait time.Duration
	// waited is how long the request was queued.
	waited time.Duration
	// cause describes the inputs of a refusal.
	why string
}

// acquire admits a request to a service, after queueing it if necessary. If it is admitted,
// release must follow.
func (f *fleet) enter(ctx context.Context, service string, w *waiter) admission {
	entries := f.entries()
	now := time.Now()
	f.mu.Lock()
	p := f.services[service]
	if p == nil {
		f.mu.Unlock()
		return admission{wait: retryBusy, why: "no upstream of the service is known"}
	}
	p.gateways = entries
	changes := p.changes(now)
	a := admission{}
	v, wait := p.decide(now, entries, w)
	if v != decisionAdmit {
		a.why = p.describe(now)
	}
	if v == decisionQueue {
		f.keepTicking(service, p)
	}
	f.mu.Unlock()
	if f.told != nil {
		for _, c := range changes {
			f.told(service, c)
		}
	}
	switch v {
	case decisionAdmit:
		a.ok = true
	case decisionRefuse:
		a.wait = wait
	case decisionQueue:
		a.ok, a.wait = f.waitTurn(ctx, p, w)
		a.waited = time.Since(now)
	}
	if a.ok && ctx.Err() != nil {
		// The caller left, or the deadline passed, just as the request was admitted. It would run
		// for nobody.
		f.leave(w.group, 0)
		a.ok = false
	}
	a.at = w.group
	return a
}

// stateChange is a change of the state of a group.
type gateChange struct {
	group         string
	before, after groupState
	inputs        string
}

// stateChanges returns the changes since the last request.
func (p *servicePool) changes(now time.Time) (list []gateChange) {
	for _, g := range p.sorted {
		before, after := g.lastState, g.limiter.state(now)
		if g.lastState = after; before != after {
			list = append(list, gateChange{group: g.name, before: before, after: after, inputs: g.limiter.describe(now, p.gateways)})
		}
	}
	return list
}

// awaitAdmission waits until a queued request is admitted. If it isn't before its giveUpAt it is
// refused, with its Retry-After.
func (f *fleet) waitTurn(ctx context.Context, p *servicePool, w *waiter) (ok bool, wait time.Duration) {
	timer := time.NewTimer(time.Until(w.giveUpAt))
	defer timer.Stop()
	select {
	case <-w.admitted:
		return true, 0
	case <-timer.C:
	case <-ctx.Done():
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-w.admitted:
		return true, 0
	default:
	}
	p.queue.remove(w)
	return false, p.refused(time.Now())
}

// scheduleAdmission sets a timer that admits queued requests until none is left. Permits become
// free without a release too, as the pacer refills and probes become due.
func (f *fleet) keepTicking(service string, p *servicePool) {
	if p.timerPending {
		return
	}
	p.timerPending = true
	time.AfterFunc(turnPeriod, func() {
		entries := f.entries()
		f.mu.Lock()
		defer f.mu.Unlock()
		p.gateways, p.timerPending = entries, false
		p.admitQueued(time.Now(), entries)
		if len(p.queue.waiters) > 0 {
			f.keepTicking(service, p)
		}
	})
}

// release returns the permit of a request. held is how long the request had it; 0 isn't recorded.
func (f *fleet) leave(at *groupPool, kept time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := at.service
	at.limiter.release()
	if kept > 0 {
		p.recordHoldTime(kept)
	}
	p.admitQueued(time.Now(), p.gateways)
}
