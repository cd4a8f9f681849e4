package admit

import "time"

// RingMembership is the ring membership of the entries in the replicated log.
type RingMembership struct {
	Members []string
	// Previous are the members before the last change.
	Previous []string
	// UnchangedFor is for how long the membership is known to have been the same. MinChangeInterval is
	// a period in which it changes at most once.
	UnchangedFor, MinChangeInterval time.Duration
}

// membership is what the allocator knows of the entries in the ring, and how many of them have
// not sent it a full report yet. The numbers are kept so that a demand need not scan all
// entries.
type membership struct {
	RingMembership
	members, previous map[string]bool
	// unreported counts the members without a full report, unreportedPrevious those of the
	// previous membership.
	unreported, unreportedPrevious int
	// settledHold is the longest request timeout for which the allocator was found settled.
	settledHold time.Duration
}

func (r *membership) has(entry string) bool { return r.members[entry] }

// markReported records the first full report of an entry.
func (r *membership) markReported(entry string) {
	if r.members[entry] {
		r.unreported--
	}
	if r.previous[entry] {
		r.unreportedPrevious--
	}
}

// SetRingMembership sets the ring membership after a change.
func (h *ShareAllocator) SetRingMembership(f RingMembership) {
	r := &h.membership
	r.RingMembership = f
	r.members, r.unreported = h.memberSet(f.Members)
	r.previous, r.unreportedPrevious = h.memberSet(f.Previous)
}

// SetUnchangedFor updates RingMembership.UnchangedFor.
func (h *ShareAllocator) SetUnchangedFor(d time.Duration) { h.membership.UnchangedFor = d }

func (h *ShareAllocator) memberSet(entries []string) (set map[string]bool, unreported int) {
	set = make(map[string]bool, len(entries))
	for _, id := range entries {
		if set[id] {
			continue
		}
		set[id] = true
		if !h.entryStates[id].fullReport {
			unreported++
		}
	}
	return set, unreported
}

// settled reports whether the allocator knows of all requests that were admitted under grants
// of an earlier allocator: every entry of the ring has sent a full report, or the requests have
// ended, by hold, their longest timeout. An entry that left the ring lately may still run some.
func (h *ShareAllocator) settled(now time.Time, hold time.Duration) bool {
	r := &h.membership
	wait := time.Duration(float64(hold) * maxClockRatio)
	if h.skipStartupWait || !now.Before(h.openAt.Add(wait)) || hold <= r.settledHold {
		return true
	}
	if len(r.members) == 0 || r.unreported > 0 {
		return false
	}
	if r.UnchangedFor < wait && (wait > r.MinChangeInterval || r.unreportedPrevious > 0) {
		return false
	}
	r.settledHold = hold
	return true
}
