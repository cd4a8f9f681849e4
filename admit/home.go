package admit

import (
	"math"
	"time"
)

// Home grants shares. It is pure and not safe for use by several goroutines.
type Home struct {
	name string
	// open is when this home may begin to grant.
	open     time.Time
	subjects map[Subject]*accounts
	lives    map[string]life
	ring     ring
	swept    time.Time
	epoch    uint64
	// skipWait and skipEarlier switch off a safeguard each, for tests that show
	// that it is needed.
	skipWait, skipEarlier bool
}

// life is the last report of an entry.
type life struct {
	incarnation, seq uint64
	// told is set once the entry has said to this home what it has in progress.
	told bool
	// acks is set when the report's epochs are this home's.
	acks bool
}

// NewHome makes the home of a leader that has just begun to lead. It waits until
// the grants of the one before it have ended. name differs from that of any
// other home.
func NewHome(now time.Time, name string) *Home {
	return &Home{
		name: name, open: now.Add(homeTTL), subjects: map[Subject]*accounts{},
		lives: map[string]life{},
	}
}

// homeTTL is how long the home counts a grant.
const homeTTL = time.Duration(float64(ShareTTL) * clockRatio)

// Name returns the home's name, or nothing while it may not grant: an entry that
// names this home has been answered after the grants of the one before ended.
func (h *Home) Name(now time.Time) string {
	if !h.isOpen(now) {
		return ""
	}
	return h.name
}

func (h *Home) isOpen(now time.Time) bool { return h.skipWait || !now.Before(h.open) }

// Hear takes the head of an entry's demands. It returns false if they must not be
// answered: this home may not grant yet, or the report is not the entry's latest.
// A late one would count fewer requests in progress than there are.
func (h *Home) Hear(now time.Time, r Report) bool {
	if !h.isOpen(now) {
		return false
	}
	last := h.lives[r.Entry]
	if r.Incarnation < last.incarnation || r.Incarnation == last.incarnation && r.Seq <= last.seq {
		return false
	}
	acks := r.Home == h.name
	// A partial report leaves out requests in progress, so it doesn't tell of all.
	tells := acks && !r.Partial && !last.told
	if tells {
		h.ring.tell(r.Entry)
	}
	h.lives[r.Entry] = life{r.Incarnation, r.Seq, last.told || tells, acks}
	h.sweep(now)
	return true
}

// Grant answers one demand of a report that Hear has taken. hold is the longest
// time that a request of the subject may run; see Holds.
func (h *Home) Grant(now time.Time, entry string, s Subject, limit Amounts, d Demand, hold time.Duration) Share {
	d.Wanted, d.Running = d.Wanted.sane(), saneAmount(d.Running)
	all := h.subjects[s]
	if all == nil {
		all = newAccounts()
		h.subjects[s] = all
	}
	if !h.lives[entry].acks {
		d.Ack = 0
	}
	all.settle(now)
	acc := all.of(entry)
	o := all.others(acc)
	since := now.Sub(h.open)
	o.turn = turnAt(since, limit.Requests)
	a := o.portions(limit, d)
	again := o.again(since, limit.Requests)
	if bound := h.concurrentBound(now, entry, acc, d, hold); bound < a.Concurrent && !math.IsInf(limit.Concurrent, 1) {
		a.Concurrent = bound
		again = min(again, ShareInterval)
	}
	// An entry that gives a grant up names the epoch after it, so that is no grant's.
	h.epoch += 2
	if h.skipEarlier {
		acc.grants = nil
	}
	acc.take(now, d, grant{epoch: h.epoch, amounts: a, expires: now.Add(homeTTL)}, hold)
	all.update(now, acc)
	return Share{Amounts: a, Epoch: h.epoch, Burst: burst(limit.Requests, a.Requests), Hold: hold, Again: again}
}

// concurrentBound is what an entry may be granted to have in progress. Until this
// home is settled, another entry may be running any part of the limit that this
// one does not: it may go on with as many as it had, which the home before had
// granted it, and no more. An entry that is not in the ring gets none, since no
// home would know that it must wait for it.
func (h *Home) concurrentBound(now time.Time, entry string, acc *account, d Demand, hold time.Duration) float64 {
	switch {
	case !h.ring.has(entry):
		return 0
	case h.settled(now, hold):
		return math.Inf(1)
	case !h.lives[entry].acks:
		// The report may be from before this home began; a share for as many as
		// it names has ended by now, and a later one must not go by it.
		return d.Running
	}
	acc.had = max(acc.had, d.Running)
	return acc.had
}

// sweep drops what doesn't count any more.
func (h *Home) sweep(now time.Time) {
	if now.Sub(h.swept) < homeTTL {
		return
	}
	h.swept = now
	for s, all := range h.subjects {
		all.sweep(now)
		if len(all.byEntry) == 0 {
			delete(h.subjects, s)
		}
	}
}
