package gateway

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/dialect"
	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/wire"
)

// ranksOf returns the registrations of the first n of 16 ranks of a group.
func ranksOf(group string, n int, epoch uint64, broken bool) []*directory.Instance {
	list := registeredRanks(n, epoch, broken)
	for _, i := range list {
		i.Id, i.Group, i.Pools, i.Phase = group+string(rune('a'+i.Rank)), group, []string{"llm"}, wire.Phase_PHASE_UP
		i.Direct.GroupSize = 16
	}
	return list
}

// prioritizedService returns a manager with a service whose requests have ranks of urgency.
func prioritizedService(t *testing.T, ranks int, insts []*directory.Instance) (*serviceManager, *servicePool) {
	m := newServiceManager(&Settings{ID: "e"})
	m.ranks = map[string]int{"llm": ranks}
	m.gateways = func() int { return 1 }
	m.setFormTimes(&wire.RoutingConfig{Services: []*wire.RoutedService{{Name: "llm", Engine: &wire.EngineProfile{FormMs: 700}}}})
	assert.NilError(t, m.update(start, insts, updateInputs{}))
	p := m.services["llm"]
	p.gateways = 1
	assert.Equal(t, p.outages.formTime, 700*time.Millisecond)
	return m, p
}

// newOutageArrival returns a stream of a caller that has 8 s.
func newOutageArrival(at time.Time, retried bool) *waiter {
	w := newArrival(at)
	w.retried, w.refused, w.deadline = retried, make(chan struct{}), at.Add(8*time.Second)
	w.hold, w.lastStart = w.giveUpAt.Sub(at), w.deadline.Add(-defaultHeadTime)
	return w
}

func isRefused(w *waiter) bool {
	select {
	case <-w.refused:
		return true
	default:
		return false
	}
}

// Guards against queued retries that are held until their time is over although ranks of the group are
// missing, so that it can't be back by then. Operators see why.
func TestHopelessRequestsAreRefusedDuringOutage(t *testing.T) {
	m, p := prioritizedService(t, 3, ranksOf("g", 16, 1, false))
	m.recordGroupDown(start, p.sorted[0])
	now := start.Add(time.Second)
	first, retry := newOutageArrival(now, false), newOutageArrival(now, true)
	p.sorted[0].limiter.probedAt = now
	d, wait := p.decide(now, 1, first)
	assert.Assert(t, d == decisionRefuse && wait > time.Second && wait <= 8*time.Second/3, "%s", wait)
	d, _ = p.decide(now, 1, retry)
	assert.Equal(t, d, decisionQueue)
	p.admitQueued(now.Add(admitInterval), 1)
	assert.Assert(t, !isRefused(retry))

	now = now.Add(200 * time.Millisecond)
	assert.NilError(t, m.update(now, ranksOf("g", 10, 1, true), updateInputs{}))
	p.admitQueued(now, 1)
	assert.Assert(t, !isRefused(retry), "the group may still be back in time")
	now = retry.giveUpAt.Add(-600 * time.Millisecond)
	p.admitQueued(now, 1)
	assert.Assert(t, isRefused(retry) && len(p.queue.waiters) == 0)
	assert.Assert(t, strings.Contains(retry.cause, "6 ranks missing") && strings.Contains(retry.cause, "recovery in 700 ms at the earliest"), retry.cause)
}

// Guards against a waiting request that doesn't learn of its refusal before its own time is over.
func TestAwaitedRequestIsRefusedDuringOutage(t *testing.T) {
	m, p := prioritizedService(t, 3, ranksOf("g", 16, 1, false))
	began := time.Now()
	m.recordGroupDown(began, p.sorted[0])
	w := newOutageArrival(began, true)
	w.giveUpAt = began.Add(10 * time.Second)
	done := make(chan admission)
	go func() { done <- m.acquire(context.Background(), "llm", w) }()
	for queued := 0; queued == 0; time.Sleep(time.Millisecond) {
		m.mu.Lock()
		queued = len(p.queue.waiters)
		m.mu.Unlock()
	}
	m.setFormTimes(&wire.RoutingConfig{Services: []*wire.RoutedService{{Name: "llm", Engine: &wire.EngineProfile{FormMs: 60_000}}}})
	a := <-done
	assert.Assert(t, !a.ok && time.Since(began) < 9*time.Second)
	assert.Assert(t, strings.Contains(a.cause, "g down for"), a.cause)
	assert.Assert(t, a.retryAfter > 0 && a.waited > 0)
}

// Guards against a request that a group has refused as it is down, and whose caller comes back into the
// same outage.
func TestRefusalByGroupHasRetryAfterOfOutage(t *testing.T) {
	m, p := prioritizedService(t, 3, ranksOf("g", 16, 1, false))
	now := time.Now()
	m.recordGroupDown(now, p.sorted[0])
	c := &call{Gateway: &Gateway{services: m}, service: "llm", waiter: newOutageArrival(now, false)}
	f := refusal{status: 503, reason: reasonUpstreamsBusy}
	c.setRetryAfter(&f)
	assert.Assert(t, f.retryAfter > time.Second && f.retryAfter <= 8*time.Second/3, "%s", f.retryAfter)
	assert.Assert(t, strings.Contains(c.cause, "g down for"), c.cause)
	f = refusal{status: 503, reason: reasonUpstreamsBusy}
	c.waiter = nil
	c.setRetryAfter(&f)
	assert.Equal(t, f.retryAfter, time.Duration(0), "it was never admitted")
}

// Guards against callers that are all told to come back at the recovery, and against a place that is
// beyond any caller's time.
func TestBacklogIsAdmittedOverTime(t *testing.T) {
	_, p := prioritizedService(t, 3, ranksOf("g", 16, 1, false))
	const half = 16 * 12 / 2
	assert.Equal(t, p.admitTimeAfterRecovery(0), time.Duration(0))
	assert.Equal(t, p.admitTimeAfterRecovery(half), minFillTime)
	more := p.admitTimeAfterRecovery(half + 0.4*16*12)
	assert.Equal(t, (more - minFillTime).Round(time.Millisecond), defaultHoldTime)
	assert.Equal(t, p.admitTimeAfterRecovery(1e6), maxReturnTime)
	assert.Equal(t, p.admitTimeAfterRecovery(1e12), maxReturnTime)
}

// Guards against an outage of one group that affects requests which the other serves, and against one
// of both that goes unnoticed.
func TestOutageOfOneOfTwoGroups(t *testing.T) {
	m, p := prioritizedService(t, 3, append(ranksOf("a", 16, 1, true), ranksOf("b", 16, 1, false)...))
	_, down := p.outage(start)
	assert.Assert(t, !down)
	for range 2 {
		w := newOutageArrival(start, false)
		d, _ := p.decide(start, 1, w)
		assert.Assert(t, d == decisionAdmit && w.group.name == "b")
	}
	assert.Assert(t, strings.Contains(p.describe(start), "a down for"), p.describe(start))
	now := start.Add(5 * time.Second)
	m.recordGroupDown(now, p.groups["b"])
	p.observeOutages(now)
	f, down := p.outage(now)
	assert.Assert(t, down && f.DownSince.Equal(now))
	p.groups["a"].limiter.probedAt = now
	d, wait := p.decide(now, 1, newOutageArrival(now, false))
	assert.Assert(t, d == decisionRefuse && wait >= 700*time.Millisecond && wait <= 8*time.Second/3, "%s", wait)
	// The other one forms again.
	now = now.Add(time.Second)
	assert.NilError(t, m.update(now, append(ranksOf("a", 16, 2, false), ranksOf("b", 16, 1, true)...), updateInputs{}))
	w := newOutageArrival(now, false)
	d, _ = p.decide(now, 1, w)
	assert.Assert(t, d == decisionAdmit && w.group.name == "a")
}

// Guards against a lapsed lease of a rank that has registered under another ID meanwhile, which looks like
// a registration, and against a registration that isn't noticed.
func TestRegistrationsAreCounted(t *testing.T) {
	m, p := prioritizedService(t, 3, ranksOf("g", 16, 1, false))
	g := p.sorted[0]
	assert.Equal(t, g.registrations, 16)
	again := ranksOf("g", 16, 1, true)
	restarted := *again[3]
	restarted.Announcement = &wire.Announcement{Id: "other", Incarnation: 7, Group: "g", Rank: 3, Pools: again[3].Pools, Phase: again[3].Phase, Direct: again[3].Direct}
	again[5].Incarnation++
	assert.NilError(t, m.update(start, append(again, &restarted), updateInputs{}))
	assert.Equal(t, g.registrations, 18)
	assert.NilError(t, m.update(start, append(again[4:], &restarted), updateInputs{}))
	assert.Equal(t, g.registrations, 18)
}

// Guards against callers of a service whose ranks are all gone being held as if it weren't down.
func TestOutageOfGroupWithoutRanks(t *testing.T) {
	m, p := prioritizedService(t, 3, ranksOf("g", 16, 1, false))
	now := start.Add(time.Second)
	assert.NilError(t, m.update(now, nil, updateInputs{}))
	f, down := p.outage(now)
	assert.Assert(t, down && f.Missing == 16)
	d, wait := p.decide(now.Add(4*time.Second), 1, newOutageArrival(now.Add(4*time.Second), true))
	assert.Assert(t, d == decisionRefuse && wait > 0)
	// A group that was removed is forgotten.
	p.observeOutages(now.Add(maxGoneTime + time.Second))
	assert.Equal(t, len(p.outages.trackers), 0)
}

// Guards against an outage that is forgotten while requests of the lost ranks are still in flight.
func TestOutageOfGroupWithoutRanksButRequests(t *testing.T) {
	m, p := prioritizedService(t, 3, ranksOf("g", 16, 1, false))
	p.sorted[0].limiter.acquire(start)
	now := start.Add(time.Second)
	assert.NilError(t, m.update(now, nil, updateInputs{}))
	f, down := p.outage(now)
	assert.Assert(t, down && f.Missing == 16)
}

// A service whose upstreams run independently has no outages that are tracked, also while all of them are
// gone and requests are in flight.
func TestOutageOfPlainServiceIsNotTracked(t *testing.T) {
	insts := ranksOf("", 16, 0, false)
	m, p := prioritizedService(t, 3, insts)
	p.sorted[0].limiter.acquire(start)
	assert.NilError(t, m.update(start.Add(time.Second), nil, updateInputs{}))
	_, down := p.outage(start.Add(time.Second))
	assert.Assert(t, !down && len(p.outages.trackers) == 0)
}

// Guards against callers that have left and are counted as coming back, so that others are told to come
// back later.
func TestCallerThatHasLeftDoesNotComeBack(t *testing.T) {
	m, p := prioritizedService(t, 3, ranksOf("g", 16, 1, false))
	now := time.Now()
	m.recordGroupDown(now, p.sorted[0])
	p.observeOutages(now)
	w := newOutageArrival(now, false)
	w.deadline, w.lastStart = now.Add(time.Minute), now.Add(time.Minute)
	p.queue.add(w)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	ok, _ := m.awaitAdmission(ctx, p, w)
	f, down := p.outage(now)
	assert.Assert(t, !ok && down && len(p.queue.waiters) == 0)
	assert.Equal(t, p.outages.returns.Position(now, f, w.priority+1, 0), 0.0)
}

// Guards against callers that are refused for good and are counted as coming back.
func TestCallerRefusedForGoodDoesNotComeBack(t *testing.T) {
	m, p := prioritizedService(t, 3, ranksOf("g", 16, 1, false))
	m.recordGroupDown(start, p.sorted[0])
	p.observeOutages(start)
	f, _ := p.outage(start)
	w := newOutageArrival(start, false)
	w.deadline, w.lastStart = start.Add(time.Second), start.Add(time.Second)
	assert.Assert(t, p.outageRetryAfter(start, f, w) > time.Second/3, "it can't come back in time")
	assert.Equal(t, p.outages.returns.Position(start, f, w.priority+1, 0), 0.0)
	p.outageRetryAfter(start, f, newOutageArrival(start, false))
	assert.Assert(t, p.outages.returns.Position(start, f, w.priority+1, 0) >= 1)
}

// Guards against probes that use up requests while ranks are missing, so that the group can't have
// formed.
func TestGroupThatLacksRanksIsProbedSeldom(t *testing.T) {
	_, p := prioritizedService(t, 3, ranksOf("g", 10, 1, true))
	probes := 0
	for now := start; now.Before(start.Add(4 * time.Second)); now = now.Add(20 * time.Millisecond) {
		if d, _ := p.decide(now, 1, newOutageArrival(now, false)); d == decisionAdmit {
			probes++
			p.sorted[0].limiter.release()
		}
	}
	assert.Assert(t, probes <= 2, "%d probes", probes)
}

// Guards against any change for services whose requests all have the same priority, and for gateways
// whose settings turn the forecasts off.
func TestOutagesOfOtherServicesAreHandledAsBefore(t *testing.T) {
	for _, off := range []bool{false, true} {
		ranks := 1
		if off {
			ranks = 3
		}
		m, p := prioritizedService(t, ranks, ranksOf("g", 16, 1, false))
		if off {
			m.outagesOff = true
			assert.NilError(t, m.update(start, ranksOf("g", 16, 1, false), updateInputs{}))
		}
		m.recordGroupDown(start, p.sorted[0])
		now := start.Add(100 * time.Millisecond)
		d, wait := p.decide(now, 1, newOutageArrival(now, false))
		assert.Assert(t, d == decisionRefuse && wait == retryAfterDown)
		retry := newOutageArrival(now, true)
		d, _ = p.decide(now, 1, retry)
		assert.Equal(t, d, decisionQueue)
		assert.NilError(t, m.update(now, ranksOf("g", 10, 1, true), updateInputs{}))
		p.sorted[0].limiter.probedAt = retry.giveUpAt
		p.admitQueued(retry.giveUpAt.Add(-time.Millisecond), 1)
		assert.Assert(t, !isRefused(retry) && len(p.outages.trackers) == 0)
		assert.Assert(t, p.queue.backlogUntil.IsZero())
		_, _, down := m.retryAfterOutage(now, "llm", retry)
		assert.Assert(t, !down)
	}
}

// Guards against late requests of one priority that make new ones of another late after an outage, and
// against an order that outlasts it.
func TestLateRequestsComeLastAfterOutage(t *testing.T) {
	now := start.Add(time.Second)
	late, fresh := newArrival(start), newArrival(now)
	fresh.priority = 2
	q := &waitQueue{waiters: []*waiter{late, fresh}}
	assert.Equal(t, q.firsts(now, nil)[0], late)
	q.backlogUntil = now.Add(time.Millisecond)
	assert.Equal(t, q.firsts(now, nil)[0], fresh)
	assert.Equal(t, q.ahead(now, q.classOf(now, newArrival(now), nil), nil), 0)
	q.backlogUntil = now
	assert.Equal(t, q.firsts(now, nil)[0], late)
}

// Guards against streams of slow routes that are refused before their callers leave, and against a
// longer wait on routes of services without priorities.
func TestCallersOfSlowStreamsWaitLonger(t *testing.T) {
	now := time.Now()
	s := &Settings{ID: "e"}
	g := &Gateway{settings: s, services: newServiceManager(s), timeouts: newCallerTimeouts()}
	hold := func(priority *uint32, targetMs, gapMs uint32) time.Duration {
		c := &call{
			Gateway: g, receivedAt: now, deadline: now.Add(20 * time.Second), priority: priority, params: dialect.Request{Deadline: 20 * time.Second},
			route: &wire.Route{Name: "r", Kind: wire.RouteKind_ROUTE_KIND_STREAMING, TimeoutMs: 20000, TargetLatencyMs: targetMs, TargetGapMs: gapMs},
		}
		w := c.newWaiter()
		assert.Assert(t, w == c.waiter && w.hold == w.giveUpAt.Sub(now) && w.deadline.Equal(c.deadline))
		return w.hold + firstEventMargin + defaultHeadTime
	}
	urgent := uint32(0)
	assert.Equal(t, hold(&urgent, 400, 120), 2*time.Second)
	assert.Equal(t, hold(&urgent, 1000, 120), 4*time.Second)
	assert.Equal(t, hold(&urgent, 1000, 600), 4800*time.Millisecond)
	assert.Equal(t, hold(nil, 1000, 600), 2*time.Second)
}
