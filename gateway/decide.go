package gateway

import "time"

const (
	// defaultHoldTime is used as the usual time that a request holds its permit before the first
	// one has been released.
	defaultHoldTime = 2 * time.Second
	// lateSlotFraction is the fraction of released permits that late requests are expected to get
	// while others arrive.
	lateSlotFraction = 0.4
	// expiringAdmitFraction is the least fraction of the admission rate that late requests get
	// while one of them is about to expire.
	expiringAdmitFraction = 0.6
)

// decision is what becomes of a request that arrives.
type decision int

const (
	// decisionAdmit means that the request has a permit and may be sent.
	decisionAdmit decision = iota
	// decisionQueue means that the request is queued.
	decisionQueue
	// decisionRefuse means that the request is refused.
	decisionRefuse
)

// decide admits, queues or refuses a request that arrives; a refusal comes with its Retry-After.
//
// A request is queued only if it is expected to be admitted in time; otherwise its caller learns
// at once when to retry. The caller of a retried request may have no further try, so the request
// is queued also while no group is available, unless all are incomplete, and while the rate of
// late admissions is unknown or doesn't apply.
func (p *servicePool) decide(now time.Time, gateways int, w *waiter) (d decision, wait time.Duration) {
	if p.queue.ahead(now, w.canBeOnTime(now)) == 0 {
		if g := p.pickGroup(now, gateways, !w.canBeOnTime(now)); g != nil {
			p.admit(now, g, w)
			return decisionAdmit, 0
		}
	}
	if p.allEvacuated() || len(p.queue.waiters) >= maxQueued || !now.Before(w.giveUpAt) {
		return decisionRefuse, p.refused(now)
	}
	if !p.likelyAdmitted(now, gateways, w) {
		return decisionRefuse, p.refused(now)
	}
	p.queue.add(w)
	p.late.observeQueue(now, &p.queue)
	return decisionQueue, 0
}

// likelyAdmitted reports whether a request that has to be queued is expected to be admitted
// before it must be refused: at the pace of the groups while slots are free, and then as others
// are released.
func (p *servicePool) likelyAdmitted(now time.Time, gateways int, w *waiter) bool {
	if !p.available(now) {
		return w.retried && !p.incomplete(now)
	}
	if w.canBeOnTime(now) && p.expectedWait(now, gateways, p.queue.ahead(now, true), 1) <= w.onTimeBy.Sub(now) {
		return true
	}
	ahead := p.queue.ahead(now, false)
	// With free slots, only long passes hold requests back for a moment, so the rate of late
	// admissions doesn't apply.
	limit, inflight := p.limit(now, gateways)
	if rate, known := p.late.rate(now); known && inflight >= limit {
		return float64(ahead+1) <= rate*w.giveUpAt.Sub(now).Seconds()
	}
	return w.retried || p.expectedWait(now, gateways, ahead, lateSlotFraction) <= w.giveUpAt.Sub(now)
}

// expectedWait returns how long a request is expected to be queued with others ahead of it, if
// the given fraction of released permits goes to them.
func (p *servicePool) expectedWait(now time.Time, gateways, ahead int, fraction float64) time.Duration {
	limit, inflight := p.limit(now, gateways)
	wait := 0.0
	if p.lockstep() {
		wait = float64(ahead+1) / max(p.slotShare(now, gateways), 1) * minFillTime.Seconds()
	}
	if needed := ahead + 1 - max(limit-inflight, 0); needed > 0 {
		wait += float64(needed) * p.meanHoldTime().Seconds() / (fraction * float64(max(limit, 1)))
	}
	return time.Duration(wait * float64(time.Second))
}

// slotShare returns the number of the group's slots that this gateway may use.
func (g *groupPool) slotShare(gateways int) float64 {
	return float64(g.limiter.slots) * g.limiter.share(gateways)
}

// permits returns how many more requests the group's concurrency limit allows this gateway; 0 if
// none may be admitted now.
func (g *groupPool) permits(now time.Time, gateways int, late bool) int {
	limit := g.limiter.limit(now, gateways)
	if late {
		limit = max(int(lateLimitFraction*float64(limit)), 1)
	}
	if len(g.upstreams) == 0 || g.limiter.inflight >= limit || !g.limiter.mayAdmit(now, g.service.available(now)) {
		return 0
	}
	if g.limiter.lockstep && !g.paceAllows(now, gateways, late) {
		return 0
	}
	return limit - g.limiter.inflight
}

// paceAllows refills the pacer and reports whether it and the duration of passes allow another
// request now.
func (g *groupPool) paceAllows(now time.Time, gateways int, late bool) bool {
	fraction := g.limiter.throttle.admitFraction(now)
	if late && g.service.queue.hasExpiring(now) {
		fraction = max(fraction, expiringAdmitFraction)
	}
	g.pacer.refill(now, fraction*g.slotShare(gateways), max(paceBurst/float64(max(g.service.availableGroups(now), 1)), 1))
	return fraction > 0 && g.pacer.hasToken()
}

// admit takes a permit of a group for a request.
func (p *servicePool) admit(now time.Time, g *groupPool, w *waiter) {
	w.group = g
	if !w.canBeOnTime(now) {
		p.late.recordAdmission(now)
	}
	p.retryAfter.admitted()
	g.limiter.acquire(now)
	g.pacer.takeToken()
}

// admitQueued admits queued requests as far as permits allow.
func (p *servicePool) admitQueued(now time.Time, gateways int) {
	p.late.observeQueue(now, &p.queue)
	for {
		late := p.pickGroup(now, gateways, true)
		g := late
		if g == nil {
			g = p.pickGroup(now, gateways, false)
		}
		if g == nil {
			return
		}
		w := p.queue.next(now, late != nil)
		if w == nil {
			return
		}
		p.queue.remove(w)
		p.admit(now, g, w)
		close(w.admitted)
	}
}
