package gateway

import (
	"context"
	"time"
)

// admitInterval is the time between two checks of the queue: a fraction of the time that a
// request that can be on time may wait.
const admitInterval = 20 * time.Millisecond

// admission is the result of acquiring a permit of a service.
type admission struct {
	ok bool
	// group is the group that the request may go to.
	group *groupPool
	// retryAfter is the Retry-After of a refused request.
	retryAfter time.Duration
	// waited is how long the request was queued.
	waited time.Duration
	// cause describes the inputs of a refusal.
	cause string
}

// acquire admits a request to a service, after queueing it if necessary. If it is admitted,
// release must follow.
func (f *serviceManager) acquire(ctx context.Context, service string, w *waiter) admission {
	entries := f.gateways()
	now := time.Now()
	f.mu.Lock()
	p := f.services[service]
	if p == nil {
		f.mu.Unlock()
		return admission{retryAfter: retryAfterBusy, cause: "no upstream of the service is known"}
	}
	p.gateways = entries
	changes := p.stateChanges(now)
	a := admission{}
	v, wait := p.decide(now, entries, w)
	if v != decisionAdmit {
		a.cause = p.describe(now)
	}
	if v == decisionQueue {
		f.scheduleAdmission(service, p)
	}
	f.mu.Unlock()
	if f.onStateChange != nil {
		for _, c := range changes {
			f.onStateChange(service, c)
		}
	}
	switch v {
	case decisionAdmit:
		a.ok = true
	case decisionRefuse:
		a.retryAfter = wait
	case decisionQueue:
		a.ok, a.retryAfter = f.awaitAdmission(ctx, p, w)
		a.waited = time.Since(now)
	}
	if a.ok && ctx.Err() != nil {
		// The caller left, or the deadline passed, just as the request was admitted. It would run
		// for nobody.
		f.release(w.group, 0)
		a.ok = false
	}
	a.group = w.group
	return a
}

// stateChange is a change of the state of a group.
type stateChange struct {
	group         string
	before, after groupState
	inputs        string
}

// stateChanges returns the stateChanges since the last request.
func (p *servicePool) stateChanges(now time.Time) (list []stateChange) {
	for _, g := range p.sorted {
		before, after := g.lastState, g.limiter.state(now)
		if g.lastState = after; before != after {
			list = append(list, stateChange{group: g.name, before: before, after: after, inputs: g.limiter.describe(now, p.gateways)})
		}
	}
	return list
}

// awaitAdmission waits until a queued request is admitted. If it isn't before its giveUpAt it is
// refused, with its Retry-After.
func (f *serviceManager) awaitAdmission(ctx context.Context, p *servicePool, w *waiter) (ok bool, wait time.Duration) {
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
func (f *serviceManager) scheduleAdmission(service string, p *servicePool) {
	if p.timerPending {
		return
	}
	p.timerPending = true
	time.AfterFunc(admitInterval, func() {
		entries := f.gateways()
		f.mu.Lock()
		defer f.mu.Unlock()
		p.gateways, p.timerPending = entries, false
		p.admitQueued(time.Now(), entries)
		if len(p.queue.waiters) > 0 {
			f.scheduleAdmission(service, p)
		}
	})
}

// release returns the permit of a request. held is how long the request had it; 0 isn't recorded.
func (f *serviceManager) release(at *groupPool, kept time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := at.service
	at.limiter.release()
	if kept > 0 {
		p.recordHoldTime(kept)
	}
	p.admitQueued(time.Now(), p.gateways)
}
