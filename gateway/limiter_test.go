package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/snipereach/snipereach/dialect"
	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/quota"
	"github.com/snipereach/snipereach/retry"
	"github.com/snipereach/snipereach/route"
	"github.com/snipereach/snipereach/wire"
)

// registeredRanks returns the registrations of a group of n ranks with 12 slots each.
func registeredRanks(n int, epoch uint64, broken bool) []*directory.Instance {
	var list []*directory.Instance
	for i := range n {
		list = append(list, &directory.Instance{Announcement: &wire.Announcement{
			Group: "g", Rank: uint32(i), Direct: &wire.DirectUpstream{Slots: 12, GroupEpoch: epoch, GroupBroken: broken && i == 0},
		}})
	}
	return list
}

var start = time.Unix(1000, 0)

// evenShare returns part times the even share that one of six gateways has of 16 ranks with 12
// slots.
func evenShare(part float64) int { return int(part * 192 / 6) }

// singleGroup returns the pool of a service with one group, and that group's limiter.
func singleGroup(insts []*directory.Instance) (*servicePool, *groupLimiter) {
	p := newServicePool(route.EntryInfo{ID: "e"})
	if err := p.update(start, route.EntryInfo{ID: "e"}, insts, updateInputs{}); err != nil {
		panic(err)
	}
	return p, &p.sorted[0].limiter
}

// tryAdmit admits a request without queueing it, or returns its Retry-After.
func (p *servicePool) tryAdmit(now time.Time, gateways int) (wait time.Duration, ok bool) {
	g := p.sorted[0]
	if g.limiter.inflight >= g.limiter.limit(now, gateways) || !g.limiter.mayAdmit(now, false) {
		return p.refused(now), false
	}
	p.admit(now, g, &waiter{})
	return 0, true
}

// fillGroup admits requests until one is refused, and returns their number.
func fillGroup(g *servicePool, now time.Time, gateways int) int {
	n := 0
	for n < 10_000 {
		if _, ok := g.tryAdmit(now, gateways); !ok {
			return n
		}
		n++
	}
	return n
}

// Without a load report each gateway uses its even share of the slots plus evenShareMargin, and
// refuses the rest, so that upstreams don't queue requests.
func TestEvenShareLimitWithoutLoadReport(t *testing.T) {
	p, g := singleGroup(registeredRanks(16, 1, false))
	n := fillGroup(p, start, 6)
	assert.Equal(t, n, evenShare(evenShareMargin))
	wait, ok := p.tryAdmit(start, 6)
	assert.Assert(t, !ok && wait >= retryAfterMin && wait < retryAfterMin+200*time.Millisecond)
	g.release()
	_, ok = p.tryAdmit(start, 6)
	assert.Assert(t, ok)
}

// Retry-After grows while requests are refused and returns to its minimum when they are admitted
// again.
func TestRetryAfterGrowsWithRefusals(t *testing.T) {
	p, g := singleGroup(registeredRanks(16, 1, false))
	fillGroup(p, start, 6)
	last := retryAfterMin
	for range 100 {
		wait, ok := p.tryAdmit(start, 6)
		assert.Assert(t, !ok && wait >= last && wait <= retryAfterMax)
		last = wait
	}
	assert.Assert(t, last > retryAfterMax-50*time.Millisecond)
	for range 100 {
		g.release()
		_, ok := p.tryAdmit(start, 6)
		assert.Assert(t, ok)
	}
	assert.Assert(t, p.retryAfter.delay() < retryAfterMin+50*time.Millisecond)
}

// With a load report a gateway keeps what it has and takes its share of the free slots, however
// many requests the others have. If all slots are in use none adds to them, and a stale report is
// ignored.
func TestLimitFollowsFreeSlots(t *testing.T) {
	const gateways = 6
	taken := func(part float64, held int) groupLimiter {
		g := groupLimiter{inflight: held}
		g.setUpstreams(start, registeredRanks(16, 1, false), nil)
		g.recordLoad(start, &dialect.Load{Running: int(part * 120), Slots: 120})
		return g
	}
	rounded := func(part float64) int { return int(part + defaultRounding) }
	busy := taken(0.75, 40)
	free := (maxFill - 0.75) * 192
	assert.Equal(t, busy.limit(start, gateways), rounded(40+freeSlotMargin*free/gateways))
	idle := taken(0.75, 0)
	assert.Equal(t, idle.limit(start, gateways), rounded(freeSlotMargin*free/gateways), "an idle gateway gets as many, not its even share at once")
	full := taken(1, 40)
	assert.Equal(t, full.limit(start, gateways), rounded(40*maxFill))
	assert.Equal(t, busy.limit(start.Add(occupancyStaleness), gateways), evenShare(evenShareMargin))
}

// When fewer slots are free than there are gateways, all together may add freeSlotMargin times as
// many requests as slots are free. If each rounded its share up, the next pass would read a
// prompt for each gateway.
func TestFewFreeSlotsAreShared(t *testing.T) {
	const gateways, held, slots = 28, 6, 192
	free := maxFill*slots - gateways*held
	for number := range uint64(50) {
		sum := 0
		for i := range gateways {
			sum += reportedLimiter(gateways*held, held, i, gateways, number).limit(start, gateways) - held
		}
		assert.Assert(t, float64(sum) <= freeSlotMargin*free+1 && float64(sum) >= freeSlotMargin*free-1, "%d of %f", sum, free)
	}
}

// reportedLimiter returns the limiter of a gateway that has held requests in flight, of total in
// a survey.
func reportedLimiter(total, held, index, gateways int, number uint64) *groupLimiter {
	g := &groupLimiter{inflight: held}
	g.setUpstreams(start, registeredRanks(16, 1, false), nil)
	g.occupancy, g.occupancyAt, g.reportedInflight = float64(total)/192, start, held
	g.rounding = (&route.Survey{Index: index, Entries: gateways, Number: number}).Offset()
	return g
}

// All gateways with the same load report together add at most freeSlotMargin times the free
// slots, one request by rounding, and one for each idle gateway.
func TestGatewaysTogetherStayWithinSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gateways := rapid.IntRange(1, 40).Draw(t, "gateways")
		number := rapid.Uint64().Draw(t, "number")
		held := make([]int, gateways)
		total, idle := 0, 0
		for i := range held {
			held[i] = rapid.IntRange(0, 400/gateways).Draw(t, "held")
			total += held[i]
			if held[i] == 0 {
				idle++
			}
		}
		sum := 0
		for i := range held {
			sum += max(reportedLimiter(total, held[i], i, gateways, number).limit(start, gateways), held[i])
		}
		free := max(maxFill*192-float64(total), 0)
		if most := float64(total) + freeSlotMargin*free + 1 + float64(idle); float64(sum) > most {
			t.Fatalf("%d gateways with %d requests may have %d, more than %.0f", gateways, total, sum, most)
		}
	})
}

// The shares of all gateways add up to at most 2, however callers are spread and wherever they
// move. A gateway with many callers gets its fraction of the running requests after some surveys.
func TestSharesOfAllGatewaysAddUp(t *testing.T) {
	const slots = 192
	rapid.Check(t, func(t *rapid.T) {
		gateways := rapid.IntRange(1, 60).Draw(t, "gateways")
		limiters := make([]*groupLimiter, gateways)
		for i := range limiters {
			limiters[i] = &groupLimiter{slots: slots, lockstep: true}
		}
		ups := map[string]*directory.Instance{"u": {Announcement: &wire.Announcement{Direct: &wire.DirectUpstream{Slots: slots}}}}
		busy, sum := 0, 0.0
		for range rapid.IntRange(1, 4).Draw(t, "moves") {
			busy = rapid.IntRange(0, gateways-1).Draw(t, "busy")
			total := 0
			for i, g := range limiters {
				g.inflight = rapid.IntRange(0, slots/gateways/2).Draw(t, "held")
				if i == busy {
					g.inflight += slots / 2
				}
				total += g.inflight
			}
			for range 40 {
				for _, g := range limiters {
					g.applySurvey(start, &route.Survey{Loads: []route.SurveyedLoad{{ID: "u", Requests: total}}}, ups)
				}
			}
			sum = 0
			for _, g := range limiters {
				sum += g.share(gateways)
			}
			if sum < 0.999 || sum > 2.001 {
				t.Fatalf("the shares of %d gateways add up to %.2f", gateways, sum)
			}
			if want := float64(limiters[busy].inflight) / float64(total); limiters[busy].share(gateways) < 0.95*want {
				t.Fatalf("the busy gateway has %.2f of the running requests but a share of %.2f", want, limiters[busy].share(gateways))
			}
		}
	})
}

// A group that is down gets only probes, until a response or a registration of a later epoch
// marks it up. A registration of an earlier epoch doesn't mark it down again.
func TestGroupThatIsDownIsProbed(t *testing.T) {
	p, g := singleGroup(registeredRanks(16, 1, false))
	g.markDown(start)
	through := 0
	for now := start; now.Before(start.Add(2 * time.Second)); now = now.Add(20 * time.Millisecond) {
		wait, ok := p.tryAdmit(now, 6)
		if ok {
			through++
			g.release()
			continue
		}
		assert.Equal(t, wait, retryAfterDown)
	}
	assert.Assert(t, through >= 8 && through <= 10, "%d requests were admitted", through)
	g.markUp()
	assert.Assert(t, fillGroup(p, start.Add(2*time.Second), 6) > 10)

	g = &groupLimiter{}
	g.setUpstreams(start, registeredRanks(16, 1, true), nil)
	assert.Assert(t, g.down, "a rank reports the group as broken")
	g.setUpstreams(start, registeredRanks(16, 2, false), nil)
	assert.Assert(t, !g.down)
	g.setUpstreams(start, registeredRanks(16, 1, true), nil)
	assert.Assert(t, !g.down, "a registration of an earlier epoch marks the group down")
}

// A group without any event for stallTimeout gets only probes until the next event. A single slow
// response is no stall.
func TestStalledGroupGetsProbesOnly(t *testing.T) {
	p, g := singleGroup(registeredRanks(16, 1, false))
	_, ok := p.tryAdmit(start, 6)
	assert.Assert(t, ok)
	later := start.Add(10 * time.Second)
	assert.Assert(t, !g.stalled(later), "one request may be slow")
	for range stallMinRequests {
		_, _ = p.tryAdmit(start, 6)
	}
	g.recordProgress(later)
	assert.Assert(t, !g.stalled(later.Add(stallTimeout)))
	still := later.Add(stallTimeout + time.Millisecond)
	assert.Assert(t, g.stalled(still))
	_, ok = p.tryAdmit(still, 6)
	assert.Assert(t, ok, "a probe")
	wait, ok := p.tryAdmit(still, 6)
	assert.Assert(t, !ok && wait == retryAfterDown)
	g.recordProgress(still)
	_, ok = p.tryAdmit(still, 6)
	assert.Assert(t, ok)
}

// All gateways together stay within the retry budget in any window.
func TestRetryBudgetOfAllGateways(t *testing.T) {
	s := retry.Allowance{Ratio: 0.2, Slack: 88, Window: 10 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		gateways := rapid.IntRange(1, 40).Draw(t, "gateways")
		now := start
		clock := func() time.Time { return now }
		lender := retry.NewLender(clock)
		now = now.Add(s.Window)
		borrow := func(service string) bool { return lender.Lend(service, s, quota.Position{Count: 1}) }
		var all []*retry.Budget
		for i := range gateways {
			all = append(all, retry.NewBudget(s, func() quota.Position { return quota.Position{Index: i, Count: gateways} }, borrow, clock))
		}
		type tick struct{ requests, retries int }
		var ticks []tick
		for range 25 {
			offered := rapid.IntRange(0, 200).Draw(t, "requests")
			k := tick{requests: offered}
			for i := range offered {
				b := all[i%gateways]
				b.RecordRequest("pool")
				for b.Take("pool") {
					k.retries++
				}
			}
			ticks = append(ticks, k)
			now = now.Add(time.Second)
		}
		for from := 0; from+10 <= len(ticks); from++ {
			requests, retries := 0, 0
			for _, k := range ticks[from : from+10] {
				requests += k.requests
				retries += k.retries
			}
			if float64(retries) > s.Ratio*float64(requests)+s.Slack {
				t.Fatalf("%d retries of %d requests from second %d on", retries, requests, from)
			}
		}
	})
}

// A request that isn't repeatable is retried only while it has certainly not run, and 503 is
// returned only for a request that has run nowhere.
func TestAttemptHistory(t *testing.T) {
	once := &wire.Route{Kind: wire.RouteKind_ROUTE_KIND_UNSAFE, MaxAttempts: 2}
	often := &wire.Route{Kind: wire.RouteKind_ROUTE_KIND_SAFE, MaxAttempts: 2}
	for _, c := range []struct {
		route    *wire.Route
		outcomes []outcome
		may      bool
		status   int
	}{
		{once, []outcome{outcomeNotSent}, true, 503},
		{once, []outcome{outcomeNotRun}, true, 503},
		{once, []outcome{outcomeMisdirected}, true, 503},
		{once, []outcome{outcomeInDoubt}, false, 502},
		{once, []outcome{outcomeNotRun, outcomeInDoubt}, false, 502},
		{once, []outcome{outcomeExpired}, false, 504},
		{once, []outcome{outcomeNotRun, outcomeNotRun}, false, 503},
		{once, []outcome{outcomeNotSent, outcomeNotSent, outcomeNotSent}, false, 503},
		{often, []outcome{outcomeInDoubt}, true, 502},
		{often, []outcome{outcomeInDoubt, outcomeNotRun}, false, 502},
		{often, nil, true, 503},
	} {
		var h attemptHistory
		last := outcomeNotRun
		for _, o := range c.outcomes {
			h.record(o)
			last = o
		}
		assert.Equal(t, h.mayRetry(c.route), c.may, "%v", c.outcomes)
		assert.Equal(t, h.failure(last, reasonUpstreamsBusy).status, c.status, "%v", c.outcomes)
	}
}

// 18 of the 72 ranks of a group register, so that it can't form. Its callers must be refused at
// once, with a Retry-After beyond most callers' time, and hardly any request be sent to its ranks.
// When all ranks have registered, requests must be served again.
func TestIncompleteGroupRefusesAtOnce(t *testing.T) {
	const size = 72
	ranks := func(n int, broken bool) []*directory.Instance {
		list := registeredRanks(n, 0, broken)
		for _, i := range list {
			i.Direct.GroupSize = size
		}
		return list
	}
	p, g := singleGroup(ranks(18, true))
	probes := 0
	arrive := func(at time.Duration, retried bool) (decision, time.Duration) {
		now := start.Add(at)
		d, wait := p.decide(now, 6, &waiter{retried: retried, onTimeBy: now, giveUpAt: now.Add(1500 * time.Millisecond)})
		if d == decisionAdmit {
			probes++
			g.release()
		}
		return d, wait
	}
	d, _ := arrive(100*time.Millisecond, true)
	assert.Equal(t, d, decisionQueue, "a rank may be restarting")
	p.queue = waitQueue{}
	assert.Equal(t, g.state(start.Add(incompleteTimeout)), groupIncomplete)
	probes = 0
	for at := incompleteTimeout; at < incompleteTimeout+10*time.Second; at += 50 * time.Millisecond {
		d, wait := arrive(at, at%(100*time.Millisecond) == 0)
		assert.Assert(t, d != decisionQueue)
		assert.Assert(t, d == decisionAdmit || wait == retryAfterIncomplete)
	}
	assert.Assert(t, probes <= 6, "%d probes", probes)

	now := start.Add(20 * time.Second)
	formed := ranks(size, false)
	for _, i := range formed {
		i.Direct.GroupEpoch = 1
	}
	assert.NilError(t, p.update(now, route.EntryInfo{ID: "e"}, formed, updateInputs{}))
	d, _ = arrive(20*time.Second, false)
	assert.Equal(t, d, decisionAdmit)
}

// A group that serves is not incomplete, however few of its ranks are known to be registered.
func TestServingGroupIsNotIncomplete(t *testing.T) {
	insts := registeredRanks(16, 1, false)
	for _, i := range insts {
		i.Direct.GroupSize = 18
	}
	_, g := singleGroup(insts)
	assert.Equal(t, g.state(start.Add(2*incompleteTimeout)), groupOpen)
}
