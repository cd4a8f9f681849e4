package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/route"
	"github.com/snipereach/snipereach/wire"
)

// twoGroups is a fleet with one service whose 24 ranks form the groups a and b.
func twoGroups(t *testing.T, broken bool) (*fleet, *groupPool, *groupPool) {
	f := newFleet(&Settings{ID: "e"})
	f.place.Seed = 1
	f.entries = func() int { return 4 }
	var insts []*directory.Instance
	for i := range 24 {
		group := "ab"[i%2 : i%2+1]
		insts = append(insts, &directory.Instance{Announcement: &wire.Announcement{
			Id: group + string(rune('a'+i/2)), Incarnation: 1, Group: group, Rank: uint32(i / 2), Pools: []string{"llm"}, Phase: wire.Phase_PHASE_UP,
			Direct: &wire.DirectUpstream{Slots: 10, GroupEpoch: 1, GroupBroken: broken && i == 0},
		}})
	}
	assert.NilError(t, f.update(start, insts))
	p := f.services["llm"]
	return f, p.groups["a"], p.groups["b"]
}

// What callers saw: all of a service's requests are refused for as long as one of its groups is down.
// What happens: a rank of group a is lost; it says that its group is broken, and requests that go there are refused.
// Group b runs as before: all requests go there, and only when it is down too are callers told to come back.
func TestLostRankClosesItsOwnGroupOnly(t *testing.T) {
	_, a, b := twoGroups(t, true)
	p := a.service
	assert.Assert(t, a.gate.down && !b.gate.down)
	for range 2 {
		w := comes(start)
		v, _ := p.ask(start, 4, w)
		assert.Assert(t, v == letIn && w.at == b)
	}
	assert.Assert(t, p.serves())
	b.gate.broke(start)
	v, wait := p.ask(start, 4, comes(start))
	assert.Assert(t, v == turnAway && wait == downWait)
	assert.Assert(t, !p.serves())
}

// A request whose group goes down before it is sent, or sent again, goes to the other group, and takes its place along. With
// no other group that answers it stays.
func TestRequestTakesItsPlaceToAnotherGroup(t *testing.T) {
	f, a, b := twoGroups(t, false)
	a.gate.admit(start)
	up, at, ok := f.pick(start, a, &route.Request{})
	assert.Assert(t, ok && at == a && up.ID[0] == 'a')
	f.done(start, at, up, &route.Request{}, route.Result{})
	f.refusedByGroup(start, a)
	up, at, ok = f.pick(start, a, &route.Request{Exclude: map[string]bool{up.ID: true}})
	assert.Assert(t, ok && at == b && up.ID[0] == 'b')
	assert.Equal(t, a.gate.inflight, 0)
	assert.Equal(t, b.gate.inflight, 1)
	f.done(start, at, up, &route.Request{}, route.Result{})
	a.gate.back()
	f.refusedByGroup(start, b)
	a.gate.broke(start)
	_, at, ok = f.pick(start, b, &route.Request{})
	assert.Assert(t, ok && at == b)
}

// What callers saw: a request that may be in time within 150 ms is held for 0.8 s and refused, though nearly all slots of its
// plain service are free.
// What happens: one of six upstreams says nothing for a second, with one request of the entry; another comes meanwhile.
// Why: the entry's part of 36 slots, and of the queue behind each, is less than two where there are a hundred and fifty of them.
// A few requests go in any case: callers come to some entries only, and an upstream whose queue is full says so at once.
func TestSilentUpstreamDoesNotCloseItsService(t *testing.T) {
	f := newFleet(&Settings{ID: "e"})
	f.entries = func() int { return 150 }
	var insts []*directory.Instance
	for i := range 6 {
		insts = append(insts, &directory.Instance{Announcement: &wire.Announcement{
			Id: string(rune('a' + i)), Incarnation: 1, Pools: []string{"clock"}, Phase: wire.Phase_PHASE_UP, Direct: &wire.DirectUpstream{Slots: 6},
		}})
	}
	assert.NilError(t, f.update(start, insts))
	p := f.services["clock"]
	for range 2 {
		v, _ := p.ask(start, 150, comes(start))
		assert.Equal(t, v, letIn)
	}
	for range 100 {
		_, _ = p.ask(start, 150, comes(start))
	}
	assert.Assert(t, p.groups[""].gate.inflight < 6, "%d in flight", p.groups[""].gate.inflight)
}

// What callers saw: streams late by passes of 130 ms, while entries went on to fill the slots.
// What happens: group a has passes of 130 ms and group b, whose passes end in between, of 70. Taken for those of one group, the
// pause of a that follows one of b within half a pass counts as the shorter of the two.
// Each group's passes are its own: a takes no new requests, b does.
func TestPassesAreAGroupsOwn(t *testing.T) {
	f, a, b := twoGroups(t, false)
	const content = 120 * time.Millisecond
	nextA, nextB := start.Add(130*time.Millisecond), start.Add(100*time.Millisecond)
	now := start
	for now.Before(start.Add(600 * time.Millisecond)) {
		if nextA.Before(nextB) {
			now = nextA
			f.paused(now, "llm", a, 130*time.Millisecond, content, 0)
			nextA = nextA.Add(130 * time.Millisecond)
		} else {
			now = nextB
			f.paused(now, "llm", b, 70*time.Millisecond, content, 0)
			nextB = nextB.Add(70 * time.Millisecond)
		}
	}
	assert.Equal(t, a.gate.brake.pass, 130*time.Millisecond)
	assert.Equal(t, b.gate.brake.pass, 70*time.Millisecond)
	assert.Equal(t, a.gate.brake.room(now), 0.0)
	assert.Equal(t, b.gate.brake.room(now), 1.0)
	assert.Assert(t, a.service.place(now, 4, false) == b)
}

// The load: an entry's callers come in a burst as it is told what is free, to a service of two groups. All groups together get
// no more at once than a single one would: 28 entries do the same in that moment.
func TestBurstIsOfAllGroupsTogether(t *testing.T) {
	_, a, _ := twoGroups(t, false)
	let := 0
	for range 10 {
		if v, _ := a.service.ask(start, 4, comes(start)); v == letIn {
			let++
		}
	}
	assert.Assert(t, let >= 2 && let <= int(paceBurst), "%d", let)
}

// All entries are told the same loads. Requests go to each group as often as it has places, not all to the emptier one.
func TestGroupsAreTakenAsOftenAsTheyHavePlaces(t *testing.T) {
	_, a, b := twoGroups(t, false)
	a.gate.alive(start)
	a.gate.inflight = a.gate.limit(start, 4) - 5
	taken := map[*groupPool]int{}
	for range 3000 {
		taken[a.service.place(start, 4, false)]++
	}
	free := b.gate.limit(start, 4) - b.gate.inflight
	share := float64(taken[a]) / 3000
	want := 5 / float64(5+free)
	assert.Assert(t, share > want-0.05 && share < want+0.05, "%f, not %f", share, want)
}
