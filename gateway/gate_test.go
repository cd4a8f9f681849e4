package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/snipereach/snipereach/dialect"
	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/route"
	"github.com/snipereach/snipereach/wire"
)

// ranks registers a group of n ranks with 12 slots each.
func ranks(n int, epoch uint64, broken bool) []*directory.Instance {
	var list []*directory.Instance
	for i := range n {
		list = append(list, &directory.Instance{Announcement: &wire.Announcement{
			Group: "g", Rank: uint32(i), Direct: &wire.DirectUpstream{Slots: 12, GroupEpoch: epoch, GroupBroken: broken && i == 0},
		}})
	}
	return list
}

var start = time.Unix(1000, 0)

// slotsOf is a part of an entry's even share of 16 ranks with 12 slots, of six entries.
func slotsOf(part float64) int { return int(part * 192 / 6) }

// onlyGroup is the pool of a service with one group, and that group's gate.
func onlyGroup(insts []*directory.Instance) (*servicePool, *gate) {
	p := newServicePool(route.Place{Entry: "e"})
	if err := p.update(start, route.Place{Entry: "e"}, insts); err != nil {
		panic(err)
	}
	return p, &p.order[0].gate
}

// enter lets a request in that doesn't wait, or says when its caller may come back.
func (p *servicePool) enter(now time.Time, entries int) (wait time.Duration, ok bool) {
	g := p.order[0]
	if g.gate.inflight >= g.gate.limit(now, entries) || !g.gate.passes(now, false) {
		return p.turnAway(now), false
	}
	p.admit(now, g, &waiter{})
	return 0, true
}

// fill lets requests in until one is refused.
func fill(g *servicePool, now time.Time, entries int) int {
	n := 0
	for n < 10_000 {
		if _, ok := g.enter(now, entries); !ok {
			return n
		}
		n++
	}
	return n
}

// The load: a group of 16 ranks is slow while six entries go on to get requests. Each entry takes its part of the 192 slots and some more, because
// callers don't spread evenly, and refuses the rest at once: nothing is left in the
// upstreams' queues that makes all that follow late.
func TestFullGroupGetsNoMoreThanTheSlots(t *testing.T) {
	p, g := onlyGroup(ranks(16, 1, false))
	n := fill(p, start, 6)
	assert.Equal(t, n, slotsOf(shareMargin))
	wait, ok := p.enter(start, 6)
	assert.Assert(t, !ok && wait >= fullWait && wait < fullWait+200*time.Millisecond)
	g.leave()
	_, ok = p.enter(start, 6)
	assert.Assert(t, ok)
}

// The load: three times as many requests as there are slots, for seconds. Callers that
// find none are told to come back later the more are refused, and again as before once
// slots are free.
func TestCrowdIsToldToComeBackLater(t *testing.T) {
	p, g := onlyGroup(ranks(16, 1, false))
	fill(p, start, 6)
	last := fullWait
	for range 100 {
		wait, ok := p.enter(start, 6)
		assert.Assert(t, !ok && wait >= last && wait <= crowdWait)
		last = wait
	}
	assert.Assert(t, last > crowdWait-50*time.Millisecond)
	for range 100 {
		g.leave()
		_, ok := p.enter(start, 6)
		assert.Assert(t, ok)
	}
	assert.Assert(t, p.crowd.comeBack() < fullWait+50*time.Millisecond)
}

// The load: callers use some entries more than others, and one entry none at all. By even
// parts the busy ones would refuse callers while a quarter of the slots is empty; told how
// many are taken, each keeps what it has and takes its part of those that are free. Once
// all are taken none adds to them, and an old load tells nothing.
func TestBusyEntryTakesItsPartOfTheFreeSlots(t *testing.T) {
	const entries = 6
	taken := func(part float64, held int) gate {
		g := gate{inflight: held}
		g.formed(start, ranks(16, 1, false))
		g.occupied(start, &dialect.Load{Running: int(part * 120), Slots: 120})
		return g
	}
	rounded := func(part float64) int { return int(part + evenRounding) }
	busy := taken(0.75, 40)
	free := (fillPart - 0.75) * 192
	assert.Equal(t, busy.limit(start, entries), rounded(40+freeMargin*free/entries))
	idle := taken(0.75, 0)
	assert.Equal(t, idle.limit(start, entries), rounded(freeMargin*free/entries), "one that has none gets as many, and not its even part at once")
	full := taken(1, 40)
	assert.Equal(t, full.limit(start, entries), rounded(40*fillPart))
	assert.Equal(t, busy.limit(start.Add(occupancyLife), entries), slotsOf(shareMargin))
}

// What callers see: each fifth of a second, as entries are told the load anew, a pass is long that reads up to a prompt for each
// of 28 entries at once, though few slots were free.
// Each entry had a part of a slot to take, rounded up. Rounded at another place at each, all together take what is free.
func TestFewFreeSlotsAreSharedOut(t *testing.T) {
	const entries, held, slots = 28, 6, 192
	free := fillPart*slots - entries*held
	for number := range uint64(50) {
		sum := 0
		for i := range entries {
			sum += toldGate(entries*held, held, i, entries, number).limit(start, entries) - held
		}
		assert.Assert(t, float64(sum) <= freeMargin*free+1 && float64(sum) >= freeMargin*free-1, "%d of %f", sum, free)
	}
}

// toldGate is the gate of an entry that holds some of the requests that were told in a survey.
func toldGate(total, held, index, entries int, number uint64) *gate {
	g := &gate{inflight: held}
	g.formed(start, ranks(16, 1, false))
	g.occupancy, g.told, g.held = float64(total)/192, start, held
	g.rounding = (&route.Survey{Index: index, Entries: entries, Number: number}).Turn()
	return g
}

// All entries together, told the same load, leave no more requests than there are slots
// but for what their margin of the free ones adds until they are told again, and for the one
// that an entry without any may always have.
func TestEntriesTogetherStayWithinTheSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 40).Draw(t, "entries")
		number := rapid.Uint64().Draw(t, "number")
		held := make([]int, entries)
		total, idle := 0, 0
		for i := range held {
			held[i] = rapid.IntRange(0, 400/entries).Draw(t, "held")
			total += held[i]
			if held[i] == 0 {
				idle++
			}
		}
		sum := 0
		for i := range held {
			sum += max(toldGate(total, held[i], i, entries, number).limit(start, entries), held[i])
		}
		free := max(fillPart*192-float64(total), 0)
		if most := float64(total) + freeMargin*free + 1 + float64(idle); float64(sum) > most {
			t.Fatalf("%d entries with %d requests may have %d, more than %.0f", entries, total, sum, most)
		}
	})
}

// However callers are spread over the entries, and wherever they move to, the parts that all entries may take of a group
// add up to two at most: even parts of all, and what they have of the requests that run. An entry with many callers has its part of these
// after some seconds of surveys.
func TestOwnPartsOfAllEntriesAddUp(t *testing.T) {
	const slots = 192
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 60).Draw(t, "entries")
		gates := make([]*gate, entries)
		for i := range gates {
			gates[i] = &gate{slots: slots, grouped: true}
		}
		ups := map[string]*directory.Instance{"u": {Announcement: &wire.Announcement{Direct: &wire.DirectUpstream{Slots: slots}}}}
		busy, sum := 0, 0.0
		for range rapid.IntRange(1, 4).Draw(t, "moves") {
			busy = rapid.IntRange(0, entries-1).Draw(t, "busy")
			total := 0
			for i, g := range gates {
				g.inflight = rapid.IntRange(0, slots/entries/2).Draw(t, "held")
				if i == busy {
					g.inflight += slots / 2
				}
				total += g.inflight
			}
			for range 40 {
				for _, g := range gates {
					g.surveyed(start, &route.Survey{Loads: []route.SurveyedLoad{{ID: "u", Requests: total}}}, ups)
				}
			}
			sum = 0
			for _, g := range gates {
				sum += g.ownPart(entries)
			}
			if sum < 0.999 || sum > 2.001 {
				t.Fatalf("%d entries may take %.2f of the group together", entries, sum)
			}
			if want := float64(gates[busy].inflight) / float64(total); gates[busy].ownPart(entries) < 0.95*want {
				t.Fatalf("the busy one has %.2f of what runs, and may take %.2f", want, gates[busy].ownPart(entries))
			}
		}
	})
}

// The load: a rank has crashed, and the group refuses everything until it forms again.
// Callers are refused at once; a request now and then finds out that it is back, and
// its answer, or a registration of the next epoch, opens the gate for all.
func TestGroupThatIsDownIsProbed(t *testing.T) {
	p, g := onlyGroup(ranks(16, 1, false))
	g.broke(start)
	through := 0
	for now := start; now.Before(start.Add(2 * time.Second)); now = now.Add(20 * time.Millisecond) {
		wait, ok := p.enter(now, 6)
		if ok {
			through++
			g.leave()
			continue
		}
		assert.Equal(t, wait, downWait)
	}
	assert.Assert(t, through >= 8 && through <= 10, "%d requests went through", through)
	g.back()
	assert.Assert(t, fill(p, start.Add(2*time.Second), 6) > 10)

	g = &gate{}
	g.formed(start, ranks(16, 1, true))
	assert.Assert(t, g.down, "a rank says that the group is broken")
	g.formed(start, ranks(16, 2, false))
	assert.Assert(t, !g.down)
	g.formed(start, ranks(16, 1, true))
	assert.Assert(t, !g.down, "an old registration doesn't close the gate again")
}

// The load: a group is held for seconds because one rank's host is frozen. After some
// tenths of a second without any event, requests are refused at once but for a probe;
// the first event opens the gate again. One slow answer alone doesn't close it.
func TestGroupThatStandsStillGetsProbesOnly(t *testing.T) {
	p, g := onlyGroup(ranks(16, 1, false))
	_, ok := p.enter(start, 6)
	assert.Assert(t, ok)
	later := start.Add(10 * time.Second)
	assert.Assert(t, !g.standsStill(later), "one request may be slow")
	for range standstillStreams {
		_, _ = p.enter(start, 6)
	}
	g.alive(later)
	assert.Assert(t, !g.standsStill(later.Add(standstill)))
	still := later.Add(standstill + time.Millisecond)
	assert.Assert(t, g.standsStill(still))
	_, ok = p.enter(still, 6)
	assert.Assert(t, ok, "a probe")
	wait, ok := p.enter(still, 6)
	assert.Assert(t, !ok && wait == downWait)
	g.alive(still)
	_, ok = p.enter(still, 6)
	assert.Assert(t, ok)
}

// All entries together stay within the allowance of second attempts, in any window,
// whatever requests come.
func TestRetryBudgetOfAllEntries(t *testing.T) {
	s := RetrySettings{Ratio: 0.2, Slack: 88}
	s.Window = durationOf(10 * time.Second)
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 40).Draw(t, "entries")
		now := start
		var all []*budgets
		for range entries {
			all = append(all, newBudgets(s, func() int { return entries }, func() time.Time { return now }))
		}
		type tick struct{ requests, retries int }
		var ticks []tick
		for range 25 {
			offered := rapid.IntRange(0, 200).Draw(t, "requests")
			k := tick{requests: offered}
			for i := range offered {
				b := all[i%entries]
				b.offer("pool")
				for b.take("pool") {
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

// An unsafe request goes to another upstream only while it has certainly not run, and
// 503 is said only of one that has run nowhere.
func TestWhatBecomesOfARequest(t *testing.T) {
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
		var h history
		last := outcomeNotRun
		for _, o := range c.outcomes {
			h.note(o)
			last = o
		}
		assert.Equal(t, h.mayTry(c.route), c.may, "%v", c.outcomes)
		assert.Equal(t, h.failure(last, reasonBusy).status, c.status, "%v", c.outcomes)
	}
}
