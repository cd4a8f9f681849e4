package admit

import "time"

// account is one entry's part of one subject.
type account struct {
	// grants that the entry may be using, oldest first.
	grants []grant
	// ended stands for the grants that ended before the entry named a later one:
	// a report that was sent before their end and comes after it doesn't count the
	// requests that were admitted in between.
	ended  grant
	demand Amounts
	// running is what the entry last reported to have in progress.
	running float64
	// had is the most that it reported before the home was settled.
	had float64
	// held is how long its requests in progress may go on.
	held time.Time
	// slot is its place in the sums, next when its part of them changes by time, and
	// dueIndex its place in the queue of these changes.
	slot     int
	next     time.Time
	dueIndex int
}

type grant struct {
	epoch   uint64
	amounts Amounts
	expires time.Time
	// held is when the last request that was admitted under it has ended.
	held time.Time
}

// take notes a new grant. The answer that carries it may be lost, so earlier
// grants count until the entry has named a later one or they have ended.
func (acc *account) take(now time.Time, d Demand, g grant, hold time.Duration) {
	g.held = g.expires.Add(time.Duration(float64(hold) * clockRatio))
	kept := acc.grants[:0]
	for _, old := range acc.grants {
		switch {
		case old.epoch < d.Ack:
		case now.Before(old.expires):
			kept = append(kept, old)
		default:
			acc.ended = acc.ended.join(old)
		}
	}
	if acc.ended.epoch < d.Ack {
		acc.ended = grant{}
	}
	acc.grants = append(kept, g)
	acc.demand = d.Wanted
	acc.running = d.Running
	if g.held.After(acc.held) {
		acc.held = g.held
	}
}

// join returns a grant that counts for as much and as long as both.
func (g grant) join(o grant) grant {
	g.epoch = max(g.epoch, o.epoch)
	g.amounts.Concurrent = max(g.amounts.Concurrent, o.amounts.Concurrent)
	if o.held.After(g.held) {
		g.held = o.held
	}
	return g
}

// live is what the entry may be using now.
func (acc *account) live(now time.Time) Amounts {
	var a Amounts
	for _, g := range acc.grants {
		if now.Before(g.held) {
			a.Concurrent = max(a.Concurrent, g.amounts.Concurrent)
		}
		if now.Before(g.expires) {
			a.Requests = max(a.Requests, g.amounts.Requests)
			a.Tokens = max(a.Tokens, g.amounts.Tokens)
		}
	}
	if now.Before(acc.ended.held) {
		a.Concurrent = max(a.Concurrent, acc.ended.amounts.Concurrent)
	}
	if now.Before(acc.held) {
		a.Concurrent = max(a.Concurrent, acc.running)
	}
	return a
}

// asking says whether the entry has asked for a share lately.
func (acc *account) asking(now time.Time) bool {
	return acc.demand != Amounts{} && now.Before(acc.grants[len(acc.grants)-1].expires)
}

// sums are the account's part of its subject's.
func (acc *account) sums(now time.Time) sums {
	s := sums{used: acc.live(now)}
	if acc.asking(now) {
		s.wanted, s.asking = acc.demand, 1
	}
	return s
}

// nextChange is when the sums change next if nothing is heard, if they do.
func (acc *account) nextChange(now time.Time) (next time.Time, ok bool) {
	ends := func(t time.Time) {
		if now.Before(t) && (!ok || t.Before(next)) {
			next, ok = t, true
		}
	}
	for _, g := range acc.grants {
		ends(g.expires)
		ends(g.held)
	}
	ends(acc.ended.held)
	ends(acc.held)
	return next, ok
}
