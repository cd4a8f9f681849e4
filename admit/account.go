package admit

import "time"

// account records what the allocator has granted to one entry for one subject and what the
// entry reported.
type account struct {
	// grants that the entry may be using, oldest first.
	grants []grant
	// expired merges the grants that expired before the entry acknowledged a later one. A
	// report that was sent before they expired may arrive after that and omit requests that
	// were admitted in between, so their concurrency stays counted.
	expired grant
	demand  Amounts
	// reportedRunning is the number of requests in progress in the entry's last report.
	reportedRunning float64
	// peakRunning is the most requests in progress that the entry reported while the allocator
	// was not settled; see ShareAllocator.settled.
	peakRunning float64
	// runningUntil is when the last request admitted under any of the grants has ended.
	runningUntil time.Time
	// slot is the account's index in the sumTree. changesAt is when its totals next change
	// by time alone, heapIndex its index in the changeQueue or notQueued.
	slot      int
	changesAt time.Time
	heapIndex int
}

type grant struct {
	epoch   uint64
	amounts Amounts
	expires time.Time
	// runningUntil is when the last request admitted under the grant has ended, by the
	// allocator's clock.
	runningUntil time.Time
}

// addGrant records a grant and the demand that it answers. The reply that carries it may be
// lost, so earlier grants stay counted until the entry acknowledges a later epoch.
func (acc *account) addGrant(now time.Time, d Demand, g grant, hold time.Duration) {
	g.runningUntil = g.expires.Add(time.Duration(float64(hold) * maxClockRatio))
	kept := acc.grants[:0]
	for _, old := range acc.grants {
		switch {
		case old.epoch < d.AckedEpoch:
		case now.Before(old.expires):
			kept = append(kept, old)
		default:
			acc.expired = acc.expired.merge(old)
		}
	}
	if acc.expired.epoch < d.AckedEpoch {
		acc.expired = grant{}
	}
	acc.grants = append(kept, g)
	acc.demand = d.Wanted
	acc.reportedRunning = d.Running
	if g.runningUntil.After(acc.runningUntil) {
		acc.runningUntil = g.runningUntil
	}
}

// merge returns a grant that covers the concurrency of both grants for as long as either.
func (g grant) merge(o grant) grant {
	g.epoch = max(g.epoch, o.epoch)
	g.amounts.Concurrent = max(g.amounts.Concurrent, o.amounts.Concurrent)
	if o.runningUntil.After(g.runningUntil) {
		g.runningUntil = o.runningUntil
	}
	return g
}

// inUse returns the most that the entry may be using now.
func (acc *account) inUse(now time.Time) Amounts {
	var a Amounts
	for _, g := range acc.grants {
		if now.Before(g.runningUntil) {
			a.Concurrent = max(a.Concurrent, g.amounts.Concurrent)
		}
		if now.Before(g.expires) {
			a.Requests = max(a.Requests, g.amounts.Requests)
			a.Tokens = max(a.Tokens, g.amounts.Tokens)
		}
	}
	if now.Before(acc.expired.runningUntil) {
		a.Concurrent = max(a.Concurrent, acc.expired.amounts.Concurrent)
	}
	if now.Before(acc.runningUntil) {
		a.Concurrent = max(a.Concurrent, acc.reportedRunning)
	}
	return a
}

// hasDemand reports whether the entry's last demand asked for a share and its latest grant
// has not expired.
func (acc *account) hasDemand(now time.Time) bool {
	return acc.demand != Amounts{} && now.Before(acc.grants[len(acc.grants)-1].expires)
}

// totals returns the account's contribution to the totals of its subject.
func (acc *account) totals(now time.Time) totals {
	s := totals{used: acc.inUse(now)}
	if acc.hasDemand(now) {
		s.wanted, s.askers = acc.demand, 1
	}
	return s
}

// nextChange returns when the account's totals next change by time alone; ok is false if
// they don't.
func (acc *account) nextChange(now time.Time) (next time.Time, ok bool) {
	consider := func(t time.Time) {
		if now.Before(t) && (!ok || t.Before(next)) {
			next, ok = t, true
		}
	}
	for _, g := range acc.grants {
		consider(g.expires)
		consider(g.runningUntil)
	}
	consider(acc.expired.runningUntil)
	consider(acc.runningUntil)
	return next, ok
}
