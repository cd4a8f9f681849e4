package entry

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/snipereach/snipereach/admit"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/table"
	"github.com/snipereach/snipereach/wire"
)

const (
	// maxShareWait is how long a request may wait for its share of a limit; one
	// that would have to wait longer is refused at once.
	maxShareWait = 250 * time.Millisecond
	shareTimeout = time.Second
	// idleReport is how often an entry without requests says so: a new home that
	// has not heard it must reckon with requests in progress there.
	idleReport = 2 * time.Second
)

// limits drives the entry's limiter.
type limits struct {
	entry *Entry
	mu    sync.Mutex
	lim   *admit.Limiter
	// services holds, by subject, the service that a demand is asked under.
	services map[admit.Subject]string
	ask      chan struct{}
	// reported is when the home was asked last; it is the loop's own.
	reported time.Time
}

func newLimits(e *Entry) *limits {
	return &limits{entry: e, lim: admit.NewLimiter(), services: map[admit.Subject]string{}, ask: make(chan struct{}, 1)}
}

// take admits a request within its team's limit. release is to be called when it
// is over.
func (l *limits) take(ctx context.Context, q *request, deadline time.Time) (release func(), ref *wire.Refusal) {
	row := q.view.Limit(q.team.Name, q.service.Name)
	if row == nil {
		return func() {}, nil
	}
	s := admit.SubjectOf(row, q.team.Name, q.service.Name)
	end := l.entry.settings.Now().Add(maxShareWait)
	for {
		refused := l.try(s, row, q)
		if refused == nil {
			return func() { l.done(s) }, nil
		}
		wait := max(refused.Wait, time.Millisecond)
		now := l.entry.settings.Now()
		if now.Add(wait).After(end) && l.granted(s) || !now.Before(end) || !now.Before(deadline) {
			return nil, l.refusal(q, row, refused)
		}
		select {
		case <-ctx.Done():
			return nil, l.refusal(q, row, refused)
		case <-time.After(min(wait, end.Sub(now))):
		}
	}
}

func (l *limits) try(s admit.Subject, row *table.Limit, q *request) *admit.Refused {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.entry.settings.Now()
	l.lim.SetEntries(len(l.entry.claims.Ring().Ring.GetMembers()))
	l.services[s] = q.service.Name
	refused := l.lim.Take(now, s, admit.LimitOf(row), admit.Ask{Tokens: float64(q.tokens), Timeout: q.service.Timeout})
	if refused != nil && l.lim.DueFor(now, s) {
		// The share may follow a demand that has just grown; asking at once is
		// what makes a first request wait for a round trip and not for a round.
		l.askSoon()
	}
	return refused
}

// askSoon lets the next round begin at once.
func (l *limits) askSoon() {
	select {
	case l.ask <- struct{}{}:
	default:
	}
}

func (l *limits) granted(s admit.Subject) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lim.Granted(l.entry.settings.Now(), s)
}

func (l *limits) done(s admit.Subject) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lim.Done(s)
}

var measureReasons = map[string]wire.Reason{
	admit.MeasureRequests:   wire.Reason_REASON_RATE_LIMIT,
	admit.MeasureTokens:     wire.Reason_REASON_TOKEN_LIMIT,
	admit.MeasureConcurrent: wire.Reason_REASON_CONCURRENCY_LIMIT,
}

func (l *limits) refusal(q *request, row *table.Limit, r *admit.Refused) *wire.Refusal {
	ref := l.entry.refuse(measureReasons[r.Measure], fmt.Sprintf("limit %s is %g", r.Measure, r.Limit))
	ref.RowKind, ref.RowKey, ref.RowVersion = row.Kind, row.Key, row.Version
	ref.RetryAfterMs = uint32(min(max(r.Wait.Milliseconds(), 1), 60_000))
	ref.Observed = []*wire.Observed{
		{Name: "limit_" + r.Measure, Value: finite(r.Limit)},
		{Name: "share_of_this_entry", Value: finite(r.Share)},
	}
	return ref
}

// finite keeps values that JSON can't carry out of a refusal.
func finite(v float64) float64 {
	if math.IsInf(v, 0) || math.IsNaN(v) {
		return 0
	}
	return v
}

// run asks the home for shares until the context is done.
func (l *limits) run(ctx context.Context) {
	tick := time.NewTicker(admit.ShareCheck)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-l.ask:
		}
		l.round(ctx)
	}
}

func (l *limits) round(ctx context.Context) {
	sent := l.entry.settings.Now()
	if !l.due(sent) && sent.Sub(l.reported) < idleReport {
		return
	}
	head, req, subjects := l.report(sent)
	l.reported = sent
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	var reply *wire.ShareReply
	err := l.entry.client.Call(ctx, func(ctx context.Context, c wire.DRPCControlClient) (err error) {
		reply, err = c.Share(ctx, req)
		return err
	})
	if err != nil {
		kernel.Debug(l.entry.log, "No share of limits was granted.", "err", err)
		return
	}
	l.apply(sent, head, reply, subjects)
}

func (l *limits) due(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lim.Due(now)
}

func (l *limits) report(now time.Time) (admit.Report, *wire.ShareRequest, map[admit.Subject]admit.Subject) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, demands := l.lim.Report(now)
	req := &wire.ShareRequest{
		Entry: l.entry.settings.ID, Incarnation: l.entry.life.Number(), Seq: r.Seq, Home: r.Home, Partial: r.Partial,
	}
	subjects := map[admit.Subject]admit.Subject{}
	for s, d := range demands {
		service := l.services[s]
		subjects[admit.Subject{Team: s.Team, Service: service}] = s
		req.Demands = append(req.Demands, &wire.ShareDemand{
			Team: s.Team, Service: service, Requests: d.Wanted.Requests, Tokens: d.Wanted.Tokens,
			Concurrent: uint32(d.Wanted.Concurrent), Running: uint32(d.Running), Ack: d.Ack,
		})
	}
	l.forget()
	return r, req, subjects
}

// forget drops the services of subjects that the limiter has forgotten.
func (l *limits) forget() {
	for s := range l.services {
		if !l.lim.Knows(s) {
			delete(l.services, s)
		}
	}
}

func (l *limits) apply(sent time.Time, head admit.Report, reply *wire.ShareReply, subjects map[admit.Subject]admit.Subject) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lim.Answered(head, reply.Home) {
		l.reported = time.Time{}
		l.askSoon()
	}
	now := l.entry.settings.Now()
	for _, g := range reply.Grants {
		s, ok := subjects[admit.Subject{Team: g.Team, Service: g.Service}]
		if !ok {
			continue
		}
		l.lim.Apply(now, sent, s, reply.Home, admit.Share{
			Amounts: admit.Amounts{
				Requests: g.RequestsPerSecond, Tokens: g.TokensPerSecond, Concurrent: concurrent(g.Concurrent),
			},
			Epoch: g.Epoch, Burst: g.RequestBurst, Hold: time.Duration(g.HoldMs) * time.Millisecond,
			Again: time.Duration(g.AgainMs) * time.Millisecond,
		})
	}
	if l.lim.Due(now) {
		// A smaller share counts as the larger one until the home has heard of it.
		l.askSoon()
	}
}

func (l *limits) dump() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lim.Dump(l.entry.settings.Now())
}

func concurrent(n uint32) float64 {
	if n == math.MaxUint32 {
		return math.Inf(1)
	}
	return float64(n)
}
