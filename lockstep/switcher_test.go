package lockstep

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/wire"
)

// schedules is the number of random schedules that are simulated, 30 seconds each. Hosts stop
// answering, orders are lost or carried out seconds later, leaders change and overlap, and the
// group forms again.
const schedules = 10000

func runSim(seed uint64, disabled safeguards) *sim {
	s := newSim(seed, disabled)
	s.run(30 * time.Second)
	return s
}

// Checks the invariant of Switcher under faults of hosts, orders and leaders. Otherwise tokens
// would be sent to ranks that don't hold their experts.
func TestNoPassBeginsWithTwoMaps(t *testing.T) {
	finished := 0
	for seed := range uint64(schedules) {
		s := runSim(seed, safeguards{})
		assert.Equal(t, s.violation, "", "seed %d\n%s", seed, strings.Join(s.log, "\n"))
		finished += s.finished
	}
	assert.Assert(t, finished > schedules, "only %d switches succeeded", finished)
}

// Once faults end, the group must run passes and switch maps again, whatever orders or holds
// are left.
func TestGroupRecoversAfterFaults(t *testing.T) {
	for seed := range uint64(schedules / 3) {
		s := runSim(seed, safeguards{})
		s.noFaults = true
		for _, r := range s.ranks {
			r.unresponsiveUntil = min(r.unresponsiveUntil, s.now+4*time.Second)
		}
		// Delayed orders are carried out within 12 s.
		s.run(s.now + 20*time.Second)
		finishedBefore, step := s.finished, s.step
		s.run(s.now + 5*time.Second)
		assert.Equal(t, s.violation, "", "seed %d", seed)
		assert.Assert(t, s.step > step+30, "seed %d: no passes are run\n%s\n%s", seed, strings.Join(s.log, "\n"), s.state())
		assert.Assert(t, s.finished > finishedBefore, "seed %d: no switch succeeds\n%s", seed, strings.Join(s.log, "\n"))
	}
}

// The simulation must detect each disabled safeguard, otherwise it is too easy.
func TestSimDetectsDisabledSafeguards(t *testing.T) {
	for name, disabled := range map[string]safeguards{"voidArmOrders": {voidArmOrders: true}, "holdBeforeArm": {holdBeforeArm: true}} {
		detected := 0
		for seed := range uint64(schedules / 3) {
			if runSim(seed, disabled).violation != "" {
				detected++
			}
		}
		assert.Assert(t, detected > 0, "disabled safeguard %s is not detected", name)
		t.Logf("%s: detected in %d of %d schedules", name, detected, schedules/3)
	}
}

// Tick runs after each reply. If it encoded the map for each rank every time, the leader of a
// large group on a small host would be too busy to send heartbeats.
func TestTickOfLargeGroupAllocatesLittle(t *testing.T) {
	cfg := DefaultConfig(large.Ranks, 1, 1)
	cfg.PrepareTimeout = time.Hour
	s := New(cfg)
	now := time.Unix(0, 0)
	for i := range large.Ranks {
		s.HandleReport(now, i, "instance", &wire.RankReport{Step: 1})
	}
	s.SetCurrent(initialMap(large))
	s.Begin(now, initialMap(large))
	orders := s.Tick(now)
	assert.Equal(t, len(orders), large.Ranks)
	for _, o := range orders[1:] {
		s.HandleReply(now, o.Rank, o.RankOrder, &wire.RankOrderReply{Status: wire.RankOrderStatus_RANK_ORDER_STATUS_BEGUN})
	}
	waiting := testing.AllocsPerRun(10, func() {
		now = now.Add(time.Second)
		assert.Equal(t, len(s.Tick(now)), 0, "an order that awaits a reply was sent again")
	})
	assert.Assert(t, waiting < float64(large.Ranks), "Tick allocates %v times while ranks prepare", waiting)

	s = New(cfg)
	for i := range large.Ranks {
		s.HandleReport(now, i, "instance", &wire.RankReport{Step: 1})
	}
	s.Begin(now, initialMap(large))
	first := testing.AllocsPerRun(1, func() { s.Tick(now) })
	assert.Assert(t, first < float64(large.Ranks*large.Sets), "the first Tick allocates %v times", first)
}

// Awaited ranks are read more often. A rank missing from them would be read late, and the group
// held longer.
func TestAwaitsRankInEachPhase(t *testing.T) {
	s := New(DefaultConfig(4, 1, 1))
	now := time.Unix(0, 0)
	report := func(i int, r *wire.RankReport) {
		now = now.Add(time.Millisecond)
		s.HandleReport(now, i, "instance", r)
	}
	awaited := func() (list []int) {
		for i := range 4 {
			if s.AwaitsRank(now, i) {
				list = append(list, i)
			}
		}
		return list
	}
	for i := range 4 {
		report(i, &wire.RankReport{Step: 1})
	}
	assert.Equal(t, len(awaited()), 0)

	s.SetCurrent(initialMap(small))
	s.Begin(now, initialMap(small))
	s.Tick(now)
	report(2, &wire.RankReport{Step: 1, Prepared: s.Version()})
	assert.DeepEqual(t, awaited(), []int{0, 1, 3})

	for i := range 4 {
		report(i, &wire.RankReport{Step: 1, Prepared: s.Version()})
	}
	s.Tick(now)
	assert.Equal(t, s.Phase(), Holding)
	assert.DeepEqual(t, awaited(), []int{s.holder})

	report(s.holder, &wire.RankReport{Step: 1, Prepared: s.Version(), Held: s.step})
	s.Tick(now)
	assert.Equal(t, s.Phase(), Arming)
	assert.Equal(t, len(awaited()), 4)
	other := (s.holder + 1) % 4
	report(other, &wire.RankReport{Step: 1, Prepared: s.Version(), Armed: s.Version()})
	assert.Equal(t, len(awaited()), 3)
	assert.Assert(t, !s.AwaitsRank(now, other) && s.AwaitsRank(now, s.holder))

	for i := range 4 {
		if i != s.holder {
			report(i, &wire.RankReport{Step: 1, Prepared: s.Version(), Armed: s.Version()})
		}
	}
	report(s.holder, &wire.RankReport{Step: 1, Prepared: s.Version(), Armed: s.Version(), Held: s.step})
	s.Tick(now)
	report(s.holder, &wire.RankReport{Step: 1, Prepared: s.Version(), Armed: s.Version()})
	s.Tick(now)
	assert.Equal(t, s.Phase(), Idle)
	assert.Equal(t, len(awaited()), 4, "the next switch may begin when no rank is armed any more")
	report(other, &wire.RankReport{Step: 9, Map: s.Version()})
	assert.Equal(t, len(awaited()), 3)
	assert.Assert(t, !s.AwaitsRank(now, other))
}

// After a restart of its sidecar, a rank lacks the base of the changes. It must get the full
// map at once, and the other ranks the changes.
func TestRankWithoutBaseGetsFullMap(t *testing.T) {
	s := New(DefaultConfig(2, 1, 1))
	now := time.Unix(100, 0)
	for i := range 2 {
		s.HandleReport(now, i, "r", &wire.RankReport{Step: 1, Map: 5})
	}
	current := roundRobinMap(2, 40, 8)
	s.SetCurrent(current)
	next := current.Clone()
	next[3][1] = append(next[3][1], 0)
	s.Begin(now, next)
	orders := s.Tick(now)
	assert.Equal(t, len(orders), 2)
	for _, o := range orders {
		got, err := DecodeMap(o.Map, func(uint64) Map { return current })
		assert.NilError(t, err)
		assert.DeepEqual(t, got, next)
	}
	s.HandleReply(now, 0, orders[0].RankOrder, &wire.RankOrderReply{Status: wire.RankOrderStatus_RANK_ORDER_STATUS_BEGUN, After: &wire.RankReport{Step: 1, Map: 5}})
	s.HandleReply(now, 1, orders[1].RankOrder, &wire.RankOrderReply{Status: wire.RankOrderStatus_RANK_ORDER_STATUS_NO_BASE, After: &wire.RankReport{Step: 1, Map: 5}})
	again := s.Tick(now.Add(time.Millisecond))
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Rank, 1)
	got, err := DecodeMap(again[0].Map, nil)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, next)
	assert.Equal(t, s.Phase(), Preparing)
}
