package gateway

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxQueued bounds the requests of one service that are queued at a gateway, to bound its
	// memory: some kilobytes each, on hosts of less than 200 MB.
	maxQueued = 500
	// lateLimitFraction is the fraction of a gateway's concurrency limit that late requests may
	// fill. The rest is reserved for new requests that can still be answered in time.
	lateLimitFraction = 0.85
	// headTimeFactor allows for response heads that take longer than the usual head time.
	headTimeFactor = 1.5
	// defaultHeadTime is used as the usual time to a response head before the first response.
	defaultHeadTime = 150 * time.Millisecond
	// expiringWindow is the time before a late request has to be refused in which it is admitted
	// also while passes are long, as a refusal would cost it the whole answer, and the streams
	// beside it a part of theirs.
	expiringWindow = 600 * time.Millisecond
	// firstEventTimeout is how long callers wait for the first event of a stream before they
	// leave.
	firstEventTimeout = 2 * time.Second
	// firstEventTargets and firstEventGaps are how many times the target for the first event, and
	// the target gap, callers of a prioritized service wait for the first event if that is longer.
	firstEventTargets = 4
	firstEventGaps    = 8
	// firstEventMargin allows for the network path between caller and gateway, and for a slow
	// pass.
	firstEventMargin = 150 * time.Millisecond
)

// waiter is a request that is queued until its service can admit it.
type waiter struct {
	// onTimeBy is the latest admission at which the request can be answered in time. giveUpAt is
	// the latest admission at all; it is refused after that.
	onTimeBy, giveUpAt time.Time
	// retried says that the caller has sent the request before, so it may have no further try.
	retried bool
	// priority is the rank of the request's priority among those of the service, 0 for the most
	// urgent.
	priority uint32
	// overShare says that the request's team asks for more than its fair share of the service.
	overShare bool
	// onQueued, if set, is called without a lock when the request is queued.
	onQueued func()
	// deadline is when the caller's time is over, and lastStart the latest admission of a retry;
	// zero if unknown. hold is how long a try may be queued.
	deadline, lastStart time.Time
	hold                time.Duration
	// refused is closed when the queued request is refused before giveUpAt, with its cause.
	refused chan struct{}
	cause   string
	// admitted is closed when the request is admitted; group is then the group that it may go to.
	admitted chan struct{}
	group    *groupPool
}

// canBeOnTime reports whether the request can still be answered in time.
func (w *waiter) canBeOnTime(now time.Time) bool { return !now.After(w.onTimeBy) }

// class is what the order of admission depends on, besides the time of the request.
type class struct {
	// starved says that requests of this priority get too little and go first.
	starved bool
	// backlog says that the request is late during an outage of the service or just after it.
	backlog   bool
	priority  uint32
	overShare bool
	late      bool
}

// before reports whether requests of class c are admitted before those of class d.
func (c class) before(d class) bool {
	switch {
	case c.starved != d.starved:
		return c.starved
	case c.backlog != d.backlog:
		return d.backlog
	case c.priority != d.priority:
		return c.priority < d.priority
	case c.overShare != d.overShare:
		return d.overShare
	}
	return !c.late && d.late
}

// class returns the class of the request outside an outage. starved reports whether a priority gets too little; nil
// means that none does.
func (w *waiter) class(now time.Time, starved func(uint32) bool) class {
	return class{
		starved: starved != nil && starved(w.priority), priority: w.priority,
		overShare: w.overShare, late: !w.canBeOnTime(now),
	}
}

// waitQueue holds the queued requests of one service.
//
// After a stall of the group, the callers of several seconds are queued while new ones arrive. In
// order of arrival, each would wait behind the whole backlog and be late too. Requests that can
// still be answered in time therefore go first; late ones lose little by waiting longer.
type waitQueue struct {
	waiters []*waiter
	// backlogUntil is until when late requests come after all others: during an outage and for a while after it.
	backlogUntil time.Time
}

// classOf returns the class of a request, which needn't be queued.
func (q *waitQueue) classOf(now time.Time, w *waiter, starved func(uint32) bool) class {
	c := w.class(now, starved)
	c.backlog = c.late && now.Before(q.backlogUntil)
	return c
}

func (q *waitQueue) add(w *waiter) { q.waiters = append(q.waiters, w) }

func (q *waitQueue) remove(w *waiter) {
	if i := slices.Index(q.waiters, w); i >= 0 {
		q.waiters = slices.Delete(q.waiters, i, i+1)
	}
}

// firsts returns the first request of each class that is queued, in the order of admission. Of the
// requests of a class that can be on time the one with the earliest onTimeBy is first, of late ones
// that with the earliest giveUpAt. Late requests past giveUpAt are skipped.
func (q *waitQueue) firsts(now time.Time, starved func(uint32) bool) []*waiter {
	byClass := map[class]*waiter{}
	for _, w := range q.waiters {
		c := q.classOf(now, w, starved)
		if c.late && !now.Before(w.giveUpAt) {
			continue
		}
		if first := byClass[c]; first == nil || w.dueBy(c.late).Before(first.dueBy(c.late)) {
			byClass[c] = w
		}
	}
	return slices.SortedFunc(maps.Values(byClass), func(a, b *waiter) int {
		if q.classOf(now, a, starved).before(q.classOf(now, b, starved)) {
			return -1
		}
		return 1
	})
}

// dueBy returns the time by which requests of one class are ordered.
func (w *waiter) dueBy(late bool) time.Time {
	if late {
		return w.giveUpAt
	}
	return w.onTimeBy
}

// hasExpiring reports whether a late request will have to be refused within expiringWindow.
func (q *waitQueue) hasExpiring(now time.Time) bool {
	return slices.ContainsFunc(q.waiters, func(w *waiter) bool {
		left := w.giveUpAt.Sub(now)
		return !w.canBeOnTime(now) && left > 0 && left < expiringWindow
	})
}

// hasLate reports whether a queued request of a priority can't be on time any more.
func (q *waitQueue) hasLate(now time.Time, priority uint32) bool {
	return slices.ContainsFunc(q.waiters, func(w *waiter) bool { return w.priority == priority && !w.canBeOnTime(now) })
}

// hasRanked reports whether the class of a queued request depends on more than its time. A request keeps
// its priority when the configuration changes.
func (q *waitQueue) hasRanked() bool {
	return slices.ContainsFunc(q.waiters, func(w *waiter) bool { return w.priority > 0 || w.overShare })
}

// ahead returns how many queued requests would be admitted before one of a class that arrives now.
func (q *waitQueue) ahead(now time.Time, c class, starved func(uint32) bool) int {
	n := 0
	for _, w := range q.waiters {
		if !c.before(q.classOf(now, w, starved)) {
			n++
		}
	}
	return n
}

// pacer is a token bucket that spreads the requests that a gateway admits to a group.
//
// It guards against admitting a whole backlog into an empty group at once: reading all prompts in
// the same few passes would make these longer than the target gap for every stream.
type pacer struct {
	tokens     float64
	refilledAt time.Time
}

const (
	// minFillTime is the shortest time in which all gateways together fill all slots of a group.
	// It limits the share of a rank's time that is spent on reading prompts.
	minFillTime = 900 * time.Millisecond
	// paceBurst is how many requests a gateway may admit at once to all groups of a service
	// together. It must exceed 1 as requests don't arrive evenly, and be small as all gateways
	// learn of free slots at the same moment.
	paceBurst = 3.0
)

// refill adds the tokens earned since the last call, up to burst. share is the number of slots
// that the gateway may fill within minFillTime.
func (p *pacer) refill(now time.Time, share, burst float64) {
	if p.refilledAt.IsZero() {
		p.tokens = burst
	} else {
		p.tokens = min(p.tokens+share*now.Sub(p.refilledAt).Seconds()/minFillTime.Seconds(), burst)
	}
	p.refilledAt = now
}

// hasToken reports whether a request may be admitted now.
func (p *pacer) hasToken() bool { return p.tokens >= 1 }

func (p *pacer) takeToken() { p.tokens-- }
