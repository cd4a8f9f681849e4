package gateway

import (
	"cmp"
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
	// reason is the reason of a refusal, and cause describes its inputs.
	reason, cause string
}

// acquire admits a request to a service, after queueing it if necessary. If it is admitted,
// release must follow.
func (m *serviceManager) acquire(ctx context.Context, service string, w *waiter) admission {
	gateways, held := m.gateways(), m.restraints()
	now := time.Now()
	m.mu.Lock()
	p := m.services[service]
	if p == nil {
		m.mu.Unlock()
		return admission{retryAfter: retryAfterBusy, reason: reasonUpstreamsBusy, cause: "no upstream of the service is known"}
	}
	if wait, none := p.takesNone(held); none {
		m.mu.Unlock()
		return admission{retryAfter: wait, reason: reasonUpstreamsHeld, cause: held.describe()}
	}
	p.gateways = gateways
	changes := p.stateChanges(now)
	a := admission{reason: p.refusalReason(now)}
	d, wait := p.decide(now, gateways, w)
	if d != decisionAdmit {
		a.cause = p.describe(now)
	}
	if d == decisionQueue {
		m.scheduleAdmission(service, p)
	}
	m.mu.Unlock()
	if m.onStateChange != nil {
		for _, c := range changes {
			m.onStateChange(service, c)
		}
	}
	switch d {
	case decisionAdmit:
		a.ok = true
	case decisionRefuse:
		a.retryAfter = wait
	case decisionQueue:
		if w.onQueued != nil {
			w.onQueued()
		}
		a.ok, a.retryAfter = m.awaitAdmission(ctx, p, w)
		a.cause = cmp.Or(w.cause, a.cause)
		a.waited = time.Since(now)
	}
	if a.ok && ctx.Err() != nil {
		// The caller left, or the deadline passed, just as the request was admitted. It would run
		// for nobody.
		m.release(w.group, 0)
		a.ok = false
	}
	a.group = w.group
	return a
}

// refusalReason returns the reason of a request that is refused now.
func (p *servicePool) refusalReason(now time.Time) string {
	switch {
	case p.allEvacuated():
		return reasonEvacuated
	case p.incomplete(now):
		return reasonGroupIncomplete
	}
	return reasonUpstreamsBusy
}

// stateChange is a change of the state of a group.
type stateChange struct {
	group         string
	before, after groupState
	inputs        string
}

// stateChanges returns the changes of group states since the last request.
func (p *servicePool) stateChanges(now time.Time) (list []stateChange) {
	for _, g := range p.sorted {
		before, after := g.lastState, g.limiter.state(now)
		if g.lastState = after; before != after {
			list = append(list, stateChange{group: g.name, before: before, after: after, inputs: g.limiter.describe(now, p.gateways)})
		}
	}
	return list
}

// awaitAdmission waits until a queued request is admitted. If giveUpAt passes or ctx is done
// before that, it is refused with its Retry-After.
func (m *serviceManager) awaitAdmission(ctx context.Context, p *servicePool, w *waiter) (ok bool, wait time.Duration) {
	timer := time.NewTimer(time.Until(w.giveUpAt))
	defer timer.Stop()
	select {
	case <-w.admitted:
		return true, 0
	case <-w.refused:
	case <-timer.C:
	case <-ctx.Done():
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-w.admitted:
		return true, 0
	default:
	}
	p.queue.remove(w)
	now := time.Now()
	if ctx.Err() != nil {
		// The caller doesn't come back.
		return false, p.refused(now)
	}
	p.observeOutages(now)
	return false, p.refusedRequest(now, w)
}

// scheduleAdmission sets a timer that admits queued requests until none is left. Permits become
// free without a release too, as the pacer refills and probes become due.
func (m *serviceManager) scheduleAdmission(service string, p *servicePool) {
	if p.timerPending {
		return
	}
	p.timerPending = true
	time.AfterFunc(admitInterval, func() {
		gateways := m.gateways()
		m.mu.Lock()
		defer m.mu.Unlock()
		p.gateways, p.timerPending = gateways, false
		p.admitQueued(time.Now(), gateways)
		if len(p.queue.waiters) > 0 {
			m.scheduleAdmission(service, p)
		}
	})
}

// release returns the permit of a request. held is how long the request had it; 0 isn't recorded.
func (m *serviceManager) release(group *groupPool, held time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := group.service
	group.limiter.release()
	if held > 0 {
		p.recordHoldTime(held)
	}
	p.admitQueued(time.Now(), p.gateways)
}
