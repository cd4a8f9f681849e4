package gateway

import (
	"slices"
	"time"
)

const (
	// mostWaiting bounds the requests of one service that wait at an entry: some
	// kilobytes each, on hosts of less than 200 MB.
	mostWaiting = 500
	// lateShare is the part of an entry's limit that requests which are late already may
	// fill: what is left is for those that come meanwhile and can be in time.
	lateShare = 0.85
	// headSpread covers answers whose head takes longer than usual.
	headSpread = 1.5
	// leastHead stands in for the usual time to a head before the first answer.
	leastHead = 150 * time.Millisecond
	// lastCall is how long before it would have to be refused a request is let in also where
	// passes leave no room: it loses all then, the others a part.
	lastCall = 600 * time.Millisecond
	// callerPatience is how long callers wait for the first event of a stream before they
	// leave it; a request that is let in later than that less the time to a head runs for
	// nobody.
	callerPatience = 2 * time.Second
	// patienceMargin is for the way between caller and entry, and for a slow pass.
	patienceMargin = 150 * time.Millisecond
)

// waiter is a request that waits at an entry until its service has a place for it.
type waiter struct {
	// inTime is the latest time at which it can be let in and be answered in time; until
	// the latest at all, after which it is refused.
	inTime, until time.Time
	// returned says that the request was tried before: its caller may have no try left.
	returned bool
	// granted is closed when it is let in, and at is the group that it may go to then.
	granted chan struct{}
	at      *groupPool
}

// canBeInTime says whether it can still be answered in time.
func (w *waiter) canBeInTime(now time.Time) bool { return !now.After(w.inTime) }

// waitingLine holds the requests of one service that wait at an entry.
//
// The load that it answers: after the whole system, or a group, stood still for seconds,
// all callers of these seconds are there at once, and new ones come as before. Served as
// they came, each waits for all before it and is late, for as long as the backlog lasts;
// so it takes six to eight seconds until one is in time again. Those that are late lose
// nothing more by waiting for a second, so whoever can still be in time goes first.
type waitingLine struct {
	list []*waiter
}

func (l *waitingLine) add(w *waiter) { l.list = append(l.list, w) }

func (l *waitingLine) remove(w *waiter) {
	if i := slices.Index(l.list, w); i >= 0 {
		l.list = slices.Delete(l.list, i, i+1)
	}
}

// next is the request that is to be let in first: of those that can be in time the one
// for which that ends first, and after them, if late ones may go, the one that has to be
// refused first. nil if there is none.
func (l *waitingLine) next(now time.Time, lateMayGo bool) *waiter {
	var inTime, late *waiter
	for _, w := range l.list {
		switch {
		case w.canBeInTime(now):
			if inTime == nil || w.inTime.Before(inTime.inTime) {
				inTime = w
			}
		case now.Before(w.until):
			if late == nil || w.until.Before(late.until) {
				late = w
			}
		}
	}
	if inTime == nil && lateMayGo {
		return late
	}
	return inTime
}

// pressing says whether a late request will have to be refused soon.
func (l *waitingLine) pressing(now time.Time) bool {
	return slices.ContainsFunc(l.list, func(w *waiter) bool {
		left := w.until.Sub(now)
		return !w.canBeInTime(now) && left > 0 && left < lastCall
	})
}

// hasLate says whether any waits that can't be in time.
func (l *waitingLine) hasLate(now time.Time) bool {
	return slices.ContainsFunc(l.list, func(w *waiter) bool { return !w.canBeInTime(now) })
}

// ahead is how many would be let in before a request that comes now.
func (l *waitingLine) ahead(now time.Time, inTime bool) int {
	n := 0
	for _, w := range l.list {
		if !inTime || w.canBeInTime(now) {
			n++
		}
	}
	return n
}

// pacer spreads the requests that an entry lets into a group.
//
// The load that it answers: a group has stood still and is empty, and a hundred callers
// wait. Let in at once, their prompts are read in the same passes, which then take twice
// as long as callers are content with, for all. At a filling of all slots in refillTime
// reading takes about a seventh of a pass.
type pacer struct {
	tokens float64
	at     time.Time
}

const (
	// refillTime is how long it takes at least to fill all slots of a group: a rank with
	// 12 slots then reads 12 prompts of 835 tokens a second, at 74,800 tokens a second
	// 13 in 100 of its time.
	refillTime = 900 * time.Millisecond
	// paceBurst is how many requests an entry lets in at once, into all groups of a service together: callers
	// don't come evenly. Where each of a hundred entries could save up one only, callers waited for seconds
	// and were refused while half of the slots were free. Three for each of three groups were more than
	// their passes bear: they come in the same moment, when entries are told what is free.
	paceBurst = 3.0
)

// refill adds what an entry with a share of the slots may let in since the last time, to a burst at most.
func (p *pacer) refill(now time.Time, share, burst float64) {
	if p.at.IsZero() {
		p.tokens = burst
	} else {
		p.tokens = min(p.tokens+share*now.Sub(p.at).Seconds()/refillTime.Seconds(), burst)
	}
	p.at = now
}

// ready says whether a request may be let in now.
func (p *pacer) ready() bool { return p.tokens >= 1 }

func (p *pacer) take() { p.tokens-- }
