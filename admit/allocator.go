package admit

import (
	"math"
	"time"
)

// ShareAllocator grants shares of limits to entries; see ShareTTL. It does no I/O and is not safe
// for concurrent use.
type ShareAllocator struct {
	name string
	// openAt is when this allocator may begin to grant.
	openAt      time.Time
	subjects    map[Subject]*accounts
	entryStates map[string]entryState
	membership  membership
	lastSweep   time.Time
	epoch       uint64
	// skipStartupWait and skipEarlierGrants disable one safeguard each, for tests that show
	// that it is needed.
	skipStartupWait, skipEarlierGrants bool
}

// entryState is what the allocator knows from the latest report of an entry.
type entryState struct {
	incarnation, seq uint64
	// fullReport is set once the entry has sent this allocator a full report of its requests in
	// progress.
	fullReport bool
	// ownEpochs is set when the epochs that the report acknowledges are this allocator's.
	ownEpochs bool
}

// NewShareAllocator returns the allocator of a leader that has just been elected. It grants
// nothing until the grants of the one before have expired. name must be unique among all
// allocators.
func NewShareAllocator(now time.Time, name string) *ShareAllocator {
	return &ShareAllocator{
		name: name, openAt: now.Add(grantTTL), subjects: map[Subject]*accounts{},
		entryStates: map[string]entryState{},
	}
}

// grantTTL is how long the allocator counts a grant. It is longer than ShareTTL by the bound on
// clock rates.
const grantTTL = time.Duration(float64(ShareTTL) * maxClockRatio)

// Name returns the allocator's name, or "" while it may not grant yet: an entry that names this
// allocator in a report was answered after the grants of the one before had expired.
func (h *ShareAllocator) Name(now time.Time) string {
	if !h.mayGrant(now) {
		return ""
	}
	return h.name
}

func (h *ShareAllocator) mayGrant(now time.Time) bool {
	return h.skipStartupWait || !now.Before(h.openAt)
}

// AcceptReport processes the head of a report. It returns false if the demands must not be
// answered: this allocator may not grant yet, or the report is not the entry's latest. A
// reordered one would count fewer requests in progress than there are.
func (h *ShareAllocator) AcceptReport(now time.Time, r Report) bool {
	if !h.mayGrant(now) {
		return false
	}
	last := h.entryStates[r.Entry]
	if r.Incarnation < last.incarnation || r.Incarnation == last.incarnation && r.Seq <= last.seq {
		return false
	}
	ownEpochs := r.Allocator == h.name
	// A partial report omits requests in progress.
	firstFull := ownEpochs && !r.Partial && !last.fullReport
	if firstFull {
		h.membership.markReported(r.Entry)
	}
	h.entryStates[r.Entry] = entryState{r.Incarnation, r.Seq, last.fullReport || firstFull, ownEpochs}
	h.sweep(now)
	return true
}

// Grant answers one demand of a report that AcceptReport has accepted. hold is the longest time
// that a request of the subject may run; see RequestTimeouts.
func (h *ShareAllocator) Grant(now time.Time, entry string, s Subject, limit Amounts, d Demand, hold time.Duration) Share {
	d.Wanted, d.Running = d.Wanted.sanitized(), sanitizeAmount(d.Running)
	all := h.subjects[s]
	if all == nil {
		all = newAccounts()
		h.subjects[s] = all
	}
	if !h.entryStates[entry].ownEpochs {
		d.AckedEpoch = 0
	}
	all.advance(now)
	acc := all.getOrCreate(entry)
	o := all.peersOf(acc)
	since := now.Sub(h.openAt)
	o.turn = turnAt(since, limit.Requests)
	a := o.portions(limit, d)
	again := o.renewInterval(since, limit.Requests)
	if bound := h.concurrentBound(now, entry, acc, d, hold); bound < a.Concurrent && !math.IsInf(limit.Concurrent, 1) {
		a.Concurrent = bound
		again = min(again, ShareRetryInterval)
	}
	// An entry that released a grant acknowledges the epoch after it, so that epoch must
	// not be a grant's.
	h.epoch += 2
	if h.skipEarlierGrants {
		acc.grants = nil
	}
	acc.addGrant(now, d, grant{epoch: h.epoch, amounts: a, expires: now.Add(grantTTL)}, hold)
	all.refresh(now, acc)
	return Share{Amounts: a, Epoch: h.epoch, Burst: shareBurst(limit.Requests, a.Requests), MaxTimeout: hold, RenewAfter: again}
}

// concurrentBound returns the most requests in progress that an entry may be granted. Until
// this allocator is settled, another entry may be running any part of the limit: the entry
// keeps as many as it had, which the earlier allocator had granted it, and gets no more. An
// entry that is not in the ring gets none, since a later allocator would not wait for its
// report.
func (h *ShareAllocator) concurrentBound(now time.Time, entry string, acc *account, d Demand, hold time.Duration) float64 {
	switch {
	case !h.membership.has(entry):
		return 0
	case h.settled(now, hold):
		return math.Inf(1)
	case !h.entryStates[entry].ownEpochs:
		// The report may date from before this allocator began to grant. The entry may keep
		// what it has in progress, but the report must not raise peakRunning for later demands.
		return d.Running
	}
	acc.peakRunning = max(acc.peakRunning, d.Running)
	return acc.peakRunning
}

// sweep drops what no longer counts, at most once per grantTTL.
func (h *ShareAllocator) sweep(now time.Time) {
	if now.Sub(h.lastSweep) < grantTTL {
		return
	}
	h.lastSweep = now
	for s, all := range h.subjects {
		all.sweep(now)
		if len(all.byEntry) == 0 {
			delete(h.subjects, s)
		}
	}
}
