package lockstep

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/wire"
)

const (
	// lateRankSchedules is the number of schedules that are simulated with each kind of late rank.
	lateRankSchedules = 500
	// maxLateRankHold bounds the time for which the group may be held in these schedules. It is
	// the longest pause between tokens that counts as in time.
	maxLateRankHold = 120 * time.Millisecond
	// lateRankCopyTime is how long the copies of another rank continue after a rank has become
	// late: the switch is ready once the newest reading of the late rank is older than
	// defaultMaxReadingAge.
	lateRankCopyTime = 300 * time.Millisecond
	// lateRankOutage is how long a rank is late.
	lateRankOutage = 500 * time.Millisecond
)

// lateRank is a way in which a rank is late.
type lateRank struct {
	name    string
	relays  bool
	setLate func(s *sim, rank int)
}

var lateRanks = []lateRank{
	{"sidecar is down", false, func(s *sim, rank int) { s.ranks[rank].unresponsiveUntil = s.now + lateRankOutage }},
	{"sidecar answers late", false, func(s *sim, rank int) { s.ranks[rank].slowUntil = s.now + lateRankOutage }},
	{"host of relay is down", true, func(s *sim, rank int) { s.ranks[rank-rank%simRelayRanks].unresponsiveUntil = s.now + lateRankOutage }},
}

// runWithLateRank simulates a switch without random faults. One rank becomes late as it has
// prepared the map and another rank is still copying, so that the switch becomes ready while the
// rank is late.
func runWithLateRank(t *testing.T, seed uint64, late lateRank, disabled safeguards) *sim {
	t.Helper()
	s := newSim(seed, disabled)
	s.noFaults, s.relays, s.hostRelays = true, late.relays, late.relays
	for s.now < 20*time.Second {
		s.run(s.now + 25*time.Millisecond)
		prepared, copying, ok := s.partlyPrepared()
		if !ok {
			continue
		}
		s.ranks[copying].copiedAt = s.now + lateRankCopyTime
		s.logf("rank %d is late, and rank %d copies until %v", prepared, copying, s.ranks[copying].copiedAt)
		late.setLate(s, prepared)
		s.longestHold = 0
		finished := s.finished
		s.run(s.now + 3*time.Second)
		assert.Equal(t, s.violation, "", "seed %d", seed)
		assert.Assert(t, s.finished > finished, "seed %d: no switch succeeds\n%s", seed, strings.Join(s.log, "\n"))
		return s
	}
	t.Fatalf("seed %d: no switch was partly prepared", seed)
	return nil
}

// partlyPrepared returns a rank that is known to have prepared the map of the switch in progress
// and one of another part that is still copying.
func (s *sim) partlyPrepared() (prepared, copying int, ok bool) {
	sw := s.leaders[0].switcher
	if sw.Phase() != Preparing {
		return 0, 0, false
	}
	for i := range s.ranks {
		for j, r := range s.ranks {
			if sw.ranks[i].report.Prepared == sw.version && r.copying == sw.version && r.copiedAt > s.now && i/simRelayRanks != j/simRelayRanks {
				return i, j, true
			}
		}
	}
	return 0, 0, false
}

// longestHold simulates all schedules with a late rank. It returns the longest time for which
// the group is held, its seed, and the number of schedules in which that time is above
// maxLateRankHold.
func longestHold(t *testing.T, late lateRank, disabled safeguards) (longest time.Duration, seedOfLongest uint64, above int) {
	t.Helper()
	for seed := range uint64(lateRankSchedules) {
		s := runWithLateRank(t, seed, late, disabled)
		if s.longestHold > maxLateRankHold {
			above++
		}
		if s.longestHold > longest {
			longest, seedOfLongest = s.longestHold, seed
		}
	}
	return longest, seedOfLongest, above
}

// A rank whose sidecar was down or answered late when a switch was ready to hold the group was
// armed late, and all streams of the group paused until then.
func TestLateRankDoesNotProlongHold(t *testing.T) {
	for _, late := range lateRanks {
		t.Run(late.name, func(t *testing.T) {
			longest, seed, _ := longestHold(t, late, safeguards{})
			t.Logf("longest hold: %v", longest)
			assert.Assert(t, longest <= maxLateRankHold, "the group is held for %v in seed %d", longest, seed)
		})
	}
}

// The simulation must detect that holds aren't delayed, otherwise it is too easy.
func TestSimDetectsHoldWithLateRank(t *testing.T) {
	for _, late := range lateRanks {
		longest, _, above := longestHold(t, late, safeguards{delayHold: true})
		assert.Assert(t, above > 0, "%s: not detected", late.name)
		t.Logf("%s: %d of %d schedules hold the group for more than %v, at most %v", late.name, above, lateRankSchedules, maxLateRankHold, longest)
	}
}

// preparedSwitch returns a switcher whose ranks have all prepared the map of a switch, and the
// time. The newest reading of rank 2 is of the given age.
func preparedSwitch(age time.Duration) (*Switcher, time.Time) {
	s := New(DefaultConfig(4, 1, 1))
	now := time.Unix(100, 0)
	for i := range 4 {
		s.HandleReport(now.Add(-time.Minute), i, "instance", &wire.RankReport{Step: 1})
	}
	s.SetCurrent(initialMap(small))
	s.Begin(now.Add(-time.Second), initialMap(small))
	for i := range 4 {
		report := &wire.RankReport{Step: 1, Prepared: s.Version()}
		if i == 2 {
			report.AgeMs = uint32(age / time.Millisecond)
		}
		s.HandleReport(now, i, "instance", report)
	}
	return s, now
}

// A rank that stays late must not prevent a switch, nor delay it for longer than MaxHoldDelay.
func TestHoldIsDelayedForBoundedTime(t *testing.T) {
	s, ready := preparedSwitch(defaultMaxReadingAge)
	s.Tick(ready)
	assert.Equal(t, s.Phase(), Holding)
	_, delayed := s.HoldDelay()
	assert.Assert(t, !delayed)

	s, ready = preparedSwitch(defaultMaxReadingAge + time.Millisecond)
	refresh := func(now time.Time) {
		for i := range 4 {
			if i != 2 {
				s.HandleReport(now, i, "instance", &wire.RankReport{Step: 1, Prepared: s.Version()})
			}
		}
	}
	for after := time.Duration(0); after < defaultMaxHoldDelay; after += 50 * time.Millisecond {
		refresh(ready.Add(after))
		assert.Equal(t, len(s.Tick(ready.Add(after))), 0)
		assert.Equal(t, s.Phase(), Preparing, "after %v", after)
		assert.Assert(t, !s.HoldsGroup())
	}
	d, delayed := s.HoldDelay()
	assert.Assert(t, delayed)
	assert.Equal(t, d, HoldDelay{Rank: 2, ReadingAge: defaultMaxReadingAge + time.Millisecond, Since: ready})
	s.Tick(ready.Add(defaultMaxHoldDelay))
	assert.Equal(t, s.Phase(), Holding)
}

// A delayed switch must not be given up because the delay ends after PrepareTimeout, and must
// hold the group as soon as the rank is read again.
func TestHoldBeginsOnceLateRankIsRead(t *testing.T) {
	s, ready := preparedSwitch(time.Second)
	s.cfg.PrepareTimeout = ready.Sub(s.phaseSince) + 500*time.Millisecond
	s.Tick(ready)
	now := ready.Add(time.Second)
	assert.Equal(t, len(s.Tick(now)), 0)
	assert.Equal(t, s.Phase(), Preparing)
	for i := range 4 {
		assert.Assert(t, s.AwaitsRank(now, i), "rank %d is read at the usual period only", i)
		s.HandleReport(now, i, "instance", &wire.RankReport{Step: 1, Prepared: s.Version()})
		assert.Assert(t, !s.AwaitsRank(now, i))
	}
	assert.Equal(t, len(s.Tick(now)), 0)
	assert.Equal(t, s.Phase(), Holding)
	assert.Equal(t, len(s.Tick(now)), 1)
	s.giveUp(now, "test")
	s.enterPhase(now, Idle)
	s.Begin(now, initialMap(small))
	_, delayed := s.HoldDelay()
	assert.Assert(t, !delayed, "the delay of the switch before is reported")
}

const (
	// maxHoldOfStoppedSidecar bounds the time for which the group is held in any schedule in
	// which the holder's sidecar is killed.
	maxHoldOfStoppedSidecar = 250 * time.Millisecond
	// maxLateShare is the share of these schedules in which that time may be above
	// maxLateRankHold.
	maxLateShare = 0.05
	// sidecarRestartTime is how long a killed sidecar is down.
	sidecarRestartTime = time.Second
)

// runWithoutSidecarOfHolder simulates a switch without random faults. The sidecar of the rank
// that holds the group is killed after the hold was confirmed and before the rank is armed.
func runWithoutSidecarOfHolder(t *testing.T, seed uint64) *sim {
	t.Helper()
	s := newSim(seed, safeguards{})
	s.noFaults, s.periodicReports = true, seed%2 == 0
	sw := s.leaders[0].switcher
	for sw.Phase() != Holding || sw.ranks[sw.holder].pending == nil {
		assert.Assert(t, s.now < 20*time.Second, "seed %d: the group isn't held", seed)
		s.run(s.now + 25*time.Millisecond)
	}
	// The answer to the hold takes 16 ms at most, and the next tick is after 25 ms.
	s.after(s.ms(17, 24), func() {
		r := s.ranks[sw.holder]
		assert.Assert(t, r.held == sw.step && r.armed == 0 && sw.Phase() == Holding)
		r.sidecarDownUntil = s.now + sidecarRestartTime
		s.logf("sidecar of rank %d is killed", sw.holder)
	})
	s.longestHold = 0
	finished, version := s.finished, sw.Version()
	s.run(s.now + 400*time.Millisecond)
	for s.finished == finished {
		assert.Assert(t, sw.Version() == version && s.now < 25*time.Second, "seed %d: the switch fails\n%s", seed, strings.Join(s.log, "\n"))
		s.run(s.now + 25*time.Millisecond)
	}
	assert.Equal(t, s.violation, "", "seed %d", seed)
	return s
}

// The sidecar of the rank that held the group was killed before that rank was armed. The leader
// then called the rank directly, but didn't take its answer as the confirmation: the group was
// held for 0.4 s, until a report was recent enough to show that the rank was armed.
func TestStoppedSidecarOfHolderDoesNotProlongHold(t *testing.T) {
	var holds []time.Duration
	above := 0
	for seed := range uint64(lateRankSchedules) {
		hold := runWithoutSidecarOfHolder(t, seed).longestHold
		holds = append(holds, hold)
		if hold > maxLateRankHold {
			above++
		}
	}
	slices.Sort(holds)
	longest := holds[len(holds)-1]
	t.Logf("median %v, p95 %v, longest %v; %d of %d schedules above %v", holds[len(holds)/2], holds[len(holds)*95/100], longest, above, len(holds), maxLateRankHold)
	assert.Assert(t, float64(above) <= maxLateShare*float64(len(holds)), "%d of %d schedules hold the group for more than %v", above, len(holds), maxLateRankHold)
	assert.Assert(t, longest <= maxHoldOfStoppedSidecar, "the group is held for %v", longest)
}
