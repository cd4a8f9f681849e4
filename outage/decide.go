package outage

import "time"

const (
	// honoredFraction is the fraction of the time that a caller has left up to which it honors a
	// Retry-After.
	honoredFraction = 3
	// minRetryAfter is the shortest Retry-After, unless the caller honors only a shorter one: it
	// bounds the rate of callers that are told to come back.
	minRetryAfter = 100 * time.Millisecond
)

// Request is what decides on a request that finds its service down.
type Request struct {
	// GiveUpAt is the latest time at which the request may be admitted.
	GiveUpAt time.Time
	// Deadline is when its caller's time is over; zero if unknown. LastStart is the latest time at
	// which a retry may be admitted; zero if unknown. Hold is how long a retry may be held.
	Deadline, LastStart time.Time
	Hold                time.Duration
	// Retried says that its caller has come back already and will not do so again.
	Retried bool
	// AdmitTime is the time that the group needs, once it is back, for the requests that are
	// admitted before this one.
	AdmitTime time.Duration
}

// Holds reports whether to hold the request until the group is back.
//
// A first try is held only while the lost ranks come back: otherwise its caller does better to come back, as
// a request that is held in vain costs its caller more than an immediate refusal. A retry has no
// other chance, so it is held if it may well be served. No request is held that even the earliest
// recovery would be too late for.
func (r *Request) Holds(now time.Time, f Forecast) bool {
	reaches := func(recovery time.Time) bool { return !recovery.Add(r.AdmitTime).After(r.GiveUpAt) }
	switch {
	case !now.Before(r.GiveUpAt) || !reaches(f.likely()):
		return false
	case r.Retried || !r.canReturn(now, f):
		return true
	}
	return f.Returning && reaches(f.Expected)
}

// RetryAfter returns the Retry-After of the request if it is refused. offset is the caller's place
// among those that come back after the recovery.
//
// It is at most what the caller honors. If even a caller that comes back then is unlikely to be
// served, the whole time until the recovery is returned, which the caller takes as a refusal for
// good: coming back would only be a second refusal.
func (r *Request) RetryAfter(now time.Time, f Forecast, offset time.Duration) time.Duration {
	wait := max(f.Expected.Sub(now)+offset, minRetryAfter)
	honored, known := r.honored(now)
	switch {
	case !known:
		return wait
	case !r.canReturn(now, f):
		return max(wait, honored+minRetryAfter)
	}
	return min(wait, honored)
}

// ReturnsAfterRecovery reports whether a Retry-After brings the caller back, and only after the expected
// recovery. One that has come back already, or doesn't honor a wait as long as this, doesn't come again.
func (r *Request) ReturnsAfterRecovery(now time.Time, f Forecast, wait time.Duration) bool {
	honored, known := r.honored(now)
	return !r.Retried && !now.Add(wait).Before(f.Expected) && (!known || wait <= honored)
}

// honored returns the longest Retry-After that the caller honors; known is false if its time left
// isn't known.
func (r *Request) honored(now time.Time) (d time.Duration, known bool) {
	if r.Deadline.IsZero() {
		return 0, false
	}
	return max(r.Deadline.Sub(now)/honoredFraction, 0), true
}

// canReturn reports whether the request may well be served if its caller comes back within the time
// that it honors.
func (r *Request) canReturn(now time.Time, f Forecast) bool {
	honored, known := r.honored(now)
	if !known {
		return true
	}
	until := now.Add(honored + r.Hold)
	if !r.LastStart.IsZero() && r.LastStart.Before(until) {
		until = r.LastStart
	}
	return honored > 0 && !f.likely().After(until)
}
