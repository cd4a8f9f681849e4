package backpressure

import (
	"time"

	"github.com/snipereach/snipereach/quota"
)

// unreachableDelay is when a gateway asks a replica again that didn't answer. A request waits for
// the call.
const unreachableDelay = 2 * time.Second

// borrower holds the permits of one gateway for one upstream, and decides which replica is asked
// for more.
type borrower struct {
	// held permits may be used until heldUntil.
	held      int
	heldUntil time.Time
	// notBefore is when a replica may be asked again, by its address.
	notBefore map[string]time.Time
	// used counts the permits taken in the lifetime of one.
	used quota.Recent
	// asking is closed when the call that is being made has ended; nil if none is.
	asking chan struct{}
}

// take uses a permit, if one is held.
func (b *borrower) take(now time.Time) bool {
	if b.held == 0 || !now.Before(b.heldUntil) {
		b.held = 0
		return false
	}
	b.held--
	b.used.Add(now, permitLifetime)
	return true
}

// want returns how many permits to ask for: as many as were used in a permit's lifetime.
func (b *borrower) want(now time.Time) int {
	return max(b.used.Most(now, permitLifetime), 1)
}

// next returns the replica to ask, the first that may have a permit.
func (b *borrower) next(now time.Time, replicas []string) (replica string, ok bool) {
	for _, r := range replicas {
		if !now.Before(b.notBefore[r]) {
			return r, true
		}
	}
	return "", false
}

// blockedUntil returns when a replica may be asked next, if none may be asked now and no permit is
// held.
func (b *borrower) blockedUntil(now time.Time, replicas []string) (until time.Time, blocked bool) {
	if b.held > 0 && now.Before(b.heldUntil) {
		return time.Time{}, false
	}
	if len(replicas) == 0 {
		return now.Add(unreachableDelay), true
	}
	for _, r := range replicas {
		at := b.notBefore[r]
		if !now.Before(at) {
			return time.Time{}, false
		}
		if until.IsZero() || at.Before(until) {
			until = at
		}
	}
	return until, true
}

// receive takes permits that were asked for at a time.
func (b *borrower) receive(askedAt time.Time, permits int) {
	b.held, b.heldUntil = permits, askedAt.Add(permitLifetime)
}

// refused records that a replica may not be asked for a time.
func (b *borrower) refused(now time.Time, replica string, retry time.Duration) {
	if b.notBefore == nil {
		b.notBefore = map[string]time.Time{}
	}
	b.notBefore[replica] = now.Add(retry)
}
