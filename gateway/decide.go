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
	// rankedWaitMargin is how much longer than expected ranked requests may have to wait: more
	// urgent requests don't arrive evenly, and one that is refused after it has waited would have
	// done better to come back later.
	rankedWaitMargin = 1.3
	// maxExpectedWait stands for a wait that has no end in sight. It is longer than any request is
	// queued, and bounds waits that would overflow.
	maxExpectedWait = 24 * time.Hour
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
	p.policy.RecordArrival(now, w.priority)
	if !w.overShare {
		p.shareReserve.RecordArrival(now, w.priority)
	}
	p.observeOutages(now)
	c := p.classOf(now, w)
	if p.ahead(now, c) == 0 {
		if g := p.pickGroup(now, gateways, c); g != nil {
			p.admit(now, g, w)
			return decisionAdmit, 0
		}
	}
	if p.allEvacuated() || len(p.queue.waiters) >= maxQueued || !now.Before(w.giveUpAt) {
		return decisionRefuse, p.refusedRequest(now, w)
	}
	if !p.likelyAdmitted(now, gateways, w) {
		return decisionRefuse, p.refusedRequest(now, w)
	}
	p.queue.add(w)
	p.late.of(w.priority).observeQueue(now, &p.queue)
	return decisionQueue, 0
}

// likelyAdmitted reports whether a request that has to be queued is expected to be admitted
// before it must be refused: at the pace of the groups while slots are free, and then as others
// are released.
func (p *servicePool) likelyAdmitted(now time.Time, gateways int, w *waiter) bool {
	if f, down := p.outage(now); down {
		return p.outageRequest(w, p.backlogAhead(now, w)).Holds(now, f)
	}
	if !p.available(now) {
		return w.retried && !p.incomplete(now)
	}
	c := p.classOf(now, w)
	if !c.late && p.expectedWait(now, gateways, c, p.ahead(now, c), 1) <= w.onTimeBy.Sub(now) {
		return true
	}
	c.late = true
	ahead := p.ahead(now, c)
	if now.Before(p.queue.backlogUntil) {
		return p.backlogAdmitted(now, w)
	}
	// With free slots, only long passes hold requests back for a moment, so the rate of late
	// admissions doesn't apply.
	limit, inflight := p.limit(now, gateways, c)
	if rate, known := p.late.of(w.priority).rate(now); known && inflight >= limit {
		return float64(ahead+1) <= rate*w.giveUpAt.Sub(now).Seconds()
	}
	if w.retried && !p.policy.Enabled() {
		return true
	}
	return p.expectedWait(now, gateways, c, ahead, lateSlotFraction) <= w.giveUpAt.Sub(now)
}

// classOf returns the class of a request of the service.
func (p *servicePool) classOf(now time.Time, w *waiter) class {
	return p.queue.classOf(now, w, p.starved(now))
}

// starved returns whether requests of a priority get too little, or nil if all have the same one.
func (p *servicePool) starved(now time.Time) func(uint32) bool {
	if !p.policy.Enabled() {
		return nil
	}
	starved := p.policy.StarvedRanks(now)
	return func(rank uint32) bool { return int(rank) < len(starved) && starved[rank] }
}

// ahead returns how many queued requests would be admitted before one of a class that arrives now.
func (p *servicePool) ahead(now time.Time, c class) int {
	return p.queue.ahead(now, c, p.starved(now))
}

// expectedWait returns how long a request of a class is expected to be queued with others ahead of
// it, if the given fraction of released permits goes to them.
func (p *servicePool) expectedWait(now time.Time, gateways int, c class, ahead int, fraction float64) time.Duration {
	limit, inflight := p.limit(now, gateways, c)
	wait := 0.0
	if p.lockstep() {
		wait = float64(ahead+1) / max(p.slotShare(now, gateways), 1) * minFillTime.Seconds()
	}
	free, released := max(limit-inflight, 0), fraction*float64(max(limit, 1))/p.meanHoldTime().Seconds()
	if p.policy.Enabled() {
		free, released = limit-inflight, p.releasedFor(now, c, limit)/rankedWaitMargin
	}
	if needed := ahead + 1 - free; needed > 0 {
		if released <= 0 {
			return maxExpectedWait
		}
		wait += float64(needed) / released
	}
	return time.Duration(min(wait, maxExpectedWait.Seconds()) * float64(time.Second))
}

// releasedFor returns how many of the permits that are released in a second are left for ranked
// requests of a class: more urgent requests that arrive take theirs before, and before late ones
// also those of the same rank.
func (p *servicePool) releasedFor(now time.Time, c class, limit int) float64 {
	released := float64(max(limit, 1)) / p.meanHoldTime().Seconds()
	if c.late {
		return released - p.policy.MoreUrgentPerSecond(now, c.priority+1)
	}
	return released - p.policy.MoreUrgentPerSecond(now, c.priority)
}

// admit takes a permit of a group for a request.
func (p *servicePool) admit(now time.Time, g *groupPool, w *waiter) {
	w.group = g
	if !w.canBeOnTime(now) {
		p.late.of(w.priority).recordAdmission(now)
	}
	p.policy.RecordAdmission(now, w.priority)
	p.retryAfter.admitted()
	g.limiter.acquire(now)
	g.pacer.takeToken()
}

// admitQueued admits queued requests as far as permits allow.
func (p *servicePool) admitQueued(now time.Time, gateways int) {
	p.observeOutages(now)
	p.refuseHopeless(now)
	p.late.observeQueue(now, &p.queue)
	for p.admitNext(now, gateways) {
	}
}

// admitNext admits the next queued request for which there is a permit, and reports whether there
// was one.
func (p *servicePool) admitNext(now time.Time, gateways int) bool {
	next := p.nextUnranked
	if p.policy.Enabled() || p.queue.hasRanked() {
		next = p.nextRanked
	}
	w, g := next(now, gateways)
	if w == nil {
		return false
	}
	p.queue.remove(w)
	p.admit(now, g, w)
	close(w.admitted)
	return true
}

// nextUnranked returns the queued request to admit next in a service without priorities, and its
// group; nil if there is none. Requests that can be on time go first, also with a permit that only
// late ones get while one of these is about to expire.
func (p *servicePool) nextUnranked(now time.Time, gateways int) (*waiter, *groupPool) {
	g := p.pickGroup(now, gateways, class{late: true})
	lateAllowed := g != nil
	if !lateAllowed {
		g = p.pickGroup(now, gateways, class{})
	}
	if g == nil {
		return nil, nil
	}
	for _, w := range p.queue.firsts(now, nil) {
		if lateAllowed || w.canBeOnTime(now) {
			return w, g
		}
	}
	return nil, nil
}

// nextRanked returns the queued request to admit next in a prioritized service, and its group; nil
// if there is none. A class that gets no permit now doesn't hold up those behind it.
func (p *servicePool) nextRanked(now time.Time, gateways int) (*waiter, *groupPool) {
	for _, g := range p.sorted {
		// While a late request is about to expire all tokens come faster, also those that requests
		// before it take.
		if g.limiter.lockstep {
			g.paceAllows(now, gateways, true)
		}
	}
	for _, w := range p.queue.firsts(now, p.starved(now)) {
		if g := p.pickGroup(now, gateways, p.classOf(now, w)); g != nil {
			return w, g
		}
	}
	return nil, nil
}
