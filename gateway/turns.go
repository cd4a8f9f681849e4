package gateway

import "time"

const (
	// usualStay stands in for how long requests keep their place before the first has left:
	// a stream of 26 events at passes of 70 ms takes 1.8 s.
	usualStay = 2 * time.Second
	// lateRate is the part of the places which become free that is left for late requests
	// while others come: a group that runs at three quarters of its capacity leaves a
	// quarter, and somewhat more as callers leave.
	lateRate = 0.4
	// pressedRoom is the part of the pace at which requests are let in that would have to
	// be refused soon otherwise. At that pace reading takes a twelfth of a pass, not a seventh.
	pressedRoom = 0.6
)

// verdict is what is decided of a request that comes.
type verdict int

const (
	// letIn: it has a place and may be sent.
	letIn verdict = iota
	// letWait: it stands in the line.
	letWait
	// turnAway: it is refused.
	turnAway
)

// ask decides on a request that comes: it is let in, waits, or is refused with the time
// after which its caller may come back.
//
// It waits as long as it can be in time, or a place for it comes in sight; else its caller is told
// at once when to come back. One that was tried before would have no other try: while nobody knows
// at which rate late ones get places, it waits as long as there is time.
func (p *servicePool) ask(now time.Time, entries int, w *waiter) (v verdict, wait time.Duration) {
	if p.line.ahead(now, w.canBeInTime(now)) == 0 {
		if g := p.place(now, entries, !w.canBeInTime(now)); g != nil {
			p.admit(now, g, w)
			return letIn, 0
		}
	}
	if len(p.line.list) >= mostWaiting || !now.Before(w.until) {
		return turnAway, p.turnAway(now)
	}
	if !p.inSight(now, entries, w) {
		return turnAway, p.turnAway(now)
	}
	p.line.add(w)
	p.late.waits(now, &p.line)
	return letWait, 0
}

// inSight says whether a request that has to wait is expected to be let in before it must
// be refused: at the pace of the group where slots are free, and then as others leave.
func (p *servicePool) inSight(now time.Time, entries int, w *waiter) bool {
	if !p.opens(now) {
		return w.returned
	}
	if w.canBeInTime(now) && p.expected(now, entries, p.line.ahead(now, true), 1) <= w.inTime.Sub(now) {
		return true
	}
	ahead := p.line.ahead(now, false)
	// Where slots are free, passes have left no room for a moment, and soon will.
	limit, inflight := p.limit(now, entries)
	if rate, known := p.late.rate(now); known && inflight >= limit {
		return float64(ahead+1) <= rate*w.until.Sub(now).Seconds()
	}
	return w.returned || p.expected(now, entries, ahead, lateRate) <= w.until.Sub(now)
}

// expected is how long a request waits that has others ahead of it, if it gets some part
// of the places which become free.
func (p *servicePool) expected(now time.Time, entries, ahead int, part float64) time.Duration {
	limit, inflight := p.limit(now, entries)
	wait := 0.0
	if p.grouped() {
		wait = float64(ahead+1) / max(p.share(now, entries), 1) * refillTime.Seconds()
	}
	if taken := ahead + 1 - max(limit-inflight, 0); taken > 0 {
		wait += float64(taken) * p.stay().Seconds() / (part * float64(max(limit, 1)))
	}
	return time.Duration(wait * float64(time.Second))
}

// share is the entry's part of the slots.
func (g *groupPool) share(entries int) float64 {
	return float64(g.gate.slots) * g.gate.ownPart(entries)
}

// places is how many requests may be let into the group, as far as its slots go; 0 if none may now.
func (g *groupPool) places(now time.Time, entries int, late bool) int {
	limit := g.gate.limit(now, entries)
	if late {
		limit = max(int(lateShare*float64(limit)), 1)
	}
	if len(g.ups) == 0 || g.gate.inflight >= limit || !g.gate.passes(now, g.service.opens(now)) {
		return 0
	}
	if g.gate.grouped && !g.hasRoom(now, entries, late) {
		return 0
	}
	return limit - g.gate.inflight
}

// hasRoom says whether its passes leave room for a request now.
func (g *groupPool) hasRoom(now time.Time, entries int, late bool) bool {
	room := g.gate.brake.room(now)
	if late && g.service.line.pressing(now) {
		room = max(room, pressedRoom)
	}
	g.pace.refill(now, room*g.share(entries), max(paceBurst/float64(max(g.service.answering(now), 1)), 1))
	return room > 0 && g.pace.ready()
}

// admit gives a request a place at a group.
func (p *servicePool) admit(now time.Time, g *groupPool, w *waiter) {
	w.at = g
	if !w.canBeInTime(now) {
		p.late.granted(now)
	}
	p.crowd.admit()
	g.gate.admit(now)
	g.pace.take()
}

// turns lets in those that wait, as far as there are places.
func (p *servicePool) turns(now time.Time, entries int) {
	p.late.waits(now, &p.line)
	for {
		late := p.place(now, entries, true)
		g := late
		if g == nil {
			g = p.place(now, entries, false)
		}
		if g == nil {
			return
		}
		w := p.line.next(now, late != nil)
		if w == nil {
			return
		}
		p.line.remove(w)
		p.admit(now, g, w)
		close(w.granted)
	}
}
