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
	// maxShareWait is how long a request may wait for a team's limit. A request that
	// would have to wait longer is refused at once if the entry holds a grant.
	maxShareWait = 250 * time.Millisecond
	shareTimeout = time.Second
	// idleReportInterval is how often an entry with nothing to ask for reports. A new
	// share allocator must assume requests in progress at an entry that it has no
	// report from.
	idleReportInterval = 2 * time.Second
)

// teamLimits enforces the teams' limits by the shares that the share allocator, a
// control replica, grants to this entry.
type teamLimits struct {
	entry   *Entry
	mu      sync.Mutex
	limiter *admit.Limiter
	// services holds, for each subject, the service that its demand is reported under.
	services map[admit.Subject]string
	wake     chan struct{}
	// lastReport is when the last report was sent, or zero to report at the next
	// wake-up. It is used only by the goroutine of run.
	lastReport time.Time
}

func newTeamLimits(e *Entry) *teamLimits {
	return &teamLimits{entry: e, limiter: admit.NewLimiter(), services: map[admit.Subject]string{}, wake: make(chan struct{}, 1)}
}

// acquire admits a request within its team's limit. The caller must call release when
// the request ends.
func (l *teamLimits) acquire(ctx context.Context, q *request, deadline time.Time) (release func(), ref *wire.Refusal) {
	row := q.view.Limit(q.team.Name, q.service.Name)
	if row == nil {
		return func() {}, nil
	}
	s := admit.SubjectOf(row, q.team.Name, q.service.Name)
	waitDeadline := l.entry.settings.Now().Add(maxShareWait)
	for {
		refused := l.tryAcquire(s, row, q)
		if refused == nil {
			return func() { l.release(s) }, nil
		}
		wait := max(refused.Wait, time.Millisecond)
		now := l.entry.settings.Now()
		if now.Add(wait).After(waitDeadline) && l.hasGrant(s) || !now.Before(waitDeadline) || !now.Before(deadline) {
			return nil, l.refusal(q, row, refused)
		}
		select {
		case <-ctx.Done():
			return nil, l.refusal(q, row, refused)
		case <-time.After(min(wait, waitDeadline.Sub(now))):
		}
	}
}

func (l *teamLimits) tryAcquire(s admit.Subject, row *table.Limit, q *request) *admit.LimitExceeded {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.entry.settings.Now()
	l.limiter.SetEntries(len(l.entry.claims.Ring().Ring.GetMembers()))
	l.services[s] = q.service.Name
	refused := l.limiter.Take(now, s, admit.LimitOf(row), admit.Request{Tokens: float64(q.tokens), Timeout: q.service.Timeout})
	if refused != nil && l.limiter.DueFor(now, s) {
		// Report the increased demand at once, so that a first request waits for a
		// round trip and not for the next tick.
		l.requestSharesNow()
	}
	return refused
}

// requestSharesNow wakes the loop of run before its next tick.
func (l *teamLimits) requestSharesNow() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *teamLimits) hasGrant(s admit.Subject) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.HasGrant(l.entry.settings.Now(), s)
}

func (l *teamLimits) release(s admit.Subject) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.Done(s)
}

var measureReasons = map[string]wire.Reason{
	admit.MeasureRequests:   wire.Reason_REASON_RATE_LIMIT,
	admit.MeasureTokens:     wire.Reason_REASON_TOKEN_LIMIT,
	admit.MeasureConcurrent: wire.Reason_REASON_CONCURRENCY_LIMIT,
}

func (l *teamLimits) refusal(q *request, row *table.Limit, r *admit.LimitExceeded) *wire.Refusal {
	ref := l.entry.refuse(measureReasons[r.Measure], fmt.Sprintf("limit %s is %g", r.Measure, r.Limit))
	ref.RowKind, ref.RowKey, ref.RowVersion = row.Kind, row.Key, row.Version
	ref.RetryAfterMs = uint32(min(max(r.Wait.Milliseconds(), 1), 60_000))
	ref.Observed = []*wire.Observed{
		{Name: "limit_" + r.Measure, Value: finite(r.Limit)},
		{Name: "share_of_this_entry", Value: finite(r.Share)},
	}
	return ref
}

// finite replaces infinities and NaN by 0, because JSON can't represent them.
func finite(v float64) float64 {
	if math.IsInf(v, 0) || math.IsNaN(v) {
		return 0
	}
	return v
}

// run requests shares from the share allocator until the context is done.
func (l *teamLimits) run(ctx context.Context) {
	tick := time.NewTicker(admit.ShareCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-l.wake:
		}
		l.requestShares(ctx)
	}
}

func (l *teamLimits) requestShares(ctx context.Context) {
	sentAt := l.entry.settings.Now()
	if !l.reportDue(sentAt) && sentAt.Sub(l.lastReport) < idleReportInterval {
		return
	}
	report, req, subjects := l.buildReport(sentAt)
	l.lastReport = sentAt
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	var reply *wire.ShareReply
	err := l.entry.controlClient.Call(ctx, func(ctx context.Context, c wire.DRPCControlClient) (err error) {
		reply, err = c.Share(ctx, req)
		return err
	})
	if err != nil {
		kernel.Debug(l.entry.log, "Request for shares of limits failed.", "err", err)
		return
	}
	l.applyShares(sentAt, report, reply, subjects)
}

func (l *teamLimits) reportDue(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.Due(now)
}

func (l *teamLimits) buildReport(now time.Time) (admit.Report, *wire.ShareRequest, map[admit.Subject]admit.Subject) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, demands := l.limiter.Report(now)
	req := &wire.ShareRequest{
		Entry: l.entry.settings.ID, Incarnation: l.entry.incarnation.Number(), Seq: r.Seq, Home: r.Allocator, Partial: r.Partial,
	}
	subjects := map[admit.Subject]admit.Subject{}
	for s, d := range demands {
		service := l.services[s]
		subjects[admit.Subject{Team: s.Team, Service: service}] = s
		req.Demands = append(req.Demands, &wire.ShareDemand{
			Team: s.Team, Service: service, Requests: d.Wanted.Requests, Tokens: d.Wanted.Tokens,
			Concurrent: uint32(d.Wanted.Concurrent), Running: uint32(d.Running), Ack: d.AckedEpoch,
		})
	}
	l.dropUnusedServices()
	return r, req, subjects
}

// dropUnusedServices deletes the services of subjects that the limiter no longer holds.
func (l *teamLimits) dropUnusedServices() {
	for s := range l.services {
		if !l.limiter.HasSubject(s) {
			delete(l.services, s)
		}
	}
}

func (l *teamLimits) applyShares(sentAt time.Time, report admit.Report, reply *wire.ShareReply, subjects map[admit.Subject]admit.Subject) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limiter.HandleAnswer(report, reply.Home) {
		l.lastReport = time.Time{}
		l.requestSharesNow()
	}
	now := l.entry.settings.Now()
	for _, g := range reply.Grants {
		s, ok := subjects[admit.Subject{Team: g.Team, Service: g.Service}]
		if !ok {
			continue
		}
		l.limiter.Apply(now, sentAt, s, reply.Home, admit.Share{
			Amounts: admit.Amounts{
				Requests: g.RequestsPerSecond, Tokens: g.TokensPerSecond, Concurrent: concurrencyLimit(g.Concurrent),
			},
			Epoch: g.Epoch, Burst: g.RequestBurst, MaxTimeout: time.Duration(g.HoldMs) * time.Millisecond,
			RenewAfter: time.Duration(g.AgainMs) * time.Millisecond,
		})
	}
	if l.limiter.Due(now) {
		// The share allocator counts a reduced share at its former size until the
		// entry acknowledges it, so the next report is sent at once.
		l.requestSharesNow()
	}
}

func (l *teamLimits) dump() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.Dump(l.entry.settings.Now())
}

func concurrencyLimit(n uint32) float64 {
	if n == math.MaxUint32 {
		return math.Inf(1)
	}
	return float64(n)
}
