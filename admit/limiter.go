package admit

import (
	"math"
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
}

type local struct {
	limit   Amounts
	granted Amounts
	until   time.Time
	epoch   uint64
	// requests and tokens are the buckets of this entry's share.
	requests, tokens bucket
	running          int
	seen             time.Time
	asked            meter
}

// NewLimiter makes a limiter that holds no share.
func NewLimiter() *Limiter { return &Limiter{subjects: map[Subject]*local{}} }

// SetEntries tells how many entries the ring has; floors follow from it.
func (l *Limiter) SetEntries(n int) { l.entries = n }

// burstTime is how much of a rate may be saved up.
const burstTime = time.Second

// Take admits a request of some tokens, or says why not. limit is the row's.
func (l *Limiter) Take(now time.Time, s Subject, limit Amounts, tokens float64) *Refused {
	loc := l.local(now, s, limit)
	loc.asked.add(now, 1, tokens)
	share := l.share(now, loc)
	loc.refill(now, share)
	if float64(loc.running)+1 > share.Concurrent {
		return &Refused{MeasureConcurrent, limit.Concurrent, share.Concurrent, time.Second}
	}
	if !math.IsInf(share.Tokens, 1) {
		if ok, wait := loc.tokens.take(now, tokens); !ok {
			return &Refused{MeasureTokens, limit.Tokens, share.Tokens, wait}
		}
	}
	if !math.IsInf(share.Requests, 1) {
		if ok, wait := loc.requests.take(now, 1); !ok {
			loc.tokens.level += tokens
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

func (l *Limiter) local(now time.Time, s Subject, limit Amounts) *local {
	loc := l.subjects[s]
	if loc == nil {
		loc = &local{}
		l.subjects[s] = loc
	}
	loc.limit = limit
	loc.seen = now
	return loc
}

// share is what this entry may use now: its floor, and its grant while that
// lasts, never more than the row says now.
func (l *Limiter) share(now time.Time, loc *local) Amounts {
	floor := Floor(loc.limit, l.entries)
	granted := Amounts{}
	if now.Before(loc.until) {
		granted = loc.granted
	}
	return Amounts{
		Requests:   part(loc.limit.Requests, floor.Requests, granted.Requests),
		Tokens:     part(loc.limit.Tokens, floor.Tokens, granted.Tokens),
		Concurrent: part(loc.limit.Concurrent, floor.Concurrent, granted.Concurrent),
	}
}

func part(limit, floor, granted float64) float64 {
	if math.IsInf(limit, 1) {
		return limit
	}
	return min(floor+granted, limit)
}

func (loc *local) refill(now time.Time, share Amounts) {
	loc.requests.setRate(now, share.Requests, max(1, share.Requests*burstTime.Seconds()))
	loc.tokens.setRate(now, share.Tokens, max(1, share.Tokens*burstTime.Seconds()))
}

// Granted says whether the entry holds a grant for a subject now.
func (l *Limiter) Granted(now time.Time, s Subject) bool {
	loc := l.subjects[s]
	return loc != nil && now.Before(loc.until)
}

// Demands returns what to ask the home for: each subject that was lately asked
// for or has requests in progress.
func (l *Limiter) Demands(now time.Time) map[Subject]Demand {
	list := map[Subject]Demand{}
	for s, loc := range l.subjects {
		if now.Sub(loc.seen) > idleAfter && loc.running == 0 {
			delete(l.subjects, s)
			continue
		}
		requests, tokens := loc.asked.rates(now)
		list[s] = Demand{
			Wanted:  Amounts{Requests: requests, Tokens: tokens, Concurrent: float64(loc.running) + math.Ceil(requests*meterWindow.Seconds()) + 1},
			Running: float64(loc.running),
			Ack:     loc.epoch,
		}
	}
	return list
}

// idleAfter is when a subject without requests is forgotten. A bucket that is
// made anew starts empty, so nothing is gained by it.
const idleAfter = 10 * time.Second

// Apply takes a grant. sent is when the demand left: the grant is used from
// there, so that it ends here before it ends at the home.
func (l *Limiter) Apply(sent time.Time, s Subject, a Amounts, epoch uint64) {
	loc := l.subjects[s]
	if loc == nil || epoch <= loc.epoch {
		return
	}
	loc.epoch = epoch
	loc.granted = a
	loc.until = sent.Add(ShareTTL)
}

// ResetEpochs is called when another home answers: its epochs begin anew. Grants
// of the one before are used up to their end, which the new home waits for.
func (l *Limiter) ResetEpochs() {
	for _, loc := range l.subjects {
		loc.epoch = 0
	}
}

// meter measures how much was asked for lately.
type meter struct {
	window           time.Time
	requests, tokens float64
	// rate holds the averages up to the last window.
	rateRequests, rateTokens float64
}

const meterWindow = 500 * time.Millisecond

func (m *meter) add(now time.Time, requests, tokens float64) {
	m.roll(now)
	m.requests += requests
	m.tokens += tokens
}

func (m *meter) roll(now time.Time) {
	if m.window.IsZero() {
		m.window = now
	}
	d := now.Sub(m.window)
	if d < meterWindow {
		return
	}
	const old = 0.3
	m.rateRequests = old*m.rateRequests + (1-old)*m.requests/d.Seconds()
	m.rateTokens = old*m.rateTokens + (1-old)*m.tokens/d.Seconds()
	m.requests, m.tokens = 0, 0
	m.window = now
}

// rates returns requests and tokens per second, counting the open window.
func (m *meter) rates(now time.Time) (requests, tokens float64) {
	m.roll(now)
	w := meterWindow.Seconds()
	return max(m.rateRequests, m.requests/w), max(m.rateTokens, m.tokens/w)
}
