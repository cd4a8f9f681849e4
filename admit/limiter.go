package admit

import (
	"math"
	"sort"
	"time"
)

// Measures that a limit has.
const (
	MeasureRequests   = "requests_per_second"
	MeasureTokens     = "tokens_per_second"
	MeasureConcurrent = "concurrent"
)

// Refused says which measure a request is over, and by what.
type Refused struct {
	Measure string
	// Limit is the row's value; Share is this entry's part of it now.
	Limit, Share float64
	// Wait is when to come back.
	Wait time.Duration
}

// Limiter holds an entry's shares and admits requests within them. It is pure
// and not safe for use by several goroutines.
type Limiter struct {
	entries  int
	subjects map[Subject]*local
	// home is the one that answered last, and told the one that has answered a
	// report of all that is in progress.
	home, told string
	seq        uint64
}

// local is an entry's part of one subject.
type local struct {
	limit Amounts
	// entries is the ring size that the buckets were last set for.
	entries int
	granted Amounts
	burst   float64
	// hold bounds the timeout of a request in the concurrent part of the grant.
	hold  time.Duration
	sent  time.Time
	until time.Time
	home  string
	epoch uint64
	// requests and tokens are the buckets of this entry's share.
	requests, tokens bucket
	running          int
	seen             time.Time
	asked            meter
	pauses           pauses
	question         question
}

// NewLimiter makes a limiter that holds no share.
func NewLimiter() *Limiter { return &Limiter{subjects: map[Subject]*local{}} }

// SetEntries tells how many entries the ring has; floors follow from it.
func (l *Limiter) SetEntries(n int) { l.entries = n }

// burstTime is how much of a rate may be saved up.
const burstTime = time.Second

// Ask is a request that wants to be admitted.
type Ask struct {
	Tokens float64
	// Timeout is how long the request may be in progress.
	Timeout time.Duration
}

// Take admits a request, or says why not. limit is the row's.
func (l *Limiter) Take(now time.Time, s Subject, limit Amounts, a Ask) *Refused {
	loc := l.local(now, s, limit)
	loc.asked.add(now, 1, a.Tokens)
	share := loc.share(now)
	if most := loc.concurrent(now, a.Timeout); float64(loc.running)+1 > most {
		loc.question.stale = loc.question.stale || a.Timeout > loc.hold
		return &Refused{MeasureConcurrent, limit.Concurrent, most, noShareWait}
	}
	if !math.IsInf(share.Tokens, 1) {
		if ok, wait := loc.tokens.takeLarge(now, a.Tokens); !ok {
			return &Refused{MeasureTokens, limit.Tokens, share.Tokens, wait}
		}
	}
	if !math.IsInf(share.Requests, 1) {
		if ok, wait := loc.requests.take(now, 1); !ok {
			loc.tokens.level += a.Tokens
			return &Refused{MeasureRequests, limit.Requests, share.Requests, wait}
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

// local returns a subject's state, brought up to now.
func (l *Limiter) local(now time.Time, s Subject, limit Amounts) *local {
	loc := l.subjects[s]
	if loc == nil {
		loc = &local{limit: limit, entries: l.entries}
		l.subjects[s] = loc
	}
	loc.settle(now)
	if loc.limit != limit || loc.entries != l.entries {
		loc.question.stale = loc.question.stale || loc.limit != limit
		loc.limit, loc.entries = limit, l.entries
		loc.refill(now, now)
	}
	if !loc.seen.IsZero() {
		loc.pauses.add(now, now.Sub(loc.seen))
	}
	loc.seen = now
	return loc
}

// share is what this entry may use now: its floor, and its grant while that
// lasts, never more than the row says now.
func (loc *local) share(now time.Time) Amounts {
	floor := Floor(loc.limit, loc.entries)
	g := loc.grant(now)
	return Amounts{
		Requests:   part(loc.limit.Requests, floor.Requests, g.Requests),
		Tokens:     part(loc.limit.Tokens, floor.Tokens, g.Tokens),
		Concurrent: part(loc.limit.Concurrent, floor.Concurrent, g.Concurrent),
	}
}

// concurrent is how many requests with a timeout may be in progress here. The
// home counts what was admitted under a grant for the grant's hold, and then
// gives it to others: a request that may run longer is held to the floor.
func (loc *local) concurrent(now time.Time, timeout time.Duration) float64 {
	if timeout > loc.hold {
		return part(loc.limit.Concurrent, Floor(loc.limit, loc.entries).Concurrent, 0)
	}
	return loc.share(now).Concurrent
}

func (loc *local) grant(now time.Time) Amounts {
	if !now.Before(loc.until) {
		return Amounts{}
	}
	return loc.granted
}

func part(limit, floor, granted float64) float64 {
	if math.IsInf(limit, 1) {
		return limit
	}
	return min(floor+granted, limit)
}

// settle brings the buckets up to now. A grant that has ended since is counted up
// to its end and no further: its home gives the same part to others from then on.
func (loc *local) settle(now time.Time) {
	if !loc.until.IsZero() && loc.requests.filled.Before(loc.until) && !now.Before(loc.until) {
		loc.refill(loc.until, loc.until)
	}
	loc.refill(now, now)
}

// refill fills the buckets up to a time and sets the rates of the share that
// holds from then on.
func (loc *local) refill(at, now time.Time) {
	share := loc.share(now)
	if math.IsInf(loc.limit.Tokens, 1) {
		loc.tokens = bucket{filled: at}
	} else {
		loc.tokens.setRate(at, share.Tokens, share.Tokens*burstTime.Seconds())
	}
	if math.IsInf(loc.limit.Requests, 1) {
		loc.requests = bucket{filled: at}
		return
	}
	saved := floorBurst(loc.limit.Requests, loc.entries)
	if now.Before(loc.until) {
		saved += loc.burst
	}
	most := max(loc.limit.Requests*burstTime.Seconds(), 1)
	loc.requests.setRate(at, share.Requests, min(saved, most))
}

// Granted says whether the entry holds a grant for a subject now.
func (l *Limiter) Granted(now time.Time, s Subject) bool {
	loc := l.subjects[s]
	return loc != nil && now.Before(loc.until)
}

// Knows says whether anything is kept of a subject.
func (l *Limiter) Knows(s Subject) bool { return l.subjects[s] != nil }

// LocalState is one subject of an entry in a dump. -1 is no limit.
type LocalState struct {
	Team       string  `json:"team"`
	Service    string  `json:"service"`
	Requests   float64 `json:"share_requests_per_second"`
	Tokens     float64 `json:"share_tokens_per_second"`
	Concurrent float64 `json:"share_concurrent"`
	Running    int     `json:"running"`
	// Granted is how long the grant still lasts; 0 leaves the floor alone.
	Granted int64  `json:"granted_ms"`
	Home    string `json:"home"`
}

// Dump lists the subjects that this entry has a part of.
func (l *Limiter) Dump(now time.Time) []LocalState {
	list := []LocalState{}
	for s, loc := range l.subjects {
		share := loc.share(now)
		list = append(list, LocalState{
			Team: s.Team, Service: s.Service, Requests: finite(share.Requests), Tokens: finite(share.Tokens),
			Concurrent: finite(share.Concurrent), Running: loc.running,
			Granted: max(loc.until.Sub(now).Milliseconds(), 0), Home: loc.home,
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

// Apply takes a grant. sent is when the demand left: the grant is used from
// there, so that it ends here before it ends at the home.
func (l *Limiter) Apply(now, sent time.Time, s Subject, home string, g Share) {
	loc := l.subjects[s]
	if loc == nil || home == loc.home && g.Epoch <= loc.epoch {
		return
	}
	if home != loc.home && sent.Before(loc.sent) {
		// A late answer of another home would replace the grant of a later one.
		return
	}
	loc.settle(now)
	loc.question.answered(sent, g, loc.grant(now))
	loc.home, loc.epoch = home, g.Epoch
	loc.granted, loc.burst, loc.hold = g.Amounts, g.Burst, g.Hold
	loc.sent, loc.until = sent, sent.Add(ShareTTL)
	loc.refill(now, now)
}

// release gives the grant up before its end.
func (loc *local) release(now time.Time) {
	loc.settle(now)
	loc.granted, loc.burst = Amounts{}, 0
	loc.until = now
	loc.epoch++
	loc.refill(now, now)
}
