package admit

import (
	"math"
	"sort"
	"time"
)

// Names of the measures of a limit.
const (
	MeasureRequests   = "requests_per_second"
	MeasureTokens     = "tokens_per_second"
	MeasureConcurrent = "concurrent"
)

// LimitExceeded describes why Limiter.Take refused a request.
type LimitExceeded struct {
	Measure string
	// Limit is the configured limit of the measure; Share is this entry's current part of
	// it.
	Limit, Share float64
	// Wait is how long to wait before trying again.
	Wait time.Duration
}

// Limiter holds the shares of one entry and admits requests within them. It does no I/O and
// is not safe for concurrent use.
type Limiter struct {
	entries  int
	subjects map[Subject]*localShare
	// allocator is the name of the allocator that answered last, fullReportTo the one that has
	// answered a full report.
	allocator, fullReportTo string
	seq                     uint64
}

// localShare is an entry's share of the limit of one subject.
type localShare struct {
	limit Amounts
	// ringSize is the number of entries that the buckets were last set for.
	ringSize int
	granted  Amounts
	burst    float64
	// maxTimeout bounds the timeout of a request that uses the concurrent part of the
	// grant.
	maxTimeout time.Duration
	sentAt     time.Time
	expires    time.Time
	allocator  string
	epoch      uint64
	// requestBucket and tokenBucket enforce the share's rates.
	requestBucket, tokenBucket bucket
	running                    int
	lastRequest                time.Time
	arrivals                   meter
	pauses                     pauseTracker
	renewal                    renewal
}

// NewLimiter returns a Limiter without shares.
func NewLimiter() *Limiter { return &Limiter{subjects: map[Subject]*localShare{}} }

// SetEntries sets the number of entries in the ring, which floors are computed from.
func (l *Limiter) SetEntries(n int) { l.entries = n }

// burstTime is how many seconds' worth of a rate may accumulate in a bucket.
const burstTime = time.Second

// Request is what a request needs to be admitted.
type Request struct {
	Tokens float64
	// Timeout is how long the request may be in progress.
	Timeout time.Duration
}

// Take admits a request, or returns why it is refused. limit is the one in force now. Done
// must be called for each admitted request.
func (l *Limiter) Take(now time.Time, s Subject, limit Amounts, a Request) *LimitExceeded {
	loc := l.localShare(now, s, limit)
	loc.arrivals.add(now, 1, a.Tokens)
	share := loc.share(now)
	if entryLimit := loc.concurrencyLimit(now, a.Timeout); float64(loc.running)+1 > entryLimit {
		loc.renewal.stale = loc.renewal.stale || a.Timeout > loc.maxTimeout
		return &LimitExceeded{MeasureConcurrent, limit.Concurrent, entryLimit, noShareRetryDelay}
	}
	if !math.IsInf(share.Tokens, 1) {
		if ok, wait := loc.tokenBucket.takeLarge(now, a.Tokens); !ok {
			return &LimitExceeded{MeasureTokens, limit.Tokens, share.Tokens, wait}
		}
	}
	if !math.IsInf(share.Requests, 1) {
		if ok, wait := loc.requestBucket.take(now, 1); !ok {
			loc.tokenBucket.level += a.Tokens
			return &LimitExceeded{MeasureRequests, limit.Requests, share.Requests, wait}
		}
	}
	loc.running++
	return nil
}

// Done ends a request that Take admitted.
func (l *Limiter) Done(s Subject) {
	if loc := l.subjects[s]; loc != nil && loc.running > 0 {
		loc.running--
	}
}

// localShare returns the state of a subject, brought up to now.
func (l *Limiter) localShare(now time.Time, s Subject, limit Amounts) *localShare {
	loc := l.subjects[s]
	if loc == nil {
		loc = &localShare{limit: limit, ringSize: l.entries}
		l.subjects[s] = loc
	}
	loc.advance(now)
	if loc.limit != limit || loc.ringSize != l.entries {
		loc.renewal.stale = loc.renewal.stale || loc.limit != limit
		loc.limit, loc.ringSize = limit, l.entries
		loc.refillBuckets(now, now)
	}
	if !loc.lastRequest.IsZero() {
		loc.pauses.record(now, now.Sub(loc.lastRequest))
	}
	loc.lastRequest = now
	return loc
}

// share returns what this entry may use now: its floor and its unexpired grant, at most the
// limit.
func (loc *localShare) share(now time.Time) Amounts {
	floor := Floor(loc.limit, loc.ringSize)
	g := loc.activeGrant(now)
	return Amounts{
		Requests:   localLimit(loc.limit.Requests, floor.Requests, g.Requests),
		Tokens:     localLimit(loc.limit.Tokens, floor.Tokens, g.Tokens),
		Concurrent: localLimit(loc.limit.Concurrent, floor.Concurrent, g.Concurrent),
	}
}

// concurrencyLimit returns how many requests may be in progress here for one with the given
// timeout to be admitted. The allocator counts the requests of a grant for no longer than the
// grant's maxTimeout allows, so a request that may run longer is held to the floor.
func (loc *localShare) concurrencyLimit(now time.Time, timeout time.Duration) float64 {
	if timeout > loc.maxTimeout {
		return localLimit(loc.limit.Concurrent, Floor(loc.limit, loc.ringSize).Concurrent, 0)
	}
	return loc.share(now).Concurrent
}

func (loc *localShare) activeGrant(now time.Time) Amounts {
	if !now.Before(loc.expires) {
		return Amounts{}
	}
	return loc.granted
}

func localLimit(limit, floor, granted float64) float64 {
	if math.IsInf(limit, 1) {
		return limit
	}
	return min(floor+granted, limit)
}

// advance refills the buckets up to now. A grant that has expired meanwhile counts up to its
// end only: the allocator may have granted the same part to another entry from then on.
func (loc *localShare) advance(now time.Time) {
	if !loc.expires.IsZero() && loc.requestBucket.lastRefill.Before(loc.expires) && !now.Before(loc.expires) {
		loc.refillBuckets(loc.expires, loc.expires)
	}
	loc.refillBuckets(now, now)
}

// refillBuckets refills the buckets up to at and sets the rates of the share as of now.
func (loc *localShare) refillBuckets(at, now time.Time) {
	share := loc.share(now)
	if math.IsInf(loc.limit.Tokens, 1) {
		loc.tokenBucket = bucket{lastRefill: at}
	} else {
		loc.tokenBucket.setRate(at, share.Tokens, share.Tokens*burstTime.Seconds())
	}
	if math.IsInf(loc.limit.Requests, 1) {
		loc.requestBucket = bucket{lastRefill: at}
		return
	}
	saved := floorBurst(loc.limit.Requests, loc.ringSize)
	if now.Before(loc.expires) {
		saved += loc.burst
	}
	most := max(loc.limit.Requests*burstTime.Seconds(), 1)
	loc.requestBucket.setRate(at, share.Requests, min(saved, most))
}

// HasGrant reports whether the entry holds an unexpired grant for a subject.
func (l *Limiter) HasGrant(now time.Time, s Subject) bool {
	loc := l.subjects[s]
	return loc != nil && now.Before(loc.expires)
}

// HasSubject reports whether the Limiter keeps state of a subject.
func (l *Limiter) HasSubject(s Subject) bool { return l.subjects[s] != nil }

// LocalState describes one subject of an entry in a dump; -1 means unlimited.
type LocalState struct {
	Team       string  `json:"team"`
	Service    string  `json:"service"`
	Requests   float64 `json:"share_requests_per_second"`
	Tokens     float64 `json:"share_tokens_per_second"`
	Concurrent float64 `json:"share_concurrent"`
	Running    int     `json:"running"`
	// Granted is the time until the grant expires; with 0, the entry has its floor alone.
	Granted   int64  `json:"granted_ms"`
	Allocator string `json:"home"`
}

// Dump returns the subjects that this entry keeps state of, ordered by team and service.
func (l *Limiter) Dump(now time.Time) []LocalState {
	list := []LocalState{}
	for s, loc := range l.subjects {
		share := loc.share(now)
		list = append(list, LocalState{
			Team: s.Team, Service: s.Service, Requests: finite(share.Requests), Tokens: finite(share.Tokens),
			Concurrent: finite(share.Concurrent), Running: loc.running,
			Granted: max(loc.expires.Sub(now).Milliseconds(), 0), Allocator: loc.allocator,
		})
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Team != list[j].Team {
			return list[i].Team < list[j].Team
		}
		return list[i].Service < list[j].Service
	})
	return list
}

// Apply takes a grant. sent is when the demand was sent: the grant's lifetime counts from then,
// so that it expires here before it expires at the allocator.
func (l *Limiter) Apply(now, sent time.Time, s Subject, allocatorName string, g Share) {
	loc := l.subjects[s]
	if loc == nil || allocatorName == loc.allocator && g.Epoch <= loc.epoch {
		return
	}
	if allocatorName != loc.allocator && sent.Before(loc.sentAt) {
		// A delayed answer of another allocator must not replace a later grant.
		return
	}
	loc.advance(now)
	loc.renewal.recordAnswer(sent, g, loc.activeGrant(now))
	loc.allocator, loc.epoch = allocatorName, g.Epoch
	loc.granted, loc.burst, loc.maxTimeout = g.Amounts, g.Burst, g.MaxTimeout
	loc.sentAt, loc.expires = sent, sent.Add(ShareTTL)
	loc.refillBuckets(now, now)
}

// releaseGrant gives the grant up before it expires. Incrementing the epoch acknowledges this
// to the allocator.
func (loc *localShare) releaseGrant(now time.Time) {
	loc.advance(now)
	loc.granted, loc.burst = Amounts{}, 0
	loc.expires = now
	loc.epoch++
	loc.refillBuckets(now, now)
}
