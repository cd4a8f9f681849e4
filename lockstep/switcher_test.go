package lockstep

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/wire"
)

// schedules is how many random schedules are played. Each is some thirty seconds of a
// group whose hosts stand still, whose orders are lost or carried out seconds later,
// whose leaders change and overlap, and which forms again.
const schedules = 10000

func play(seed uint64, off safeguards) *sim {
	s := newSim(seed, off)
	s.run(30 * time.Second)
	return s
}

// Callers would get tokens of experts that other ranks hold. Orders come late and
// doubled, two leaders overlap, hosts answer nothing for seconds: no pass begins with
// two maps, because the group is held until every rank is known to be armed or known
// to be clean.
func TestNoPassBeginsWithTwoMaps(t *testing.T) {
	finished := 0
	for seed := range uint64(schedules) {
		s := play(seed, safeguards{})
		assert.Equal(t, s.broken, "", "seed %d\n%s", seed, strings.Join(s.log, "\n"))
		finished += s.finished
	}
	assert.Assert(t, finished > schedules, "only %d switches came to their end", finished)
}

// Callers would wait for ever. Once faults end, a held group goes on and maps can be
// switched again, whatever was left: an order that is lost inside the leader, or a
// hold of an earlier leader, must not keep the group.
func TestGroupGoesOnAfterFaults(t *testing.T) {
	for seed := range uint64(schedules / 3) {
		s := play(seed, safeguards{})
		s.calm = true
		for _, r := range s.ranks {
			r.away = min(r.away, s.now+4*time.Second)
		}
		// The latest orders without an answer are carried out within twelve seconds.
		s.run(s.now + 20*time.Second)
		began, step := s.finished, s.step
		s.run(s.now + 5*time.Second)
		assert.Equal(t, s.broken, "", "seed %d", seed)
		assert.Assert(t, s.step > step+30, "seed %d: the group stands still\n%s\n%s", seed, strings.Join(s.log, "\n"), s.state())
		assert.Assert(t, s.finished > began, "seed %d: no switch comes to its end\n%s", seed, strings.Join(s.log, "\n"))
	}
}

// The schedules are hard enough: without either safeguard a pass begins with two maps.
func TestSchedulesCatchMissingSafeguards(t *testing.T) {
	for name, off := range map[string]safeguards{"settle": {settle: true}, "hold": {hold: true}} {
		caught := 0
		for seed := range uint64(schedules / 3) {
			if play(seed, off).broken != "" {
				caught++
			}
		}
		assert.Assert(t, caught > 0, "nothing notices that %s is off", name)
		t.Logf("%s: caught in %d of %d schedules", name, caught, schedules/3)
	}
}

// Callers would get answers of uneven ranks for the whole day. The leader of a large
// group looks at it after each answer to an order; if each look costs as much as a map
// has experts for each rank, its host of a tenth of a core does nothing else for a
// second, its followers elect another leader, and that one begins anew.
func TestLookingAtALargeGroupIsCheap(t *testing.T) {
	cfg := DefaultConfig(large.Ranks, 1, 1)
	cfg.PrepareLimit = time.Hour
	s := New(cfg)
	now := time.Unix(0, 0)
	for i := range large.Ranks {
		s.Heard(now, i, "instance", &wire.RankReport{Step: 1})
	}
	s.SetCurrent(inTurn(large))
	s.Begin(now, inTurn(large))
	orders := s.Tick(now)
	assert.Equal(t, len(orders), large.Ranks)
	for _, o := range orders[1:] {
		s.Replied(now, o.Rank, o.RankOrder, &wire.RankOrderReply{Status: wire.RankOrderStatus_RANK_ORDER_STATUS_BEGUN})
	}
	waiting := testing.AllocsPerRun(10, func() {
		now = now.Add(time.Second)
		assert.Equal(t, len(s.Tick(now)), 0, "an order whose answer is awaited was given again")
	})
	assert.Assert(t, waiting < float64(large.Ranks), "a look at a group that copies allocates %v times", waiting)

	s = New(cfg)
	for i := range large.Ranks {
		s.Heard(now, i, "instance", &wire.RankReport{Step: 1})
	}
	s.Begin(now, inTurn(large))
	first := testing.AllocsPerRun(1, func() { s.Tick(now) })
	assert.Assert(t, first < float64(large.Ranks*large.Sets), "giving the orders allocates %v times", first)
}

// A leader reads the ranks that a switch awaits more often than the others; a rank that
// is missed here is read so late that the group is held for longer.
func TestSwitchAwaitsRanksThatHaveToChange(t *testing.T) {
	s := New(DefaultConfig(4, 1, 1))
	now := time.Unix(0, 0)
	hear := func(i int, r *wire.RankReport) {
		now = now.Add(time.Millisecond)
		s.Heard(now, i, "instance", r)
	}
	awaited := func() (list []int) {
		for i := range 4 {
			if s.Awaits(i) {
				list = append(list, i)
			}
		}
		return list
	}
	for i := range 4 {
		hear(i, &wire.RankReport{Step: 1})
	}
	assert.Equal(t, len(awaited()), 0)

	s.SetCurrent(inTurn(small))
	s.Begin(now, inTurn(small))
	s.Tick(now)
	hear(2, &wire.RankReport{Step: 1, Prepared: s.Version()})
	assert.DeepEqual(t, awaited(), []int{0, 1, 3})

	for i := range 4 {
		hear(i, &wire.RankReport{Step: 1, Prepared: s.Version()})
	}
	s.Tick(now)
	assert.Equal(t, s.Phase(), Holding)
	assert.DeepEqual(t, awaited(), []int{s.holder})

	hear(s.holder, &wire.RankReport{Step: 1, Prepared: s.Version(), Held: s.step})
	s.Tick(now)
	assert.Equal(t, s.Phase(), Arming)
	assert.Equal(t, len(awaited()), 4)
	other := (s.holder + 1) % 4
	hear(other, &wire.RankReport{Step: 1, Prepared: s.Version(), Armed: s.Version()})
	assert.Equal(t, len(awaited()), 3)
	assert.Assert(t, !s.Awaits(other) && s.Awaits(s.holder))

	for i := range 4 {
		if i != s.holder {
			hear(i, &wire.RankReport{Step: 1, Prepared: s.Version(), Armed: s.Version()})
		}
	}
	hear(s.holder, &wire.RankReport{Step: 1, Prepared: s.Version(), Armed: s.Version(), Held: s.step})
	s.Tick(now)
	hear(s.holder, &wire.RankReport{Step: 1, Prepared: s.Version(), Armed: s.Version()})
	s.Tick(now)
	assert.Equal(t, s.Phase(), Idle)
	assert.Equal(t, len(awaited()), 4, "the next switch may begin when all say that they use the map")
	hear(other, &wire.RankReport{Step: 9, Map: s.Version()})
	assert.Equal(t, len(awaited()), 3)
	assert.Assert(t, !s.Awaits(other))
}

// The process beside a rank starts again between two switches, so that it doesn't know the map
// in force. It is told the whole map at once, the others the changes; the group isn't held
// meanwhile.
func TestRankWithoutBaseIsToldTheWholeMap(t *testing.T) {
	s := New(DefaultConfig(2, 1, 1))
	now := time.Unix(100, 0)
	for i := range 2 {
		s.Heard(now, i, "r", &wire.RankReport{Step: 1, Map: 5})
	}
	current := mapInTurn(2, 40, 8)
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
	s.Replied(now, 0, orders[0].RankOrder, &wire.RankOrderReply{Status: wire.RankOrderStatus_RANK_ORDER_STATUS_BEGUN, After: &wire.RankReport{Step: 1, Map: 5}})
	s.Replied(now, 1, orders[1].RankOrder, &wire.RankOrderReply{Status: wire.RankOrderStatus_RANK_ORDER_STATUS_NO_BASE, After: &wire.RankReport{Step: 1, Map: 5}})
	again := s.Tick(now.Add(time.Millisecond))
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Rank, 1)
	got, err := DecodeMap(again[0].Map, nil)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, next)
	assert.Equal(t, s.Phase(), Preparing)
}
