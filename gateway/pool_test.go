package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/route"
	"github.com/snipereach/snipereach/wire"
)

// twoGroups returns a manager with one service whose 24 ranks form the groups a and b.
func twoGroups(t *testing.T, broken bool) (*serviceManager, *groupPool, *groupPool) {
	f := newServiceManager(&Settings{ID: "e"})
	f.entryInfo.Seed = 1
	f.gateways = func() int { return 4 }
	var insts []*directory.Instance
	for i := range 24 {
		group := "ab"[i%2 : i%2+1]
		insts = append(insts, &directory.Instance{Announcement: &wire.Announcement{
			Id: group + string(rune('a'+i/2)), Incarnation: 1, Group: group, Rank: uint32(i / 2), Pools: []string{"llm"}, Phase: wire.Phase_PHASE_UP,
			Direct: &wire.DirectUpstream{Slots: 10, GroupEpoch: 1, GroupBroken: broken && i == 0},
		}})
	}
	assert.NilError(t, f.update(start, insts, updateInputs{}))
	p := f.services["llm"]
	return f, p.groups["a"], p.groups["b"]
}

// If one group of a service is down, requests go to the other one. They are refused only when
// both are down.
func TestDownGroupIsBypassed(t *testing.T) {
	_, a, b := twoGroups(t, true)
	p := a.service
	assert.Assert(t, a.limiter.down && !b.limiter.down)
	for range 2 {
		w := newArrival(start)
		v, _ := p.decide(start, 4, w)
		assert.Assert(t, v == decisionAdmit && w.group == b)
	}
	assert.Assert(t, p.hasLiveGroup())
	b.limiter.markDown(start)
	v, wait := p.decide(start, 4, newArrival(start))
	assert.Assert(t, v == decisionRefuse && wait == retryAfterDown)
	assert.Assert(t, !p.hasLiveGroup())
}

// An attempt goes to the other group if its own is down, and its permit moves there. Without
// another available group it stays.
func TestPermitMovesToAnotherGroup(t *testing.T) {
	f, a, b := twoGroups(t, false)
	a.limiter.acquire(start)
	up, at, ok := f.pick(start, a, &route.Request{})
	assert.Assert(t, ok && at == a && up.ID[0] == 'a')
	f.finish(start, at, up, &route.Request{}, route.Result{})
	f.recordGroupDown(start, a)
	up, at, ok = f.pick(start, a, &route.Request{Exclude: map[string]bool{up.ID: true}})
	assert.Assert(t, ok && at == b && up.ID[0] == 'b')
	assert.Equal(t, a.limiter.inflight, 0)
	assert.Equal(t, b.limiter.inflight, 1)
	f.finish(start, at, up, &route.Request{}, route.Result{})
	a.limiter.markUp()
	f.recordGroupDown(start, b)
	a.limiter.markDown(start)
	_, at, ok = f.pick(start, b, &route.Request{})
	assert.Assert(t, ok && at == b)
}

// One unresponsive upstream of a plain service doesn't block the other requests of a gateway
// whose share of the slots is less than two requests.
func TestSilentUpstreamDoesNotBlockService(t *testing.T) {
	f := newServiceManager(&Settings{ID: "e"})
	f.gateways = func() int { return 150 }
	var insts []*directory.Instance
	for i := range 6 {
		insts = append(insts, &directory.Instance{Announcement: &wire.Announcement{
			Id: string(rune('a' + i)), Incarnation: 1, Pools: []string{"clock"}, Phase: wire.Phase_PHASE_UP, Direct: &wire.DirectUpstream{Slots: 6},
		}})
	}
	assert.NilError(t, f.update(start, insts, updateInputs{}))
	p := f.services["clock"]
	for range 2 {
		v, _ := p.decide(start, 150, newArrival(start))
		assert.Equal(t, v, decisionAdmit)
	}
	for range 100 {
		_, _ = p.decide(start, 150, newArrival(start))
	}
	assert.Assert(t, p.groups[""].limiter.inflight < 6, "%d in flight", p.groups[""].limiter.inflight)
}

// Passes are tracked for each group. If the gaps of two groups were mixed, the long passes of one
// would be hidden by the short ones of the other.
func TestPassesAreTrackedPerGroup(t *testing.T) {
	f, a, b := twoGroups(t, false)
	const content = 120 * time.Millisecond
	nextA, nextB := start.Add(130*time.Millisecond), start.Add(100*time.Millisecond)
	now := start
	for now.Before(start.Add(600 * time.Millisecond)) {
		if nextA.Before(nextB) {
			now = nextA
			f.observeGap(now, "llm", a, 130*time.Millisecond, content, 0)
			nextA = nextA.Add(130 * time.Millisecond)
		} else {
			now = nextB
			f.observeGap(now, "llm", b, 70*time.Millisecond, content, 0)
			nextB = nextB.Add(70 * time.Millisecond)
		}
	}
	assert.Equal(t, a.limiter.throttle.lastPass, 130*time.Millisecond)
	assert.Equal(t, b.limiter.throttle.lastPass, 70*time.Millisecond)
	assert.Equal(t, a.limiter.throttle.admitFraction(now), 0.0)
	assert.Equal(t, b.limiter.throttle.admitFraction(now), 1.0)
	assert.Assert(t, a.service.pickGroup(now, 4, class{}) == b)
}

// The burst of a gateway is shared by all groups of a service, as all gateways may use theirs at
// the same moment.
func TestBurstIsSharedByGroups(t *testing.T) {
	_, a, _ := twoGroups(t, false)
	let := 0
	for range 10 {
		if v, _ := a.service.decide(start, 4, newArrival(start)); v == decisionAdmit {
			let++
		}
	}
	assert.Assert(t, let >= 2 && let <= int(paceBurst), "%d", let)
}

// Groups are picked in proportion to their permits. All gateways know the same loads, so picking
// the emptiest would overload it.
func TestGroupsArePickedByPermits(t *testing.T) {
	_, a, b := twoGroups(t, false)
	a.limiter.recordProgress(start)
	a.limiter.inflight = a.limiter.limit(start, 4) - 5
	taken := map[*groupPool]int{}
	for range 3000 {
		taken[a.service.pickGroup(start, 4, class{})]++
	}
	free := b.limiter.limit(start, 4) - b.limiter.inflight
	share := float64(taken[a]) / 3000
	want := 5 / float64(5+free)
	assert.Assert(t, share > want-0.05 && share < want+0.05, "%f, not %f", share, want)
}
